"""Measure commits, failover, manifest propagation and restarts of control cores."""

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

TIMEOUT_S = 10.0
PERCENT = 100
BODY_BYTES = 200
VOTE_REQUEST_INTERVAL_S = 0.01
RENEWAL_INTERVAL_S = 0.5


class ClaimLoad:
    """Callers that keep ``outstanding`` claims unanswered in journal group 1."""

    def __init__(self, cluster, outstanding):
        self.cluster = cluster
        self.outstanding = outstanding
        self.sent_s = {}
        self.next_call = 0
        self.latencies_s = []
        self.leader = control_cores.leader(cluster, journal.FIRST_GROUP)

    def send_claims(self):
        """Send claims until ``outstanding`` are unanswered."""
        while len(self.sent_s) < self.outstanding:
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
            self.sent_s[self.next_call] = time.perf_counter()
            control_cores.deliver_call(self.cluster, self.leader, call)

    def handle_reply(self, node, message):
        """Record the latency of a reply; raise RuntimeError for any other message."""
        if not isinstance(message, calls.ControlReply):
            raise RuntimeError(f"expected a ControlReply, got {message!r}")
        if not isinstance(message.reply, journal.Claimed):
            raise RuntimeError(f"expected a Claimed reply, got {message.reply!r}")
        sent_s = self.sent_s.pop(message.call_id)
        self.latencies_s.append(time.perf_counter() - sent_s)


def run(arguments: list[str]) -> int:
    """Run the chosen experiments and print one JSON object per line."""
    parser = argparse.ArgumentParser(prog="sh scripts/bench control")
    experiments = {
        "commits": commits,
        "failover": failover,
        "in-force": in_force,
        "restart": restart,
        "node": node,
    }
    parser.add_argument(
        "experiments", nargs="*", choices=[*experiments, []], default=[]
    )
    parser.add_argument("--seconds", type=float, default=3.0)
    options = parser.parse_args(arguments)
    for name in options.experiments or experiments:
        for line in experiments[name](options.seconds):
            print(json.dumps({"experiment": name, **line}), flush=True)
    return 0


def commits(seconds: float):
    """Commit claims synced to disk, for several loads and numbers of voters."""
    for voters in (3, 5):
        for outstanding in (1, 8, 32, 128, 512):
            yield _measure_commits(voters, outstanding, seconds)


def _measure_commits(voters: int, outstanding: int, seconds: float) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as folder:
        loads = []
        cluster = control_cores.start(
            pathlib.Path(folder),
            voters,
            lambda name, message: loads[0].handle_reply(name, message),
            maximum_journal_bytes=1_000_000_000,
        )
        _wait_for_leaders(cluster)
        load = ClaimLoad(cluster, outstanding)
        loads.append(load)
        started_s = time.monotonic()
        end_s = started_s + seconds
        while time.monotonic() < end_s:
            load.send_claims()
            control_cores.run_once(cluster, end_s)
        elapsed_s = time.monotonic() - started_s
        control_cores.stop(cluster)
        return {
            "voters": voters,
            "outstanding": outstanding,
            "commits_per_s": round(len(load.latencies_s) / elapsed_s),
            **_quantiles(load.latencies_s),
        }


def failover(seconds: float):
    """Measure the time from the loss of group 0's leader to the next one's reply."""
    del seconds
    for voters in (3, 5):
        times_s = [_measure_failover(voters) for _ in range(5)]
        lease_s = 0.8
        yield {
            "voters": voters,
            "runs": len(times_s),
            "median_s": round(statistics.median(times_s), 3),
            "worst_s": round(max(times_s), 3),
            "median_lease_terms": round(statistics.median(times_s) / lease_s, 2),
        }


def _measure_failover(voters: int) -> float:
    with tempfile.TemporaryDirectory() as folder:
        replies = []
        cluster = control_cores.start(
            pathlib.Path(folder),
            voters,
            lambda name, message: replies.append(message),
        )
        _wait_for_leaders(cluster)
        former_leader = control_cores.leader(cluster, directory.GROUP)
        cluster.cores[former_leader].is_stopped = True
        stopped_s = time.monotonic()
        call_count = [0]

        def served() -> bool:
            name = control_cores.leader(cluster, directory.GROUP)
            if name is not None:
                call_count[0] += 1
                call = calls.ControlCall(call_count[0], 0, directory.GetManifest())
                control_cores.deliver_call(cluster, name, call)
            return any(isinstance(reply, calls.ControlReply) for reply in replies)

        control_cores.run_until(cluster, served, TIMEOUT_S)
        failover_s = time.monotonic() - stopped_s
        control_cores.stop(cluster)
        return failover_s


