"""Run the stages of a request before its upstream gets it."""

import asyncio
import collections
import dataclasses

import msgspec
import result

from bitternlever.catalog import routes, tables as catalog_tables
from bitternlever.core import clocks
from bitternlever.gateway import (
    batching,
    context as gateway_context,
    estimates,
    state,
)
from bitternlever.messages import fleet

READ_PROMPT_S = 0.15
"""From the last stage to an engine's first event, for a prompt mostly in its cache."""

HOLD_BACK_FACTOR = 2.0
"""A first stage waits for others that leave it this many times its own duration."""

LARGE_BYTES = 1_000_000
"""Results of a stage below this may cross zones without weight."""

MINIMUM_RETRY_AFTER_S = 0.1


@dataclasses.dataclass(slots=True)
class Results:
    """Handles of the pieces of each stage by its number, and who still reads them."""

    handles: dict[int, list[str]] = dataclasses.field(default_factory=dict)
    freed: set[int] = dataclasses.field(default_factory=set)


async def run(
    gateway: state.Gateway,
    context: gateway_context.Context,
    results: Results,
) -> result.Result[tuple[str, ...], fleet.StageRefused]:
    """Run all stages; return the results that the request itself reads."""
    stages = context.route.stages
    tasks: dict[int, asyncio.Task] = {}
    for stage in _in_order(stages):
        tasks[stage.number] = asyncio.ensure_future(
            _stage(gateway, context, stage, tasks, results),
        )
    try:
        for task in asyncio.as_completed(tasks.values()):
            refusal = await task
            if refusal is not None:
                return result.Err(refusal)
    finally:
        for task in tasks.values():
            task.cancel()
        await asyncio.gather(*tasks.values(), return_exceptions=True)
    final = routes.final_stages(context.route)
    return result.Ok(
        tuple(each for stage in final for each in results.handles[stage.number]),
    )


def free(
    gateway: state.Gateway,
    context: gateway_context.Context,
    results: Results,
) -> None:
    """Give up all results that are still held."""
    for stage in context.route.stages:
        _free_stage(gateway, stage, results)


async def _stage(
    gateway: state.Gateway,
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
    tasks: dict[int, asyncio.Task],
    results: Results,
) -> fleet.StageRefused | None:
    """Run one stage once those before it are done; return why it was refused."""
    for number in (*stage.after, *_held_back_by(context, stage)):
        if await asyncio.shield(tasks[number]) is not None:
            return None
    pieces = context.head.pieces
    count = pieces[stage.number] if stage.number < len(pieces) else 1
    results.handles[stage.number] = []
    if count > 0:
        began_s = clocks.boot_time()
        work = _work(gateway, context, stage, count, results)
        answer = await batching.run(
            gateway,
            work,
            lambda work, now: _with_time_left(gateway, context, stage, work, now),
        )
        _learn_wait(gateway, context, stage, began_s)
        if isinstance(answer, fleet.StageRefused):
            return answer
        results.handles[stage.number] = answer.handles
    _free_read(gateway, context, stage, tasks, results)
    return None


def _held_back_by(
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
) -> list[int]:
    """Return the stage whose end a first stage awaits, so that it ends with the others.

    A result that is made early takes up room at its maker until the last one is made.
    """
    if stage.after or stage.number in _followed(context.route):
        return []
    own_s = HOLD_BACK_FACTOR * _cost_s(context, stage)
    others = [
        each
        for each in context.route.stages
        if each.number != stage.number
        and remaining_s(context, each) - READ_PROMPT_S >= own_s
    ]
    if not others:
        return []
    last = min(others, key=lambda each: remaining_s(context, each))
    return [last.number]


def _followed(route: catalog_tables.Route) -> set[int]:
    return {number for stage in route.stages for number in stage.after}


def _work(
    gateway: state.Gateway,
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
    count: int,
    results: Results,
) -> fleet.StageWork:
    inputs = [each for number in stage.after for each in results.handles[number]]
    workspace = context.workspace
    return fleet.StageWork(
        work=f"{context.head.request}/{stage.number}",
        request=context.head.request,
        service=stage.service,
        stage=stage.number,
        key=context.head.piece_key,
        pieces=[fleet.StagePiece(number, inputs) for number in range(count)],
        priority=context.priority,
        depth=_depth(context.route, stage) + len(_held_back_by(context, stage)),
        objective_left_s=0.0,
        deadline_left_s=0.0,
        result_bytes=stage.result_bytes,
        workspace="" if workspace is None else workspace.name,
        home_zone=_home_zone(gateway, context, stage, count, results),
    )


