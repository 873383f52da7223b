"""Forward a request to an upstream and relay its answer.

The route determines what may be sent again: an idempotent request after any failure,
any request if the upstream reports that it did not run it or no byte was sent, and a
resumable stream after its last complete event.
"""

import asyncio
import logging
from collections.abc import Callable

from aiohttp import web

from bitternlever.core import clocks
from bitternlever.gateway import (
    budget,
    context as gateway_context,
    crash_subjects,
    fingerprints,
    notices,
    placement,
    rate_shares,
    relay as gateway_relay,
    resumption,
    sending,
    state,
    sync,
)
from bitternlever.messages import fleet
from bitternlever.telemetry import events
from bitternlever.transport import exchange
from bitternlever.workload import outstanding

MAXIMUM_SENDS = 4
"""Sends of one request, including those that upstreams refuse."""

MINIMUM_TIME_LEFT_S = 0.01
"""With less time left no upstream can answer."""

NO_UPSTREAM_RETRY_S = 0.5
"""Starting upstreams register with control within about this time."""

FULL_RETRY_S = 0.3
"""Upstreams that were all full have finished several plain calls by then."""

MAXIMUM_LOGGED_PARTS = 8
"""Prompts have fewer shared parts; bounds a log line."""

logger = logging.getLogger(__name__)


async def run(
    gateway: state.Gateway,
    request: web.BaseRequest,
    context: gateway_context.Context,
    on_first_piece: Callable[[], None],
) -> web.StreamResponse | gateway_context.Refusal | gateway_context.InputsLost:
    """Send a request until one answer is relayed; return the answer or a refusal."""
    relay = sending.Relay(
        request=request, on_first_piece=on_first_piece, transport=request.transport
    )
    try:
        return await _send_until_answered(gateway, context, relay)
    except BaseException:
        if relay.response is not None:
            gateway_relay.cut_off(relay)
        raise


async def _send_until_answered(
    gateway: state.Gateway,
    context: gateway_context.Context,
    relay: sending.Relay,
) -> web.StreamResponse | gateway_context.Refusal | gateway_context.InputsLost:
    failure = None
    for number in range(MAXIMUM_SENDS):
        upstream = _next_upstream(gateway, context, number)
        if isinstance(upstream, sending.Failure):
            failure = upstream
        if not isinstance(upstream, fleet.UpstreamStatus):
            break
        outcome = await _attempt(gateway, context, relay, upstream)
        if not isinstance(outcome, sending.Failure):
            return outcome
        failure = outcome
        gateway.measures.attempts["failed"] += 1
        _log_failure(context, relay, upstream, failure)
        if failure.inputs_lost or failure.reused_connection:
            context.tried.discard(upstream.upstream)
        if failure.inputs_lost and relay.response is None:
            return gateway_context.InputsLost(failure.reason)
        is_suspected = _record_crash(gateway, context, relay, upstream, failure)
        if failure.ran and (
            is_suspected or not sending.may_run_again(context, upstream)
        ):
            break
    failure = failure or no_upstream(gateway, context, clocks.boot_time())
    return _give_up(gateway, relay, context, failure)


def _end_reading(context: gateway_context.Context) -> None:
    """Count the end of a prompt at an engine; one that it refused was not read."""
    reading, context.reading = context.reading, None
    if reading is not None:
        outstanding.end(reading, clocks.boot_time(), ran=context.sent)


def _next_upstream(
    gateway: state.Gateway, context: gateway_context.Context, number: int
) -> fleet.UpstreamStatus | sending.Failure | None:
    """Return the upstream of the next attempt, or the failure of a request without one.

    Return None if the previous failure counts.
    """
    now = clocks.boot_time()
    if context.deadline_s - now < MINIMUM_TIME_LEFT_S:
        status = 504 if context.sent else 503
        return sending.Failure("the time is over", context.sent, status)
    upstream = choose(gateway, context, now)
    if upstream is None:
        return None
    parts = gateway.tables.crash_subjects
    refused = crash_subjects.quarantined(parts, now, context, sending=True)
    if refused is not None:
        return sending.Failure(refused.reason, context.sent, 503, refused.left_s)
    if number > 0 and not _may_retry(gateway, context, now):
        return None
    return upstream


def _record_crash(
    gateway: state.Gateway,
    context: gateway_context.Context,
    relay: sending.Relay,
    upstream: fleet.UpstreamStatus,
    failure: sending.Failure,
) -> bool:
    """Report a request that may have crashed its upstream.

    Return whether it or a part of its prompt is suspected, so that it must not run
    again.
    """
    if not (failure.lost and failure.ran):
        return False
    parts = gateway.tables.crash_subjects
    now = clocks.boot_time()
    if exchange.lost_together(gateway.pool, now):
        return False
    begun = gateway_relay.has_begun(relay)
    crash_subjects.record_crash(parts, now, context, upstream, begun=begun)
    return crash_subjects.is_suspected(parts, context)


