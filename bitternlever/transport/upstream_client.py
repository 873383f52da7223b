"""Calls to upstreams over HTTP, streamed or not; each attempt is sent at most once.

Idempotent calls share pooled connections. A call that is not idempotent opens its own
connection, so that it never uses a pooled one that has silently died; so does a stream,
whose parts do not name their call: on a pooled connection they might be the late second
copy of another call's answer. Whatever an
upstream sends has bounds in size (``transport.exchange``) and in time: an event within
the time allowed between bytes, a whole reply at a minimum rate.
"""

import asyncio
import contextlib
import dataclasses
import logging
import urllib.parse
from collections.abc import Callable
from typing import Any

import msgspec

from bitternlever.core import clocks
from bitternlever.messages import requests, upstream
from bitternlever.telemetry import events, traces
from bitternlever.transport import codec, exchange, retry_after

CONNECT_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 2.0
CANCEL_TIMEOUT_S = 1.0
KEEP_ALIVE_S = 15.0
EXPIRY_INTERVAL_S = 1.0
MAXIMUM_REPLY_BYTES = 4_000_000
MAXIMUM_LINE_BYTES = 1_000_000

MINIMUM_BYTES_PER_S = 1_000.0
"""A whole reply that arrives more slowly has stalled; links carry a thousand times it.
"""

REFUSED_STATUSES = (429, 503)
DEFAULT_PORTS = {"http": 80, "https": 443}
CALL_ERRORS = (ValueError, RecursionError, msgspec.MsgspecError)

logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class UpstreamClient:
    """Running calls by attempt, and the connections to all upstreams."""

    clock: Callable[[], float]
    on_event: Callable[[Any], None]
    tracer: traces.Tracer
    pool: exchange.Pool
    next_expiry_s: float = 0.0
    tasks: dict[str, asyncio.Task] = dataclasses.field(default_factory=dict)
    background: set[asyncio.Task] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True, frozen=True)
class Endpoint:
    """Where an upstream listens: the address to connect to and its ``Host`` header."""

    address: str
    host: str


class _ReadTimeoutError(Exception):
    """The upstream sent nothing for longer than allowed."""


class _TooLateError(Exception):
    """The call was not sent in time; its lease may have ended."""


def create(
    clock: Callable[[], float],
    on_event: Callable[[Any], None],
    tracer: traces.Tracer,
) -> UpstreamClient:
    """Return a client that reports the outcome of calls through ``on_event``."""
    return UpstreamClient(
        clock=clock,
        on_event=on_event,
        tracer=tracer,
        pool=exchange.Pool(clock=clock),
    )


def call(client: UpstreamClient, message: requests.CallUpstream) -> None:
    """Start a stage call; report its end exactly once unless it is cancelled."""
    task = asyncio.ensure_future(_run(client, message))
    client.tasks[message.attempt] = task
    task.add_done_callback(lambda _: client.tasks.pop(message.attempt, None))


def cancel(client: UpstreamClient, message: requests.CancelUpstream) -> None:
    """Stop reading the reply of a call and tell the upstream to stop its work."""
    task = client.tasks.pop(message.attempt, None)
    if task is not None:
        task.cancel()
    _in_background(client, _send_cancel(client, message))


def send_order(client: UpstreamClient, message: requests.SendOrder) -> None:
    """Send an order to an engine and report its answer."""
    _in_background(client, _send_order(client, message))


async def close(client: UpstreamClient) -> None:
    """End all calls and close all connections."""
    tasks = [*client.tasks.values(), *client.background]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for address in list(client.pool.idle):
        exchange.close_idle_connections(client.pool, address)


def _in_background(client: UpstreamClient, coroutine: Any) -> None:
    task = asyncio.ensure_future(coroutine)
    client.background.add(task)
    task.add_done_callback(client.background.discard)


