"""Requests that end early: cancelled by id, or abandoned by their callers."""

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

CALLER_RETURN_LIMIT_S = 4.0
WITHDRAWABLE_PHASES = (pipeline_tables.Phase.READY, pipeline_tables.Phase.RUNNING)


def cancel(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    message: requests.RequestCancelled,
) -> None:
    """Cancel a request by its id, on whichever host it runs."""
    request = answers.find_local(tables, message.request_id, message.workspace)
    tables.requests.callers[message.caller] = message.request_id
    if request is None:
        _cancel_in_journal(tables, now, outbox, message)
        return
    request.cancellers.append(message.caller)
    end_run(tables, now, outbox, request)


def handle_cancelled_hint(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request_id: str,
) -> None:
    """Handle another host's hint that a request of this host was cancelled."""
    request = tables.requests.requests.get(request_id)
    if request is not None:
        end_run(tables, now, outbox, request)


def handle_disconnect(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    message: requests.CallerDisconnected,
) -> None:
    """Handle a closed connection: a request ends with its last caller.

    A durable request continues. A keyed request continues for CALLER_RETURN_LIMIT_S,
    since its caller may return with the same key.
    """
    request_id = tables.requests.callers.pop(message.caller, None)
    if request_id is None:
        return
    existing_watch = tables.requests.watches.get(request_id)
    if existing_watch is not None:
        watch.remove_caller(tables, existing_watch, message.caller)
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


def handle_watched_hint(
    tables: entry_tables.EntryTables, now: float, request_id: str
) -> None:
    """Handle another host's hint that callers there follow a request of this host."""
    request = tables.requests.requests.get(request_id)
    if request is not None:
        request.last_watched_s = now


def end_run(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
) -> None:
    """Start no further stage of a request and cancel its idempotent attempts.

    A running non-idempotent stage is not cancelled: its outcome decides the answer.
    """
    request.cancelled = True
    phase = request.phase
    waiting_phases = (pipeline_tables.Phase.CLAIMING, pipeline_tables.Phase.ANSWERING)
    if phase in waiting_phases or _runs_non_idempotent(tables, request):
        return
    finish.with_problem(
        tables, now, outbox, request, refusals.cancelled(tables, request)
    )


def _withdraw_later(
    tables: entry_tables.EntryTables, now: float, request: pipeline_tables.Request
) -> None:
    """Withdraw a keyed request if its callers do not return in time.

    Once a non-idempotent stage was started, the request continues to its answer.
    """
    left_s = now

    def check(tables, now, outbox) -> None:
        if not ownership.is_owned(tables, request) or request.callers:
            return
        since_s = max(left_s, request.last_watched_s)
        if now < since_s + CALLER_RETURN_LIMIT_S:
            timers.schedule(tables, since_s + CALLER_RETURN_LIMIT_S, check)
            return
        if request.phase in WITHDRAWABLE_PHASES and not request.non_idempotent_started:
            tables.count("caller_left")
            problem = refusals.cancelled(tables, request)
            finish.withdraw(tables, now, outbox, request, problem)

    timers.schedule(tables, now + CALLER_RETURN_LIMIT_S, check)


def _runs_non_idempotent(
    tables: entry_tables.EntryTables, request: pipeline_tables.Request
) -> bool:
    attempts = [tables.requests.attempts[attempt_id] for attempt_id in request.attempts]
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
            answers.send_uncertain(tables, outbox, message, outcome.err())
            return
        match outcome.ok():
            case journal.Cancelled() as reply:
                _hint_owner(tables, outbox, reply)
                state = "cancelled"
            case journal.Answered():
                state = "answered"
            case _:
                problem = watch.request_unknown(tables, message.request_id)
                answers.send_problem(tables, outbox, message.caller, problem)
                return
        delivery.send_state(tables, outbox, message.caller, message.request_id, state)

    group = groups.group_of(tables, message.request_id)
    control_client.call(tables, now, outbox, group, command, on_outcome)


def _hint_owner(
    tables: entry_tables.EntryTables, outbox: ticks.Outbox, reply: journal.Cancelled
) -> None:
    """Tell the owner to stop at once; otherwise the reply to its next write does."""
    host = tables.membership.hosts.get(reply.host)
    if host is None:
        return
    hint = calls.CancelledHint(request_id=reply.request_id)
    outbox.send(
        frames.SendToPeer(node=f"entry-{host.host}", message=hint, link=host.link),
    )
