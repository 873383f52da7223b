"""Routing state: calls in flight, and what this host has learnt about upstreams."""

import collections
import dataclasses

MAXIMUM_SAMPLES = 64
INITIAL_LIMIT = 8.0


@dataclasses.dataclass(slots=True)
class PrefixView:
    """The prefixes expected in an upstream's cache, newest last.

    ``number`` is that of the last cache event applied.
    """

    prefixes: collections.OrderedDict[str, None] = dataclasses.field(
        default_factory=collections.OrderedDict,
    )
    number: int = 0
    incarnation: int = 0


@dataclasses.dataclass(slots=True)
class UpstreamLoad:
    """This host's state of one upstream; ``urgent`` are the urgent calls in flight.

    ``latency_ratio`` is the ratio of its service time to the estimate for its kind of
    work, learnt from ended attempts; ``running_latency_ratio`` is the same from running
    attempts. ``samples`` are times and counts of this host's calls, to be subtracted
    from later reports. ``probing`` is set from an ejection until a probe succeeds;
    ``ejections`` counts the consecutive ones.
    """

    in_flight: set[str] = dataclasses.field(default_factory=set)
    urgent: set[str] = dataclasses.field(default_factory=set)
    limit: float = INITIAL_LIMIT
    latency_ratio: float = 1.0
    running_latency_ratio: float = 1.0
    samples: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAXIMUM_SAMPLES),
    )
    prefix_view: PrefixView = dataclasses.field(default_factory=PrefixView)
    next_decrease_s: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    probing: bool = False


@dataclasses.dataclass(slots=True)
class CostModel:
    """The learnt cost of one kind of work, in seconds per unit."""

    unit_s: float
    samples: int = 0


@dataclasses.dataclass(slots=True)
class RoutingTables:
    """Loads by upstream name, cost models by kind of work, and budgets.

    ``median_ratios`` are the median latency ratios by pool. ``live_hosts`` counts this
    host and other live hosts. ``mean_output_tokens`` is by kind of request and stage.
    ``cached_share`` is the share of a prompt that a cached prefix saves.
    """

    loads: dict[str, UpstreamLoad] = dataclasses.field(default_factory=dict)
    cost_models: dict[tuple[str, str, str | None], CostModel] = dataclasses.field(
        default_factory=dict,
    )
    mean_output_tokens: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    cached_share: float = 0.5
    live_hosts: int = 1
    next_host_count_s: float = 0.0
    next_sweep_s: float = 0.0
    median_ratios: dict[str, float] = dataclasses.field(default_factory=dict)
    next_probe_s: dict[str, float] = dataclasses.field(default_factory=dict)
    retry_tokens: float = 3.0
    hedge_tokens: float = 1.0
    round_robin_positions: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class Placement:
    """The chosen upstream for a ready stage and its predicted duration."""

    upstream: str
    address: str
    predicted_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class NoPlacement:
    """No upstream can take the stage now; ``retry_after_s`` says when to try again."""

    reason: str
    retry_after_s: float