def in_force(seconds: float):
    """Measure the time from sending a manifest until every host has read it."""
    del seconds
    for hosts in (9, 50, 100, 200, 400):
        yield _measure_in_force(hosts)


class EntryHosts:
    """Entry hosts that renew their leases and fetch each announced manifest.

    ``read_numbers`` are the numbers of the manifests read last, by host.
    """

    def __init__(self, count):
        self.names = [f"host-{number}" for number in range(count)]
        self.cluster = None
        self.epochs = {}
        self.read_numbers = {}
        self.fetching = set()
        self.host_by_call = {}
        self.next_call = 0
        self.accepted = False

    def send(self, host, command):
        """Send a host's command to the leader."""
        self.next_call += 1
        self.host_by_call[self.next_call] = host
        leader = control_cores.leader(self.cluster, directory.GROUP)
        call = calls.ControlCall(self.next_call, directory.GROUP, command)
        control_cores.deliver_call(self.cluster, leader, call)

    def handle_message(self, node, message):
        """Handle a reply or a hint as an entry host does."""
        if isinstance(message, calls.ManifestChanged):
            host = node.removeprefix("entry-")
            self.send(host, directory.GetManifest())
            return
        if not isinstance(message, calls.ControlReply):
            return
        host = self.host_by_call.pop(message.call_id)
        match message.reply:
            case directory.HostLeaseGranted() as granted:
                self.epochs[host] = granted.epoch
            case directory.ManifestInForce() as manifest:
                self.read_numbers[host] = manifest.number
            case directory.ManifestAccepted():
                self.accepted = True

    def renew(self):
        """Send a renewal of every host lease."""
        for name, epoch in self.epochs.items():
            self.send(name, directory.RenewHostLease(name, epoch, 0))


def _measure_in_force(count: int) -> dict[str, Any]:
    hosts = EntryHosts(count)
    with tempfile.TemporaryDirectory() as folder:
        cluster = control_cores.start(pathlib.Path(folder), 3, hosts.handle_message)
        hosts.cluster = cluster
        _wait_for_leaders(cluster)
        for name in hosts.names:
            address = f"tcp://{name}"
            hosts.send(
                name,
                directory.AcquireHostLease(name, "1", address, address, "hall-a"),
            )
        control_cores.run_until(
            cluster,
            lambda: len(hosts.epochs) == count,
            TIMEOUT_S,
        )
        times_s = []
        for number in range(1, 6):
            hosts.renew()
            body = b"%d" % number + b" " * 20_000
            digest = hashlib.sha256(body).hexdigest()
            sent_s = time.monotonic()
            hosts.send("operator", directory.PutManifest(number, digest, body))
            control_cores.run_until(
                cluster,
                lambda number=number: _all_read(hosts, number),
                TIMEOUT_S,
            )
            times_s.append(time.monotonic() - sent_s)
        control_cores.stop(cluster)
    return {
        "hosts": count,
        "manifest_bytes": 20_000,
        "median_ms": round(statistics.median(times_s) * 1_000, 1),
        "worst_ms": round(max(times_s) * 1_000, 1),
    }


def _all_read(hosts: EntryHosts, number: int) -> bool:
    return all(hosts.read_numbers.get(name) == number for name in hosts.names)


def restart(seconds: float):
    """Put 10,000 manifests, stop all voters and start them from their disks."""
    del seconds
    changes = 10_000
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        hosts = EntryHosts(0)
        cluster = control_cores.start(path, 3, hosts.handle_message)
        hosts.cluster = cluster
        _wait_for_leaders(cluster)
        for number in range(1, changes + 1):
            body = b"%d" % number
            digest = hashlib.sha256(body).hexdigest()
            hosts.send("operator", directory.PutManifest(number, digest, body))
            hosts.accepted = False
            control_cores.run_until(cluster, lambda: hosts.accepted, TIMEOUT_S)
        control_cores.stop(cluster)
        names = list(cluster.cores)
        started_s = time.monotonic()
        loaded = store.load(path / names[0]).unwrap()
        load_s = time.monotonic() - started_s
        cluster.cores.clear()
        for number in range(len(names)):
            control_cores.start_core(cluster, path, names, number)
        created_s = time.monotonic() - started_s
        group = loaded.groups[directory.GROUP]
        vote_s = _time_until_vote_s(cluster)
        served_s = _time_until_served_s(cluster, hosts)
        control_cores.stop(cluster)
    yield {
        "changes": changes,
        "entries_behind_snapshot": len(group.entries),
        "load_one_ms": round(load_s * 1_000, 1),
        "load_and_create_all_ms": round(created_s * 1_000, 1),
        "votes_again_after_s": round(vote_s, 3),
        "leader_serves_after_s": round(served_s, 3),
        "manifest_number": hosts.read_numbers.get("operator"),
    }


