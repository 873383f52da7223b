"""All tables of a control process of a fleet, and its settings."""

import dataclasses
from typing import Any

from bitternlever.catalog import machine
from bitternlever.consensus import replica, tables as consensus_tables
from bitternlever.fleet import hosts as fleet_hosts, upstreams as fleet_upstreams
from bitternlever.messages import consensus, fleet
from bitternlever.storage import restored as storage_restored

GROUP = 0

ELECTION_TIMEOUT_S = 0.5
"""A lost packet is sent again after 0.2 s; a killed leader is replaced in a second."""

HEARTBEAT_S = 0.12
"""Four heartbeats within an election timeout."""


@dataclasses.dataclass(slots=True, frozen=True)
class FleetSettings:
    """Settings of the control core; nodes are named by their links.

    ``seeds`` are the links of nodes that are told at the start; with ``may_found``
    they are the first voters. ``tolerated_losses`` counts the nodes that may be lost
    at the same time.
    """

    link: str
    zone: str
    disk: str
    run: str
    seeds: tuple[str, ...]
    may_found: bool
    tolerated_losses: int = 1
    election_timeout_s: float = ELECTION_TIMEOUT_S
    heartbeat_s: float = HEARTBEAT_S


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """A replica that asked to take part, and when."""

    replica: consensus.ReplicaId
    heard_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class HeardLoad:
    """What a batching host told of a service, and when it came."""

    load: fleet.ServiceLoad
    heard_s: float


@dataclasses.dataclass(slots=True)
class Subscriber:
    """An entry host that hears this process; ``pushed_version`` was sent last."""

    link: str
    heard_s: float
    started_ms: int
    pushed_version: int | None = None
    pushed_s: float = 0.0
    told_all: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class PutRequested:
    """An operator sends a catalog; ``token`` names the waiting call."""

    token: int
    version: int
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class ReadRequested:
    """An operator reads the catalog; ``token`` names the waiting call."""

    token: int


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamHeard:
    """An upstream's word has come in."""

    word: Any


@dataclasses.dataclass(slots=True, frozen=True)
class Done:
    """Leave the core: a put is committed, or a read found this catalog."""

    token: int
    version: int | None = None
    body: bytes = b""


@dataclasses.dataclass(slots=True, frozen=True)
class Elsewhere:
    """Leave the core: another node leads; its link is None where nobody is known."""

    token: int
    leader: str | None


@dataclasses.dataclass(slots=True)
class FleetTables:
    """Everything that a control process knows; systems run over it each tick.

    ``seeds`` are the newest that the settings name; ``zones`` are the availability
    zones of nodes that have asked to take part.
    """

    settings: FleetSettings
    seeds: tuple[str, ...]
    held: machine.Held
    replica: consensus_tables.Replica
    upstreams: fleet_upstreams.Upstreams = dataclasses.field(
        default_factory=fleet_upstreams.Upstreams,
    )
    hosts: fleet_hosts.Hosts = dataclasses.field(default_factory=fleet_hosts.Hosts)
    candidates: dict[str, Candidate] = dataclasses.field(default_factory=dict)
    loads: dict[str, HeardLoad] = dataclasses.field(default_factory=dict)
    zones: dict[str, str] = dataclasses.field(default_factory=dict)
    subscribers: dict[str, Subscriber] = dataclasses.field(default_factory=dict)
    changed: set[str] = dataclasses.field(default_factory=set)
    heard_again: set[str] = dataclasses.field(default_factory=set)
    tell_at_s: float = 0.0
    join_at_s: float = 0.0
    check_members_at_s: float = 0.0
    stop_at_s: float | None = None


def create(
    settings: FleetSettings,
    restored: storage_restored.Restored,
    seed: int,
) -> FleetTables:
    """Make the tables from what the disk holds; ``seed`` fixes random choices."""
    held = machine.Held()
    own = replica.create(
        consensus_tables.ReplicaSettings(
            group=GROUP,
            identity=consensus.ReplicaId(node=settings.link, disk=settings.disk),
            nodes=tuple(sorted(settings.seeds)),
            zone=settings.zone,
            election_timeout_s=settings.election_timeout_s,
            heartbeat_s=settings.heartbeat_s,
            may_found=settings.may_found and settings.link in settings.seeds,
        ),
        machine.create(held),
        restored.groups.get(GROUP),
        seed=seed,
    )
    return FleetTables(
        settings=settings,
        seeds=settings.seeds,
        held=held,
        replica=own,
        zones={settings.link: settings.zone},
    )


def leads(tables: FleetTables) -> bool:
    """Tell whether this process leads the group."""
    return tables.replica.role is consensus_tables.Role.LEADER


def controls(tables: FleetTables) -> list[str]:
    """Return the links of all known control processes."""
    links = {tables.settings.link}
    membership = tables.replica.membership
    if membership is not None:
        links.update(each.node for each in consensus_tables.voters(membership))
        links.update(each.node for each in membership.learners)
    links.update(tables.candidates)
    return sorted(links)
