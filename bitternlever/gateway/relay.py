"""Relay the answer of one upstream to the caller.

Answers that are not streamed are read completely before their first byte goes to the
caller, so that a truncated answer never looks complete.
"""

from aiohttp import http, web

from bitternlever.catalog import routes, tables as catalog_tables
from bitternlever.core import clocks
from bitternlever.gateway import (
    context as gateway_context,
    crash_subjects,
    event_stream,
    resumption,
    sending,
    state,
    stream_watch,
)
from bitternlever.transport import exchange, resets
from bitternlever.workload import outstanding

MAXIMUM_ANSWER_BYTES = 8_000_000
"""A complete answer is kept in memory; this is a 25th of the smallest host's."""


async def relay_answer(
    gateway: state.Gateway,
    context: gateway_context.Context,
    relay: sending.Relay,
    attempt: sending.Attempt,
) -> web.StreamResponse | sending.Failure:
    status = attempt.head.status
    succeeded = 200 <= status < 300
    if succeeded and not attempt.answer.signed:
        exchange.discard(attempt.connection)
        return sending.Failure("a success without a signature", True)
    is_stream = context.route.repeatability is catalog_tables.Repeatability.STREAM
    content_type = attempt.head.get(b"content-type")
    if succeeded and relay.response is not None and not _goes_on(relay, content_type):
        exchange.discard(attempt.connection)
        reason = f"the stream cannot go on: content type {content_type!r}"
        return sending.Failure(reason, True)
    try:
        if succeeded and is_stream:
            return await _relay_stream(gateway, context, relay, attempt)
        body = await exchange.read_body(
            gateway.pool, attempt.connection, MAXIMUM_ANSWER_BYTES
        )
    except BaseException:
        exchange.discard(attempt.connection)
        raise
    sending.release(gateway, attempt)
    if succeeded and event_stream.is_broken_off(content_type, body):
        lost = not exchange.has_framing(attempt.head)
        return sending.Failure("the stream ended inside an event", True, lost=lost)
    if relay.response is not None:
        return sending.Failure(f"the stream cannot go on: status {status}", True)
    if status >= 500 and sending.may_run_again(context, attempt.upstream):
        return sending.Failure(f"status {status}", True, status)
    return await _relay_complete_answer(gateway, relay, attempt, body)


def _goes_on(relay: sending.Relay, content_type: bytes | None) -> bool:
    """Return whether an answer of this media type may continue a stream.

    An upstream's error page may come with success.
    """
    if event_stream.is_declared(content_type):
        return True
    return content_type is not None and content_type == relay.content_type


async def _relay_complete_answer(
    gateway: state.Gateway,
    relay: sending.Relay,
    attempt: sending.Attempt,
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
    relay: sending.Relay,
    attempt: sending.Attempt,
) -> web.StreamResponse | sending.Failure:
    """Relay events as they arrive; only complete ones if the stream may be resumed."""
    if context.origin is None and context.route.resumable:
        resumption.begin(gateway, clocks.boot_time(), context, attempt.upstream)
    if relay.response is None:
        relay.response = web.StreamResponse(status=attempt.head.status)
        relay.content_type = attempt.head.get(b"content-type")
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
    sending.release(gateway, attempt)
    await relay.response.write_eof()
    return relay.response


async def _relay_events(
    gateway: state.Gateway,
    context: gateway_context.Context,
    relay: sending.Relay,
    attempt: sending.Attempt,
    watch: stream_watch.Watch,
) -> sending.Failure | None:
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
        if context.reading is not None:
            outstanding.record_first_event(context.reading, now)
        relay.on_first_piece()
        events_before = splitter.events
        complete = splitter.feed(piece)
        _check_incomplete(attempt.connection, splitter)
        relayed = complete if resumable else piece
        if relayed:
            stream_watch.hold(watch, now)
            await resumption.recorded(gateway, context)
            await relay.response.write(relayed)
            stream_watch.release(watch, clocks.boot_time())
        if splitter.events > events_before:
            stream_watch.record_event(watch, clocks.boot_time())
        if not begun and has_begun(relay):
            begun = True
            parts = gateway.tables.crash_subjects
            crash_subjects.record_begun(parts, clocks.boot_time(), context.head)
    failure = _incomplete(relay, attempt.head)
    if failure is None and splitter.incomplete and resumable:
        await relay.response.write(bytes(splitter.incomplete))
    return failure


def _check_incomplete(
    connection: exchange.Connection, splitter: event_stream.Splitter
) -> None:
    """Count what is kept of an event; raise ExchangeError if it does not end."""
    if splitter.incomplete or connection.kept_bytes:
        connection.keep(len(splitter.incomplete))
    if splitter.is_too_long:
        connection.exceed("an event that does not end")
    if connection.aborted:
        raise connection.incomplete_answer_error()


def _incomplete(relay: sending.Relay, head: exchange.Head) -> sending.Failure | None:
    """Return the failure of a stream that has ended but is not complete.

    One that has begun and ends without a further event may have been broken off at
    its last event or cut short: only its caller, who takes it up, can tell.
    """
    splitter = relay.splitter
    framed = exchange.has_framing(head)
    declared = event_stream.is_declared(head.get(b"content-type"))
    if splitter.is_inside_event and (declared or not framed):
        return sending.Failure(
            "the stream ended inside an event", True, lost=not framed
        )
    if 0 < splitter.events == relay.events_before:
        return sending.Failure(
            "the stream ended without a further event", True, lost=not framed
        )
    if splitter.events == 0 and not framed:
        return sending.Failure(
            "the stream ended before its first event", True, lost=True
        )
    return None


def cut_off(relay: sending.Relay) -> None:
    """Close a caller's connection so that the answer does not look complete.

    A caller of HTTP/1.0 gets no chunks: to it, only a reset is an incomplete answer.
    """
    if relay.transport is None:
        return
    if relay.request.version < http.HttpVersion11:
        resets.reset(relay.transport)
    else:
        relay.transport.close()


def has_begun(relay: sending.Relay) -> bool:
    """Return whether the answer of the present attempt has gone beyond its start."""
    events_of_attempt = relay.splitter.events - relay.events_before
    return events_of_attempt >= crash_subjects.BEGUN_EVENTS
