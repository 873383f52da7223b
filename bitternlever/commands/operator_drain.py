"""``bitternlever drain``: take one entry host out of service without losing work."""

import dataclasses
from typing import Annotated

import cappa
import msgspec
import result

from bitternlever.commands import operator_client, operator_hosts, operator_output

DEFAULT_WAIT_S = 120.0

HOST = cappa.Arg(help="The name of the entry host, or its address http://…")
WAIT = cappa.Arg(long=True, help="Wait until the host has released its lease.")
WAIT_S = cappa.Arg(long="--wait-s", help="Longest time to wait, in seconds.")


@cappa.command(
    name="drain",
    help="Drain one entry host: it leaves the host lists at once, finishes requests "
    "in flight, releases its lease and exits.",
)
@dataclasses.dataclass
class Drain(operator_client.Connection):
    """Options of ``drain``."""

    host: Annotated[str, HOST]
    wait: Annotated[bool, WAIT] = False
    wait_s: Annotated[float, WAIT_S] = DEFAULT_WAIT_S


class DrainView(msgspec.Struct):
    """The progress of a drain."""

    host: str
    address: str
    ended: bool


def run(command: Drain) -> int:
    """Start a drain; with ``--wait`` wait until it ends."""
    resolved = _resolve_address(command)
    if resolved.is_err():
        return operator_output.print_failure(command.json, resolved.err())
    address = resolved.ok()
    target = operator_client.Connection(
        entry=address,
        operator_token=command.operator_token,
    )
    outcome = operator_client.call(target, "POST", "/v1/drain", b"")
    if outcome.is_err():
        return operator_output.print_failure(command.json, outcome.err())
    ended = command.wait and _wait(command, address)
    view = DrainView(host=command.host, address=address, ended=ended)
    state = "has drained" if ended else "is draining"
    operator_output.print_result(command.json, view, [f"{command.host} {state}"])
    if command.wait and not ended:
        return operator_client.EXIT_NOT_YET
    return operator_client.EXIT_DONE


def _resolve_address(command: Drain) -> result.Result[str, operator_client.Failure]:
    if command.host.startswith(("http://", "https://")):
        return result.Ok(command.host.rstrip("/"))
    status = operator_hosts.fetch(command)
    if status.is_err():
        return status
    hosts = [host for host in status.ok().hosts if not host.ended]
    addresses = {host.host: host.address for host in hosts}
    if command.host in addresses:
        return result.Ok(addresses[command.host])
    names = ", ".join(sorted(addresses)) or "none"
    text = f"no entry host {command.host!r} holds a lease; known are: {names}"
    return result.Err(
        operator_client.Failure(operator_client.EXIT_REFUSED, text),
    )


def _wait(command: Drain, address: str) -> bool:
    """Wait until the lease of the host has ended; return whether it has.

    The status is read from the other hosts, since the drained one exits.
    """
    others = [other for other in command.addresses if other != address]
    connection = operator_client.Connection(
        entry=",".join(others or command.addresses),
        operator_token=command.operator_token,
    )

    def step() -> tuple[bool, str]:
        status = operator_hosts.fetch(connection)
        if status.is_err():
            return False, status.err().text
        leased_addresses = {
            host.address for host in status.ok().hosts if not host.ended
        }
        if address not in leased_addresses:
            return True, f"{command.host} has released its lease"
        return False, f"{command.host} is draining"

    return operator_output.wait(step, command.wait_s)
