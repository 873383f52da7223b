"""Policy of the earliest predicted completion among two random upstreams.

Two random choices keep hosts with equally stale information from making the same
choice (Mitzenmacher, 2001). An upstream that has the prompt's prefix in its cache is
a third choice.
"""

import dataclasses
import math
from typing import NamedTuple

from bitternlever.admission import queues
from bitternlever.entry import tables as entry_tables
from bitternlever.gossip import tables as gossip_tables
from bitternlever.pipelines import tables as pipeline_tables
from bitternlever.routing import (
    ejection,
    estimates,
    occupancy,
    prefixes,
    tables as routing_tables,
)

RANDOM_CHOICES = 2
CROSS_ZONE_LATENCY_S = 0.002
CALL_ROUNDING_MARGIN = 0.5


@dataclasses.dataclass(slots=True)
class Candidate:
    """An upstream that may take the stage, and its estimated number of calls."""

    upstream: gossip_tables.Upstream
    load: routing_tables.UpstreamLoad
    calls: float


class UpstreamRow(NamedTuple):
    """An upstream, this host's state of it, and its limit."""

    upstream: gossip_tables.Upstream
    load: routing_tables.UpstreamLoad
    limit: float


@dataclasses.dataclass(slots=True, frozen=True)
class PoolOccupancy:
    """This host's calls in a pool, and the calls of other hosts expected from them."""

    host_count: int
    own_calls: int
    limit: float
    expected_other_calls: float
    non_urgent_share: float


@dataclasses.dataclass(slots=True, frozen=True)
class Choice:
    """The chosen upstream and the predicted duration of the stage there."""

    upstream: gossip_tables.Upstream
    predicted_s: float


def choose(
    tables: entry_tables.EntryTables,
    now: float,
    ready: pipeline_tables.ReadyStage,
    serving: list[gossip_tables.Upstream],
) -> Choice | None:
    """Choose among serving upstreams; return None if none has capacity."""
    candidates = with_capacity(
        tables,
        now,
        ready,
        _without_ejected(tables, now, ready, serving),
    )
    if not candidates:
        return None
    work = estimates.units(tables, ready)
    work_cached = estimates.units(tables, ready, cached=True)
    best = None
    best_s = 0.0
    for candidate in _draw_candidates(tables, ready, candidates):
        cached = prefixes.holds(candidate.load, candidate.upstream, ready.prefix)
        units = work_cached if cached else work
        predicted_s = _predict(tables, ready, candidate, units)
        if best is None or predicted_s < best_s:
            best = candidate
            best_s = predicted_s
    return Choice(best.upstream, best_s)


def _without_ejected(
    tables: entry_tables.EntryTables,
    now: float,
    ready: pipeline_tables.ReadyStage,
    serving: list[gossip_tables.Upstream],
) -> list[gossip_tables.Upstream]:
    """Leave out ejected upstreams, except for a probe."""
    loads_by_name = tables.routing.loads
    loads = [loads_by_name.get(upstream.announcement.name) for upstream in serving]
    if not any(load is not None and load.probing for load in loads):
        return serving
    loads = [
        occupancy.load_of(tables, upstream.announcement.name) for upstream in serving
    ]
    all_ejected = all(load.probing for load in loads)
    return [
        upstream
        for upstream, load in zip(serving, loads, strict=True)
        if ejection.admits(tables, now, ready, load, all_ejected)
    ]


