"""What the demo prints: answers, the spans of one trace, the cost by stage."""

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
    """One span as read from a spans file."""

    name: str
    trace: str
    identifier: str
    parent: str
    host: str
    start: datetime.datetime
    end: datetime.datetime
    detail: str

    @property
    def duration_ms(self) -> float:
        """Return how long the span lasted."""
        return (self.end - self.start).total_seconds() * 1_000


def read_spans(paths: Iterable[pathlib.Path], trace: str) -> list[Span]:
    """Read the spans of one trace, in order of their start."""
    spans = []
    for path in paths:
        if not path.exists():
            continue
        for line in path.read_text().splitlines():
            span = _span(json.loads(line))
            if span.trace == trace:
                spans.append(span)
    return sorted(spans, key=lambda span: (span.start, span.end))


def trace_lines(spans: list[Span]) -> list[str]:
    """Return the spans as a tree: when each began, how long it took, where."""
    if not spans:
        return ["  no span was recorded"]
    begin = spans[0].start
    known = {span.identifier for span in spans}
    children = collections.defaultdict(list)
    for span in spans:
        children[span.parent if span.parent in known else ""].append(span)
    lines = []

    def add(parent: str, depth: int) -> None:
        for span in children[parent]:
            offset_ms = (span.start - begin).total_seconds() * 1_000
            name = f"{'  ' * depth}{span.name}"
            lines.append(
                f"  {offset_ms:8.1f} ms  {name:{NAME_WIDTH}} "
                f"{span.duration_ms:8.1f} ms  {span.host}  {span.detail}".rstrip(),
            )
            add(span.identifier, depth + 1)

    add("", 0)
    return lines


def answer_lines(name: str, entry: str, received: callers.Received) -> list[str]:
    """Return an answer as lines."""
    state = "whole" if not received.faults else "NOT WHOLE"
    pieces = f", {len(received.pieces)} pieces" if received.pieces else ""
    lines = [
        "",
        f"{name}: {state} (HTTP {received.status}{pieces}, {entry}, "
        f"{received.request_id})",
    ]
    if received.output is not None:
        lines.append(f"  {_text(received.output)}")
    lines += [f"  fault: {fault}" for fault in received.faults]
    return lines


def cost_lines(answers: Iterable[callers.Received]) -> list[str]:
    """Return the upstream time of each stage over all answers."""
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


def _text(output: object) -> str:
    return output if isinstance(output, str) else json.dumps(output)


def _span(value: dict) -> Span:
    attributes = value.get("attributes") or {}
    detail = [
        str(attributes[f"bitternlever.{key}"])
        for key in ("upstream", "stage", "group")
        if f"bitternlever.{key}" in attributes
    ]
    return Span(
        name=value["name"],
        trace=value["context"]["trace_id"].removeprefix("0x"),
        identifier=value["context"]["span_id"],
        parent=value["parent_id"] or "",
        host=value["resource"]["attributes"].get("host.name", ""),
        start=datetime.datetime.fromisoformat(value["start_time"]),
        end=datetime.datetime.fromisoformat(value["end_time"]),
        detail=" ".join(detail),
    )
