"""Batch the stage work of all hosts into calls to the stage upstreams.

For a short time two hosts may send calls to the same upstreams: the upstream's own
queue absorbs them, and producing a piece twice is harmless.
"""

import asyncio
import logging
import math
from collections.abc import Callable
from typing import Any

from bitternlever.batching import batcher, groups, tables as batching_tables
from bitternlever.core import clocks
from bitternlever.fleet import upstreams as fleet_upstreams
from bitternlever.gateway import (
    batch_owners,
    crash_subjects,
    dialect as gateway_dialect,
    notices,
    rate_shares,
    state,
    sync,
)
from bitternlever.messages import fleet
from bitternlever.telemetry import events
from bitternlever.transport import exchange, links

REPORT_INTERVAL_S = 1.0

MAXIMUM_KEPT_ANSWERS = 512
"""Number of answers kept to be resent if their work is requested again."""

CALL_TIMEOUT_FACTOR = 2.0
"""A call that exceeds its expected duration by this factor is repeated elsewhere."""

CALL_TIMEOUT_EXTRA_S = 0.25
"""Allowance for fetching inputs, which the expected duration does not include."""

FREE_TIMEOUT_S = 1.0
"""Results not freed within this time expire by themselves a few seconds later."""

CALLS_PER_FREE = 4.0
"""A limited upstream gets at most every fourth call to free results."""

STAGE_CONNECTION_IDLE_S = 30.0
"""Stage calls are repeatable, so connections are reused up to their idle limit."""

MAXIMUM_ANSWER_BYTES = 1_000_000

MAXIMUM_FREED_BYTES = 16
"""The answer to freeing results is empty; that to a stage call names its results."""

logger = logging.getLogger(__name__)


def receive(gateway: state.Gateway, now: float, link: str, message: Any) -> None:
    """Handle a message about stage work, from another host or from this one."""
    match message:
        case fleet.StageWork():
            _handle_work(gateway, now, link, message)
        case fleet.StageCancelled():
            for queue in gateway.tables.batchers.values():
                batcher.cancel(queue, now, message.work)
            pump_later(gateway)
            gateway.batching.answered.pop(message.work, None)
        case fleet.StageResultsFreed():
            _free(gateway, now, message)
        case (
            fleet.StageAccepted()
            | fleet.StageWorkStarted()
            | fleet.StageDone()
            | fleet.StageRefused()
        ):
            mailbox = gateway.batching.waiting.get(message.work)
            if mailbox is not None:
                mailbox.put_nowait(message)


def busy(gateway: state.Gateway) -> bool:
    """Return whether this host still batches work of any host."""
    return any(queue.works or queue.calls for queue in gateway.tables.batchers.values())


def loads(gateway: state.Gateway, now: float) -> list[fleet.ServiceLoad]:
    """Return the loads of the groups of upstreams that this host batches."""
    return [
        batcher.load(queue, now)
        for queue in gateway.tables.batchers.values()
        if batch_owners.owner(gateway, now, queue.service, queue.group)
        == gateway.settings.link
    ]


def pump_later(gateway: state.Gateway) -> None:
    """Send calls at the end of the current event loop iteration."""
    if not gateway.batching.pump_scheduled:
        gateway.batching.pump_scheduled = True
        asyncio.get_running_loop().call_soon(_pump_now, gateway)


def pump(gateway: state.Gateway) -> None:
    """Expire work that is too late and send calls to idle upstreams.

    Run again when an upstream is about to be idle while a full call waits.
    """
    now = clocks.boot_time()
    due_s = []
    for queue in gateway.tables.batchers.values():
        _pump_service(gateway, now, queue)
        due_s.append(batcher.next_dispatch_s(queue, now))
    next_s = min((each_s for each_s in due_s if each_s is not None), default=None)
    if next_s is not None and not gateway.closing:
        _pump_at(gateway, now, next_s)


