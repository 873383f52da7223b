"""When the stages of a request run, and how much time each has.

Load: a request runs through several busy stages before its engine, and its callers
judge the time to the first event; each of many hosts sees few of them. Early stages
count what the later ones take at present, as the hosts tell that batch them, and a
stage that nothing follows starts late enough that its results don't lie about while
the others are at work. A request that would only wait in vain is turned away before its
first stage. All functions are pure.
"""

from bitternlever.batching import estimates
from bitternlever.catalog import tables as catalog_tables
from bitternlever.gateway import (
    context as gateway_context,
    tables as gateway_tables,
)

READ_PROMPT_S = 0.15
"""From the last stage to an engine's first event, until that has been seen."""

HOLD_BACK_FACTOR = 1.0
"""A first stage waits for a chain of others that takes this many times as long."""


def in_order(
    stages: tuple[catalog_tables.Stage, ...],
) -> list[catalog_tables.Stage]:
    """Return the stages so that each comes after those that it needs."""
    ordered: list[catalog_tables.Stage] = []
    placed: set[int] = set()
    waiting = list(stages)
    while waiting:
        ready = [stage for stage in waiting if placed.issuperset(stage.after)]
        ordered.extend(ready)
        placed.update(stage.number for stage in ready)
        waiting = [stage for stage in waiting if stage.number not in placed]
    return ordered


def followed(route: catalog_tables.Route) -> set[int]:
    """Return the numbers of the stages that another stage needs."""
    return {number for stage in route.stages for number in stage.after}


def count_of(
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
) -> int:
    """Return how many pieces a request has of a stage."""
    pieces = context.head.pieces
    return pieces[stage.number] if stage.number < len(pieces) else 1


def cost_s(
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
) -> float:
    """Return how long a call with the pieces of just this stage takes."""
    count = count_of(context, stage)
    service = context.catalog.services.get(stage.service)
    if count == 0 or service is None or service.stage is None:
        return 0.0
    items = min(count, service.stage.batch)
    return service.stage.call_s + service.stage.item_s * items


def remaining_s(
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
) -> float:
    """Return the least time from the end of a stage to the first event."""
    return max(
        (
            cost_s(context, each) + remaining_s(context, each)
            for each in context.route.stages
            if stage.number in each.after
        ),
        default=READ_PROMPT_S,
    )


def expected_rest_s(
    tables: gateway_tables.GatewayTables,
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
    now: float,
) -> float:
    """Return the time that probably passes from a stage's end to the first event."""
    first_s = estimates.expected_s(first_piece_of(tables, context.service))
    return max(
        (
            cost_s(context, each)
            + expected_wait_s(tables, each.service, now)
            + expected_rest_s(tables, context, each, now)
            for each in context.route.stages
            if stage.number in each.after
        ),
        default=first_s,
    )


def held_back_by(
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
) -> int | None:
    """Return the stage whose begin a first stage awaits, so that they end together.

    A result that is made early takes up room at its maker until the last one is made.
    """
    final = followed(context.route)
    if stage.after or stage.number in final:
        return None
    others = [
        each
        for each in context.route.stages
        if each.number != stage.number
        and each.number not in final
        and count_of(context, each) > 0
        and _way_s(context, each) >= HOLD_BACK_FACTOR * cost_s(context, stage)
    ]
    if not others:
        return None
    return max(others, key=lambda each: _way_s(context, each)).number


def _way_s(
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
) -> float:
    """Return the least time from a request's begin to the end of a stage."""
    before_s = max(
        (_way_s(context, context.route.stages[number]) for number in stage.after),
        default=0.0,
    )
    return before_s + cost_s(context, stage)


def objective_left_s(
    tables: gateway_tables.GatewayTables,
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
    now: float,
) -> float:
    """Return what a stage may take for the first event to be on time."""
    rest_s = expected_rest_s(tables, context, stage, now)
    return context.arrived_s + context.route.objective_s - now - rest_s


def deadline_left_s(
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
    now: float,
    made_s: dict[int, float],
) -> float:
    """Return what a stage may take at most: then its inputs or its caller are gone.

    ``made_s`` tells when the results of the stages before it were made, by number.
    """
    latest_s = context.first_event_s - remaining_s(context, stage)
    for number in stage.after:
        service = context.catalog.services.get(context.route.stages[number].service)
        if number in made_s and service is not None and service.stage is not None:
            latest_s = min(latest_s, made_s[number] + service.stage.result_s)
    return latest_s - now


def turned_away_s(
    tables: gateway_tables.GatewayTables,
    context: gateway_context.Context,
    now: float,
) -> float | None:
    """Return when a new request should come back, None where it is let in.

    Who can be on time is always let in. Others wait behind the whole queue of each of
    their stages; where that takes longer than their callers stay, no stage is begun.
    """
    first = [stage for stage in context.route.stages if not stage.after]
    spare_s = min(
        objective_left_s(tables, context, stage, now)
        - cost_s(context, stage)
        - expected_wait_s(tables, stage.service, now)
        for stage in first
    )
    if spare_s >= 0:
        return None
    latest_s = max(_behind_all_s(tables, context, stage, now) for stage in first)
    excess_s = now + latest_s - context.first_event_s
    return excess_s if excess_s > 0 else None


def _behind_all_s(
    tables: gateway_tables.GatewayTables,
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
    now: float,
) -> float:
    """Return how long the way from a stage on takes behind all that waits."""
    rest_s = max(
        (
            _behind_all_s(tables, context, each, now)
            for each in context.route.stages
            if stage.number in each.after
        ),
        default=READ_PROMPT_S,
    )
    if count_of(context, stage) == 0:
        return rest_s
    return rest_s + cost_s(context, stage) + backlog_s(tables, stage.service, now)


def expected_wait_s(
    tables: gateway_tables.GatewayTables,
    service: str,
    now: float,
) -> float:
    """Return the wait of work on time: as it was lately, or as what waits now asks."""
    told = tables.loads.get(service)
    if told is None:
        return 0.0
    age_s = now - told.told_s
    lately_s = estimates.faded_s(told.load.wait_s, age_s)
    return max(lately_s, told.load.on_time_s - age_s)


def backlog_s(
    tables: gateway_tables.GatewayTables,
    service: str,
    now: float,
) -> float:
    """Return how long a service's queue will take, as last told, less its age."""
    told = tables.loads.get(service)
    if told is None:
        return 0.0
    return max(0.0, told.load.backlog_s - (now - told.told_s))


def first_piece_of(
    tables: gateway_tables.GatewayTables,
    service: str,
) -> estimates.Estimate:
    """Return the estimate of the time to a service's first piece of an answer."""
    return tables.first_pieces.setdefault(service, estimates.Estimate(READ_PROMPT_S))
