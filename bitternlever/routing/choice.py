"""Selection of an upstream for a ready stage."""

import result

from bitternlever.entry import tables as entry_tables
from bitternlever.gossip import membership
from bitternlever.pipelines import tables as pipeline_tables
from bitternlever.routing import policies, predicted, tables as routing_tables

RETRY_AFTER_S = 0.5
BASELINE_PREDICTION_S = 0.1

BASELINES: dict[str, policies.Choose] = {
    policies.ROUND_ROBIN: policies.round_robin,
    policies.LEAST_IN_FLIGHT: policies.least_in_flight,
    policies.FIRST_COME_FIRST_SERVED: policies.least_in_flight,
}


def choose(
    tables: entry_tables.EntryTables,
    now: float,
    ready: pipeline_tables.ReadyStage,
) -> result.Result[routing_tables.Placement, routing_tables.NoPlacement]:
    """Choose an upstream of the stage's pool that is below its limit."""
    chosen = _choose(tables, now, ready, _without_failed(tables, now, ready))
    if chosen is None:
        return result.Err(
            routing_tables.NoPlacement(
                reason=f"no upstream of pool {ready.stage.pool} has room",
                retry_after_s=RETRY_AFTER_S,
            ),
        )
    announcement = chosen.upstream.announcement
    return result.Ok(
        routing_tables.Placement(
            upstream=announcement.name,
            address=announcement.address,
            predicted_s=chosen.predicted_s,
        ),
    )


def _without_failed(
    tables: entry_tables.EntryTables,
    now: float,
    ready: pipeline_tables.ReadyStage,
) -> policies.Upstreams:
    """Return the serving upstreams on which the stage has not failed.

    If it has failed on all of them, a retry may use any of them again: with a single
    upstream in the pool, the failure may have been only a lost connection.
    """
    serving = list(membership.serving_upstreams(tables, now, ready.stage))
    untried = [
        upstream
        for upstream in serving
        if upstream.announcement.name not in ready.excluded
    ]
    return untried if untried or ready.hedge else serving


def _choose(
    tables: entry_tables.EntryTables,
    now: float,
    ready: pipeline_tables.ReadyStage,
    serving: policies.Upstreams,
) -> predicted.Choice | None:
    baseline = BASELINES.get(tables.settings.policy)
    if baseline is None:
        return predicted.choose(tables, now, ready, serving)
    upstream = baseline(tables, now, ready, serving)
    if upstream is None:
        return None
    return predicted.Choice(upstream, BASELINE_PREDICTION_S)
