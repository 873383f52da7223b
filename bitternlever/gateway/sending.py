"""Send a request to one upstream and read the head of its answer."""

import asyncio
import dataclasses
from collections.abc import Callable

from aiohttp import web

from bitternlever.catalog import tables as catalog_tables
from bitternlever.core import clocks
from bitternlever.gateway import (
    context as gateway_context,
    dialect as gateway_dialect,
    event_stream,
    notices,
    rate_shares,
    state,
)
from bitternlever.messages import fleet
from bitternlever.transport import exchange

MAXIMUM_DROPPED_BYTES = 65_536
DROP_TIMEOUT_S = 0.5
"""Reading the rest of an unneeded answer beyond these costs more than a connection."""

RUN_ONCE_IDLE_S = 1.0
"""A request that may run only once reuses a connection only if used this recently."""

REPEATABLE_IDLE_S = 30.0
"""Other requests reuse any connection within the upstream's own idle limit."""

INPUTS_FETCHED_S = 0.05
"""An engine has fetched its inputs by then; several times what the links take."""


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
    ``events_before`` is the number of events before the present attempt, and
    ``content_type`` that of the first answer.
    """

    request: web.BaseRequest
    on_first_piece: Callable[[], None]
    transport: asyncio.Transport | None = None
    response: web.StreamResponse | None = None
    splitter: event_stream.Splitter = dataclasses.field(
        default_factory=event_stream.Splitter,
    )
    events_before: int = 0
    content_type: bytes | None = None


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


async def send(
    gateway: state.Gateway,
    context: gateway_context.Context,
    relay: Relay,
    upstream: fleet.UpstreamStatus,
) -> Attempt | Failure:
    """Send the request and read the head of the answer."""
    repeatable = is_repeatable(context)
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
            maximum_idle_s=maximum_idle_s(repeatable=repeatable),
            carried_before=context.connections,
        )
    except exchange.ExchangeError as error:
        return Failure(error.reason, error.sent)
    context.connections.append(connection)
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
        if head.status == notices.UNAVAILABLE_STATUS:
            now = clocks.boot_time()
            rate_shares.record_rejection(gateway.tables, now, upstream)
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


def maximum_idle_s(*, repeatable: bool) -> float:
    """Return how long a connection may have been idle before it is used again."""
    return REPEATABLE_IDLE_S if repeatable else RUN_ONCE_IDLE_S


def is_repeatable(context: gateway_context.Context) -> bool:
    idempotent = catalog_tables.Repeatability.IDEMPOTENT
    return context.route.repeatability is idempotent or context.route.resumable


def may_run_again(
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
    release(gateway, attempt)


def release(gateway: state.Gateway, attempt: Attempt) -> None:
    """Keep the connection of an upstream whose answers name their request."""
    if attempt.answer.request is None:
        exchange.discard(attempt.connection)
        return
    exchange.release(
        gateway.pool, attempt.upstream.address, attempt.connection, attempt.head
    )
