"""Start order and time limits of the stages of a request.

A request passes several busy stages before its engine, and callers judge the time to
the first event; each of many hosts sees few of these requests. Early stages therefore
subtract what later ones take at present, as reported by the hosts that batch them. A
first stage that no other stage depends on starts late enough that its results do not
occupy memory while the other stages run. A request that would only wait in vain is
rejected before its first stage. All functions are pure.
"""

import statistics
from collections.abc import Callable

from bitternlever.batching import estimates
from bitternlever.catalog import tables as catalog_tables
from bitternlever.gateway import (
    context as gateway_context,
    tables as gateway_tables,
)

READ_PROMPT_S = 0.15
"""Time from the last stage to an engine's first event, until one is observed."""

REPORT_EXPIRY_S = 2.0
"""Batching hosts report four times a second."""

START_DELAY_FACTOR = 1.0
"""A first stage waits for a chain of stages at least this many times as long."""


def topological_order(
    stages: tuple[catalog_tables.Stage, ...],
) -> list[catalog_tables.Stage]:
    """Return the stages ordered so that each follows those that it depends on."""
    ordered: list[catalog_tables.Stage] = []
    placed: set[int] = set()
    waiting = list(stages)
    while waiting:
        ready = [stage for stage in waiting if placed.issuperset(stage.after)]
        ordered.extend(ready)
        placed.update(stage.number for stage in ready)
        waiting = [stage for stage in waiting if stage.number not in placed]
    return ordered


def consumed_stages(route: catalog_tables.Route) -> set[int]:
    """Return the numbers of the stages that other stages depend on."""
    return {number for stage in route.stages for number in stage.after}


def piece_count(
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
) -> int:
    """Return the number of pieces of work that a stage of the request consists of.

    Each piece produces one result; the pieces of a stage may run in different calls.
    The caller declares the numbers in a header, by stage number; a stage without a
    number in it has one piece.
    """
    pieces = context.head.pieces
    return pieces[stage.number] if stage.number < len(pieces) else 1


def cost_s(
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
) -> float:
    """Return the duration of a call with only this request's pieces of a stage."""
    count = piece_count(context, stage)
    service = context.catalog.services.get(stage.service)
    if count == 0 or service is None or service.stage is None:
        return 0.0
    items = min(count, service.stage.batch)
    return service.stage.call_s + service.stage.item_s * items


def remaining_s(
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
) -> float:
    """Return the minimum time from the end of a stage to the first event."""
    return max(
        (
            cost_s(context, later_stage) + remaining_s(context, later_stage)
            for later_stage in context.route.stages
            if stage.number in later_stage.after
        ),
        default=READ_PROMPT_S,
    )


def expected_remaining_s(
    tables: gateway_tables.GatewayTables,
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
    now: float,
) -> float:
    """Return the expected time from the end of a stage to the first event."""
    first_s = estimates.upper_bound_s(first_piece_estimate(tables, context.service))
    return max(
        (
            cost_s(context, later_stage)
            + expected_wait_s(tables, later_stage.service, now)
            + expected_remaining_s(tables, context, later_stage, now)
            for later_stage in context.route.stages
            if stage.number in later_stage.after
        ),
        default=first_s,
    )


def start_dependency(
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
) -> int | None:
    """Return the stage whose start a first stage waits for, so that they end together.

    A result that is produced early occupies memory at its producer until the last one
    is produced.
    """
    consumed = consumed_stages(context.route)
    if stage.after or stage.number in consumed:
        return None
    candidates = [
        candidate
        for candidate in context.route.stages
        if candidate.number != stage.number
        and candidate.number not in consumed
        and piece_count(context, candidate) > 0
        and _path_s(context, candidate) >= START_DELAY_FACTOR * cost_s(context, stage)
    ]
    if not candidates:
        return None
    return max(candidates, key=lambda candidate: _path_s(context, candidate)).number


def stages_s(context: gateway_context.Context) -> float:
    """Return the minimum time from a request's start to the end of all its stages."""
    return max((_path_s(context, stage) for stage in context.route.stages), default=0.0)


