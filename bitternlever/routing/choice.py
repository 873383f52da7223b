"""The choice of an upstream for a ready stage."""

import result

from bitternlever.gossip import membership
from bitternlever.pipelines import tables as pipeline_tables
from bitternlever.routing import policies, tables as routing_tables

RETRY_AFTER_S = 0.5
DEFAULT_PREDICTION_S = 0.1

CHOOSERS: dict[str, policies.Choose] = {
    policies.PREDICTED: policies.least_in_flight,
    policies.ROUND_ROBIN: policies.round_robin,
    policies.LEAST_IN_FLIGHT: policies.least_in_flight,
    policies.FIRST_COME_FIRST_SERVED: policies.least_in_flight,
}


def choose(
    tables,
    now: float,
    ready: pipeline_tables.ReadyStage,
) -> result.Result[routing_tables.Placement, routing_tables.NoPlacement]:
    """Choose an upstream of the stage's pool with room under its limit."""
    candidates = _with_room(tables, now, ready)
    if not candidates:
        return result.Err(
            routing_tables.NoPlacement(
                reason=f"no upstream of pool {ready.stage.pool} has room",
                retry_after_s=RETRY_AFTER_S,
            ),
        )
    choose_among = CHOOSERS[tables.settings.policy]
    best = choose_among(tables, now, ready, candidates).announcement
    return result.Ok(
        routing_tables.Placement(
            upstream=best.name,
            address=best.address,
            predicted_s=DEFAULT_PREDICTION_S,
        ),
    )


def _with_room(
    tables,
    now: float,
    ready: pipeline_tables.ReadyStage,
) -> policies.Candidates:
    loads = tables.routing.loads
    candidates = []
    for upstream in membership.serving(tables, now, ready.stage):
        announcement = upstream.announcement
        if announcement.name in ready.excluded:
            continue
        load = loads.setdefault(announcement.name, routing_tables.UpstreamLoad())
        load.limit = announcement.concurrency
        if len(load.in_flight) < load.limit:
            candidates.append(upstream)
    return candidates
