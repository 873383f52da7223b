"""``bitternlever manifest``: check, apply, show and status."""

import dataclasses
import hashlib
import pathlib
import sys
from typing import Annotated

import cappa
import msgspec

from bitternlever.checks import manifest as manifest_checks, messages
from bitternlever.commands import operator_client, operator_hosts, operator_output
from bitternlever.messages import directory

DEFAULT_WAIT_S = 30.0

File = Annotated[
    pathlib.Path,
    cappa.Arg(help="The manifest, a JSON file; - reads standard input."),
]
Wait = Annotated[
    bool,
    cappa.Arg(long=True, help="Wait until the manifest is in force on every host."),
]
WaitLimit = Annotated[
    float,
    cappa.Arg(long="--wait-s", help="Longest time to wait, in seconds."),
]


@cappa.command(name="check", help="Check a manifest offline and report all errors.")
@dataclasses.dataclass
class Check:
    """Options of ``manifest check``."""

    file: File
    json: Annotated[bool, operator_client.JSON] = False


@cappa.command(
    name="apply",
    help="Apply a manifest; returns when it is committed. The same file may be applied "
    "again if the answer was lost.",
)
@dataclasses.dataclass
class Apply(operator_client.Connection):
    """Options of ``manifest apply``."""

    file: File
    wait: Wait = False
    wait_s: WaitLimit = DEFAULT_WAIT_S


@cappa.command(name="show", help="Print the manifest in force, byte for byte.")
@dataclasses.dataclass
class Show(operator_client.Connection):
    """Options of ``manifest show``."""


@cappa.command(
    name="status",
    help="Show which manifest is committed and which each host has in force.",
)
@dataclasses.dataclass
class Status(operator_client.Connection):
    """Options of ``manifest status``."""

    wait: Wait = False
    wait_s: WaitLimit = DEFAULT_WAIT_S


@cappa.command(name="manifest", help="Check, apply and show the manifest.")
@dataclasses.dataclass
class Manifest:
    """Commands for the manifest."""

    command: cappa.Subcommands[Check | Apply | Show | Status]


class HostView(msgspec.Struct):
    """The manifest that one host has in force."""

    host: str
    number: int
    current: bool


class StatusView(msgspec.Struct):
    """The committed manifest and where it is in force."""

    number: int
    digest: str
    in_force_everywhere: bool
    hosts: list[HostView]


class CheckView(msgspec.Struct):
    """The result of a check."""

    accepted: bool
    messages: list[messages.Message]


def run(command: Manifest) -> int:
    """Run one of the manifest commands."""
    match command.command:
        case Check() as check:
            return _check(check)
        case Apply() as apply:
            return _apply(apply)
        case Show() as show:
            return _show(show)
        case Status() as status:
            return _status(status, status.wait, status.wait_s)
    raise TypeError(f"unknown command {command.command!r}")


def _check(command: Check) -> int:
    body = _read_body(command.file)
    if body is None:
        return operator_client.EXIT_USAGE
    found = manifest_checks.collect_messages(body)
    errors = messages.errors(found)
    lines = [messages.format_line(message) for message in found]
    lines.append(f"{len(errors)} errors, {len(found) - len(errors)} warnings")
    view = CheckView(accepted=not errors, messages=found)
    operator_output.print_result(command.json, view, lines)
    return operator_client.EXIT_REFUSED if errors else operator_client.EXIT_DONE


def _apply(command: Apply) -> int:
    body = _read_body(command.file)
    if body is None:
        return operator_client.EXIT_USAGE
    outcome = operator_client.call(command, "PUT", "/v1/manifest", body)
    if outcome.is_err():
        return operator_output.print_failure(command.json, outcome.err())
    digest = hashlib.sha256(body).hexdigest()
    if command.wait:
        return _status(command, wait=True, wait_s=command.wait_s)
    committed = msgspec.json.decode(outcome.ok().body)
    lines = [f"manifest {committed['number']} is committed, digest {digest}"]
    operator_output.print_result(command.json, committed, lines)
    return operator_client.EXIT_DONE


def _show(command: Show) -> int:
    outcome = operator_client.call(command, "GET", "/v1/manifest")
    if outcome.is_err():
        return operator_output.print_failure(command.json, outcome.err())
    sys.stdout.buffer.write(outcome.ok().body)
    sys.stdout.buffer.flush()
    return operator_client.EXIT_DONE


def _status(
    command: operator_client.Connection,
    wait: bool,
    wait_s: float,
) -> int:
    last = _fetch_view(command)

    def step() -> tuple[bool, str]:
        nonlocal last
        last = _fetch_view(command)
        if last.is_err():
            fatal = last.err().exit_code == operator_client.EXIT_UNAUTHORIZED
            return fatal, last.err().text
        view = last.ok()
        current = sum(host.current for host in view.hosts)
        progress = f"manifest {view.number}: in force on {current}/{len(view.hosts)}"
        return view.in_force_everywhere, f"{progress} hosts"

    if wait:
        operator_output.wait(step, wait_s)
    if last.is_err():
        return operator_output.print_failure(command.json, last.err())
    view = last.ok()
    operator_output.print_result(command.json, view, _lines(view))
    if wait and not view.in_force_everywhere:
        return operator_client.EXIT_NOT_YET
    return operator_client.EXIT_DONE


def _fetch_view(command: operator_client.Connection):
    return operator_hosts.fetch(command).map(status_view)


def status_view(status: directory.Status) -> StatusView:
    """Return where the committed manifest is in force, ignoring ended hosts."""
    hosts = [
        HostView(
            host=host.host,
            number=host.manifest_number,
            current=host.manifest_number == status.manifest_number,
        )
        for host in status.hosts
        if not host.ended
    ]
    return StatusView(
        number=status.manifest_number,
        digest=status.manifest_digest,
        in_force_everywhere=bool(hosts) and all(host.current for host in hosts),
        hosts=hosts,
    )


def _lines(view: StatusView) -> list[str]:
    rows = [[host.host, host.number, _state(host)] for host in view.hosts]
    heading = f"manifest {view.number} is committed, digest {view.digest or '-'}"
    return [heading, *operator_output.table(["host", "number", "state"], rows)]


def _state(host: HostView) -> str:
    return "in force" if host.current else "behind"


def _read_body(path: pathlib.Path) -> bytes | None:
    try:
        if str(path) == "-":
            return sys.stdin.buffer.read(manifest_checks.MAXIMUM_BODY_BYTES + 1)
        return path.read_bytes()
    except OSError as error:
        print(f"the manifest cannot be read: {error}", file=sys.stderr)
        return None
