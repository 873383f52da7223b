"""Retry budget of one host for one service over a sliding window.

When upstreams fail under load, retries on top of first sends keep them overloaded. The
budget holds across all hosts without communication for each retry: a host may spend its
own requests times the ratio, and an equal part of the constant allowance.
"""

import dataclasses

SHARE_USED = 0.7
"""The rest is headroom for hosts that join or leave and for overlapping windows."""

BUCKETS = 8
"""Parts of the sliding window; one more is kept so that none expires early."""


@dataclasses.dataclass(slots=True)
class Budget:
    """Requests and retries of one service, counted per bucket of the window.

    ``slack`` is the constant allowance that all hosts share; ``newest_bucket`` is the
    number of the current bucket.
    """

    window_s: float
    ratio: float
    slack: float
    newest_bucket: int = 0
    requests: list[int] = dataclasses.field(default_factory=lambda: [0] * (BUCKETS + 1))
    retries: list[int] = dataclasses.field(default_factory=lambda: [0] * (BUCKETS + 1))


def record_request(budget: Budget, now: float) -> None:
    """Count a caller's request for the service."""
    budget.requests[_advance(budget, now)] += 1


def may_retry(budget: Budget, now: float, hosts: int) -> bool:
    """Return whether this host may send one more retry."""
    _advance(budget, now)
    allowed = budget.ratio * sum(budget.requests) + budget.slack / max(1, hosts)
    return sum(budget.retries) + 1 <= SHARE_USED * allowed


def record_retry(budget: Budget, now: float) -> None:
    """Count a retry."""
    budget.retries[_advance(budget, now)] += 1


def _advance(budget: Budget, now: float) -> int:
    """Clear buckets that have left the window; return the current bucket's index."""
    bucket = int(now * BUCKETS / budget.window_s)
    steps = min(bucket - budget.newest_bucket, BUCKETS + 1)
    for step in range(steps):
        index = (bucket - step) % (BUCKETS + 1)
        budget.requests[index] = 0
        budget.retries[index] = 0
    budget.newest_bucket = max(bucket, budget.newest_bucket)
    return budget.newest_bucket % (BUCKETS + 1)