def _time_until_vote_s(cluster: control_cores.Cluster) -> float:
    """Measure the time until one core grants a vote, with all others stopped."""
    started_s = time.monotonic()
    voter, *others = cluster.cores.values()
    replies = []
    on_entry_message = cluster.on_entry_message
    cluster.on_entry_message = lambda name, message: replies.append(message)
    for other in others:
        other.is_stopped = True
    replica = voter.tables.groups[directory.GROUP].replica
    request = consensus.VoteRequest(
        group=directory.GROUP,
        term=replica.term + 1,
        candidate=consensus.ReplicaId("control-bench", "disk-bench"),
        last_index=consensus_log.last_index(replica.log),
        last_term=consensus_log.last_term(replica.log),
        pre_vote=True,
    )

    def vote_granted() -> bool:
        if not voter.inbox:
            voter.inbox.append(frames.PeerMessageReceived("control-bench", "", request))
        time.sleep(VOTE_REQUEST_INTERVAL_S)
        return any(getattr(message, "granted", False) for message in replies)

    control_cores.run_until(cluster, vote_granted, TIMEOUT_S)
    for other in others:
        other.is_stopped = False
    cluster.on_entry_message = on_entry_message
    return time.monotonic() - started_s


def _time_until_served_s(cluster: control_cores.Cluster, hosts: EntryHosts) -> float:
    started_s = time.monotonic()
    hosts.read_numbers.clear()

    def served() -> bool:
        if control_cores.leader(cluster, directory.GROUP) is not None:
            hosts.send("operator", directory.GetManifest())
        return "operator" in hosts.read_numbers

    control_cores.run_until(cluster, served, TIMEOUT_S)
    return time.monotonic() - started_s


def node(seconds: float):
    """Measure processor use and bytes sent by leader and follower under renewals."""
    for hosts_count in (0, 9, 100):
        yield _measure_node(hosts_count, seconds)


def _measure_node(count: int, seconds: float) -> dict[str, Any]:
    hosts = EntryHosts(count)
    with tempfile.TemporaryDirectory() as folder:
        cluster = control_cores.start(pathlib.Path(folder), 3, hosts.handle_message)
        hosts.cluster = cluster
        _wait_for_leaders(cluster)
        for name in hosts.names:
            address = f"tcp://{name}"
            hosts.send(
                name,
                directory.AcquireHostLease(name, "1", address, address, "hall-a"),
            )
        control_cores.run_until(cluster, lambda: len(hosts.epochs) == count, TIMEOUT_S)
        for core in cluster.cores.values():
            core.busy_s, core.sent_bytes = 0.0, 0
        started_s = time.monotonic()
        while time.monotonic() - started_s < seconds:
            hosts.renew()
            end_s = time.monotonic() + RENEWAL_INTERVAL_S
            control_cores.run_until(cluster, lambda: False, end_s - time.monotonic())
        elapsed_s = time.monotonic() - started_s
        leader = cluster.cores[control_cores.leader(cluster, directory.GROUP)]
        others = [core for core in cluster.cores.values() if core is not leader]
        control_cores.stop(cluster)
    return {
        "hosts_renewing": count,
        "leader_core_percent": round(PERCENT * leader.busy_s / elapsed_s, 2),
        "follower_core_percent": round(PERCENT * others[0].busy_s / elapsed_s, 2),
        "leader_bytes_per_s": round(leader.sent_bytes / elapsed_s),
        "follower_bytes_per_s": round(others[0].sent_bytes / elapsed_s),
    }


def _wait_for_leaders(cluster: control_cores.Cluster) -> None:
    def all_led() -> bool:
        for number in (directory.GROUP, journal.FIRST_GROUP):
            name = control_cores.leader(cluster, number)
            if name is None:
                return False
            replica = cluster.cores[name].tables.groups[number].replica
            if replica.applied_index < replica.leader_state.term_start_index:
                return False
        return True

    if not control_cores.run_until(cluster, all_led, TIMEOUT_S):
        raise RuntimeError("a group has no leader that has applied its first entry")


def _quantiles(latencies_s: list[float]) -> dict[str, float]:
    ordered = sorted(latencies_s)
    return {
        "p50_ms": round(ordered[len(ordered) // 2] * 1_000, 2),
        "p99_ms": round(ordered[int(len(ordered) * 0.99)] * 1_000, 2),
    }
