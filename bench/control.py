"""Measure commits, failover, manifests in force and restarts of control cores."""

import argparse
import hashlib
import json
import pathlib
import statistics
import tempfile
import time
from typing import Any

from bench import control_cores
from bitternlever.consensus import log as consensus_log
from bitternlever.messages import calls, consensus, directory, frames, journal
from bitternlever.storage import store

WARM_UP_S = 10.0
PERCENT = 100
BODY_BYTES = 200
ASK_INTERVAL_S = 0.01
RENEWAL_S = 0.5


class Load:
    """Callers that keep ``outstanding`` claims open in journal group 1."""

    def __init__(self, world, outstanding):
        self.world = world
        self.outstanding = outstanding
        self.sent = {}
        self.next_call = 0
        self.latencies_s = []
        self.leader = control_cores.leader(world, journal.FIRST_GROUP)

    def fill(self):
        """Send claims until enough are open."""
        while len(self.sent) < self.outstanding:
            self.next_call += 1
            claim = journal.Claim(
                request_id=f"r-bench-1-{self.next_call}",
                workspace="bench",
                pipeline="p",
                kind="k",
                digest="d" * 64,
                body=b"x" * BODY_BYTES,
                priority=0,
                durable=True,
                time_left_ms=60_000,
                host="bench",
                epoch=1,
            )
            call = calls.ControlCall(self.next_call, journal.FIRST_GROUP, claim)
            self.sent[self.next_call] = time.perf_counter()
            control_cores.call(self.world, self.leader, call)

    def answered(self, node, message):
        """Note the time of a reply; any other answer is an error of the run."""
        if not isinstance(message, calls.ControlReply):
            raise RuntimeError(f"unexpected answer {message!r}")
        if not isinstance(message.reply, journal.Claimed):
            raise RuntimeError(f"unexpected reply {message.reply!r}")
        sent_s = self.sent.pop(message.call_id)
        self.latencies_s.append(time.perf_counter() - sent_s)


def run(arguments: list[str]) -> int:
    """Run the chosen experiments; one JSON object a line."""
    parser = argparse.ArgumentParser(prog="sh scripts/bench control")
    known = {
        "commits": commits,
        "failover": failover,
        "in-force": in_force,
        "restart": restart,
        "node": node,
    }
    parser.add_argument("experiments", nargs="*", choices=[*known, []], default=[])
    parser.add_argument("--seconds", type=float, default=3.0)
    options = parser.parse_args(arguments)
    for name in options.experiments or known:
        for line in known[name](options.seconds):
            print(json.dumps({"experiment": name, **line}), flush=True)
    return 0


def commits(seconds: float):
    """Commit claims with real syncs, for batch sizes and numbers of voters."""
    for voters in (3, 5):
        for outstanding in (1, 8, 32, 128, 512):
            yield _commits(voters, outstanding, seconds)


def _commits(voters: int, outstanding: int, seconds: float) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as folder:
        box = []
        world = control_cores.start(
            pathlib.Path(folder),
            voters,
            lambda name, message: box[0].answered(name, message),
            maximum_journal_bytes=1_000_000_000,
        )
        _elected(world)
        load = Load(world, outstanding)
        box.append(load)
        started_s = time.monotonic()
        end_s = started_s + seconds
        while time.monotonic() < end_s:
            load.fill()
            control_cores.turn(world, end_s)
        elapsed_s = time.monotonic() - started_s
        control_cores.stop(world)
        return {
            "voters": voters,
            "outstanding": outstanding,
            "commits_per_s": round(len(load.latencies_s) / elapsed_s),
            **_quantiles(load.latencies_s),
        }


def failover(seconds: float):
    """Stop the leader of group 0 and wait for the next one to serve."""
    del seconds
    for voters in (3, 5):
        times_s = [_failover(voters) for _ in range(5)]
        lease_s = 0.8
        yield {
            "voters": voters,
            "runs": len(times_s),
            "median_s": round(statistics.median(times_s), 3),
            "worst_s": round(max(times_s), 3),
            "median_lease_terms": round(statistics.median(times_s) / lease_s, 2),
        }


