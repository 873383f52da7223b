"""State and settings of a fleet's control process."""

import dataclasses
import math
from typing import Any

from bitternlever.catalog import machine
from bitternlever.consensus import replica, tables as consensus_tables
from bitternlever.fleet import (
    catalog_history as fleet_catalog_history,
    crash_suspects,
    hosts as fleet_hosts,
    pauses as fleet_pauses,
    quarantine,
    rate_limits as fleet_rate_limits,
    spread as fleet_spread,
    stream_origins as fleet_stream_origins,
    upstreams as fleet_upstreams,
)
from bitternlever.messages import consensus, fleet
from bitternlever.storage import restored as storage_restored
from bitternlever.workload import totals as workload_totals

GROUP = 0

ELECTION_TIMEOUT_S = 0.5
"""A lost packet is resent after 0.2 s; a killed leader is replaced within a second."""

HEARTBEAT_S = 0.12
"""Four heartbeats within an election timeout."""


@dataclasses.dataclass(slots=True, frozen=True)
class FleetSettings:
    """Settings of the control core; nodes are named by their links.

    ``seed_links`` are the links of the nodes given at the start; with
    ``may_bootstrap`` they are the first voters. ``tolerated_losses`` is the number of
    nodes that may be lost at the same time.
    """

    link: str
    zone: str
    disk: str
    incarnation: str
    seed_links: tuple[str, ...]
    may_bootstrap: bool
    tolerated_losses: int = 1
    election_timeout_s: float = ELECTION_TIMEOUT_S
    heartbeat_s: float = HEARTBEAT_S


@dataclasses.dataclass(slots=True, frozen=True)
class JoinCandidate:
    """A replica that has requested to join, and the time of its last request."""

    replica: consensus.ReplicaId
    last_seen_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class ReportedLoad:
    """The load of a service as its batching host reported it, and when it arrived."""

    load: fleet.ServiceLoad
    received_s: float


@dataclasses.dataclass(slots=True)
class Subscriber:
    """An entry host that gets updates; ``pushed_version`` is the last catalog sent.

    It last reported to have the catalog ``received_version``, an older one than this
    process since ``behind_since_s``; it understands changes if it ``reads_changes``.
    ``received_all`` is set once it was sent the statuses of all upstreams. Rate limits
    were last sent at ``limits_sent_s``, all of them at ``all_limits_sent_s``, and the
    loads of engines at ``engine_loads_sent_s``.
    """

    link: str
    last_seen_s: float
    started_ms: int
    pushed_version: int | None = None
    pushed_s: float = 0.0
    received_version: int | None = None
    behind_since_s: float | None = None
    reads_changes: bool = False
    received_all: bool = False
    limits_sent_s: float = -math.inf
    all_limits_sent_s: float = -math.inf
    engine_loads_sent_s: float = -math.inf


@dataclasses.dataclass(slots=True, frozen=True)
class PutRequested:
    """An operator submits a catalog; ``call_id`` identifies the pending call."""

    call_id: int
    version: int
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class ZoneOrderRequested:
    """An operator evacuates a zone, or takes it back into use."""

    call_id: int
    zone: str
    evacuated: bool


@dataclasses.dataclass(slots=True, frozen=True)
class ReadRequested:
    """An operator reads the catalog; ``call_id`` identifies the pending call."""

    call_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamStatusReceived:
    """An upstream's status has arrived."""

    status: Any


@dataclasses.dataclass(slots=True, frozen=True)
class Completed:
    """Output of the core: an order is committed, or a read returned this catalog."""

    call_id: int
    version: int | None = None
    body: bytes = b""


@dataclasses.dataclass(slots=True, frozen=True)
class NotLeader:
    """Output of the core: this node can't serve; ``leader`` is None if unknown."""

    call_id: int
    leader: str | None


