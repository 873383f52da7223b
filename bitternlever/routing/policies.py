"""Policies by name: how an upstream is chosen among those with room."""

from collections.abc import Callable
from typing import Any

from bitternlever.gossip import tables as gossip_tables
from bitternlever.pipelines import tables as pipeline_tables

PREDICTED = "predicted"
ROUND_ROBIN = "round_robin"
LEAST_IN_FLIGHT = "least_in_flight"
FIRST_COME_FIRST_SERVED = "first_come_first_served"
NAMES = (PREDICTED, ROUND_ROBIN, LEAST_IN_FLIGHT, FIRST_COME_FIRST_SERVED)

Candidates = list[gossip_tables.Upstream]
Choose = Callable[
    [Any, float, pipeline_tables.ReadyStage, Candidates],
    gossip_tables.Upstream,
]


def round_robin(
    tables,
    now: float,
    ready: pipeline_tables.ReadyStage,
    candidates: Candidates,
) -> gossip_tables.Upstream:
    """Choose one after the other, whatever their load."""
    pool = ready.stage.pool
    turn = tables.routing.turns.get(pool, 0)
    tables.routing.turns[pool] = turn + 1
    return candidates[turn % len(candidates)]


def least_in_flight(
    tables,
    now: float,
    ready: pipeline_tables.ReadyStage,
    candidates: Candidates,
) -> gossip_tables.Upstream:
    """Choose the upstream with the fewest of this host's calls."""
    loads = tables.routing.loads
    return min(
        candidates,
        key=lambda each: (
            len(loads[each.announcement.name].in_flight),
            each.announcement.name,
        ),
    )
