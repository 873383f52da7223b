"""Selection policies by name, and the baseline policies."""

from collections.abc import Callable
from typing import Any

from bitternlever.entry import tables as entry_tables
from bitternlever.gossip import tables as gossip_tables
from bitternlever.pipelines import tables as pipeline_tables

PREDICTED = "predicted"
ROUND_ROBIN = "round_robin"
LEAST_IN_FLIGHT = "least_in_flight"
FIRST_COME_FIRST_SERVED = "first_come_first_served"
NAMES = (PREDICTED, ROUND_ROBIN, LEAST_IN_FLIGHT, FIRST_COME_FIRST_SERVED)

Upstreams = list[gossip_tables.Upstream]
Choose = Callable[
    [Any, float, pipeline_tables.ReadyStage, Upstreams],
    gossip_tables.Upstream | None,
]


def round_robin(
    tables: entry_tables.EntryTables,
    now: float,
    ready: pipeline_tables.ReadyStage,
    serving: Upstreams,
) -> gossip_tables.Upstream | None:
    """Choose the upstreams in turn, regardless of their load."""
    free = _with_capacity(tables, serving)
    if not free:
        return None
    pool = ready.stage.pool
    turn = tables.routing.round_robin_positions.get(pool, 0)
    tables.routing.round_robin_positions[pool] = turn + 1
    return free[turn % len(free)]


def least_in_flight(
    tables: entry_tables.EntryTables,
    now: float,
    ready: pipeline_tables.ReadyStage,
    serving: Upstreams,
) -> gossip_tables.Upstream | None:
    """Choose the upstream with the fewest of this host's calls."""
    free = _with_capacity(tables, serving)
    return min(free, key=lambda upstream: _own_calls(tables, upstream), default=None)


def _with_capacity(tables: entry_tables.EntryTables, serving: Upstreams) -> Upstreams:
    """Return the upstreams with fewer calls of this host than they allow."""
    return [
        upstream
        for upstream in serving
        if _own_calls(tables, upstream) < upstream.announcement.concurrency
    ]


def _own_calls(
    tables: entry_tables.EntryTables, upstream: gossip_tables.Upstream
) -> int:
    load = tables.routing.loads.get(upstream.announcement.name)
    return 0 if load is None else len(load.in_flight)
