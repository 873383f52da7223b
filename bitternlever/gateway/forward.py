"""Forward a request to an upstream and relay its answer.

The route determines what may be sent again: an idempotent request after any failure,
any request if the upstream reports that it did not run it or no byte was sent, and a
resumable stream after its last complete event. Answers that are not streamed are read
completely before their first byte goes to the caller, so that a truncated answer never
looks complete.
"""

import asyncio
import dataclasses
import logging
from collections.abc import Callable

from aiohttp import http, web

from bitternlever.catalog import routes, tables as catalog_tables
from bitternlever.core import clocks
from bitternlever.gateway import (
    budget,
    context as gateway_context,
    dialect as gateway_dialect,
    event_stream,
    fingerprints,
    notices,
    placement,
    prompt_parts,
    rate_shares,
    state,
    stream_watch,
    sync,
)
from bitternlever.messages import fleet
from bitternlever.telemetry import events
from bitternlever.transport import exchange, resets

MAXIMUM_SENDS = 4
"""Sends of one request, including those that upstreams refuse."""

MAXIMUM_ANSWER_BYTES = 8_000_000
"""A complete answer is kept in memory; this is a 25th of the smallest host's."""

MAXIMUM_DROPPED_BYTES = 65_536
DROP_TIMEOUT_S = 0.5
"""Reading the rest of an unneeded answer beyond these costs more than a connection."""

MINIMUM_TIME_LEFT_S = 0.01
"""With less time left no upstream can answer."""

RUN_ONCE_IDLE_S = 1.0
"""A request that may run only once reuses a connection only if used this recently."""

REPEATABLE_IDLE_S = 30.0
"""Other requests reuse any connection within the upstream's own idle limit."""

NO_UPSTREAM_RETRY_S = 0.5
"""Starting upstreams register with control within about this time."""

FULL_RETRY_S = 0.3
"""Upstreams that were all full have finished several plain calls by then."""

INPUTS_FETCHED_S = 0.05
"""An engine has fetched its inputs by then; several times what the links take."""

MAXIMUM_LOGGED_PARTS = 8
"""Prompts have fewer shared parts; bounds a log line."""

logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class Attempt:
    """One send to an upstream, with the head of its answer."""

    upstream: fleet.UpstreamStatus
    connection: exchange.Connection
    head: exchange.Head
    answer: gateway_dialect.AnswerHead


@dataclasses.dataclass(slots=True)
class Relay:
    """The answer to the caller, as far as it has been relayed.

    ``transport`` is the caller's; the request forgets it when the host stops.
    ``events_before`` is the number of events before the present attempt.
    """

    request: web.BaseRequest
    on_first_piece: Callable[[], None]
    transport: asyncio.Transport | None = None
    response: web.StreamResponse | None = None
    splitter: event_stream.Splitter = dataclasses.field(
        default_factory=event_stream.Splitter,
    )
    events_before: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Failure:
    """An attempt without an answer to relay; ``ran`` unless it certainly did not run.

    ``reused_connection`` is set if the connection had served other requests before: the
    upstream itself may be healthy. ``lost`` is set if the upstream ended the connection
    within its answer, as it does when it crashes.
    """

    reason: str
    ran: bool
    status: int = 502
    retry_after_s: float | None = None
    inputs_lost: bool = False
    reused_connection: bool = False
    lost: bool = False


async def run(
    gateway: state.Gateway,
    request: web.BaseRequest,
    context: gateway_context.Context,
    on_first_piece: Callable[[], None],
) -> web.StreamResponse | gateway_context.Refusal | gateway_context.InputsLost:
    """Send a request until one answer is relayed; return the answer or a refusal."""
    relay = Relay(
        request=request, on_first_piece=on_first_piece, transport=request.transport
    )
    try:
        return await _send_until_answered(gateway, context, relay)
    except BaseException:
        if relay.response is not None:
            _cut_off(relay)
        raise


