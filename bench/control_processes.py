"""Measure control processes over links: commits, cost, lost leaders and disks."""

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
RETRY_AFTER_S = 0.3
TIMEOUT_S = 15.0
MILLISECONDS_PER_S = 1_000
PERCENT = 100
BODY_BYTES = 2_000
CONCURRENT_CLAIMS = 32
STOP_OBSERVATION_S = 3.0


class Client:
    """An entry host that calls the groups, with many concurrent calls."""

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
        self.pending = {}
        self.leaders = {}

    def receive(self, received):
        message = received.message
        future = self.pending.pop(getattr(message, "call_id", None), None)
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
        self.pending[self.next_call] = future
        call = calls.ControlCall(self.next_call, group, command)
        outgoing = frames.SendToPeer(node=node, message=call, link=self.nodes[node])
        links.send(self.links, outgoing)
        asyncio.get_running_loop().call_soon(links.flush, self.links)
        return future

    async def call_leader(self, group, command, seconds=TIMEOUT_S):
        """Send a command until a leader replies."""
        names = sorted(self.nodes)
        end_s = time.monotonic() + seconds
        attempt = 0
        while time.monotonic() < end_s:
            attempt += 1
            node = self.leaders.get(group) or names[attempt % len(names)]
            future = self.send(group, command, node)
            await asyncio.wait([future], timeout=RETRY_AFTER_S)
            if future.done() and future.result() is not None:
                return future.result()
            if not future.done():
                self.leaders[group] = None
            await asyncio.sleep(0.01)
        raise RuntimeError(f"no leader replied to {type(command).__name__} in time")


def run(arguments: list[str]) -> int:
    """Run all experiments on 3 and 5 processes and print one JSON object per line."""
    parser = argparse.ArgumentParser(prog="sh scripts/bench control-processes")
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--voters", type=int, nargs="*", default=[3, 5])
    parser.add_argument("--stops", type=int, default=5)
    parser.add_argument("--only-stops", action="store_true")
    options = parser.parse_args(arguments)
    for voters in options.voters:
        with tempfile.TemporaryDirectory() as folder:
            processes = ControlProcesses(pathlib.Path(folder), voters)
            try:
                asyncio.run(_measure_all(processes, options))
            finally:
                processes.stop()
    return 0


class ControlProcesses:
    """Control processes on loopback, each with its own data folder."""

    def __init__(self, folder, count):
        ports = _free_ports(count + 1)
        self.folder = folder
        self.names = [f"h{number}" for number in range(count)]
        self.own_link = f"tcp://127.0.0.1:{ports[-1]}"
        self.links = {
            name: f"tcp://127.0.0.1:{port}"
            for name, port in zip(self.names, ports, strict=False)
        }
        self.by_name = {}
        for name in self.names:
            self.start(name)

    def start(self, name):
        number = self.names.index(name)
        nodes = ",".join(f"{node}={link}" for node, link in self.links.items())
        zones = ",".join(
            f"{node}={ZONES[index % len(ZONES)]}"
            for index, node in enumerate(self.names)
        )
        self.by_name[name] = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "bitternlever.commands.daemon",
                "control",
                f"--host={name}",
                f"--zone={ZONES[number % len(ZONES)]}",
                f"--listen={self.links[name]}",
                f"--nodes={nodes}",
                f"--zones={zones}",
                f"--data-folder={self.folder / name}",
                "--log-level=warning",
            ],
            env={**os.environ, "BITTERNLEVER_CLUSTER_KEY": CLUSTER_KEY},
        )

    def lose_disk(self, name):
        """Kill a process, delete its folder, restart it and return the lost disk id."""
        self.by_name[name].kill()
        self.by_name[name].wait()
        disk = identity.read(self.folder / name).disk
        shutil.rmtree(self.folder / name)
        self.start(name)
        return disk

    def stop(self):
        for process in self.by_name.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in self.by_name.values():
            process.wait(timeout=TIMEOUT_S)


