"""One tick of a fleet's control process: messages in, decisions, messages out."""

from typing import Any

import result

from bitternlever.catalog import machine
from bitternlever.consensus import commits, handover, reads, replica
from bitternlever.core import ticks
from bitternlever.fleet import feed, members, tables as fleet_tables
from bitternlever.messages import consensus, fleet, frames

STOP_WITHIN_S = 1.5
"""A handover takes one round trip and an election; the grace period is far longer."""

DISK_EVENTS = (consensus.LogSynced, consensus.SnapshotSynced, consensus.DiskFailed)


def tick(
    tables: fleet_tables.FleetTables,
    now: float,
    inbox: list[Any],
) -> ticks.Outbox:
    """Take all messages, run every system once, and return what leaves."""
    outbox = ticks.Outbox()
    for message in inbox:
        _receive(tables, now, outbox, message)
    replica.run(tables.replica, now, outbox)
    members.forget_candidates(tables, now)
    members.run(tables, now, outbox)
    feed.run(tables, now, outbox)
    replica.replicate(tables.replica, now, outbox)
    replica.flush(tables.replica, outbox)
    _stop(tables, now, outbox)
    for message in outbox.messages:
        if isinstance(message, frames.SendPeer) and message.link is None:
            message.link = message.node
    return outbox


def _receive(
    tables: fleet_tables.FleetTables,
    now: float,
    outbox: ticks.Outbox,
    message: Any,
) -> None:
    match message:
        case frames.PeerReceived():
            _receive_peer(tables, now, outbox, message.message)
        case fleet_tables.UpstreamHeard():
            feed.upstream_heard(tables, now, message.word)
        case fleet_tables.PutRequested():
            _put(tables, now, outbox, message)
        case fleet_tables.ReadRequested():
            _read(tables, now, outbox, message)
        case consensus.StopRequested():
            handover.request(tables.replica)
            tables.stop_at_s = now + STOP_WITHIN_S
        case _ if isinstance(message, DISK_EVENTS):
            replica.disk_event(tables.replica, now, outbox, message)


def _receive_peer(
    tables: fleet_tables.FleetTables,
    now: float,
    outbox: ticks.Outbox,
    message: Any,
) -> None:
    match message:
        case fleet.HostBeat():
            feed.host_beat(tables, now, outbox, message)
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
    own = tables.replica
    room = commits.has_room(own, len(request.body))
    if not reads.ready(own) or own.stopping or not room:
        outbox.send(_elsewhere(tables, request.token))
        return

    def on_outcome(at: float, later: ticks.Outbox, outcome: result.Result) -> None:
        if outcome.is_err():
            later.send(fleet_tables.Elsewhere(request.token, leader=None))
            return
        later.send(fleet_tables.Done(request.token, version=outcome.ok().version))

    command = machine.PutCatalog(version=request.version, body=request.body)
    data = machine.encode_command(command)
    commits.propose(own, consensus.EntryKind.COMMAND, data, on_outcome)


def _read(
    tables: fleet_tables.FleetTables,
    now: float,
    outbox: ticks.Outbox,
    request: fleet_tables.ReadRequested,
) -> None:
    if not reads.ready(tables.replica):
        outbox.send(_elsewhere(tables, request.token))
        return

    def on_read(at: float, later: ticks.Outbox, current: bool) -> None:
        if not current:
            later.send(fleet_tables.Elsewhere(request.token, leader=None))
            return
        held = tables.held
        later.send(fleet_tables.Done(request.token, held.version, held.body))

    if not reads.read(tables.replica, now, outbox, on_read):
        outbox.send(fleet_tables.Elsewhere(request.token, leader=None))


def _elsewhere(
    tables: fleet_tables.FleetTables,
    token: int,
) -> fleet_tables.Elsewhere:
    leader = tables.replica.leader
    if leader is None or leader.node == tables.settings.link:
        return fleet_tables.Elsewhere(token, leader=None)
    return fleet_tables.Elsewhere(token, leader=leader.node)


def _stop(tables: fleet_tables.FleetTables, now: float, outbox: ticks.Outbox) -> None:
    if tables.stop_at_s is None:
        return
    if not fleet_tables.leads(tables) or now >= tables.stop_at_s:
        outbox.send(consensus.Stopped())
        return
    outbox.wake(tables.stop_at_s)
