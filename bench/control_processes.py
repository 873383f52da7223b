"""Measure control processes over links: commits, cost, killed and frozen leaders."""

import argparse
import asyncio
import hashlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import uuid

from bench import process_cost
from bitternlever.messages import calls, directory, frames, journal
from bitternlever.storage import identity
from bitternlever.transport import links

CLUSTER_KEY = "bench-cluster-key-0123456789abcdef"
ZONES = ("hall-a", "hall-b", "hall-c")
ASK_AGAIN_S = 0.3
GIVE_UP_S = 15.0
MILLISECONDS = 1_000
PERCENT = 100
BODY_BYTES = 2_000
FILLING_CALLERS = 32
STOP_WATCH_S = 3.0


class Client:
    """An entry host that calls the groups, with many calls in flight."""

    def __init__(self, nodes, own_link):
        self.nodes = nodes
        self.links = links.listen(
            node="entry-bench",
            link=own_link,
            incarnation=uuid.uuid4().hex,
            cluster_key=CLUSTER_KEY,
            clock=time.monotonic,
            on_message=self.receive,
        )
        self.next_call = 0
        self.waiting = {}
        self.leaders = {}

    def receive(self, received):
        message = received.message
        future = self.waiting.pop(getattr(message, "call_id", None), None)
        if future is None or future.done():
            return
        if isinstance(message, calls.ControlReply):
            self.leaders[message.group] = received.node
            future.set_result(message.reply)
            return
        self.leaders[message.group] = getattr(message, "leader", None)
        future.set_result(None)

    def send(self, group, command, node):
        self.next_call += 1
        future = asyncio.get_running_loop().create_future()
        self.waiting[self.next_call] = future
        call = calls.ControlCall(self.next_call, group, command)
        peer = frames.SendPeer(node=node, message=call, link=self.nodes[node])
        links.send(self.links, peer)
        asyncio.get_running_loop().call_soon(links.flush, self.links)
        return future

    async def ask(self, group, command, seconds=GIVE_UP_S):
        """Send a command until a leader replies."""
        names = sorted(self.nodes)
        end_s = time.monotonic() + seconds
        attempt = 0
        while time.monotonic() < end_s:
            attempt += 1
            node = self.leaders.get(group) or names[attempt % len(names)]
            future = self.send(group, command, node)
            await asyncio.wait([future], timeout=ASK_AGAIN_S)
            if future.done() and future.result() is not None:
                return future.result()
            if not future.done():
                self.leaders[group] = None
            await asyncio.sleep(0.01)
        raise RuntimeError(f"no reply to {type(command).__name__}")


def run(arguments: list[str]) -> int:
    """Run all experiments on 3 and 5 processes; one JSON object a line."""
    parser = argparse.ArgumentParser(prog="sh scripts/bench control-processes")
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--voters", type=int, nargs="*", default=[3, 5])
    parser.add_argument("--stops", type=int, default=5)
    parser.add_argument("--only-stops", action="store_true")
    options = parser.parse_args(arguments)
    for voters in options.voters:
        with tempfile.TemporaryDirectory() as folder:
            processes = Processes(pathlib.Path(folder), voters)
            try:
                asyncio.run(_measure(processes, options))
            finally:
                processes.stop()
    return 0


class Processes:
    """Control processes on loopback, each with its own folder."""

    def __init__(self, folder, count):
        ports = _free_ports(count + 1)
        self.folder = folder
        self.names = [f"h{number}" for number in range(count)]
        self.own_link = f"tcp://127.0.0.1:{ports[-1]}"
        self.link = {
            name: f"tcp://127.0.0.1:{port}"
            for name, port in zip(self.names, ports, strict=False)
        }
        self.running = {}
        for name in self.names:
            self.start(name)

    def start(self, name):
        number = self.names.index(name)
        nodes = ",".join(f"{each}={link}" for each, link in self.link.items())
        zones = ",".join(
            f"{each}={ZONES[at % len(ZONES)]}" for at, each in enumerate(self.names)
        )
        self.running[name] = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "bitternlever.commands.daemon",
                "control",
                f"--host={name}",
                f"--zone={ZONES[number % len(ZONES)]}",
                f"--listen={self.link[name]}",
                f"--nodes={nodes}",
                f"--zones={zones}",
                f"--data-folder={self.folder / name}",
                "--log-level=warning",
            ],
            env={**os.environ, "BITTERNLEVER_CLUSTER_KEY": CLUSTER_KEY},
        )

    def lose_disk(self, name):
        """Kill a process, empty its folder, start it again; return the lost disk."""
        self.running[name].kill()
        self.running[name].wait()
        disk = identity.read(self.folder / name).disk
        shutil.rmtree(self.folder / name)
        self.start(name)
        return disk

    def stop(self):
        for process in self.running.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in self.running.values():
            process.wait(timeout=GIVE_UP_S)


