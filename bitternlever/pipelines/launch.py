"""Attempts: send a stage to an upstream once, and only as the request's owner."""

from bitternlever.admission import dispatch
from bitternlever.core import ticks
from bitternlever.entry import tables as entry_tables
from bitternlever.messages import journal, manifest, requests, upstream
from bitternlever.pipelines import (
    crashes,
    finish,
    ownership,
    refusals,
    spans,
    stages,
    tables as pipeline_tables,
)
from bitternlever.routing import choice, feedback, tables as routing_tables

MILLISECONDS_PER_SECOND = 1_000
# The shell drops a call that it cannot start within this time.
START_WINDOW_S = 2.0
# Leaves time for another attempt if the connection to the upstream has gone silent.
FIRST_BYTE_DEADLINE_SHARE = 1 / 3
FIRST_BYTE_PREDICTION_FACTOR = 3.0
MINIMUM_FIRST_BYTE_TIMEOUT_S = 0.1


def launch(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    ready: pipeline_tables.ReadyStage,
    placement: routing_tables.Placement,
) -> None:
    """Start an attempt on the chosen upstream.

    The start of a non-idempotent stage is committed before the stage is sent.
    """
    request = tables.requests.requests.get(ready.request_id)
    if request is None or request.stage_index != ready.stage_index:
        tables.count("launch_without_request")
        return
    if not ownership.may_send(tables, now, request):
        tables.count("launch_without_lease")
        if not ready.hedge:
            tables.requests.awaiting_lease.append(ready)
        return
    if crashes.refused_for_s(tables, now, request) is not None:
        if not request.attempts:
            problem = refusals.crashes_upstreams(tables, request)
            finish.with_problem(tables, now, outbox, request, problem)
        return
    spans.report_span(
        outbox,
        request,
        "admission wait",
        start_s=ready.enqueued_s,
        end_s=now,
        stage=ready.stage.name,
    )
    attempt = _make_attempt(tables, now, ready, placement)
    tables.requests.attempts[attempt.attempt_id] = attempt
    request.attempts.add(attempt.attempt_id)
    feedback.started(tables, now, attempt)
    if ready.stage.idempotent:
        _send(tables, now, outbox, request, attempt)
        return
    request.phase = pipeline_tables.Phase.STARTING
    request.non_idempotent_started = True
    _commit_start(tables, now, outbox, request, attempt)


def preempt(
    tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox, attempt_id: str
) -> None:
    """Cancel an attempt and requeue its stage, which resumes from its output later."""
    attempt = tables.requests.attempts.get(attempt_id)
    if attempt is None or not attempt.stage.idempotent:
        return
    request = tables.requests.requests[attempt.request_id]
    ownership.cancel_attempt(tables, now, outbox, attempt)
    if request.attempts:
        return
    tables.count("stage_preempted")
    request.phase = pipeline_tables.Phase.READY
    ready = stages.ready_stage(
        tables,
        now,
        request,
        preemptions=attempt.preemptions + 1,
    )
    dispatch.push(tables, now, ready)


def hedge(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    ready: pipeline_tables.ReadyStage,
) -> None:
    """Start a second attempt of an idempotent stage on an upstream with capacity."""
    request = tables.requests.requests.get(ready.request_id)
    if request is None or not ready.stage.idempotent or len(request.attempts) != 1:
        return
    running = tables.requests.attempts[min(request.attempts)]
    ready.hedge = True
    ready.excluded = ready.excluded | {running.upstream}
    ready.resume_output = request.texts.get(ready.stage.name, "")
    placement = choice.choose(tables, now, ready)
    if placement.is_ok():
        tables.count("stage_hedged")
        launch(tables, now, outbox, ready, placement.ok())


def _commit_start(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    attempt: pipeline_tables.Attempt,
) -> None:
    name = attempt.stage.name
    command = journal.StartStage(
        request_id=request.request_id,
        stage=name,
        attempt=attempt.attempt_id,
        host=tables.settings.host,
        epoch=request.epoch,
        replaces=request.unsent_attempts.get(name),
    )

    def on_reply(tables, now, outbox, reply) -> None:
        if attempt.attempt_id not in request.attempts:
            return
        if isinstance(reply, journal.StageStarted):
            _send_started(tables, now, outbox, request, attempt)
            return
        problem = refusals.outcome_unknown(tables, request, name)
        finish.with_problem(tables, now, outbox, request, problem)

    ownership.write(tables, now, outbox, request, command, on_reply)


