"""Batch pieces of stage work into calls to the upstreams of one stage service.

Each of many hosts has a few pieces per second, every call has a fixed cost, and an
upstream processes one call at a time. All pieces of a service are therefore queued on
one host. An idle upstream gets all waiting pieces at once, up to a full call: calls
fill up as the load grows, and a single piece never waits for others.
"""

import dataclasses
import math
from collections.abc import Collection

from bitternlever.batching import estimates, order, tables
from bitternlever.catalog import tables as catalog_tables
from bitternlever.messages import fleet

MAXIMUM_WORKS = 5_000
"""Bounds memory; some minutes of work at the rates of the largest service."""

MAXIMUM_PIECES = 4_096
"""No route of a known deployment has stages of more than a few dozen pieces."""

MAXIMUM_FAILURES = 4
"""Failed calls after which work is refused; each retry takes another upstream."""

MAXIMUM_LOST_ALONE = 2
"""Lost calls without other work after which work is refused: it is to blame."""

TIMEOUTS_TO_SEPARATE = 2
"""One call may be late because its upstream is slow, whatever work is in it."""

MAXIMUM_LEAD_S = 0.1
"""A call is sent at most this long before the one before it is expected to end."""

TRAVEL_FACTOR = 3.0
"""A call waits for others on the link, and its answer for those of other calls."""

TRAVEL_WEIGHT = 0.1
"""Weight of the newest call in the mean time that calls take on the link."""

FULL_PAUSE_S = 0.05
"""How long an upstream that is full, or out of memory, gets no new calls."""

FAILED_PAUSE_S = 0.05
"""First pause of an upstream after a failed call; doubles with each further one."""

MAXIMUM_PAUSE_S = 0.8
"""An upstream that refuses connections is retried at least at this interval."""

MAXIMUM_DOUBLINGS = 10
"""More have no effect, since the pause has its own bound."""

TIMEOUT_PAUSE_FACTOR = 8.0
"""A timeout costs the work in a call far more time than a reported failure."""

SLOWNESS_WEIGHT = 0.4
"""Weight of the newest call in the moving average of an upstream's slowness."""

MINIMUM_SLOWNESS = 0.5
"""No upstream is considered more than twice as fast as its service declares."""

MINIMUM_CALL_S = 0.001
"""Prevents a division by zero for a service that declares no call duration."""

MAXIMUM_RETRY_AFTER_S = 8.0
"""Most callers have given up by then; a longer time would keep them from retrying."""

RESULT_RETENTION_WEIGHT = 0.05
"""Smoothing factor of the moving average ``mean_result_retention_s``."""

MAXIMUM_RECENT_HANDLES = 1_024
"""Those of the last dozens of full calls; a copy comes within the next few."""

SHARE_WEIGHT = 0.1
"""Weight of the newest call in the mean share of on-time work."""

LATE_ZONE_WAIT_S = 1.0
"""How long late work waits for its preferred zone: several healthy calls."""

LATE_MEMORY_SHARE = 0.6
"""Part of an upstream's result memory available to late work that feeds a stage.

Late work waits at the next stage behind all other work and occupies memory meanwhile.
"""

FOREIGN_HALF_LIFE_S = 0.4
"""Half-life of the estimated memory that results unknown to this host occupy."""


def create(service: catalog_tables.Service, group: str = "") -> tables.Batcher:
    """Create the empty queue of a group of a stage service's upstreams."""
    return tables.Batcher(service=service.name, capacity=service.stage, group=group)


def submit(
    batcher: tables.Batcher,
    now: float,
    message: fleet.StageWork,
    link: str,
) -> tables.Finished | None:
    """Queue a work item; return it as finished if it is refused."""
    work = tables.Work(
        message=message,
        link=link,
        arrived_s=now,
        objective_s=now + message.objective_left_s,
        deadline_s=now + message.deadline_left_s,
        waiting=list(range(len(message.pieces))),
    )
    wait_s = predicted_wait_s(batcher, now, work)
    cost_s = order.shortest_call_s(batcher, work)
    if len(batcher.works) >= MAXIMUM_WORKS or len(work.waiting) > MAXIMUM_PIECES:
        return _refused(work, "the queue is full", wait_s)
    if message.depth == 0 and now + wait_s + cost_s > work.deadline_s:
        return _refused(work, "the backlog is longer than the deadline", wait_s)
    pause_s = _shortest_requested_pause_s(batcher, now)
    if message.depth == 0 and now + pause_s + cost_s > work.objective_s and pause_s > 0:
        return _refused(work, "no upstream takes a call in time", pause_s)
    batcher.works[message.work] = work
    return None


