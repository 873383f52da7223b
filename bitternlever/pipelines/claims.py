"""Claims: a journaled request runs only after its claim is committed."""

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

CLAIM_PAUSE_S = 0.5
MILLISECONDS = 1_000


def claim(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
) -> None:
    """Claim a request, and again for as long as an earlier claim may be committed."""
    command = journal.Claim(
        request_id=request.request_id,
        workspace=request.workspace,
        pipeline=request.pipeline.name,
        kind=request.kind.name,
        digest=request.digest,
        body=request.body,
        priority=request.kind.priority,
        durable=request.kind.durable,
        time_left_ms=int((request.deadline_s - now) * MILLISECONDS),
        host=tables.settings.host,
        epoch=request.epoch,
        answer_stage=progress.answer_stage(request.pipeline),
    )

    sent_s = now

    def on_outcome(tables, now, outbox, outcome) -> None:
        spans.finished(outbox, request, "journal commit", sent_s, now, command="Claim")
        if not ownership.is_live(tables, request):
            return
        if outcome.is_err():
            _failed(tables, now, outbox, request, outcome.err())
            return
        _claimed(tables, now, outbox, request, outcome.ok())

    group = groups.group_of(tables, request.request_id)
    control_client.call(tables, now, outbox, group, command, on_outcome)


def other_body(tables: entry_tables.EntryTables, request_id: str) -> problems.Problem:
    """Return the problem of a key that belongs to another body."""
    return refusals.problem(
        tables,
        status=422,
        title="Key used for another body",
        detail="send another Idempotency-Key, or the body that the key was used with",
        ran=problems.Ran.NO,
        request_id=request_id,
    )


def _claimed(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    reply: journal.Reply,
) -> None:
    if isinstance(reply, journal.Claimed | journal.TakenOver):
        delivery.accepted(outbox, request.request_id, request.callers)
    match reply:
        case journal.Claimed():
            _begin(tables, now, outbox, request)
        case journal.TakenOver():
            takeover.adopt_state(tables, now, outbox, request, reply.requests[0])
        case journal.Answered():
            ownership.settle(tables, now, outbox, request, reply)
        case journal.OwnedElsewhere():
            ownership.follow_elsewhere(tables, now, outbox, request)
        case journal.DigestConflict():
            stated = other_body(tables, request.request_id)
            _drop(tables, now, outbox, request, stated)
        case journal.JournalFull():
            _full(tables, now, outbox, request, reply)
        case journal.Fenced():
            _fenced(tables, now, outbox, request)


def _begin(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
) -> None:
    """Run a claimed request, unless its callers were told that nothing is known.

    Without a caller only a durable request is worth running. Text that a caller holds
    is that of an earlier run, which the journal has forgotten.
    """
    delivery.drop_text(tables, outbox, request.request_id, request.callers)
    abandoned = request.claim_in_doubt and not request.callers
    if abandoned and not request.kind.durable:
        stated = refusals.cancelled(tables, request)
        finish.withdraw(tables, now, outbox, request, stated)
        return
    stages.advance(tables, now, outbox, request)


def _full(
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
    _failed(tables, now, outbox, request, failure)


def _fenced(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
) -> None:
    """After a doubtful claim the request may stand there, for another owner."""
    doubtful = request.claim_in_doubt
    ran = problems.Ran.UNKNOWN if doubtful else problems.Ran.NO
    stated = _refusal(tables, request, "the lease ended", ran)
    _drop(tables, now, outbox, request, stated)


def _failed(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    failure: entry_tables.CallFailed,
) -> None:
    """Refuse with ``no`` only where no claim can still be committed.

    A doubtful claim goes on without its callers, so that a request which turns out
    to be claimed is run or answered rather than left open.
    """
    if failure.sent is requests.Sent.NO and not request.claim_in_doubt:
        stated = _refusal(tables, request, failure.reason, problems.Ran.NO)
        stated.retry_after_s = failure.retry_after_s
        _drop(tables, now, outbox, request, stated)
        return
    request.claim_in_doubt = True
    stated = _refusal(tables, request, failure.reason, problems.Ran.UNKNOWN)
    delivery.problem(tables, outbox, request.callers, stated)

    def again(tables, now, outbox) -> None:
        if not ownership.is_live(tables, request):
            return
        claim(tables, now, outbox, request)

    timers.at(tables, now + CLAIM_PAUSE_S, again)


def _drop(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    stated: problems.Problem,
) -> None:
    del tables.requests.requests[request.request_id]
    delivery.problem(tables, outbox, request.callers, stated)
    for caller in request.cancellers:
        delivery.state(tables, outbox, caller, request.request_id, "cancelled")


def _refusal(
    tables: entry_tables.EntryTables,
    request: pipeline_tables.Request,
    detail: str,
    ran: problems.Ran,
) -> problems.Problem:
    return refusals.problem(
        tables,
        status=503,
        title="Claim failed",
        detail=detail,
        ran=ran,
        request_id=request.request_id,
        retry_after_s=refusals.RETRY_AFTER_S,
    )
