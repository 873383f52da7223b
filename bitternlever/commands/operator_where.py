"""``bitternlever where``: show where a request would go now, without sending it."""

import dataclasses
from typing import Annotated, Any

import cappa
import msgspec

from bitternlever.commands import operator_client, operator_output
from bitternlever.messages import where

TARGET = cappa.Arg(help="The request's path, with its query.")
HOST = cappa.Arg(long=True, help="The host name that the request is for.")
METHOD = cappa.Arg(long=True, help="The request's method.")
HEADER = cappa.Arg(
    long=True,
    short="-H",
    action=cappa.ArgAction.append,
    help='A header of the request, as "NAME: VALUE"; may be given again.',
)
BODY = cappa.Arg(long=True, help="The request's body, which tells repeats apart.")
TRIED = cappa.Arg(
    long=True,
    action=cappa.ArgAction.append,
    help="An upstream that has refused it already; may be given again.",
)
METRICS = cappa.Arg(
    long=True,
    default=cappa.Env("BITTERNLEVER_METRICS", default=""),
    help="Metrics address of the entry host to ask, as http://ADDRESS:PORT. "
    "Environment: BITTERNLEVER_METRICS.",
    show_default=False,
)

SHOWN_CANDIDATES = 20
"""Fits on a screen; JSON has more."""


@cappa.command(
    name="where",
    help="Show where a request would go now and why, without sending it.",
    description="Exit codes: 0 it would be sent, 1 it would be refused, 2 wrong usage, "
    "3 the host did not answer.",
)
@dataclasses.dataclass
class Where:
    """Options of ``where``."""

    target: Annotated[str, TARGET]
    host: Annotated[str, HOST]
    method: Annotated[str, METHOD] = "GET"
    header: Annotated[list[str], HEADER] = dataclasses.field(default_factory=list)
    body: Annotated[str, BODY] = ""
    tried: Annotated[list[str], TRIED] = dataclasses.field(default_factory=list)
    metrics: Annotated[str, METRICS] = ""
    json: Annotated[bool, operator_client.JSON] = False


def run(command: Where) -> int:
    """Ask a host and print its answer; ``EXIT_REFUSED`` if all ways are refused."""
    usage = _usage(command)
    if usage:
        failure = operator_client.Failure(operator_client.EXIT_USAGE, usage)
        return operator_output.print_failure(command.json, failure)
    question = where.Question(
        target=command.target,
        host=command.host,
        method=command.method,
        headers=[_header(text) for text in command.header],
        body=command.body,
        tried=command.tried,
    )
    connection = operator_client.Connection(entry=command.metrics)
    body = msgspec.json.encode(question)
    outcome = operator_client.call(connection, "POST", where.PATH, body)
    if outcome.is_err():
        return operator_output.print_failure(command.json, outcome.err())
    explanation = msgspec.json.decode(outcome.ok().body, type=where.Explanation)
    operator_output.print_result(command.json, explanation, lines(explanation))
    sent = explanation.handed_over_to or any(
        way.refused is None for way in explanation.ways
    )
    return operator_client.EXIT_DONE if sent else operator_client.EXIT_REFUSED


def _usage(command: Where) -> str:
    if not command.metrics:
        return "no entry host is given; set --metrics or BITTERNLEVER_METRICS"
    for text in command.header:
        if ":" not in text:
            return f'{text!r} is no header; write it as "NAME: VALUE"'
    return ""


def _header(text: str) -> tuple[str, str]:
    name, _, value = text.partition(":")
    return name.strip(), value.strip()


def lines(explanation: where.Explanation) -> list[str]:
    """Return the answer as text: each way with its stages and upstreams, the cause."""
    zones = ", ".join(explanation.evacuated_zones) or "none"
    output = [
        f"host={explanation.host} route={explanation.route or '-'} "
        f"version={explanation.version} catalog_age_s={explanation.catalog_age_s} "
        f"evacuated zones: {zones}"
    ]
    for way in explanation.ways:
        output += _way_lines(way)
    return [*output, f"cause: {explanation.cause}"]


def _way_lines(way: where.Way) -> list[str]:
    output = [f"service={way.service} share={way.share:g}"]
    for stage in way.stages:
        output += _stage_lines(stage)
    if way.candidates:
        rows = [_row(candidate) for candidate in way.candidates[:SHOWN_CANDIDATES]]
        headings = ["upstream", "zone", "age", "running", "predicted", "unread", "why"]
        output += operator_output.table(headings, rows)
    hidden = max(0, len(way.candidates) - SHOWN_CANDIDATES) + way.left_out
    if hidden:
        output.append(f"and {hidden} more upstreams")
    if way.then:
        output.append(f"if it is refused there: {', '.join(way.then)}")
    return output


def _row(candidate: where.Candidate) -> list[Any]:
    predicted_s = candidate.predicted_s
    return [
        candidate.upstream,
        candidate.zone,
        f"{candidate.age_s:.1f}s",
        candidate.running,
        "-" if predicted_s is None else f"{predicted_s:.3f}s",
        candidate.unread_tokens or "-",
        candidate.ruled_out or "candidate",
    ]


def _stage_lines(stage: where.StageView) -> list[str]:
    output = [
        f"stage={stage.stage} service={stage.service} pieces={stage.pieces} "
        f"cost_s={stage.cost_s:g} expected_wait_s={stage.expected_wait_s:g} "
        f"backlog_s={stage.backlog_s:g}"
    ]
    for group in stage.groups:
        age = "not reported" if group.age_s is None else f"age_s={group.age_s:g}"
        output.append(
            f"  group={group.group} link={group.link} share={group.share:g} "
            f"wait_s={group.wait_s:g} {age} zones={','.join(group.zones) or 'all'}"
        )
    for upstream, reason in list(stage.ruled_out.items())[:SHOWN_CANDIDATES]:
        output.append(f"  {upstream}: {reason}")
    return output