def cancel(
    batcher: tables.Batcher,
    now: float,
    work_id: str,
) -> tables.Work | None:
    """Drop a work item that nothing waits for; return it if it was queued."""
    work = batcher.works.pop(work_id, None)
    if work is not None:
        _abandon(batcher, now, list(work.handles.values()))
    return work


def predicted_wait_s(
    batcher: tables.Batcher,
    now: float,
    work: tables.Work,
) -> float:
    """Return the time in seconds until a call will contain a new work item."""
    upstreams = list(batcher.upstreams.values())
    if not upstreams:
        return math.inf
    own_rank = order.rank(batcher, now, work)
    ahead = [
        other
        for other in batcher.works.values()
        if other.waiting and order.rank(batcher, now, other) < own_rank
    ]
    free_s = min(_free_at_s(upstream, now) for upstream in upstreams)
    pieces = sum(len(other.waiting) for other in ahead)
    size = sum(len(other.waiting) * other.message.result_bytes for other in ahead)
    memory_wait_s = (
        size / _maximum_result_rate(batcher) if work.message.result_bytes else 0.0
    )
    return free_s - now + max(pieces / _piece_rate(batcher), memory_wait_s)


def backlog_s(batcher: tables.Batcher, works: Collection[tables.Work]) -> float:
    """Return how long the waiting pieces of these work items take at current rates."""
    if not works or not batcher.upstreams:
        return 0.0
    pieces = sum(len(work.waiting) for work in works)
    size = sum(len(work.waiting) * work.message.result_bytes for work in works)
    return max(pieces / _piece_rate(batcher), size / _maximum_result_rate(batcher))


def load(batcher: tables.Batcher, now: float) -> fleet.ServiceLoad:
    """Return the load of this queue, as reported to hosts."""
    return fleet.ServiceLoad(
        service=batcher.service,
        backlog_s=backlog_s(batcher, batcher.works.values()),
        on_time_backlog_s=backlog_s(batcher, order.on_time_works(batcher, now)),
        wait_s=estimates.decayed_upper_bound_s(batcher.wait_estimate, now),
        group=batcher.group,
    )


def _learn_wait(batcher: tables.Batcher, now: float, work: tables.Work) -> None:
    """Update the wait estimate from work that was on time when it arrived.

    Late work does not count, since it waits behind other work. Work that became late
    while waiting counts with the longest wait that would have met its objective.
    """
    call_s = order.shortest_call_s(batcher, work)
    spare_s = work.objective_s - work.arrived_s - call_s
    if spare_s < 0:
        return
    waited_s = max(0.0, now - work.arrived_s - call_s)
    estimates.add(batcher.wait_estimate, now, min(waited_s, spare_s))


def _piece_rate(batcher: tables.Batcher) -> float:
    """Return how many pieces per second full calls to all upstreams process."""
    capacity = batcher.capacity
    full_s = full_call_s(capacity)
    return sum(
        min(
            capacity.batch / (full_s * upstream.slowness),
            capacity.batch * upstream.calls_per_s,
        )
        for upstream in batcher.upstreams.values()
    )


def _maximum_result_rate(batcher: tables.Batcher) -> float:
    """Return the maximum sustainable rate of results, in bytes per second.

    This is the result memory of all upstreams divided by the mean time for which a
    result occupies it. That time includes the call itself, so the declared duration of
    a call without items (``call_s``) is its lower bound.
    """
    memory_bytes = batcher.capacity.result_memory_bytes * len(batcher.upstreams)
    return max(1.0, memory_bytes) / max(
        batcher.mean_result_retention_s, batcher.capacity.call_s
    )


