"""Serve the callers of a host that is cut off from all upstreams at another host.

The request goes on to a host that reaches them, once and no further. That host treats
it as its own: stages, limits, retries and records count there. Its answer passes
unchanged, events as they arrive.
"""

import asyncio

from aiohttp import web

from bitternlever.core import clocks
from bitternlever.gateway import (
    context as gateway_context,
    relay as gateway_relay,
    sending,
    state,
    tables as gateway_tables,
)
from bitternlever.messages import fleet
from bitternlever.routing import affinity
from bitternlever.transport import exchange

MAXIMUM_DIALS = 3
"""Hosts that are dialled for a request; listed ones may have ended a moment ago."""

RETRY_S = 0.5
"""Hosts that have ended are no longer listed by then."""


def helpers(
    tables: gateway_tables.GatewayTables, now: float, request: str
) -> list[fleet.HostAnnouncement]:
    """Return the hosts that may serve a request of this one, in the order to try."""
    hosts = {
        host.link: host
        for host in tables.hosts.listed
        if host.state is fleet.HostState.READY
        and not host.cut_off
        and host.host != tables.announcement.host
        and tables.suspects.get(host.link, 0.0) <= now
    }
    return [hosts[link] for link in affinity.ranked(request, list(hosts))]


async def run(
    gateway: state.Gateway,
    request: web.BaseRequest,
    context: gateway_context.Context,
) -> web.StreamResponse | gateway_context.Refusal | None:
    """Have another host serve a request; None if it is to be served here.

    It is served here unless this host is cut off, and if it came from another host, if
    all others are cut off, or if none can be reached and the upstreams may be slow.
    """
    tables = gateway.tables
    if not tables.reachability.cut_off or context.head.handed_over:
        return None
    now = clocks.boot_time()
    hosts = helpers(tables, now, context.head.request)
    for host in hosts[:MAXIMUM_DIALS]:
        try:
            connection = await _send(gateway, request, context, host)
        except exchange.ExchangeError:
            continue
        gateway.measures.attempts["handed_over"] += 1
        return await _relay(gateway, request, context, connection)
    if not hosts or tables.reachability.may_be_slow:
        return None
    return gateway_context.Refusal(503, "no other host can be reached", RETRY_S)


async def _send(
    gateway: state.Gateway,
    request: web.BaseRequest,
    context: gateway_context.Context,
    host: fleet.HostAnnouncement,
) -> exchange.Connection:
    body_bytes = len(context.body) if request.body_exists else None
    left_s = context.deadline_s - clocks.boot_time()
    headers = gateway.dialect.handover_headers(context.raw_headers, left_s, body_bytes)
    repeatable = sending.is_repeatable(context)
    connection = await exchange.send(
        gateway.host_pool,
        host.address,
        context.method,
        context.target,
        headers,
        context.body,
        maximum_idle_s=sending.maximum_idle_s(repeatable=repeatable),
    )
    context.sent = True
    context.sent_to = host.host
    return connection


async def _relay(
    gateway: state.Gateway,
    request: web.BaseRequest,
    context: gateway_context.Context,
    connection: exchange.Connection,
) -> web.StreamResponse | gateway_context.Refusal:
    relay = sending.Relay(request, lambda: None, transport=request.transport)
    try:
        async with asyncio.timeout(context.deadline_s - clocks.boot_time()):
            return await _relay_answer(gateway, relay, context, connection)
    except (TimeoutError, exchange.ExchangeError) as error:
        exchange.discard(connection)
        if relay.response is not None:
            gateway_relay.cut_off(relay)
            return relay.response
        status = 504 if isinstance(error, TimeoutError) else 502
        return gateway_context.Refusal(status, "the other host gave no whole answer")
    except BaseException:
        exchange.discard(connection)
        if relay.response is not None:
            gateway_relay.cut_off(relay)
        raise


async def _relay_answer(
    gateway: state.Gateway,
    relay: sending.Relay,
    context: gateway_context.Context,
    connection: exchange.Connection,
) -> web.StreamResponse:
    head = await exchange.read_head(connection)
    headers = gateway.dialect.answer_headers(head.headers)
    if head.get(b"content-length") is None and exchange.has_framing(head):
        relay.response = web.StreamResponse(status=head.status)
        relay.response.headers.extend(headers)
        await relay.response.prepare(relay.request)
        while (piece := await exchange.read_chunk(connection)) is not None:
            if context.first_piece_s is None:
                context.first_piece_s = clocks.boot_time()
            await relay.response.write(piece)
        exchange.release(gateway.host_pool, connection.address, connection, head)
        await relay.response.write_eof()
        return relay.response
    body = await exchange.read_body(
        gateway.host_pool, connection, gateway_relay.MAXIMUM_ANSWER_BYTES
    )
    exchange.release(gateway.host_pool, connection.address, connection, head)
    response = web.Response(status=head.status, body=body)
    response.headers.extend(headers)
    return response
