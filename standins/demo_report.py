"""Format the output of the demo: answers, the spans of one trace, cost by stage."""

import collections
import dataclasses
import datetime
import json
import pathlib
from collections.abc import Iterable

from standins import callers

NAME_WIDTH = 46


@dataclasses.dataclass(slots=True)
class Span:
    """One span read from a spans file."""

    name: str
    trace_id: str
    span_id: str
    parent_id: str
    host: str
    start: datetime.datetime
    end: datetime.datetime
    detail: str

    @property
    def duration_ms(self) -> float:
        """Return how long the span lasted."""
        return (self.end - self.start).total_seconds() * 1_000


def read_spans(paths: Iterable[pathlib.Path], trace_id: str) -> list[Span]:
    """Read the spans of one trace, in order of their start."""
    spans = []
    for path in paths:
        if not path.exists():
            continue
        for line in path.read_text().splitlines():
            span = _parse_span(json.loads(line))
            if span.trace_id == trace_id:
                spans.append(span)
    return sorted(spans, key=lambda span: (span.start, span.end))


def trace_lines(spans: list[Span]) -> list[str]:
    """Return the spans as an indented tree with start offset, duration and host."""
    if not spans:
        return ["  no span was recorded"]
    begin = spans[0].start
    known_ids = {span.span_id for span in spans}
    children = collections.defaultdict(list)
    for span in spans:
        children[span.parent_id if span.parent_id in known_ids else ""].append(span)
    lines = []

    def add(parent_id: str, depth: int) -> None:
        for span in children[parent_id]:
            offset_ms = (span.start - begin).total_seconds() * 1_000
            name = f"{'  ' * depth}{span.name}"
            lines.append(
                f"  {offset_ms:8.1f} ms  {name:{NAME_WIDTH}} "
                f"{span.duration_ms:8.1f} ms  {span.host}  {span.detail}".rstrip(),
            )
            add(span.span_id, depth + 1)

    add("", 0)
    return lines


def answer_lines(name: str, entry: str, received: callers.ReceivedAnswer) -> list[str]:
    """Return the lines that describe an answer."""
    state = "complete" if not received.faults else "INCOMPLETE"
    pieces = f", {len(received.pieces)} pieces" if received.pieces else ""
    lines = [
        "",
        f"{name}: {state} (HTTP {received.status}{pieces}, {entry}, "
        f"{received.request_id})",
    ]
    if received.output is not None:
        lines.append(f"  {_output_text(received.output)}")
    lines += [f"  fault: {fault}" for fault in received.faults]
    return lines


def cost_lines(answers: Iterable[callers.ReceivedAnswer]) -> list[str]:
    """Return a line with the upstream time of each stage, summed over all answers."""
    costs = collections.defaultdict(float)
    for received in answers:
        for stage, cost_ms in received.cost_ms.items():
            costs[stage] += cost_ms
    total_ms = sum(costs.values())
    lines = [
        f"  {stage:12} {cost_ms:9.1f} ms  {100 * cost_ms / total_ms:5.1f}%"
        for stage, cost_ms in sorted(costs.items(), key=lambda item: -item[1])
    ]
    return [*lines, f"  {'all':12} {total_ms:9.1f} ms"]


def _output_text(output: object) -> str:
    return output if isinstance(output, str) else json.dumps(output)


def _parse_span(value: dict) -> Span:
    attributes = value.get("attributes") or {}
    detail = [
        str(attributes[f"bitternlever.{key}"])
        for key in ("upstream", "stage", "group")
        if f"bitternlever.{key}" in attributes
    ]
    return Span(
        name=value["name"],
        trace_id=value["context"]["trace_id"].removeprefix("0x"),
        span_id=value["context"]["span_id"],
        parent_id=value["parent_id"] or "",
        host=value["resource"]["attributes"].get("host.name", ""),
        start=datetime.datetime.fromisoformat(value["start_time"]),
        end=datetime.datetime.fromisoformat(value["end_time"]),
        detail=" ".join(detail),
    )