def _send_started(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    attempt: pipeline_tables.Attempt,
) -> None:
    """Send the started attempt unless the lease ended or the request was cancelled."""
    if ownership.may_send(tables, now, request) and not request.cancelled:
        _send(tables, now, outbox, request, attempt)
        return
    ownership.end_attempt(tables, now, outbox, attempt, ended="not sent")
    feedback.cancelled(tables, now, attempt)
    request.unsent_attempts[attempt.stage.name] = attempt.attempt_id
    stages.advance(tables, now, outbox, request)


def _send(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    attempt: pipeline_tables.Attempt,
) -> None:
    stage = attempt.stage
    request.phase = pipeline_tables.Phase.RUNNING
    request.any_stage_sent = True
    attempt.sent = True
    not_after_s = now + START_WINDOW_S
    if request.journaled:
        not_after_s = min(not_after_s, tables.lease.valid_until_s)
    call = requests.CallUpstream(
        attempt=attempt.attempt_id,
        upstream=attempt.upstream,
        address=attempt.address,
        task=stage.task.value,
        call=_stage_call(now, request, attempt),
        idempotent=stage.idempotent,
        first_byte_timeout_s=_first_byte_timeout_s(now, request, attempt),
        between_bytes_timeout_s=stage.between_bytes_timeout_ms
        / MILLISECONDS_PER_SECOND,
        must_not_start_after=not_after_s,
        traceparent=request.traceparent,
    )
    outbox.send(call)


def _first_byte_timeout_s(
    now: float,
    request: pipeline_tables.Request,
    attempt: pipeline_tables.Attempt,
) -> float:
    """Return how long to wait for the first byte of the answer.

    An idempotent stage leaves time for a retry within the deadline. Unless its own
    timeout is shorter, it gets at least FIRST_BYTE_PREDICTION_FACTOR times its
    predicted duration.
    """
    timeout_s = attempt.stage.first_byte_timeout_ms / MILLISECONDS_PER_SECOND
    if not attempt.stage.idempotent or request.kind.durable:
        return timeout_s
    deadline_share_s = (attempt.deadline_s - now) * FIRST_BYTE_DEADLINE_SHARE
    predicted_limit_s = attempt.predicted_s * FIRST_BYTE_PREDICTION_FACTOR
    return min(
        timeout_s,
        max(MINIMUM_FIRST_BYTE_TIMEOUT_S, deadline_share_s, predicted_limit_s),
    )


def _stage_call(
    now: float,
    request: pipeline_tables.Request,
    attempt: pipeline_tables.Attempt,
) -> upstream.StageCall:
    stage = attempt.stage
    previous = None
    if attempt.stage_index > 0:
        previous_stage = request.pipeline.stages[attempt.stage_index - 1]
        previous = request.results.get(previous_stage.name)
    return upstream.StageCall(
        binding=stages.binding(attempt),
        input=request.input,
        previous=previous,
        model=stage.model,
        priority=attempt.priority,
        time_left_ms=max(0, int((attempt.deadline_s - now) * MILLISECONDS_PER_SECOND)),
        maximum_output_tokens=stage.maximum_output_tokens,
        stream=stage.task is manifest.Task.GENERATE,
        resume_output=attempt.output,
        prefix=attempt.prefix,
    )


def _make_attempt(
    tables: entry_tables.EntryTables,
    now: float,
    ready: pipeline_tables.ReadyStage,
    placement: routing_tables.Placement,
) -> pipeline_tables.Attempt:
    tables.requests.next_attempt += 1
    epoch = tables.lease.epoch
    number = tables.requests.next_attempt
    settings = tables.settings
    return pipeline_tables.Attempt(
        attempt_id=f"a-{settings.host}-{settings.incarnation}-{epoch}-{number}",
        request_id=ready.request_id,
        workspace=ready.workspace,
        stage_index=ready.stage_index,
        stage=ready.stage,
        upstream=placement.upstream,
        address=placement.address,
        priority=ready.priority,
        started_s=now,
        deadline_s=ready.deadline_s,
        predicted_s=placement.predicted_s,
        prompt_tokens=ready.prompt_tokens,
        prefix=ready.prefix,
        hedge=ready.hedge,
        output=ready.resume_output,
        resume_length=len(ready.resume_output),
        preemptions=ready.preemptions,
        epoch=epoch,
    )
