"""Tasks of group leaders in each tick: expire leases, fence epochs, send hints."""

import functools
from typing import Any

from bitternlever.consensus import commits, reads
from bitternlever.control import machines, outgoing_calls, tables as control_tables
from bitternlever.core import ticks
from bitternlever.directory import leader, state as directory_state
from bitternlever.messages import calls, consensus, directory, frames, journal

MAXIMUM_REPLACEMENTS = 256
REPLACEMENT_STEPS = ("waiting", "learner", "voter", "done")


def run(
    tables: control_tables.ControlTables,
    now: float,
    outbox: ticks.Outbox,
) -> None:
    """Run the leader's tasks of every group that this process leads."""
    for group in tables.groups.values():
        if group.replica.stopping or not reads.ready(group.replica):
            continue
        propose = functools.partial(_propose, group)
        send_hint = functools.partial(_broadcast_hint, tables, outbox)
        if group.number == directory.GROUP:
            _run_directory_tasks(tables, now, outbox, propose, send_hint)
        group.machine.run_leader(now, outbox, propose, send_hint)


def begin_term(tables: control_tables.ControlTables, now: float) -> None:
    """Reset the state of group 0's leader, once in each term that it leads."""
    group = tables.groups[directory.GROUP]
    if group.last_led_term == group.replica.term:
        return
    group.last_led_term = group.replica.term
    tables.directory_leader_state = leader.become_leader(tables.directory, now)
    tables.directory.changed_hosts = set(tables.directory.state.hosts)
    tables.pending_fences.clear()
    tables.replacement_replies.clear()


def extend_host_lease(
    tables: control_tables.ControlTables,
    now: float,
    host: str,
) -> None:
    """Keep a host's lease from expiring while its acquisition is being committed."""
    timer = tables.directory_leader_state.hosts.get(host)
    if timer is not None:
        timer.expires_s = now + tables.settings.host_lease_s


def replace_in_other_groups(
    tables: control_tables.ControlTables,
    now: float,
    outbox: ticks.Outbox,
    command: directory.ReplaceReplica,
    own_progress: directory.ReplaceProgress,
) -> directory.Reply:
    """Request the same replacement from all other groups.

    Return the reply of the group that is least advanced.
    """
    if len(tables.replacement_replies) >= MAXIMUM_REPLACEMENTS:
        tables.replacement_replies.clear()
    least_advanced: directory.Reply = own_progress
    for number in tables.groups:
        if number == directory.GROUP:
            continue
        key = (number, command)
        other_reply = tables.replacement_replies.get(key)
        least_advanced = _less_advanced(least_advanced, other_reply)

        def on_reply(
            at: float,
            later_outbox: ticks.Outbox,
            reply: calls.Reply,
            key: tuple[int, directory.ReplaceReplica] = key,
        ) -> None:
            tables.replacement_replies[key] = reply

        if not outgoing_calls.is_waiting(tables, number, command):
            outgoing_calls.call(tables, now, outbox, number, command, on_reply)
    return least_advanced


def _less_advanced(
    one: directory.Reply,
    other: directory.Reply | None,
) -> directory.Reply:
    if isinstance(one, directory.ReplaceRefused):
        return one
    if other is None:
        return directory.ReplaceProgress(
            step=REPLACEMENT_STEPS[0],
            detail="other groups have not answered yet",
        )
    if isinstance(other, directory.ReplaceRefused):
        return other
    return min(one, other, key=lambda progress: REPLACEMENT_STEPS.index(progress.step))


def _run_directory_tasks(
    tables: control_tables.ControlTables,
    now: float,
    outbox: ticks.Outbox,
    propose: machines.Propose,
    send_hint: machines.SendHint,
) -> None:
    begin_term(tables, now)
    leader_state = tables.directory_leader_state
    state = tables.directory.state
    for command in leader.expired_host_leases(tables.directory, leader_state, now):
        propose(command)
    outbox.wake(leader_state.next_scan_s)
    if state.number > leader_state.announced_number:
        leader_state.announced_number = state.number
        send_hint(calls.ManifestChanged(number=state.number, digest=state.digest))
    _fence_changed_epochs(tables, now, outbox)


def _fence_changed_epochs(
    tables: control_tables.ControlTables,
    now: float,
    outbox: ticks.Outbox,
) -> None:
    """Fence every changed host epoch in each journal group."""
    directory_tables = tables.directory
    while directory_tables.changed_hosts and outgoing_calls.has_room(tables):
        name = directory_tables.changed_hosts.pop()
        host = directory_tables.state.hosts.get(name)
        if host is None:
            continue
        epoch = directory_state.fence_epoch(host)
        for number in tables.groups:
            if number != directory.GROUP:
                _fence_in_group(tables, now, outbox, number, name, epoch)


def _fence_in_group(
    tables: control_tables.ControlTables,
    now: float,
    outbox: ticks.Outbox,
    number: int,
    host: str,
    epoch: int,
) -> None:
    tables.pending_fences[(number, host)] = epoch

    def on_reply(at: float, later_outbox: ticks.Outbox, reply: calls.Reply) -> None:
        if tables.pending_fences.get((number, host)) == epoch:
            del tables.pending_fences[(number, host)]

    command = journal.FenceHost(host=host, epoch=epoch)
    outgoing_calls.call(tables, now, outbox, number, command, on_reply)


def _propose(group: control_tables.Group, command: calls.Command) -> None:
    data = machines.encode_command(command)
    commits.propose(group.replica, consensus.EntryKind.COMMAND, data)


def _broadcast_hint(
    tables: control_tables.ControlTables,
    outbox: ticks.Outbox,
    message: Any,
) -> None:
    for host in directory_state.live_hosts(tables.directory):
        outbox.send(
            frames.SendToPeer(
                node=f"entry-{host.host}",
                message=message,
                link=host.link,
            ),
        )
