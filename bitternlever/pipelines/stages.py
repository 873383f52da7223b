"""Stages of a request: the next one, its pieces, its end, its failure."""

import hashlib
from typing import Any

import msgspec

from bitternlever.admission import dispatch
from bitternlever.core import ticks
from bitternlever.messages import manifest, problems, requests, upstream
from bitternlever.pipelines import (
    delivery,
    finish,
    lapses,
    ownership,
    progress,
    refusals,
    tables as pipeline_tables,
    timers,
)
from bitternlever.routing import budgets, feedback

DURABLE_PAUSE_S = 1.0
MAXIMUM_DURABLE_PAUSE_S = 15.0
RETRYABLE_STATUSES = (408, 409, 425, 429)
FIRST_CLIENT_ERROR = 400
FIRST_SERVER_ERROR = 500
CHARACTERS_PER_TOKEN = 4


def attach(
    tables,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    caller: pipeline_tables.Caller,
) -> None:
    """Let a caller wait for a request that runs on this host."""
    tables.requests.callers[caller.caller] = request.request_id
    request.callers[caller.caller] = caller
    progress.release(outbox, request)


def advance(
    tables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
) -> None:
    """Make the next stage wait for an upstream, or answer after the last."""
    stages = request.pipeline.stages
    if request.cancelled:
        finish.problem(
            tables, now, outbox, request, refusals.cancelled(tables, request)
        )
        return
    if request.stage_index >= len(stages):
        finish.whole(tables, now, outbox, request)
        return
    if not request.kind.durable and now >= request.deadline_s:
        expire(tables, now, outbox, request)
        return
    request.phase = pipeline_tables.Phase.READY
    dispatch.push(tables, now, ready_stage(tables, now, request))


def ready_stage(
    tables,
    now: float,
    request: pipeline_tables.Request,
    excluded: frozenset[str] = frozenset(),
    preemptions: int = 0,
) -> pipeline_tables.ReadyStage:
    """Return the request's present stage as it waits for an upstream."""
    stages = request.pipeline.stages
    stage = stages[request.stage_index]
    weights = [each.deadline_weight for each in stages[request.stage_index :]]
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


def part(
    tables,
    now: float,
    outbox: ticks.Outbox,
    message: requests.UpstreamPart,
) -> None:
    """Take a piece of streamed output, if it continues what its attempt brought."""
    attempt = tables.requests.attempts.get(message.attempt)
    if attempt is None:
        tables.count("part_late")
        return
    if attempt.first_byte_s is None:
        attempt.first_byte_s = now
        feedback.first_byte(tables, now, attempt)
    have = len(attempt.output)
    known = attempt.output[message.offset : message.offset + len(message.text)]
    if message.offset < have and known == message.text:
        tables.count("part_duplicate")
        return
    if message.offset != have:
        tables.count("part_out_of_order")
        _fail(tables, now, outbox, attempt, "a part of the stream is missing")
        return
    attempt.output += message.text
    request = tables.requests.requests[attempt.request_id]
    if not attempt.hedge:
        request.texts[attempt.stage.name] = attempt.output
        progress.extend(tables, now, outbox, request, attempt.stage.name)


def finished(
    tables,
    now: float,
    outbox: ticks.Outbox,
    message: requests.UpstreamFinished,
) -> None:
    """Take the end of a stage call, if it is whole and belongs to its attempt."""
    attempt = tables.requests.attempts.get(message.attempt)
    if attempt is None:
        tables.count("answer_late")
        return
    if message.binding != binding(attempt):
        tables.count("answer_crossed")
        _fail(tables, now, outbox, attempt, "the answer belongs to another call")
        return
    if not _is_whole(attempt, message):
        tables.count("answer_garbled")
        _begin_anew(tables, now, outbox, attempt)
        _fail(tables, now, outbox, attempt, "length or digest do not match the output")
        return
    output = message.output if message.length is None else attempt.output
    _complete(tables, now, outbox, attempt, output, message.usage)


