"""What the leaders do each tick: expire leases, fence epochs, send hints."""

import functools
from typing import Any

from bitternlever.consensus import commits, reads
from bitternlever.control import machines, outgoing_calls, tables as control_tables
from bitternlever.core import ticks
from bitternlever.directory import leader, state as directory_state
from bitternlever.messages import calls, consensus, directory, frames, journal

MAXIMUM_REPLACEMENTS = 256
STEPS = ("waiting", "learner", "voter", "done")


def run(
    tables: control_tables.ControlTables,
    now: float,
    outbox: ticks.Outbox,
) -> None:
    """Run the leader's duties of every group that this process leads."""
    for group in tables.groups.values():
        if group.replica.stopping or not reads.ready(group.replica):
            continue
        propose = functools.partial(_propose, group)
        hint = functools.partial(_hint, tables, outbox)
        if group.number == directory.GROUP:
            _lead_directory(tables, now, outbox, propose, hint)
        group.machine.lead(now, outbox, propose, hint)


def enter(tables: control_tables.ControlTables, now: float) -> None:
    """Begin a new office of group 0, once for each term."""
    group = tables.groups[directory.GROUP]
    if group.office_term == group.replica.term:
        return
    group.office_term = group.replica.term
    tables.memory = leader.take_office(tables.directory, now)
    tables.directory.changed_hosts = set(tables.directory.state.hosts)
    tables.fences.clear()
    tables.replacements.clear()


def hold_lease(tables: control_tables.ControlTables, now: float, host: str) -> None:
    """Keep a lease from expiring while its owner takes it again."""
    timer = tables.memory.hosts.get(host)
    if timer is not None:
        timer.expires_s = now + tables.settings.host_lease_s


def replace_elsewhere(
    tables: control_tables.ControlTables,
    now: float,
    outbox: ticks.Outbox,
    command: directory.ReplaceReplica,
    own: directory.ReplaceProgress,
) -> directory.Reply:
    """Ask all other groups for the same replacement; return the least advanced."""
    if len(tables.replacements) >= MAXIMUM_REPLACEMENTS:
        tables.replacements.clear()
    least: directory.Reply = own
    for number in tables.groups:
        if number == directory.GROUP:
            continue
        key = (number, command)
        known = tables.replacements.get(key)
        least = _less_advanced(least, known)

        def on_reply(
            at: float,
            later: ticks.Outbox,
            reply: calls.Reply,
            key: tuple[int, directory.ReplaceReplica] = key,
        ) -> None:
            tables.replacements[key] = reply

        if not outgoing_calls.waiting(tables, number, command):
            outgoing_calls.call(tables, now, outbox, number, command, on_reply)
    return least


def _less_advanced(
    one: directory.Reply,
    other: directory.Reply | None,
) -> directory.Reply:
    if isinstance(one, directory.ReplaceRefused):
        return one
    if other is None:
        return directory.ReplaceProgress(
            step=STEPS[0],
            detail="other groups have not answered yet",
        )
    if isinstance(other, directory.ReplaceRefused):
        return other
    return min(one, other, key=lambda progress: STEPS.index(progress.step))


def _lead_directory(
    tables: control_tables.ControlTables,
    now: float,
    outbox: ticks.Outbox,
    propose: machines.Propose,
    hint: machines.Hint,
) -> None:
    enter(tables, now)
    memory = tables.memory
    state = tables.directory.state
    for command in leader.due(tables.directory, memory, now):
        propose(command)
    outbox.wake(memory.next_scan_s)
    if state.number > memory.announced_number:
        memory.announced_number = state.number
        hint(calls.ManifestChanged(number=state.number, digest=state.digest))
    _fence(tables, now, outbox)


def _fence(
    tables: control_tables.ControlTables,
    now: float,
    outbox: ticks.Outbox,
) -> None:
    """Have every changed epoch fenced in each journal group."""
    directory_tables = tables.directory
    while directory_tables.changed_hosts and outgoing_calls.has_room(tables):
        name = directory_tables.changed_hosts.pop()
        host = directory_tables.state.hosts.get(name)
        if host is None:
            continue
        epoch = directory_state.fence_epoch(host)
        for number in tables.groups:
            if number != directory.GROUP:
                _fence_in(tables, now, outbox, number, name, epoch)


def _fence_in(
    tables: control_tables.ControlTables,
    now: float,
    outbox: ticks.Outbox,
    number: int,
    host: str,
    epoch: int,
) -> None:
    tables.fences[(number, host)] = epoch

    def on_reply(at: float, later: ticks.Outbox, reply: calls.Reply) -> None:
        if tables.fences.get((number, host)) == epoch:
            del tables.fences[(number, host)]

    command = journal.FenceHost(host=host, epoch=epoch)
    outgoing_calls.call(tables, now, outbox, number, command, on_reply)


def _propose(group: control_tables.Group, command: calls.Command) -> None:
    data = machines.encode_command(command)
    commits.propose(group.replica, consensus.EntryKind.COMMAND, data)


def _hint(
    tables: control_tables.ControlTables,
    outbox: ticks.Outbox,
    message: Any,
) -> None:
    for host in directory_state.live_hosts(tables.directory):
        outbox.send(
            frames.SendPeer(
                node=f"entry-{host.host}",
                message=message,
                link=host.link,
            ),
        )