async def _measure(processes: Processes, options: argparse.Namespace) -> None:
    seconds = options.seconds
    nodes = {f"control-{name}": link for name, link in processes.link.items()}
    client = Client(nodes, processes.own_link)
    started_s = time.monotonic()
    await client.ask(directory.GROUP, directory.GetManifest())
    voters = len(processes.names)
    _print("start", voters, seconds_to_first_read=_since(started_s))
    for _ in range(options.stops):
        await _stopped(processes, client)
    if options.only_stops:
        links.close(client.links)
        return
    await _idle(processes, client, seconds)
    for outstanding in (1, 8, 32, 128):
        await _commits(processes, client, outstanding, seconds)
    await _filled(processes, client)
    await _killed(processes, client)
    await _frozen(processes, client)
    await _lost_disks(processes, client)
    await _all_killed(processes, client)
    links.close(client.links)


async def _idle(processes: Processes, client: Client, seconds: float) -> None:
    before = {name: process_cost.cpu_s(p.pid) for name, p in processes.running.items()}
    started_s = time.monotonic()
    await asyncio.sleep(seconds)
    _print_cost(processes, "idle", before, time.monotonic() - started_s, client)


async def _commits(
    processes: Processes,
    client: Client,
    outstanding: int,
    seconds: float,
) -> None:
    group = journal.FIRST_GROUP
    await client.ask(group, journal.GetRequest("r-none", "bench"))
    before = {name: process_cost.cpu_s(p.pid) for name, p in processes.running.items()}
    latencies_s = []
    started_s = time.monotonic()
    end_s = started_s + seconds

    async def caller(number: int) -> None:
        count = 0
        while time.monotonic() < end_s:
            count += 1
            command = _withdrawal(f"r-{outstanding}-{number}-{count}")
            sent_s = time.perf_counter()
            await client.ask(group, command)
            latencies_s.append(time.perf_counter() - sent_s)

    await asyncio.gather(*[caller(number) for number in range(outstanding)])
    elapsed_s = time.monotonic() - started_s
    latencies_s.sort()
    _print(
        "commits",
        len(processes.names),
        outstanding=outstanding,
        commits_per_s=round(len(latencies_s) / elapsed_s),
        p50_ms=round(latencies_s[len(latencies_s) // 2] * MILLISECONDS, 2),
        p99_ms=round(latencies_s[int(len(latencies_s) * 0.99)] * MILLISECONDS, 2),
    )
    _print_cost(processes, f"busy-{outstanding}", before, elapsed_s, client)


async def _filled(processes: Processes, client: Client) -> None:
    """Claim until the journal refuses, and read the memory of a full node."""
    before = {name: process_cost.cpu_s(p.pid) for name, p in processes.running.items()}
    started_s = time.monotonic()
    claimed = [0]
    full = asyncio.Event()

    async def caller(number: int) -> None:
        count = 0
        while not full.is_set():
            count += 1
            reply = await client.ask(journal.FIRST_GROUP, _claim(f"c-{number}-{count}"))
            if isinstance(reply, journal.JournalFull):
                full.set()
                return
            claimed[0] += 1

    await asyncio.gather(*[caller(number) for number in range(FILLING_CALLERS)])
    await asyncio.sleep(1.0)
    _print("filled", len(processes.names), claims=claimed[0], body_bytes=BODY_BYTES)
    _print_cost(processes, "full", before, time.monotonic() - started_s, client)


def _claim(request_id: str) -> journal.Claim:
    return journal.Claim(
        request_id=request_id,
        workspace="bench",
        pipeline="p",
        kind="k",
        digest="d" * 64,
        body=b"x" * BODY_BYTES,
        priority=0,
        durable=True,
        time_left_ms=3_600_000,
        host="bench",
        epoch=1,
    )


def _withdrawal(request_id: str) -> journal.WithdrawRequest:
    """Return a command that is logged and changes nothing, so that none fills up."""
    return journal.WithdrawRequest(request_id=request_id, host="bench", epoch=1)


async def _killed(processes: Processes, client: Client) -> None:
    await client.ask(directory.GROUP, directory.GetManifest())
    name = client.leaders[directory.GROUP].removeprefix("control-")
    processes.running[name].kill()
    killed_s = time.monotonic()
    await client.ask(directory.GROUP, directory.GetManifest())
    _print("leader-killed", len(processes.names), next_reply_after_s=_since(killed_s))
    processes.running[name].wait()
    processes.start(name)
    await asyncio.sleep(2.0)


async def _stopped(processes: Processes, client: Client) -> None:
    """Stop the journal's leader as systemd does; measure the pause of commits."""
    group = journal.FIRST_GROUP
    await client.ask(group, _withdrawal("r-before"))
    name = client.leaders[group].removeprefix("control-")
    process = processes.running[name]
    process.terminate()
    last_s = time.monotonic()
    longest_s = 0.0
    end_s = last_s + STOP_WATCH_S
    while time.monotonic() < end_s:
        await client.ask(group, _withdrawal("r-after"))
        longest_s = max(longest_s, time.monotonic() - last_s)
        last_s = time.monotonic()
    exit_code = process.wait(timeout=GIVE_UP_S)
    _print(
        "leader-stopped",
        len(processes.names),
        longest_pause_s=round(longest_s, 3),
        exit_code=exit_code,
    )
    processes.start(name)
    await asyncio.sleep(2.0)


async def _frozen(processes: Processes, client: Client) -> None:
    """Freeze the leader past its lease; no read of it may be older than the others'."""
    first = directory.AcquireHostLease("bench", "run-1", "a", processes.own_link, "")
    epoch = (await client.ask(directory.GROUP, first)).epoch
    former = client.leaders[directory.GROUP]
    process = processes.running[former.removeprefix("control-")]
    process.send_signal(signal.SIGSTOP)
    frozen_s = time.monotonic()
    second = directory.AcquireHostLease("bench", "run-2", "a", processes.own_link, "")
    granted = await client.ask(directory.GROUP, second)
    served_s = time.monotonic() - frozen_s
    stale = client.send(
        directory.GROUP,
        directory.RenewHostLease("bench", epoch, 0),
        former,
    )
    process.send_signal(signal.SIGCONT)
    await asyncio.wait([stale], timeout=2.0)
    answer = stale.result() if stale.done() else None
    _print(
        "leader-frozen",
        len(processes.names),
        next_grant_after_s=round(served_s, 3),
        epochs=[epoch, granted.epoch],
        former_answered=type(answer).__name__,
        old_epoch_renewed=isinstance(answer, directory.HostLeaseGranted),
    )


async def _lost_disks(processes: Processes, client: Client) -> None:
    """Lose a disk, replace it, and lose a second one right after the repair."""
    await client.ask(directory.GROUP, _manifest(1))
    await client.ask(directory.GROUP, directory.GetManifest())
    leader = client.leaders[directory.GROUP].removeprefix("control-")
    first, second = [name for name in processes.names if name != leader][:2]
    old_disk = processes.lose_disk(first)
    replace = directory.ReplaceReplica(f"control-{first}", old_disk, f"control-{first}")
    started_s = time.monotonic()
    steps = []
    while not steps or steps[-1] != "done":
        reply = await client.ask(directory.GROUP, replace)
        step = getattr(reply, "step", None) or reply.reason
        if not steps or steps[-1] != step:
            steps.append(step)
        if _since(started_s) > GIVE_UP_S:
            break
        await asyncio.sleep(0.05)
    replaced_after_s = _since(started_s)
    processes.lose_disk(second)
    read = await client.ask(directory.GROUP, directory.GetManifest())
    _print(
        "lost-disk",
        len(processes.names),
        steps=steps,
        replaced_after_s=replaced_after_s,
        manifest_after_second_loss=read.number,
    )


async def _all_killed(processes: Processes, client: Client) -> None:
    """Kill every process at once and start all again."""
    for process in processes.running.values():
        process.kill()
    for process in processes.running.values():
        process.wait()
    started_s = time.monotonic()
    for name in processes.names:
        processes.start(name)
    read = await client.ask(directory.GROUP, directory.GetManifest())
    _print(
        "all-killed",
        len(processes.names),
        read_after_s=_since(started_s),
        manifest=read.number,
    )


def _manifest(number: int) -> directory.PutManifest:
    body = b"%d" % number
    return directory.PutManifest(number, hashlib.sha256(body).hexdigest(), body)


def _print_cost(
    processes: Processes,
    load: str,
    before: dict[str, float],
    elapsed_s: float,
    client: Client,
) -> None:
    for name, process in processes.running.items():
        used_s = process_cost.cpu_s(process.pid) - before[name]
        _print(
            "cost",
            len(processes.names),
            load=load,
            leads_journal=client.leaders.get(journal.FIRST_GROUP) == f"control-{name}",
            core_percent=round(PERCENT * used_s / elapsed_s, 1),
            resident_mb=round(process_cost.resident_mb(process.pid), 1),
        )


def _print(experiment: str, voters: int, **figures) -> None:
    print(
        json.dumps({"experiment": experiment, "voters": voters, **figures}), flush=True
    )


def _since(started_s: float) -> float:
    return round(time.monotonic() - started_s, 3)


def _free_ports(count: int) -> list[int]:
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports
