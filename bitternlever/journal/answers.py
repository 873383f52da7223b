"""Final answers of requests: recording, reading, acknowledgement and expiry."""

import msgspec

from bitternlever.journal import stages, tables as journal_tables
from bitternlever.messages import journal, problems

JOURNAL_FULL_RETRY_AFTER_S = 2.0
CANCELLED_STATUS = 409


def record_answer(
    tables: journal_tables.JournalTables,
    command: journal.RecordAnswer,
) -> journal.Reply:
    """Record the final answer of a request; only one is ever recorded."""
    record = tables.records.get(command.request_id)
    refusal = stages.refuse_writer(tables, record, command)
    if isinstance(refusal, journal.Answered) and _is_same_answer(refusal, command):
        return journal.AnswerRecorded(request_id=command.request_id)
    if refusal is not None:
        return refusal
    body = command.body
    if command.progress_stage is not None:
        state = stages.stage_state(tables, record, command.progress_stage)
        text = stages.verified_progress(state, command.output_digest)
        if text is None:
            return journal.ProgressMissing(
                request_id=command.request_id,
                length=state.progress_length,
            )
        body = command.body + msgspec.json.encode(text) + command.body_end
    if not _has_room_for_answer(tables, record, body):
        return journal.JournalFull(retry_after_s=JOURNAL_FULL_RETRY_AFTER_S)
    answer = journal_tables.Answer(
        status=command.status,
        body=body,
        length=command.length,
        output_digest=command.output_digest,
        answered_ms=tables.clock_ms,
    )
    _store_answer(tables, record, answer)
    return journal.AnswerRecorded(request_id=command.request_id)


def acknowledge(
    tables: journal_tables.JournalTables,
    command: journal.Acknowledge,
) -> journal.Reply:
    """Record that a caller received the answer.

    Its body is dropped soon after, its key is kept longer.
    """
    record = _find_record(tables, command.request_id, command.workspace)
    if record is None:
        return journal.RequestUnknown(request_id=command.request_id)
    if record.answer is None:
        return _open_reply(record, offset=0)
    if record.answer.acknowledged_ms is None:
        journal_tables.remove_from_indexes(tables, record)
        record.answer.acknowledged_ms = tables.clock_ms
        journal_tables.add(tables, record)
    return journal.Acknowledged(request_id=command.request_id)


def cancel(
    tables: journal_tables.JournalTables,
    command: journal.CancelRequest,
) -> journal.Reply:
    """Record a cancellation as the final answer of an open request."""
    record = _find_record(tables, command.request_id, command.workspace)
    if record is None:
        return journal.RequestUnknown(request_id=command.request_id)
    if record.answer is not None:
        return journal_tables.stored_answer_reply(record)
    ran = _ran(record)
    problem = problems.Problem(
        type="cancelled",
        title="Cancelled",
        status=CANCELLED_STATUS,
        detail="the request was cancelled by its caller",
        ran=ran,
        request_id=record.request_id,
    )
    answer = journal_tables.Answer(
        status=CANCELLED_STATUS,
        body=msgspec.json.encode(problem),
        length=0,
        output_digest="",
        answered_ms=tables.clock_ms,
    )
    owner = record.host
    _store_answer(tables, record, answer)
    return journal.Cancelled(
        request_id=command.request_id,
        ran=ran.value,
        host=owner,
    )


def withdraw(
    tables: journal_tables.JournalTables,
    command: journal.WithdrawRequest,
) -> journal.Reply:
    """Remove an open request, unless a non-idempotent stage was started."""
    record = tables.records.get(command.request_id)
    if record is None:
        return journal.RequestWithdrawn(request_id=command.request_id)
    refusal = stages.refuse_writer(tables, record, command)
    if refusal is not None:
        return refusal
    for state in record.stages.values():
        if state.started_attempt is not None:
            return journal.StageStartedBefore(
                request_id=command.request_id,
                stage=state.stage,
                attempt=state.started_attempt,
            )
    journal_tables.remove(tables, record)
    return journal.RequestWithdrawn(request_id=command.request_id)


def get(
    tables: journal_tables.JournalTables,
    command: journal.GetRequest,
) -> journal.Reply:
    """Return the answer of a request, or the progress of an open one."""
    record = _find_record(tables, command.request_id, command.workspace)
    if record is None:
        return journal.RequestUnknown(request_id=command.request_id)
    if record.answer is not None:
        return journal_tables.stored_answer_reply(record)
    return _open_reply(record, command.offset)


def expire(
    tables: journal_tables.JournalTables,
    command: journal.ExpireRequests,
) -> journal.Reply:
    """Advance the clock and drop the listed answers, or their bodies, that expired."""
    tables.clock_ms += max(0, command.elapsed_ms)
    count = 0
    for request_id in command.request_ids:
        record = tables.records.get(request_id)
        if record is None or record.answer is None:
            continue
        if journal_tables.expires_ms(tables, record) > tables.clock_ms:
            continue
        count += 1
        if record.answer.acknowledged_ms is None or record.answer.dropped:
            journal_tables.remove(tables, record)
            continue
        journal_tables.remove_from_indexes(tables, record)
        record.answer.dropped = True
        record.answer.body = b""
        journal_tables.add(tables, record)
    return journal.RequestsExpired(count=count)


def _store_answer(
    tables: journal_tables.JournalTables,
    record: journal_tables.Record,
    answer: journal_tables.Answer,
) -> None:
    """Store the answer and drop the data that only an open request needs."""
    journal_tables.remove_from_indexes(tables, record)
    record.answer = answer
    record.host = ""
    record.body = b""
    record.stages = {}
    journal_tables.add(tables, record)


def _is_same_answer(answered: journal.Answered, command: journal.RecordAnswer) -> bool:
    if answered.acknowledged or command.progress_stage is not None:
        return (
            answered.status == command.status
            and answered.output_digest == command.output_digest
            and answered.body.startswith(command.body)
            and answered.body.endswith(command.body_end)
        )
    return answered.status == command.status and answered.body == command.body


def _has_room_for_answer(
    tables: journal_tables.JournalTables,
    record: journal_tables.Record,
    body: bytes,
) -> bool:
    """Return whether an answer fits once it replaces the record's body and stages."""
    growth = journal_tables.RECORD_OVERHEAD_BYTES + len(body) - record.size
    return growth <= 0 or journal_tables.has_room(tables, share=1.0, size=growth)


def _find_record(
    tables: journal_tables.JournalTables,
    request_id: str,
    workspace: str,
) -> journal_tables.Record | None:
    record = tables.records.get(request_id)
    if record is None or record.workspace != workspace:
        return None
    return record


def _open_reply(record: journal_tables.Record, offset: int) -> journal.RequestOpen:
    state = record.stages.get(record.answer_stage)
    text = "" if state is None else "".join(state.progress)
    return journal.RequestOpen(
        request_id=record.request_id,
        host=record.host,
        epoch=record.epoch,
        cancelled=False,
        stage=record.answer_stage,
        progress=text[offset:],
        offset=offset,
        length=len(text),
        generation=0 if state is None else state.generation,
    )


def _ran(record: journal_tables.Record) -> problems.Ran:
    """Return YES if a started stage has a result; otherwise only the owner knows."""
    for state in record.stages.values():
        if state.started_attempt is not None and state.output is not None:
            return problems.Ran.YES
    return problems.Ran.UNKNOWN
