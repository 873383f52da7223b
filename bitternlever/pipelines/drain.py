"""Drain: stop the host without cutting off requests in flight.

The host is removed from host lists at once, and accepts requests until the last list
that named it has expired. Then it hands over waiting requests, releases its lease and
ends the process.
"""

from bitternlever.core import ticks
from bitternlever.entry import control_client, lease, tables as entry_tables
from bitternlever.messages import directory, journal, problems, requests
from bitternlever.pipelines import (
    delivery,
    groups,
    lease_expiry,
    ownership,
    refusals,
    tables as pipeline_tables,
    timers,
)

RELEASE_RETRY_PAUSE_S = 0.2


def handle_drain_request(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    message: requests.DrainRequested,
) -> None:
    """Begin the drain; a second or forced request ends the process at once."""
    state = tables.requests
    if message.forced or state.drain_requested_s is not None:
        state.drain_forced = True
        return
    state.drain_requested_s = now
    state.drain_host_lists_expire_s = now + tables.settings.host_list_max_age_s
    outbox.wake(state.drain_host_lists_expire_s)


def run(tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox) -> None:
    """Advance the drain: wait, hand over, release the lease, end the process."""
    state = tables.requests
    if state.drain_ended:
        return
    if state.drain_forced:
        _end_forced(tables, outbox)
        return
    if state.drain_host_lists_expire_s is None:
        return
    if now < state.drain_host_lists_expire_s:
        outbox.wake(state.drain_host_lists_expire_s)
        return
    if state.drain_releasing:
        return
    waiting = [
        request for request in state.requests.values() if _may_hand_over(request)
    ]
    if waiting:
        _release(tables, now, outbox, waiting)
        return
    if lease_expiry.is_long_expired(tables, now):
        _end_without_lease(tables, now, outbox)
    if state.requests or state.callers or state.takeover_in_flight:
        return
    _end_lease(tables, now, outbox)


def _may_hand_over(request: pipeline_tables.Request) -> bool:
    """Return whether a request waits without a caller and without an attempt."""
    ready = request.phase is pipeline_tables.Phase.READY
    return request.journaled and ready and not request.callers and not request.attempts


def _release(
    tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox, waiting
) -> None:
    state = tables.requests
    group = groups.group_of(tables, waiting[0].request_id)
    released = [
        request
        for request in waiting
        if groups.group_of(tables, request.request_id) == group
    ]
    command = journal.ReleaseRequests(
        request_ids=[request.request_id for request in released],
        host=tables.settings.host,
        epoch=tables.lease.epoch,
    )
    state.drain_releasing = True
    for request in released:
        ownership.cancel_work(tables, now, outbox, request)

    def allow_release(tables, now, outbox) -> None:
        state.drain_releasing = False

    def on_outcome(tables, now, outbox, outcome) -> None:
        if outcome.is_err() and lease.is_held(tables, now):
            timers.schedule(tables, now + RELEASE_RETRY_PAUSE_S, allow_release)
            return
        state.drain_releasing = False
        for request in released:
            if ownership.is_owned(tables, request):
                ownership.disown(tables, now, outbox, request)
        outbox.wake(now)

    control_client.call(tables, now, outbox, group, command, on_outcome)


def _end_without_lease(
    tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox
) -> None:
    """Disown journaled requests, which other hosts take over."""
    state = tables.requests
    state.takeover_in_flight = False
    for request in list(state.requests.values()):
        if request.journaled:
            ownership.disown(tables, now, outbox, request)


def _end_lease(
    tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox
) -> None:
    """Release the lease, or let it expire if control cannot be reached."""
    state = tables.requests
    state.drain_releasing = True
    tables.lease.released = True
    command = directory.ReleaseHostLease(
        host=tables.settings.host,
        epoch=tables.lease.epoch,
    )

    def on_outcome(tables, now, outbox, outcome) -> None:
        state.drain_ended = True
        outbox.send(requests.ProcessEnd())

    control_client.call(
        tables,
        now,
        outbox,
        directory.GROUP,
        command,
        on_outcome,
    )


def _end_forced(tables: entry_tables.EntryTables, outbox: ticks.Outbox) -> None:
    """End at once and report the requests that are cut off."""
    state = tables.requests
    state.drain_ended = True
    cut_off = sorted(state.requests)
    for request in state.requests.values():
        problem = refusals.make_problem(
            tables,
            status=503,
            title="Host stopped",
            detail="the host was stopped before the request ended",
            ran=problems.Ran.UNKNOWN
            if request.journaled
            else refusals.ran_state(request),
            request_id=request.request_id,
            retry_after_s=refusals.RETRY_AFTER_S,
        )
        delivery.send_problem(tables, outbox, request.callers, problem)
    outbox.send(requests.ProcessEnd(cut_off=cut_off))
