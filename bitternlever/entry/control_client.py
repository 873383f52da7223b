"""Calls to the replicated groups: find the leader, resend, time out.

Every command is idempotent, so an unanswered call is sent again. A failed call states
whether its command may still commit.
"""

import result

from bitternlever.core import ticks
from bitternlever.entry import tables as entry_tables
from bitternlever.messages import calls, frames, journal, requests

RESEND_S = 0.3
CALL_TIMEOUT_S = 3.0
REDIRECT_PAUSE_S = 0.05
RETRY_AFTER_S = 1.0
MAXIMUM_PENDING_CALLS = 20_000

REFUSAL_REPLIES = (journal.JournalFull, journal.Fenced)


def call(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    group: int,
    command: calls.Command,
    on_outcome: entry_tables.OnOutcome,
    timeout_s: float = CALL_TIMEOUT_S,
) -> None:
    """Send a command to a group; call ``on_outcome`` once with its reply or failure.

    If too many calls are pending, the call fails at once with ``sent`` NO.
    """
    control = tables.control
    if len(control.pending) >= MAXIMUM_PENDING_CALLS:
        failure = entry_tables.CallFailed(
            sent=requests.Sent.NO,
            reason="too many calls to control are pending",
            retry_after_s=RETRY_AFTER_S,
        )
        on_outcome(tables, now, outbox, result.Err(failure))
        return
    control.next_call += 1
    pending = entry_tables.PendingCall(
        call=calls.ControlCall(
            call_id=control.next_call,
            group=group,
            command=command,
        ),
        on_outcome=on_outcome,
        deadline_s=now + timeout_s,
        resend_s=now,
        target=control.leaders.get(group) or _next_target(tables),
    )
    control.pending[control.next_call] = pending
    _send(tables, now, outbox, pending)


def receive(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    sender: str,
    message: calls.ControlReply
    | calls.ControlRedirect
    | calls.ControlBusy
    | calls.ControlUncertain,
) -> None:
    """Handle a control process's answer to a pending call; drop a late answer."""
    pending = tables.control.pending.get(message.call_id)
    if pending is None:
        tables.count("control_answer_late")
        return
    match message:
        case calls.ControlReply():
            tables.control.leaders[message.group] = sender
            del tables.control.pending[message.call_id]
            outcome = _outcome(pending, message.reply)
            pending.on_outcome(tables, now, outbox, outcome)
        case calls.ControlRedirect():
            _redirect(tables, now, pending, sender, message.leader)
        case calls.ControlBusy():
            _mark_newest_answered(pending, sender)
            pending.resend_s = now + message.retry_after_s
        case calls.ControlUncertain():
            pending.in_doubt = True
            pending.target = _next_target(tables)
            pending.resend_s = now + REDIRECT_PAUSE_S


def _outcome(
    pending: entry_tables.PendingCall,
    reply: calls.Reply,
) -> entry_tables.CallOutcome:
    """Return the outcome; a refusal is uncertain if an earlier send may commit."""
    if pending.in_doubt and isinstance(reply, REFUSAL_REPLIES):
        failure = entry_tables.CallFailed(
            sent=requests.Sent.UNKNOWN,
            reason=f"refused ({type(reply).__name__}) after an uncertain call",
            retry_after_s=RETRY_AFTER_S,
        )
        return result.Err(failure)
    return result.Ok(reply)


def run(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
) -> None:
    """Resend calls that are due and fail those that have timed out."""
    for call_id, pending in list(tables.control.pending.items()):
        if now >= pending.deadline_s:
            del tables.control.pending[call_id]
            pending.on_outcome(tables, now, outbox, result.Err(_failure(pending)))
            continue
        if now >= pending.resend_s:
            _resend(tables, now, outbox, pending)
        outbox.wake(min(pending.deadline_s, pending.resend_s))


def _resend(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    pending: entry_tables.PendingCall,
) -> None:
    if pending.unanswered:
        pending.in_doubt = True
        tables.control.leaders.pop(pending.call.group, None)
        pending.target = _next_target(tables)
    _send(tables, now, outbox, pending)


def _send(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    pending: entry_tables.PendingCall,
) -> None:
    pending.unanswered = True
    pending.resend_s = now + RESEND_S
    link = tables.settings.control_nodes.get(pending.target)
    outbox.send(
        frames.SendToPeer(node=pending.target, message=pending.call, link=link),
    )
    outbox.wake(pending.resend_s)


def _redirect(
    tables: entry_tables.EntryTables,
    now: float,
    pending: entry_tables.PendingCall,
    sender: str,
    leader: str | None,
) -> None:
    group = pending.call.group
    _mark_newest_answered(pending, sender)
    if leader is not None and leader in tables.settings.control_nodes:
        tables.control.leaders[group] = leader
        pending.target = leader
        pending.resend_s = now
        return
    tables.control.leaders.pop(group, None)
    pending.target = _next_target(tables)
    pending.resend_s = now + REDIRECT_PAUSE_S


def _mark_newest_answered(pending: entry_tables.PendingCall, sender: str) -> None:
    """Note that the newest send cannot commit, though an older one still may."""
    if sender == pending.target:
        pending.unanswered = False


def _failure(pending: entry_tables.PendingCall) -> entry_tables.CallFailed:
    in_doubt = pending.in_doubt or pending.unanswered
    return entry_tables.CallFailed(
        sent=requests.Sent.UNKNOWN if in_doubt else requests.Sent.NO,
        reason="no leader of the group answered in time",
        retry_after_s=RETRY_AFTER_S,
    )


def _next_target(tables: entry_tables.EntryTables) -> str:
    names = sorted(tables.settings.control_nodes)
    tables.control.next_target += 1
    return names[tables.control.next_target % len(names)]
