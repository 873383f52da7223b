"""Calls to upstreams over HTTP, streamed or not; each attempt is sent at most once.

Idempotent calls share pooled connections. A call that is not idempotent opens its own
connection, so that it never uses a pooled one that has silently died.
"""

import asyncio
import contextlib
import dataclasses
import logging
from collections.abc import Callable
from typing import Any

import aiohttp
import msgspec

from bitternlever.messages import requests, upstream
from bitternlever.telemetry import events, traces

CONNECT_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 2.0
CANCEL_TIMEOUT_S = 1.0
KEEP_ALIVE_S = 15.0
MAXIMUM_REPLY_BYTES = 4_000_000
MAXIMUM_LINE_BYTES = 1_000_000
MAXIMUM_CONNECTIONS = 2_000
REFUSED_STATUSES = (429, 503)
CALL_ERRORS = (
    aiohttp.ClientError,
    OSError,
    ValueError,
    RecursionError,
    msgspec.MsgspecError,
)

logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class Pool:
    """The pooled connections to one upstream; a retired pool takes no new call."""

    session: aiohttp.ClientSession
    in_flight: int = 0
    retired: bool = False


@dataclasses.dataclass(slots=True)
class UpstreamClient:
    """Running calls by attempt, connection pools by upstream address."""

    clock: Callable[[], float]
    on_event: Callable[[Any], None]
    tracer: traces.Tracer
    pools: dict[str, Pool] = dataclasses.field(default_factory=dict)
    tasks: dict[str, asyncio.Task] = dataclasses.field(default_factory=dict)
    background: set[asyncio.Task] = dataclasses.field(default_factory=set)


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
    return UpstreamClient(clock=clock, on_event=on_event, tracer=tracer)


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
    for pool in client.pools.values():
        await pool.session.close()
    client.pools.clear()


def _in_background(client: UpstreamClient, coroutine: Any) -> None:
    task = asyncio.ensure_future(coroutine)
    client.background.add(task)
    task.add_done_callback(client.background.discard)


async def _run(client: UpstreamClient, message: requests.CallUpstream) -> None:
    with client.tracer.upstream_call(message) as span:
        headers = span.headers()
        try:
            if message.idempotent:
                await _call_pooled(client, message, headers)
            else:
                await _call_unpooled(client, message, headers)
        except _TooLateError:
            _fail(client, message, requests.Sent.NO, "the lease ended before the call")
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            _fail(client, message, requests.Sent.NO, f"no connection: {error}")
        except (_ReadTimeoutError, TimeoutError):
            _retire_pool(client, message)
            _fail(client, message, requests.Sent.UNKNOWN, "no byte within the timeout")
        except CALL_ERRORS as error:
            reason = f"{type(error).__name__}: {error}"
            _fail(client, message, requests.Sent.UNKNOWN, reason)


async def _call_pooled(
    client: UpstreamClient,
    message: requests.CallUpstream,
    headers: dict[str, str],
) -> None:
    pool = _pool(client, message.address)
    pool.in_flight += 1
    try:
        await _exchange(client, message, pool.session, headers)
    finally:
        pool.in_flight -= 1
        if pool.retired and pool.in_flight == 0:
            await pool.session.close()


async def _call_unpooled(
    client: UpstreamClient,
    message: requests.CallUpstream,
    headers: dict[str, str],
) -> None:
    """Send a call on a new connection; check the lease again once it stands."""

    async def check_lease(*_: Any) -> None:
        _check_lease(client, message)

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(check_lease)
    connector = aiohttp.TCPConnector(force_close=True)
    async with aiohttp.ClientSession(
        connector=connector,
        trace_configs=[trace],
    ) as session:
        await _exchange(client, message, session, headers)


async def _exchange(
    client: UpstreamClient,
    message: requests.CallUpstream,
    session: aiohttp.ClientSession,
    headers: dict[str, str],
) -> None:
    _check_lease(client, message)
    timeout = aiohttp.ClientTimeout(
        total=None,
        connect=CONNECT_TIMEOUT_S,
        sock_connect=CONNECT_TIMEOUT_S,
        sock_read=message.first_byte_timeout_s,
    )
    async with session.post(
        f"{message.address}/v1/stages/{message.task}",
        data=msgspec.json.encode(message.call),
        headers={"Content-Type": "application/json", **headers},
        timeout=timeout,
        allow_redirects=False,
    ) as response:
        if response.status != 200:
            await _report_refusal(client, message, response)
        elif message.call.stream:
            await _read_stream(client, message, response)
        else:
            await _read_reply(client, message, response)


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
    response: aiohttp.ClientResponse,
) -> None:
    data = await _read_bounded(response, message.between_bytes_timeout_s)
    reply = msgspec.json.decode(data, type=upstream.StageReply)
    client.on_event(
        requests.UpstreamFinished(
            attempt=message.attempt,
            binding=reply.binding,
            digest=reply.digest,
            output=reply.output,
            usage=reply.usage,
        ),
    )


