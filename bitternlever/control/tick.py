"""One tick of a control process: handle messages, run all groups, send messages."""

from typing import Any

from bitternlever.consensus import replica
from bitternlever.control import (
    call_handling,
    leader_tasks,
    outgoing_calls,
    stopping,
    tables as control_tables,
)
from bitternlever.core import ticks
from bitternlever.messages import calls, consensus, directory, frames

CONTROL_PREFIX = "control-"
DISK_EVENTS = (consensus.LogSynced, consensus.SnapshotSynced, consensus.DiskFailed)


def tick(
    tables: control_tables.ControlTables,
    now: float,
    inbox: list[Any],
) -> ticks.Outbox:
    """Handle all messages, run every step once, and return the outgoing messages.

    Only the leader of the directory (group 0) calls the other groups. Any other process
    drops its outgoing calls and changed hosts; a new leader starts with all hosts.
    """
    outbox = ticks.Outbox()
    for message in inbox:
        _receive(tables, now, outbox, message)
    for group in tables.groups.values():
        replica.run(group.replica, now, outbox)
    leader_tasks.run(tables, now, outbox)
    for call in outgoing_calls.due(tables, now, outbox):
        _send_outgoing_call(tables, now, outbox, call)
    for group in tables.groups.values():
        replica.replicate(group.replica, now, outbox)
        replica.flush(group.replica, outbox)
    stopping.run(tables, now, outbox)
    if not _leads_directory(tables):
        tables.directory.changed_hosts.clear()
        tables.outgoing_calls.clear()
    _add_links(tables, outbox)
    return outbox


def _receive(
    tables: control_tables.ControlTables,
    now: float,
    outbox: ticks.Outbox,
    message: Any,
) -> None:
    if isinstance(message, DISK_EVENTS):
        _receive_disk(tables, now, outbox, message)
        return
    if isinstance(message, consensus.StopRequested):
        stopping.request(tables, now)
        return
    if isinstance(message, frames.PeerMessageReceived):
        _receive_peer(tables, now, outbox, message)


def _receive_disk(
    tables: control_tables.ControlTables,
    now: float,
    outbox: ticks.Outbox,
    event: consensus.LogSynced | consensus.SnapshotSynced | consensus.DiskFailed,
) -> None:
    """Pass a disk event to its group; a failed disk concerns all groups."""
    for group in tables.groups.values():
        if group.number == event.group or isinstance(event, consensus.DiskFailed):
            replica.handle_disk_event(group.replica, now, outbox, event)


def _receive_peer(
    tables: control_tables.ControlTables,
    now: float,
    outbox: ticks.Outbox,
    received: frames.PeerMessageReceived,
) -> None:
    message = received.message
    if received.node.startswith(CONTROL_PREFIX):
        tables.links[received.node] = received.link
    if isinstance(message, calls.ControlCall):
        call_handling.handle_call(tables, now, outbox, received)
        return
    if isinstance(message, consensus.Message):
        _receive_consensus(tables, now, outbox, message)
        return
    outgoing_calls.handle_answer(tables, now, outbox, message)


def _receive_consensus(
    tables: control_tables.ControlTables,
    now: float,
    outbox: ticks.Outbox,
    message: consensus.Message,
) -> None:
    group = tables.groups.get(message.group)
    if group is None:
        tables.count("message_for_another_group")
        return
    if isinstance(message, consensus.IdentityRequest | consensus.IdentityReply):
        tables.zones[message.replica.node] = message.zone
    replica.receive(group.replica, now, outbox, message)


def _send_outgoing_call(
    tables: control_tables.ControlTables,
    now: float,
    outbox: ticks.Outbox,
    call: calls.ControlCall,
) -> None:
    """Execute a call here if this process leads its group, otherwise send it."""
    leader = tables.groups[call.group].replica.leader
    if leader is None or leader.node != tables.settings.node:
        outgoing_calls.send(tables, outbox, call)
        return

    def on_answer(at: float, later_outbox: ticks.Outbox, answer: Any) -> None:
        outgoing_calls.handle_answer(tables, at, later_outbox, answer)

    call_handling.execute(tables, now, outbox, call, on_answer)


def _leads_directory(tables: control_tables.ControlTables) -> bool:
    own_replica = tables.groups[directory.GROUP].replica
    return own_replica.leader == own_replica.settings.identity


def _add_links(tables: control_tables.ControlTables, outbox: ticks.Outbox) -> None:
    """Add the link address to messages for known control nodes."""
    for message in outbox.messages:
        if isinstance(message, frames.SendToPeer) and message.link is None:
            message.link = tables.links.get(message.node)