def full_call_s(capacity: catalog_tables.StageCapacity) -> float:
    """Return the declared duration of a full call."""
    return _call_s(capacity, capacity.batch)


def _call_s(capacity: catalog_tables.StageCapacity, items: int) -> float:
    return capacity.call_s + capacity.item_s * items


def dispatch(batcher: tables.Batcher, now: float) -> list[tables.Call]:
    """Start a call to each idle upstream with the highest-ranked pieces.

    While a full call still waits after that, one is also sent to an upstream that is
    about to be idle: it arrives there when the one before it ends.
    """
    upstreams = sorted(
        batcher.upstreams.values(),
        key=lambda upstream: (upstream.slowness, upstream.upstream_id),
    )
    calls = []
    for upstream in upstreams:
        if _is_free(batcher, now, upstream):
            calls += _send_call(batcher, now, upstream)
    for upstream in upstreams:
        if _is_about_to_be_free(batcher, now, upstream) and _full_call_waits(batcher):
            calls += _send_call(batcher, now, upstream)
    return calls


def _send_call(
    batcher: tables.Batcher, now: float, upstream: tables.Upstream
) -> list[tables.Call]:
    """Start a call to an upstream; return it, none if no piece fits."""
    items = _fill(batcher, now, upstream)
    return [_start_call(batcher, now, upstream, items)] if items else []


def _full_call_waits(batcher: tables.Batcher) -> bool:
    waiting = sum(len(work.waiting) for work in batcher.works.values())
    return waiting >= batcher.capacity.batch


def next_dispatch_s(batcher: tables.Batcher, now: float) -> float | None:
    """Return when a call may be sent to an upstream that will be about to be idle.

    None if none will be, or if less than a full call waits.
    """
    if batcher.capacity.queue == 0 or not _full_call_waits(batcher):
        return None
    return min(
        (
            upstream.busy_until_s - _lead_s(batcher, upstream)
            for upstream in batcher.upstreams.values()
            if upstream.calls == batcher.capacity.concurrency
            and upstream.busy_until_s - _lead_s(batcher, upstream) > now
        ),
        default=None,
    )


def refuse_expired_work(batcher: tables.Batcher, now: float) -> list[tables.Finished]:
    """Refuse work that will not be done before its deadline.

    Work past its objective shares the capacity reserved for it, oldest first. Work that
    this capacity will not reach in time is refused as soon as that is known, unless
    earlier stages of its request are done. Its caller may retry when the current
    backlog is done.
    """
    ended = []
    share = max(order.LATE_SHARE, 1.0 - batcher.on_time_share)
    late_rate = share * _piece_rate(batcher)
    late_result_rate = max(LATE_MEMORY_SHARE, share) * _maximum_result_rate(batcher)
    ahead = 0
    ahead_bytes = 0
    for work in sorted(batcher.works.values(), key=lambda work: work.arrived_s):
        if not work.waiting or not order.is_late(batcher, now, work):
            continue
        wait_s = 0.0
        not_started = len(work.waiting) == len(work.message.pieces)
        if not_started and work.message.depth == 0 and late_rate > 0:
            wait_s = ahead / late_rate
            if work.message.result_bytes:
                wait_s = max(wait_s, ahead_bytes / late_result_rate)
        if now + wait_s + batcher.capacity.call_s <= work.deadline_s:
            ahead += len(work.waiting)
            ahead_bytes += len(work.waiting) * work.message.result_bytes
            continue
        cancel(batcher, now, work.message.work)
        _learn_wait(batcher, now, work)
        reason = "the deadline cannot be met any more"
        backlog = backlog_s(batcher, batcher.works.values())
        ended.append(_refused(work, reason, max(wait_s, backlog, FULL_PAUSE_S)))
    return ended


def repeats_handles(call: tables.Call, outcomes: list[tables.ItemOutcome]) -> bool:
    """Return whether outcomes name the result of another piece in an earlier answer.

    They are then the late second copy of that answer, and not the outcomes of the call.
    """
    recent = call.upstream.recent_handles
    return any(
        recent.get(outcome.handle, piece) != piece
        for piece, outcome in zip(call.pieces, outcomes, strict=True)
    )


