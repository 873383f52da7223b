"""Failed attempts: retry elsewhere, wait, give up, or say that nothing is known."""

from bitternlever.admission import dispatch
from bitternlever.core import ticks
from bitternlever.entry import tables as entry_tables
from bitternlever.messages import problems, requests
from bitternlever.pipelines import (
    finish,
    ownership,
    progress,
    refusals,
    stages,
    tables as pipeline_tables,
    timers,
)
from bitternlever.routing import budgets, feedback

DURABLE_PAUSE_S = 1.0
MAXIMUM_DURABLE_PAUSE_S = 15.0
RETRYABLE_STATUSES = (408, 409, 425, 429)
FIRST_CLIENT_ERROR = 400
FIRST_SERVER_ERROR = 500


def failed(
    tables: entry_tables.EntryTables,
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


def fail(
    tables: entry_tables.EntryTables,
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
        stated = _given_up(tables, request, attempt, message)
        finish.problem(tables, now, outbox, request, stated)
        return
    _push_later(tables, now, request, attempt, message.retry_after_s)


def _push_later(
    tables: entry_tables.EntryTables,
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
        ready = stages.ready_stage(tables, now, request, excluded=excluded)
        dispatch.push(tables, now, ready)

    pause_s = max(retry_after_s or 0.0, DURABLE_PAUSE_S * request.failures)
    timers.at(tables, now + min(pause_s, MAXIMUM_DURABLE_PAUSE_S), again)


def _promote_hedge(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
) -> None:
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
        dispatch.push(tables, now, stages.ready_stage(tables, now, request))


def _is_final(message: requests.UpstreamFailed) -> bool:
    """Tell whether every upstream would refuse the call in the same way."""
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
    return refusals.problem(
        tables,
        status=502,
        title="Stage refused",
        detail=f"stage {attempt.stage.name}: {message.status} {message.reason}",
        ran=refusals.ran(request),
        request_id=request.request_id,
    )


def _given_up(
    tables: entry_tables.EntryTables,
    request: pipeline_tables.Request,
    attempt: pipeline_tables.Attempt,
    message: requests.UpstreamFailed,
) -> problems.Problem:
    return refusals.problem(
        tables,
        status=503,
        title="Stage failed",
        detail=f"stage {attempt.stage.name} failed again: {message.reason}",
        ran=refusals.ran(request),
        request_id=request.request_id,
        retry_after_s=message.retry_after_s or refusals.RETRY_AFTER_S,
    )
