"""Control cores with real disks in one process, linked by encoded messages.

Every message between two cores is encoded and decoded as on a link, without the
socket. All voters share one core of the machine here, which processes do not.
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
    wake_s: float = 0.0
    sent_bytes: int = 0
    busy_s: float = 0.0
    stopped: bool = False


@dataclasses.dataclass(slots=True)
class World:
    """All cores, and who takes what they send to entry hosts."""

    cores: dict[str, Core]
    disk_events: queue.SimpleQueue
    on_entry: Callable[[str, Any], None]


def start(
    folder: pathlib.Path,
    voters: int,
    on_entry: Callable[[str, Any], None],
    **settings,
) -> World:
    """Start cores on new folders below ``folder``."""
    world = World(cores={}, disk_events=queue.SimpleQueue(), on_entry=on_entry)
    names = [f"control-{number}" for number in range(voters)]
    for number in range(voters):
        start_core(world, folder, names, number, **settings)
    return world


def start_core(
    world: World,
    folder: pathlib.Path,
    names: list[str],
    number: int,
    **settings,
) -> Core:
    """Start one core from what its folder holds."""
    name = names[number]
    loaded = store.load(folder / name).unwrap()
    core_settings = control_tables.ControlSettings(
        node=name,
        link=f"tcp://{name}",
        zone=ZONES[number % len(ZONES)],
        disk=loaded.disk,
        nodes={each: f"tcp://{each}" for each in names},
        zones={each: ZONES[at % len(ZONES)] for at, each in enumerate(names)},
        **settings,
    )
    core = Core(
        name=name,
        tables=control_tables.create(core_settings, loaded, seed=number),
        writer=writer.start(
            folder / name,
            lambda event: world.disk_events.put((name, event)),
        ),
    )
    world.cores[name] = core
    return core


def stop(world: World) -> None:
    """End all writers."""
    for core in world.cores.values():
        writer.stop(core.writer)


def call(world: World, name: str, message: calls.ControlCall) -> None:
    """Put an entry host's call into a core's inbox, encoded once and back."""
    received = frames.PeerReceived(
        "entry-bench", "tcp://bench", decode(encode(message))
    )
    world.cores[name].inbox.append(received)


def turn(world: World, until_s: float) -> None:
    """Tick all cores that have something to do, or wait for the disk."""
    _take_disk_events(world)
    now = time.monotonic()
    busy = False
    for core in world.cores.values():
        if core.stopped:
            continue
        if core.inbox or now >= core.wake_s:
            _tick(world, core)
            busy = True
    if busy:
        return
    wakes = [core.wake_s for core in world.cores.values() if not core.stopped]
    wait_s = min([until_s, *wakes]) - time.monotonic()
    if wait_s > 0.0:
        _wait_for_disk(world, wait_s)


def run_until(world: World, condition: Callable[[], bool], seconds: float) -> bool:
    """Turn until a condition holds; False when the time is over."""
    end_s = time.monotonic() + seconds
    while not condition():
        if time.monotonic() >= end_s:
            return False
        turn(world, end_s)
    return True


def leader(world: World, group: int) -> str | None:
    """Return the newest leader of a group."""
    found = [
        (core.tables.groups[group].replica.term, core.name)
        for core in world.cores.values()
        if not core.stopped
        and core.tables.groups[group].replica.role is consensus_tables.Role.LEADER
    ]
    return max(found)[1] if found else None


def _tick(world: World, core: Core) -> None:
    started_s = time.perf_counter()
    inbox, core.inbox = core.inbox, []
    outbox = tick.tick(core.tables, time.monotonic(), inbox)
    wake_s = outbox.wake_at_s
    core.wake_s = time.monotonic() + 1.0 if wake_s is None else wake_s
    for message in outbox.messages:
        if isinstance(message, frames.SendPeer):
            _send(world, core, message)
        else:
            writer.submit(core.writer, message)
    core.busy_s += time.perf_counter() - started_s


def _send(world: World, core: Core, peer: frames.SendPeer) -> None:
    data = encode(peer.message)
    core.sent_bytes += len(data)
    target = world.cores.get(peer.node)
    if target is None:
        world.on_entry(peer.node, decode(data))
        return
    if not target.stopped:
        target.inbox.append(frames.PeerReceived(core.name, "", decode(data)))


def _take_disk_events(world: World) -> None:
    while not world.disk_events.empty():
        _disk_event(world, *world.disk_events.get())


def _wait_for_disk(world: World, wait_s: float) -> None:
    try:
        name, event = world.disk_events.get(timeout=wait_s)
    except queue.Empty:
        return
    _disk_event(world, name, event)


def _disk_event(
    world: World,
    name: str,
    event: consensus.LogSynced | consensus.SnapshotSynced | consensus.DiskFailed,
) -> None:
    world.cores[name].inbox.append(event)