async def _send_until_answered(
    gateway: state.Gateway,
    context: gateway_context.Context,
    relay: Relay,
) -> web.StreamResponse | gateway_context.Refusal | gateway_context.InputsLost:
    failure = None
    for number in range(MAXIMUM_SENDS):
        upstream = _next_upstream(gateway, context, number)
        if isinstance(upstream, Failure):
            failure = upstream
        if not isinstance(upstream, fleet.UpstreamStatus):
            break
        outcome = await _attempt(gateway, context, relay, upstream)
        if not isinstance(outcome, Failure):
            return outcome
        failure = outcome
        gateway.measures.attempts["failed"] += 1
        _log_failure(context, relay, upstream, failure)
        if failure.inputs_lost or failure.reused_connection:
            context.tried.discard(upstream.upstream)
        if failure.inputs_lost and relay.response is None:
            return gateway_context.InputsLost(failure.reason)
        is_suspected = _record_crash(gateway, context, relay, upstream, failure)
        if failure.ran and (is_suspected or not _may_run_again(context, upstream)):
            break
    failure = failure or _no_upstream(gateway, context)
    return _give_up(gateway, relay, context, failure)


def _next_upstream(
    gateway: state.Gateway, context: gateway_context.Context, number: int
) -> fleet.UpstreamStatus | Failure | None:
    """Return the upstream of the next attempt, or the failure of a request without one.

    Return None if the previous failure counts.
    """
    now = clocks.boot_time()
    if context.deadline_s - now < MINIMUM_TIME_LEFT_S:
        status = 504 if context.sent else 503
        return Failure("the time is over", context.sent, status)
    upstream = choose(gateway, context, now)
    if upstream is None:
        return None
    parts = gateway.tables.prompt_parts
    refused = prompt_parts.quarantined(parts, now, context, sending=True)
    if refused is not None:
        return Failure(refused.reason, context.sent, 503, refused.left_s)
    if number > 0 and not _may_retry(gateway, context, now):
        return None
    return upstream


def _record_crash(
    gateway: state.Gateway,
    context: gateway_context.Context,
    relay: Relay,
    upstream: fleet.UpstreamStatus,
    failure: Failure,
) -> bool:
    """Report a request that may have crashed its upstream.

    Return whether it or a part of its prompt is suspected, so that it must not run
    again.
    """
    if not (failure.lost and failure.ran):
        return False
    parts = gateway.tables.prompt_parts
    now = clocks.boot_time()
    begun = _has_begun(relay)
    prompt_parts.record_crash(parts, now, context, upstream, begun=begun)
    return prompt_parts.is_suspected(parts, context)


def _record_unanswered(
    gateway: state.Gateway,
    context: gateway_context.Context,
    relay: Relay,
    upstream: fleet.UpstreamStatus,
    sent_s: float,
) -> None:
    """Remember a request that was sent and got no whole answer in time."""
    if context.sent_to == upstream.upstream:
        prompt_parts.record_unanswered(
            gateway.tables.prompt_parts,
            clocks.boot_time(),
            context,
            upstream,
            begun=_has_begun(relay),
            sent_s=sent_s,
        )


def _has_begun(relay: Relay) -> bool:
    """Return whether the answer of the present attempt has gone beyond its start."""
    events_of_attempt = relay.splitter.events - relay.events_before
    return events_of_attempt >= prompt_parts.BEGUN_EVENTS


def choose(
    gateway: state.Gateway,
    context: gateway_context.Context,
    now: float,
) -> fleet.UpstreamStatus | None:
    """Return the upstream that would get the request now."""
    service = context.catalog.services.get(context.service)
    is_engine = service is not None and service.engine is not None
    key = placement.prompt_key(context.head) if is_engine else None
    usable = sync.open_upstreams(gateway.tables, now, context.service)
    return placement.choose(gateway.tables, now, usable, context.tried, key)


def _no_upstream(gateway: state.Gateway, context: gateway_context.Context) -> Failure:
    """Return the failure of a request for which no upstream is usable."""
    now = clocks.boot_time()
    closed = sync.closed(gateway.tables, now, context.service)
    if closed is not None:
        return Failure(closed.reason, False, 503, closed.retry_after_s)
    return Failure("no upstream is there", False, 503, NO_UPSTREAM_RETRY_S)


