"""Drain: stop without cutting off what is in flight.

The host leaves the host lists at once and serves for as long as the last list may be
used. Then it hands over what waits, ends its lease and ends.
"""

from bitternlever.core import ticks
from bitternlever.entry import control_client, lease, tables as entry_tables
from bitternlever.messages import directory, journal, problems, requests
from bitternlever.pipelines import (
    delivery,
    groups,
    lapses,
    ownership,
    refusals,
    tables as pipeline_tables,
    timers,
)

RELEASE_PAUSE_S = 0.2


def request(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    message: requests.DrainRequested,
) -> None:
    """Begin the drain; a second or forced request ends it sooner."""
    state = tables.requests
    if message.forced or state.drain_requested_s is not None:
        state.drain_forced = True
        return
    state.drain_requested_s = now
    state.drain_answer_expires_s = now + tables.settings.host_list_max_age_s
    outbox.wake(state.drain_answer_expires_s)


def run(tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox) -> None:
    """Go on with the drain: wait, hand over, end the lease, end the process."""
    state = tables.requests
    if state.drain_ended:
        return
    if state.drain_forced:
        _end_forced(tables, outbox)
        return
    if state.drain_answer_expires_s is None:
        return
    if now < state.drain_answer_expires_s:
        outbox.wake(state.drain_answer_expires_s)
        return
    if state.drain_releasing:
        return
    waiting = [each for each in state.requests.values() if _may_hand_over(each)]
    if waiting:
        _release(tables, now, outbox, waiting)
        return
    if lapses.is_long(tables, now):
        _end_without_lease(tables, now, outbox)
    if state.requests or state.callers or state.takeover_in_flight:
        return
    _end_lease(tables, now, outbox)


def _may_hand_over(request: pipeline_tables.Request) -> bool:
    """Tell whether a request waits without a caller here and without an attempt."""
    ready = request.phase is pipeline_tables.Phase.READY
    return request.journaled and ready and not request.callers and not request.attempts


def _release(
    tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox, waiting
) -> None:
    state = tables.requests
    group = groups.group_of(tables, waiting[0].request_id)
    released = [
        each for each in waiting if groups.group_of(tables, each.request_id) == group
    ]
    command = journal.ReleaseRequests(
        request_ids=[each.request_id for each in released],
        host=tables.settings.host,
        epoch=tables.lease.epoch,
    )
    state.drain_releasing = True
    for each in released:
        ownership.stop(tables, now, outbox, each)

    def again(tables, now, outbox) -> None:
        state.drain_releasing = False

    def on_outcome(tables, now, outbox, outcome) -> None:
        if outcome.is_err() and lease.holds(tables, now):
            timers.at(tables, now + RELEASE_PAUSE_S, again)
            return
        state.drain_releasing = False
        for each in released:
            if ownership.is_live(tables, each):
                ownership.disown(tables, now, outbox, each)
        outbox.wake(now)

    control_client.call(tables, now, outbox, group, command, on_outcome)


def _end_without_lease(
    tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox
) -> None:
    """Leave journaled requests to the hosts that take them over."""
    state = tables.requests
    state.takeover_in_flight = False
    for each in list(state.requests.values()):
        if each.journaled:
            ownership.disown(tables, now, outbox, each)


def _end_lease(
    tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox
) -> None:
    """End the lease; without control it ends by itself."""
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
    """End at once and say what is cut off."""
    state = tables.requests
    state.drain_ended = True
    cut_off = sorted(state.requests)
    for each in state.requests.values():
        stated = refusals.problem(
            tables,
            status=503,
            title="Host stopped",
            detail="the host was stopped before the request ended",
            ran=problems.Ran.UNKNOWN if each.journaled else refusals.ran(each),
            request_id=each.request_id,
            retry_after_s=refusals.RETRY_AFTER_S,
        )
        delivery.problem(tables, outbox, each.callers, stated)
    outbox.send(requests.ProcessEnd(cut_off=cut_off))