def _pump_at(gateway: state.Gateway, now: float, at_s: float) -> None:
    """Run the queues at a time, unless they will be run earlier."""
    timer = gateway.batching.timer
    loop = asyncio.get_running_loop()
    when = loop.time() + at_s - now
    if timer is not None and not timer.cancelled() and loop.time() < timer.when():
        if timer.when() <= when:
            return
        timer.cancel()
    gateway.batching.timer = loop.call_at(when, pump_later, gateway)


def report(gateway: state.Gateway, now: float) -> None:
    """Log at intervals what the batching of each service takes of this host."""
    if now < gateway.batching.next_report_s:
        return
    gateway.batching.next_report_s = now + REPORT_INTERVAL_S
    for queue in gateway.tables.batchers.values():
        if queue.works or queue.calls:
            events.BATCHING_LOAD.log(
                logger,
                service=queue.service,
                upstreams=len(queue.upstreams),
                works=len(queue.works),
                waiting=sum(len(work.waiting) for work in queue.works.values()),
                calls=len(queue.calls),
                link_bytes_sent=gateway.links.bytes_sent,
                link_bytes_received=gateway.links.bytes_received,
                upstream_bytes_sent=gateway.pool.bytes_sent,
                oldest_unacknowledged_s=round(
                    links.oldest_unacknowledged_s(gateway.links, now), 3
                ),
            )


def _handle_work(
    gateway: state.Gateway, now: float, link: str, message: fleet.StageWork
) -> None:
    kept_answer = gateway.batching.answered.get(message.work)
    if kept_answer is not None:
        state.send(gateway, link, kept_answer)
        return
    queue = _batcher(gateway, message.service, message.group)
    if queue is None:
        refusal = fleet.StageRefused(message.work, "no such stage service", 1.0)
        state.send(gateway, link, refusal)
        return
    if message.work not in queue.works:
        _update_upstreams(gateway, now, queue)
        refused = batcher.submit(queue, now, message, link)
        if refused is not None:
            _finish(gateway, refused)
            return
        pump_later(gateway)
    accepted = fleet.StageAccepted(work=message.work, load=batcher.load(queue, now))
    state.send(gateway, link, accepted)


def _batcher(
    gateway: state.Gateway, service: str, group: str
) -> batching_tables.Batcher | None:
    catalog = gateway.tables.catalog
    if catalog is None:
        return None
    declared = catalog.services.get(service)
    if declared is None or declared.stage is None:
        return None
    queue = gateway.tables.batchers.get((service, group))
    if queue is None:
        queue = batcher.create(declared, group)
        gateway.tables.batchers[service, group] = queue
    queue.capacity = declared.stage
    return queue


def _upstreams_of(
    gateway: state.Gateway, now: float, queue: batching_tables.Batcher
) -> list[fleet.UpstreamStatus]:
    """Return the usable upstreams of a queue's group, all if there are no groups."""
    usable = sync.usable_upstreams(gateway.tables, now, queue.service)
    if queue.group == batch_owners.WHOLE_SERVICE:
        return usable
    parts = batch_owners.divided(gateway.tables, now, queue.service)
    group = groups.find(parts, queue.group)
    if group is None:
        return usable
    return [upstream for upstream in usable if upstream.upstream in group.upstreams]


def _update_upstreams(
    gateway: state.Gateway, now: float, queue: batching_tables.Batcher
) -> None:
    usable = _upstreams_of(gateway, now, queue)
    batcher.forget_restarted(
        queue, {upstream.upstream: upstream.started_ms for upstream in usable}
    )
    batcher.set_upstreams(
        queue,
        {upstream.upstream: (upstream.address, upstream.zone) for upstream in usable},
    )
    for upstream in usable:
        pause_s = sync.pause_ends_s(gateway.tables, now, upstream)
        opens_s = rate_shares.call_opens_s(gateway.tables, now, upstream)
        seen = queue.upstreams[upstream.upstream]
        seen.started_ms = upstream.started_ms
        seen.requested_pause_until_s = max(pause_s or now, opens_s or now)
        seen.calls_per_s = rate_shares.calls_per_s(gateway.tables, now, upstream)


