"""Stages of a request: starting the next one, queue entries and deadlines."""

from typing import Any

from bitternlever.admission import dispatch
from bitternlever.core import ticks
from bitternlever.entry import tables as entry_tables
from bitternlever.messages import problems, upstream
from bitternlever.pipelines import (
    delivery,
    finish,
    lease_expiry,
    progress,
    refusals,
    tables as pipeline_tables,
    timers,
)

CHARACTERS_PER_TOKEN = 4


def attach_caller(
    tables: entry_tables.EntryTables,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    caller: pipeline_tables.Caller,
) -> None:
    """Attach a caller to a request that runs on this host."""
    tables.requests.callers[caller.caller_id] = request.request_id
    request.callers[caller.caller_id] = caller
    progress.send_visible_text(outbox, request)


def advance(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
) -> None:
    """Queue the next stage for an upstream, or answer after the last stage."""
    stages = request.pipeline.stages
    if request.cancelled:
        finish.with_problem(
            tables, now, outbox, request, refusals.cancelled(tables, request)
        )
        return
    if request.stage_index >= len(stages):
        finish.with_answer(tables, now, outbox, request)
        return
    request.phase = pipeline_tables.Phase.READY
    if not request.kind.durable and now >= request.deadline_s:
        expire(tables, now, outbox, request)
        return
    dispatch.push(tables, now, ready_stage(tables, now, request))


def ready_stage(
    tables: entry_tables.EntryTables,
    now: float,
    request: pipeline_tables.Request,
    excluded: frozenset[str] = frozenset(),
    preemptions: int = 0,
) -> pipeline_tables.ReadyStage:
    """Return the queue entry of the request's current stage."""
    stages = request.pipeline.stages
    stage = stages[request.stage_index]
    weights = [remaining.deadline_weight for remaining in stages[request.stage_index :]]
    share = stage.deadline_weight / (sum(weights) or 1.0)
    left_s = max(0.0, request.deadline_s - now)
    workspace = tables.manifest.workspaces.get(request.workspace)
    return pipeline_tables.ReadyStage(
        request_id=request.request_id,
        workspace=request.workspace,
        weight=1.0 if workspace is None else workspace.weight,
        kind=request.kind.name,
        priority=request.kind.priority,
        stage_index=request.stage_index,
        stage=stage,
        enqueued_s=now,
        deadline_s=request.deadline_s,
        stage_deadline_s=now + left_s * share,
        durable=request.kind.durable,
        prefix=_prefix(request.input),
        prompt_tokens=len(request.body) // CHARACTERS_PER_TOKEN,
        resume_output=request.texts.get(stage.name, ""),
        excluded=excluded,
        preemptions=preemptions,
    )


def run(tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox) -> None:
    """Handle changes of this host's lease, then run due timers."""
    lease_expiry.run(tables, now, outbox)
    timers.run(tables, now, outbox)


def expire(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
) -> None:
    """End a non-durable request whose deadline has passed."""
    if request.phase is pipeline_tables.Phase.ANSWERING:
        return
    problem = refusals.deadline_passed(tables, request)
    if request.phase is pipeline_tables.Phase.CLAIMING:
        problem.ran = problems.Ran.UNKNOWN
        delivery.send_problem(tables, outbox, request.callers, problem)
        return
    tables.count("deadline_passed")
    finish.with_problem(tables, now, outbox, request, problem)


def binding(attempt: pipeline_tables.Attempt) -> upstream.Binding:
    """Return the binding that an answer to this attempt must echo."""
    return upstream.Binding(
        request=attempt.request_id,
        stage=attempt.stage.name,
        attempt=attempt.attempt_id,
        epoch=attempt.epoch,
    )


def _prefix(body_input: Any) -> str:
    """Return the caller's name for its shared prompt prefix, or an empty string."""
    if isinstance(body_input, dict):
        prefix = body_input.get("prefix", "")
        return prefix if isinstance(prefix, str) else ""
    return ""
