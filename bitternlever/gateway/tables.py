"""Tables of an entry host: catalog, upstreams, other hosts and control processes."""

import collections
import dataclasses
import math

from bitternlever.batching import estimates, tables as batching_tables
from bitternlever.catalog import tables as catalog_tables
from bitternlever.fleet import (
    hosts as fleet_hosts,
    pauses as fleet_pauses,
    rate_limits as fleet_rate_limits,
    stream_origins as fleet_stream_origins,
    upstreams as fleet_upstreams,
)
from bitternlever.gateway import (
    catalog_sync as gateway_catalog_sync,
    crash_subjects as gateway_crash_subjects,
)
from bitternlever.messages import fleet
from bitternlever.workload import outstanding as workload_outstanding


@dataclasses.dataclass(slots=True)
class Control:
    """A control process as seen by this host; times are on the boot clock.

    ``last_seen_s`` is the time of its last reply, which named its ``catalog_version``
    and whether it led with a valid lease, ``last_listed_s`` when it was last
    among the seeds or listed in a reply. ``reported_until_s`` is the latest time
    until which all ends of upstreams and crashes known here were reported to this
    incarnation, which this host has known since ``incarnation_known_s``.
    """

    link: str
    incarnation: str = ""
    hosts_revision: int = -1
    hosts: list[fleet.HostAnnouncement] = dataclasses.field(default_factory=list)
    last_seen_s: float | None = None
    last_listed_s: float = 0.0
    catalog_version: int | None = None
    leads: bool = False
    reported_until_s: float = -math.inf
    incarnation_known_s: float = -math.inf