def call_done(
    batcher: tables.Batcher,
    now: float,
    number: int,
    outcomes: list[tables.ItemOutcome],
) -> list[tables.Finished]:
    """Process an upstream's answer to a call: one outcome per item, in their order."""
    call = batcher.calls.pop(number)
    upstream = call.upstream
    upstream.calls -= 1
    upstream.failures = 0
    _release_upstream(batcher, now, upstream)
    _record_handles(call, outcomes)
    produced = sum(outcome.handle is not None for outcome in outcomes)
    if produced:
        _learn_speed(call, now, _call_s(batcher.capacity, produced) * upstream.slowness)
    ended = []
    for item, outcome in zip(call.items, outcomes, strict=True):
        finished = _item_done(batcher, now, call, item, outcome)
        if finished is not None:
            ended.append(finished)
    return ended


def _release_upstream(
    batcher: tables.Batcher, now: float, upstream: tables.Upstream
) -> None:
    """Record the end of a call; the upstream now begins with one that waits there.

    Of the time that this took, what the one before it was late does not count as its.
    """
    if upstream.calls == 0:
        upstream.busy_until_s = now
        return
    if upstream.calls < batcher.capacity.concurrency:
        return
    waiting = max(_calls_at(batcher, upstream), key=lambda call: call.number)
    late_s = now - upstream.overhead_s - waiting.begins_s
    if late_s > 0:
        waiting.begins_s += late_s
        upstream.busy_until_s += late_s


def _calls_at(batcher: tables.Batcher, upstream: tables.Upstream) -> list[tables.Call]:
    return [call for call in batcher.calls.values() if call.upstream is upstream]


def _record_handles(call: tables.Call, outcomes: list[tables.ItemOutcome]) -> None:
    recent = call.upstream.recent_handles
    for piece, outcome in zip(call.pieces, outcomes, strict=True):
        if outcome.handle is not None:
            recent[outcome.handle] = piece
    while len(recent) > MAXIMUM_RECENT_HANDLES:
        del recent[next(iter(recent))]


def call_failed(
    batcher: tables.Batcher,
    now: float,
    number: int,
    *,
    full: bool,
    timed_out: bool = False,
    lost: bool = False,
) -> list[tables.Finished]:
    """Requeue the pieces of a failed call and pause the upstream.

    Unless the upstream was full, it may have produced results that nothing can free. If
    it was ``lost``, some work in the call may have crashed it, not any in calls that
    waited there behind it.
    """
    call = batcher.calls[number]
    begun = has_begun(batcher, call)
    if lost or timed_out:
        for other in _calls_at(batcher, call.upstream):
            other.behind_failed |= not has_begun(batcher, other)
    del batcher.calls[number]
    upstream = call.upstream
    upstream.calls -= 1
    _release_upstream(batcher, now, upstream)
    if full:
        upstream.paused_until_s = now + FULL_PAUSE_S
    else:
        if timed_out:
            _learn_speed(call, now, call.expected_s)
        _record_lost_results(batcher, now, call)
        doublings = min(upstream.failures, MAXIMUM_DOUBLINGS)
        pause_s = min(MAXIMUM_PAUSE_S, FAILED_PAUSE_S * 2**doublings)
        upstream.failures += 1
        upstream.paused_until_s = now + pause_s * (
            TIMEOUT_PAUSE_FACTOR if timed_out else 1.0
        )
    if begun:
        _count_ends(batcher, call, timed_out=timed_out, lost=lost)
    ended = []
    for item in call.items:
        work = batcher.works.get(item.work)
        _release_reservation(batcher, upstream, work)
        if work is None:
            continue
        if work.lost_alone >= MAXIMUM_LOST_ALONE:
            cancel(batcher, now, item.work)
            ended.append(_refused(work, "its pieces crash upstreams", FAILED_PAUSE_S))
            continue
        work.waiting.append(item.index)
        work.failures += 0 if full else 1
        if work.failures > MAXIMUM_FAILURES * len(work.message.pieces):
            cancel(batcher, now, item.work)
            ended.append(_refused(work, "too many failed calls", FAILED_PAUSE_S))
    return ended


