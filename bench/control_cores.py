"""Control cores with real disks in one process, linked by encoded messages.

Every message between two cores is encoded and decoded as on a link, without the
socket. Unlike separate processes, all voters share one processor core.
"""

import dataclasses
import pathlib
import queue
import time
from collections.abc import Callable
from typing import Any

import msgspec

from bitternlever.consensus import tables as consensus_tables
from bitternlever.control import tables as control_tables, tick
from bitternlever.messages import calls, consensus, frames
from bitternlever.storage import store, writer

ZONES = ("hall-a", "hall-b", "hall-c")
START_TIMEOUT_S = 10.0

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(frames.PeerMessage).decode


@dataclasses.dataclass(slots=True)
class Core:
    """One control core with its disk."""

    name: str
    tables: control_tables.ControlTables
    writer: writer.Writer
    inbox: list[Any] = dataclasses.field(default_factory=list)
    wake_at_s: float = 0.0
    sent_bytes: int = 0
    busy_s: float = 0.0
    is_stopped: bool = False


@dataclasses.dataclass(slots=True)
class Cluster:
    """All cores, and the handler of their messages to entry hosts."""

    cores: dict[str, Core]
    disk_events: queue.SimpleQueue
    on_entry_message: Callable[[str, Any], None]


def start(
    folder: pathlib.Path,
    voter_count: int,
    on_entry_message: Callable[[str, Any], None],
    **settings,
) -> Cluster:
    """Start ``voter_count`` cores, each with its data below ``folder``."""
    cluster = Cluster(
        cores={}, disk_events=queue.SimpleQueue(), on_entry_message=on_entry_message
    )
    names = [f"control-{number}" for number in range(voter_count)]
    for number in range(voter_count):
        start_core(cluster, folder, names, number, **settings)
    return cluster


def start_core(
    cluster: Cluster,
    folder: pathlib.Path,
    names: list[str],
    number: int,
    **settings,
) -> Core:
    """Start one core from the data in its folder."""
    name = names[number]
    loaded = store.load(folder / name).unwrap()
    core_settings = control_tables.ControlSettings(
        node=name,
        link=f"tcp://{name}",
        zone=ZONES[number % len(ZONES)],
        disk=loaded.disk,
        nodes={node: f"tcp://{node}" for node in names},
        zones={node: ZONES[index % len(ZONES)] for index, node in enumerate(names)},
        **settings,
    )
    core = Core(
        name=name,
        tables=control_tables.create(core_settings, loaded, seed=number),
        writer=writer.start(
            folder / name,
            lambda event: cluster.disk_events.put((name, event)),
        ),
    )
    cluster.cores[name] = core
    return core


def stop(cluster: Cluster) -> None:
    """Stop all writers."""
    for core in cluster.cores.values():
        writer.stop(core.writer)


def deliver_call(cluster: Cluster, name: str, message: calls.ControlCall) -> None:
    """Encode and decode a call of an entry host and put it into a core's inbox."""
    received = frames.PeerMessageReceived(
        "entry-bench", "tcp://bench", decode(encode(message))
    )
    cluster.cores[name].inbox.append(received)


def run_once(cluster: Cluster, until_s: float) -> None:
    """Tick all cores that have work, or wait for the next disk event."""
    _deliver_disk_events(cluster)
    now = time.monotonic()
    busy = False
    for core in cluster.cores.values():
        if core.is_stopped:
            continue
        if core.inbox or now >= core.wake_at_s:
            _tick(cluster, core)
            busy = True
    if busy:
        return
    wake_times_s = [
        core.wake_at_s for core in cluster.cores.values() if not core.is_stopped
    ]
    wait_s = min([until_s, *wake_times_s]) - time.monotonic()
    if wait_s > 0.0:
        _wait_for_disk(cluster, wait_s)


def run_until(cluster: Cluster, condition: Callable[[], bool], seconds: float) -> bool:
    """Run the cores until a condition holds; return False on timeout."""
    end_s = time.monotonic() + seconds
    while not condition():
        if time.monotonic() >= end_s:
            return False
        run_once(cluster, end_s)
    return True


def leader(cluster: Cluster, group: int) -> str | None:
    """Return the name of the group's leader with the highest term, if any."""
    leaders = [
        (core.tables.groups[group].replica.term, core.name)
        for core in cluster.cores.values()
        if not core.is_stopped
        and core.tables.groups[group].replica.role is consensus_tables.Role.LEADER
    ]
    return max(leaders)[1] if leaders else None


def _tick(cluster: Cluster, core: Core) -> None:
    started_s = time.perf_counter()
    inbox, core.inbox = core.inbox, []
    outbox = tick.tick(core.tables, time.monotonic(), inbox)
    wake_at_s = outbox.wake_at_s
    core.wake_at_s = time.monotonic() + 1.0 if wake_at_s is None else wake_at_s
    for message in outbox.messages:
        if isinstance(message, frames.SendToPeer):
            _send(cluster, core, message)
        else:
            writer.submit(core.writer, message)
    core.busy_s += time.perf_counter() - started_s


def _send(cluster: Cluster, core: Core, outgoing: frames.SendToPeer) -> None:
    data = encode(outgoing.message)
    core.sent_bytes += len(data)
    receiver = cluster.cores.get(outgoing.node)
    if receiver is None:
        cluster.on_entry_message(outgoing.node, decode(data))
        return
    if not receiver.is_stopped:
        receiver.inbox.append(frames.PeerMessageReceived(core.name, "", decode(data)))


def _deliver_disk_events(cluster: Cluster) -> None:
    while not cluster.disk_events.empty():
        _deliver_disk_event(cluster, *cluster.disk_events.get())


def _wait_for_disk(cluster: Cluster, wait_s: float) -> None:
    try:
        name, event = cluster.disk_events.get(timeout=wait_s)
    except queue.Empty:
        return
    _deliver_disk_event(cluster, name, event)


def _deliver_disk_event(
    cluster: Cluster,
    name: str,
    event: consensus.LogSynced | consensus.SnapshotSynced | consensus.DiskFailed,
) -> None:
    cluster.cores[name].inbox.append(event)
