"""Calls to the groups: led here, they are proposed or read; else redirected."""

from typing import Any

from bitternlever.consensus import (
    commits,
    reads,
    replacement,
    tables as consensus_tables,
)
from bitternlever.control import (
    leader_tasks,
    machines,
    status,
    tables as control_tables,
)
from bitternlever.core import ticks
from bitternlever.directory import leader
from bitternlever.messages import calls, consensus, directory, frames, journal

NOT_READY_S = 0.05
BUSY_S = 0.2
ENTRY_PREFIX = "entry-"
LEADER_COMMANDS = (
    directory.ExpireHostLease,
    directory.GrantOrderLease,
    journal.ExpireRequests,
)
CONTROL_COMMANDS = (journal.FenceHost,)
FROM_MEMORY = (
    directory.RenewHostLease,
    directory.AcquireOrderLease,
    directory.GetStatus,
)


def receive(
    tables: control_tables.ControlTables,
    now: float,
    outbox: ticks.Outbox,
    received: frames.PeerReceived,
) -> None:
    """Take a call of another process and send its answer back, now or later."""
    call = received.message
    if not _allowed(received.node, call.command):
        tables.count("call_not_allowed")
        return

    def on_answer(at: float, later: ticks.Outbox, answer: Any) -> None:
        later.send(
            frames.SendPeer(node=received.node, message=answer, link=received.link),
        )

    submit(tables, now, outbox, call, on_answer)


def submit(
    tables: control_tables.ControlTables,
    now: float,
    outbox: ticks.Outbox,
    call: calls.ControlCall,
    on_answer: control_tables.OnAnswer,
) -> None:
    """Execute a call where this process leads its group."""
    group = tables.groups.get(call.group)
    if group is None or not _accepts(group, call.command):
        tables.count("call_for_another_group")
        return
    replica = group.replica
    if replica.role is not consensus_tables.Role.LEADER:
        on_answer(now, outbox, _redirect(call, replica))
        return
    if not reads.ready(replica):
        on_answer(now, outbox, _busy(call, NOT_READY_S))
        return
    command = call.command
    if replica.stopping and isinstance(command, directory.ReplaceReplica):
        on_answer(now, outbox, _busy(call, NOT_READY_S))
        return
    if isinstance(command, group.machine.reads):
        _read(group, now, outbox, call, on_answer)
    elif isinstance(command, directory.ReplaceReplica):
        reply = replace(tables, group, now, outbox, command)
        on_answer(now, outbox, _reply(call, reply))
    elif isinstance(command, FROM_MEMORY):
        _lead_directory(tables, group, now, outbox, call, on_answer)
    else:
        _propose(tables, group, now, outbox, call, on_answer)


def _accepts(group: control_tables.Group, command: calls.Command) -> bool:
    if isinstance(command, directory.ReplaceReplica):
        return True
    return group.machine.accepts(command)


def _allowed(node: str, command: calls.Command) -> bool:
    if isinstance(command, LEADER_COMMANDS):
        return False
    return not (isinstance(command, CONTROL_COMMANDS) and node.startswith(ENTRY_PREFIX))


def _propose(
    tables: control_tables.ControlTables,
    group: control_tables.Group,
    now: float,
    outbox: ticks.Outbox,
    call: calls.ControlCall,
    on_answer: control_tables.OnAnswer,
    command: calls.Command | None = None,
) -> None:
    command = command or call.command
    if group.replica.stopping:
        on_answer(now, outbox, _busy(call, NOT_READY_S))
        return
    data = machines.encode_command(command)
    if not commits.has_room(group.replica, len(data)):
        on_answer(now, outbox, _busy(call, BUSY_S))
        return
    if isinstance(command, directory.AcquireHostLease):
        leader_tasks.hold_lease(tables, now, command.host)

    def on_outcome(at: float, later: ticks.Outbox, outcome: Any) -> None:
        if outcome.is_err():
            uncertain = calls.ControlUncertain(call_id=call.call_id, group=call.group)
            on_answer(at, later, uncertain)
            return
        _start_timers(tables, at, command)
        on_answer(at, later, _reply(call, outcome.ok()))

    commits.propose(
        group.replica,
        consensus.EntryKind.COMMAND,
        data,
        on_outcome,
    )


