"""The choice of an upstream for a ready stage."""

import result

from bitternlever.gossip import membership
from bitternlever.pipelines import tables as pipeline_tables
from bitternlever.routing import tables as routing_tables

RETRY_AFTER_S = 0.5
DEFAULT_PREDICTION_S = 0.1


def choose(
    tables,
    now: float,
    ready: pipeline_tables.ReadyStage,
) -> result.Result[routing_tables.Placement, routing_tables.NoPlacement]:
    """Choose an upstream of the stage's pool with room under its limit."""
    loads = tables.routing.loads
    best = None
    best_load = 0
    for upstream in membership.serving(tables, now, ready.stage):
        name = upstream.announcement.name
        if name in ready.excluded:
            continue
        load = loads.setdefault(name, routing_tables.UpstreamLoad())
        load.limit = upstream.announcement.concurrency
        if len(load.in_flight) >= load.limit:
            continue
        if best is None or len(load.in_flight) < best_load:
            best = upstream.announcement
            best_load = len(load.in_flight)
    if best is None:
        return result.Err(
            routing_tables.NoPlacement(
                reason=f"no upstream of pool {ready.stage.pool} has room",
                retry_after_s=RETRY_AFTER_S,
            ),
        )
    return result.Ok(
        routing_tables.Placement(
            upstream=best.name,
            address=best.address,
            predicted_s=DEFAULT_PREDICTION_S,
        ),
    )