def _failover(voters: int) -> float:
    with tempfile.TemporaryDirectory() as folder:
        replies = []
        world = control_cores.start(
            pathlib.Path(folder),
            voters,
            lambda name, message: replies.append(message),
        )
        _elected(world)
        former = control_cores.leader(world, directory.GROUP)
        world.cores[former].stopped = True
        stopped_s = time.monotonic()
        asked = [0]

        def served() -> bool:
            name = control_cores.leader(world, directory.GROUP)
            if name is not None:
                asked[0] += 1
                call = calls.ControlCall(asked[0], 0, directory.GetManifest())
                control_cores.call(world, name, call)
            return any(isinstance(each, calls.ControlReply) for each in replies)

        control_cores.run_until(world, served, WARM_UP_S)
        taken_s = time.monotonic() - stopped_s
        control_cores.stop(world)
        return taken_s


def in_force(seconds: float):
    """Count from the sending of a manifest until every host has read it."""
    del seconds
    for hosts in (9, 50, 100, 200, 400):
        yield _in_force(hosts)


class Hosts:
    """Entry hosts that renew their leases and fetch what they are told of."""

    def __init__(self, count):
        self.names = [f"host-{number}" for number in range(count)]
        self.world = None
        self.epochs = {}
        self.read = {}
        self.fetching = set()
        self.calls = {}
        self.next_call = 0
        self.accepted = False

    def send(self, host, command):
        """Send a host's command to the leader."""
        self.next_call += 1
        self.calls[self.next_call] = host
        leader = control_cores.leader(self.world, directory.GROUP)
        call = calls.ControlCall(self.next_call, directory.GROUP, command)
        control_cores.call(self.world, leader, call)

    def take(self, node, message):
        """Act on a reply or a hint as an entry host does."""
        if isinstance(message, calls.ManifestChanged):
            host = node.removeprefix("entry-")
            self.send(host, directory.GetManifest())
            return
        if not isinstance(message, calls.ControlReply):
            return
        host = self.calls.pop(message.call_id)
        match message.reply:
            case directory.HostLeaseGranted() as granted:
                self.epochs[host] = granted.epoch
            case directory.ManifestInForce() as manifest:
                self.read[host] = manifest.number
            case directory.ManifestAccepted():
                self.accepted = True

    def renew(self):
        """Renew every lease."""
        for name, epoch in self.epochs.items():
            self.send(name, directory.RenewHostLease(name, epoch, 0))


def _in_force(count: int) -> dict[str, Any]:
    hosts = Hosts(count)
    with tempfile.TemporaryDirectory() as folder:
        world = control_cores.start(pathlib.Path(folder), 3, hosts.take)
        hosts.world = world
        _elected(world)
        for name in hosts.names:
            address = f"tcp://{name}"
            hosts.send(
                name,
                directory.AcquireHostLease(name, "1", address, address, "hall-a"),
            )
        control_cores.run_until(
            world,
            lambda: len(hosts.epochs) == count,
            WARM_UP_S,
        )
        times_s = []
        for number in range(1, 6):
            hosts.renew()
            body = b"%d" % number + b" " * 20_000
            digest = hashlib.sha256(body).hexdigest()
            sent_s = time.monotonic()
            hosts.send("operator", directory.PutManifest(number, digest, body))
            control_cores.run_until(
                world,
                lambda number=number: _all_read(hosts, number),
                WARM_UP_S,
            )
            times_s.append(time.monotonic() - sent_s)
        control_cores.stop(world)
    return {
        "hosts": count,
        "manifest_bytes": 20_000,
        "median_ms": round(statistics.median(times_s) * 1_000, 1),
        "worst_ms": round(max(times_s) * 1_000, 1),
    }


def _all_read(hosts: Hosts, number: int) -> bool:
    return all(hosts.read.get(name) == number for name in hosts.names)


def restart(seconds: float):
    """Put 10,000 manifests, stop all, and start one voter from its disk."""
    del seconds
    changes = 10_000
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        hosts = Hosts(0)
        world = control_cores.start(path, 3, hosts.take)
        hosts.world = world
        _elected(world)
        for number in range(1, changes + 1):
            body = b"%d" % number
            digest = hashlib.sha256(body).hexdigest()
            hosts.send("operator", directory.PutManifest(number, digest, body))
            hosts.accepted = False
            control_cores.run_until(world, lambda: hosts.accepted, WARM_UP_S)
        control_cores.stop(world)
        names = list(world.cores)
        started_s = time.monotonic()
        loaded = store.load(path / names[0]).unwrap()
        load_s = time.monotonic() - started_s
        world.cores.clear()
        for number in range(len(names)):
            control_cores.start_core(world, path, names, number)
        created_s = time.monotonic() - started_s
        group = loaded.groups[directory.GROUP]
        votes_s = _votes_again(world)
        served = _serving_again(world, hosts)
        control_cores.stop(world)
    yield {
        "changes": changes,
        "entries_behind_snapshot": len(group.entries),
        "load_one_ms": round(load_s * 1_000, 1),
        "load_and_create_all_ms": round(created_s * 1_000, 1),
        "votes_again_after_s": round(votes_s, 3),
        "leader_serves_after_s": round(served, 3),
        "manifest_number": hosts.read.get("operator"),
    }


