"""Requests that end early: cancelled by name, or left by their callers."""

from bitternlever.core import ticks
from bitternlever.entry import control_client, tables as entry_tables
from bitternlever.messages import calls, frames, journal, requests
from bitternlever.pipelines import (
    answers,
    delivery,
    finish,
    groups,
    ownership,
    refusals,
    tables as pipeline_tables,
    timers,
    watch,
)

RETURN_LIMIT_S = 4.0
MAY_WITHDRAW = (pipeline_tables.Phase.READY, pipeline_tables.Phase.RUNNING)


def cancel(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    message: requests.RequestCancelled,
) -> None:
    """Cancel a request by name, wherever it runs."""
    request = answers.own(tables, message.request_id, message.workspace)
    tables.requests.callers[message.caller] = message.request_id
    if request is None:
        _cancel_in_journal(tables, now, outbox, message)
        return
    request.cancellers.append(message.caller)
    end_run(tables, now, outbox, request)


def cancelled_elsewhere(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request_id: str,
) -> None:
    """Take another host's hint that a request of this host was cancelled."""
    request = tables.requests.requests.get(request_id)
    if request is not None:
        end_run(tables, now, outbox, request)


def caller_gone(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    message: requests.CallerGone,
) -> None:
    """Take a closed connection: the run ends with its last caller.

    A durable request goes on. One with a key goes on for a while, since its caller may
    come back under the key.
    """
    request_id = tables.requests.callers.pop(message.caller, None)
    if request_id is None:
        return
    watched = tables.requests.watches.get(request_id)
    if watched is not None:
        watch.leave(tables, watched, message.caller)
    request = tables.requests.requests.get(request_id)
    if request is None:
        return
    request.callers.pop(message.caller, None)
    if message.caller in request.cancellers:
        request.cancellers.remove(message.caller)
    if request.callers or request.kind.durable:
        return
    if request.keyed:
        _withdraw_later(tables, now, request)
        return
    tables.count("caller_left")
    end_run(tables, now, outbox, request)


def watched_elsewhere(
    tables: entry_tables.EntryTables, now: float, request_id: str
) -> None:
    """Take another host's word that callers follow a request of this host there."""
    request = tables.requests.requests.get(request_id)
    if request is not None:
        request.watched_s = now


def end_run(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
) -> None:
    """Start no further stage of a request and cancel what can be cancelled.

    A stage in flight that may not be repeated is waited for: its outcome counts.
    """
    request.cancelled = True
    phase = request.phase
    waits = (pipeline_tables.Phase.CLAIMING, pipeline_tables.Phase.ANSWERING)
    if phase in waits or _runs_once_only(tables, request):
        return
    finish.problem(tables, now, outbox, request, refusals.cancelled(tables, request))


def _withdraw_later(
    tables: entry_tables.EntryTables, now: float, request: pipeline_tables.Request
) -> None:
    """Forget a keyed request whose callers have left and do not come back.

    Once a stage was started that may not be repeated, the run goes on to its answer.
    """
    left_s = now

    def check(tables, now, outbox) -> None:
        if not ownership.is_live(tables, request) or request.callers:
            return
        since_s = max(left_s, request.watched_s)
        if now < since_s + RETURN_LIMIT_S:
            timers.at(tables, since_s + RETURN_LIMIT_S, check)
            return
        if request.phase in MAY_WITHDRAW and not request.once_only_started:
            tables.count("caller_left")
            stated = refusals.cancelled(tables, request)
            finish.withdraw(tables, now, outbox, request, stated)

    timers.at(tables, now + RETURN_LIMIT_S, check)


def _runs_once_only(
    tables: entry_tables.EntryTables, request: pipeline_tables.Request
) -> bool:
    attempts = [tables.requests.attempts[each] for each in request.attempts]
    return any(not attempt.stage.idempotent for attempt in attempts)


def _cancel_in_journal(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    message: requests.RequestCancelled,
) -> None:
    command = journal.CancelRequest(
        request_id=message.request_id,
        workspace=message.workspace,
    )

    def on_outcome(tables, now, outbox, outcome) -> None:
        if outcome.is_err():
            answers.tell_uncertain(tables, outbox, message, outcome.err())
            return
        match outcome.ok():
            case journal.Cancelled() as reply:
                _hint_owner(tables, outbox, reply)
                name = "cancelled"
            case journal.Answered():
                name = "answered"
            case _:
                stated = watch.unknown(tables, message.request_id)
                answers.tell(tables, outbox, message.caller, stated)
                return
        delivery.state(tables, outbox, message.caller, message.request_id, name)

    group = groups.group_of(tables, message.request_id)
    control_client.call(tables, now, outbox, group, command, on_outcome)


def _hint_owner(
    tables: entry_tables.EntryTables, outbox: ticks.Outbox, reply: journal.Cancelled
) -> None:
    """Let the owner stop at once; without the hint its next write tells it."""
    host = tables.membership.hosts.get(reply.host)
    if host is None:
        return
    hint = calls.CancelledHint(request_id=reply.request_id)
    outbox.send(
        frames.SendPeer(node=f"entry-{host.host}", message=hint, link=host.link),
    )