def _may_retry(
    gateway: state.Gateway,
    context: gateway_context.Context,
    now: float,
) -> bool:
    service_budget = state.retry_budget(gateway, context.service)
    hosts = len(gateway.tables.hosts.listed)
    if not budget.may_retry(service_budget, now, hosts):
        gateway.measures.attempts["over_budget"] += 1
        events.RETRY_REFUSED.log(
            logger,
            request=context.head.request,
            service=context.service,
        )
        return False
    budget.record_retry(service_budget, now)
    gateway.measures.attempts["repeated"] += 1
    return True


def _may_run_again(
    context: gateway_context.Context,
    upstream: fleet.UpstreamStatus,
) -> bool:
    """Record that a request may have run on an upstream; return whether to rerun it."""
    route = context.route
    context.may_have_run_on.add(upstream.upstream)
    if len(context.may_have_run_on) >= route.maximum_attempts:
        return False
    if route.repeatability is catalog_tables.Repeatability.IDEMPOTENT:
        return True
    return route.repeatability is catalog_tables.Repeatability.STREAM and (
        route.resumable
    )


def _log_failure(
    context: gateway_context.Context,
    relay: Relay,
    upstream: fleet.UpstreamStatus,
    failure: Failure,
) -> None:
    events.ATTEMPT_FAILED.log(
        logger,
        request=context.head.request,
        upstream=upstream.upstream,
        attempt=context.attempts,
        ran=failure.ran,
        lost=failure.lost,
        events=relay.splitter.events - relay.events_before,
        parts=prompt_parts.shared(context.head)[:MAXIMUM_LOGGED_PARTS],
        subject=fingerprints.names(context)[-1],
        reason=failure.reason,
    )


def _give_up(
    gateway: state.Gateway,
    relay: Relay,
    context: gateway_context.Context,
    failure: Failure,
) -> web.StreamResponse | gateway_context.Refusal:
    """Refuse a request that got no answer, or cut off a stream that has started."""
    if relay.response is not None:
        events.STREAM_CUT_OFF.log(
            logger,
            request=context.head.request,
            reason=failure.reason,
            last_event=relay.splitter.last_event_id,
        )
        _cut_off(relay)
        return relay.response
    if context.sent:
        status = 504 if failure.status == 504 else 502
        return gateway_context.Refusal(status, failure.reason)
    retry_s = failure.retry_after_s
    if retry_s is None:
        now = clocks.boot_time()
        closed = sync.closed(gateway.tables, now, context.service)
        retry_s = FULL_RETRY_S if closed is None else closed.retry_after_s
    return gateway_context.Refusal(503, failure.reason, retry_s)


def _cut_off(relay: Relay) -> None:
    """Close a caller's connection so that the answer does not look complete.

    A caller of HTTP/1.0 gets no chunks: to it, only a reset is an incomplete answer.
    """
    if relay.transport is None:
        return
    if relay.request.version < http.HttpVersion11:
        resets.reset(relay.transport)
    else:
        relay.transport.close()


async def _attempt(
    gateway: state.Gateway,
    context: gateway_context.Context,
    relay: Relay,
    upstream: fleet.UpstreamStatus,
) -> web.StreamResponse | Failure:
    """Send to one upstream and relay its answer, or return the failure."""
    health = placement.health(gateway.tables, upstream.upstream)
    tokens = context.head.prompt_tokens
    context.tried.add(upstream.upstream)
    context.attempts += 1
    relay.events_before = relay.splitter.events
    gateway.measures.attempts["sent"] += 1
    rate_shares.take_request(gateway.tables, clocks.boot_time(), upstream)
    placement.record_start(health, tokens)
    started_s = clocks.boot_time()
    attempt = None
    try:
        async with asyncio.timeout(context.deadline_s - started_s):
            attempt = await _send(gateway, context, relay, upstream)
            if isinstance(attempt, Failure):
                if not attempt.inputs_lost:
                    placement.record_failure(health, clocks.boot_time())
                return attempt
            outcome = await _relay_answer(gateway, context, relay, attempt)
    except TimeoutError:
        _record_unanswered(gateway, context, relay, upstream, started_s)
        return Failure("no answer within the time", context.sent, 504)
    except asyncio.CancelledError:
        _record_unanswered(gateway, context, relay, upstream, started_s)
        raise
    except exchange.ExchangeError as error:
        if not error.lost:
            _record_unanswered(gateway, context, relay, upstream, started_s)
        notices.handle_failed_exchange(
            gateway, upstream.upstream, error, context.head.request
        )
        placement.record_failure(health, clocks.boot_time())
        return Failure(
            error.reason, error.sent, reused_connection=error.reused, lost=error.lost
        )
    finally:
        placement.record_end(health, tokens)
    if isinstance(outcome, Failure):
        placement.record_failure(health, clocks.boot_time())
    else:
        placement.record_success(health, clocks.boot_time() - started_s)
        if 200 <= outcome.status < 300:
            prompt_parts.record_complete(
                gateway.tables.prompt_parts, clocks.boot_time(), context
            )
    return outcome


