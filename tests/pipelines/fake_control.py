"""A fake control process that commits at once and never loses state."""

import dataclasses
from typing import Any

from bitternlever.core import ticks
from bitternlever.directory import leader as directory_leader, state as directory_state
from bitternlever.journal import machine, tables as journal_tables
from bitternlever.messages import calls, directory, frames, journal

HOST_LEASE_S = 3.0
HINT_INTERVAL_S = 0.2
READS = {
    directory.GetManifest: directory_state.manifest_in_force,
}


@dataclasses.dataclass(slots=True)
class Control:
    """The directory and one journal, and how their calls are disturbed.

    Commands named in ``withheld`` are applied without a reply, those in ``stalled``
    are queued in ``waiting``, those in ``refused`` are answered with a redirect.
    """

    directory: directory_state.Directory
    directory_leader_state: directory_leader.LeaderState
    journal: journal_tables.JournalTables
    withheld: set[str] = dataclasses.field(default_factory=set)
    stalled: set[str] = dataclasses.field(default_factory=set)
    refused: set[str] = dataclasses.field(default_factory=set)
    waiting: list[frames.PeerMessageReceived] = dataclasses.field(default_factory=list)
    commands: list[Any] = dataclasses.field(default_factory=list)
    next_hint_s: float = 0.0
    clock_s: float | None = None


def create(settings: journal_tables.JournalSettings | None = None) -> Control:
    """Create an empty directory and journal."""
    state = directory_state.create(
        host_lease_s=HOST_LEASE_S,
        order_lease_s=5.0,
        order_quiet_s=1.0,
    )
    return Control(
        directory=state,
        directory_leader_state=directory_leader.become_leader(state, now=0.0),
        journal=machine.create(settings),
    )


def tick(control: Control, now: float, inbox: list[Any]) -> ticks.Outbox:
    """Apply received calls, expire leases, send hints about orphaned requests."""
    outbox = ticks.Outbox()
    _advance_clock(control, now)
    for received in inbox:
        if isinstance(received.message, calls.ControlCall):
            _handle_call(control, now, outbox, received)
    for expiry in directory_leader.expired_host_leases(
        control.directory, control.directory_leader_state, now
    ):
        directory_state.apply(control.directory, expiry)
        fence(control, expiry.host, expiry.epoch + 1)
    _hint(control, now, outbox)
    outbox.wake(now + 0.1)
    return outbox


def fence(control: Control, host: str, epoch: int) -> None:
    """Fence a host's older epochs in the journal."""
    machine.apply(control.journal, journal.FenceHost(host=host, epoch=epoch))


def release_stalled(control: Control, now: float) -> ticks.Outbox:
    """Apply the stalled calls."""
    control.stalled.clear()
    waiting, control.waiting = control.waiting, []
    return tick(control, now, waiting)


def _handle_call(control: Control, now: float, outbox: ticks.Outbox, received) -> None:
    call = received.message
    name = type(call.command).__name__
    if name in control.stalled:
        control.waiting.append(received)
        return
    if name in control.refused:
        redirect = calls.ControlRedirect(
            call_id=call.call_id,
            group=call.group,
            leader=None,
        )
        _send(outbox, received, redirect)
        return
    control.commands.append(call.command)
    reply = _apply(control, now, call)
    if name in control.withheld:
        return
    answer = calls.ControlReply(call_id=call.call_id, group=call.group, reply=reply)
    _send(outbox, received, answer)


def _apply(control: Control, now: float, call: calls.ControlCall) -> Any:
    command = call.command
    if call.group != directory.GROUP:
        return machine.apply(control.journal, command)
    if isinstance(command, directory.GetManifest):
        return directory_state.manifest_in_force(control.directory)
    if isinstance(command, directory.RenewHostLease):
        return directory_leader.renew_host_lease(
            control.directory, control.directory_leader_state, now, command
        )
    reply = directory_state.apply(control.directory, command)
    if isinstance(command, directory.AcquireHostLease):
        directory_leader.start_host_lease(
            control.directory, control.directory_leader_state, now, command
        )
        fence(control, reply.host, reply.epoch)
    if isinstance(command, directory.ReleaseHostLease):
        fence(control, command.host, command.epoch + 1)
    return reply


def _send(
    outbox: ticks.Outbox, received: frames.PeerMessageReceived, message: Any
) -> None:
    outbox.send(
        frames.SendToPeer(node=received.node, message=message, link=received.link),
    )


def _hint(control: Control, now: float, outbox: ticks.Outbox) -> None:
    orphans = len(control.journal.orphans)
    if not orphans or now < control.next_hint_s:
        return
    control.next_hint_s = now + HINT_INTERVAL_S
    hint = calls.OrphansWaiting(group=journal.FIRST_GROUP, count=orphans)
    for host in directory_state.live_hosts(control.directory):
        outbox.send(
            frames.SendToPeer(node=f"entry-{host.host}", message=hint, link=host.link),
        )


def _advance_clock(control: Control, now: float) -> None:
    elapsed_s = 0.0 if control.clock_s is None else now - control.clock_s
    control.clock_s = now
    command = journal.ExpireRequests(
        request_ids=[],
        elapsed_ms=round(elapsed_s * 1_000),
    )
    machine.apply(control.journal, command)
