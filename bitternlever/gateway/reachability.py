"""Whether this host is cut off from all upstreams while others may reach them.

Dials that fail at several upstreams, or requests to which no upstream answers a single
byte, raise a suspicion; then a few upstreams are probed with a health check. The host
is cut off if none of them answers, until some do in successive rounds. One silent
upstream is no cut: the others answer. An upstream that has ended is none either, and if
all have ended, the other hosts find themselves cut off as well, and nothing is handed
over. If all are silent, they may be slow: requests that no other host can serve are
then served here.

Load pattern: a host or most hosts of a zone lose the network to all upstreams for
seconds, by reset, by silence, or for new connections only; connections may be accepted
on the way.
"""

import asyncio
import itertools
import logging
import random

import msgspec

from bitternlever.batching import batcher
from bitternlever.catalog import tables as catalog_tables
from bitternlever.core import clocks
from bitternlever.fleet import rate_limits, upstreams as fleet_upstreams
from bitternlever.gateway import state, sync, tables as gateway_tables
from bitternlever.messages import fleet
from bitternlever.telemetry import events
from bitternlever.transport import exchange

SUSPECT_DIALS = 2
"""A single upstream may have ended."""

SUSPECT_SILENCE_S = 1.0
"""Longer than the usual time to a first event, so that one request seldom dials."""

SILENCE_CHECK_INTERVAL_S = 2.0
"""New connections have a price; a long prompt alone at night is silent, too."""

PROBES = 4
"""Upstreams probed in a round, of several services; some of them may have ended."""

MINIMUM_PROBES = 2
"""With fewer upstreams a cut cannot be told from their end."""

DEFAULT_TARGET = "/"
"""Any answer shows reach, if a service has no health check also a refusal."""

RETURN_ROUNDS = 2
"""Successive rounds with an answer after which a cut has ended."""

logger = logging.getLogger(__name__)


def is_suspect(
    reachability: gateway_tables.Reachability, pool: exchange.Pool, now: float
) -> bool:
    """Return whether upstreams should be probed to tell if the host is cut off."""
    if reachability.cut_off or len(pool.failed_dials) >= SUSPECT_DIALS:
        return True
    awaiting_s = pool.awaiting_since_s
    return (
        awaiting_s is not None
        and now - awaiting_s > SUSPECT_SILENCE_S
        and now - reachability.checked_s >= SILENCE_CHECK_INTERVAL_S
    )


def record_round(
    reachability: gateway_tables.Reachability, now: float, answers: list[bool | None]
) -> bool:
    """Record a round of probes; return whether that is a change.

    A probe is True if it was answered, None if only silence followed the connection.
    One round without an answer begins a cut.
    """
    reachability.checked_s = now
    reachability.may_be_slow = None in answers
    if any(answers):
        reachability.reached_rounds += 1
        ends = reachability.cut_off and reachability.reached_rounds >= RETURN_ROUNDS
        reachability.cut_off = reachability.cut_off and not ends
        return ends
    if len(answers) < MINIMUM_PROBES:
        return False
    begins = not reachability.cut_off
    reachability.reached_rounds = 0
    reachability.cut_off = True
    return begins


def check_later(gateway: state.Gateway, now: float) -> None:
    """Probe upstreams in the background if the host may be cut off from them."""
    reachability = gateway.tables.reachability
    if reachability.checking or not is_suspect(reachability, gateway.pool, now):
        return
    reachability.checking = True
    state.run_in_background(gateway, _check(gateway))


async def _check(gateway: state.Gateway) -> None:
    tables = gateway.tables
    try:
        sample = _sample(tables, clocks.boot_time())
        answers = await _probe(gateway.pool, sample[:1])
        if not any(answers):
            answers += await _probe(gateway.pool, sample[1:])
    finally:
        tables.reachability.checking = False
    if any(answers):
        gateway.pool.awaiting_since_s = None
    if record_round(tables.reachability, clocks.boot_time(), answers):
        _apply(gateway)


async def _probe(
    pool: exchange.Pool, upstreams: list[tuple[str, bytes]]
) -> list[bool | None]:
    return await asyncio.gather(
        *(exchange.probe(pool, address, target) for address, target in upstreams)
    )


def _sample(
    tables: gateway_tables.GatewayTables, now: float
) -> list[tuple[str, bytes]]:
    """Return the addresses of a few upstreams, with the paths of their health checks.

    One of each service comes first: those of one service may all be busy. Upstreams
    that named a limit or asked for a pause are left out: a probe is a request, too.
    """
    services = [] if tables.catalog is None else tables.catalog.services.values()
    by_service = []
    for service in services:
        upstreams = [
            upstream
            for upstream in sync.usable_upstreams(tables, now, service.name)
            if sync.pause_ends_s(tables, now, upstream) is None
            and not _is_limited(tables, now, upstream)
        ]
        targets = [(upstream.address, _target(service)) for upstream in upstreams]
        by_service.append(random.sample(targets, len(targets)))
    random.shuffle(by_service)
    in_turn = itertools.chain.from_iterable(itertools.zip_longest(*by_service))
    return [target for target in in_turn if target is not None][:PROBES]


def _apply(gateway: state.Gateway) -> None:
    """Announce a change at once; leave the batching of stage work to other hosts."""
    tables = gateway.tables
    cut_off = tables.reachability.cut_off
    event = events.UPSTREAMS_UNREACHABLE if cut_off else events.UPSTREAMS_REACHABLE
    event.log(logger, failed_dials=len(gateway.pool.failed_dials))
    tables.announcement = msgspec.structs.replace(tables.announcement, cut_off=cut_off)
    gateway.announce(gateway)
    if not cut_off:
        return
    for address in list(gateway.pool.idle):
        exchange.close_idle_connections(gateway.pool, address)
    now = clocks.boot_time()
    for queue in tables.batchers.values():
        # Their hosts send them again, to the next batching host.
        for work in list(queue.works):
            batcher.cancel(queue, now, work)


def _is_limited(
    tables: gateway_tables.GatewayTables, now: float, upstream: fleet.UpstreamStatus
) -> bool:
    known = tables.rate_limits
    per_s = rate_limits.per_s(known, upstream.upstream, upstream.started_ms)
    rejections_per_s = rate_limits.rejections_per_s(
        known, now, tables.upstreams, upstream
    )
    is_cold = fleet_upstreams.is_cold(tables.upstreams, now, upstream)
    return per_s is not None or rejections_per_s is not None or is_cold


def _target(service: catalog_tables.Service) -> bytes:
    path = service.health_path
    usable = path.startswith("/") and path.isascii() and path.isprintable()
    return (path if usable and " " not in path else DEFAULT_TARGET).encode()
