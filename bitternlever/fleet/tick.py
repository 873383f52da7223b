"""Tick of a fleet's control process: handle messages, run the systems, send output."""

from typing import Any

import result

from bitternlever.catalog import machine
from bitternlever.consensus import commits, handover, reads, replica
from bitternlever.core import ticks
from bitternlever.fleet import feed, members, tables as fleet_tables
from bitternlever.messages import consensus, fleet, frames

STOP_TIMEOUT_S = 1.5
"""A handover takes a round trip and an election; the grace period is far longer."""

DISK_EVENTS = (consensus.LogSynced, consensus.SnapshotSynced, consensus.DiskFailed)


def tick(
    tables: fleet_tables.FleetTables,
    now: float,
    inbox: list[Any],
) -> ticks.Outbox:
    """Handle all messages, run every system once, and return the outgoing messages."""
    outbox = ticks.Outbox()
    for message in inbox:
        _receive(tables, now, outbox, message)
    replica.run(tables.replica, now, outbox)
    members.expire_candidates(tables, now)
    members.run(tables, now, outbox)
    feed.run(tables, now, outbox)
    replica.replicate(tables.replica, now, outbox)
    replica.flush(tables.replica, outbox)
    _check_stop(tables, now, outbox)
    for message in outbox.messages:
        if isinstance(message, frames.SendToPeer) and message.link is None:
            message.link = message.node
    return outbox


def _receive(
    tables: fleet_tables.FleetTables,
    now: float,
    outbox: ticks.Outbox,
    message: Any,
) -> None:
    match message:
        case frames.PeerMessageReceived():
            _receive_peer(tables, now, outbox, message.link, message.message)
        case fleet_tables.UpstreamStatusReceived():
            feed.handle_upstream_status(tables, now, message.status)
        case fleet_tables.PutRequested():
            _put(tables, now, outbox, message)
        case fleet_tables.ZoneOrderRequested():
            _order_zone(tables, now, outbox, message)
        case fleet_tables.ReadRequested():
            _read(tables, now, outbox, message)
        case consensus.StopRequested():
            handover.request(tables.replica)
            tables.stop_at_s = now + STOP_TIMEOUT_S
        case _ if isinstance(message, DISK_EVENTS):
            replica.handle_disk_event(tables.replica, now, outbox, message)


def _receive_peer(
    tables: fleet_tables.FleetTables,
    now: float,
    outbox: ticks.Outbox,
    link: str,
    message: Any,
) -> None:
    match message:
        case fleet.HostHeartbeat():
            feed.handle_host_heartbeat(tables, now, outbox, message)
        case fleet.StreamBegun():
            feed.handle_stream_begun(tables, now, outbox, link, message)
        case fleet.StreamOriginRequested():
            feed.handle_stream_origin_requested(tables, now, outbox, link, message)
        case fleet.JoinRequest():
            members.join_requested(tables, now, outbox, message)
        case _ if isinstance(message, consensus.Message):
            replica.receive(tables.replica, now, outbox, message)


def _put(
    tables: fleet_tables.FleetTables,
    now: float,
    outbox: ticks.Outbox,
    request: fleet_tables.PutRequested,
) -> None:
    command = machine.PutCatalog(version=request.version, body=request.body)
    _propose(tables, outbox, request.call_id, command)


def _order_zone(
    tables: fleet_tables.FleetTables,
    now: float,
    outbox: ticks.Outbox,
    request: fleet_tables.ZoneOrderRequested,
) -> None:
    """Commit an order about a zone; it waits for the first catalog.

    Control processes of version 0.10 would take the entry for the first catalog.
    """
    if reads.ready(tables.replica) and tables.catalog.version is None:
        outbox.send(fleet_tables.NotLeader(request.call_id, leader=None))
        return
    command = machine.order_zone(request.zone, evacuated=request.evacuated)
    _propose(tables, outbox, request.call_id, command)


def _propose(
    tables: fleet_tables.FleetTables,
    outbox: ticks.Outbox,
    call_id: int,
    command: machine.PutCatalog,
) -> None:
    """Propose a command if this process leads; the outcome is sent later."""
    local_replica = tables.replica
    fits = commits.has_room(local_replica, len(command.body))
    if not reads.ready(local_replica) or local_replica.stopping or not fits:
        outbox.send(_not_leader(tables, call_id))
        return

    def on_outcome(
        at: float, reply_outbox: ticks.Outbox, outcome: result.Result
    ) -> None:
        if outcome.is_err():
            reply_outbox.send(fleet_tables.NotLeader(call_id, leader=None))
            return
        reply_outbox.send(fleet_tables.Completed(call_id, version=outcome.ok().version))

    data = machine.encode_command(command)
    commits.propose(local_replica, consensus.EntryKind.COMMAND, data, on_outcome)


def _read(
    tables: fleet_tables.FleetTables,
    now: float,
    outbox: ticks.Outbox,
    request: fleet_tables.ReadRequested,
) -> None:
    if not reads.ready(tables.replica):
        outbox.send(_not_leader(tables, request.call_id))
        return

    def on_read(at: float, reply_outbox: ticks.Outbox, current: bool) -> None:
        if not current:
            reply_outbox.send(fleet_tables.NotLeader(request.call_id, leader=None))
            return
        catalog = tables.catalog
        reply_outbox.send(
            fleet_tables.Completed(request.call_id, catalog.version, catalog.body)
        )

    if not reads.read(tables.replica, now, outbox, on_read):
        outbox.send(fleet_tables.NotLeader(request.call_id, leader=None))


def _not_leader(
    tables: fleet_tables.FleetTables,
    call_id: int,
) -> fleet_tables.NotLeader:
    leader = tables.replica.leader
    if leader is None or leader.node == tables.settings.link:
        return fleet_tables.NotLeader(call_id, leader=None)
    return fleet_tables.NotLeader(call_id, leader=leader.node)


def _check_stop(
    tables: fleet_tables.FleetTables, now: float, outbox: ticks.Outbox
) -> None:
    if tables.stop_at_s is None:
        return
    if not fleet_tables.is_leader(tables) or now >= tables.stop_at_s:
        outbox.send(consensus.Stopped())
        return
    outbox.wake(tables.stop_at_s)
