"""Failed attempts: retry elsewhere, wait, give up, or report an unknown outcome."""

from bitternlever.admission import dispatch
from bitternlever.core import ticks
from bitternlever.entry import tables as entry_tables
from bitternlever.messages import problems, requests
from bitternlever.pipelines import (
    crashes,
    finish,
    ownership,
    progress,
    refusals,
    stages,
    tables as pipeline_tables,
    timers,
)
from bitternlever.routing import budgets, feedback

DURABLE_RETRY_PAUSE_S = 1.0
MAXIMUM_DURABLE_RETRY_PAUSE_S = 15.0
RETRYABLE_STATUSES = (408, 409, 425, 429)
FIRST_CLIENT_ERROR = 400
FIRST_SERVER_ERROR = 500


def handle_failed(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    message: requests.UpstreamFailed,
) -> None:
    """Handle a failed stage call: retry, give up, or report an unknown outcome."""
    attempt = tables.requests.attempts.get(message.attempt)
    if attempt is None:
        tables.count("failure_late")
        return
    ownership.end_attempt(tables, now, outbox, attempt, ended="failed")
    feedback.failed(tables, now, attempt, message)
    request = tables.requests.requests[attempt.request_id]
    if message.lost and message.sent is not requests.Sent.NO:
        crashes.record_lost(tables, now, request, attempt.upstream)
    if request.attempts:
        _promote_hedge(tables, now, outbox, request)
        return
    if message.sent is requests.Sent.NO:
        request.unsent_attempts[attempt.stage.name] = attempt.attempt_id
    elif not attempt.stage.idempotent:
        problem = refusals.outcome_unknown(tables, request, attempt.stage.name)
        finish.with_problem(tables, now, outbox, request, problem)
        return
    if _is_permanent(message):
        problem = _upstream_refused(tables, request, attempt, message)
        finish.with_problem(tables, now, outbox, request, problem)
        return
    _retry(tables, now, outbox, request, attempt, message)


def fail_attempt(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    attempt: pipeline_tables.Attempt,
    reason: str,
) -> None:
    """Cancel an attempt whose output is unusable and treat it as failed."""
    cancel = requests.CancelUpstream(
        attempt=attempt.attempt_id,
        upstream=attempt.upstream,
        address=attempt.address,
    )
    outbox.send(cancel)
    failure = requests.UpstreamFailed(
        attempt=attempt.attempt_id,
        sent=requests.Sent.UNKNOWN,
        reason=reason,
    )
    handle_failed(tables, now, outbox, failure)


def _retry(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    attempt: pipeline_tables.Attempt,
    message: requests.UpstreamFailed,
) -> None:
    request.failures += 1
    request.phase = pipeline_tables.Phase.READY
    ready = stages.ready_stage(
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
        problem = _retries_exhausted(tables, request, attempt, message)
        finish.with_problem(tables, now, outbox, request, problem)
        return
    _retry_later(tables, now, request, attempt, message.retry_after_s)


def _retry_later(
    tables: entry_tables.EntryTables,
    now: float,
    request: pipeline_tables.Request,
    attempt: pipeline_tables.Attempt,
    retry_after_s: float | None,
) -> None:
    """Retry a durable request after a pause, preferably on another upstream.

    A durable request is never given up.
    """
    stage_index = request.stage_index
    excluded = frozenset([attempt.upstream])

    def retry(tables, now, outbox) -> None:
        if (
            not ownership.is_owned(tables, request)
            or request.stage_index != stage_index
        ):
            return
        ready = stages.ready_stage(tables, now, request, excluded=excluded)
        dispatch.push(tables, now, ready)

    pause_s = max(retry_after_s or 0.0, DURABLE_RETRY_PAUSE_S * request.failures)
    timers.schedule(tables, now + min(pause_s, MAXIMUM_DURABLE_RETRY_PAUSE_S), retry)


def _promote_hedge(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
) -> None:
    """Promote a hedge whose primary failed, or requeue if its text contradicts it."""
    attempt = tables.requests.attempts[min(request.attempts)]
    name = attempt.stage.name
    if attempt.hedge and attempt.output.startswith(progress.seen_text(request, name)):
        attempt.hedge = False
        progress.replace_text(tables, now, outbox, request, name, attempt.output)
        return
    if attempt.hedge:
        ownership.cancel_attempt(tables, now, outbox, attempt)
        request.phase = pipeline_tables.Phase.READY
        dispatch.push(tables, now, stages.ready_stage(tables, now, request))


def _is_permanent(message: requests.UpstreamFailed) -> bool:
    """Return whether every upstream would refuse the call in the same way."""
    status = message.status
    if status is None or status in RETRYABLE_STATUSES:
        return False
    return FIRST_CLIENT_ERROR <= status < FIRST_SERVER_ERROR


def _upstream_refused(
    tables: entry_tables.EntryTables,
    request: pipeline_tables.Request,
    attempt: pipeline_tables.Attempt,
    message: requests.UpstreamFailed,
) -> problems.Problem:
    return refusals.make_problem(
        tables,
        status=502,
        title="Stage refused",
        detail=f"stage {attempt.stage.name}: {message.status} {message.reason}",
        ran=refusals.ran_state(request),
        request_id=request.request_id,
    )


def _retries_exhausted(
    tables: entry_tables.EntryTables,
    request: pipeline_tables.Request,
    attempt: pipeline_tables.Attempt,
    message: requests.UpstreamFailed,
) -> problems.Problem:
    return refusals.make_problem(
        tables,
        status=503,
        title="Stage failed",
        detail=f"stage {attempt.stage.name} failed again: {message.reason}",
        ran=refusals.ran_state(request),
        request_id=request.request_id,
        retry_after_s=message.retry_after_s or refusals.RETRY_AFTER_S,
    )
