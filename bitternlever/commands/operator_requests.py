"""``bitternlever requests``: show the state or the answer of a request."""

import dataclasses
from typing import Annotated
from urllib import parse

import cappa
import msgspec

from bitternlever.commands import operator_client, operator_output

WORKSPACE_TOKEN = cappa.Arg(
    long=True,
    default=cappa.Env("BITTERNLEVER_WORKSPACE_TOKEN", default=""),
    help="Bearer token of the request's workspace. "
    "Environment: BITTERNLEVER_WORKSPACE_TOKEN.",
    show_default=False,
)


@cappa.command(name="show", help="Show the state or the answer of a request.")
@dataclasses.dataclass
class Show(operator_client.Connection):
    """Options of ``requests show``."""

    request_id: Annotated[str, cappa.Arg(help="The id of the request.")]
    workspace_token: Annotated[str, WORKSPACE_TOKEN] = ""


@cappa.command(name="requests", help="Show requests.")
@dataclasses.dataclass
class Requests:
    """Commands for requests."""

    command: cappa.Subcommands[Show]


class RequestView(msgspec.Struct):
    """The state of a request; ``answer`` is the unchanged body of the host's answer."""

    request_id: str
    answered: bool
    answer: msgspec.Raw


def run(command: Requests) -> int:
    """Print the state or the answer of a request."""
    show = command.command
    path = f"/v1/requests/{parse.quote(show.request_id, safe='')}"
    outcome = operator_client.call(show, "GET", path, token=show.workspace_token)
    if outcome.is_err():
        return operator_output.print_failure(show.json, outcome.err())
    answer = outcome.ok()
    view = RequestView(
        request_id=show.request_id,
        answered=answer.status == 200,
        answer=msgspec.Raw(answer.body),
    )
    state = "answered" if view.answered else "open"
    lines = [f"{show.request_id}: {state}", answer.body.decode(errors="replace")]
    operator_output.print_result(show.json, view, lines)
    return operator_client.EXIT_DONE