def _start_timers(
    tables: control_tables.ControlTables,
    now: float,
    command: calls.Command,
) -> None:
    """Count a lease from its commit."""
    match command:
        case directory.AcquireHostLease():
            leader.acquired(tables.directory, tables.memory, now, command)
        case directory.GrantOrderLease():
            leader.order_granted(tables.directory, tables.memory, now)


def _read(
    group: control_tables.Group,
    now: float,
    outbox: ticks.Outbox,
    call: calls.ControlCall,
    on_answer: control_tables.OnAnswer,
) -> None:
    def on_read(at: float, later: ticks.Outbox, current: bool) -> None:
        if not current:
            on_answer(at, later, _redirect(call, group.replica))
            return
        on_answer(at, later, _reply(call, group.machine.read(call.command)))

    if not reads.read(group.replica, now, outbox, on_read):
        on_answer(now, outbox, _busy(call, BUSY_S))


def _lead_directory(
    tables: control_tables.ControlTables,
    group: control_tables.Group,
    now: float,
    outbox: ticks.Outbox,
    call: calls.ControlCall,
    on_answer: control_tables.OnAnswer,
) -> None:
    """Answer from the leader's memory, under its valid lease alone."""

    def on_read(at: float, later: ticks.Outbox, current: bool) -> None:
        if not current:
            on_answer(at, later, _redirect(call, group.replica))
            return
        if not reads.lease_valid(group.replica, at):
            on_answer(at, later, _busy(call, NOT_READY_S))
            return
        leader_tasks.enter(tables, at)
        reply = _from_memory(tables, at, call.command)
        if isinstance(reply, directory.GrantOrderLease):
            _propose(tables, group, at, later, call, on_answer, reply)
            return
        on_answer(at, later, _reply(call, reply))

    if not reads.read(group.replica, now, outbox, on_read):
        on_answer(now, outbox, _busy(call, BUSY_S))


def _from_memory(
    tables: control_tables.ControlTables,
    now: float,
    command: directory.Command,
) -> directory.Reply | directory.GrantOrderLease:
    match command:
        case directory.RenewHostLease():
            return leader.renew(tables.directory, tables.memory, now, command)
        case directory.AcquireOrderLease():
            return leader.order_lease(tables.directory, tables.memory, now, command)
        case _:
            return status.read(tables, now)


def replace(
    tables: control_tables.ControlTables,
    group: control_tables.Group,
    now: float,
    outbox: ticks.Outbox,
    command: directory.ReplaceReplica,
) -> directory.Reply:
    """Go on with a replacement in this group, and from group 0 in all others."""
    outcome = replacement.request(
        group.replica,
        now,
        outbox,
        consensus.ReplicaId(node=command.old_node, disk=command.old_disk),
        command.new_node,
    )
    own = outcome.ok() if outcome.is_ok() else outcome.err()
    if group.number != directory.GROUP or outcome.is_err():
        return own
    return leader_tasks.replace_elsewhere(tables, now, outbox, command, own)


def _reply(call: calls.ControlCall, reply: calls.Reply) -> calls.ControlReply:
    return calls.ControlReply(call_id=call.call_id, group=call.group, reply=reply)


def _busy(call: calls.ControlCall, retry_after_s: float) -> calls.ControlBusy:
    return calls.ControlBusy(
        call_id=call.call_id,
        group=call.group,
        retry_after_s=retry_after_s,
    )


def _redirect(
    call: calls.ControlCall,
    replica: consensus_tables.Replica,
) -> calls.ControlRedirect:
    known = replica.leader is not None and replica.leader != replica.settings.identity
    return calls.ControlRedirect(
        call_id=call.call_id,
        group=call.group,
        leader=replica.leader.node if known else None,
    )