async def _run(client: UpstreamClient, message: requests.CallUpstream) -> None:
    with client.tracer.upstream_call(message) as span:
        headers = span.headers()
        try:
            await _exchange(client, message, headers)
        except _TooLateError:
            _fail(client, message, requests.Sent.NO, "the lease ended before the call")
        except (_ReadTimeoutError, TimeoutError):
            _close_idle_connections(client, message)
            _fail(client, message, requests.Sent.UNKNOWN, "no byte within the timeout")
        except exchange.ExchangeError as error:
            sent = requests.Sent.UNKNOWN if error.sent else requests.Sent.NO
            _fail(client, message, sent, error.reason, lost=error.lost)
        except CALL_ERRORS as error:
            reason = f"{type(error).__name__}: {error}"
            _fail(client, message, requests.Sent.UNKNOWN, reason)


async def _exchange(
    client: UpstreamClient,
    message: requests.CallUpstream,
    headers: dict[str, str],
) -> None:
    """Send a call and report its answer; check the lease when the connection stands."""
    _check_lease(client, message)
    _close_expired(client)
    endpoint = _endpoint(message.address)
    connection = await _send(
        client,
        message,
        b"POST",
        f"/v1/stages/{message.task}",
        msgspec.json.encode(message.call),
        headers,
        maximum_idle_s=KEEP_ALIVE_S if _may_share_connection(message) else 0.0,
    )
    try:
        async with asyncio.timeout(message.first_byte_timeout_s):
            head = await exchange.read_head(connection)
        if head.status != 200:
            await _report_refusal(client, message, connection, head)
        elif message.call.stream:
            await _read_stream(client, message, connection)
        else:
            await _read_reply(client, message, connection)
    except BaseException:
        exchange.discard(connection)
        raise
    if _may_share_connection(message):
        exchange.release(client.pool, endpoint.address, connection, head)
    else:
        exchange.discard(connection)


def _may_share_connection(message: requests.CallUpstream) -> bool:
    return message.idempotent and not message.call.stream


async def _send(
    client: UpstreamClient,
    message: requests.CallUpstream | requests.SendOrder,
    method: bytes,
    path: str,
    body: bytes,
    headers: dict[str, str],
    maximum_idle_s: float,
) -> exchange.Connection:
    """Send a message unless its lease ends before its connection stands."""
    endpoint = _endpoint(message.address)
    return await exchange.send(
        client.pool,
        endpoint.address,
        method,
        path.encode(),
        _headers(endpoint, body, headers),
        body,
        maximum_idle_s=maximum_idle_s,
        before_write=lambda: _check_lease(client, message),
        connect_timeout_s=CONNECT_TIMEOUT_S,
    )


def _headers(
    endpoint: Endpoint, body: bytes, headers: dict[str, str]
) -> list[tuple[bytes, bytes]]:
    return [
        (b"Host", endpoint.host.encode()),
        (b"Content-Type", b"application/json"),
        (b"Content-Length", b"%d" % len(body)),
        *((name.encode(), value.encode()) for name, value in headers.items()),
    ]


def _endpoint(url: str) -> Endpoint:
    """Return where the upstream with this URL listens.

    Raise ValueError if it is not ``http://HOST:PORT`` or ``https://HOST:PORT``.
    """
    parts = urllib.parse.urlsplit(url)
    if parts.scheme not in DEFAULT_PORTS or not parts.hostname:
        raise ValueError(f"address {url!r} is not http://HOST:PORT")
    port = parts.port or DEFAULT_PORTS[parts.scheme]
    prefix = exchange.TLS_PREFIX if parts.scheme == "https" else ""
    return Endpoint(address=f"{prefix}{parts.hostname}:{port}", host=parts.netloc)


def _check_lease(
    client: UpstreamClient,
    message: requests.CallUpstream | requests.SendOrder,
) -> None:
    """Raise an error if the time has passed by which the message must be sent."""
    if client.clock() >= message.must_not_start_after:
        raise _TooLateError


