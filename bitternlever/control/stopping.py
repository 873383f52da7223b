"""Graceful shutdown: hand over the led groups, then let the shell end the process."""

from bitternlever.consensus import handover, tables as consensus_tables
from bitternlever.control import tables as control_tables
from bitternlever.core import ticks
from bitternlever.messages import consensus

MAXIMUM_HANDOVER_S = 1.0


def request(tables: control_tables.ControlTables, now: float) -> None:
    """Start to stop; a second request has no effect."""
    if tables.stop_at_s is not None:
        return
    tables.stop_at_s = now + MAXIMUM_HANDOVER_S
    for group in tables.groups.values():
        handover.request(group.replica)


def run(
    tables: control_tables.ControlTables,
    now: float,
    outbox: ticks.Outbox,
) -> None:
    """Make the shell end the process once every group it led has another leader.

    The process waits until it has heard from each new leader, so that its own vote has
    been sent and its callers are redirected, but no longer than ``MAXIMUM_HANDOVER_S``.
    """
    if tables.stop_at_s is None:
        return
    outbox.wake(tables.stop_at_s)
    for group in tables.groups.values():
        if group.replica.role is consensus_tables.Role.LEADER:
            tables.handed_over_groups.add(group.number)
    if now >= tables.stop_at_s or not any(
        _next_leader_missing(group.replica)
        for group in tables.groups.values()
        if group.number in tables.handed_over_groups
    ):
        outbox.send(consensus.Stopped())


def _next_leader_missing(replica: consensus_tables.Replica) -> bool:
    if replica.disk.failed is not None:
        return False
    if replica.role is consensus_tables.Role.LEADER:
        return True
    return replica.leader is None