def refuse(
    batcher: tables.Batcher, now: float, work_id: str, reason: str, retry_after_s: float
) -> tables.Finished:
    """Drop a work item in the queue; return it as refused."""
    work = cancel(batcher, now, work_id)
    return _refused(work, reason, retry_after_s)


def has_begun(batcher: tables.Batcher, call: tables.Call) -> bool:
    """Return whether the upstream may have begun with a call that runs.

    One that was sent ahead waits there behind as many as run at once.
    """
    earlier = [
        other
        for other in _calls_at(batcher, call.upstream)
        if other.number < call.number
    ]
    return not call.behind_failed and len(earlier) < batcher.capacity.concurrency


def works_of(batcher: tables.Batcher, call: tables.Call) -> list[tables.Work]:
    """Return the work items of a call that are still wanted."""
    names = dict.fromkeys(item.work for item in call.items)
    return [batcher.works[name] for name in names if name in batcher.works]


def _count_ends(
    batcher: tables.Batcher, call: tables.Call, *, timed_out: bool, lost: bool
) -> None:
    is_alone = len({item.work for item in call.items}) == 1
    for work in works_of(batcher, call):
        work.timed_out_calls += timed_out
        work.lost_calls += lost
        work.lost_alone += lost and is_alone


def _record_lost_results(
    batcher: tables.Batcher,
    now: float,
    call: tables.Call,
) -> None:
    """Count the results that a failed call may have produced as occupied memory.

    Without their handles nothing can free them, so they occupy it until they expire.
    """
    sizes = [
        batcher.works[item.work].message.result_bytes
        for item in call.items
        if item.work in batcher.works
    ]
    call.upstream.results[f"lost {call.number}"] = tables.Result(
        size_bytes=sum(sizes),
        call_sent_s=call.sent_s,
        expires_s=now + batcher.capacity.result_ttl_s,
    )


def free(
    batcher: tables.Batcher,
    now: float,
    handles: list[str],
) -> dict[str, list[str]]:
    """Remove results; return their handles by the address of the producer."""
    by_address: dict[str, list[str]] = {}
    for handle in handles:
        for upstream in batcher.upstreams.values():
            result = upstream.results.pop(handle, None)
            if result is not None:
                by_address.setdefault(upstream.address, []).append(handle)
                retention_s = now - result.call_sent_s
                batcher.mean_result_retention_s += RESULT_RETENTION_WEIGHT * (
                    retention_s - batcher.mean_result_retention_s
                )
                break
    return by_address


def take_abandoned_handles(batcher: tables.Batcher) -> dict[str, list[str]]:
    """Return and clear the handles that nothing will read, by producer address."""
    abandoned_handles = batcher.abandoned_handles
    batcher.abandoned_handles = {}
    return abandoned_handles


def remove_expired_results(batcher: tables.Batcher, now: float) -> None:
    """Remove results that have expired on the upstreams that stored them."""
    for upstream in batcher.upstreams.values():
        expired_handles = [
            handle
            for handle, result in upstream.results.items()
            if result.expires_s <= now
        ]
        for handle in expired_handles:
            del upstream.results[handle]


def set_upstreams(
    batcher: tables.Batcher, endpoints: dict[str, tuple[str, str]]
) -> None:
    """Replace the set of upstreams: address and availability zone by id.

    Running calls to a removed upstream continue until they end.
    """
    for upstream_id in set(batcher.upstreams) - set(endpoints):
        del batcher.upstreams[upstream_id]
    for upstream_id, (address, zone) in endpoints.items():
        upstream = batcher.upstreams.get(upstream_id)
        if upstream is None or upstream.address != address:
            batcher.upstreams[upstream_id] = tables.Upstream(upstream_id, address, zone)


def forget_restarted(batcher: tables.Batcher, started_ms: dict[str, int]) -> None:
    """Forget upstreams that have started again: speed, pauses and results are void."""
    for upstream_id, upstream in list(batcher.upstreams.items()):
        if started_ms.get(upstream_id, upstream.started_ms) != upstream.started_ms:
            del batcher.upstreams[upstream_id]


def _is_free(batcher: tables.Batcher, now: float, upstream: tables.Upstream) -> bool:
    return (
        upstream.calls < batcher.capacity.concurrency
        and now >= upstream.paused_until_s
        and now >= upstream.requested_pause_until_s
    )


