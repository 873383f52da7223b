"""Stage work between hosts: who batches a service, and the calls to its upstreams.

The host that batches a service is found by rendezvous over the ready hosts. Work is
sent again until it is answered; where its host is silent, the next one takes over. For
a moment two hosts may fill calls to the same upstreams: the upstream's own queue
holds that, and a piece that is produced twice does no harm.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from bitternlever.batching import batcher, tables as batching_tables
from bitternlever.core import clocks
from bitternlever.gateway import (
    dialect as gateway_dialect,
    state,
    sync,
)
from bitternlever.messages import fleet
from bitternlever.routing import affinity
from bitternlever.telemetry import events
from bitternlever.transport import exchange

ACCEPTED_WITHIN_S = 0.3
"""A hundred round trips between zones; a busy host answers later than an idle one."""

ASK_AGAIN_S = 0.8
"""How often accepted work is asked for again; its host may have restarted."""

SUSPECT_S = 1.5
"""How long a host that did not answer is passed over; then control has noticed."""

REMEMBERED_RESULTS = 512
"""Ended works whose answer is sent again when it is asked for again."""

CALL_TIMEOUT_FACTOR = 2.0
"""A call that takes this much longer than expected is made elsewhere as well."""

CALL_TIMEOUT_EXTRA_S = 0.25
"""Allows for the fetching of inputs, which no expectation contains."""

FREE_TIMEOUT_S = 1.0
"""Results that are not freed by then expire a few seconds later by themselves."""

STAGE_IDLE_S = 30.0
"""Stage calls may be repeated, so kept connections are used up to their limit."""

MAXIMUM_ANSWER_BYTES = 1_000_000

logger = logging.getLogger(__name__)


async def run(
    gateway: state.Gateway,
    work: fleet.StageWork,
    begun: asyncio.Event,
    left: Callable[[fleet.StageWork, float], fleet.StageWork],
) -> fleet.StageDone | fleet.StageRefused:
    """Have the pieces of a stage made; return StageDone or StageRefused.

    ``left`` returns the work with the time that is left at present; ``begun`` is set
    once all pieces are in calls.
    """
    mailbox = asyncio.Queue()
    gateway.batching.waiting[work.work] = mailbox
    target = None
    answer = None
    try:
        while True:
            now = clocks.boot_time()
            target = owner(gateway, now, work.service)
            state.send(gateway, target, left(work, now))
            answer = await _next(mailbox, ACCEPTED_WITHIN_S)
            if answer is None:
                _suspect(gateway, now, target)
                continue
            while isinstance(answer, fleet.StageAccepted | fleet.StageBegun):
                if isinstance(answer, fleet.StageBegun):
                    begun.set()
                elif answer.load is not None:
                    sync.load_told(gateway.tables, clocks.boot_time(), answer.load)
                answer = None  # Cancelled from here on, the work is not answered.
                answer = await _next(mailbox, ASK_AGAIN_S)
            if answer is not None:
                return answer
    finally:
        del gateway.batching.waiting[work.work]
        if target is not None and answer is None:
            state.send(gateway, target, fleet.StageCancelled(work=work.work))


def release(gateway: state.Gateway, service: str, handles: list[str]) -> None:
    """Tell the host that batches a service that results are no longer needed."""
    target = owner(gateway, clocks.boot_time(), service)
    state.send(gateway, target, fleet.StageFreed(service=service, handles=handles))


def owner(gateway: state.Gateway, now: float, service: str) -> str:
    """Return the link of the host that batches a service."""
    names = [
        word.link
        for word in gateway.tables.hosts.listed
        if word.state is fleet.HostState.READY
        and gateway.tables.suspects.get(word.link, 0.0) <= now
    ]
    return affinity.owner(service, names) or gateway.settings.link


def receive(gateway: state.Gateway, now: float, link: str, message: Any) -> None:
    """Take a message about stage work of another host, or of this one."""
    match message:
        case fleet.StageWork():
            _work_asked(gateway, now, link, message)
        case fleet.StageCancelled():
            for held in gateway.tables.batchers.values():
                batcher.cancel(held, now, message.work)
            pump_later(gateway)
            gateway.batching.answered.pop(message.work, None)
        case fleet.StageFreed():
            _free(gateway, now, message)
        case (
            fleet.StageAccepted()
            | fleet.StageBegun()
            | fleet.StageDone()
            | fleet.StageRefused()
        ):
            mailbox = gateway.batching.waiting.get(message.work)
            if mailbox is not None:
                mailbox.put_nowait(message)


def busy(gateway: state.Gateway) -> bool:
    """Tell whether this host still batches work of others."""
    return any(held.works or held.calls for held in gateway.tables.batchers.values())


def loads(gateway: state.Gateway, now: float) -> list[fleet.ServiceLoad]:
    """Return what to tell of the services that this host batches."""
    return [
        batcher.load(held, now)
        for held in gateway.tables.batchers.values()
        if owner(gateway, now, held.service) == gateway.settings.link
    ]


def pump_later(gateway: state.Gateway) -> None:
    """Fill calls at the end of this turn of the loop."""
    if not gateway.batching.pump_soon:
        gateway.batching.pump_soon = True
        asyncio.get_running_loop().call_soon(_pump_now, gateway)


def pump(gateway: state.Gateway) -> None:
    """Give up what is too late and fill calls to idle upstreams."""
    now = clocks.boot_time()
    for held in gateway.tables.batchers.values():
        _pump_one(gateway, now, held)


async def _next(mailbox: asyncio.Queue, timeout_s: float) -> Any:
    try:
        async with asyncio.timeout(timeout_s):
            return await mailbox.get()
    except TimeoutError:
        return None


def _suspect(gateway: state.Gateway, now: float, link: str) -> None:
    if link != gateway.settings.link:
        gateway.tables.suspects[link] = now + SUSPECT_S
        events.HOST_SUSPECTED.log(logger, link=link, waited_s=ACCEPTED_WITHIN_S)


def _work_asked(
    gateway: state.Gateway, now: float, link: str, message: fleet.StageWork
) -> None:
    done = gateway.batching.answered.get(message.work)
    if done is not None:
        state.send(gateway, link, done)
        return
    held = _batcher(gateway, message.service)
    if held is None:
        refusal = fleet.StageRefused(message.work, "no such stage service", 1.0)
        state.send(gateway, link, refusal)
        return
    if message.work not in held.works:
        _follow_servers(gateway, now, held)
        refused = batcher.submit(held, now, message, link)
        if refused is not None:
            _finish(gateway, refused)
            return
        pump_later(gateway)
    accepted = fleet.StageAccepted(work=message.work, load=batcher.load(held, now))
    state.send(gateway, link, accepted)


def _batcher(gateway: state.Gateway, service: str) -> batching_tables.Batcher | None:
    catalog = gateway.tables.catalog
    if catalog is None:
        return None
    known = catalog.services.get(service)
    if known is None or known.stage is None:
        return None
    held = gateway.tables.batchers.get(service)
    if held is None:
        held = batcher.create(known)
        gateway.tables.batchers[service] = held
    held.capacity = known.stage
    return held


def _follow_servers(
    gateway: state.Gateway, now: float, held: batching_tables.Batcher
) -> None:
    present = {
        word.upstream: (word.address, word.zone)
        for word in sync.present(gateway.tables, now, held.service)
    }
    batcher.set_servers(held, present)


def _pump_now(gateway: state.Gateway) -> None:
    gateway.batching.pump_soon = False
    pump(gateway)


def _pump_one(
    gateway: state.Gateway, now: float, held: batching_tables.Batcher
) -> None:
    if not held.works and not held.calls and not held.unread:
        batcher.forget_expired(held, now)
        return
    _follow_servers(gateway, now, held)
    batcher.forget_expired(held, now)
    for finished in batcher.expired(held, now):
        _finish(gateway, finished)
    for address, handles in batcher.take_unread(held).items():
        state.in_background(gateway, _send_free(gateway, address, handles))
    for call in batcher.dispatch(held, now):
        items = [_item(held, each, now) for each in call.items]
        _tell_begun(gateway, held, call)
        state.in_background(gateway, _call(gateway, held, call, items))


def _tell_begun(
    gateway: state.Gateway,
    held: batching_tables.Batcher,
    call: batching_tables.Call,
) -> None:
    for name in {item.work for item in call.items}:
        work = held.works[name]
        if work.message.tell_begin and not work.waiting:
            state.send(gateway, work.link, fleet.StageBegun(work=name))


async def _call(
    gateway: state.Gateway,
    held: batching_tables.Batcher,
    call: batching_tables.Call,
    items: list[gateway_dialect.StageItem],
) -> None:
    request = gateway.dialect.stage_call(
        call.server.address, call.server.upstream, items
    )
    timeout_s = call.expected_s * CALL_TIMEOUT_FACTOR + CALL_TIMEOUT_EXTRA_S
    full = silent = False
    outcomes = None
    reason = ""
    try:
        async with asyncio.timeout(timeout_s):
            status, body = await _exchange(gateway, call.server.address, request)
        full = status == 503
        reason = f"status {status}"
        if status == 200:
            decoded = gateway.dialect.stage_answer(body, len(items))
            outcomes = decoded.unwrap_or(None)
            reason = decoded.err() or ""
    except TimeoutError:
        silent = True
        reason = f"no answer within {timeout_s:.2f} s"
    except exchange.ExchangeError as error:
        reason = error.reason
    now = clocks.boot_time()
    if outcomes is None:
        gateway.measures.batches[f"{held.service}.failed"] += 1
        events.STAGE_CALL_FAILED.log(
            logger,
            service=held.service,
            upstream=call.server.upstream,
            items=len(items),
            reason=reason,
        )
        ended = batcher.call_failed(held, now, call.number, full=full, silent=silent)
    else:
        gateway.measures.batches[f"{held.service}.calls"] += 1
        gateway.measures.batches[f"{held.service}.pieces"] += len(items)
        events.STAGE_CALL_DONE.log(
            logger,
            service=held.service,
            upstream=call.server.upstream,
            items=len(items),
            request=items[0].request,
            requests=sorted({item.request for item in items}),
            took_s=round(now - call.sent_s, 3),
            failed=[each.reason for each in outcomes if each.handle is None],
            waiting=sum(len(work.waiting) for work in held.works.values()),
            held_s=round(held.held_s, 3),
        )
        ended = batcher.call_done(held, now, call.number, outcomes)
    for finished in ended:
        _finish(gateway, finished)
    pump_later(gateway)


def _item(
    held: batching_tables.Batcher,
    item: batching_tables.Item,
    now: float,
) -> gateway_dialect.StageItem:
    work = held.works[item.work]
    return gateway_dialect.StageItem(
        request=work.message.request,
        stage=work.message.stage,
        piece=work.message.pieces[item.index],
        left_s=work.deadline_s - now,
        key=work.message.key,
    )


async def _exchange(
    gateway: state.Gateway,
    address: str,
    request: gateway_dialect.StageRequest,
) -> tuple[int, bytes]:
    connection = await exchange.send(
        gateway.pool,
        address,
        request.method,
        request.target,
        request.headers,
        request.body,
        maximum_idle_s=STAGE_IDLE_S,
    )
    try:
        head = await exchange.read_head(connection)
        body = await exchange.read_whole(connection, MAXIMUM_ANSWER_BYTES)
    except BaseException:
        exchange.discard(connection)
        raise
    exchange.release(gateway.pool, address, connection, head)
    return head.status, body


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
    if len(answered) > REMEMBERED_RESULTS:
        answered.popitem(last=False)
    state.send(gateway, work.link, answer)


def _free(gateway: state.Gateway, now: float, message: fleet.StageFreed) -> None:
    """Free results, also those that another host had made before."""
    held = gateway.tables.batchers.get(message.service)
    if held is not None:
        batcher.free(held, now, message.handles)
        pump_later(gateway)
    by_address: dict[str, list[str]] = {}
    for handle in message.handles:
        address = gateway.dialect.maker_address(handle)
        by_address.setdefault(address, []).append(handle)
    for address, handles in by_address.items():
        state.in_background(gateway, _send_free(gateway, address, handles))


async def _send_free(gateway: state.Gateway, address: str, handles: list[str]) -> None:
    request = gateway.dialect.stage_free(address, handles)
    try:
        async with asyncio.timeout(FREE_TIMEOUT_S):
            await _exchange(gateway, address, request)
    except (TimeoutError, exchange.ExchangeError) as error:
        events.RESULTS_NOT_FREED.log(logger, address=address, reason=str(error))
