"""Claims: a journaled request starts only after the journal commits its claim.

A committed claim makes this host the owner of the request. A claim is in doubt while it
may have committed although its reply has not come.
"""

from bitternlever.core import ticks
from bitternlever.entry import control_client, tables as entry_tables
from bitternlever.messages import journal, problems, requests
from bitternlever.pipelines import (
    delivery,
    finish,
    groups,
    ownership,
    progress,
    refusals,
    spans,
    stages,
    tables as pipeline_tables,
    takeover,
    timers,
)

CLAIM_RETRY_PAUSE_S = 0.5
MILLISECONDS_PER_SECOND = 1_000


def claim(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
) -> None:
    """Claim a request; retry for as long as an earlier claim may have committed."""
    command = journal.Claim(
        request_id=request.request_id,
        workspace=request.workspace,
        pipeline=request.pipeline.name,
        kind=request.kind.name,
        digest=request.digest,
        body=request.body,
        priority=request.kind.priority,
        durable=request.kind.durable,
        time_left_ms=int((request.deadline_s - now) * MILLISECONDS_PER_SECOND),
        host=tables.settings.host,
        epoch=request.epoch,
        answer_stage=progress.answer_stage(request.pipeline),
    )

    sent_s = now

    def on_outcome(tables, now, outbox, outcome) -> None:
        spans.report_span(
            outbox, request, "journal commit", sent_s, now, command="Claim"
        )
        if not ownership.is_owned(tables, request):
            return
        if outcome.is_err():
            _handle_failure(tables, now, outbox, request, outcome.err())
            return
        _handle_reply(tables, now, outbox, request, outcome.ok())

    group = groups.group_of(tables, request.request_id)
    control_client.call(tables, now, outbox, group, command, on_outcome)


def key_conflict(tables: entry_tables.EntryTables, request_id: str) -> problems.Problem:
    """Return the problem for a key that was used with another body."""
    return refusals.make_problem(
        tables,
        status=422,
        title="Key used for another body",
        detail="send another Idempotency-Key, or the body that the key was used with",
        ran=problems.Ran.NO,
        request_id=request_id,
    )


def _handle_reply(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    reply: journal.Reply,
) -> None:
    if isinstance(reply, journal.Claimed | journal.TakenOver):
        delivery.send_accepted(outbox, request.request_id, request.callers)
    match reply:
        case journal.Claimed():
            _start(tables, now, outbox, request)
        case journal.TakenOver():
            takeover.adopt_state(tables, now, outbox, request, reply.requests[0])
        case journal.Answered():
            ownership.complete(tables, now, outbox, request, reply)
        case journal.OwnedElsewhere():
            ownership.move_callers_to_watch(tables, now, outbox, request)
        case journal.DigestConflict():
            problem = key_conflict(tables, request.request_id)
            _refuse(tables, now, outbox, request, problem)
        case journal.JournalFull():
            _handle_journal_full(tables, now, outbox, request, reply)
        case journal.Fenced():
            _handle_fenced(tables, now, outbox, request)


def _start(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
) -> None:
    """Start a claimed request, unless it was abandoned while the claim was in doubt.

    Without callers only a durable request is started. Text that a caller received
    before comes from an earlier run that is no longer in the journal.
    """
    delivery.invalidate_sent_text(tables, outbox, request.request_id, request.callers)
    abandoned = request.claim_in_doubt and not request.callers
    if abandoned and not request.kind.durable:
        problem = refusals.cancelled(tables, request)
        finish.withdraw(tables, now, outbox, request, problem)
        return
    stages.advance(tables, now, outbox, request)


def _handle_journal_full(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    reply: journal.Reply,
) -> None:
    failure = entry_tables.CallFailed(
        sent=requests.Sent.NO,
        reason="the journal is full",
        retry_after_s=reply.retry_after_s,
    )
    _handle_failure(tables, now, outbox, request, failure)


def _handle_fenced(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
) -> None:
    """Refuse a request whose claim was fenced, since the lease of its epoch ended.

    If an earlier claim is in doubt, it may have committed, and another host may have
    taken the request over: whether it ran is unknown.
    """
    in_doubt = request.claim_in_doubt
    ran = problems.Ran.UNKNOWN if in_doubt else problems.Ran.NO
    problem = _refusal(tables, request, "the lease ended", ran)
    _refuse(tables, now, outbox, request, problem)


def _handle_failure(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    failure: entry_tables.CallFailed,
) -> None:
    """Refuse with ``no`` only if no claim can still commit.

    A claim in doubt is retried after its callers are refused, so that a request whose
    claim did commit is run or answered instead of staying open.
    """
    if failure.sent is requests.Sent.NO and not request.claim_in_doubt:
        problem = _refusal(tables, request, failure.reason, problems.Ran.NO)
        problem.retry_after_s = failure.retry_after_s
        _refuse(tables, now, outbox, request, problem)
        return
    request.claim_in_doubt = True
    problem = _refusal(tables, request, failure.reason, problems.Ran.UNKNOWN)
    delivery.send_problem(tables, outbox, request.callers, problem)

    def retry(tables, now, outbox) -> None:
        if not ownership.is_owned(tables, request):
            return
        claim(tables, now, outbox, request)

    timers.schedule(tables, now + CLAIM_RETRY_PAUSE_S, retry)


def _refuse(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    problem: problems.Problem,
) -> None:
    """Remove a request without a claim and send the problem to its callers."""
    del tables.requests.requests[request.request_id]
    delivery.send_problem(tables, outbox, request.callers, problem)
    for caller in request.cancellers:
        delivery.send_state(tables, outbox, caller, request.request_id, "cancelled")


def _refusal(
    tables: entry_tables.EntryTables,
    request: pipeline_tables.Request,
    detail: str,
    ran: problems.Ran,
) -> problems.Problem:
    return refusals.make_problem(
        tables,
        status=503,
        title="Claim failed",
        detail=detail,
        ran=ran,
        request_id=request.request_id,
        retry_after_s=refusals.RETRY_AFTER_S,
    )
