"""Recording of streamed text and stage results in the journal.

Callers get only committed text of a journaled request, so that a new owner resumes
from the same text. Each request has at most one write of text in flight; text that
arrives meanwhile is part of the next write.
"""

import hashlib

import msgspec

from bitternlever.core import ticks
from bitternlever.entry import tables as entry_tables
from bitternlever.messages import journal, manifest, upstream
from bitternlever.pipelines import (
    delivery,
    ownership,
    tables as pipeline_tables,
    timers,
)

# Minimum time between writes of text, while a caller follows the stream and while none
# does.
STREAM_INTERVAL_S = 0.02
SAVE_INTERVAL_S = 1.0


def handle_new_text(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    stage: str,
) -> None:
    """Send a stage's new text to callers, or record it first if journaled."""
    if not request.journaled:
        send_visible_text(outbox, request)
        return
    if not _records_text(request) or request.recording:
        return
    if now < request.next_record_s:
        _record_later(tables, request, stage)
        return
    record_text(tables, now, outbox, request, stage)


def send_visible_text(outbox: ticks.Outbox, request: pipeline_tables.Request) -> None:
    """Send the streaming callers the answer text; if journaled, its committed part."""
    stage = answer_stage(request.pipeline)
    text = request.texts.get(stage, "")
    if request.journaled:
        text = text[: request.committed_lengths.get(stage, 0)]
    delivery.send_pieces(outbox, request.request_id, request.callers, text)


def answer_stage(pipeline: manifest.Pipeline) -> str:
    """Return the name of the stage whose output is the answer."""
    if pipeline.answer_stage is not None or not pipeline.stages:
        return pipeline.answer_stage or ""
    return pipeline.stages[-1].name


def seen_text(request: pipeline_tables.Request, stage: str) -> str:
    """Return the prefix of a stage's text that some caller may have seen."""
    text = request.texts.get(stage, "")
    if stage != answer_stage(request.pipeline):
        return ""
    if request.journaled:
        return text[: request.written_lengths.get(stage, 0)]
    offsets = [caller.offset for caller in request.callers.values() if caller.stream]
    return text[: max(offsets, default=0)]


def replace_text(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    stage: str,
    text: str,
) -> None:
    """Replace a stage's text; start a new generation unless it extends the old one."""
    written_text = request.texts.get(stage, "")[: request.written_lengths.get(stage, 0)]
    request.texts[stage] = text
    if text.startswith(written_text):
        handle_new_text(tables, now, outbox, request, stage)
        return
    request.generations[stage] = request.generations.get(stage, 0) + 1
    request.committed_lengths[stage] = 0
    request.written_lengths[stage] = 0
    record_text(tables, now, outbox, request, stage, force=True)


def digest(text: str) -> str:
    """Return the SHA-256 digest of a text."""
    return hashlib.sha256(text.encode()).hexdigest()


def record_text(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    stage: str,
    force: bool = False,
) -> None:
    """Write the uncommitted part of a stage's text; with ``force`` even if empty."""
    offset = request.committed_lengths.get(stage, 0)
    text = request.texts.get(stage, "")[offset:]
    if request.recording or not (text or force):
        return
    request.recording = True
    request.next_record_s = now + _interval_s(request)
    command = _record_command(tables, request, stage, offset, text)

    def on_reply(tables, now, outbox, reply) -> None:
        request.recording = False
        if request.generations.get(stage, 0) != command.generation:
            record_text(tables, now, outbox, request, stage, force=True)
            return
        if isinstance(reply, journal.ProgressRecorded):
            request.committed_lengths[stage] = reply.length
            send_visible_text(outbox, request)
        handle_new_text(tables, now, outbox, request, stage)

    ownership.write(tables, now, outbox, request, command, on_reply)


def record_remaining_text(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    stage: str,
) -> None:
    """Write the unwritten part of a stage's text, even while a write is in flight."""
    offset = request.written_lengths.get(stage, 0)
    text = request.texts.get(stage, "")[offset:]
    if not text:
        return
    command = _record_command(tables, request, stage, offset, text)

    def on_reply(tables, now, outbox, reply) -> None:
        """Ignore the reply: recording the answer detects missing text."""

    ownership.write(tables, now, outbox, request, command, on_reply)


def record_result(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    attempt: pipeline_tables.Attempt,
    usage: upstream.Usage,
) -> None:
    """Record a stage's result if running the stage again is unsafe or costly."""
    stage = attempt.stage
    name = stage.name
    is_costly = stage.task is manifest.Task.GENERATE
    if stage.idempotent and not is_costly and name != answer_stage(request.pipeline):
        return
    text = request.texts.get(name, "")
    is_committed = bool(text) and request.committed_lengths.get(name, 0) == len(text)
    command = journal.RecordResult(
        request_id=request.request_id,
        stage=name,
        attempt=attempt.attempt_id,
        output=b"" if is_committed else msgspec.json.encode(request.results[name]),
        usage=usage,
        host=tables.settings.host,
        epoch=request.epoch,
        progress_digest=digest(text) if is_committed else None,
    )

    def on_reply(tables, now, outbox, reply) -> None:
        if not isinstance(reply, journal.ResultRecorded):
            tables.count("result_not_recorded")

    ownership.write(tables, now, outbox, request, command, on_reply)


def _records_text(request: pipeline_tables.Request) -> bool:
    if request.phase is pipeline_tables.Phase.ANSWERING:
        return False
    return request.kind.durable or _has_streaming_caller(request)


def _has_streaming_caller(request: pipeline_tables.Request) -> bool:
    return any(caller.stream for caller in request.callers.values())


def _interval_s(request: pipeline_tables.Request) -> float:
    return STREAM_INTERVAL_S if _has_streaming_caller(request) else SAVE_INTERVAL_S


def _record_later(
    tables: entry_tables.EntryTables, request: pipeline_tables.Request, stage: str
) -> None:
    request.recording = True

    def record_now(tables, now, outbox) -> None:
        if not ownership.is_owned(tables, request):
            return
        request.recording = False
        if request.phase is not pipeline_tables.Phase.ANSWERING:
            record_text(tables, now, outbox, request, stage)

    timers.schedule(tables, request.next_record_s, record_now)


def _record_command(
    tables: entry_tables.EntryTables,
    request: pipeline_tables.Request,
    stage: str,
    offset: int,
    text: str,
) -> journal.RecordProgress:
    request.written_lengths[stage] = offset + len(text)
    return journal.RecordProgress(
        request_id=request.request_id,
        stage=stage,
        offset=offset,
        text=text,
        host=tables.settings.host,
        epoch=request.epoch,
        generation=request.generations.get(stage, 0),
    )