def _pump_now(gateway: state.Gateway) -> None:
    gateway.batching.pump_scheduled = False
    pump(gateway)


def _pump_service(
    gateway: state.Gateway, now: float, queue: batching_tables.Batcher
) -> None:
    if not queue.works and not queue.calls and not queue.abandoned_handles:
        batcher.remove_expired_results(queue, now)
        return
    _update_upstreams(gateway, now, queue)
    batcher.remove_expired_results(queue, now)
    for finished in [
        *_refuse_quarantined(gateway, now, queue),
        *batcher.refuse_expired_work(queue, now),
    ]:
        _finish(gateway, finished)
    for address, handles in batcher.take_abandoned_handles(queue).items():
        state.run_in_background(gateway, _send_free(gateway, address, handles))
    for call in batcher.dispatch(queue, now):
        items = [_item(queue, item, now) for item in call.items]
        _take_call(gateway, now, call.upstream.upstream_id)
        _notify_started(gateway, queue, call)
        state.run_in_background(gateway, _call(gateway, queue, call, items))


def _take_call(gateway: state.Gateway, now: float, upstream: str) -> None:
    entry = gateway.tables.upstreams.entries.get(upstream)
    if entry is not None:
        rate_shares.take_call(gateway.tables, now, entry.status)


def _notify_started(
    gateway: state.Gateway,
    queue: batching_tables.Batcher,
    call: batching_tables.Call,
) -> None:
    for name in {item.work for item in call.items}:
        work = queue.works[name]
        if work.message.notify_start and not work.waiting:
            state.send(gateway, work.link, fleet.StageWorkStarted(work=name))


async def _call(
    gateway: state.Gateway,
    queue: batching_tables.Batcher,
    call: batching_tables.Call,
    items: list[gateway_dialect.StageItem],
) -> None:
    request = gateway.dialect.stage_call(
        call.upstream.address, call.upstream.upstream_id, items
    )
    rate = gateway.settings.link_bytes_per_s
    batcher.record_call_bytes(queue, len(request.body), rate)
    timeout_s = call.expected_s * CALL_TIMEOUT_FACTOR + CALL_TIMEOUT_EXTRA_S
    full = timed_out = lost = False
    outcomes = None
    reason = ""

    def decode(status: int, body: bytes) -> str:
        """Keep the outcomes of an answer; return what is wrong with it, if anything."""
        nonlocal full, outcomes
        full = status == 503
        if status != 200:
            return ""
        decoded = gateway.dialect.stage_answer(body, len(items))
        if decoded.is_err():
            return decoded.err()
        if batcher.repeats_handles(call, decoded.ok()):
            return "a late answer to another call"
        outcomes = decoded.ok()
        return ""

    try:
        async with asyncio.timeout(timeout_s):
            status = await _exchange(
                gateway,
                call.upstream.address,
                call.upstream.upstream_id,
                request,
                decode,
            )
        reason = f"status {status}"
    except TimeoutError:
        timed_out = True
        reason = f"no answer within {timeout_s:.2f} s"
    except exchange.ExchangeError as error:
        notices.handle_failed_exchange(gateway, call.upstream.upstream_id, error)
        reason = error.reason
        lost = error.lost and error.sent
    now = clocks.boot_time()
    if outcomes is None:
        gateway.measures.batches[f"{queue.service}.failed"] += 1
        events.STAGE_CALL_FAILED.log(
            logger,
            service=queue.service,
            upstream=call.upstream.upstream_id,
            items=len(items),
            lost=lost,
            reason=reason,
        )
        if (lost or timed_out) and batcher.has_begun(queue, call):
            _record_possible_crash(gateway, now, queue, call, lost=lost)
        ended = batcher.call_failed(
            queue, now, call.number, full=full, timed_out=timed_out, lost=lost
        )
    else:
        gateway.measures.batches[f"{queue.service}.calls"] += 1
        gateway.measures.batches[f"{queue.service}.pieces"] += len(items)
        events.STAGE_CALL_DONE.log(
            logger,
            service=queue.service,
            upstream=call.upstream.upstream_id,
            items=len(items),
            request=items[0].request,
            requests=sorted({item.request for item in items}),
            took_s=round(now - call.sent_s, 3),
            failed=[outcome.reason for outcome in outcomes if outcome.handle is None],
            waiting=sum(len(work.waiting) for work in queue.works.values()),
            held_s=round(queue.mean_result_retention_s, 3),
        )
        ended = batcher.call_done(queue, now, call.number, outcomes)
    for finished in ended:
        _finish(gateway, finished)
    pump_later(gateway)