@dataclasses.dataclass(slots=True)
class FleetTables:
    """State of a control process, processed in each tick.

    ``seed_links`` follow reloads of the settings; ``zones`` are the availability zones
    of this node and of nodes that have requested to join. ``changed_upstreams`` and
    ``refreshed_upstreams`` are those whose status changed, or was only confirmed, since
    it was last sent to the subscribers. ``pauses`` are those that upstreams asked hosts
    for, ``rate_limits`` those that upstreams name. ``stream_origins`` tell where the
    streams of all hosts began, ``engine_totals`` what they have at engines.
    ``spread`` follows the newest catalog to the hosts.
    ``crash_evidence`` and
    ``refused_parts`` are about prompt parts; ``changed_parts`` are those whose state
    has changed and was not logged yet.
    """

    settings: FleetSettings
    seed_links: tuple[str, ...]
    catalog: machine.CatalogState
    replica: consensus_tables.Replica
    upstreams: fleet_upstreams.UpstreamTable = dataclasses.field(
        default_factory=fleet_upstreams.UpstreamTable,
    )
    hosts: fleet_hosts.HostDirectory = dataclasses.field(
        default_factory=fleet_hosts.HostDirectory
    )
    join_candidates: dict[str, JoinCandidate] = dataclasses.field(default_factory=dict)
    loads: dict[tuple[str, str], ReportedLoad] = dataclasses.field(default_factory=dict)
    pauses: dict[str, fleet_pauses.Pause] = dataclasses.field(default_factory=dict)
    rate_limits: fleet_rate_limits.RateLimits = dataclasses.field(default_factory=dict)
    stream_origins: fleet_stream_origins.StreamOrigins = dataclasses.field(
        default_factory=dict
    )
    crash_evidence: crash_suspects.Evidence = dataclasses.field(
        default_factory=crash_suspects.Evidence
    )
    refused_parts: quarantine.Records = dataclasses.field(default_factory=dict)
    changed_parts: set[str] = dataclasses.field(default_factory=set)
    engine_totals: workload_totals.Totals = dataclasses.field(
        default_factory=workload_totals.Totals
    )
    zones: dict[str, str] = dataclasses.field(default_factory=dict)
    subscribers: dict[str, Subscriber] = dataclasses.field(default_factory=dict)
    changed_upstreams: set[str] = dataclasses.field(default_factory=set)
    refreshed_upstreams: set[str] = dataclasses.field(default_factory=set)
    catalog_history: fleet_catalog_history.History = dataclasses.field(
        default_factory=fleet_catalog_history.History
    )
    spread: fleet_spread.Spread = dataclasses.field(default_factory=fleet_spread.Spread)
    next_refresh_s: float = 0.0
    next_join_request_s: float = 0.0
    next_membership_check_s: float = 0.0
    stop_at_s: float | None = None


def create(
    settings: FleetSettings,
    restored: storage_restored.RestoredState,
    seed: int,
) -> FleetTables:
    """Create the tables from the restored disk state; ``seed`` fixes random choices."""
    catalog = machine.CatalogState()
    own = replica.create(
        consensus_tables.ReplicaSettings(
            group=GROUP,
            identity=consensus.ReplicaId(node=settings.link, disk=settings.disk),
            initial_nodes=tuple(sorted(settings.seed_links)),
            zone=settings.zone,
            election_timeout_s=settings.election_timeout_s,
            heartbeat_s=settings.heartbeat_s,
            may_bootstrap=settings.may_bootstrap
            and settings.link in settings.seed_links,
        ),
        machine.create(catalog),
        restored.groups.get(GROUP),
        seed=seed,
    )
    return FleetTables(
        settings=settings,
        seed_links=settings.seed_links,
        catalog=catalog,
        replica=own,
        zones={settings.link: settings.zone},
    )


def is_leader(tables: FleetTables) -> bool:
    """Return whether this process leads the group."""
    return tables.replica.role is consensus_tables.Role.LEADER


def control_links(tables: FleetTables) -> list[str]:
    """Return the links of all known control processes."""
    links = {tables.settings.link}
    membership = tables.replica.membership
    if membership is not None:
        links.update(voter.node for voter in consensus_tables.voters(membership))
        links.update(learner.node for learner in membership.learners)
    links.update(tables.join_candidates)
    return sorted(links)
