"""``bitternlever zones``: evacuate availability zones and take them back into use."""

import dataclasses
import time
from typing import Annotated, Literal

import cappa
import msgspec
import result

from bitternlever.commands import operator_client, operator_output
from bitternlever.platform import operator_calls

CONTROL = cappa.Arg(
    long=True,
    default=cappa.Env("BITTERNLEVER_CONTROL", default=""),
    help="Control processes to call, as http://ADDRESS:PORT, separated by commas. "
    "Environment: BITTERNLEVER_CONTROL.",
    show_default=False,
)
ACTION = cappa.Arg(help="What to do: status, evacuate or restore.")
ZONE = cappa.Arg(help="The availability zone to evacuate or to restore.")
EVACUATED_BY_ACTION = {"evacuate": True, "restore": False}

STATUS_ATTEMPTS = 10
STATUS_RETRY_S = 0.1
"""Another process than the leader learns within this time what is committed."""


@cappa.command(
    name="zones",
    help="Evacuate availability zones: their upstreams get no new work until they are "
    "restored.",
)
@dataclasses.dataclass
class Zones:
    """Options of ``zones``."""

    action: Annotated[Literal["status", "evacuate", "restore"], ACTION]
    zone: Annotated[str, ZONE] = ""
    control: Annotated[str, CONTROL] = ""
    json: Annotated[bool, operator_client.JSON] = False


def run(command: Zones) -> int:
    """Send an order about a zone, or print which zones are evacuated."""
    if (command.action == "status") == bool(command.zone):
        text = "give a zone to evacuate and restore, and none to status"
        failure = operator_client.Failure(operator_client.EXIT_USAGE, text)
        return operator_output.print_failure(command.json, failure)
    outcome = _order(command) if command.zone else _status(command)
    if outcome.is_err():
        return operator_output.print_failure(command.json, outcome.err())
    view = outcome.ok()
    evacuated = ", ".join(view.zones) or "none"
    operator_output.print_result(command.json, view, [f"evacuated zones: {evacuated}"])
    return operator_client.EXIT_DONE


def _order(
    command: Zones,
) -> result.Result[operator_calls.Evacuation, operator_client.Failure]:
    evacuated = EVACUATED_BY_ACTION[command.action]
    method, path = operator_calls.zone_order(command.zone, evacuated=evacuated)
    outcome = operator_client.call(_connection(command), method, path, redirected=True)
    if outcome.is_err():
        return outcome
    status = _status(command)
    for _ in range(STATUS_ATTEMPTS - 1):
        if status.is_err() or (command.zone in status.ok().zones) == evacuated:
            break
        time.sleep(STATUS_RETRY_S)
        status = _status(command)
    return status


def _status(
    command: Zones,
) -> result.Result[operator_calls.Evacuation, operator_client.Failure]:
    method, path = operator_calls.evacuation_status()
    outcome = operator_client.call(_connection(command), method, path, redirected=True)
    if outcome.is_err():
        return outcome
    answer = outcome.ok()
    try:
        view = msgspec.json.decode(answer.body, type=operator_calls.Evacuation)
    except msgspec.MsgspecError as error:
        text = f"{answer.address}: an answer that cannot be read: {error}"
        failure = operator_client.Failure(operator_client.EXIT_UNAVAILABLE, text)
        return result.Err(failure)
    return result.Ok(view)


def _connection(command: Zones) -> operator_client.Connection:
    return operator_client.Connection(entry=command.control)