def failed(
    tables,
    now: float,
    outbox: ticks.Outbox,
    message: requests.UpstreamFailed,
) -> None:
    """Take the failure of a stage call: retry, give up, or say it is unknown."""
    attempt = tables.requests.attempts.get(message.attempt)
    if attempt is None:
        tables.count("failure_late")
        return
    ownership.end_attempt(tables, now, outbox, attempt, ended="failed")
    feedback.failed(tables, now, attempt, message)
    request = tables.requests.requests[attempt.request_id]
    if request.attempts:
        _promote_hedge(tables, now, outbox, request)
        return
    if message.sent is requests.Sent.NO:
        request.unsent[attempt.stage.name] = attempt.attempt
    elif not attempt.stage.idempotent:
        stated = refusals.outcome_unknown(tables, request, attempt.stage.name)
        finish.problem(tables, now, outbox, request, stated)
        return
    if _is_final(message):
        stated = _upstream_refused(tables, request, attempt, message)
        finish.problem(tables, now, outbox, request, stated)
        return
    _retry(tables, now, outbox, request, attempt, message)


def run(tables, now: float, outbox: ticks.Outbox) -> None:
    """Run what is due, and what follows from the state of this host's lease."""
    lapses.run(tables, now, outbox)
    timers.run(tables, now, outbox)


def expire(
    tables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
) -> None:
    """End a request that is not durable and whose deadline has passed."""
    if request.phase is pipeline_tables.Phase.ANSWERING:
        return
    stated = refusals.late(tables, request)
    if request.phase is pipeline_tables.Phase.CLAIMING:
        stated.ran = problems.Ran.UNKNOWN
        delivery.problem(tables, outbox, request.callers, stated)
        return
    tables.count("deadline_passed")
    finish.problem(tables, now, outbox, request, stated)


def binding(attempt: pipeline_tables.Attempt) -> upstream.Binding:
    """Return the identity that an answer to this attempt must echo."""
    return upstream.Binding(
        request=attempt.request_id,
        stage=attempt.stage.name,
        attempt=attempt.attempt,
        epoch=attempt.epoch,
    )


def _complete(
    tables,
    now: float,
    outbox: ticks.Outbox,
    attempt: pipeline_tables.Attempt,
    output: Any,
    usage: upstream.Usage,
) -> None:
    """Take a whole output as the stage's one result; other attempts end."""
    request = tables.requests.requests[attempt.request_id]
    name = attempt.stage.name
    ownership.end_attempt(tables, now, outbox, attempt, ended="whole")
    feedback.finished(tables, now, attempt, usage)
    if attempt.hedge and not _goes_on_from(progress.shown(request, name), output):
        tables.count("hedge_diverged")
        return
    for other in sorted(request.attempts):
        ownership.cancel_attempt(tables, now, outbox, tables.requests.attempts[other])
    request.results[name] = output
    request.cost_ms[name] = request.cost_ms.get(name, 0.0) + usage.busy_ms
    request.failures = 0
    if attempt.stage.task is manifest.Task.GENERATE and isinstance(output, str):
        progress.replace(tables, now, outbox, request, name, output)
    if not attempt.stage.idempotent:
        request.completed_once_only = True
    request.stage_index += 1
    if request.journaled and request.stage_index < len(request.pipeline.stages):
        progress.record_result(tables, now, outbox, request, attempt, usage)
    advance(tables, now, outbox, request)


def _goes_on_from(text: str, output: Any) -> bool:
    """A caller's text must not change: a hedge may only go on from what was shown."""
    return not text or (isinstance(output, str) and output.startswith(text))


def _begin_anew(
    tables,
    now: float,
    outbox: ticks.Outbox,
    attempt: pipeline_tables.Attempt,
) -> None:
    """Forget a text that proved to be garbled; who saw some of it is told so."""
    request = tables.requests.requests[attempt.request_id]
    name = attempt.stage.name
    if attempt.hedge or not request.texts.get(name):
        return
    if progress.shown(request, name):
        streaming = {
            number: caller
            for number, caller in request.callers.items()
            if caller.stream
        }
        for number in streaming:
            del request.callers[number]
        delivery.problem(tables, outbox, streaming, refusals.garbled(tables, request))
    progress.replace(tables, now, outbox, request, name, "")


