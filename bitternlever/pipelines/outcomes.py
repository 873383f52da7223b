"""Handling of upstream output: parts and ends of stage calls, verified before use."""

import hashlib
from typing import Any

import msgspec

from bitternlever.core import ticks
from bitternlever.entry import tables as entry_tables
from bitternlever.messages import manifest, requests, upstream
from bitternlever.pipelines import (
    delivery,
    failures,
    ownership,
    progress,
    stages,
    tables as pipeline_tables,
)
from bitternlever.routing import feedback


def handle_part(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    message: requests.UpstreamPart,
) -> None:
    """Append a part of streamed output if it continues the output of its attempt."""
    attempt = tables.requests.attempts.get(message.attempt)
    if attempt is None:
        tables.count("part_late")
        return
    if attempt.first_byte_s is None:
        attempt.first_byte_s = now
        feedback.first_byte(tables, now, attempt)
    received_length = len(attempt.output)
    received_text = attempt.output[message.offset : message.offset + len(message.text)]
    if message.offset < received_length and received_text == message.text:
        tables.count("part_duplicate")
        return
    if message.offset != received_length:
        tables.count("part_out_of_order")
        failures.fail_attempt(
            tables, now, outbox, attempt, "a part of the stream is missing"
        )
        return
    attempt.output += message.text
    request = tables.requests.requests[attempt.request_id]
    if not attempt.hedge:
        request.texts[attempt.stage.name] = attempt.output
        progress.handle_new_text(tables, now, outbox, request, attempt.stage.name)


def handle_finished(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    message: requests.UpstreamFinished,
) -> None:
    """Complete a stage call if its output is whole and belongs to the attempt."""
    attempt = tables.requests.attempts.get(message.attempt)
    if attempt is None:
        tables.count("answer_late")
        return
    if message.binding != stages.binding(attempt):
        tables.count("answer_crossed")
        failures.fail_attempt(
            tables, now, outbox, attempt, "the answer is another call's"
        )
        return
    if not _is_whole(attempt, message):
        tables.count("answer_garbled")
        _discard_text(tables, now, outbox, attempt)
        failures.fail_attempt(tables, now, outbox, attempt, "the digest is wrong")
        return
    output = message.output if message.length is None else attempt.output
    _complete(tables, now, outbox, attempt, output, message.usage)


def _complete(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    attempt: pipeline_tables.Attempt,
    output: Any,
    usage: upstream.Usage,
) -> None:
    """Set a whole output as the stage's only result and cancel other attempts."""
    request = tables.requests.requests[attempt.request_id]
    name = attempt.stage.name
    ownership.end_attempt(tables, now, outbox, attempt, ended="whole")
    feedback.finished(tables, now, attempt, usage)
    if attempt.hedge and not _continues(progress.seen_text(request, name), output):
        tables.count("hedge_diverged")
        return
    for other in sorted(request.attempts):
        ownership.cancel_attempt(tables, now, outbox, tables.requests.attempts[other])
    request.results[name] = output
    request.cost_ms[name] = request.cost_ms.get(name, 0.0) + usage.busy_ms
    request.failures = 0
    if attempt.stage.task is manifest.Task.GENERATE and isinstance(output, str):
        progress.replace_text(tables, now, outbox, request, name, output)
    if not attempt.stage.idempotent:
        request.non_idempotent_completed = True
    request.stage_index += 1
    if request.journaled and request.stage_index < len(request.pipeline.stages):
        progress.record_result(tables, now, outbox, request, attempt, usage)
    stages.advance(tables, now, outbox, request)


def _continues(text: str, output: Any) -> bool:
    """Return whether a hedge's output extends the text that callers have seen.

    Text that callers have seen must not change.
    """
    return not text or (isinstance(output, str) and output.startswith(text))


def _discard_text(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    attempt: pipeline_tables.Attempt,
) -> None:
    """Discard a corrupted text and tell the callers that received part of it."""
    request = tables.requests.requests[attempt.request_id]
    name = attempt.stage.name
    if attempt.hedge or not request.texts.get(name):
        return
    if progress.seen_text(request, name):
        delivery.invalidate_sent_text(
            tables, outbox, request.request_id, request.callers
        )
    progress.replace_text(tables, now, outbox, request, name, "")


def _is_whole(
    attempt: pipeline_tables.Attempt,
    message: requests.UpstreamFinished,
) -> bool:
    if message.length is None:
        data = msgspec.json.encode(message.output)
        return hashlib.sha256(data).hexdigest() == message.digest
    if message.length != len(attempt.output):
        return False
    return hashlib.sha256(attempt.output.encode()).hexdigest() == message.digest