async def _read_bounded(response: aiohttp.ClientResponse, timeout_s: float) -> bytes:
    data = bytearray()
    while True:
        chunk = await _read_chunk(response, timeout_s)
        if not chunk:
            return bytes(data)
        data += chunk
        if len(data) > MAXIMUM_REPLY_BYTES:
            raise ValueError(f"a reply above {MAXIMUM_REPLY_BYTES} bytes")


async def _read_stream(
    client: UpstreamClient,
    message: requests.CallUpstream,
    response: aiohttp.ClientResponse,
) -> None:
    timeout_s = message.first_byte_timeout_s
    decoder = msgspec.json.Decoder(upstream.StreamLine)
    buffer = bytearray()
    while True:
        chunk = await _read_chunk(response, timeout_s)
        timeout_s = message.between_bytes_timeout_s
        if not chunk:
            raise ValueError("a stream without its end mark")
        buffer += chunk
        if len(buffer) > MAXIMUM_LINE_BYTES:
            raise ValueError(f"a line above {MAXIMUM_LINE_BYTES} bytes")
        *lines, rest = buffer.split(b"\n")
        buffer = bytearray(rest)
        for line in lines:
            if line and _report_line(client, message, decoder.decode(line)):
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
            usage=line.usage,
        ),
    )
    return True


async def _read_chunk(response: aiohttp.ClientResponse, timeout_s: float) -> bytes:
    """Return the next bytes of the reply, none at its end."""
    try:
        async with asyncio.timeout(timeout_s):
            return await response.content.readany()
    except TimeoutError:
        raise _ReadTimeoutError from None


async def _report_refusal(
    client: UpstreamClient,
    message: requests.CallUpstream,
    response: aiohttp.ClientResponse,
) -> None:
    """Report a refused call; it counts as not sent if the upstream says it did not run.

    Only the statuses 429 and 503 may say so.
    """
    data = await _read_bounded(response, message.between_bytes_timeout_s)
    refusal = upstream.Refusal()
    with contextlib.suppress(msgspec.DecodeError):
        refusal = msgspec.json.decode(data, type=upstream.Refusal)
    not_run = response.status in REFUSED_STATUSES and refusal.ran == "no"
    retry_after = response.headers.get("Retry-After", "")
    _fail(
        client,
        message,
        requests.Sent.NO if not_run else requests.Sent.UNKNOWN,
        refusal.detail or f"status {response.status}",
        status=response.status,
        retry_after_s=float(retry_after) if retry_after.isdigit() else None,
    )


def _fail(
    client: UpstreamClient,
    message: requests.CallUpstream,
    sent: requests.Sent,
    reason: str,
    status: int | None = None,
    retry_after_s: float | None = None,
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
        ),
    )


def _pool(client: UpstreamClient, address: str) -> Pool:
    pool = client.pools.get(address)
    if pool is None:
        connector = aiohttp.TCPConnector(
            limit=MAXIMUM_CONNECTIONS,
            keepalive_timeout=KEEP_ALIVE_S,
        )
        pool = Pool(session=aiohttp.ClientSession(connector=connector))
        client.pools[address] = pool
    return pool


def _retire_pool(client: UpstreamClient, message: requests.CallUpstream) -> None:
    """Stop using all connections of a pool of which one went silent."""
    pool = client.pools.pop(message.address, None)
    if pool is None:
        return
    events.UPSTREAM_SILENT.log(logger, upstream=message.upstream)
    pool.retired = True
    if pool.in_flight == 0:
        _in_background(client, pool.session.close())


async def _send_cancel(
    client: UpstreamClient,
    message: requests.CancelUpstream,
) -> None:
    timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S)
    url = f"{message.address}/v1/calls/{message.attempt}"
    with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.delete(url),
        ):
            return


async def _send_order(client: UpstreamClient, message: requests.SendOrder) -> None:
    timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S)
    error = ""
    try:
        _check_lease(client, message)
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.put(
                f"{message.address}/v1/engine",
                data=msgspec.json.encode(message.order),
                headers={"Content-Type": "application/json"},
            ) as response,
        ):
            if response.status >= 300:
                error = f"status {response.status}"
    except _TooLateError:
        error = "the lease ended before the order"
    except (aiohttp.ClientError, TimeoutError, OSError) as failure:
        error = f"{type(failure).__name__}: {failure}"
    client.on_event(
        requests.OrderAnswered(
            order_id=message.order_id,
            upstream=message.upstream,
            error=error,
        ),
    )