def _votes_again(world: control_cores.World) -> float:
    """Ask one core for a vote until it gives one, with all others at rest."""
    started_s = time.monotonic()
    voter, *others = world.cores.values()
    granted = []
    on_entry = world.on_entry
    world.on_entry = lambda name, message: granted.append(message)
    for other in others:
        other.stopped = True
    replica = voter.tables.groups[directory.GROUP].replica
    request = consensus.VoteRequest(
        group=directory.GROUP,
        term=replica.term + 1,
        candidate=consensus.ReplicaId("control-bench", "disk-bench"),
        last_index=consensus_log.last_index(replica.log),
        last_term=consensus_log.last_term(replica.log),
        pre_vote=True,
    )

    def given() -> bool:
        if not voter.inbox:
            voter.inbox.append(frames.PeerReceived("control-bench", "", request))
        time.sleep(ASK_INTERVAL_S)
        return any(getattr(message, "granted", False) for message in granted)

    control_cores.run_until(world, given, WARM_UP_S)
    for other in others:
        other.stopped = False
    world.on_entry = on_entry
    return time.monotonic() - started_s


def _serving_again(world: control_cores.World, hosts: Hosts) -> float:
    started_s = time.monotonic()
    hosts.read.clear()

    def served() -> bool:
        if control_cores.leader(world, directory.GROUP) is not None:
            hosts.send("operator", directory.GetManifest())
        return "operator" in hosts.read

    control_cores.run_until(world, served, WARM_UP_S)
    return time.monotonic() - started_s


def node(seconds: float):
    """Measure the tick's share of a core and the bytes sent, idle and busy."""
    for hosts_count in (0, 9, 100):
        yield _node(hosts_count, seconds)


def _node(count: int, seconds: float) -> dict[str, Any]:
    hosts = Hosts(count)
    with tempfile.TemporaryDirectory() as folder:
        world = control_cores.start(pathlib.Path(folder), 3, hosts.take)
        hosts.world = world
        _elected(world)
        for name in hosts.names:
            address = f"tcp://{name}"
            hosts.send(
                name,
                directory.AcquireHostLease(name, "1", address, address, "hall-a"),
            )
        control_cores.run_until(world, lambda: len(hosts.epochs) == count, WARM_UP_S)
        for core in world.cores.values():
            core.busy_s, core.sent_bytes = 0.0, 0
        started_s = time.monotonic()
        while time.monotonic() - started_s < seconds:
            hosts.renew()
            end_s = time.monotonic() + RENEWAL_S
            control_cores.run_until(world, lambda: False, end_s - time.monotonic())
        elapsed_s = time.monotonic() - started_s
        leader = world.cores[control_cores.leader(world, directory.GROUP)]
        others = [core for core in world.cores.values() if core is not leader]
        control_cores.stop(world)
    return {
        "hosts_renewing": count,
        "leader_core_percent": round(PERCENT * leader.busy_s / elapsed_s, 2),
        "follower_core_percent": round(PERCENT * others[0].busy_s / elapsed_s, 2),
        "leader_bytes_per_s": round(leader.sent_bytes / elapsed_s),
        "follower_bytes_per_s": round(others[0].sent_bytes / elapsed_s),
    }


def _elected(world: control_cores.World) -> None:
    def all_led() -> bool:
        for number in (directory.GROUP, journal.FIRST_GROUP):
            name = control_cores.leader(world, number)
            if name is None:
                return False
            replica = world.cores[name].tables.groups[number].replica
            if replica.applied_index < replica.office.first_index:
                return False
        return True

    if not control_cores.run_until(world, all_led, WARM_UP_S):
        raise RuntimeError("no leader was elected")


def _quantiles(latencies_s: list[float]) -> dict[str, float]:
    ordered = sorted(latencies_s)
    return {
        "p50_ms": round(ordered[len(ordered) // 2] * 1_000, 2),
        "p99_ms": round(ordered[int(len(ordered) * 0.99)] * 1_000, 2),
    }