def _is_about_to_be_free(
    batcher: tables.Batcher, now: float, upstream: tables.Upstream
) -> bool:
    """Return whether a call sent now will arrive when the running one ends."""
    return (
        batcher.capacity.queue > 0
        and upstream.calls == batcher.capacity.concurrency
        and upstream.failures == 0
        and upstream.busy_until_s - _lead_s(batcher, upstream)
        <= now
        < upstream.busy_until_s
        and now >= upstream.paused_until_s
        and now >= upstream.requested_pause_until_s
    )


def _lead_s(batcher: tables.Batcher, upstream: tables.Upstream) -> float:
    return min(upstream.overhead_s, batcher.travel_s, MAXIMUM_LEAD_S)


def record_call_bytes(
    batcher: tables.Batcher, sent_bytes: int, link_bytes_per_s: float
) -> None:
    """Learn how long calls and their answers take on this host's link."""
    travel_s = TRAVEL_FACTOR * sent_bytes / max(1.0, link_bytes_per_s)
    batcher.travel_s += TRAVEL_WEIGHT * (travel_s - batcher.travel_s)


def _free_at_s(upstream: tables.Upstream, now: float) -> float:
    """Return when an upstream is expected to take its next call."""
    return max(
        upstream.busy_until_s,
        upstream.paused_until_s,
        upstream.requested_pause_until_s,
        now,
    )


def _shortest_requested_pause_s(batcher: tables.Batcher, now: float) -> float:
    """Return the time until the first upstream takes work; 0 if one did not pause."""
    ends = [upstream.requested_pause_until_s for upstream in batcher.upstreams.values()]
    return max(0.0, min(ends, default=now) - now)


def _fill(
    batcher: tables.Batcher,
    now: float,
    upstream: tables.Upstream,
) -> list[tables.PieceRef]:
    """Select the pieces of a call, preferring work that belongs in this zone."""
    works = order.in_order_of_rank(batcher, now)
    eligible = [work for work in works if _prefers_zone_of(work, upstream)]
    eligible += [
        work
        for work in works
        if not _prefers_zone_of(work, upstream) and _may_leave_zone(batcher, now, work)
    ]
    for work in eligible:
        work.late = work.late or order.is_late(batcher, now, work)
    for works in _separated(eligible):
        items = _pack(batcher, now, upstream, works)
        if items:
            return items
    return []


def _separated(works: list[tables.Work]) -> list[list[tables.Work]]:
    """Return the groups of work that may share a call, in order of rank.

    Work that may have crashed an upstream shares none: the call would be lost for all.
    """
    together = [work for work in works if not _is_separate(work)]
    groups = [[work] for work in works if _is_separate(work)]
    if together:
        groups.append(together)
    return sorted(groups, key=lambda group: works.index(group[0]))


def _is_separate(work: tables.Work) -> bool:
    return work.lost_calls > 0 or work.timed_out_calls >= TIMEOUTS_TO_SEPARATE


def _pack(
    batcher: tables.Batcher,
    now: float,
    upstream: tables.Upstream,
    eligible: list[tables.Work],
) -> list[tables.PieceRef]:
    """Select pieces up to a full call, with a share for late work."""
    free_bytes = _free_bytes(batcher, now, upstream)
    late = sorted(
        (work for work in eligible if work.late),
        key=lambda work: work.arrived_s,
    )
    batch = batcher.capacity.batch
    reserved_for_late = math.ceil(batch * order.LATE_SHARE) if late else 0
    free_late_bytes = _free_late_bytes(batcher, upstream)
    partial_call = _PartialCall(free_bytes=free_bytes, free_late_bytes=free_late_bytes)
    _add_pieces(partial_call, eligible, batch - reserved_for_late)
    _add_pieces(partial_call, late, batch)
    _add_pieces(partial_call, eligible, batch)
    return partial_call.items


def _prefers_zone_of(work: tables.Work, upstream: tables.Upstream) -> bool:
    preferred_zone = work.message.preferred_zone
    return not preferred_zone or preferred_zone == upstream.zone


