"""What upstreams say about themselves in the head of any answer.

An upstream that is leaving says so in all its answers, and gets no new work from then
on. One that turns work away with status 503 may ask this host for a pause. One in need
names a rate limit in all its answers, for as long as it holds. One that is cold says
for how long. All of these concern one start of the upstream.
"""

import logging

from bitternlever.core import clocks
from bitternlever.fleet import (
    pauses as fleet_pauses,
    rate_limits,
    upstreams as fleet_upstreams,
)
from bitternlever.gateway import dialect as gateway_dialect, state
from bitternlever.telemetry import events
from bitternlever.transport import exchange, retry_after

UNAVAILABLE_STATUS = 503
FIRST_FAILED_STATUS = 400

logger = logging.getLogger(__name__)


def handle(
    gateway: state.Gateway,
    address: str,
    expected: str | None,
    head: exchange.Head,
    request: str | None = None,
) -> gateway_dialect.AnswerHead:
    """Act on the notices in the head of an answer and return the parsed head.

    ``expected`` is the upstream that the call was for, None if it was for any one at
    the address; ``request`` is the caller's request, if the call was for one.
    """
    answer = gateway.dialect.read_answer(head.status, head.headers)
    if not (_has_notice(head, answer) or gateway.tables.rate_limits):
        return answer
    upstream = _source(gateway, address, expected, answer)
    entry = gateway.tables.upstreams.entries.get(upstream or "")
    if entry is None:
        return answer
    now = clocks.boot_time()
    if answer.leaving:
        _handle_leaving(gateway, now, entry, request)
    if head.status == UNAVAILABLE_STATUS:
        _handle_pause(gateway, now, entry, head, request)
    _handle_rate_limit(gateway, now, entry, head, answer, request)
    if answer.cold_s is not None:
        _handle_cold(gateway, now, entry, answer.cold_s)
    return answer


def _has_notice(head: exchange.Head, answer: gateway_dialect.AnswerHead) -> bool:
    return bool(
        answer.leaving
        or head.status == UNAVAILABLE_STATUS
        or answer.rate_limit is not None
        or answer.rejection_limit is not None
        or answer.rate_limit_fault
        or answer.cold_s is not None
    )


def handle_failed_exchange(
    gateway: state.Gateway,
    upstream: str,
    error: exchange.ExchangeError,
    request: str | None = None,
) -> None:
    """Log and count an exchange that ended because the upstream sent too much."""
    if not error.exceeded:
        return
    gateway.measures.notices["bound_exceeded"] += 1
    entry = gateway.tables.upstreams.entries.get(upstream)
    now = clocks.boot_time()
    events.BOUND_EXCEEDED.log(
        logger,
        upstream=upstream,
        started_ms=None if entry is None else entry.status.started_ms,
        request=request,
        reason=error.reason,
        last_seen_age_s=None if entry is None else round(now - entry.last_seen_s, 3),
    )


def _source(
    gateway: state.Gateway,
    address: str,
    expected: str | None,
    answer: gateway_dialect.AnswerHead,
) -> str | None:
    """Return the upstream that sent an answer, None if it is unknown."""
    if answer.instance is not None:
        return answer.instance
    if expected is not None and not answer.wrong_instance:
        return expected
    holder = fleet_upstreams.holder(gateway.tables.upstreams, address)
    return None if holder == expected else holder


def _handle_cold(
    gateway: state.Gateway, now: float, entry: fleet_upstreams.Entry, cold_s: float
) -> None:
    status = entry.status
    known = gateway.tables.upstreams
    if fleet_upstreams.mark_cold(known, now, status.upstream, cold_s):
        gateway.measures.notices["cold"] += 1
        events.UPSTREAM_COLD.log(
            logger,
            upstream=status.upstream,
            started_ms=status.started_ms,
            cold_s=round(cold_s, 3),
        )


def _handle_leaving(
    gateway: state.Gateway,
    now: float,
    entry: fleet_upstreams.Entry,
    request: str | None,
) -> None:
    status = entry.status
    if not fleet_upstreams.mark_leaving(gateway.tables.upstreams, now, status.upstream):
        return
    gateway.measures.notices["leaving"] += 1
    events.UPSTREAM_LEAVING.log(
        logger,
        upstream=status.upstream,
        started_ms=status.started_ms,
        address=status.address,
        request=request,
        last_seen_age_s=round(now - entry.last_seen_s, 3),
    )
    exchange.close_idle_connections(gateway.pool, status.address)


def _handle_pause(
    gateway: state.Gateway,
    now: float,
    entry: fleet_upstreams.Entry,
    head: exchange.Head,
    request: str | None,
) -> None:
    values = head.get_all(b"retry-after")
    if not values:
        return
    sent_unix_s = retry_after.unix_s(head.get(b"date"))
    asked = retry_after.parse(values, sent_unix_s, clocks.unix_ms() / 1_000)
    status = entry.status
    if asked.fault:
        gateway.measures.notices["pause_faulty"] += 1
        events.RETRY_AFTER_FAULTY.log(
            logger, upstream=status.upstream, request=request, fault=asked.fault
        )
    if asked.seconds <= 0:
        return
    gateway.measures.notices["pause"] += 1
    events.UPSTREAM_PAUSED.log(
        logger,
        upstream=status.upstream,
        started_ms=status.started_ms,
        request=request,
        pause_s=round(asked.seconds, 3),
        last_seen_age_s=round(now - entry.last_seen_s, 3),
    )
    fleet_pauses.record(
        gateway.tables.pauses,
        now,
        status.upstream,
        status.started_ms,
        asked.seconds,
    )


def _handle_rate_limit(
    gateway: state.Gateway,
    now: float,
    entry: fleet_upstreams.Entry,
    head: exchange.Head,
    answer: gateway_dialect.AnswerHead,
    request: str | None,
) -> None:
    """Record the limit that an answer names, or that it names none.

    A limit is not ended by failures, by answers without a signature, nor by the late
    copy of an answer to another request.
    """
    status = entry.status
    is_late_copy = None not in (request, answer.request) and answer.request != request
    if is_late_copy:
        return
    if answer.rate_limit_fault:
        gateway.measures.notices["limit_faulty"] += 1
        events.RATE_LIMIT_FAULTY.log(
            logger,
            upstream=status.upstream,
            request=request,
            fault=answer.rate_limit_fault,
        )
        return
    is_trusted = answer.signed or request is None
    per_s, rejections_per_s = answer.rate_limit, answer.rejection_limit
    if head.status >= FIRST_FAILED_STATUS or not is_trusted:
        known = gateway.tables.rate_limits.get(status.upstream)
        if known is not None and known.started_ms == status.started_ms:
            per_s = known.per_s if per_s is None else per_s
            if rejections_per_s is None:
                rejections_per_s = known.rejections_per_s
        if answer.rate_limit is None and answer.rejection_limit is None:
            return
    if rate_limits.observe(
        gateway.tables.rate_limits,
        now,
        status.upstream,
        status.started_ms,
        per_s,
        rejections_per_s,
    ):
        gateway.measures.notices["limit"] += 1
        events.UPSTREAM_LIMITED.log(
            logger,
            upstream=status.upstream,
            started_ms=status.started_ms,
            request=request,
            per_s=per_s,
            rejections_per_s=rejections_per_s,
        )
