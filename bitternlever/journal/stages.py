"""Stage starts, progress and results that the owner of a request records."""

import hashlib

import msgspec

from bitternlever.journal import ownership, tables as journal_tables
from bitternlever.messages import journal

JOURNAL_FULL_RETRY_AFTER_S = 5.0
MAXIMUM_PROGRESS_PARTS = 64


def start(
    tables: journal_tables.JournalTables,
    command: journal.StartStage,
) -> journal.Reply:
    """Record the start of a stage's attempt before it is sent.

    Any other attempt of the stage is refused from then on, unless it replaces the
    started one.
    """
    record = tables.records.get(command.request_id)
    refusal = refuse_writer(tables, record, command)
    if refusal is not None:
        return refusal
    state = stage_state(tables, record, command.stage)
    replaceable = (None, command.attempt, command.replaces)
    if state.output is not None or state.started_attempt not in replaceable:
        return journal.StageStartedBefore(
            request_id=command.request_id,
            stage=command.stage,
            attempt=state.started_attempt or "",
        )
    state.started_attempt = command.attempt
    journal_tables.update_size(tables, record)
    return journal.StageStarted(
        request_id=command.request_id,
        stage=command.stage,
        attempt=command.attempt,
    )


def record_progress(
    tables: journal_tables.JournalTables,
    command: journal.RecordProgress,
) -> journal.Reply:
    """Append a part of a streamed output; text that is already recorded is skipped."""
    record = tables.records.get(command.request_id)
    refusal = refuse_writer(tables, record, command)
    if refusal is not None:
        return refusal
    state = stage_state(tables, record, command.stage)
    if command.generation > state.generation:
        _reset_progress(state, command.generation)
    fits = command.offset <= state.progress_length
    if state.output is None and fits and command.generation == state.generation:
        new_text = command.text[state.progress_length - command.offset :]
        size = len(new_text.encode())
        if not journal_tables.has_room(tables, tables.settings.result_share, size):
            return journal.JournalFull(retry_after_s=JOURNAL_FULL_RETRY_AFTER_S)
        _append_progress(state, new_text, size)
        journal_tables.update_size(tables, record)
    return journal.ProgressRecorded(
        request_id=command.request_id,
        stage=command.stage,
        length=state.progress_length,
    )


def record_result(
    tables: journal_tables.JournalTables,
    command: journal.RecordResult,
) -> journal.Reply:
    """Record the complete result of a stage, from the attempt that was started."""
    record = tables.records.get(command.request_id)
    refusal = refuse_writer(tables, record, command)
    if refusal is not None:
        return refusal
    state = stage_state(tables, record, command.stage)
    if state.started_attempt not in (None, command.attempt):
        return journal.StageStartedBefore(
            request_id=command.request_id,
            stage=command.stage,
            attempt=state.started_attempt,
        )
    if state.output is not None:
        return journal.ResultRecorded(
            request_id=command.request_id,
            stage=command.stage,
        )
    output = command.output
    if command.progress_digest is not None:
        text = verified_progress(state, command.progress_digest)
        if text is None:
            return journal.ProgressMissing(
                request_id=command.request_id,
                length=state.progress_length,
            )
        output = msgspec.json.encode(text)
    if not journal_tables.has_room(tables, tables.settings.result_share, len(output)):
        return journal.JournalFull(retry_after_s=JOURNAL_FULL_RETRY_AFTER_S)
    state.output = output
    state.busy_ms += command.usage.busy_ms
    journal_tables.update_size(tables, record)
    return journal.ResultRecorded(request_id=command.request_id, stage=command.stage)


def verified_progress(state: journal_tables.StageState, digest: str) -> str | None:
    """Return the recorded progress if its SHA-256 digest matches, else None."""
    text = "".join(state.progress)
    if hashlib.sha256(text.encode()).hexdigest() != digest:
        return None
    return text


def stage_state(
    tables: journal_tables.JournalTables,
    record: journal_tables.Record,
    stage: str,
) -> journal_tables.StageState:
    """Return the state of a stage; create it and count its size at its first use."""
    state = record.stages.get(stage)
    if state is None:
        state = journal_tables.StageState(stage=stage)
        record.stages[stage] = state
        journal_tables.update_size(tables, record)
    return state


def refuse_writer(
    tables: journal_tables.JournalTables,
    record: journal_tables.Record | None,
    command: journal.Command,
) -> journal.Reply | None:
    """Return a refusal if the host is not the owner or the request is answered."""
    if record is not None and record.answer is not None:
        return journal_tables.stored_answer_reply(record)
    if record is None or not ownership.is_owner(record, command.host, command.epoch):
        return journal.Fenced(request_id=command.request_id)
    return None


def _reset_progress(state: journal_tables.StageState, generation: int) -> None:
    state.generation = generation
    state.progress = []
    state.progress_length = 0
    state.progress_bytes = 0


def _append_progress(state: journal_tables.StageState, text: str, size: int) -> None:
    if not text:
        return
    state.progress.append(text)
    state.progress_length += len(text)
    state.progress_bytes += size
    if len(state.progress) > MAXIMUM_PROGRESS_PARTS:
        state.progress = ["".join(state.progress)]