def _record_possible_crash(
    gateway: state.Gateway,
    now: float,
    queue: batching_tables.Batcher,
    call: batching_tables.Call,
    *,
    lost: bool,
) -> None:
    """Record all requests of a call that may have crashed its upstream.

    If it has not been ``lost``, they count if the upstream stays silent.
    """
    entry = gateway.tables.upstreams.entries.get(call.upstream.upstream_id)
    if entry is None or exchange.lost_together(gateway.pool, now):
        return
    parts = gateway.tables.crash_subjects
    for work in batcher.works_of(queue, call):
        request = work.message.request
        names = tuple(work.message.fingerprints)
        if lost:
            crash_subjects.record_crash_of(parts, now, request, names, entry.status)
        else:
            crash_subjects.record_unanswered_of(
                parts, now, request, names, entry.status, call.sent_s
            )


def _refuse_quarantined(
    gateway: state.Gateway, now: float, queue: batching_tables.Batcher
) -> list[batching_tables.Finished]:
    """Refuse work of requests that were quarantined after their hosts sent it."""
    parts = gateway.tables.crash_subjects
    if not parts.records:
        return []
    ended = []
    for name, work in list(queue.works.items()):
        refused = crash_subjects.quarantined_since(
            parts, now, work.message.fingerprints, work.arrived_s
        )
        if refused is not None:
            finished = batcher.refuse(queue, now, name, refused.reason, refused.left_s)
            ended.append(finished)
    return ended


def _item(
    queue: batching_tables.Batcher,
    item: batching_tables.PieceRef,
    now: float,
) -> gateway_dialect.StageItem:
    work = queue.works[item.work]
    piece = work.message.pieces[item.index]
    return gateway_dialect.StageItem(
        request=work.message.request,
        stage=work.message.stage,
        piece=fleet.StagePiece(piece.number, work.message.inputs + piece.inputs),
        left_s=work.deadline_s - now,
        key=work.message.key,
    )


async def _exchange(
    gateway: state.Gateway,
    address: str,
    expected: str | None,
    request: gateway_dialect.StageRequest,
    fault_of: Callable[[int, bytes], str],
) -> int:
    """Send a call and return the status of its answer.

    ``fault_of`` returns what is wrong with an answer. The connection of a faulty one is
    closed: the answer to this call may still arrive on it.
    """
    connection = await exchange.send(
        gateway.pool,
        address,
        request.method,
        request.target,
        request.headers,
        request.body,
        maximum_idle_s=STAGE_CONNECTION_IDLE_S,
    )
    try:
        head = await exchange.read_head(connection)
        notices.handle(gateway, address, expected, head)
        body = await exchange.read_body(gateway.pool, connection, MAXIMUM_ANSWER_BYTES)
        fault = fault_of(head.status, body)
        if fault:
            connection.abort(fault)
            raise connection.incomplete_answer_error()
    except BaseException:
        exchange.discard(connection)
        raise
    exchange.release(gateway.pool, address, connection, head)
    return head.status


