"""Calls from this process to other groups, resent until they are answered."""

from collections.abc import Callable
from typing import Any

from bitternlever.control import tables as control_tables
from bitternlever.core import ticks
from bitternlever.messages import calls, frames

RESEND_S = 0.5
MAXIMUM_OUTGOING_CALLS = 4_096


def call(
    tables: control_tables.ControlTables,
    now: float,
    outbox: ticks.Outbox,
    group: int,
    command: calls.Command,
    on_reply: Callable[[float, Any, calls.Reply], None],
) -> None:
    """Queue a command to a group's leader, which may be this process."""
    if len(tables.outgoing_calls) >= MAXIMUM_OUTGOING_CALLS:
        tables.count("own_call_dropped")
        return
    tables.last_call_id += 1
    tables.outgoing_calls[tables.last_call_id] = control_tables.OutgoingCall(
        call=calls.ControlCall(
            call_id=tables.last_call_id,
            group=group,
            command=command,
        ),
        on_reply=on_reply,
        resend_s=now,
    )
    outbox.wake(now)


def has_room(tables: control_tables.ControlTables) -> bool:
    """Return whether there is room for a call to each group."""
    return len(tables.outgoing_calls) + len(tables.groups) <= MAXIMUM_OUTGOING_CALLS


def is_waiting(
    tables: control_tables.ControlTables,
    group: int,
    command: calls.Command,
) -> bool:
    """Return whether the same command already waits for this group's reply."""
    return any(
        outgoing.call.group == group and outgoing.call.command == command
        for outgoing in tables.outgoing_calls.values()
    )


def due(
    tables: control_tables.ControlTables,
    now: float,
    outbox: ticks.Outbox,
) -> list[calls.ControlCall]:
    """Return the calls to send now, and schedule each to be resent."""
    chosen = []
    for outgoing in tables.outgoing_calls.values():
        if now >= outgoing.resend_s:
            outgoing.resend_s = now + RESEND_S
            chosen.append(outgoing.call)
        outbox.wake(outgoing.resend_s)
    return chosen


def send(
    tables: control_tables.ControlTables,
    outbox: ticks.Outbox,
    call: calls.ControlCall,
) -> None:
    """Send a call to its group's leader, or try the other nodes in turn.

    A process whose new disk is no member of the group yet does not know its leader.
    """
    outgoing = tables.outgoing_calls[call.call_id]
    leader = tables.groups[call.group].replica.leader
    target = outgoing.target if leader is None else leader.node
    if target is None:
        others = sorted(set(tables.links) - {tables.settings.node})
        if not others:
            return
        outgoing.attempts += 1
        target = others[outgoing.attempts % len(others)]
    outbox.send(frames.SendToPeer(node=target, message=call))


def handle_answer(
    tables: control_tables.ControlTables,
    now: float,
    outbox: ticks.Outbox,
    answer: Any,
) -> None:
    """Handle the answer to an outgoing call; all but a reply lead to a resend."""
    outgoing = tables.outgoing_calls.get(getattr(answer, "call_id", None))
    if outgoing is None:
        return
    outgoing.target = None
    match answer:
        case calls.ControlReply():
            del tables.outgoing_calls[answer.call_id]
            outgoing.on_reply(now, outbox, answer.reply)
        case calls.ControlRedirect() if answer.leader in tables.links:
            outgoing.target = answer.leader
            outgoing.resend_s = now
