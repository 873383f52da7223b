"""Process runtime of an entry host: links, HTTP servers, timers and signals."""

import asyncio
import dataclasses
import functools
import logging
import math
import signal
from collections.abc import Callable
from typing import Any

from aiohttp import web

from bitternlever.conf import fleet as fleet_settings
from bitternlever.core import clocks, reloading, signals
from bitternlever.gateway import (
    acceptance,
    batching,
    catalog_sync,
    dialect as gateway_dialect,
    drains,
    measures,
    reachability,
    resumption,
    state,
    strain,
    sync,
    tables as gateway_tables,
    where_api,
)
from bitternlever.messages import fleet, frames
from bitternlever.telemetry import events, exposition, logs, metrics
from bitternlever.transport import (
    client_bounds,
    exchange,
    links,
    listeners,
    upstream_bounds,
)

CLUSTER_KEY = "fleet"
"""The same in all processes of a fleet; see ``fleet.shell``."""

DRAIN_POLL_S = 0.1
"""A small part of the margin that is reserved within the grace period."""

SHUTDOWN_TIMEOUT_S = 0.4
"""For requests that arrived while the last connections were closed."""

EXPIRE_INTERVAL_S = 0.25
"""Half of the margin by which connections are closed before the upstream's limit."""

MAXIMUM_HEADER_BYTES = 65_536
"""The parser's limit; the catalog's own limit is checked after parsing."""

IDLE_TIMEOUT_S = 75.0
"""Longer than any idle time that a catalog sets; callers close first."""

CATALOG_REST_FACTOR = 4
"""Reading catalogs that follow each other takes a fifth of the time at most."""

EXIT_OK = 0

logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class HandlerFactories:
    """Factories of the HTTP handlers of an entry host."""

    callers: Callable[[state.Gateway], Callable[[web.BaseRequest], Any]]
    readiness: Callable[[state.Gateway], Callable[[web.BaseRequest], Any]]
    directory: Callable[[state.Gateway], Callable[[web.BaseRequest], Any]]


async def run(
    settings: fleet_settings.FleetConfiguration,
    dialect: gateway_dialect.Dialect,
    apis: HandlerFactories,
    read_settings: reloading.ReadSettings,
) -> int:
    """Run an entry host until a signal stops it; return its exit code."""
    loop = asyncio.get_running_loop()
    started_ms = clocks.unix_ms()
    announcement = fleet.HostAnnouncement(
        host=settings.host,
        address=settings.callers_address,
        link=settings.link,
        zone=settings.zone,
        region=settings.region,
        started_ms=started_ms,
        sequence=0,
        state=fleet.HostState.STARTING,
        link_bytes_per_s=settings.link_bytes_per_s,
    )
    held = upstream_bounds.create(settings.memory_bytes)
    gateway = state.Gateway(
        settings=settings,
        tables=gateway_tables.GatewayTables(
            announcement=announcement,
            seeds=settings.seeds,
            cold_slack=settings.bounds.cold_slack,
        ),
        dialect=dialect,
        pool=exchange.Pool(
            clock=clocks.boot_time,
            held=held,
            maximum_idle=exchange.maximum_idle(settings.descriptors),
        ),
        stopped=loop.create_future(),
        deliver=_dispatch,
        started_s=clocks.boot_time(),
        host_pool=exchange.Pool(clock=clocks.boot_time, held=held),
        announce=_send_heartbeats,
    )
    gateway.links = links.listen(
        node=settings.link,
        link=settings.link,
        incarnation=f"{settings.host}-{started_ms}",
        cluster_key=CLUSTER_KEY,
        clock=clocks.boot_time,
        on_message=lambda received: _receive(gateway, received),
        bind_address=settings.link_bind_address,
    )
    handlers = signals.listen(loop)
    signals.handle(handlers, signal.SIGTERM, functools.partial(_drain, gateway))
    clients = client_bounds.create(settings.descriptors, settings.memory_bytes)
    gateway.clients = clients
    listeners.watch_accept_failures(loop, functools.partial(_stop_naming, gateway))
    callers_listener = await _listen(
        settings.callers_address, apis.callers(gateway), clients
    )
    gateway.stop_listening = functools.partial(listeners.stop, callers_listener)
    sources = [
        *measures.sources(gateway, logs.bounded_handler()),
        metrics.clients_source(clients),
    ]
    servers = [
        await _serve(settings.readiness_address, apis.readiness(gateway), clients),
        await _serve(settings.directory_address, apis.directory(gateway), clients),
        callers_listener.runner,
        await _serve(
            settings.metrics_address,
            where_api.handler(
                gateway, exposition.handler(exposition.Exposition(sources))
            ),
            clients,
        ),
    ]
    reloading.watch_settings(
        handlers,
        read_settings,
        settings,
        lambda changed: setattr(gateway.tables, "seeds", changed.seeds),
    )
    events.PROGRAM_STARTED.log(logger, program="entry", host=settings.host)
    _heartbeat(gateway)
    _expire(gateway)
    await gateway.stopped
    gateway.closing = True
    for server in servers:
        if server is not None:
            await server.cleanup()
    links.close(gateway.links)
    events.PROGRAM_ENDED.log(logger, program="entry", exit_code=EXIT_OK)
    return EXIT_OK