def _may_leave_zone(
    batcher: tables.Batcher,
    now: float,
    work: tables.Work,
) -> bool:
    """Return whether upstreams in the preferred zone would miss the work's objective.

    Work already marked late has no objective left to meet: it stays in its zone unless
    the upstreams there are busy for long.
    """
    upstreams_in_zone = [
        upstream
        for upstream in batcher.upstreams.values()
        if upstream.zone == work.message.preferred_zone
    ]
    if not upstreams_in_zone:
        return True
    free_s = min(_free_at_s(upstream, now) for upstream in upstreams_in_zone)
    if work.late:
        return free_s > now + LATE_ZONE_WAIT_S
    return work.objective_s < free_s + order.shortest_call_s(batcher, work)


@dataclasses.dataclass(slots=True)
class _PartialCall:
    """A call that is being filled, and the free memory for its results in bytes."""

    free_bytes: float
    free_late_bytes: float
    items: list[tables.PieceRef] = dataclasses.field(default_factory=list)


def _add_pieces(
    partial_call: _PartialCall, works: list[tables.Work], batch: int
) -> None:
    """Move pieces into the call until it has ``batch`` items or memory runs out."""
    for work in works:
        size = work.message.result_bytes
        while work.waiting and len(partial_call.items) < batch:
            if size > (
                min(partial_call.free_bytes, partial_call.free_late_bytes)
                if work.late
                else partial_call.free_bytes
            ):
                break
            partial_call.items.append(
                tables.PieceRef(work.message.work, work.waiting.pop(0))
            )
            partial_call.free_bytes -= size
            partial_call.free_late_bytes -= size if _uses_late_memory(work) else 0


def _uses_late_memory(work: tables.Work) -> bool:
    """Return whether a work item's results count against the memory for late work."""
    return work.late and work.message.feeds_stage


def _free_late_bytes(batcher: tables.Batcher, upstream: tables.Upstream) -> float:
    used_bytes = sum(
        result.size_bytes for result in upstream.results.values() if result.late
    )
    return (
        LATE_MEMORY_SHARE * batcher.capacity.result_memory_bytes
        - used_bytes
        - upstream.reserved_late_bytes
    )


def _free_bytes(
    batcher: tables.Batcher, now: float, upstream: tables.Upstream
) -> float:
    used_bytes = sum(result.size_bytes for result in upstream.results.values())
    age_s = now - upstream.foreign_estimated_s
    foreign_bytes = upstream.foreign_bytes * 0.5 ** (age_s / FOREIGN_HALF_LIFE_S)
    return (
        batcher.capacity.result_memory_bytes
        - used_bytes
        - upstream.reserved_bytes
        - foreign_bytes
    )


def _record_memory_full(
    batcher: tables.Batcher, now: float, upstream: tables.Upstream
) -> None:
    """Record that an upstream's memory is full, whichever host caused its results."""
    free_bytes = _free_bytes(batcher, now, upstream)
    if free_bytes <= 0:
        return
    age_s = now - upstream.foreign_estimated_s
    upstream.foreign_bytes *= 0.5 ** (age_s / FOREIGN_HALF_LIFE_S)
    upstream.foreign_bytes += free_bytes
    upstream.foreign_estimated_s = now


def _start_call(
    batcher: tables.Batcher,
    now: float,
    upstream: tables.Upstream,
    items: list[tables.PieceRef],
) -> tables.Call:
    capacity = batcher.capacity
    expected_s = _call_s(capacity, len(items)) * upstream.slowness
    batcher.next_call += 1
    call = tables.Call(
        number=batcher.next_call,
        upstream=upstream,
        items=items,
        sent_s=now,
        expected_s=expected_s,
        begins_s=now,
        pieces=[_piece_name(batcher, item) for item in items],
    )
    batcher.calls[call.number] = call
    upstream.calls += 1
    upstream.busy_until_s = now + expected_s
    on_time = sum(not batcher.works[item.work].late for item in items)
    share = on_time / capacity.batch
    batcher.on_time_share += SHARE_WEIGHT * (share - batcher.on_time_share)
    for item in items:
        work = batcher.works[item.work]
        upstream.reserved_bytes += work.message.result_bytes
        upstream.reserved_late_bytes += (
            work.message.result_bytes if _uses_late_memory(work) else 0
        )
    return call


