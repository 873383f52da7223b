"""Run the stages of a request before it is sent to its upstream."""

import asyncio
import collections
import dataclasses

import msgspec
import result

from bitternlever.catalog import routes, tables as catalog_tables
from bitternlever.core import clocks
from bitternlever.gateway import (
    context as gateway_context,
    fingerprints,
    measures,
    schedule,
    stage_work,
    state,
)
from bitternlever.messages import fleet

CROSS_ZONE_BYTES = 1_000_000
"""Stage results below this size may cross zones at no noticeable cost."""

MINIMUM_RETRY_AFTER_S = 0.1
"""Within less than a call's duration nothing changes at the stage."""


@dataclasses.dataclass(slots=True)
class Results:
    """Result handles by stage number, and the stages whose results were freed.

    ``started`` is set once all pieces of a stage are in calls to upstreams;
    ``completed_s`` is when all their results existed.
    """

    handles: dict[int, list[str]] = dataclasses.field(default_factory=dict)
    freed: set[int] = dataclasses.field(default_factory=set)
    started: dict[int, asyncio.Event] = dataclasses.field(default_factory=dict)
    completed_s: dict[int, float] = dataclasses.field(default_factory=dict)


async def run(
    gateway: state.Gateway,
    context: gateway_context.Context,
    results: Results,
) -> result.Result[tuple[str, ...], fleet.StageRefused]:
    """Run all stages; return the handles of the results that the request reads."""
    stages = context.route.stages
    tasks: dict[int, asyncio.Task] = {}
    results.started = {stage.number: asyncio.Event() for stage in stages}
    for stage in schedule.topological_order(stages):
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
        tuple(handle for stage in final for handle in results.handles[stage.number]),
    )


def free(
    gateway: state.Gateway,
    context: gateway_context.Context,
    results: Results,
) -> None:
    """Free all results that are not freed yet."""
    for stage in context.route.stages:
        _free_stage(gateway, stage, results)


async def _stage(
    gateway: state.Gateway,
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
    tasks: dict[int, asyncio.Task],
    results: Results,
) -> fleet.StageRefused | None:
    """Run one stage after those that it depends on; return its refusal, if any."""
    for number in stage.after:
        if await asyncio.shield(tasks[number]) is not None:
            return None
    awaited_stage = schedule.start_dependency(context, stage)
    if awaited_stage is not None:
        await results.started[awaited_stage].wait()
    count = schedule.piece_count(context, stage)
    results.handles[stage.number] = []
    if count > 0:
        started_s = clocks.boot_time()
        work = _work(gateway, context, stage, count, results)
        answer = await stage_work.run(
            gateway,
            work,
            results.started[stage.number],
            lambda work, now: _with_time_left(
                gateway, context, stage, results, work, now
            ),
        )
        results.started[stage.number].set()
        now = clocks.boot_time()
        waited_s = now - started_s
        measures.record_latency(gateway.measures, f"stage.{stage.service}", waited_s)
        context.stage_times.append((stage.number, round(waited_s, 3)))
        if isinstance(answer, fleet.StageRefused):
            return answer
        results.handles[stage.number] = answer.handles
        results.completed_s[stage.number] = now
    _free_consumed_inputs(gateway, context, stage, tasks, results)
    return None


def first_work(
    gateway: state.Gateway,
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
    now: float,
) -> fleet.StageWork:
    """Return a stage's work as it is before any stage has results."""
    results = Results(handles={each.number: [] for each in context.route.stages})
    count = schedule.piece_count(context, stage)
    work = _work(gateway, context, stage, count, results)
    return _with_time_left(gateway, context, stage, results, work, now)


