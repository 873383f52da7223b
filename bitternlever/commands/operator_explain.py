"""``bitternlever explain``: from log files to what became of a request."""

import dataclasses
import pathlib
import sys
from typing import Annotated

import cappa

from bitternlever.commands import operator_client, operator_output
from bitternlever.telemetry import explain


@cappa.command(
    name="explain",
    help="Tell a request's way and the cause of its end, from log files.",
    description="Exit codes: 0 explained, 1 no line speaks of the request, "
    "2 a file cannot be read.",
)
@dataclasses.dataclass
class Explain:
    """Options of ``explain``."""

    request: Annotated[str, cappa.Arg(help="The request's id.")]
    files: Annotated[
        list[pathlib.Path],
        cappa.Arg(help="Log files of all hosts, in any order.", num_args=-1),
    ]
    json: Annotated[bool, operator_client.JSON] = False


def run(command: Explain) -> int:
    """Read the files and print what they tell of the request."""
    lines = []
    for path in command.files:
        try:
            text = path.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            print(f"{path} cannot be read: {error}", file=sys.stderr)
            return operator_client.EXIT_USAGE
        lines += text.splitlines()
    told = explain.explain(command.request, explain.parse_lines(lines))
    shown = [*told.way, f"cause: {told.cause}"]
    shown += [f"missing: {each}" for each in told.missing]
    operator_output.value(command.json, told, shown)
    return operator_client.EXIT_DONE if told.known else operator_client.EXIT_REFUSED