def _finish(gateway: state.Gateway, finished: batching_tables.Finished) -> None:
    work = finished.work
    answer = finished.refusal
    if answer is None:
        count = len(work.message.pieces)
        answer = fleet.StageDone(
            work=work.message.work,
            handles=[work.handles[index] for index in range(count)],
        )
    answered = gateway.batching.answered
    answered[work.message.work] = answer
    if len(answered) > MAXIMUM_KEPT_ANSWERS:
        answered.popitem(last=False)
    state.send(gateway, work.link, answer)


def _free(gateway: state.Gateway, now: float, message: fleet.StageResultsFreed) -> None:
    """Free results, including those of calls that another host sent before."""
    for queue in gateway.tables.batchers.values():
        if queue.service == message.service:
            batcher.free(queue, now, message.handles)
            pump_later(gateway)
    by_address: dict[str, list[str]] = {}
    for handle in message.handles:
        address = gateway.dialect.producer_address(handle)
        by_address.setdefault(address, []).append(handle)
    for address, handles in by_address.items():
        state.run_in_background(gateway, _send_free(gateway, address, handles))


def _fault_of_freeing(status: int, body: bytes) -> str:
    """Return the fault of an answer that is too long to be one to freeing results."""
    return "a late answer to another call" if len(body) > MAXIMUM_FREED_BYTES else ""


async def _send_free(gateway: state.Gateway, address: str, handles: list[str]) -> None:
    """Free results at their producer, after a pause that it asked for.

    Results at an upstream that has ended or is leaving end with it, those in an
    evacuated zone expire there. Calls to free results count towards a rate limit.
    """
    holder = fleet_upstreams.holder(gateway.tables.upstreams, address)
    entry = gateway.tables.upstreams.entries.get(holder or "")
    if entry is not None:
        if _has_ended_or_is_evacuated(gateway, entry):
            return
        now = clocks.boot_time()
        until_s = sync.pause_ends_s(gateway.tables, now, entry.status)
        if until_s is not None:
            await asyncio.sleep(until_s - now)
        handles = await _collect_within_limit(gateway, entry.status, handles)
        if not handles or _has_ended_or_is_evacuated(gateway, entry):
            return
    request = gateway.dialect.stage_free(address, handles)
    try:
        async with asyncio.timeout(FREE_TIMEOUT_S):
            await _exchange(gateway, address, None, request, _fault_of_freeing)
    except (TimeoutError, exchange.ExchangeError) as error:
        events.RESULTS_NOT_FREED.log(logger, address=address, reason=str(error))


def _has_ended_or_is_evacuated(
    gateway: state.Gateway, entry: fleet_upstreams.Entry
) -> bool:
    return entry.ended_s is not None or sync.is_evacuated(gateway.tables, entry.status)


async def _collect_within_limit(
    gateway: state.Gateway, upstream: fleet.UpstreamStatus, handles: list[str]
) -> list[str]:
    """Return the results to free in one call, now or as soon as a limit allows it.

    Return none if another call will free them, or if they expire earlier.
    """
    per_s = rate_shares.calls_per_s(gateway.tables, clocks.boot_time(), upstream)
    if per_s == math.inf:
        return handles
    collected = gateway.batching.collected_handles
    if upstream.address in collected:
        collected[upstream.address].extend(handles)
        return []
    collected[upstream.address] = handles = list(handles)
    interval_s = CALLS_PER_FREE / per_s
    declared = gateway.tables.catalog.services.get(upstream.service)
    stage = None if declared is None else declared.stage
    try:
        if stage is None or interval_s > stage.result_ttl_s:
            reason = "they expire before the rate limit allows a call"
            events.RESULTS_NOT_FREED.log(
                logger, address=upstream.address, reason=reason
            )
            return []
        await asyncio.sleep(interval_s)
    finally:
        del collected[upstream.address]
    rate_shares.take_call(gateway.tables, clocks.boot_time(), upstream)
    return handles
