"""Calls of this process to other groups, sent again until they are answered."""

from collections.abc import Callable
from typing import Any

from bitternlever.control import tables as control_tables
from bitternlever.core import ticks
from bitternlever.messages import calls, frames

RESEND_S = 0.5
MAXIMUM_OWN_CALLS = 4_096


def call(
    tables: control_tables.ControlTables,
    now: float,
    outbox: ticks.Outbox,
    group: int,
    command: calls.Command,
    on_reply: Callable[[float, Any, calls.Reply], None],
) -> None:
    """Send a command to a group's leader, which may be this process."""
    if len(tables.own_calls) >= MAXIMUM_OWN_CALLS:
        tables.count("own_call_dropped")
        return
    tables.next_call += 1
    tables.own_calls[tables.next_call] = control_tables.OwnCall(
        call=calls.ControlCall(
            call_id=tables.next_call,
            group=group,
            command=command,
        ),
        on_reply=on_reply,
        resend_s=now,
    )
    outbox.wake(now)


def has_room(tables: control_tables.ControlTables) -> bool:
    """Tell whether a call to each group can be taken."""
    return len(tables.own_calls) + len(tables.groups) <= MAXIMUM_OWN_CALLS


def waiting(
    tables: control_tables.ControlTables,
    group: int,
    command: calls.Command,
) -> bool:
    """Tell whether the same command already waits for this group's reply."""
    return any(
        own.call.group == group and own.call.command == command
        for own in tables.own_calls.values()
    )


def due(
    tables: control_tables.ControlTables,
    now: float,
    outbox: ticks.Outbox,
) -> list[calls.ControlCall]:
    """Return the calls to send now; each is due again after a pause."""
    chosen = []
    for own in tables.own_calls.values():
        if now >= own.resend_s:
            own.resend_s = now + RESEND_S
            chosen.append(own.call)
        outbox.wake(own.resend_s)
    return chosen


def send(
    tables: control_tables.ControlTables,
    outbox: ticks.Outbox,
    call: calls.ControlCall,
) -> None:
    """Send a call to its group's leader, or to one node after the other.

    A process whose disk is new to a group hears nothing of the group's leader.
    """
    own = tables.own_calls[call.call_id]
    leader = tables.groups[call.group].replica.leader
    target = own.target if leader is None else leader.node
    if target is None:
        others = sorted(set(tables.links) - {tables.settings.node})
        if not others:
            return
        own.attempts += 1
        target = others[own.attempts % len(others)]
    outbox.send(frames.SendPeer(node=target, message=call))


def receive(
    tables: control_tables.ControlTables,
    now: float,
    outbox: ticks.Outbox,
    answer: Any,
) -> None:
    """Take the answer to an own call; all but a reply lead to another send."""
    own = tables.own_calls.get(getattr(answer, "call_id", None))
    if own is None:
        return
    own.target = None
    match answer:
        case calls.ControlReply():
            del tables.own_calls[answer.call_id]
            own.on_reply(now, outbox, answer.reply)
        case calls.ControlRedirect() if answer.leader in tables.links:
            own.target = answer.leader
            own.resend_s = now
