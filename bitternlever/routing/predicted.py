"""The policy by predicted completion: the better of two choices with room.

Two random choices keep hosts with equally stale views from choosing alike
(Mitzenmacher, 2001). An upstream that holds the prompt's prefix is a third choice.
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

CHOICES = 2
OTHER_ZONE_S = 0.002
HALF_A_CALL = 0.5


@dataclasses.dataclass(slots=True)
class Candidate:
    """An upstream that may take the stage, and how many calls it holds."""

    upstream: gossip_tables.Upstream
    load: routing_tables.UpstreamLoad
    held: float


class Row(NamedTuple):
    """An upstream, this host's view of it, and its limit."""

    upstream: gossip_tables.Upstream
    load: routing_tables.UpstreamLoad
    limit: float


@dataclasses.dataclass(slots=True, frozen=True)
class Pool:
    """What this host's calls in a pool say of all hosts' calls there."""

    hosts: int
    own: int
    limit: float
    usual_others: float
    patient_part: float


@dataclasses.dataclass(slots=True, frozen=True)
class Choice:
    """The chosen upstream and how long the stage will take there."""

    upstream: gossip_tables.Upstream
    predicted_s: float


def choose(
    tables: entry_tables.EntryTables,
    now: float,
    ready: pipeline_tables.ReadyStage,
    serving: list[gossip_tables.Upstream],
) -> Choice | None:
    """Choose among serving upstreams; ``None`` where none has room."""
    candidates = with_room(
        tables,
        now,
        ready,
        _admitting(tables, now, ready, serving),
    )
    if not candidates:
        return None
    work = estimates.units(tables, ready)
    work_cached = estimates.units(tables, ready, cached=True)
    best = None
    best_s = 0.0
    for candidate in _drawn(tables, ready, candidates):
        cached = prefixes.holds(candidate.load, candidate.upstream, ready.prefix)
        units = work_cached if cached else work
        predicted_s = _predict(tables, ready, candidate, units)
        if best is None or predicted_s < best_s:
            best = candidate
            best_s = predicted_s
    return Choice(best.upstream, best_s)


def _admitting(
    tables: entry_tables.EntryTables,
    now: float,
    ready: pipeline_tables.ReadyStage,
    serving: list[gossip_tables.Upstream],
) -> list[gossip_tables.Upstream]:
    """Leave out ejected upstreams, but for a probe."""
    known = tables.routing.loads
    loads = [known.get(each.announcement.name) for each in serving]
    if not any(load is not None and load.probing for load in loads):
        return serving
    loads = [occupancy.load_of(tables, each.announcement.name) for each in serving]
    alone = all(load.probing for load in loads)
    return [
        each
        for each, load in zip(serving, loads, strict=True)
        if ejection.admits(tables, now, ready, load, alone)
    ]


def with_room(
    tables: entry_tables.EntryTables,
    now: float,
    ready: pipeline_tables.ReadyStage,
    serving: list[gossip_tables.Upstream],
) -> list[Candidate]:
    """Return the upstreams that this stage may bring one more call."""
    rows = [_row(tables, each) for each in serving]
    pool = _pool(tables, now, rows)
    urgent = queues.is_urgent(tables, ready.priority)
    share = 1.0 if urgent else 1.0 - queues.limits(tables).urgent_share
    part = 1.0 if urgent else pool.patient_part
    starved = (
        pool.own < pool.limit / pool.hosts
        and pool.own * part < pool.limit * share / pool.hosts
    )
    found = []
    for upstream, load, limit in rows:
        mine = len(load.in_flight)
        others = occupancy.others(now, upstream, load, pool.usual_others)
        kin = mine if urgent else mine - len(load.urgent)
        bound = math.ceil(limit * share)
        fits = (
            mine + others < limit - HALF_A_CALL
            and kin + others * part < bound - HALF_A_CALL
        )
        if fits or (starved and _is_owed(pool, mine, kin, limit, bound)):
            found.append(Candidate(upstream, load, mine + others))
    return found


def _is_owed(pool: Pool, mine: int, kin: int, limit: float, bound: int) -> bool:
    """Tell whether a host below its share of the pool is below it here too."""
    own_share = max(1.0, limit / pool.hosts)
    own_bound = max(1.0, bound / pool.hosts)
    return mine < own_share and kin < own_bound


def _row(tables: entry_tables.EntryTables, upstream: gossip_tables.Upstream) -> Row:
    announcement = upstream.announcement
    load = occupancy.load_of(tables, announcement.name)
    limit = load.limit
    if limit > announcement.concurrency:
        limit = float(announcement.concurrency)
    return Row(upstream, load, limit)


def _pool(tables: entry_tables.EntryTables, now: float, rows: list[Row]) -> Pool:
    hosts = occupancy.host_count(tables, now)
    own = 0
    urgent = 0
    limit = 0.0
    for _, load, row_limit in rows:
        own += len(load.in_flight)
        urgent += len(load.urgent)
        limit += row_limit
    return Pool(
        hosts=hosts,
        own=own,
        limit=limit,
        usual_others=own / max(1, len(rows)) * (hosts - 1),
        patient_part=1.0 if own == 0 else (own - urgent) / own,
    )


def _drawn(
    tables: entry_tables.EntryTables,
    ready: pipeline_tables.ReadyStage,
    candidates: list[Candidate],
) -> list[Candidate]:
    if len(candidates) <= CHOICES:
        return candidates
    drawn = tables.random.sample(candidates, CHOICES)
    if not ready.prefix:
        return drawn
    holding = [
        each
        for each in candidates
        if prefixes.holds(each.load, each.upstream, ready.prefix)
    ]
    if holding:
        drawn.append(min(holding, key=lambda each: each.held))
    return drawn


def _predict(
    tables: entry_tables.EntryTables,
    ready: pipeline_tables.ReadyStage,
    candidate: Candidate,
    units: float,
) -> float:
    announcement = candidate.upstream.announcement
    load = candidate.load
    running = min(candidate.held + 1.0, announcement.concurrency)
    pace = max(load.pace, load.stall)
    unit_s = estimates.unit_s(tables, ready.stage) * pace
    service_s = units * unit_s * estimates.sharing(running)
    excess = candidate.held + 1.0 - announcement.concurrency
    wait_s = max(0.0, excess) / announcement.concurrency * service_s
    zone_s = 0.0 if announcement.zone == tables.settings.zone else OTHER_ZONE_S
    return service_s + wait_s + zone_s