async def _measure_all(
    processes: ControlProcesses, options: argparse.Namespace
) -> None:
    seconds = options.seconds
    nodes = {f"control-{name}": link for name, link in processes.links.items()}
    client = Client(nodes, processes.own_link)
    started_s = time.monotonic()
    await client.call_leader(directory.GROUP, directory.GetManifest())
    voters = len(processes.names)
    _print("start", voters, seconds_to_first_read=_elapsed_s(started_s))
    for _ in range(options.stops):
        await _measure_leader_stop(processes, client)
    if options.only_stops:
        links.close(client.links)
        return
    await _measure_idle(processes, client, seconds)
    for outstanding in (1, 8, 32, 128):
        await _measure_commits(processes, client, outstanding, seconds)
    await _measure_full_journal(processes, client)
    await _measure_leader_kill(processes, client)
    await _measure_leader_freeze(processes, client)
    await _measure_lost_disks(processes, client)
    await _measure_full_restart(processes, client)
    links.close(client.links)


async def _measure_idle(
    processes: ControlProcesses, client: Client, seconds: float
) -> None:
    before = {name: process_cost.cpu_s(p.pid) for name, p in processes.by_name.items()}
    started_s = time.monotonic()
    await asyncio.sleep(seconds)
    _print_cost(processes, "idle", before, time.monotonic() - started_s, client)


