"""Tables of routing: what this host has in flight and has learnt of upstreams."""

import dataclasses


@dataclasses.dataclass(slots=True)
class UpstreamLoad:
    """This host's own view of one upstream."""

    in_flight: set[str] = dataclasses.field(default_factory=set)
    limit: float = 8.0
    latency_s: float = 0.0
    failures: int = 0
    ejected_until_s: float = 0.0


@dataclasses.dataclass(slots=True)
class RoutingTables:
    """Loads by upstream name, and the budgets for retries and hedges."""

    loads: dict[str, UpstreamLoad] = dataclasses.field(default_factory=dict)
    retry_tokens: float = 0.0
    hedge_tokens: float = 0.0
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
