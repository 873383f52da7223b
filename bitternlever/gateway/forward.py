"""Pass a request on to an upstream and its answer back.

What may be sent again follows from the route: an idempotent request after any failure,
any request where the upstream says that it did not run it or no byte left, and a
resumable stream after the last whole event. Answers that are not streamed are read
whole before their first byte goes to the caller, so that a cut answer never looks
complete.
"""

import asyncio
import dataclasses
import logging
from collections.abc import Callable

from aiohttp import web

from bitternlever.catalog import tables as catalog_tables
from bitternlever.core import clocks
from bitternlever.gateway import (
    budget,
    context as gateway_context,
    dialect as gateway_dialect,
    event_stream,
    placement,
    state,
    sync,
)
from bitternlever.messages import fleet
from bitternlever.telemetry import events
from bitternlever.transport import exchange

MAXIMUM_SENDS = 4
"""Sends of one request, those that upstreams refuse included."""

MAXIMUM_ANSWER_BYTES = 64_000_000
"""A whole answer is kept in memory; a tenth of the smallest host's would be full."""

LEAST_LEFT_S = 0.01
"""With less time left no upstream can answer."""

ONCE_IDLE_S = 1.0
"""A request that may run once takes a kept connection only if it was used lately."""

KEPT_IDLE_S = 30.0
"""Other requests take any kept connection within its upstream's own limit."""

NOTHING_THERE_RETRY_S = 0.5
"""Upstreams that start tell control within about this time."""

FULL_RETRY_S = 0.3
"""Upstreams that were all full have ended several plain calls by then."""

INPUTS_FETCHED_S = 0.05
"""An engine has fetched its inputs by then, several times what their links take."""

logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class Attempt:
    """One send to an upstream and what its answer says."""

    word: fleet.UpstreamWord
    connection: exchange.Connection
    head: exchange.Head
    answer: gateway_dialect.AnswerHead


@dataclasses.dataclass(slots=True)
class Relay:
    """The answer to the caller as far as it has begun."""

    request: web.BaseRequest
    on_first_piece: Callable[[], None]
    response: web.StreamResponse | None = None
    splitter: event_stream.Splitter = dataclasses.field(
        default_factory=event_stream.Splitter,
    )


@dataclasses.dataclass(slots=True, frozen=True)
class Failure:
    """An attempt without an answer to pass on; ``ran`` unless it surely did not.

    ``kept`` is set where the connection had served others: the upstream itself may
    be sound.
    """

    reason: str
    ran: bool
    status: int = 502
    retry_after_s: float | None = None
    inputs_lost: bool = False
    kept: bool = False


async def run(
    gateway: state.Gateway,
    request: web.BaseRequest,
    context: gateway_context.Context,
    on_first_piece: Callable[[], None],
) -> web.StreamResponse | gateway_context.Refusal | gateway_context.InputsLost:
    """Send a request until one answer is passed on; return it or a refusal."""
    relay = Relay(request=request, on_first_piece=on_first_piece)
    failure = Failure("no upstream is there", False, 503, NOTHING_THERE_RETRY_S)
    for number in range(MAXIMUM_SENDS):
        now = clocks.boot_time()
        if context.deadline_s - now < LEAST_LEFT_S:
            status = 504 if context.sent else 503
            failure = Failure("the time is over", context.sent, status)
            break
        word = choose(gateway, context, now)
        if word is None:
            break
        if number > 0 and not _may_send_again(gateway, context, now):
            break
        outcome = await _attempt(gateway, context, relay, word)
        if not isinstance(outcome, Failure):
            return outcome
        failure = outcome
        gateway.measures.attempts["failed"] += 1
        _log_failure(context, word, failure)
        if failure.inputs_lost or failure.kept:
            context.tried.discard(word.upstream)
        if failure.inputs_lost and relay.response is None:
            return gateway_context.InputsLost(failure.reason)
        if failure.ran and not _may_run_again(context, word):
            break
    return _give_up(relay, context, failure)


def choose(
    gateway: state.Gateway,
    context: gateway_context.Context,
    now: float,
) -> fleet.UpstreamWord | None:
    """Return the upstream that would get the request now."""
    service = context.catalog.services.get(context.service)
    is_engine = service is not None and service.engine is not None
    key = placement.prompt_key(context.head) if is_engine else None
    present = sync.present(gateway.tables, now, context.service)
    return placement.choose(gateway.tables, now, present, context.tried, key)


