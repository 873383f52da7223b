"""Handling of calls to groups: proposed or read as leader, otherwise redirected."""

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

NOT_READY_RETRY_S = 0.05
BUSY_RETRY_S = 0.2
ENTRY_PREFIX = "entry-"
LEADER_ONLY_COMMANDS = (
    directory.ExpireHostLease,
    directory.GrantOrderLease,
    journal.ExpireRequests,
)
CONTROL_ONLY_COMMANDS = (journal.FenceHost,)
LEADER_STATE_COMMANDS = (
    directory.RenewHostLease,
    directory.AcquireOrderLease,
    directory.GetStatus,
)


def handle_call(
    tables: control_tables.ControlTables,
    now: float,
    outbox: ticks.Outbox,
    received: frames.PeerMessageReceived,
) -> None:
    """Handle a call from another process; its answer is sent now or in a later tick."""
    call = received.message
    if not _is_allowed(received.node, call.command):
        tables.count("call_not_allowed")
        return

    def on_answer(at: float, later_outbox: ticks.Outbox, answer: Any) -> None:
        later_outbox.send(
            frames.SendToPeer(node=received.node, message=answer, link=received.link),
        )

    execute(tables, now, outbox, call, on_answer)


def execute(
    tables: control_tables.ControlTables,
    now: float,
    outbox: ticks.Outbox,
    call: calls.ControlCall,
    on_answer: control_tables.OnAnswer,
) -> None:
    """Execute a call if this process leads its group, otherwise redirect the caller."""
    group = tables.groups.get(call.group)
    if group is None or not _accepts(group, call.command):
        tables.count("call_for_another_group")
        return
    replica = group.replica
    if replica.role is not consensus_tables.Role.LEADER:
        on_answer(now, outbox, _redirect(call, replica))
        return
    if not reads.ready(replica):
        on_answer(now, outbox, _busy(call, NOT_READY_RETRY_S))
        return
    command = call.command
    if replica.stopping and isinstance(command, directory.ReplaceReplica):
        on_answer(now, outbox, _busy(call, NOT_READY_RETRY_S))
        return
    if isinstance(command, group.machine.read_commands):
        _read(group, now, outbox, call, on_answer)
    elif isinstance(command, directory.ReplaceReplica):
        reply = request_replacement(tables, group, now, outbox, command)
        on_answer(now, outbox, _reply(call, reply))
    elif isinstance(command, LEADER_STATE_COMMANDS):
        _read_leader_state(tables, group, now, outbox, call, on_answer)
    else:
        _propose(tables, group, now, outbox, call, on_answer)


def _accepts(group: control_tables.Group, command: calls.Command) -> bool:
    if isinstance(command, directory.ReplaceReplica):
        return True
    return group.machine.accepts(command)


def _is_allowed(node: str, command: calls.Command) -> bool:
    if isinstance(command, LEADER_ONLY_COMMANDS):
        return False
    return not (
        isinstance(command, CONTROL_ONLY_COMMANDS) and node.startswith(ENTRY_PREFIX)
    )


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
        on_answer(now, outbox, _busy(call, NOT_READY_RETRY_S))
        return
    data = machines.encode_command(command)
    if not commits.has_room(group.replica, len(data)):
        on_answer(now, outbox, _busy(call, BUSY_RETRY_S))
        return
    if isinstance(command, directory.AcquireHostLease):
        leader_tasks.extend_host_lease(tables, now, command.host)

    def on_outcome(at: float, later_outbox: ticks.Outbox, outcome: Any) -> None:
        if outcome.is_err():
            uncertain = calls.ControlUncertain(call_id=call.call_id, group=call.group)
            on_answer(at, later_outbox, uncertain)
            return
        _start_timers(tables, at, command)
        on_answer(at, later_outbox, _reply(call, outcome.ok()))

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
    """Start the timer of a granted lease once its grant is committed."""
    match command:
        case directory.AcquireHostLease():
            leader.start_host_lease(
                tables.directory,
                tables.directory_leader_state,
                now,
                command,
            )
        case directory.GrantOrderLease():
            leader.start_order_lease(
                tables.directory, tables.directory_leader_state, now
            )


def _read(
    group: control_tables.Group,
    now: float,
    outbox: ticks.Outbox,
    call: calls.ControlCall,
    on_answer: control_tables.OnAnswer,
) -> None:
    def on_read(at: float, later_outbox: ticks.Outbox, current: bool) -> None:
        if not current:
            on_answer(at, later_outbox, _redirect(call, group.replica))
            return
        on_answer(at, later_outbox, _reply(call, group.machine.read(call.command)))

    if not reads.read(group.replica, now, outbox, on_read):
        on_answer(now, outbox, _busy(call, BUSY_RETRY_S))


def _read_leader_state(
    tables: control_tables.ControlTables,
    group: control_tables.Group,
    now: float,
    outbox: ticks.Outbox,
    call: calls.ControlCall,
    on_answer: control_tables.OnAnswer,
) -> None:
    """Answer from the directory leader's state, only while its lease is valid."""

    def on_read(at: float, later_outbox: ticks.Outbox, current: bool) -> None:
        if not current:
            on_answer(at, later_outbox, _redirect(call, group.replica))
            return
        if not reads.lease_valid(group.replica, at):
            on_answer(at, later_outbox, _busy(call, NOT_READY_RETRY_S))
            return
        leader_tasks.begin_term(tables, at)
        reply = _leader_state_reply(tables, at, call.command)
        if isinstance(reply, directory.GrantOrderLease):
            _propose(tables, group, at, later_outbox, call, on_answer, reply)
            return
        on_answer(at, later_outbox, _reply(call, reply))

    if not reads.read(group.replica, now, outbox, on_read):
        on_answer(now, outbox, _busy(call, BUSY_RETRY_S))


def _leader_state_reply(
    tables: control_tables.ControlTables,
    now: float,
    command: directory.Command,
) -> directory.Reply | directory.GrantOrderLease:
    match command:
        case directory.RenewHostLease():
            return leader.renew_host_lease(
                tables.directory,
                tables.directory_leader_state,
                now,
                command,
            )
        case directory.AcquireOrderLease():
            return leader.acquire_order_lease(
                tables.directory,
                tables.directory_leader_state,
                now,
                command,
            )
        case _:
            return status.read(tables, now)


def request_replacement(
    tables: control_tables.ControlTables,
    group: control_tables.Group,
    now: float,
    outbox: ticks.Outbox,
    command: directory.ReplaceReplica,
) -> directory.Reply:
    """Start or continue a replacement in this group, and from group 0 in all others."""
    outcome = replacement.request(
        group.replica,
        now,
        outbox,
        consensus.ReplicaId(node=command.old_node, disk=command.old_disk),
        command.new_node,
    )
    own_reply = outcome.ok() if outcome.is_ok() else outcome.err()
    if group.number != directory.GROUP or outcome.is_err():
        return own_reply
    return leader_tasks.replace_in_other_groups(tables, now, outbox, command, own_reply)


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
    has_other_leader = (
        replica.leader is not None and replica.leader != replica.settings.identity
    )
    return calls.ControlRedirect(
        call_id=call.call_id,
        group=call.group,
        leader=replica.leader.node if has_other_leader else None,
    )
