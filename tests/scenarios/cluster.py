"""A whole system in one process: its cores, joined to every fake."""

import dataclasses
import functools
import random
from typing import Any

from bench.invariants import records
from bitternlever.consensus import tables as consensus_tables
from bitternlever.control import tables as control_tables, tick as control_tick
from bitternlever.entry import tables as entry_tables, tick as entry_tick
from bitternlever.messages import (
    consensus,
    directory,
    frames,
    requests,
    telemetry,
    upstream,
)
from bitternlever.storage import restored
from tests.scenarios import (
    callers,
    disks,
    manifests,
    network,
    orders,
    shell,
    upstreams,
    world,
)

ZONES = ["hall-a", "hall-b", "hall-c"]
SNAPSHOT_AFTER_ENTRIES = 64


@dataclasses.dataclass(slots=True, repr=False)
class Cluster:
    """Everything that a scenario can reach."""

    here: world.World
    wires: network.Network
    fleet: upstreams.Fleet
    dialler: shell.Shell
    crowd: callers.Crowd
    delivery: orders.Delivery = dataclasses.field(default_factory=orders.Delivery)
    storage: dict[str, disks.Disk] = dataclasses.field(default_factory=dict)
    control: list[str] = dataclasses.field(default_factory=list)
    entry: list[str] = dataclasses.field(default_factory=list)
    runs: dict[str, int] = dataclasses.field(default_factory=dict)
    operators: dict[int, tuple[str, Any]] = dataclasses.field(default_factory=dict)
    replies: dict[str, list[Any]] = dataclasses.field(default_factory=dict)
    seen: dict[str, int] = dataclasses.field(default_factory=dict)
    ended: dict[str, list[str]] = dataclasses.field(default_factory=dict)


def create(seed: int) -> Cluster:
    """Make an empty system; ``seed`` fixes every random choice in it."""
    here = world.World(random=random.Random(seed))
    wires = network.Network()
    fleet = upstreams.Fleet(here=here, wires=wires)
    return Cluster(
        here=here,
        wires=wires,
        fleet=fleet,
        dialler=shell.Shell(here=here, wires=wires, fleet=fleet),
        crowd=callers.Crowd(here=here, wires=wires),
    )


def start(cluster: Cluster, name: str) -> None:
    """Start a run of a control or entry host from what its disk holds."""
    cluster.runs[name] = cluster.runs.get(name, 0) + 1
    control = name.startswith("control-")
    program = control_tick.tick if control else entry_tick.tick
    tables = (_control_tables if control else _entry_tables)(cluster, name)
    process = world.Process(
        name=name,
        tick=functools.partial(_tick, cluster, name, program),
        tables=tables,
        send=functools.partial(_send, cluster),
    )
    world.start(cluster.here, process)


def apply(cluster: Cluster, operator: str, host: str, put: Any) -> None:
    """Let an operator send a command through an entry host, once."""
    number = next(cluster.crowd.numbers)
    cluster.operators[number] = (operator, put)
    process = cluster.here.processes[host]
    message = requests.OperatorCalled(number, directory.GROUP, put)
    world.deliver(cluster.here, process, message)


def add_upstream(cluster: Cluster, name: str, pool: str) -> None:
    """Start a fake upstream of a pool."""
    announcement = upstream.Announcement(
        name=name,
        incarnation=1,
        sequence=0,
        address=f"http://{name}",
        pool=pool,
        zone=ZONES[len(cluster.fleet.by_name) % len(ZONES)],
        tasks=[manifests.TASKS[pool].value],
    )
    idempotent = pool not in manifests.NOT_IDEMPOTENT
    fake = upstreams.Upstream(announcement=announcement, idempotent=idempotent)
    cluster.fleet.by_name[name] = fake
    upstreams.announce(cluster.fleet, name)


def leaders(cluster: Cluster, group: int) -> list[str]:
    """Return the live hosts that hold themselves for a group's leader, newest last."""
    found = []
    for name in cluster.control:
        process = cluster.here.processes[name]
        replica = process.tables.groups[group].replica
        if (
            world.lives(cluster.here, name)
            and replica.role is consensus_tables.Role.LEADER
        ):
            found.append((replica.term, name))
    return [name for _, name in sorted(found)]


def _control_tables(cluster: Cluster, name: str) -> control_tables.ControlTables:
    disk = cluster.storage.setdefault(name, new_disk(f"{name}-disk-1"))
    disk.waiting.clear()
    settings = control_tables.ControlSettings(
        node=name,
        link=network.link(name),
        zone=_zone(name),
        disk=disk.synced.disk,
        nodes={each: network.link(each) for each in cluster.control},
        zones={each: _zone(each) for each in cluster.control},
        snapshot_after_entries=SNAPSHOT_AFTER_ENTRIES,
    )
    held = disks.read(disk)
    return control_tables.create(
        settings, held, seed=cluster.here.random.getrandbits(32)
    )


def new_disk(identity: str) -> disks.Disk:
    """Make an empty disk with an identity of its own."""
    return disks.Disk(synced=restored.Restored(disk=identity))


def _entry_tables(cluster: Cluster, name: str) -> entry_tables.EntryTables:
    settings = entry_tables.EntrySettings(
        host=name.removeprefix("entry-"),
        zone=_zone(name),
        address=f"http://{name}",
        link=network.link(name),
        incarnation=f"{name}-{cluster.runs[name]}",
        control_nodes={each: network.link(each) for each in cluster.control},
        seed_links=[network.link(each) for each in cluster.entry],
    )
    return entry_tables.create(settings, seed=cluster.here.random.getrandbits(32))


def _zone(name: str) -> str:
    return ZONES[int(name.rpartition("-")[2]) % len(ZONES)]


def _tick(cluster: Cluster, name: str, program: Any, tables: Any, now: float, inbox):
    outbox = program(tables, now, inbox)
    if isinstance(tables, entry_tables.EntryTables):
        run = f"{name}-{cluster.runs[name]}"
        view = tables.manifest
        if view.number != cluster.seen.get(run, 0):
            cluster.seen[run] = view.number
            record = records.ManifestSeen(run, view.number, view.digest, now)
            cluster.here.recorded.append(record)
    return outbox


def _send(cluster: Cluster, process: world.Process, message: Any) -> None:
    match message:
        case frames.SendPeer():
            network.send(cluster.here, cluster.wires, process.name, message)
        case consensus.WriteLog() | consensus.WriteSnapshot():
            disks.write(cluster.here, cluster.storage[process.name], process, message)
        case requests.CallUpstream():
            shell.call(cluster.dialler, process, message)
        case requests.CancelUpstream():
            shell.cancel(cluster.dialler, message)
        case requests.OperatorAnswered():
            _answer_operator(cluster, message.caller, message.reply)
        case requests.ProblemAnswer() if message.caller in cluster.operators:
            _answer_operator(cluster, message.caller, message.problem)
        case requests.ProcessEnd():
            cluster.ended[process.name] = message.cut_off
            world.kill(cluster.here, process.name)
        case requests.SendOrder():
            orders.send(cluster.dialler, cluster.delivery, process, message)
        case telemetry.SpanFinished():
            return
        case _:
            callers.receive(cluster.crowd, process, message)


def _answer_operator(cluster: Cluster, caller: int, reply: Any) -> None:
    operator, _ = cluster.operators.pop(caller)
    cluster.replies.setdefault(operator, []).append(reply)
    if isinstance(reply, directory.ManifestAccepted):
        now = cluster.here.now
        record = records.ManifestAccepted(operator, reply.number, reply.digest, now)
        cluster.here.recorded.append(record)