async def _serve(
    address: str, handler: Any, clients: client_bounds.Clients | None = None
) -> web.ServerRunner | None:
    if not address:
        return None
    return (await _listen(address, handler, clients)).runner


async def _listen(
    address: str, handler: Any, clients: client_bounds.Clients | None = None
) -> listeners.Listener:
    server = web.Server(
        handler,
        handler_cancellation=True,
        keepalive_timeout=IDLE_TIMEOUT_S,
        max_line_size=MAXIMUM_HEADER_BYTES,
        max_field_size=MAXIMUM_HEADER_BYTES,
        access_log=None,
        auto_decompress=False,
    )
    runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    await runner.setup()
    host, _, port = address.rpartition(":")
    return await listeners.listen(runner, host, int(port), clients)


def _receive(gateway: state.Gateway, received: frames.PeerMessageReceived) -> None:
    _dispatch(gateway, received.link, received.message)


def _dispatch(gateway: state.Gateway, link: str, message: Any) -> None:
    now = clocks.boot_time()
    match message:
        case fleet.HostHeartbeatReply():
            strain.record_reply(gateway.strain, now, message.sent_s)
            evacuation = gateway.tables.evacuation
            parts = sync.handle_heartbeat_reply(gateway.tables, now, link, message)
            _log_crash_subjects(gateway, parts)
            if gateway.tables.evacuation != evacuation:
                _log_evacuation(gateway)
            _become_ready(gateway, now)
        case fleet.CatalogPushed() | fleet.CatalogChanged():
            _receive_catalog(gateway, now, message)
        case fleet.UpstreamStatusUpdate():
            _apply_upstream_statuses(gateway, now, message)
        case fleet.StreamRecorded() | fleet.StreamOriginReply():
            resumption.handle_reply(gateway, now, link, message)
        case _:
            batching.receive(gateway, now, link, message)


def _log_crash_subjects(gateway: state.Gateway, parts: list[str]) -> None:
    for part in parts:
        record = gateway.tables.crash_subjects.records.get(part)
        refused = record is not None and record.quarantined
        event = events.PART_REFUSED if refused else events.PART_ALLOWED
        event.log(logger, part=part)


def _log_evacuation(gateway: state.Gateway) -> None:
    evacuation = gateway.tables.evacuation
    events.EVACUATION_IN_FORCE.log(
        logger, revision=evacuation.revision, zones=sorted(evacuation.zones)
    )


def _receive_catalog(
    gateway: state.Gateway,
    now: float,
    message: fleet.CatalogPushed | fleet.CatalogChanged,
) -> None:
    """Take a catalog; put it in force unless another one was a moment ago."""
    received = gateway.tables.catalog_sync
    if isinstance(message, fleet.CatalogPushed):
        newer = catalog_sync.receive_whole(received, now, message.version, message.body)
    else:
        outcome = catalog_sync.receive_change(received, now, message)
        if outcome.is_err():
            events.CATALOG_CHANGE_UNUSABLE.log(
                logger, version=message.version, reason=outcome.err()
            )
        newer = outcome.is_ok() and outcome.ok()
    if newer and gateway.catalog_timer is None:
        gateway.catalog_timer = asyncio.get_running_loop().call_later(
            max(0.0, gateway.next_catalog_s - now), _apply_catalog, gateway
        )


def _apply_catalog(gateway: state.Gateway) -> None:
    """Put the newest catalog received in force; rest some time before the next one."""
    gateway.catalog_timer = None
    received = gateway.tables.catalog_sync
    started_s = clocks.boot_time()
    decoded = gateway.dialect.read_catalog(received.body)
    now = clocks.boot_time()
    gateway.next_catalog_s = now + CATALOG_REST_FACTOR * (now - started_s)
    if decoded.is_err():
        events.CATALOG_REFUSED.log(
            logger, version=received.version, reason=str(decoded.err())
        )
        catalog_sync.give_up(received)
        return
    if sync.apply_catalog(gateway.tables, decoded.ok()):
        events.CATALOG_IN_FORCE.log(
            logger,
            version=received.version,
            bytes=len(received.body),
            behind_s=round(catalog_sync.behind_s(received, now), 3),
        )
        current_s = catalog_sync.put_in_force(received, now, received.version)
        sync.confirm_catalog(gateway.tables, current_s)
        _become_ready(gateway, now)