def _work(
    gateway: state.Gateway,
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
    count: int,
    results: Results,
) -> fleet.StageWork:
    inputs = [handle for number in stage.after for handle in results.handles[number]]
    workspace = context.workspace
    return fleet.StageWork(
        work=f"{context.head.request}/{context.stage_round}/{stage.number}",
        request=context.head.request,
        service=stage.service,
        stage=stage.number,
        key=context.head.piece_key,
        pieces=[fleet.StagePiece(number, []) for number in range(count)],
        priority=routes.rank(context.route, workspace),
        depth=sum(bool(handles) for handles in results.handles.values()),
        objective_left_s=0.0,
        deadline_left_s=0.0,
        result_bytes=stage.result_bytes,
        workspace="" if workspace is None else workspace.name,
        notify_start=_delays_another_stage(context, stage),
        feeds_stage=stage.number in schedule.consumed_stages(context.route),
        preferred_zone=_preferred_zone(gateway, context, stage, count, results),
        fingerprints=list(fingerprints.names(context)),
        inputs=inputs,
    )


def _delays_another_stage(
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
) -> bool:
    return any(
        schedule.start_dependency(context, other) == stage.number
        for other in context.route.stages
    )


def _preferred_zone(
    gateway: state.Gateway,
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
    count: int,
    results: Results,
) -> str:
    """Return the zone of a stage's large inputs or of the reader of its large results.

    Return an empty string if neither is large. Every piece reads all inputs. Results
    between two stages need no zone: the later stage runs where they are.
    """
    inputs = [handle for number in stage.after for handle in results.handles[number]]
    read_bytes = count * sum(
        context.route.stages[number].result_bytes * len(results.handles[number])
        for number in stage.after
    )
    if inputs and read_bytes >= CROSS_ZONE_BYTES:
        return _most_common_zone(gateway, inputs)
    is_final = stage.number not in schedule.consumed_stages(context.route)
    if is_final and count * stage.result_bytes >= CROSS_ZONE_BYTES:
        return context.engine_zone
    return ""


def results_zone(
    gateway: state.Gateway, context: gateway_context.Context, results: Results
) -> str:
    """Return the zone with most of a request's final results, if these are large."""
    handles = []
    for stage in routes.final_stages(context.route):
        produced = results.handles[stage.number]
        if len(produced) * stage.result_bytes >= CROSS_ZONE_BYTES:
            handles += produced
    return _most_common_zone(gateway, handles)


def _most_common_zone(gateway: state.Gateway, handles: list[str]) -> str:
    entries = gateway.tables.upstreams.entries
    upstream_by_address = gateway.tables.upstreams.upstream_by_address
    zones = collections.Counter()
    for handle in handles:
        address = gateway.dialect.producer_address(handle)
        entry = entries.get(upstream_by_address.get(address, ""))
        if entry is not None:
            zones[entry.status.zone] += 1
    return zones.most_common(1)[0][0] if zones else ""


def _with_time_left(
    gateway: state.Gateway,
    context: gateway_context.Context,
    stage: catalog_tables.Stage,
    results: Results,
    work: fleet.StageWork,
    now: float,
) -> fleet.StageWork:
    completed_s = results.completed_s
    return msgspec.structs.replace(
        work,
        objective_left_s=schedule.objective_left_s(gateway.tables, context, stage, now),
        deadline_left_s=schedule.deadline_left_s(context, stage, now, completed_s),
    )


def _free_consumed_inputs(
    gateway: state.Gateway,
    context: gateway_context.Context,
    done: catalog_tables.Stage,
    tasks: dict[int, asyncio.Task],
    results: Results,
) -> None:
    """Free the inputs of a stage whose readers are all done."""
    for number in done.after:
        readers = [
            stage.number for stage in context.route.stages if number in stage.after
        ]
        if all(reader == done.number or tasks[reader].done() for reader in readers):
            _free_stage(gateway, context.route.stages[number], results)


def _free_stage(
    gateway: state.Gateway,
    stage: catalog_tables.Stage,
    results: Results,
) -> None:
    handles = results.handles.get(stage.number)
    if handles and stage.number not in results.freed:
        results.freed.add(stage.number)
        stage_work.release(gateway, stage.service, handles)


def retry_after_s(refusal: fleet.StageRefused) -> float:
    """Return the time after which the caller may retry."""
    return max(MINIMUM_RETRY_AFTER_S, refusal.retry_after_s)
