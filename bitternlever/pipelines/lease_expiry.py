"""Handling of journaled requests when this host's lease expires or is replaced."""

from bitternlever.admission import dispatch
from bitternlever.core import ticks
from bitternlever.entry import lease, tables as entry_tables
from bitternlever.messages import problems
from bitternlever.pipelines import delivery, ownership, refusals

LEASE_LOST_LIMIT_S = 5.0


def run(tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox) -> None:
    """Disown requests of earlier epochs, requeue stages, redirect callers."""
    state = tables.requests
    if tables.lease.epoch != state.last_epoch:
        state.last_epoch = tables.lease.epoch
        disown_previous_epochs(tables, now, outbox)
    if lease.is_held(tables, now):
        state.lease_lost_since_s = None
        _requeue_waiting(tables, now)
        return
    if state.lease_lost_since_s is None:
        state.lease_lost_since_s = now
    if is_long_expired(tables, now):
        _redirect_callers(tables, outbox)
        return
    outbox.wake(state.lease_lost_since_s + LEASE_LOST_LIMIT_S)


def is_long_expired(tables: entry_tables.EntryTables, now: float) -> bool:
    """Return whether the lease was lost so long ago that other hosts took over."""
    since_s = tables.requests.lease_lost_since_s
    return since_s is not None and now - since_s >= LEASE_LOST_LIMIT_S


def disown_previous_epochs(
    tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox
) -> None:
    """Disown the requests that this host owned under another epoch."""
    for request in list(tables.requests.requests.values()):
        if request.journaled and request.epoch != tables.lease.epoch:
            ownership.disown(tables, now, outbox, request)


def _requeue_waiting(tables: entry_tables.EntryTables, now: float) -> None:
    ready_stages, tables.requests.awaiting_lease = tables.requests.awaiting_lease, []
    for ready in ready_stages:
        dispatch.push(tables, now, ready)


def _redirect_callers(tables: entry_tables.EntryTables, outbox: ticks.Outbox) -> None:
    """Refer the callers of journaled requests to hosts that can reach the journal."""
    for request in tables.requests.requests.values():
        if not request.journaled or not request.callers:
            continue
        problem = refusals.make_problem(
            tables,
            status=503,
            title="Host without lease",
            detail="this host cannot reach control: ask another host for the request",
            ran=problems.Ran.UNKNOWN,
            request_id=request.request_id,
            retry_after_s=refusals.RETRY_AFTER_S,
        )
        delivery.send_problem(tables, outbox, request.callers, problem)
