"""Journal writes of a request's owner, and the end of its ownership."""

from collections.abc import Callable
from typing import Any

from bitternlever.admission import dispatch
from bitternlever.core import ticks
from bitternlever.entry import control_client, lease, tables as entry_tables
from bitternlever.messages import journal, requests
from bitternlever.pipelines import (
    delivery,
    groups,
    spans,
    tables as pipeline_tables,
    timers,
    watch,
)
from bitternlever.routing import feedback

WRITE_RETRY_PAUSE_S = 0.2

OnReply = Callable[[Any, float, ticks.Outbox, journal.Reply], None]


def is_owned(
    tables: entry_tables.EntryTables, request: pipeline_tables.Request
) -> bool:
    """Return whether this host still owns this run of the request."""
    return tables.requests.requests.get(request.request_id) is request


def may_send(
    tables: entry_tables.EntryTables, now: float, request: pipeline_tables.Request
) -> bool:
    """Return whether this host may send a stage; if journaled, only with its lease."""
    if not request.journaled:
        return True
    return lease.is_held(tables, now) and request.epoch == tables.lease.epoch


def write(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    command: journal.Command,
    on_reply: OnReply,
) -> None:
    """Write to the journal, retrying until it answers or the ownership ends.

    A fenced write ends the ownership. A final answer recorded elsewhere, such as a
    cancellation, ends the request. Every other reply is passed to ``on_reply``.
    """

    def retry(tables, now, outbox) -> None:
        if is_owned(tables, request):
            write(tables, now, outbox, request, command, on_reply)

    sent_s = now

    def on_outcome(tables, now, outbox, outcome) -> None:
        if not is_owned(tables, request):
            return
        if not isinstance(command, journal.RecordProgress):
            command_name = type(command).__name__
            spans.report_span(
                outbox, request, "journal commit", sent_s, now, command=command_name
            )
        if outcome.is_err():
            timers.schedule(tables, now + WRITE_RETRY_PAUSE_S, retry)
            return
        reply = outcome.ok()
        match reply:
            case journal.Fenced():
                tables.count("write_fenced")
                disown(tables, now, outbox, request)
            case journal.Answered():
                complete(tables, now, outbox, request, reply)
            case _:
                on_reply(tables, now, outbox, reply)

    group = groups.group_of(tables, request.request_id)
    control_client.call(tables, now, outbox, group, command, on_outcome)


def complete(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    answered: journal.Answered,
) -> None:
    """Send the final answer to the callers and remove the request from this host."""
    cancel_work(tables, now, outbox, request)
    del tables.requests.requests[request.request_id]
    delivery.send_answer(tables, outbox, request.callers, answered)
    state = "cancelled" if request.cancelled else "answered"
    for caller in request.cancellers:
        delivery.send_state(tables, outbox, caller, request.request_id, state)


def disown(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
) -> None:
    """Stop a request whose ownership ended; its callers follow the new owner."""
    tables.count("request_disowned")
    cancel_work(tables, now, outbox, request)
    move_callers_to_watch(tables, now, outbox, request)


def move_callers_to_watch(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
) -> None:
    """Remove a request that another host runs; its callers watch the journal."""
    del tables.requests.requests[request.request_id]
    for caller in request.callers.values():
        watch.add_caller(
            tables,
            now,
            outbox,
            request.request_id,
            request.workspace,
            caller,
        )
    for caller in request.cancellers:
        delivery.send_state(tables, outbox, caller, request.request_id, "open")


def cancel_work(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
) -> None:
    """Remove waiting stages and cancel all attempts of a request."""
    dispatch.withdraw(tables, request.request_id)
    awaiting_lease = tables.requests.awaiting_lease
    awaiting_lease[:] = [
        ready for ready in awaiting_lease if ready.request_id != request.request_id
    ]
    for attempt_id in sorted(request.attempts):
        cancel_attempt(tables, now, outbox, tables.requests.attempts[attempt_id])


def cancel_attempt(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    attempt: pipeline_tables.Attempt,
) -> None:
    """Cancel an attempt; messages that still arrive for it are dropped."""
    end_attempt(tables, now, outbox, attempt, ended="cancelled")
    feedback.cancelled(tables, now, attempt)
    if not attempt.sent:
        return
    cancel = requests.CancelUpstream(
        attempt=attempt.attempt_id,
        upstream=attempt.upstream,
        address=attempt.address,
    )
    outbox.send(cancel)


def end_attempt(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    attempt: pipeline_tables.Attempt,
    ended: str,
) -> None:
    """Remove an attempt from the tables and report its span."""
    del tables.requests.attempts[attempt.attempt_id]
    request = tables.requests.requests.get(attempt.request_id)
    if request is None:
        return
    request.attempts.discard(attempt.attempt_id)
    spans.report_span(
        outbox,
        request,
        f"stage {attempt.stage.name}",
        start_s=attempt.started_s,
        end_s=now,
        attempt=attempt.attempt_id,
        upstream=attempt.upstream,
        ended=ended,
    )