def _fail(
    tables,
    now: float,
    outbox: ticks.Outbox,
    attempt: pipeline_tables.Attempt,
    reason: str,
) -> None:
    """Cancel an attempt whose answer cannot be used and treat it as failed."""
    cancel = requests.CancelUpstream(
        attempt=attempt.attempt,
        upstream=attempt.upstream,
        address=attempt.address,
    )
    outbox.send(cancel)
    failure = requests.UpstreamFailed(
        attempt=attempt.attempt,
        sent=requests.Sent.UNKNOWN,
        reason=reason,
    )
    failed(tables, now, outbox, failure)


def _retry(
    tables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    attempt: pipeline_tables.Attempt,
    message: requests.UpstreamFailed,
) -> None:
    request.failures += 1
    request.phase = pipeline_tables.Phase.READY
    ready = ready_stage(
        tables,
        now,
        request,
        excluded=frozenset([attempt.upstream]),
        preemptions=attempt.preemptions,
    )
    if budgets.may_retry(tables, now, request, request.failures):
        tables.count("stage_retried")
        dispatch.push(tables, now, ready)
        return
    if not request.kind.durable:
        stated = _given_up(tables, request, attempt, message)
        finish.problem(tables, now, outbox, request, stated)
        return
    _push_later(tables, now, request, attempt, message.retry_after_s)


def _push_later(
    tables,
    now: float,
    request: pipeline_tables.Request,
    attempt: pipeline_tables.Attempt,
    retry_after_s: float | None,
) -> None:
    """A durable request never vanishes: it waits and tries again, elsewhere first."""
    stage_index = request.stage_index
    excluded = frozenset([attempt.upstream])

    def again(tables, now, outbox) -> None:
        if not ownership.is_live(tables, request) or request.stage_index != stage_index:
            return
        ready = ready_stage(tables, now, request, excluded=excluded)
        dispatch.push(tables, now, ready)

    pause_s = max(retry_after_s or 0.0, DURABLE_PAUSE_S * request.failures)
    timers.at(tables, now + min(pause_s, MAXIMUM_DURABLE_PAUSE_S), again)


def _promote_hedge(tables, now: float, outbox: ticks.Outbox, request) -> None:
    """Let a hedge stand in for its failed primary, if it fits what was shown."""
    attempt = tables.requests.attempts[min(request.attempts)]
    name = attempt.stage.name
    if attempt.hedge and attempt.output.startswith(progress.shown(request, name)):
        attempt.hedge = False
        progress.replace(tables, now, outbox, request, name, attempt.output)
        return
    if attempt.hedge:
        ownership.cancel_attempt(tables, now, outbox, attempt)
        request.phase = pipeline_tables.Phase.READY
        dispatch.push(tables, now, ready_stage(tables, now, request))


def _is_whole(
    attempt: pipeline_tables.Attempt,
    message: requests.UpstreamFinished,
) -> bool:
    if message.length is None:
        data = msgspec.json.encode(message.output)
        return hashlib.sha256(data).hexdigest() == message.digest
    if message.length != len(attempt.output):
        return False
    return hashlib.sha256(attempt.output.encode()).hexdigest() == message.digest


def _is_final(message: requests.UpstreamFailed) -> bool:
    """Tell whether every upstream would refuse the call in the same way."""
    status = message.status
    if status is None or status in RETRYABLE_STATUSES:
        return False
    return FIRST_CLIENT_ERROR <= status < FIRST_SERVER_ERROR


def _upstream_refused(tables, request, attempt, message) -> problems.Problem:
    return refusals.problem(
        tables,
        status=502,
        title="Stage refused",
        detail=f"stage {attempt.stage.name}: {message.status} {message.reason}",
        ran=refusals.ran(request),
        request_id=request.request_id,
    )


def _given_up(tables, request, attempt, message) -> problems.Problem:
    return refusals.problem(
        tables,
        status=503,
        title="Stage failed",
        detail=f"stage {attempt.stage.name} failed again: {message.reason}",
        ran=refusals.ran(request),
        request_id=request.request_id,
        retry_after_s=message.retry_after_s or refusals.RETRY_AFTER_S,
    )


def _prefix(body_input: Any) -> str:
    """Return the caller's name for the shared beginning of its prompt, if any."""
    if isinstance(body_input, dict):
        prefix = body_input.get("prefix", "")
        return prefix if isinstance(prefix, str) else ""
    return ""