def with_capacity(
    tables: entry_tables.EntryTables,
    now: float,
    ready: pipeline_tables.ReadyStage,
    serving: list[gossip_tables.Upstream],
) -> list[Candidate]:
    """Return the upstreams that have capacity for one more call of this stage."""
    rows = [_upstream_row(tables, candidate) for candidate in serving]
    pool = _pool_occupancy(tables, now, rows)
    urgent = queues.is_urgent(tables, ready.priority)
    share = 1.0 if urgent else 1.0 - queues.limits(tables).urgent_share
    counted_share = 1.0 if urgent else pool.non_urgent_share
    below_fair_share = (
        pool.own_calls < pool.limit / pool.host_count
        and pool.own_calls * counted_share < pool.limit * share / pool.host_count
    )
    candidates = []
    for upstream, load, limit in rows:
        own_calls = len(load.in_flight)
        other_calls = occupancy.other_calls(
            now, upstream, load, pool.expected_other_calls
        )
        calls_in_share = own_calls if urgent else own_calls - len(load.urgent)
        bound = math.ceil(limit * share)
        fits = (
            own_calls + other_calls < limit - CALL_ROUNDING_MARGIN
            and calls_in_share + other_calls * counted_share
            < bound - CALL_ROUNDING_MARGIN
        )
        if fits or (
            below_fair_share
            and _is_below_fair_share(pool, own_calls, calls_in_share, limit, bound)
        ):
            candidates.append(Candidate(upstream, load, own_calls + other_calls))
    return candidates


def _is_below_fair_share(
    pool: PoolOccupancy, own_calls: int, calls_in_share: int, limit: float, bound: int
) -> bool:
    """Return whether this host is below its fair share of one upstream."""
    own_share = max(1.0, limit / pool.host_count)
    own_bound = max(1.0, bound / pool.host_count)
    return own_calls < own_share and calls_in_share < own_bound


def _upstream_row(
    tables: entry_tables.EntryTables, upstream: gossip_tables.Upstream
) -> UpstreamRow:
    announcement = upstream.announcement
    load = occupancy.load_of(tables, announcement.name)
    limit = load.limit
    if limit > announcement.concurrency:
        limit = float(announcement.concurrency)
    return UpstreamRow(upstream, load, limit)


def _pool_occupancy(
    tables: entry_tables.EntryTables, now: float, rows: list[UpstreamRow]
) -> PoolOccupancy:
    host_count = occupancy.host_count(tables, now)
    own_calls = 0
    urgent_calls = 0
    total_limit = 0.0
    for _, load, row_limit in rows:
        own_calls += len(load.in_flight)
        urgent_calls += len(load.urgent)
        total_limit += row_limit
    return PoolOccupancy(
        host_count=host_count,
        own_calls=own_calls,
        limit=total_limit,
        expected_other_calls=own_calls / max(1, len(rows)) * (host_count - 1),
        non_urgent_share=1.0
        if own_calls == 0
        else (own_calls - urgent_calls) / own_calls,
    )


def _draw_candidates(
    tables: entry_tables.EntryTables,
    ready: pipeline_tables.ReadyStage,
    candidates: list[Candidate],
) -> list[Candidate]:
    if len(candidates) <= RANDOM_CHOICES:
        return candidates
    selected = tables.random.sample(candidates, RANDOM_CHOICES)
    if not ready.prefix:
        return selected
    with_prefix = [
        candidate
        for candidate in candidates
        if prefixes.holds(candidate.load, candidate.upstream, ready.prefix)
    ]
    if with_prefix:
        selected.append(min(with_prefix, key=lambda candidate: candidate.calls))
    return selected


def _predict(
    tables: entry_tables.EntryTables,
    ready: pipeline_tables.ReadyStage,
    candidate: Candidate,
    units: float,
) -> float:
    announcement = candidate.upstream.announcement
    load = candidate.load
    running = min(candidate.calls + 1.0, announcement.concurrency)
    latency_ratio = max(load.latency_ratio, load.running_latency_ratio)
    unit_s = estimates.unit_s(tables, ready.stage) * latency_ratio
    service_s = units * unit_s * estimates.sharing_slowdown(running)
    excess = candidate.calls + 1.0 - announcement.concurrency
    wait_s = max(0.0, excess) / announcement.concurrency * service_s
    zone_s = 0.0 if announcement.zone == tables.settings.zone else CROSS_ZONE_LATENCY_S
    return service_s + wait_s + zone_s
