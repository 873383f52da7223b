"""``bitternlever control``: replace a replica whose disk or host is lost."""

import dataclasses
from typing import Annotated

import cappa
import msgspec

from bitternlever.commands import operator_client, operator_output
from bitternlever.messages import directory

DEFAULT_WAIT_S = 120.0
DONE = "done"
FINAL_EXIT_CODES = (operator_client.EXIT_USAGE, operator_client.EXIT_UNAUTHORIZED)

WAIT = cappa.Arg(long=True, help="Send the command again until the step is done.")
WAIT_S = cappa.Arg(long="--wait-s", help="Longest time to wait, in seconds.")


@cappa.command(
    name="replace",
    help="Replace one replica (a node with its disk) by a new node; may be sent "
    "again, and is refused while the quorum would not survive one more loss.",
)
@dataclasses.dataclass
class Replace(operator_client.Connection):
    """Options of ``control replace``."""

    old_node: Annotated[str, cappa.Arg(help="The node to remove, as control-HOST.")]
    old_disk: Annotated[str, cappa.Arg(help="Its disk id, as shown by 'hosts'.")]
    new_node: Annotated[str, cappa.Arg(help="The node to add, as control-HOST.")]
    wait: Annotated[bool, WAIT] = False
    wait_s: Annotated[float, WAIT_S] = DEFAULT_WAIT_S


@cappa.command(name="control", help="Change the control processes.")
@dataclasses.dataclass
class Control:
    """Commands for control processes."""

    command: cappa.Subcommands[Replace]


def run(command: Control) -> int:
    """Replace a replica; with ``--wait`` repeat the call until it is done.

    A refusal does not end the wait: it means that the next step is not safe yet.
    """
    replace = command.command
    last = _send(replace)

    def step() -> tuple[bool, str]:
        nonlocal last
        last = _send(replace)
        if last.is_err():
            return last.err().exit_code in FINAL_EXIT_CODES, last.err().text
        return last.ok().step == DONE, f"{last.ok().step}: {last.ok().detail}"

    if replace.wait and (last.is_err() or last.ok().step != DONE):
        operator_output.wait(step, replace.wait_s)
    if last.is_err():
        return operator_output.print_failure(replace.json, last.err())
    progress = last.ok()
    lines = [f"{progress.step}: {progress.detail}"]
    operator_output.print_result(replace.json, progress, lines)
    if replace.wait and progress.step != DONE:
        return operator_client.EXIT_NOT_YET
    return operator_client.EXIT_DONE


class Body(msgspec.Struct):
    """The body of ``POST /v1/control/replace``."""

    old_node: str
    old_disk: str
    new_node: str


def _send(replace: Replace):
    body = Body(
        old_node=replace.old_node,
        old_disk=replace.old_disk,
        new_node=replace.new_node,
    )
    outcome = operator_client.call(
        replace,
        "POST",
        "/v1/control/replace",
        msgspec.json.encode(body),
    )
    return outcome.map(
        lambda answer: msgspec.json.decode(
            answer.body,
            type=directory.ReplaceProgress,
        ),
    )