@dataclasses.dataclass(slots=True)
class Health:
    """Running requests and recent results of an upstream, as seen by this host."""

    running: int = 0
    failures: int = 0
    paused_until_s: float = 0.0
    latency_s: float = 0.0
    running_tokens: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class ReportedLoad:
    """The load of a stage service, as its batching host reported it."""

    load: fleet.ServiceLoad
    reported_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class GroupOwners:
    """The links of the hosts that batch, by service and group.

    ``basis`` is what they were derived from.
    """

    basis: tuple = ()
    links: dict[tuple[str, str], str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """This host's share of the rate limit of a start; each request takes a token.

    ``basis`` is what the rate ``per_s`` and the ``depth`` were derived from.
    """

    started_ms: int
    level: float
    refilled_s: float
    per_s: float = 0.0
    depth: float = 0.0
    basis: tuple = ()


@dataclasses.dataclass(slots=True)
class Room:
    """How many requests this host may have at a start that bears few rejections.

    At most ``bound`` since ``bounded_s``, and no new one until ``closed_until_s``.
    """

    started_ms: int
    bound: float
    bounded_s: float
    closed_until_s: float


@dataclasses.dataclass(slots=True)
class RateShares:
    """Buckets for requests and for stage calls, by upstream.

    ``rooms`` are the bounds that follow from rejections, by upstream.
    ``hosts`` are the links of the hosts among which limits are divided, as derived from
    the list ``listed``, and ``ready_s`` the times at which they were last listed as
    ready. By service, ``returns_s`` is when the next caller that is refused may return,
    and ``awaiting`` counts the requests that will be sent after their stages.
    """

    requests: dict[str, TokenBucket] = dataclasses.field(default_factory=dict)
    calls: dict[str, TokenBucket] = dataclasses.field(default_factory=dict)
    rooms: dict[str, Room] = dataclasses.field(default_factory=dict)
    hosts: tuple[str, ...] = ()
    listed: tuple[fleet.HostAnnouncement, ...] | None = None
    ready_s: dict[str, float] = dataclasses.field(default_factory=dict)
    next_hosts_s: float = -math.inf
    returns_s: dict[str, float] = dataclasses.field(default_factory=dict)
    awaiting: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


@dataclasses.dataclass(slots=True)
class Reachability:
    """Whether this host is cut off from all upstreams, as of ``checked_s``.

    ``may_be_slow`` is set if some accepted a connection and were only silent.
    ``reached_rounds`` counts the successive rounds of dials with a connection;
    ``checking`` is set while a round is in progress.
    """

    cut_off: bool = False
    may_be_slow: bool = False
    reached_rounds: int = 0
    checked_s: float = -math.inf
    checking: bool = False


@dataclasses.dataclass(slots=True)
class GatewayTables:
    """The tables of an entry host.

    ``catalog_current_s`` is the latest time at which the catalog in force was known to
    be the newest one, None before the first. ``catalog_sync`` is about newer ones.
    ``reachable_controls`` are the links of the control processes whose lists were
    merged into ``hosts``. ``suspects`` are the links of unresponsive hosts, with the
    times until which they are skipped. ``loads`` are the last reports of batching
    hosts, by service and group like the ``batchers`` of this host, ``first_pieces``
    estimates of the time to the first piece of a service's answer. ``pauses`` are those
    that upstreams asked this host for and ``pause_hints`` those that they asked any
    host for, both by upstream. ``rate_limits`` are those that upstreams name in their
    answers, and ``rate_shares`` this host's parts of them. ``crash_subjects`` are those
    that may crash upstreams. ``stream_origins`` are those of the streams that this host
    began or took up. ``evacuation`` is the one of the highest revision that a control
    process sent. All hosts together send a cold upstream at most ``cold_slack``
    requests in any second, any number if None. ``outstanding`` is the unfinished work
    at engines.
    """

    announcement: fleet.HostAnnouncement
    seeds: tuple[str, ...]
    catalog: catalog_tables.Catalog | None = None
    catalog_current_s: float | None = None
    catalog_sync: gateway_catalog_sync.CatalogSync = dataclasses.field(
        default_factory=gateway_catalog_sync.CatalogSync
    )
    controls: dict[str, Control] = dataclasses.field(default_factory=dict)
    upstreams: fleet_upstreams.UpstreamTable = dataclasses.field(
        default_factory=fleet_upstreams.UpstreamTable,
    )
    hosts: fleet_hosts.HostDirectory = dataclasses.field(
        default_factory=fleet_hosts.HostDirectory
    )
    reachable_controls: list[str] = dataclasses.field(default_factory=list)
    health: dict[str, Health] = dataclasses.field(default_factory=dict)
    batchers: dict[tuple[str, str], batching_tables.Batcher] = dataclasses.field(
        default_factory=dict,
    )
    group_owners: GroupOwners = dataclasses.field(default_factory=GroupOwners)
    suspects: dict[str, float] = dataclasses.field(default_factory=dict)
    loads: dict[tuple[str, str], ReportedLoad] = dataclasses.field(default_factory=dict)
    first_pieces: dict[str, estimates.Estimate] = dataclasses.field(
        default_factory=dict,
    )
    pauses: dict[str, fleet_pauses.Pause] = dataclasses.field(default_factory=dict)
    pause_hints: dict[str, fleet_pauses.Pause] = dataclasses.field(default_factory=dict)
    rate_limits: fleet_rate_limits.RateLimits = dataclasses.field(default_factory=dict)
    rate_shares: RateShares = dataclasses.field(default_factory=RateShares)
    reachability: Reachability = dataclasses.field(default_factory=Reachability)
    stream_origins: fleet_stream_origins.StreamOrigins = dataclasses.field(
        default_factory=dict
    )
    crash_subjects: gateway_crash_subjects.CrashSubjects = dataclasses.field(
        default_factory=gateway_crash_subjects.CrashSubjects
    )
    evacuation: fleet.Evacuation = fleet.Evacuation()
    cold_slack: float | None = None
    outstanding: workload_outstanding.Outstanding = dataclasses.field(
        default_factory=workload_outstanding.Outstanding
    )


def expected_wait_s(reported: ReportedLoad, now: float) -> float:
    """Return the expected wait of on-time work: its recent wait or its backlog."""
    age_s = now - reported.reported_s
    recent_s = estimates.decay(reported.load.wait_s, age_s)
    return max(recent_s, reported.load.on_time_backlog_s - age_s)


def remaining_backlog_s(reported: ReportedLoad, now: float) -> float:
    """Return how long a queue will still take: its report less the report's age."""
    return max(0.0, reported.load.backlog_s - (now - reported.reported_s))
