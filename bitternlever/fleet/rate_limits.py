"""Rate limits that upstreams name in their answers, as known to a process.

A limit holds for all hosts together and for one start of an upstream, until an answer
of that start names another one or none.
"""

import dataclasses

MAXIMUM_LIMITS = 1_024
"""Bounds memory; seventeen times the engines of the largest known deployment."""


@dataclasses.dataclass(slots=True)
class RateLimit:
    """The limit of a start in requests per second, None if it has ended.

    ``observed_s`` is when the upstream last confirmed it and ``changed_s`` when this
    process learned of it, both on the local clock.
    """

    started_ms: int
    per_s: float | None
    observed_s: float
    changed_s: float


RateLimits = dict[str, RateLimit]


def observe(
    known: RateLimits,
    now: float,
    upstream: str,
    started_ms: int,
    per_s: float | None,
) -> bool:
    """Record what an answer says about a limit; return whether that is a change."""
    limit = known.get(upstream)
    if limit is None or limit.started_ms < started_ms:
        if per_s is None:
            return False
        return _add(known, upstream, RateLimit(started_ms, per_s, now, now))
    if limit.started_ms > started_ms:
        return False
    limit.observed_s = now
    if limit.per_s == per_s:
        return False
    limit.per_s = per_s
    limit.changed_s = now
    return True


def per_s(known: RateLimits, upstream: str, started_ms: int) -> float | None:
    """Return the limit of a start in requests per second, None if it has none."""
    limit = known.get(upstream)
    if limit is None or limit.started_ms != started_ms:
        return None
    return limit.per_s


def _add(known: RateLimits, upstream: str, limit: RateLimit) -> bool:
    """Store a limit unless there are too many; return whether it was stored."""
    if upstream not in known and len(known) >= MAXIMUM_LIMITS:
        return False
    known[upstream] = limit
    return True
