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
    measures,
    schedule,
    state,
)
from bitternlever.messages import fleet

LARGE_BYTES = 1_000_000
"""Results of a stage below this may cross zones without weight."""

MINIMUM_RETRY_AFTER_S = 0.1
"""Below a call's duration nothing has changed at the stage."""


@dataclasses.dataclass(slots=True)
class Results:
    """Handles of the pieces of each stage by its number, and what was given up.

    ``begun`` tells when all pieces of a stage are in calls to upstreams, ``made_s``
    when their results were all there.
    """

    handles: dict[int, list[str]] = dataclasses.field(default_factory=dict)
    freed: set[int] = dataclasses.field(default_factory=set)
    begun: dict[int, asyncio.Event] = dataclasses.field(default_factory=dict)
    made_s: dict[int, float] = dataclasses.field(default_factory=dict)


async def run(
    gateway: state.Gateway,
    context: gateway_context.Context,
    results: Results,
) -> result.Result[tuple[str, ...], fleet.StageRefused]:
    """Run all stages; return the results that the request itself reads."""
    stages = context.route.stages
    tasks: dict[int, asyncio.Task] = {}
    results.begun = {stage.number: asyncio.Event() for stage in stages}
    for stage in schedule.in_order(stages):
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
    for number in stage.after:
        if await asyncio.shield(tasks[number]) is not None:
            return None
    held_by = schedule.held_back_by(context, stage)
    if held_by is not None:
        await results.begun[held_by].wait()
    count = schedule.count_of(context, stage)
    results.handles[stage.number] = []
    if count > 0:
        began_s = clocks.boot_time()
        work = _work(gateway, context, stage, count, results)
        answer = await batching.run(
            gateway,
            work,
            results.begun[stage.number],
            lambda work, now: _with_time_left(
                gateway, context, stage, results, work, now
            ),
        )
        results.begun[stage.number].set()
        now = clocks.boot_time()
        waited_s = now - began_s
        measures.note_latency(gateway.measures, f"stage.{stage.service}", waited_s)
        context.stage_times.append((stage.number, round(waited_s, 3)))
        if isinstance(answer, fleet.StageRefused):
            return answer
        results.handles[stage.number] = answer.handles
        results.made_s[stage.number] = now
    _free_read(gateway, context, stage, tasks, results)
    return None


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
        work=f"{context.head.request}/{context.stage_round}/{stage.number}",
        request=context.head.request,
        service=stage.service,
        stage=stage.number,
        key=context.head.piece_key,
        pieces=[fleet.StagePiece(number, inputs) for number in range(count)],
        priority=routes.rank(context.route, workspace),
        depth=sum(bool(each) for each in results.handles.values()),
        objective_left_s=0.0,
        deadline_left_s=0.0,
        result_bytes=stage.result_bytes,
        workspace="" if workspace is None else workspace.name,
        tell_begin=_holds_back(context, stage),
        feeds_stage=stage.number in schedule.followed(context.route),
        home_zone=_home_zone(gateway, context, stage, count, results),
    )


def _holds_back(
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
) -> bool:
    return any(
        schedule.held_back_by(context, each) == stage.number
        for each in context.route.stages
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
    is_final = stage.number not in schedule.followed(context.route)
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


def _with_time_left(
    gateway: state.Gateway,
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
    results: Results,
    work: fleet.StageWork,
    now: float,
) -> fleet.StageWork:
    made_s = results.made_s
    return msgspec.structs.replace(
        work,
        objective_left_s=schedule.objective_left_s(gateway.tables, context, stage, now),
        deadline_left_s=schedule.deadline_left_s(context, stage, now, made_s),
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


def retry_after_s(refusal: fleet.StageRefused) -> float:
    """Return when the caller may come back."""
    return max(MINIMUM_RETRY_AFTER_S, refusal.retry_after_s)