def _home_zone(
    gateway: state.Gateway,
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
    count: int,
    results: Results,
) -> str:
    """Return the zone where much is read from, or much will be read; else nothing.

    Every piece reads all inputs. Results between two stages need no zone: the later
    stage follows them.
    """
    inputs = [each for number in stage.after for each in results.handles[number]]
    read_bytes = count * sum(
        context.route.stages[number].result_bytes * len(results.handles[number])
        for number in stage.after
    )
    if inputs and read_bytes >= LARGE_BYTES:
        return _zone_of_most(gateway, inputs)
    is_final = stage.number not in _followed(context.route)
    if is_final and count * stage.result_bytes >= LARGE_BYTES:
        return context.engine_zone
    return ""


def _zone_of_most(gateway: state.Gateway, handles: list[str]) -> str:
    entries = gateway.tables.upstreams.entries
    holders = gateway.tables.upstreams.holders
    zones = collections.Counter()
    for handle in handles:
        address = gateway.dialect.maker_address(handle)
        entry = entries.get(holders.get(address, ""))
        if entry is not None:
            zones[entry.word.zone] += 1
    return zones.most_common(1)[0][0] if zones else ""


def _learn_wait(
    gateway: state.Gateway,
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
    began_s: float,
) -> None:
    """Learn from work that was on time when it began: late work waits for others."""
    least_s = _cost_s(context, stage)
    rest_s = expected_rest_s(gateway, context, stage)
    if context.arrived_s + context.route.objective_s < began_s + least_s + rest_s:
        return
    waited_s = max(0.0, clocks.boot_time() - began_s - least_s)
    estimates.add(wait_at(gateway, stage.service), waited_s)


def wait_at(gateway: state.Gateway, service: str) -> estimates.Estimate:
    """Return the estimate of the wait at a stage service."""
    return gateway.tables.waits.setdefault(service, estimates.Estimate(0.0))


def first_piece_of(gateway: state.Gateway, service: str) -> estimates.Estimate:
    """Return the estimate of the time to a service's first piece of an answer."""
    held = gateway.tables.first_pieces
    return held.setdefault(service, estimates.Estimate(READ_PROMPT_S))


def _with_time_left(
    gateway: state.Gateway,
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
    work: fleet.StageWork,
    now: float,
) -> fleet.StageWork:
    rest_s = expected_rest_s(gateway, context, stage)
    least_s = remaining_s(context, stage)
    return msgspec.structs.replace(
        work,
        objective_left_s=context.arrived_s + context.route.objective_s - now - rest_s,
        deadline_left_s=context.first_event_s - now - least_s,
    )


def expected_rest_s(
    gateway: state.Gateway,
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
) -> float:
    """Return the time that probably passes from a stage's end to the first event."""
    followers = [each for each in context.route.stages if stage.number in each.after]
    first_s = estimates.expected_s(first_piece_of(gateway, context.service))
    return max(
        (
            _cost_s(context, each)
            + estimates.expected_s(wait_at(gateway, each.service))
            + expected_rest_s(gateway, context, each)
            for each in followers
        ),
        default=first_s,
    )


def remaining_s(
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
) -> float:
    """Return the least time from the end of a stage to the first event."""
    followers = [each for each in context.route.stages if stage.number in each.after]
    return max(
        (_cost_s(context, each) + remaining_s(context, each) for each in followers),
        default=READ_PROMPT_S,
    )


def _cost_s(context: gateway_context.Context, stage: catalog_tables.Stage) -> float:
    pieces = context.head.pieces
    count = pieces[stage.number] if stage.number < len(pieces) else 1
    service = context.catalog.services.get(stage.service)
    if count == 0 or service is None or service.stage is None:
        return 0.0
    items = min(count, service.stage.batch)
    return service.stage.call_s + service.stage.item_s * items


def _depth(route: catalog_tables.Route, stage: catalog_tables.Stage) -> int:
    """Return how many stages one after another come before this one."""
    return max(
        (1 + _depth(route, route.stages[number]) for number in stage.after),
        default=0,
    )


def _free_read(
    gateway: state.Gateway,
    context: gateway_context.Context,
    done: catalog_tables.Stage,
    tasks: dict[int, asyncio.Task],
    results: Results,
) -> None:
    """Free results whose every reader is done."""
    for number in done.after:
        readers = [each.number for each in context.route.stages if number in each.after]
        if all(each == done.number or tasks[each].done() for each in readers):
            _free_stage(gateway, context.route.stages[number], results)


def _free_stage(
    gateway: state.Gateway,
    stage: catalog_tables.Stage,
    results: Results,
) -> None:
    handles = results.handles.get(stage.number)
    if handles and stage.number not in results.freed:
        results.freed.add(stage.number)
        batching.release(gateway, stage.service, handles)


def _in_order(
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


def retry_after_s(refusal: fleet.StageRefused) -> float:
    """Return when the caller may come back."""
    return max(MINIMUM_RETRY_AFTER_S, refusal.retry_after_s)


def left_s(context: gateway_context.Context) -> float:
    """Return what is left of the caller's time."""
    return context.deadline_s - clocks.boot_time()
