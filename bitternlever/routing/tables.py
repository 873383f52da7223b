"""Tables of routing: what this host has in flight and has learnt of upstreams."""

import collections
import dataclasses

MAXIMUM_SAMPLES = 64
INITIAL_LIMIT = 8.0


@dataclasses.dataclass(slots=True)
class PrefixView:
    """What this host believes an upstream's cache holds, newest last.

    ``number`` is the last cache event taken.
    """

    prefixes: collections.OrderedDict[str, None] = dataclasses.field(
        default_factory=collections.OrderedDict,
    )
    number: int = 0
    incarnation: int = 0


@dataclasses.dataclass(slots=True)
class UpstreamLoad:
    """This host's own view of one upstream; ``urgent`` are the urgent in flight.

    ``pace`` is its service time over that of its pool, learnt from ended attempts;
    ``stall`` the same from attempts under way. ``samples`` are times and counts of
    this host's attempts, to be taken from reports that come later.
    """

    in_flight: set[str] = dataclasses.field(default_factory=set)
    urgent: set[str] = dataclasses.field(default_factory=set)
    limit: float = INITIAL_LIMIT
    pace: float = 1.0
    stall: float = 1.0
    samples: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAXIMUM_SAMPLES),
    )
    view: PrefixView = dataclasses.field(default_factory=PrefixView)
    next_decrease_s: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    probing: bool = False


@dataclasses.dataclass(slots=True)
class PoolModel:
    """What one kind of work costs: seconds for one unit of it, as learnt."""

    unit_s: float
    samples: int = 0


@dataclasses.dataclass(slots=True)
class RoutingTables:
    """Loads by upstream name, models by kind of work, and budgets.

    ``middles`` are the middle paces of pools. ``live_hosts`` counts this host and the
    others that are heard. ``outputs`` are the tokens that a stage usually brings, by
    kind of request and stage. ``turns`` serve the round robin.
    """

    loads: dict[str, UpstreamLoad] = dataclasses.field(default_factory=dict)
    models: dict[tuple[str, str, str | None], PoolModel] = dataclasses.field(
        default_factory=dict,
    )
    outputs: dict[tuple[str, str], float] = dataclasses.field(default_factory=dict)
    cached_share: float = 0.5
    live_hosts: int = 1
    next_count_s: float = 0.0
    next_sweep_s: float = 0.0
    middles: dict[str, float] = dataclasses.field(default_factory=dict)
    next_probe_s: dict[str, float] = dataclasses.field(default_factory=dict)
    retry_tokens: float = 3.0
    hedge_tokens: float = 1.0
    turns: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class Placement:
    """The chosen upstream for a ready stage and its predicted duration."""

    upstream: str
    address: str
    predicted_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class NoPlacement:
    """No upstream can take the stage now; ``retry_after_s`` estimates until when."""

    reason: str
    retry_after_s: float