def _may_send_again(
    gateway: state.Gateway,
    context: gateway_context.Context,
    now: float,
) -> bool:
    held = state.budget_of(gateway, context.service)
    hosts = len(gateway.tables.hosts.listed)
    if not budget.may_repeat(held, now, hosts):
        gateway.measures.attempts["over_budget"] += 1
        events.RETRY_REFUSED.log(
            logger,
            request=context.head.request,
            service=context.service,
        )
        return False
    budget.note_repeat(held, now)
    gateway.measures.attempts["repeated"] += 1
    return True


def _may_run_again(
    context: gateway_context.Context,
    word: fleet.UpstreamWord,
) -> bool:
    """Count an upstream where a request may have run; tell whether it may run again."""
    route = context.route
    context.ran_at.add(word.upstream)
    if len(context.ran_at) >= route.maximum_attempts:
        return False
    if route.repeatability is catalog_tables.Repeatability.IDEMPOTENT:
        return True
    return route.repeatability is catalog_tables.Repeatability.STREAM and (
        route.resumable
    )


def _log_failure(
    context: gateway_context.Context,
    word: fleet.UpstreamWord,
    failure: Failure,
) -> None:
    events.ATTEMPT_FAILED.log(
        logger,
        request=context.head.request,
        upstream=word.upstream,
        attempt=context.attempts,
        ran=failure.ran,
        reason=failure.reason,
    )


def _give_up(
    relay: Relay,
    context: gateway_context.Context,
    failure: Failure,
) -> web.StreamResponse | gateway_context.Refusal:
    """Answer a request that got no answer; cut off a stream that has begun."""
    if relay.response is not None:
        events.STREAM_CUT_OFF.log(
            logger,
            request=context.head.request,
            reason=failure.reason,
            last_event=relay.splitter.last_event,
        )
        if relay.request.transport is not None:
            relay.request.transport.close()
        return relay.response
    if context.sent:
        status = 504 if failure.status == 504 else 502
        return gateway_context.Refusal(status, failure.reason)
    retry_s = failure.retry_after_s
    return gateway_context.Refusal(
        503,
        failure.reason,
        FULL_RETRY_S if retry_s is None else retry_s,
    )


async def _attempt(
    gateway: state.Gateway,
    context: gateway_context.Context,
    relay: Relay,
    word: fleet.UpstreamWord,
) -> web.StreamResponse | Failure:
    """Send to one upstream and pass its answer on, or say why not."""
    health = placement.health(gateway.tables, word.upstream)
    tokens = context.head.prompt_tokens
    context.tried.add(word.upstream)
    context.attempts += 1
    gateway.measures.attempts["sent"] += 1
    placement.started(health, tokens)
    began_s = clocks.boot_time()
    attempt = None
    try:
        async with asyncio.timeout(context.deadline_s - began_s):
            attempt = await _send(gateway, context, relay, word)
            if isinstance(attempt, Failure):
                if not attempt.inputs_lost:
                    placement.failed(health, clocks.boot_time())
                return attempt
            outcome = await _take_answer(gateway, context, relay, attempt)
    except TimeoutError:
        return Failure("no answer within the time", context.sent, 504)
    except exchange.ExchangeError as error:
        placement.failed(health, clocks.boot_time())
        return Failure(error.reason, error.sent, kept=error.kept)
    finally:
        placement.ended(health, tokens)
    if isinstance(outcome, Failure):
        placement.failed(health, clocks.boot_time())
    else:
        placement.succeeded(health, clocks.boot_time() - began_s)
    return outcome


