"""Streams go on only at the software version that began them.

A caller that takes up a stream brings back nothing but the request that began it, and
the host that knows more may have ended. So a host records the version at control
processes before the first event leaves it; any of them will do, with or without a
leader. A host that takes up a stream it doesn't know asks all control processes.

Load pattern: all hosts end at once while several versions serve, and the callers of all
streams return within a second.
"""

import asyncio
import dataclasses

from bitternlever.catalog import tables as catalog_tables
from bitternlever.core import clocks
from bitternlever.fleet import stream_origins
from bitternlever.gateway import (
    context as gateway_context,
    measures,
    state,
    sync,
    tables as gateway_tables,
)
from bitternlever.messages import fleet
from bitternlever.routing import affinity

RECORD_COPIES = 2
"""Control processes that are asked at once to record a stream; heartbeats reach all."""

RECORD_TIMEOUT_S = 0.1
"""The first event waits no longer: below the delay at which events count as late."""

RESPONSIVE_S = 0.6
"""Control processes that answered a heartbeat this recently are asked to record."""

LOOKUP_TIMEOUT_S = 0.5
"""A lost packet is resent within 0.2 s."""

UNKNOWN_RETRY_S = 1.0
"""A control process that was unreachable may answer by then."""

VERSION_RETRY_S = 1.0
"""An upstream that crashed starts again within a few seconds, with its version."""

NO_VERSION_REASON = "no upstream of the stream's software version is there"


@dataclasses.dataclass(slots=True)
class Call:
    """A call to control processes that waits for the replies of ``awaited`` links."""

    reply: asyncio.Future
    awaited: set[str]


def is_take_up(context: gateway_context.Context) -> bool:
    """Return whether a request takes up a stream of which its caller has events.

    The catalog of a host that is out of step may not say yet that streams of the route
    may be resumed.
    """
    is_stream = context.route.repeatability is catalog_tables.Repeatability.STREAM
    return is_stream and bool(context.head.last_event)


async def resolve(
    gateway: state.Gateway, context: gateway_context.Context
) -> gateway_context.Refusal | None:
    """Bind a request that takes up a stream to where the stream began.

    Return the refusal of one that cannot go on, None for all others.
    """
    if not is_take_up(context):
        return None
    take_ups = gateway.measures.take_ups
    origin = await _find(gateway, context.head.resumes)
    take_ups["unknown" if origin is None else "known"] += 1
    refusal = bind(gateway.tables, clocks.boot_time(), context, origin)
    if refusal is not None and refusal.reason == NO_VERSION_REASON:
        take_ups["version_gone"] += 1
    return refusal


def bind(
    tables: gateway_tables.GatewayTables,
    now: float,
    context: gateway_context.Context,
    origin: fleet.StreamOrigin | None,
) -> gateway_context.Refusal | None:
    """Bind a request to where its stream began, None if nobody knows; or refuse it."""
    if origin is None:
        reason = "the software version that began the stream is not known"
        return gateway_context.Refusal(503, reason, UNKNOWN_RETRY_S)
    context.origin = origin
    if origin.service not in {target.service for target in context.route.targets}:
        reason = "the route no longer leads to the service that began the stream"
        return gateway_context.Refusal(503, reason, VERSION_RETRY_S)
    context.service = origin.service
    if not sync.usable_upstreams(tables, now, origin.service, origin):
        return gateway_context.Refusal(503, NO_VERSION_REASON, VERSION_RETRY_S)
    return None


def begin(
    gateway: state.Gateway,
    now: float,
    context: gateway_context.Context,
    upstream: fleet.UpstreamStatus,
) -> None:
    """Record where a new stream begins; its first event should wait for ``recorded``.

    From now on the request is sent to upstreams of that version only.
    """
    wait_s = max(context.route.timeout_s, context.head.deadline_s or 0.0)
    origin = fleet.StreamOrigin(
        request=context.head.request,
        service=upstream.service,
        software_version=upstream.software_version,
        left_s=wait_s + stream_origins.RETENTION_MARGIN_S,
    )
    context.origin = origin
    if not stream_origins.record(gateway.tables.stream_origins, now, origin):
        return
    links = _controls(gateway.tables, now, RESPONSIVE_S)
    links = affinity.ranked(origin.request, links)[:RECORD_COPIES]
    if links:
        number, call = _start_call(gateway, links)
        for link in links:
            state.send(gateway, link, fleet.StreamBegun(number, origin))
        context.recording = asyncio.ensure_future(
            _reply(gateway, number, call, RECORD_TIMEOUT_S)
        )


async def recorded(gateway: state.Gateway, context: gateway_context.Context) -> None:
    """Wait until a control process has recorded where the stream began, if one can."""
    recording, context.recording = context.recording, None
    if recording is not None:
        started_s = clocks.boot_time()
        await recording
        waited_s = clocks.boot_time() - started_s
        measures.record_latency(gateway.measures, "stream_recorded", waited_s)


def handle_reply(
    gateway: state.Gateway,
    now: float,
    link: str,
    message: fleet.StreamRecorded | fleet.StreamOriginReply,
) -> None:
    """Handle a control process's reply to a call."""
    call = gateway.control_calls.get(message.call)
    if call is None or call.reply.done():
        return
    if isinstance(message, fleet.StreamRecorded):
        call.reply.set_result(None)
        return
    call.awaited.discard(link)
    if message.origin is not None:
        stream_origins.record(gateway.tables.stream_origins, now, message.origin)
        call.reply.set_result(message.origin)
    elif not call.awaited:
        call.reply.set_result(None)


async def _find(gateway: state.Gateway, request: str) -> fleet.StreamOrigin | None:
    """Return where a stream began, None if no process in reach knows."""
    now = clocks.boot_time()
    known = stream_origins.find(gateway.tables.stream_origins, now, request)
    links = _controls(gateway.tables, now, sync.CONTROL_TIMEOUT_S)
    if known is not None or not request or not links:
        return known
    number, call = _start_call(gateway, links)
    for link in links:
        state.send(gateway, link, fleet.StreamOriginRequested(number, request))
    return await _reply(gateway, number, call, LOOKUP_TIMEOUT_S)


def _controls(
    tables: gateway_tables.GatewayTables, now: float, within_s: float
) -> list[str]:
    """Return the links of the control processes that replied within a time."""
    return [
        control.link
        for control in tables.controls.values()
        if control.last_seen_s is not None and now - control.last_seen_s < within_s
    ]


def _start_call(gateway: state.Gateway, links: list[str]) -> tuple[int, Call]:
    gateway.control_call_count += 1
    call = Call(asyncio.get_running_loop().create_future(), set(links))
    gateway.control_calls[gateway.control_call_count] = call
    return gateway.control_call_count, call


async def _reply(
    gateway: state.Gateway, number: int, call: Call, within_s: float
) -> fleet.StreamOrigin | None:
    try:
        async with asyncio.timeout(within_s):
            return await call.reply
    except TimeoutError:
        return None
    finally:
        del gateway.control_calls[number]
