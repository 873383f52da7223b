"""The share of one host in the retries that a service may get in a window.

Load: when upstreams fail under load, repeats on top of first sends keep them down. The
budget holds over all hosts without a call for each repeat: a host spends its own
requests times the ratio, and an equal part of the constant allowance.
"""

import dataclasses

SHARE_USED = 0.7
"""Left unused for hosts that come and go and for windows that overlap."""

BUCKETS = 8
"""Parts of the sliding window; one more is kept so that none is forgotten early."""


@dataclasses.dataclass(slots=True)
class Budget:
    """Requests and repeats of one service, in buckets of a part of the window."""

    window_s: float
    ratio: float
    slack: float
    first_bucket: int = 0
    requests: list[int] = dataclasses.field(default_factory=lambda: [0] * (BUCKETS + 1))
    repeats: list[int] = dataclasses.field(default_factory=lambda: [0] * (BUCKETS + 1))


def note_request(budget: Budget, now: float) -> None:
    """Count a caller's request for the service."""
    budget.requests[_advance(budget, now)] += 1


def may_repeat(budget: Budget, now: float, hosts: int) -> bool:
    """Tell whether this host may send one more repeat."""
    _advance(budget, now)
    allowed = budget.ratio * sum(budget.requests) + budget.slack / max(1, hosts)
    return sum(budget.repeats) + 1 <= SHARE_USED * allowed


def note_repeat(budget: Budget, now: float) -> None:
    """Count a request that is sent again."""
    budget.repeats[_advance(budget, now)] += 1


def _advance(budget: Budget, now: float) -> int:
    """Forget what has left the window and return the present bucket's place."""
    bucket = int(now * BUCKETS / budget.window_s)
    steps = min(bucket - budget.first_bucket, BUCKETS + 1)
    for step in range(steps):
        place = (bucket - step) % (BUCKETS + 1)
        budget.requests[place] = 0
        budget.repeats[place] = 0
    budget.first_bucket = max(bucket, budget.first_bucket)
    return budget.first_bucket % (BUCKETS + 1)
