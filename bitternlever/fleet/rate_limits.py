"""Rate limits that upstreams name in their answers, as known to a process.

A limit holds for all hosts together and for one start of an upstream, until an answer
of that start names another one or none. Hosts report the changes that they see to
control, which sends all hosts what it knows; the latest answer counts.
"""

import dataclasses
import math

from bitternlever.fleet import upstreams
from bitternlever.messages import fleet

MAXIMUM_LIMITS = 1_024
"""Bounds memory and the size of heartbeats, to about 50 KB."""

ENDED_RETENTION_S = 600.0
"""A process that was cut off for less learns that a limit has ended."""

UNKNOWN_RETENTION_S = 60.0
"""Limits may be known earlier than their upstreams, or kept longer."""


SERVICE_RETENTION_S = 15.0
"""An upstream that fell over is back within this time."""


@dataclasses.dataclass(slots=True)
class RateLimit:
    """The limit of a start in requests per second, None if it has ended.

    It falls over if it rejects more than ``rejections_per_s``, None if it doesn't say.
    ``observed_s`` is when the upstream last confirmed it and ``changed_s`` when this
    process learned of it, both on the local clock.
    """

    started_ms: int
    per_s: float | None
    observed_s: float
    changed_s: float
    rejections_per_s: float | None = None


RateLimits = dict[str, RateLimit]


def observe(
    known: RateLimits,
    now: float,
    upstream: str,
    started_ms: int,
    per_s: float | None,
    rejections_per_s: float | None = None,
) -> bool:
    """Record what an answer says about limits; return whether that is a change."""
    limit = known.get(upstream)
    if limit is None or limit.started_ms < started_ms:
        if per_s is None and rejections_per_s is None:
            return False
        observed = RateLimit(started_ms, per_s, now, now, rejections_per_s)
        return _add(known, upstream, observed)
    if limit.started_ms > started_ms:
        return False
    limit.observed_s = now
    if limit.per_s == per_s and limit.rejections_per_s == rejections_per_s:
        return False
    limit.per_s = per_s
    limit.rejections_per_s = rejections_per_s
    limit.changed_s = now
    return True


def merge(known: RateLimits, now: float, reported: fleet.UpstreamRateLimit) -> bool:
    """Record another process's knowledge; return whether that is a change.

    The last answer of the latest start counts.
    """
    observed_s = now - reported.age_s
    limit = known.get(reported.upstream)
    merged = RateLimit(
        reported.started_ms,
        reported.per_s,
        observed_s,
        now,
        reported.rejections_per_s,
    )
    if limit is None or limit.started_ms < reported.started_ms:
        return _add(known, reported.upstream, merged)
    if limit.started_ms > reported.started_ms or limit.observed_s >= observed_s:
        return False
    if (limit.per_s, limit.rejections_per_s) == (merged.per_s, merged.rejections_per_s):
        limit.observed_s = observed_s
        return False
    known[reported.upstream] = merged
    return True


def changed_since(
    known: RateLimits, now: float, since_s: float = -math.inf
) -> list[fleet.UpstreamRateLimit]:
    """Return the limits that this process learned of after a local time."""
    return [
        fleet.UpstreamRateLimit(
            upstream=upstream,
            started_ms=limit.started_ms,
            per_s=limit.per_s,
            age_s=max(0.0, now - limit.observed_s),
            rejections_per_s=limit.rejections_per_s,
        )
        for upstream, limit in known.items()
        if limit.changed_s > since_s
    ]


def remove_ended(known: RateLimits, now: float, table: upstreams.UpstreamTable) -> None:
    """Drop limits that ended long ago, or whose upstream is not ready."""
    for upstream, limit in list(known.items()):
        is_ended = limit.per_s is None and limit.rejections_per_s is None
        is_kept = not is_ended and _is_ready(table, upstream)
        retention_s = ENDED_RETENTION_S
        if not _is_ready(table, upstream):
            retention_s = UNKNOWN_RETENTION_S
        age_s = now - max(limit.observed_s, limit.changed_s)
        if not is_kept and age_s > retention_s:
            del known[upstream]


def per_s(known: RateLimits, upstream: str, started_ms: int) -> float | None:
    """Return the limit of a start in requests per second, None if it has none."""
    limit = known.get(upstream)
    if limit is None or limit.started_ms != started_ms:
        return None
    return limit.per_s


def rejections_per_s(
    known: RateLimits,
    now: float,
    table: upstreams.UpstreamTable,
    upstream: fleet.UpstreamStatus,
) -> float | None:
    """Return how many rejections a second a start bears, None if any number.

    A start that has not answered yet bears as many as others of its service did
    recently: it may be the successor of one that fell over.
    """
    limit = known.get(upstream.upstream)
    if limit is not None and limit.started_ms == upstream.started_ms:
        return limit.rejections_per_s
    return min(
        (
            other.rejections_per_s
            for name, other in known.items()
            if other.rejections_per_s is not None
            and now - other.observed_s < SERVICE_RETENTION_S
            and name in table.entries
            and table.entries[name].status.service == upstream.service
        ),
        default=None,
    )


def _is_ready(table: upstreams.UpstreamTable, upstream: str) -> bool:
    entry = table.entries.get(upstream)
    return entry is not None and entry.status.state is fleet.UpstreamState.READY


def _add(known: RateLimits, upstream: str, limit: RateLimit) -> bool:
    """Store a limit unless there are too many; return whether it was stored."""
    if upstream not in known and len(known) >= MAXIMUM_LIMITS:
        return False
    known[upstream] = limit
    return True
