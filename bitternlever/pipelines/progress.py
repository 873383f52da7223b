"""Streamed text and stage results of journaled requests, on their way to the journal.

A caller sees only text that is committed, so that a new owner goes on from the same
text. One write for each request is in flight; what arrives meanwhile goes with the
next one.
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

STREAM_INTERVAL_S = 0.02
SAVE_INTERVAL_S = 1.0


def extend(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    stage: str,
) -> None:
    """Release or record a stage's new text."""
    if not request.journaled:
        release(outbox, request)
        return
    if not _wants_record(request) or request.recording:
        return
    if now < request.next_record_s:
        _record_later(tables, request, stage)
        return
    record(tables, now, outbox, request, stage)


def release(outbox: ticks.Outbox, request: pipeline_tables.Request) -> None:
    """Send the streaming callers what they may see of the answer's text."""
    stage = answer_stage(request.pipeline)
    text = request.texts.get(stage, "")
    if request.journaled:
        text = text[: request.committed.get(stage, 0)]
    delivery.pieces(outbox, request.request_id, request.callers, text)


def answer_stage(pipeline: manifest.Pipeline) -> str:
    """Return the name of the stage whose output is the answer."""
    if pipeline.answer_stage is not None or not pipeline.stages:
        return pipeline.answer_stage or ""
    return pipeline.stages[-1].name


def shown(request: pipeline_tables.Request, stage: str) -> str:
    """Return the beginning of a stage's text that some caller may have seen."""
    text = request.texts.get(stage, "")
    if stage != answer_stage(request.pipeline):
        return ""
    if request.journaled:
        return text[: request.recorded.get(stage, 0)]
    offsets = [caller.offset for caller in request.callers.values() if caller.stream]
    return text[: max(offsets, default=0)]


def replace(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    stage: str,
    text: str,
) -> None:
    """Take another attempt's text; one that does not go on from the former is new."""
    recorded = request.texts.get(stage, "")[: request.recorded.get(stage, 0)]
    request.texts[stage] = text
    if text.startswith(recorded):
        extend(tables, now, outbox, request, stage)
        return
    request.generations[stage] = request.generations.get(stage, 0) + 1
    request.committed[stage] = 0
    request.recorded[stage] = 0
    record(tables, now, outbox, request, stage, force=True)


def digest(text: str) -> str:
    """Return the SHA-256 digest of a text."""
    return hashlib.sha256(text.encode()).hexdigest()


def record(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    stage: str,
    force: bool = False,
) -> None:
    """Write what is not committed of a stage's text; with ``force`` even nothing."""
    offset = request.committed.get(stage, 0)
    text = request.texts.get(stage, "")[offset:]
    if request.recording or not (text or force):
        return
    request.recording = True
    request.next_record_s = now + _interval_s(request)
    command = _command(tables, request, stage, offset, text)

    def on_reply(tables, now, outbox, reply) -> None:
        request.recording = False
        if request.generations.get(stage, 0) != command.generation:
            record(tables, now, outbox, request, stage, force=True)
            return
        if isinstance(reply, journal.ProgressRecorded):
            request.committed[stage] = reply.length
            release(outbox, request)
        extend(tables, now, outbox, request, stage)

    ownership.write(tables, now, outbox, request, command, on_reply)


def record_rest(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    stage: str,
) -> None:
    """Write what has not been sent of a stage's text, beside a write in flight."""
    offset = request.recorded.get(stage, 0)
    text = request.texts.get(stage, "")[offset:]
    if not text:
        return
    command = _command(tables, request, stage, offset, text)

    def on_reply(tables, now, outbox, reply) -> None:
        """The answer that follows tells whether the text is whole."""

    ownership.write(tables, now, outbox, request, command, on_reply)


def record_result(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    attempt: pipeline_tables.Attempt,
    usage: upstream.Usage,
) -> None:
    """Record a stage's result where running the stage again is wrong or costly."""
    stage = attempt.stage
    name = stage.name
    costly = stage.task is manifest.Task.GENERATE
    if stage.idempotent and not costly and name != answer_stage(request.pipeline):
        return
    text = request.texts.get(name, "")
    whole = bool(text) and request.committed.get(name, 0) == len(text)
    command = journal.RecordResult(
        request_id=request.request_id,
        stage=name,
        attempt=attempt.attempt,
        output=b"" if whole else msgspec.json.encode(request.results[name]),
        usage=usage,
        host=tables.settings.host,
        epoch=request.epoch,
        progress_digest=digest(text) if whole else None,
    )

    def on_reply(tables, now, outbox, reply) -> None:
        if not isinstance(reply, journal.ResultRecorded):
            tables.count("result_not_recorded")

    ownership.write(tables, now, outbox, request, command, on_reply)


def _wants_record(request: pipeline_tables.Request) -> bool:
    if request.phase is pipeline_tables.Phase.ANSWERING:
        return False
    return request.kind.durable or _has_stream(request)


def _has_stream(request: pipeline_tables.Request) -> bool:
    return any(caller.stream for caller in request.callers.values())


def _interval_s(request: pipeline_tables.Request) -> float:
    return STREAM_INTERVAL_S if _has_stream(request) else SAVE_INTERVAL_S


def _record_later(
    tables: entry_tables.EntryTables, request: pipeline_tables.Request, stage: str
) -> None:
    request.recording = True

    def again(tables, now, outbox) -> None:
        if not ownership.is_live(tables, request):
            return
        request.recording = False
        if request.phase is not pipeline_tables.Phase.ANSWERING:
            record(tables, now, outbox, request, stage)

    timers.at(tables, request.next_record_s, again)


def _command(
    tables: entry_tables.EntryTables,
    request: pipeline_tables.Request,
    stage: str,
    offset: int,
    text: str,
) -> journal.RecordProgress:
    request.recorded[stage] = offset + len(text)
    return journal.RecordProgress(
        request_id=request.request_id,
        stage=stage,
        offset=offset,
        text=text,
        host=tables.settings.host,
        epoch=request.epoch,
        generation=request.generations.get(stage, 0),
    )