def _apply_upstream_statuses(
    gateway: state.Gateway, now: float, message: fleet.UpstreamStatusUpdate
) -> None:
    changed = sync.merge_upstream_statuses(gateway.tables, now, message)
    for status, restarted in changed:
        events.UPSTREAM_CHANGED.log(
            logger,
            upstream=status.upstream,
            service=status.service,
            address=status.address,
            state=status.state.value,
            age_s=round(status.age_s, 3),
            cold_s=round(status.cold_s, 3),
        )
        if restarted or status.state is not fleet.UpstreamState.READY:
            exchange.close_idle_connections(gateway.pool, status.address)


def _become_ready(gateway: state.Gateway, now: float) -> None:
    if gateway.state is not fleet.HostState.STARTING:
        return
    if sync.catalog_age_s(gateway.tables, now) is None:
        return
    gateway.state = fleet.HostState.READY
    events.HOST_READY.log(logger, version=gateway.tables.catalog.version)
    _send_heartbeats(gateway)


def _heartbeat(gateway: state.Gateway) -> None:
    if gateway.closing:
        return
    _send_heartbeats(gateway)
    asyncio.get_running_loop().call_later(
        sync.HEARTBEAT_INTERVAL_S, _heartbeat, gateway
    )


def _send_heartbeats(gateway: state.Gateway) -> None:
    now = clocks.boot_time()
    loads = batching.loads(gateway, now)
    accepts = acceptance.accepts(gateway.acceptance, now)
    for link, message in sync.heartbeats(
        gateway.tables, now, gateway.state, loads, accepts=accepts
    ):
        state.send(gateway, link, message)


def _expire(gateway: state.Gateway) -> None:
    if gateway.closing:
        return
    exchange.close_expired(gateway.pool)
    exchange.close_expired(gateway.host_pool)
    now = clocks.boot_time()
    reachability.check_later(gateway, now)
    batching.pump(gateway)
    batching.report(gateway, now)
    strain.record_timer(gateway.strain, now, EXPIRE_INTERVAL_S)
    _log_strain(gateway, now)
    asyncio.get_running_loop().call_later(EXPIRE_INTERVAL_S, _expire, gateway)


def _log_strain(gateway: state.Gateway, now: float) -> None:
    found = strain.report(gateway.strain, now)
    if found is None:
        return
    events.HOST_STRAINED.log(
        logger,
        standstill_s=round(found.standstill_s, 3),
        round_trip_s=_finite(found.round_trip_s),
        callers=len(gateway.clients.connections),
        held_bytes=gateway.clients.held_bytes,
        upstream_connections=gateway.pool.open + gateway.host_pool.open,
        in_flight=gateway.in_flight,
    )


def _stop_naming(gateway: state.Gateway) -> None:
    """Let callers be sent elsewhere while this host accepts no connection."""
    now = clocks.boot_time()
    was_named = acceptance.accepts(gateway.acceptance, now)
    acceptance.record_failure(gateway.acceptance, now)
    if was_named:
        _send_heartbeats(gateway)


def _finite(seconds: float) -> float | None:
    return None if math.isinf(seconds) else round(seconds, 3)


def _drain(gateway: state.Gateway) -> None:
    """Leave the directory, keep serving until callers have left, then exit."""
    if state.is_draining(gateway):
        return
    gateway.state = fleet.HostState.DRAINING
    grace_s = gateway.settings.bounds.grace_s
    gateway.drain = drains.start(clocks.boot_time(), grace_s)
    events.DRAIN_REQUESTED.log(logger, in_flight=gateway.in_flight)
    _send_heartbeats(gateway)
    state.run_in_background(gateway, _exit_when_drained(gateway, gateway.drain))


def _refuse_waiting(gateway: state.Gateway) -> None:
    """End the stages of all requests, which are then refused as not run."""
    now = asyncio.get_running_loop().time()
    for limit in gateway.stage_limits:
        if not limit.expired():
            limit.reschedule(now)
    gateway.stage_limits.clear()


async def _exit_when_drained(gateway: state.Gateway, drain: drains.Drain) -> None:
    listened_until_s = None
    while True:
        await asyncio.sleep(DRAIN_POLL_S)
        now = clocks.boot_time()
        idle = gateway.in_flight == 0 and not batching.busy(gateway)
        if listened_until_s is None and drains.may_stop_listening(
            drain, now, idle=idle
        ):
            listened_until_s = now
            await gateway.stop_listening()
        if drains.refuses_waiting(drain, now):
            _refuse_waiting(gateway)
        if drains.may_exit(drain, now, listened_until_s, idle=idle):
            break
    if gateway.in_flight:
        events.REQUESTS_CUT_OFF.log(logger, in_flight=gateway.in_flight)
    if not gateway.stopped.done():
        gateway.stopped.set_result(None)