async def _measure_commits(
    processes: ControlProcesses,
    client: Client,
    outstanding: int,
    seconds: float,
) -> None:
    group = journal.FIRST_GROUP
    await client.call_leader(group, journal.GetRequest("r-none", "bench"))
    before = {name: process_cost.cpu_s(p.pid) for name, p in processes.by_name.items()}
    latencies_s = []
    started_s = time.monotonic()
    end_s = started_s + seconds

    async def caller(number: int) -> None:
        count = 0
        while time.monotonic() < end_s:
            count += 1
            command = _withdrawal(f"r-{outstanding}-{number}-{count}")
            sent_s = time.perf_counter()
            await client.call_leader(group, command)
            latencies_s.append(time.perf_counter() - sent_s)

    await asyncio.gather(*[caller(number) for number in range(outstanding)])
    elapsed_s = time.monotonic() - started_s
    latencies_s.sort()
    _print(
        "commits",
        len(processes.names),
        outstanding=outstanding,
        commits_per_s=round(len(latencies_s) / elapsed_s),
        p50_ms=round(latencies_s[len(latencies_s) // 2] * MILLISECONDS_PER_S, 2),
        p99_ms=round(latencies_s[int(len(latencies_s) * 0.99)] * MILLISECONDS_PER_S, 2),
    )
    _print_cost(processes, f"busy-{outstanding}", before, elapsed_s, client)


async def _measure_full_journal(processes: ControlProcesses, client: Client) -> None:
    """Claim requests until the journal is full and measure the memory of all nodes."""
    before = {name: process_cost.cpu_s(p.pid) for name, p in processes.by_name.items()}
    started_s = time.monotonic()
    claim_count = [0]
    full = asyncio.Event()

    async def caller(number: int) -> None:
        count = 0
        while not full.is_set():
            count += 1
            reply = await client.call_leader(
                journal.FIRST_GROUP, _claim(f"c-{number}-{count}")
            )
            if isinstance(reply, journal.JournalFull):
                full.set()
                return
            claim_count[0] += 1

    await asyncio.gather(*[caller(number) for number in range(CONCURRENT_CLAIMS)])
    await asyncio.sleep(1.0)
    _print("filled", len(processes.names), claims=claim_count[0], body_bytes=BODY_BYTES)
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
    """Return a command that is logged but changes nothing, so that nothing fills up."""
    return journal.WithdrawRequest(request_id=request_id, host="bench", epoch=1)


async def _measure_leader_kill(processes: ControlProcesses, client: Client) -> None:
    await client.call_leader(directory.GROUP, directory.GetManifest())
    name = client.leaders[directory.GROUP].removeprefix("control-")
    processes.by_name[name].kill()
    killed_s = time.monotonic()
    await client.call_leader(directory.GROUP, directory.GetManifest())
    _print(
        "leader-killed", len(processes.names), next_reply_after_s=_elapsed_s(killed_s)
    )
    processes.by_name[name].wait()
    processes.start(name)
    await asyncio.sleep(2.0)


async def _measure_leader_stop(processes: ControlProcesses, client: Client) -> None:
    """Stop the journal's leader as systemd does and measure the pause of commits."""
    group = journal.FIRST_GROUP
    await client.call_leader(group, _withdrawal("r-before"))
    name = client.leaders[group].removeprefix("control-")
    process = processes.by_name[name]
    process.terminate()
    last_commit_s = time.monotonic()
    longest_pause_s = 0.0
    end_s = last_commit_s + STOP_OBSERVATION_S
    while time.monotonic() < end_s:
        await client.call_leader(group, _withdrawal("r-after"))
        longest_pause_s = max(longest_pause_s, time.monotonic() - last_commit_s)
        last_commit_s = time.monotonic()
    exit_code = process.wait(timeout=TIMEOUT_S)
    _print(
        "leader-stopped",
        len(processes.names),
        longest_pause_s=round(longest_pause_s, 3),
        exit_code=exit_code,
    )
    processes.start(name)
    await asyncio.sleep(2.0)


async def _measure_leader_freeze(processes: ControlProcesses, client: Client) -> None:
    """Freeze the leader past its lease and send it a renewal of an old epoch.

    Its reply must not be based on older state than those of the next leader.
    """
    first = directory.AcquireHostLease("bench", "run-1", "a", processes.own_link, "")
    epoch = (await client.call_leader(directory.GROUP, first)).epoch
    former_leader = client.leaders[directory.GROUP]
    process = processes.by_name[former_leader.removeprefix("control-")]
    process.send_signal(signal.SIGSTOP)
    frozen_s = time.monotonic()
    second = directory.AcquireHostLease("bench", "run-2", "a", processes.own_link, "")
    granted = await client.call_leader(directory.GROUP, second)
    granted_after_s = time.monotonic() - frozen_s
    stale = client.send(
        directory.GROUP,
        directory.RenewHostLease("bench", epoch, 0),
        former_leader,
    )
    process.send_signal(signal.SIGCONT)
    await asyncio.wait([stale], timeout=2.0)
    answer = stale.result() if stale.done() else None
    _print(
        "leader-frozen",
        len(processes.names),
        next_grant_after_s=round(granted_after_s, 3),
        epochs=[epoch, granted.epoch],
        former_answered=type(answer).__name__,
        old_epoch_renewed=isinstance(answer, directory.HostLeaseGranted),
    )


async def _measure_lost_disks(processes: ControlProcesses, client: Client) -> None:
    """Lose a disk, replace its replica, and lose a second disk right afterwards."""
    await client.call_leader(directory.GROUP, _manifest(1))
    await client.call_leader(directory.GROUP, directory.GetManifest())
    leader = client.leaders[directory.GROUP].removeprefix("control-")
    first, second = [name for name in processes.names if name != leader][:2]
    old_disk = processes.lose_disk(first)
    replace = directory.ReplaceReplica(f"control-{first}", old_disk, f"control-{first}")
    started_s = time.monotonic()
    steps = []
    while not steps or steps[-1] != "done":
        reply = await client.call_leader(directory.GROUP, replace)
        step = getattr(reply, "step", None) or reply.reason
        if not steps or steps[-1] != step:
            steps.append(step)
        if _elapsed_s(started_s) > TIMEOUT_S:
            break
        await asyncio.sleep(0.05)
    replaced_after_s = _elapsed_s(started_s)
    processes.lose_disk(second)
    read = await client.call_leader(directory.GROUP, directory.GetManifest())
    _print(
        "lost-disk",
        len(processes.names),
        steps=steps,
        replaced_after_s=replaced_after_s,
        manifest_after_second_loss=read.number,
    )


async def _measure_full_restart(processes: ControlProcesses, client: Client) -> None:
    """Kill all processes at once and restart them."""
    for process in processes.by_name.values():
        process.kill()
    for process in processes.by_name.values():
        process.wait()
    started_s = time.monotonic()
    for name in processes.names:
        processes.start(name)
    read = await client.call_leader(directory.GROUP, directory.GetManifest())
    _print(
        "all-killed",
        len(processes.names),
        read_after_s=_elapsed_s(started_s),
        manifest=read.number,
    )


def _manifest(number: int) -> directory.PutManifest:
    body = b"%d" % number
    return directory.PutManifest(number, hashlib.sha256(body).hexdigest(), body)


def _print_cost(
    processes: ControlProcesses,
    load: str,
    before: dict[str, float],
    elapsed_s: float,
    client: Client,
) -> None:
    for name, process in processes.by_name.items():
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


def _elapsed_s(started_s: float) -> float:
    return round(time.monotonic() - started_s, 3)


def _free_ports(count: int) -> list[int]:
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [listener.getsockname()[1] for listener in sockets]
    for listener in sockets:
        listener.close()
    return ports
