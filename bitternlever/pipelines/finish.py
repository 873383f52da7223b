"""The end of a request: one final answer, recorded before callers get it."""

import msgspec

from bitternlever.core import ticks
from bitternlever.entry import tables as entry_tables
from bitternlever.messages import journal, problems
from bitternlever.pipelines import (
    crashes,
    delivery,
    ownership,
    progress,
    refusals,
    tables as pipeline_tables,
    timers,
)

OK_STATUS = 200
JOURNAL_FULL_RETRY_PAUSE_S = 1.0
PROBLEM_RECORD_LIMIT_S = 1.0
ANSWER_RECORD_LIMIT_S = 8.0


def with_answer(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
) -> None:
    """End a request with its whole answer, whose body is encoded here, once."""
    stage = progress.answer_stage(request.pipeline)
    output = request.results.get(stage)
    head = _head(request)
    tail = b',"cost_ms":' + msgspec.json.encode(request.cost_ms) + b"}"
    text = request.texts.get(stage)
    answer = pipeline_tables.FinalAnswer(
        status=OK_STATUS,
        body=head + msgspec.json.encode(output) + tail,
        length=len(text or ""),
        output_digest=progress.digest(text) if text else "",
        progress_stage=stage if request.written_lengths.get(stage) else None,
        head=head,
        tail=tail,
    )
    crashes.record_answered(tables, now, request)
    _end(tables, now, outbox, request, answer)


def with_problem(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    problem: problems.Problem,
) -> None:
    """End a request with a problem.

    A temporary problem is not the final answer of a key: the request is withdrawn and
    the key may be sent again, unless a non-idempotent stage was started.
    """
    if request.keyed and problem.retry_after_s is not None:
        if not request.non_idempotent_started:
            withdraw(tables, now, outbox, request, problem)
            return
        problem.retry_after_s = None
    answer = pipeline_tables.FinalAnswer(
        status=problem.status,
        body=msgspec.json.encode(problem),
    )
    _end(tables, now, outbox, request, answer)


def withdraw(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    problem: problems.Problem,
) -> None:
    """Remove a request from the journal, then send the problem to its callers."""
    ownership.cancel_work(tables, now, outbox, request)
    request.phase = pipeline_tables.Phase.ANSWERING
    body = msgspec.json.encode(problem)
    answer = pipeline_tables.FinalAnswer(status=problem.status, body=body)
    _notify_after_limit(tables, now, request, answer)
    command = journal.WithdrawRequest(
        request_id=request.request_id,
        host=tables.settings.host,
        epoch=request.epoch,
    )

    def on_reply(tables, now, outbox, reply) -> None:
        if isinstance(reply, journal.RequestWithdrawn):
            answered = answer.reply(request.request_id)
            ownership.complete(tables, now, outbox, request, answered)
            return
        request.non_idempotent_started = True
        with_problem(tables, now, outbox, request, problem)

    ownership.write(tables, now, outbox, request, command, on_reply)


def _end(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    answer: pipeline_tables.FinalAnswer,
) -> None:
    ownership.cancel_work(tables, now, outbox, request)
    if not request.journaled:
        answered = answer.reply(request.request_id)
        ownership.complete(tables, now, outbox, request, answered)
        return
    request.phase = pipeline_tables.Phase.ANSWERING
    _notify_after_limit(tables, now, request, answer)
    if answer.progress_stage is not None:
        progress.record_remaining_text(
            tables, now, outbox, request, answer.progress_stage
        )
    _record(tables, now, outbox, request, answer, from_progress=True)


def _record(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    answer: pipeline_tables.FinalAnswer,
    from_progress: bool,
) -> None:
    from_progress = from_progress and answer.progress_stage is not None
    command = journal.RecordAnswer(
        request_id=request.request_id,
        status=answer.status,
        body=answer.head if from_progress else answer.body,
        host=tables.settings.host,
        epoch=request.epoch,
        length=answer.length,
        output_digest=answer.output_digest,
        progress_stage=answer.progress_stage if from_progress else None,
        body_end=answer.tail if from_progress else b"",
    )

    def record_whole(tables, now, outbox) -> None:
        if ownership.is_owned(tables, request):
            _record(tables, now, outbox, request, answer, from_progress=False)

    def on_reply(tables, now, outbox, reply) -> None:
        match reply:
            case journal.AnswerRecorded():
                answered = answer.reply(request.request_id)
                ownership.complete(tables, now, outbox, request, answered)
            case journal.JournalFull():
                tables.count("answer_waits_for_room")
                timers.schedule(tables, now + JOURNAL_FULL_RETRY_PAUSE_S, record_whole)
            case _:
                record_whole(tables, now, outbox)

    ownership.write(tables, now, outbox, request, command, on_reply)


def _notify_after_limit(
    tables: entry_tables.EntryTables,
    now: float,
    request: pipeline_tables.Request,
    answer: pipeline_tables.FinalAnswer,
) -> None:
    """Send a problem to callers if the journal is slow to record the final answer.

    Until the answer is recorded another host may take the request over, so the
    problem states the outcome as unknown.
    """

    def notify(tables, now, outbox) -> None:
        if not ownership.is_owned(tables, request):
            return
        problem = _answer_not_recorded(tables, request)
        if not is_answer:
            problem = msgspec.json.decode(answer.body, type=problems.Problem)
            problem.ran = problems.Ran.UNKNOWN
        delivery.send_problem(tables, outbox, request.callers, problem)

    is_answer = answer.status == OK_STATUS
    limit_s = ANSWER_RECORD_LIMIT_S if is_answer else PROBLEM_RECORD_LIMIT_S
    timers.schedule(tables, now + limit_s, notify)


def _answer_not_recorded(
    tables: entry_tables.EntryTables, request: pipeline_tables.Request
) -> problems.Problem:
    return refusals.make_problem(
        tables,
        status=503,
        title="Answer not recorded",
        detail="the journal does not take the answer now: ask again for the request",
        ran=problems.Ran.UNKNOWN,
        request_id=request.request_id,
        retry_after_s=refusals.RETRY_AFTER_S,
    )


def _head(request: pipeline_tables.Request) -> bytes:
    fields = {"request_id": request.request_id, "kind": request.kind.name}
    return msgspec.json.encode(fields)[:-1] + b',"output":'