def _record_unanswered(
    gateway: state.Gateway,
    context: gateway_context.Context,
    relay: sending.Relay,
    upstream: fleet.UpstreamStatus,
    sent_s: float,
) -> None:
    """Remember a request that was sent and got no whole answer in time."""
    if context.sent_to == upstream.upstream:
        crash_subjects.record_unanswered(
            gateway.tables.crash_subjects,
            clocks.boot_time(),
            context,
            upstream,
            begun=gateway_relay.has_begun(relay),
            sent_s=sent_s,
        )


def choose(
    gateway: state.Gateway,
    context: gateway_context.Context,
    now: float,
) -> fleet.UpstreamStatus | None:
    """Return the upstream that would get the request now."""
    prompt = None
    if needs_engine(context):
        prompt = placement.prompt(context.head, context.results_zone)
    usable = _open_upstreams(gateway, context, now)
    return placement.choose(gateway.tables, now, usable, context.tried, prompt)


def needs_engine(context: gateway_context.Context) -> bool:
    """Return whether the service of a request has engines."""
    service = context.catalog.services.get(context.service)
    return service is not None and service.engine is not None


def _open_upstreams(
    gateway: state.Gateway, context: gateway_context.Context, now: float
) -> list[fleet.UpstreamStatus]:
    return sync.open_upstreams(gateway.tables, now, context.service, context.origin)


def no_upstream(
    gateway: state.Gateway, context: gateway_context.Context, now: float
) -> sending.Failure:
    """Return the failure of a request for which no upstream is usable."""
    closed = _closed(gateway, context, now)
    if closed is not None:
        return sending.Failure(closed.reason, False, 503, closed.retry_after_s)
    if context.origin is not None:
        reason = resumption.NO_VERSION_REASON
        return sending.Failure(reason, False, 503, resumption.VERSION_RETRY_S)
    return sending.Failure("no upstream is there", False, 503, NO_UPSTREAM_RETRY_S)


def _closed(
    gateway: state.Gateway, context: gateway_context.Context, now: float
) -> sync.Closed | None:
    return sync.closed(gateway.tables, now, context.service, origin=context.origin)


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


def _log_failure(
    context: gateway_context.Context,
    relay: sending.Relay,
    upstream: fleet.UpstreamStatus,
    failure: sending.Failure,
) -> None:
    events.ATTEMPT_FAILED.log(
        logger,
        request=context.head.request,
        upstream=upstream.upstream,
        attempt=context.attempts,
        ran=failure.ran,
        lost=failure.lost,
        events=relay.splitter.events - relay.events_before,
        parts=crash_subjects.shared(context.head)[:MAXIMUM_LOGGED_PARTS],
        subject=fingerprints.names(context)[-1],
        reason=failure.reason,
    )


def _give_up(
    gateway: state.Gateway,
    relay: sending.Relay,
    context: gateway_context.Context,
    failure: sending.Failure,
) -> web.StreamResponse | gateway_context.Refusal:
    """Refuse a request that got no answer, or cut off a stream that has started."""
    if relay.response is not None:
        events.STREAM_CUT_OFF.log(
            logger,
            request=context.head.request,
            reason=failure.reason,
            last_event=relay.splitter.last_event_id,
        )
        gateway_relay.cut_off(relay)
        return relay.response
    if context.sent:
        status = 504 if failure.status == 504 else 502
        return gateway_context.Refusal(status, failure.reason)
    retry_s = failure.retry_after_s
    if retry_s is None:
        now = clocks.boot_time()
        closed = _closed(gateway, context, now)
        retry_s = FULL_RETRY_S if closed is None else closed.retry_after_s
    return gateway_context.Refusal(503, failure.reason, retry_s)


async def _attempt(
    gateway: state.Gateway,
    context: gateway_context.Context,
    relay: sending.Relay,
    upstream: fleet.UpstreamStatus,
) -> web.StreamResponse | sending.Failure:
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
    if needs_engine(context):
        usable = _open_upstreams(gateway, context, started_s)
        context.reading = placement.begin_reading(
            gateway.tables, started_s, upstream, context.head, usable
        )
    attempt = None
    try:
        async with asyncio.timeout(context.deadline_s - started_s):
            attempt = await sending.send(gateway, context, relay, upstream)
            if isinstance(attempt, sending.Failure):
                if not attempt.inputs_lost:
                    placement.record_failure(health, clocks.boot_time())
                return attempt
            outcome = await gateway_relay.relay_answer(gateway, context, relay, attempt)
    except TimeoutError:
        _record_unanswered(gateway, context, relay, upstream, started_s)
        return sending.Failure("no answer within the time", context.sent, 504)
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
        return sending.Failure(
            error.reason, error.sent, reused_connection=error.reused, lost=error.lost
        )
    finally:
        placement.record_end(health, tokens)
        _end_reading(context)
    if isinstance(outcome, sending.Failure):
        placement.record_failure(health, clocks.boot_time())
    else:
        placement.record_success(health, clocks.boot_time() - started_s)
        if 200 <= outcome.status < 300:
            crash_subjects.record_complete(
                gateway.tables.crash_subjects, clocks.boot_time(), context
            )
    return outcome
