"""Whether this host is cut off from all upstreams while others may reach them.

Dials that fail at several upstreams, or requests to which no upstream answers a single
byte, raise a suspicion; then a few upstreams are dialled. The host is cut off if none
of these dials succeeds, until some do in successive rounds. One silent upstream is no
cut: the others accept. An upstream that has ended is none either, and if all have
ended, the other hosts find themselves cut off as well, and nothing is handed over.

Load pattern: a host or most hosts of a zone lose the network to all upstreams for
seconds, by reset, by silence, or for new connections only.
"""

import asyncio
import logging
import random

import msgspec

from bitternlever.batching import batcher
from bitternlever.core import clocks
from bitternlever.gateway import state, sync, tables as gateway_tables
from bitternlever.telemetry import events
from bitternlever.transport import exchange

SUSPECT_DIALS = 2
"""A single upstream may have ended."""

SUSPECT_SILENCE_S = 1.0
"""Longer than the usual time to a first event, so that one request seldom dials."""

SILENCE_CHECK_INTERVAL_S = 2.0
"""New connections have a price; a long prompt alone at night is silent, too."""

PROBES = 4
"""Upstreams dialled in a round; some of them may have ended."""

MINIMUM_PROBES = 2
"""With fewer upstreams a cut cannot be told from their end."""

RETURN_ROUNDS = 2
"""Successive rounds with a connection after which a cut has ended."""

logger = logging.getLogger(__name__)


def is_suspect(
    reachability: gateway_tables.Reachability, pool: exchange.Pool, now: float
) -> bool:
    """Return whether upstreams should be dialled to tell if the host is cut off."""
    if reachability.cut_off or len(pool.failed_dials) >= SUSPECT_DIALS:
        return True
    awaiting_s = pool.awaiting_since_s
    return (
        awaiting_s is not None
        and now - awaiting_s > SUSPECT_SILENCE_S
        and now - reachability.checked_s >= SILENCE_CHECK_INTERVAL_S
    )


def record_round(
    reachability: gateway_tables.Reachability, now: float, dials: list[bool]
) -> bool:
    """Record a round of dials, True if they succeeded; return whether that is a change.

    One round without a connection begins a cut.
    """
    reachability.checked_s = now
    if any(dials):
        reachability.reached_rounds += 1
        ends = reachability.cut_off and reachability.reached_rounds >= RETURN_ROUNDS
        reachability.cut_off = reachability.cut_off and not ends
        return ends
    if len(dials) < MINIMUM_PROBES:
        return False
    begins = not reachability.cut_off
    reachability.reached_rounds = 0
    reachability.cut_off = True
    return begins


def check_later(gateway: state.Gateway, now: float) -> None:
    """Dial upstreams in the background if the host may be cut off from them."""
    reachability = gateway.tables.reachability
    if reachability.checking or not is_suspect(reachability, gateway.pool, now):
        return
    reachability.checking = True
    state.run_in_background(gateway, _check(gateway))


async def _check(gateway: state.Gateway) -> None:
    tables = gateway.tables
    try:
        addresses = _addresses(tables, clocks.boot_time())
        sample = random.sample(addresses, min(PROBES, len(addresses)))
        dials = await _dial(gateway.pool, sample[:1])
        if not any(dials):
            dials += await _dial(gateway.pool, sample[1:])
    finally:
        tables.reachability.checking = False
    if any(dials):
        gateway.pool.awaiting_since_s = None
    if record_round(tables.reachability, clocks.boot_time(), dials):
        _apply(gateway)


async def _dial(pool: exchange.Pool, addresses: list[str]) -> list[bool]:
    return await asyncio.gather(
        *(exchange.probe(pool, address) for address in addresses)
    )


def _addresses(tables: gateway_tables.GatewayTables, now: float) -> list[str]:
    """Return the addresses of all upstreams that may get new work."""
    services = [] if tables.catalog is None else list(tables.catalog.services)
    return sorted(
        {
            upstream.address
            for service in services
            for upstream in sync.usable_upstreams(tables, now, service)
        }
    )


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