def _piece_name(batcher: tables.Batcher, item: tables.PieceRef) -> str:
    message = batcher.works[item.work].message
    number = message.pieces[item.index].number
    return f"{message.request}/{message.stage}/{number}"


def _item_done(
    batcher: tables.Batcher,
    now: float,
    call: tables.Call,
    item: tables.PieceRef,
    outcome: tables.ItemOutcome,
) -> tables.Finished | None:
    upstream = call.upstream
    work = batcher.works.get(item.work)
    _release_reservation(batcher, upstream, work)
    if outcome.handle is not None:
        size = 0 if work is None else work.message.result_bytes
        expires_s = now + batcher.capacity.result_ttl_s
        late = work is not None and _uses_late_memory(work)
        upstream.results[outcome.handle] = tables.Result(
            size_bytes=size,
            call_sent_s=call.sent_s,
            expires_s=expires_s,
            late=late,
        )
    if work is None:
        if outcome.handle is not None:
            _abandon(batcher, now, [outcome.handle])
        return None
    if outcome.handle is not None:
        work.handles[item.index] = outcome.handle
        if len(work.handles) < len(work.message.pieces):
            return None
        del batcher.works[item.work]
        _learn_wait(batcher, now, work)
        return tables.Finished(work)
    return _item_failed(batcher, now, upstream, work, item, outcome)


def _item_failed(
    batcher: tables.Batcher,
    now: float,
    upstream: tables.Upstream,
    work: tables.Work,
    item: tables.PieceRef,
    outcome: tables.ItemOutcome,
) -> tables.Finished | None:
    if outcome.lost_input or outcome.too_late:
        cancel(batcher, now, item.work)
        return _refused(work, outcome.reason, 0.0, lost_input=outcome.lost_input)
    if outcome.memory_full:
        _record_memory_full(batcher, now, upstream)
    else:
        work.failures += 1
    if work.failures > MAXIMUM_FAILURES:
        cancel(batcher, now, item.work)
        return _refused(work, outcome.reason, FAILED_PAUSE_S)
    work.waiting.append(item.index)
    return None


def _abandon(batcher: tables.Batcher, now: float, handles: list[str]) -> None:
    """Record results that nothing will read, to free them at their producers."""
    for address, freed in free(batcher, now, handles).items():
        batcher.abandoned_handles.setdefault(address, []).extend(freed)


def _release_reservation(
    batcher: tables.Batcher,
    upstream: tables.Upstream,
    work: tables.Work | None,
) -> None:
    """Release the memory reserved for one piece; all of it once no call is running."""
    if upstream.calls == 0:
        upstream.reserved_bytes = 0
        upstream.reserved_late_bytes = 0
    elif work is not None:
        size = work.message.result_bytes
        upstream.reserved_bytes = max(0, upstream.reserved_bytes - size)
        late_size = size if _uses_late_memory(work) else 0
        upstream.reserved_late_bytes = max(0, upstream.reserved_late_bytes - late_size)


def _learn_speed(call: tables.Call, now: float, expected_s: float) -> None:
    """Update an upstream's slowness from a call's actual and expected duration."""
    upstream = call.upstream
    declared_s = max(expected_s / upstream.slowness, MINIMUM_CALL_S)
    took_s = now - call.begins_s
    overhead_s = max(0.0, took_s - declared_s)
    upstream.overhead_s += SLOWNESS_WEIGHT * (overhead_s - upstream.overhead_s)
    ratio = took_s / declared_s
    ratio = max(MINIMUM_SLOWNESS, ratio)
    upstream.slowness += SLOWNESS_WEIGHT * (ratio - upstream.slowness)


def _refused(
    work: tables.Work,
    reason: str,
    retry_after_s: float,
    *,
    lost_input: bool = False,
) -> tables.Finished:
    refusal = fleet.StageRefused(
        work=work.message.work,
        reason=reason,
        retry_after_s=min(retry_after_s, MAXIMUM_RETRY_AFTER_S),
        lost_input=lost_input,
    )
    return tables.Finished(work, refusal)