async def _read_reply(
    client: UpstreamClient,
    message: requests.CallUpstream,
    connection: exchange.Connection,
) -> None:
    data = await _read_bounded(client, connection, message.between_bytes_timeout_s)
    reply = msgspec.json.decode(data, type=upstream.StageReply)
    if connection.reused and reply.binding != message.call.binding:
        raise ValueError("a late answer to another call")
    client.on_event(
        requests.UpstreamFinished(
            attempt=message.attempt,
            binding=reply.binding,
            digest=reply.digest,
            output=reply.output,
            usage=_usable(message, reply.usage),
        ),
    )


async def _read_bounded(
    client: UpstreamClient, connection: exchange.Connection, timeout_s: float
) -> bytes:
    """Return a whole reply, which may not pause and not fall behind its minimum rate.

    Raise ExchangeError if it is cut off or too long, _ReadTimeoutError if too slow.
    """
    loop = asyncio.get_running_loop()
    started_s = loop.time()

    async def read(connection: exchange.Connection) -> bytes | None:
        allowed_s = timeout_s + connection.body_bytes / MINIMUM_BYTES_PER_S
        left_s = started_s + allowed_s - loop.time()
        return await _read_chunk(connection, min(timeout_s, left_s))

    return await exchange.read_body(client.pool, connection, MAXIMUM_REPLY_BYTES, read)


async def _read_stream(
    client: UpstreamClient,
    message: requests.CallUpstream,
    connection: exchange.Connection,
) -> None:
    """Report the lines of a stream; each is due within the time between bytes."""
    loop = asyncio.get_running_loop()
    decoder = msgspec.json.Decoder(upstream.StreamLine)
    buffer = bytearray()
    due_s = loop.time() + message.first_byte_timeout_s
    while True:
        chunk = await _read_chunk(connection, due_s - loop.time())
        if chunk is None:
            raise ValueError("a stream without its end mark")
        buffer += chunk
        connection.keep(len(buffer))
        if len(buffer) > MAXIMUM_LINE_BYTES:
            connection.exceed(f"a line above {MAXIMUM_LINE_BYTES} bytes")
            raise connection.incomplete_answer_error()
        if b"\n" not in chunk:
            continue
        *lines, rest = buffer.split(b"\n")
        buffer = bytearray(rest)
        for line in filter(None, lines):
            due_s = loop.time() + message.between_bytes_timeout_s
            if _report_line(client, message, decoder.decode(line)):
                return


def _report_line(
    client: UpstreamClient,
    message: requests.CallUpstream,
    line: upstream.StreamLine,
) -> bool:
    """Report a line of a stream and return whether it was the last one."""
    if line.binding is None:
        client.on_event(
            requests.UpstreamPart(
                attempt=message.attempt,
                offset=line.offset,
                text=line.text,
            ),
        )
        return False
    client.on_event(
        requests.UpstreamFinished(
            attempt=message.attempt,
            binding=line.binding,
            digest=line.digest,
            length=line.length,
            usage=_usable(message, line.usage),
        ),
    )
    return True


def _usable(message: requests.CallUpstream, usage: upstream.Usage) -> upstream.Usage:
    """Return the usage that an upstream reports, none if it cannot be passed on."""
    fault = codec.fault(usage)
    if fault is None:
        return usage
    events.USAGE_FAULTY.log(logger, upstream=message.upstream, reason=fault)
    return upstream.Usage()


async def _read_chunk(
    connection: exchange.Connection, timeout_s: float
) -> bytes | None:
    """Return the next bytes of the reply, None at its end."""
    try:
        async with asyncio.timeout(max(0.0, timeout_s)):
            return await exchange.read_chunk(connection)
    except TimeoutError:
        raise _ReadTimeoutError from None