async def _send(
    gateway: state.Gateway,
    context: gateway_context.Context,
    relay: Relay,
    upstream: fleet.UpstreamStatus,
) -> Attempt | Failure:
    """Send the request and read the head of the answer."""
    repeatable = _is_repeatable(context)
    fields = gateway_dialect.ForwardedFields(
        deadline_s=context.deadline_s - clocks.boot_time(),
        upstream=upstream.upstream,
        workspace=None if context.workspace is None else context.workspace.name,
        priority=context.priority if context.route.by_prefix else None,
        inputs=context.inputs,
        resume_after=relay.splitter.last_event_id,
        body_bytes=len(context.body) if relay.request.body_exists else None,
    )
    try:
        connection = await exchange.send(
            gateway.pool,
            upstream.address,
            context.method,
            context.target,
            gateway.dialect.forwarded_headers(context.raw_headers, fields),
            context.body,
            maximum_idle_s=REPEATABLE_IDLE_S if repeatable else RUN_ONCE_IDLE_S,
        )
    except exchange.ExchangeError as error:
        return Failure(error.reason, error.sent)
    sent_before = context.sent
    context.sent = True
    context.sent_to = upstream.upstream
    inputs_timer = None
    if context.inputs:
        loop = asyncio.get_running_loop()
        inputs_timer = loop.call_later(INPUTS_FETCHED_S, relay.on_first_piece)
    try:
        head = await exchange.read_head(connection)
    except BaseException:
        exchange.discard(connection)
        raise
    finally:
        if inputs_timer is not None:
            inputs_timer.cancel()
    answer = notices.handle(
        gateway, upstream.address, upstream.upstream, head, context.head.request
    )
    attempt = Attempt(upstream, connection, head, answer)
    if _answers_another_request(context, connection, answer):
        exchange.discard(connection)
        return Failure(
            "an answer to another request", True, reused_connection=connection.reused
        )
    if answer.not_run or answer.wrong_instance:
        context.sent = sent_before
        state.run_in_background(gateway, _drop_body(gateway, attempt))
        return Failure(
            f"not run: status {head.status}",
            False,
            503,
            inputs_lost=answer.inputs_lost,
        )
    return attempt


def _answers_another_request(
    context: gateway_context.Context,
    connection: exchange.Connection,
    answer: gateway_dialect.AnswerHead,
) -> bool:
    """Return whether an answer may be the late copy of that to another request.

    Without a request id, an answer on a connection in use again cannot be told from it.
    """
    if answer.request is None:
        return connection.reused
    return answer.request != context.head.request


def _is_repeatable(context: gateway_context.Context) -> bool:
    idempotent = catalog_tables.Repeatability.IDEMPOTENT
    return context.route.repeatability is idempotent or context.route.resumable


async def _drop_body(gateway: state.Gateway, attempt: Attempt) -> None:
    """Read the rest of an answer that is not relayed, to keep its connection."""
    try:
        async with asyncio.timeout(DROP_TIMEOUT_S):
            await exchange.drop_body(attempt.connection, MAXIMUM_DROPPED_BYTES)
    except (TimeoutError, exchange.ExchangeError):
        exchange.discard(attempt.connection)
        return
    except BaseException:
        exchange.discard(attempt.connection)
        raise
    _release(gateway, attempt)