def _path_s(
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
) -> float:
    """Return the minimum time from a request's start to the end of a stage."""
    before_s = max(
        (_path_s(context, context.route.stages[number]) for number in stage.after),
        default=0.0,
    )
    return before_s + cost_s(context, stage)


def objective_left_s(
    tables: gateway_tables.GatewayTables,
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
    now: float,
) -> float:
    """Return how long a stage may take for the first event to meet the objective."""
    remaining_time_s = expected_remaining_s(tables, context, stage, now)
    return context.arrived_s + context.route.objective_s - now - remaining_time_s


def deadline_left_s(
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
    now: float,
    completed_s: dict[int, float],
) -> float:
    """Return how long a stage may take before its inputs expire or its caller leaves.

    ``completed_s`` has the completion times of the stages before it, by stage number.
    """
    latest_s = context.first_event_deadline_s - remaining_s(context, stage)
    for number in stage.after:
        service = context.catalog.services.get(context.route.stages[number].service)
        if number in completed_s and service is not None and service.stage is not None:
            latest_s = min(latest_s, completed_s[number] + service.stage.result_ttl_s)
    return latest_s - now


def admission_retry_after_s(
    tables: gateway_tables.GatewayTables,
    context: gateway_context.Context,
    now: float,
) -> float | None:
    """Return the time until a rejected request may be retried, None if it is admitted.

    Requests that can meet their objective are always admitted. Others wait behind the
    whole queue of each of their stages; if that takes longer than their callers wait,
    they are rejected before any stage starts.
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
    latest_s = max(_behind_backlog_s(tables, context, stage, now) for stage in first)
    excess_s = now + latest_s - context.first_event_deadline_s
    return excess_s if excess_s > 0 else None


def _behind_backlog_s(
    tables: gateway_tables.GatewayTables,
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
    now: float,
) -> float:
    """Return the time from a stage to the first event behind the whole backlog."""
    remaining_time_s = max(
        (
            _behind_backlog_s(tables, context, later_stage, now)
            for later_stage in context.route.stages
            if stage.number in later_stage.after
        ),
        default=READ_PROMPT_S,
    )
    if piece_count(context, stage) == 0:
        return remaining_time_s
    return (
        remaining_time_s
        + cost_s(context, stage)
        + backlog_s(tables, stage.service, now)
    )


def expected_wait_s(
    tables: gateway_tables.GatewayTables,
    service: str,
    now: float,
) -> float:
    """Return the expected wait of on-time work at the median group of a service."""
    return _at_median_group(tables, service, now, gateway_tables.expected_wait_s)


def backlog_s(
    tables: gateway_tables.GatewayTables,
    service: str,
    now: float,
) -> float:
    """Return how long the queue of a service's median group will take."""
    return _at_median_group(tables, service, now, gateway_tables.remaining_backlog_s)


def _at_median_group(
    tables: gateway_tables.GatewayTables,
    service: str,
    now: float,
    value: Callable[[gateway_tables.ReportedLoad, float], float],
) -> float:
    values = [value(reported, now) for reported in _reports(tables, service, now)]
    return statistics.median_low(values) if values else 0.0


def _reports(
    tables: gateway_tables.GatewayTables,
    service: str,
    now: float,
) -> list[gateway_tables.ReportedLoad]:
    """Return the last reports on the groups of a service.

    Those of groups that no host batches any more do not count beside newer ones.
    """
    reports = [
        reported for (name, _), reported in tables.loads.items() if name == service
    ]
    newest_s = max((reported.reported_s for reported in reports), default=now)
    return [
        reported
        for reported in reports
        if newest_s - reported.reported_s <= REPORT_EXPIRY_S
    ]


def first_piece_estimate(
    tables: gateway_tables.GatewayTables,
    service: str,
) -> estimates.Estimate:
    """Return the estimate of the time to the first piece of a service's answer."""
    return tables.first_pieces.setdefault(service, estimates.Estimate(READ_PROMPT_S))