async def _send(
    gateway: state.Gateway,
    context: gateway_context.Context,
    relay: Relay,
    word: fleet.UpstreamWord,
) -> Attempt | Failure:
    """Send the request and read the head of the answer."""
    repeatable = _is_repeatable(context)
    onward = gateway_dialect.Onward(
        deadline_s=context.deadline_s - clocks.boot_time(),
        upstream=word.upstream,
        workspace=None if context.workspace is None else context.workspace.name,
        priority=context.priority if context.route.by_prefix else None,
        inputs=context.inputs,
        resume_after=relay.splitter.last_event,
        body_bytes=len(context.body) if relay.request.body_exists else None,
    )
    try:
        connection = await exchange.send(
            gateway.pool,
            word.address,
            context.method,
            context.target,
            gateway.dialect.onward_headers(context.raw_headers, onward),
            context.body,
            maximum_idle_s=KEPT_IDLE_S if repeatable else ONCE_IDLE_S,
        )
    except exchange.ExchangeError as error:
        return Failure(error.reason, error.sent)
    sent_before = context.sent
    context.sent = True
    fetched = None
    if context.inputs:
        loop = asyncio.get_running_loop()
        fetched = loop.call_later(INPUTS_FETCHED_S, relay.on_first_piece)
    try:
        head = await exchange.read_head(connection)
    except BaseException:
        exchange.discard(connection)
        raise
    finally:
        if fetched is not None:
            fetched.cancel()
    answer = gateway.dialect.read_answer(head.status, head.headers)
    attempt = Attempt(word, connection, head, answer)
    if answer.request is not None and answer.request != context.head.request:
        exchange.discard(connection)
        return Failure("an answer to another request", True, kept=connection.kept)
    if answer.not_run or answer.wrong_instance:
        context.sent = sent_before
        await _drop_body(gateway, attempt)
        return Failure(
            f"not run: status {head.status}",
            False,
            503,
            inputs_lost=answer.inputs_lost,
        )
    return attempt


def _is_repeatable(context: gateway_context.Context) -> bool:
    idempotent = catalog_tables.Repeatability.IDEMPOTENT
    return context.route.repeatability is idempotent or context.route.resumable


async def _drop_body(gateway: state.Gateway, attempt: Attempt) -> None:
    try:
        await exchange.read_whole(attempt.connection, MAXIMUM_ANSWER_BYTES)
    except BaseException:
        exchange.discard(attempt.connection)
        raise
    _release(gateway, attempt)


def _release(gateway: state.Gateway, attempt: Attempt) -> None:
    exchange.release(
        gateway.pool, attempt.word.address, attempt.connection, attempt.head
    )


async def _take_answer(
    gateway: state.Gateway,
    context: gateway_context.Context,
    relay: Relay,
    attempt: Attempt,
) -> web.StreamResponse | Failure:
    status = attempt.head.status
    succeeded = 200 <= status < 300
    if succeeded and not attempt.answer.signed:
        exchange.discard(attempt.connection)
        return Failure("a success without a signature", True)
    is_stream = context.route.repeatability is catalog_tables.Repeatability.STREAM
    try:
        if succeeded and is_stream:
            return await _relay_stream(gateway, context, relay, attempt)
        body = await exchange.read_whole(attempt.connection, MAXIMUM_ANSWER_BYTES)
    except BaseException:
        exchange.discard(attempt.connection)
        raise
    _release(gateway, attempt)
    if relay.response is not None:
        return Failure(f"the stream cannot go on: status {status}", True)
    if status >= 500 and _may_run_again(context, attempt.word):
        return Failure(f"status {status}", True, status)
    return await _answer_whole(gateway, relay, attempt, body)


async def _answer_whole(
    gateway: state.Gateway,
    relay: Relay,
    attempt: Attempt,
    body: bytes,
) -> web.StreamResponse:
    response = web.Response(status=attempt.head.status, body=body)
    for name, value in gateway.dialect.answer_headers(attempt.head.headers):
        response.headers[name] = value
    relay.on_first_piece()
    return response


async def _relay_stream(
    gateway: state.Gateway,
    context: gateway_context.Context,
    relay: Relay,
    attempt: Attempt,
) -> web.StreamResponse | Failure:
    """Pass events on as they arrive; only whole ones where another run may follow."""
    if relay.response is None:
        relay.response = web.StreamResponse(status=attempt.head.status)
        if state.is_draining(gateway):
            relay.response.force_close()
        for name, value in gateway.dialect.answer_headers(attempt.head.headers):
            relay.response.headers[name] = value
        await relay.response.prepare(relay.request)
    relay.splitter.rest.clear()
    while True:
        piece = await exchange.read_piece(attempt.connection)
        if piece is None:
            break
        if context.first_piece_s is None:
            context.first_piece_s = clocks.boot_time()
        relay.on_first_piece()
        whole = relay.splitter.take(piece) if context.route.resumable else piece
        if whole:
            await relay.response.write(whole)
    if relay.splitter.rest:
        await relay.response.write(bytes(relay.splitter.rest))
    _release(gateway, attempt)
    await relay.response.write_eof()
    return relay.response
