"""A whole system in one process: real cores with fake surroundings."""

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
    simulation,
    upstreams,
)

ZONES = ["hall-a", "hall-b", "hall-c"]
SNAPSHOT_AFTER_ENTRIES = 64


@dataclasses.dataclass(slots=True, repr=False)
class Cluster:
    """The simulated system of a scenario.

    ``incarnations`` counts the starts of each host. ``manifest_numbers`` has the number
    of the manifest in force by incarnation, ``cut_off_requests`` the requests that an
    ended host cut off.
    """

    sim: simulation.Simulation
    net: network.Network
    fleet: upstreams.Fleet
    upstream_shell: shell.Shell
    caller_table: callers.CallerTable
    order_delivery: orders.Delivery = dataclasses.field(default_factory=orders.Delivery)
    disk_by_host: dict[str, disks.Disk] = dataclasses.field(default_factory=dict)
    control: list[str] = dataclasses.field(default_factory=list)
    entry: list[str] = dataclasses.field(default_factory=list)
    incarnations: dict[str, int] = dataclasses.field(default_factory=dict)
    operator_calls: dict[int, tuple[str, Any]] = dataclasses.field(default_factory=dict)
    replies: dict[str, list[Any]] = dataclasses.field(default_factory=dict)
    manifest_numbers: dict[str, int] = dataclasses.field(default_factory=dict)
    cut_off_requests: dict[str, list[str]] = dataclasses.field(default_factory=dict)


def create(seed: int) -> Cluster:
    """Create a system without hosts; ``seed`` determines all its random choices."""
    sim = simulation.Simulation(random=random.Random(seed))
    net = network.Network()
    fleet = upstreams.Fleet(sim=sim, net=net)
    return Cluster(
        sim=sim,
        net=net,
        fleet=fleet,
        upstream_shell=shell.Shell(sim=sim, net=net, fleet=fleet),
        caller_table=callers.CallerTable(sim=sim, net=net),
    )


def start(cluster: Cluster, name: str) -> None:
    """Start a control or entry host, with the synced state of its disk."""
    cluster.incarnations[name] = cluster.incarnations.get(name, 0) + 1
    control = name.startswith("control-")
    program = control_tick.tick if control else entry_tick.tick
    tables = (_control_tables if control else _entry_tables)(cluster, name)
    process = simulation.Process(
        name=name,
        tick=functools.partial(_tick, cluster, name, program),
        tables=tables,
        send=functools.partial(_send, cluster),
    )
    simulation.start(cluster.sim, process)


def send_operator_command(
    cluster: Cluster, operator: str, host: str, command: Any
) -> None:
    """Send an operator's command through an entry host, once."""
    number = next(cluster.caller_table.exchange_numbers)
    cluster.operator_calls[number] = (operator, command)
    process = cluster.sim.processes[host]
    message = requests.OperatorCalled(number, directory.GROUP, command)
    simulation.deliver(cluster.sim, process, message)


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
    """Return the running hosts that act as a group's leader, the newest term last."""
    found = []
    for name in cluster.control:
        process = cluster.sim.processes[name]
        replica = process.tables.groups[group].replica
        if (
            simulation.is_running(cluster.sim, name)
            and replica.role is consensus_tables.Role.LEADER
        ):
            found.append((replica.term, name))
    return [name for _, name in sorted(found)]


def _control_tables(cluster: Cluster, name: str) -> control_tables.ControlTables:
    disk = cluster.disk_by_host.setdefault(name, new_disk(f"{name}-disk-1"))
    disk.unsynced.clear()
    settings = control_tables.ControlSettings(
        node=name,
        link=network.link(name),
        zone=_zone(name),
        disk=disk.synced.disk,
        nodes={node: network.link(node) for node in cluster.control},
        zones={node: _zone(node) for node in cluster.control},
        snapshot_after_entries=SNAPSHOT_AFTER_ENTRIES,
    )
    disk_state = disks.read(disk)
    return control_tables.create(
        settings, disk_state, seed=cluster.sim.random.getrandbits(32)
    )


def new_disk(identity: str) -> disks.Disk:
    """Return an empty disk with a given identity."""
    return disks.Disk(synced=restored.RestoredState(disk=identity))


def _entry_tables(cluster: Cluster, name: str) -> entry_tables.EntryTables:
    settings = entry_tables.EntrySettings(
        host=name.removeprefix("entry-"),
        zone=_zone(name),
        address=f"http://{name}",
        link=network.link(name),
        incarnation=f"{name}-{cluster.incarnations[name]}",
        control_nodes={node: network.link(node) for node in cluster.control},
        seed_links=[network.link(host) for host in cluster.entry],
    )
    return entry_tables.create(settings, seed=cluster.sim.random.getrandbits(32))


def _zone(name: str) -> str:
    return ZONES[int(name.rpartition("-")[2]) % len(ZONES)]


def _tick(cluster: Cluster, name: str, program: Any, tables: Any, now: float, inbox):
    outbox = program(tables, now, inbox)
    if isinstance(tables, entry_tables.EntryTables):
        incarnation = f"{name}-{cluster.incarnations[name]}"
        view = tables.manifest
        if view.number != cluster.manifest_numbers.get(incarnation, 0):
            cluster.manifest_numbers[incarnation] = view.number
            record = records.ManifestSeen(incarnation, view.number, view.digest, now)
            cluster.sim.recorded.append(record)
    return outbox


def _send(cluster: Cluster, process: simulation.Process, message: Any) -> None:
    match message:
        case frames.SendToPeer():
            network.send(cluster.sim, cluster.net, process.name, message)
        case consensus.WriteLog() | consensus.WriteSnapshot():
            disks.write(
                cluster.sim, cluster.disk_by_host[process.name], process, message
            )
        case requests.CallUpstream():
            shell.call(cluster.upstream_shell, process, message)
        case requests.CancelUpstream():
            shell.cancel(cluster.upstream_shell, message)
        case requests.OperatorAnswered():
            _answer_operator(cluster, message.caller, message.reply)
        case requests.ProblemAnswer() if message.caller in cluster.operator_calls:
            _answer_operator(cluster, message.caller, message.problem)
        case requests.ProcessEnd():
            cluster.cut_off_requests[process.name] = message.cut_off
            simulation.kill(cluster.sim, process.name)
        case requests.SendOrder():
            orders.send(
                cluster.upstream_shell, cluster.order_delivery, process, message
            )
        case telemetry.SpanFinished():
            return
        case _:
            callers.receive(cluster.caller_table, process, message)


def _answer_operator(cluster: Cluster, caller: int, reply: Any) -> None:
    operator, _ = cluster.operator_calls.pop(caller)
    cluster.replies.setdefault(operator, []).append(reply)
    if isinstance(reply, directory.ManifestAccepted):
        now = cluster.sim.now
        record = records.ManifestAccepted(operator, reply.number, reply.digest, now)
        cluster.sim.recorded.append(record)