def _release(gateway: state.Gateway, attempt: Attempt) -> None:
    """Keep the connection of an upstream whose answers name their request."""
    if attempt.answer.request is None:
        exchange.discard(attempt.connection)
        return
    exchange.release(
        gateway.pool, attempt.upstream.address, attempt.connection, attempt.head
    )


async def _relay_answer(
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
        body = await exchange.read_body(
            gateway.pool, attempt.connection, MAXIMUM_ANSWER_BYTES
        )
    except BaseException:
        exchange.discard(attempt.connection)
        raise
    _release(gateway, attempt)
    if succeeded and event_stream.is_broken_off(
        attempt.head.get(b"content-type"), body
    ):
        lost = not exchange.has_framing(attempt.head)
        return Failure("the stream ended inside an event", True, lost=lost)
    if relay.response is not None:
        return Failure(f"the stream cannot go on: status {status}", True)
    if status >= 500 and _may_run_again(context, attempt.upstream):
        return Failure(f"status {status}", True, status)
    return await _relay_complete_answer(gateway, relay, attempt, body)


async def _relay_complete_answer(
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
    """Relay events as they arrive; only complete ones if the stream may be resumed."""
    if relay.response is None:
        relay.response = web.StreamResponse(status=attempt.head.status)
        if state.is_draining(gateway):
            relay.response.force_close()
        for name, value in gateway.dialect.answer_headers(attempt.head.headers):
            relay.response.headers[name] = value
        await relay.response.prepare(relay.request)
    relay.splitter.incomplete.clear()
    limit_s = routes.caller_wait_limit_s(context.route)
    watch = stream_watch.start(attempt.connection, limit_s, clocks.boot_time())
    try:
        failure = await _relay_events(gateway, context, relay, attempt, watch)
    finally:
        stream_watch.stop(watch)
    if failure is not None:
        exchange.discard(attempt.connection)
        return failure
    _release(gateway, attempt)
    await relay.response.write_eof()
    return relay.response


async def _relay_events(
    gateway: state.Gateway,
    context: gateway_context.Context,
    relay: Relay,
    attempt: Attempt,
    watch: stream_watch.Watch,
) -> Failure | None:
    """Relay the body of a stream; return the failure of one that is not complete."""
    splitter = relay.splitter
    resumable = context.route.resumable
    begun = False
    while True:
        piece = await exchange.read_chunk(attempt.connection)
        if piece is None:
            break
        now = clocks.boot_time()
        if context.first_piece_s is None:
            context.first_piece_s = now
        relay.on_first_piece()
        events_before = splitter.events
        complete = splitter.feed(piece)
        if splitter.is_too_long:
            attempt.connection.exceed("an event that does not end")
            raise attempt.connection.incomplete_answer_error()
        relayed = complete if resumable else piece
        if relayed:
            stream_watch.hold(watch, now)
            await relay.response.write(relayed)
            stream_watch.release(watch, clocks.boot_time())
        if splitter.events > events_before:
            stream_watch.record_event(watch, clocks.boot_time())
        if not begun and _has_begun(relay):
            begun = True
            parts = gateway.tables.prompt_parts
            prompt_parts.record_begun(parts, clocks.boot_time(), context.head)
    failure = _incomplete(splitter, attempt.head)
    if failure is None and splitter.incomplete and resumable:
        await relay.response.write(bytes(splitter.incomplete))
    return failure


def _incomplete(splitter: event_stream.Splitter, head: exchange.Head) -> Failure | None:
    """Return the failure of a stream that has ended but is not complete."""
    framed = exchange.has_framing(head)
    declared = event_stream.is_declared(head.get(b"content-type"))
    if splitter.is_inside_event and (declared or not framed):
        return Failure("the stream ended inside an event", True, lost=not framed)
    if splitter.events == 0 and not framed:
        return Failure("the stream ended before its first event", True, lost=True)
    return None
