"""The end of a request: one final answer, recorded before a caller sees it."""

import msgspec

from bitternlever.core import ticks
from bitternlever.entry import tables as entry_tables
from bitternlever.messages import journal, problems
from bitternlever.pipelines import (
    delivery,
    ownership,
    progress,
    refusals,
    tables as pipeline_tables,
    timers,
)

WHOLE_STATUS = 200
FULL_PAUSE_S = 1.0
PROBLEM_LIMIT_S = 1.0
WHOLE_LIMIT_S = 8.0


def whole(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
) -> None:
    """End a request with its whole answer, whose bytes are made here, once."""
    stage = progress.answer_stage(request.pipeline)
    output = request.results.get(stage)
    head = _head(request)
    tail = b',"cost_ms":' + msgspec.json.encode(request.cost_ms) + b"}"
    text = request.texts.get(stage)
    answer = pipeline_tables.FinalAnswer(
        status=WHOLE_STATUS,
        body=head + msgspec.json.encode(output) + tail,
        length=len(text or ""),
        output_digest=progress.digest(text) if text else "",
        progress_stage=stage if request.recorded.get(stage) else None,
        head=head,
        tail=tail,
    )
    _end(tables, now, outbox, request, answer)


def problem(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    stated: problems.Problem,
) -> None:
    """End a request with a problem.

    A problem that may pass is not the final answer of a key: the key is withdrawn and
    may be sent again, unless a stage was started that may not be repeated.
    """
    if request.keyed and stated.retry_after_s is not None:
        if not request.once_only_started:
            withdraw(tables, now, outbox, request, stated)
            return
        stated.retry_after_s = None
    answer = pipeline_tables.FinalAnswer(
        status=stated.status,
        body=msgspec.json.encode(stated),
    )
    _end(tables, now, outbox, request, answer)


def withdraw(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    stated: problems.Problem,
) -> None:
    """Have the journal forget a request, then tell its callers of the problem."""
    ownership.stop(tables, now, outbox, request)
    request.phase = pipeline_tables.Phase.ANSWERING
    body = msgspec.json.encode(stated)
    answer = pipeline_tables.FinalAnswer(status=stated.status, body=body)
    _tell_after_limit(tables, now, request, answer)
    command = journal.WithdrawRequest(
        request_id=request.request_id,
        host=tables.settings.host,
        epoch=request.epoch,
    )

    def on_reply(tables, now, outbox, reply) -> None:
        if isinstance(reply, journal.RequestWithdrawn):
            answered = answer.reply(request.request_id)
            ownership.settle(tables, now, outbox, request, answered)
            return
        request.once_only_started = True
        problem(tables, now, outbox, request, stated)

    ownership.write(tables, now, outbox, request, command, on_reply)


def _end(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    answer: pipeline_tables.FinalAnswer,
) -> None:
    ownership.stop(tables, now, outbox, request)
    if not request.journaled:
        answered = answer.reply(request.request_id)
        ownership.settle(tables, now, outbox, request, answered)
        return
    request.phase = pipeline_tables.Phase.ANSWERING
    _tell_after_limit(tables, now, request, answer)
    if answer.progress_stage is not None:
        progress.record_rest(tables, now, outbox, request, answer.progress_stage)
    _record(tables, now, outbox, request, answer, by_progress=True)


def _record(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    answer: pipeline_tables.FinalAnswer,
    by_progress: bool,
) -> None:
    by_progress = by_progress and answer.progress_stage is not None
    command = journal.RecordAnswer(
        request_id=request.request_id,
        status=answer.status,
        body=answer.head if by_progress else answer.body,
        host=tables.settings.host,
        epoch=request.epoch,
        length=answer.length,
        output_digest=answer.output_digest,
        progress_stage=answer.progress_stage if by_progress else None,
        body_end=answer.tail if by_progress else b"",
    )

    def whole_again(tables, now, outbox) -> None:
        if ownership.is_live(tables, request):
            _record(tables, now, outbox, request, answer, by_progress=False)

    def on_reply(tables, now, outbox, reply) -> None:
        match reply:
            case journal.AnswerRecorded():
                answered = answer.reply(request.request_id)
                ownership.settle(tables, now, outbox, request, answered)
            case journal.JournalFull():
                tables.count("answer_waits_for_room")
                timers.at(tables, now + FULL_PAUSE_S, whole_again)
            case _:
                whole_again(tables, now, outbox)

    ownership.write(tables, now, outbox, request, command, on_reply)


def _tell_after_limit(
    tables: entry_tables.EntryTables,
    now: float,
    request: pipeline_tables.Request,
    answer: pipeline_tables.FinalAnswer,
) -> None:
    """Tell callers when the journal is slow to record the final answer.

    Until it is recorded another host may take the request over, so that nothing is
    known of the outcome.
    """

    def tell(tables, now, outbox) -> None:
        if not ownership.is_live(tables, request):
            return
        stated = _unrecorded(tables, request)
        if not is_whole:
            stated = msgspec.json.decode(answer.body, type=problems.Problem)
            stated.ran = problems.Ran.UNKNOWN
        delivery.problem(tables, outbox, request.callers, stated)

    is_whole = answer.status == WHOLE_STATUS
    limit_s = WHOLE_LIMIT_S if is_whole else PROBLEM_LIMIT_S
    timers.at(tables, now + limit_s, tell)


def _unrecorded(
    tables: entry_tables.EntryTables, request: pipeline_tables.Request
) -> problems.Problem:
    return refusals.problem(
        tables,
        status=503,
        title="Answer not recorded",
        detail="the journal does not take the answer now: ask again for the request",
        ran=problems.Ran.UNKNOWN,
        request_id=request.request_id,
        retry_after_s=refusals.RETRY_AFTER_S,
    )


def _head(request: pipeline_tables.Request) -> bytes:
    named = {"request_id": request.request_id, "kind": request.kind.name}
    return msgspec.json.encode(named)[:-1] + b',"output":'