async def _report_refusal(
    client: UpstreamClient,
    message: requests.CallUpstream,
    connection: exchange.Connection,
    head: exchange.Head,
) -> None:
    """Report a refused call; it counts as not sent if the upstream says it did not run.

    Only the statuses 429 and 503 may say so.
    """
    data = await _read_bounded(client, connection, message.between_bytes_timeout_s)
    refusal = upstream.Refusal()
    with contextlib.suppress(msgspec.DecodeError):
        refusal = msgspec.json.decode(data, type=upstream.Refusal)
    not_run = head.status in REFUSED_STATUSES and refusal.ran == "no"
    _fail(
        client,
        message,
        requests.Sent.NO if not_run else requests.Sent.UNKNOWN,
        refusal.detail or f"status {head.status}",
        status=head.status,
        retry_after_s=_retry_after_s(message, head),
    )


def _retry_after_s(message: requests.CallUpstream, head: exchange.Head) -> float | None:
    """Return the time that a refusal asks for, None if it asks for none."""
    values = head.get_all(b"retry-after")
    if not values:
        return None
    sent_unix_s = retry_after.unix_s(head.get(b"date"))
    asked = retry_after.parse(values, sent_unix_s, clocks.unix_ms() / 1_000)
    if asked.fault:
        events.RETRY_AFTER_FAULTY.log(
            logger, upstream=message.upstream, fault=asked.fault
        )
    return asked.seconds or None


def _fail(
    client: UpstreamClient,
    message: requests.CallUpstream,
    sent: requests.Sent,
    reason: str,
    status: int | None = None,
    retry_after_s: float | None = None,
    lost: bool = False,
) -> None:
    events.UPSTREAM_CALL_FAILED.log(
        logger,
        upstream=message.upstream,
        request=message.call.binding.request,
        stage=message.call.binding.stage,
        sent=sent.value,
        reason=reason,
    )
    client.on_event(
        requests.UpstreamFailed(
            attempt=message.attempt,
            sent=sent,
            reason=reason,
            status=status,
            retry_after_s=retry_after_s,
            lost=lost,
        ),
    )


def _close_idle_connections(
    client: UpstreamClient, message: requests.CallUpstream
) -> None:
    """Close the pooled connections to an upstream of which one went silent."""
    if not _may_share_connection(message):
        return
    events.UPSTREAM_SILENT.log(logger, upstream=message.upstream)
    address = _endpoint(message.address).address
    exchange.close_idle_connections(client.pool, address)


def _close_expired(client: UpstreamClient) -> None:
    now = client.clock()
    if now >= client.next_expiry_s:
        client.next_expiry_s = now + EXPIRY_INTERVAL_S
        exchange.close_expired(client.pool)


async def _send_cancel(
    client: UpstreamClient,
    message: requests.CancelUpstream,
) -> None:
    with contextlib.suppress(exchange.ExchangeError, TimeoutError, ValueError):
        endpoint = _endpoint(message.address)
        async with asyncio.timeout(CANCEL_TIMEOUT_S):
            connection = await exchange.send(
                client.pool,
                endpoint.address,
                b"DELETE",
                f"/v1/calls/{message.attempt}".encode(),
                _headers(endpoint, b"", {}),
                b"",
                maximum_idle_s=0.0,
                connect_timeout_s=CONNECT_TIMEOUT_S,
            )
            await _read_status(connection)


async def _send_order(client: UpstreamClient, message: requests.SendOrder) -> None:
    error = ""
    try:
        _check_lease(client, message)
        async with asyncio.timeout(ORDER_TIMEOUT_S):
            connection = await _send(
                client,
                message,
                b"PUT",
                "/v1/engine",
                msgspec.json.encode(message.order),
                {},
                maximum_idle_s=0.0,
            )
            status = await _read_status(connection)
        if status >= 300:
            error = f"status {status}"
    except _TooLateError:
        error = "the lease ended before the order"
    except (exchange.ExchangeError, TimeoutError, ValueError) as failure:
        error = f"{type(failure).__name__}: {failure}"
    client.on_event(
        requests.OrderAnswered(
            order_id=message.order_id,
            upstream=message.upstream,
            error=error,
        ),
    )


async def _read_status(connection: exchange.Connection) -> int:
    """Return the status of an answer and close its connection."""
    try:
        return (await exchange.read_head(connection)).status
    finally:
        exchange.discard(connection)
