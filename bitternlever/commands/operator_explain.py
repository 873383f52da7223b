"""``bitternlever explain``: explain from log files what happened to a request."""

import dataclasses
import pathlib
import sys
from typing import Annotated

import cappa

from bitternlever.commands import operator_client, operator_output
from bitternlever.telemetry import explain


@cappa.command(
    name="explain",
    help="Explain from log files what happened to a request and why it ended.",
    description="Exit codes: 0 explained, 1 no line mentions the request, "
    "2 a file cannot be read.",
)
@dataclasses.dataclass
class Explain:
    """Options of ``explain``."""

    request: Annotated[str, cappa.Arg(help="The id of the request.")]
    files: Annotated[
        list[pathlib.Path],
        cappa.Arg(help="Log files of all hosts, in any order.", num_args=-1),
    ]
    json: Annotated[bool, operator_client.JSON] = False


def run(command: Explain) -> int:
    """Print the request's timeline, why it ended, and which hosts omitted log lines.

    Return ``EXIT_REFUSED`` if no line mentions the request.
    """
    lines = []
    for path in command.files:
        try:
            text = path.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            print(f"{path} cannot be read: {error}", file=sys.stderr)
            return operator_client.EXIT_USAGE
        lines += text.splitlines()
    explanation = explain.explain(command.request, explain.parse_lines(lines))
    output_lines = [*explanation.way, f"cause: {explanation.cause}"]
    output_lines += [f"missing: {omission}" for omission in explanation.missing]
    operator_output.print_result(command.json, explanation, output_lines)
    return (
        operator_client.EXIT_DONE if explanation.known else operator_client.EXIT_REFUSED
    )
