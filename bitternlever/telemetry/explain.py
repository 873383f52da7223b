"""Collect the log lines about one request and find out how and why it ended."""

import dataclasses
import json
from collections.abc import Iterable
from typing import Any

from bitternlever.telemetry import events

LATE_SHARE = 0.5
"""A stage with more than this share of the time counts as the cause of the wait."""


@dataclasses.dataclass(slots=True, frozen=True)
class Line:
    """A log line: its time as written, its host, event number and all fields."""

    time: str
    host: str
    number: int
    fields: dict[str, Any]


@dataclasses.dataclass(slots=True)
class Explanation:
    """What the log lines say of a request.

    ``way`` is the timeline: the request's log lines in time order. ``cause`` says how
    and why the request ended, ``missing`` which hosts omitted log lines while it was in
    progress. The field names are those of the JSON output.
    """

    request: str
    way: list[str]
    cause: str
    missing: list[str]

    @property
    def known(self) -> bool:
        """Return whether any line mentions the request."""
        return bool(self.way)


def parse_lines(text: Iterable[str]) -> list[Line]:
    """Parse the JSON object of each line, ignoring any text before it.

    Lines without a valid JSON object are skipped. The result is sorted by time.
    """
    lines = []
    for raw in text:
        start = raw.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(raw[start:])
        except ValueError:
            continue
        if isinstance(fields, dict) and isinstance(fields.get("time"), str):
            number = fields.get("number")
            lines.append(
                Line(
                    time=fields["time"],
                    host=str(fields.get("host", "")),
                    number=number if isinstance(number, int) else 0,
                    fields=fields,
                ),
            )
    return sorted(lines, key=lambda line: line.time)


def explain(request: str, lines: list[Line]) -> Explanation:
    """Explain what happened to a request."""
    request_lines = [line for line in lines if _mentions(line, request)]
    return Explanation(
        request=request,
        way=[_format_line(line) for line in request_lines],
        cause=_cause(request_lines, lines),
        missing=_missing(request_lines, lines),
    )


def _mentions(line: Line, request: str) -> bool:
    fields = line.fields
    return fields.get("request") == request or request in (fields.get("requests") or ())


def _format_line(line: Line) -> str:
    hidden = {"time", "host", "program", "level", "number", "event", "text", "requests"}
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in hidden and value is not None
    )
    return f"{line.time} {line.host} {line.fields.get('event', '')} {fields}".rstrip()


def _cause(request_lines: list[Line], lines: list[Line]) -> str:
    if not request_lines:
        return "no line speaks of this request"
    by_number = {line.number: line for line in request_lines}
    for event, describe in (
        (events.STREAM_CUT_OFF, _cut_off),
        (events.REQUEST_REFUSED, _refused),
        (events.REQUEST_CANCELLED, _cancelled),
        (events.REQUEST_ANSWERED, _answered),
    ):
        line = by_number.get(event.number)
        if line is not None:
            return describe(line, request_lines)
    admitted = by_number.get(events.REQUEST_ADMITTED.number, request_lines[0])
    return _lost(admitted.host, request_lines[-1], lines)


def _refused(line: Line, request_lines: list[Line]) -> str:
    fields = line.fields
    failed = [
        attempt
        for attempt in request_lines
        if attempt.number == events.ATTEMPT_FAILED.number
    ]
    text = f"refused with {fields.get('status')}: {fields.get('reason')}"
    text += f", after {fields.get('waited_s')} s"
    if failed:
        last = failed[-1].fields
        text += f"; the last of {len(failed)} attempts, at {last.get('upstream')}"
        text += f", failed: {last.get('reason')}"
    return text


def _cut_off(line: Line, request_lines: list[Line]) -> str:
    return (
        f"the stream was cut off after event {line.fields.get('last_event')}: "
        f"{line.fields.get('reason')}"
    )


def _cancelled(line: Line, request_lines: list[Line]) -> str:
    fields = line.fields
    where = "at its upstream" if fields.get("sent") else "before it was sent"
    calls = [
        call for call in request_lines if call.number == events.STAGE_CALL_DONE.number
    ]
    text = f"the caller left after {fields.get('after_s')} s, {where}"
    if calls and not fields.get("sent"):
        last = calls[-1].fields
        text += f"; {last.get('waiting')} pieces waited at {last.get('service')}"
    return text


def _answered(line: Line, request_lines: list[Line]) -> str:
    fields = line.fields
    text = f"answered with {fields.get('status')} after {fields.get('took_s')} s"
    first_s = fields.get("first_s")
    if first_s is None:
        return text
    text += f", its first event after {first_s} s"
    stages = fields.get("stages") or []
    if stages:
        number, longest_s = max(stages, key=lambda stage: stage[1])
        share = longest_s / first_s if first_s else 0.0
        mostly = "mostly" if share > LATE_SHARE else "longest"
        text += f"; {mostly} at stage {number} ({longest_s} s)"
    return text


def _lost(host: str, last: Line, lines: list[Line]) -> str:
    """Explain a request without a final line: its host ended, or lines are missing."""
    later = [line for line in lines if line.host == host and line.time > last.time]
    for line in later:
        if line.number == events.PROGRAM_STARTED.number:
            return f"lost with its host: {host} started again at {line.time}"
        if line.number == events.PROGRAM_ENDED.number:
            return f"lost with its host: {host} ended at {line.time}"
    if not later:
        return f"lost with its host: {host} said nothing after {last.time}"
    return f"not ended in these lines; {host} goes on until {later[-1].time}"


def _missing(request_lines: list[Line], lines: list[Line]) -> list[str]:
    """Return which hosts omitted lines while the request was in progress."""
    if not request_lines:
        return []
    first, last = request_lines[0].time, request_lines[-1].time
    return [
        f"{line.host} left out {line.fields['left_out']} lines before {line.time}"
        for line in lines
        if "left_out" in line.fields and line.time >= first and line.time[:19] <= last
    ]
