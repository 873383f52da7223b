"""``bitternlever hosts``: show entry hosts and the replicas of control processes."""

import dataclasses

import cappa
import msgspec

from bitternlever.commands import operator_client, operator_output
from bitternlever.messages import directory


@cappa.command(
    name="hosts",
    help="Show the entry hosts with their leases, and the control replicas.",
)
@dataclasses.dataclass
class Hosts(operator_client.Connection):
    """Options of ``hosts``."""


class StatusAnswer(msgspec.Struct):
    """The part of the answer of ``GET /v1/status`` that the tool reads."""

    directory: directory.Status


def run(command: Hosts) -> int:
    """Print the status of the directory."""
    outcome = fetch(command)
    if outcome.is_err():
        return operator_output.print_failure(command.json, outcome.err())
    status = outcome.ok()
    operator_output.print_result(command.json, status, _lines(status))
    return operator_client.EXIT_DONE


def fetch(command: operator_client.Connection):
    """Return the status of the directory, or the failure of the call."""
    outcome = operator_client.call(command, "GET", "/v1/status")
    return outcome.map(
        lambda answer: msgspec.json.decode(answer.body, type=StatusAnswer).directory,
    )


def _state(host: directory.HostStatus) -> str:
    if host.ended:
        return "ended"
    if host.lease_left_s <= 0:
        return "no lease"
    return "draining" if host.draining else "serving"


def _lag(replica: directory.ReplicaStatus) -> str:
    """Return the lag as text, or a dash: only the leader of a group knows the lag."""
    return str(replica.lag) if replica.lag >= 0 else "-"


def _lines(status: directory.Status) -> list[str]:
    hosts = [
        [
            host.host,
            host.zone,
            host.address,
            host.epoch,
            f"{host.lease_left_s:.1f}s",
            host.manifest_number,
            _state(host),
        ]
        for host in status.hosts
    ]
    replicas = [
        [
            replica.node,
            replica.disk,
            replica.group,
            replica.zone,
            replica.role,
            _lag(replica),
        ]
        for replica in status.replicas
    ]
    host_headings = ["host", "zone", "address", "epoch", "lease", "manifest", "state"]
    replica_headings = ["node", "disk", "group", "zone", "role", "lag"]
    return [
        *operator_output.table(host_headings, hosts),
        "",
        *operator_output.table(replica_headings, replicas),
        "",
        f"directory leader: {status.leader or 'none'}",
        *(f"warning: {warning}" for warning in status.warnings),
    ]
