"""What becomes of journaled requests when this host's lease lapses or is replaced."""

from bitternlever.admission import dispatch
from bitternlever.core import ticks
from bitternlever.entry import lease, tables as entry_tables
from bitternlever.messages import problems
from bitternlever.pipelines import delivery, ownership, refusals

LAPSE_LIMIT_S = 5.0


def run(tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox) -> None:
    """End runs of a former epoch, launch what waited for a lease, tell callers."""
    state = tables.requests
    if tables.lease.epoch != state.epoch_seen:
        state.epoch_seen = tables.lease.epoch
        disown_former(tables, now, outbox)
    if lease.holds(tables, now):
        state.lapsed_since_s = None
        _unpark(tables, now)
        return
    if state.lapsed_since_s is None:
        state.lapsed_since_s = now
    if is_long(tables, now):
        _tell_callers(tables, outbox)
        return
    outbox.wake(state.lapsed_since_s + LAPSE_LIMIT_S)


def is_long(tables: entry_tables.EntryTables, now: float) -> bool:
    """Tell whether this host has had no lease for so long that others took over."""
    since_s = tables.requests.lapsed_since_s
    return since_s is not None and now - since_s >= LAPSE_LIMIT_S


def disown_former(
    tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox
) -> None:
    """End the runs that this host owned under another epoch."""
    for request in list(tables.requests.requests.values()):
        if request.journaled and request.epoch != tables.lease.epoch:
            ownership.disown(tables, now, outbox, request)


def _unpark(tables: entry_tables.EntryTables, now: float) -> None:
    parked, tables.requests.parked = tables.requests.parked, []
    for ready in parked:
        dispatch.push(tables, now, ready)


def _tell_callers(tables: entry_tables.EntryTables, outbox: ticks.Outbox) -> None:
    """Send the callers of journaled requests to hosts that can reach the journal."""
    for request in tables.requests.requests.values():
        if not request.journaled or not request.callers:
            continue
        stated = refusals.problem(
            tables,
            status=503,
            title="Host without lease",
            detail="this host cannot reach control: ask another host for the request",
            ran=problems.Ran.UNKNOWN,
            request_id=request.request_id,
            retry_after_s=refusals.RETRY_AFTER_S,
        )
        delivery.problem(tables, outbox, request.callers, stated)
