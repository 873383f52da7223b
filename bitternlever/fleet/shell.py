"""I/O shell of a fleet's control process: links, disk, HTTP and signals."""

import asyncio
import dataclasses
import functools
import logging
import os
import signal
import uuid
from collections.abc import Callable
from typing import Any

import reactivex.subject
from aiohttp import web

from bitternlever.conf import fleet as fleet_settings
from bitternlever.core import clocks, reloading, runner, signals
from bitternlever.fleet import measures, quarantine, tables as fleet_tables, tick
from bitternlever.messages import consensus, fleet, frames
from bitternlever.storage import quarantine_file, store, writer as storage_writer
from bitternlever.telemetry import events, exposition, logs, metrics
from bitternlever.transport import client_bounds, links as transport_links, listeners

CLUSTER_KEY = "fleet"
"""Only detects damaged frames; the platform's network keeps outsiders away."""

ANSWER_TIMEOUT_S = 2.5
"""A commit takes milliseconds; an election during the call takes about a second."""

REOPEN_DELAY_S = 0.5
"""Retry interval after a full or failing disk."""

IDLE_TIMEOUT_S = 75.0
"""Longer than any idle time that a catalog sets, as on entry hosts."""

SAVE_RETRY_S = 2.0
"""Retry interval of the file with the quarantined prompt parts."""

EXIT_OK = 0
EXIT_BROKEN_INVARIANT = 70
EXIT_STORE_REFUSED = 74

logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class Shell:
    """I/O objects and pending calls around the core of one control process.

    ``saving`` writes the quarantined prompt parts, ``save_again`` is set if they have
    changed since it began.
    """

    settings: fleet_settings.FleetConfiguration
    tables: fleet_tables.FleetTables
    writer: storage_writer.Writer | None
    stopped: asyncio.Future
    links: transport_links.Links | None = None
    running: runner.Runner | None = None
    pending_calls: dict[int, asyncio.Future] = dataclasses.field(default_factory=dict)
    next_call_id: int = 0
    led_term: int | None = None
    version: int | None = None
    evacuation_revision: int = 0
    saving: asyncio.Task | None = None
    save_again: bool = False


ApiFactory = Callable[[Shell], Callable[[web.BaseRequest], Any]]


async def run(
    settings: fleet_settings.FleetConfiguration,
    api: ApiFactory,
    read_settings: reloading.ReadSettings,
) -> int:
    """Run a control process until a signal ends it; return its exit code.

    ``api`` creates the HTTP handler; ``read_settings`` reads the settings again.
    """
    loop = asyncio.get_running_loop()
    tables = _open(settings)
    if tables is None:
        return EXIT_STORE_REFUSED
    shell = Shell(
        settings=settings,
        tables=tables,
        writer=None,
        stopped=loop.create_future(),
    )
    source = reactivex.subject.Subject()
    _start_writer(shell, source.on_next)
    shell.links = transport_links.listen(
        node=settings.link,
        link=settings.link,
        incarnation=tables.settings.incarnation,
        cluster_key=CLUSTER_KEY,
        clock=clocks.boot_time,
        on_message=source.on_next,
        bind_address=settings.link_bind_address,
    )
    shell.running = runner.start(
        tick=functools.partial(_tick, shell),
        deliver=functools.partial(_deliver, shell),
        flush=functools.partial(transport_links.flush, shell.links),
        sources=[source],
        clock=clocks.boot_time,
    )
    handlers = signals.listen(loop)
    signals.handle(handlers, signal.SIGTERM, functools.partial(_request_stop, shell))
    clients = client_bounds.create(settings.descriptors, settings.memory_bytes)
    listeners.watch_accept_failures(loop)
    sources = [
        *measures.sources(shell, logs.bounded_handler()),
        metrics.clients_source(clients),
    ]
    exposed = exposition.Exposition(sources)
    servers = [
        await _serve(settings.control_address, api(shell), clients),
        await _serve(settings.metrics_address, exposition.handler(exposed), clients),
    ]
    reloading.watch_settings(
        handlers,
        read_settings,
        settings,
        lambda changed: setattr(shell.tables, "seed_links", changed.seeds),
    )
    events.PROGRAM_STARTED.log(logger, program="control", host=settings.host)
    await asyncio.wait(
        [shell.stopped, shell.running.failed],
        return_when=asyncio.FIRST_COMPLETED,
    )
    exit_code = _exit_code(shell.running)
    runner.stop(shell.running)
    for server in servers:
        await server.cleanup()
    storage_writer.stop(shell.writer)
    transport_links.close(shell.links)
    events.PROGRAM_ENDED.log(logger, program="control", exit_code=exit_code)
    return exit_code


async def _serve(
    address: str, handler: Any, clients: client_bounds.Clients
) -> web.BaseRunner:
    server = web.Server(handler, access_log=None, keepalive_timeout=IDLE_TIMEOUT_S)
    runner = web.ServerRunner(server, shutdown_timeout=ANSWER_TIMEOUT_S)
    await runner.setup()
    host, _, port = address.rpartition(":")
    await listeners.listen(runner, host, int(port), clients)
    return runner


def submit_upstream_status(shell: Shell, status: fleet.UpstreamStatus) -> None:
    """Submit an upstream's status; the next tick sends a change to all hosts."""
    runner.receive(shell.running, fleet_tables.UpstreamStatusReceived(status))


async def put_catalog(shell: Shell, version: int, body: bytes) -> Any:
    """Store a catalog; return Completed, NotLeader or None after a timeout."""
    return await _call_core(
        shell,
        lambda call_id: fleet_tables.PutRequested(call_id, version, body),
    )


async def order_zone(shell: Shell, zone: str, *, evacuated: bool) -> Any:
    """Evacuate a zone or take it back; return Completed, NotLeader or None."""
    return await _call_core(
        shell,
        lambda call_id: fleet_tables.ZoneOrderRequested(call_id, zone, evacuated),
    )


async def read_catalog(shell: Shell) -> Any:
    """Read the newest catalog; return Completed, NotLeader or None."""
    return await _call_core(shell, fleet_tables.ReadRequested)


async def _call_core(shell: Shell, request: Callable[[int], Any]) -> Any:
    shell.next_call_id += 1
    call_id = shell.next_call_id
    future = asyncio.get_running_loop().create_future()
    shell.pending_calls[call_id] = future
    runner.receive(shell.running, request(call_id))
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            return await future
    except TimeoutError:
        return None
    finally:
        shell.pending_calls.pop(call_id, None)


def _open(
    settings: fleet_settings.FleetConfiguration,
) -> fleet_tables.FleetTables | None:
    loaded = store.load(settings.data_folder)
    if loaded.is_err():
        events.STORE_REFUSED.log(logger, reason=str(loaded.err()))
        return None
    restored = loaded.ok()
    tables = fleet_tables.create(
        fleet_tables.FleetSettings(
            link=settings.link,
            zone=settings.zone,
            disk=restored.disk,
            incarnation=uuid.uuid4().hex,
            seed_links=settings.seeds,
            may_bootstrap=settings.may_bootstrap,
            tolerated_losses=settings.tolerated_losses,
        ),
        restored,
        seed=int.from_bytes(os.urandom(8), "big"),
    )
    _restore_quarantine(settings, tables)
    return tables


def _restore_quarantine(
    settings: fleet_settings.FleetConfiguration, tables: fleet_tables.FleetTables
) -> None:
    stored = quarantine_file.load(settings.data_folder)
    if stored.is_err():
        events.QUARANTINE_FILE_FAILED.log(logger, reason=stored.err())
        return
    for part in stored.ok():
        quarantine.merge(
            tables.refused_parts, clocks.boot_time(), part, authoritative=False
        )


def _start_writer(shell: Shell, on_event: Callable[[Any], None]) -> None:
    loop = asyncio.get_running_loop()

    def on_disk_event(message: Any) -> None:
        if isinstance(message, consensus.DiskFailed):
            events.DISK_FAILED.log(logger, group=message.group, reason=message.reason)
            loop.call_later(REOPEN_DELAY_S, _reopen, shell, on_event)
        on_event(message)

    shell.writer = storage_writer.start(
        shell.settings.data_folder,
        on_event=functools.partial(loop.call_soon_threadsafe, on_disk_event),
    )


def _reopen(shell: Shell, on_event: Callable[[Any], None]) -> None:
    """Reload the state from disk as a restart would, but keep the in-memory state."""
    if shell.tables.replica.disk.failed is None:
        return
    storage_writer.stop(shell.writer)
    tables = _open(shell.settings)
    if tables is None:
        loop = asyncio.get_running_loop()
        loop.call_later(REOPEN_DELAY_S, _reopen, shell, on_event)
        return
    previous = shell.tables
    tables.upstreams = previous.upstreams
    tables.hosts = previous.hosts
    tables.rate_limits = previous.rate_limits
    tables.stream_origins = previous.stream_origins
    tables.engine_totals = previous.engine_totals
    tables.refused_parts = previous.refused_parts
    tables.crash_evidence = previous.crash_evidence
    tables.changed_parts = previous.changed_parts
    tables.subscribers = previous.subscribers
    tables.join_candidates = previous.join_candidates
    tables.stop_at_s = previous.stop_at_s
    tables.seed_links = previous.seed_links
    shell.tables = tables
    _start_writer(shell, on_event)


def _tick(shell: Shell, now: float, inbox: list[Any]) -> Any:
    outbox = tick.tick(shell.tables, now, inbox)
    _log_changes(shell)
    return outbox


def _log_changes(shell: Shell) -> None:
    """Log changes of leadership, of what is committed and of prompt parts."""
    replica = shell.tables.replica
    term = replica.term if fleet_tables.is_leader(shell.tables) else None
    if term != shell.led_term:
        event = events.LEADERSHIP_LOST if term is None else events.LEADERSHIP_GAINED
        event.log(logger, term=replica.term, index=replica.commit_index)
        shell.led_term = term
    version = shell.tables.catalog.version
    if version != shell.version:
        shell.version = version
        events.CATALOG_COMMITTED.log(
            logger, version=version, index=replica.applied_index
        )
    catalog = shell.tables.catalog
    if catalog.evacuation_revision != shell.evacuation_revision:
        shell.evacuation_revision = catalog.evacuation_revision
        events.EVACUATION_COMMITTED.log(
            logger,
            revision=catalog.evacuation_revision,
            zones=sorted(catalog.evacuated_zones),
            index=replica.applied_index,
        )
    if shell.tables.changed_parts:
        _log_parts(shell.tables)
        _save_quarantine(shell)


def _log_parts(tables: fleet_tables.FleetTables) -> None:
    for part in sorted(tables.changed_parts):
        record = tables.refused_parts.get(part)
        if record is None or not record.quarantined:
            events.PART_ALLOWED.log(logger, part=part)
            continue
        suspect = tables.crash_evidence.suspects.get(part)
        crashes = [] if suspect is None else list(suspect.crashes)
        events.PART_REFUSED.log(logger, part=part, crashes=crashes)
    tables.changed_parts.clear()


def _save_quarantine(shell: Shell) -> None:
    """Write the quarantined parts to disk in the background."""
    shell.save_again = True
    if shell.saving is None or shell.saving.done():
        shell.saving = asyncio.ensure_future(_save_until_current(shell))


async def _save_until_current(shell: Shell) -> None:
    while shell.save_again:
        shell.save_again = False
        parts = quarantine.current(shell.tables.refused_parts, clocks.boot_time())
        folder = shell.settings.data_folder
        saved = await asyncio.to_thread(quarantine_file.save, folder, parts)
        if saved.is_err():
            events.QUARANTINE_FILE_FAILED.log(logger, reason=saved.err())
            shell.save_again = True
            await asyncio.sleep(SAVE_RETRY_S)


def _deliver(shell: Shell, message: Any) -> None:
    match message:
        case frames.SendToPeer():
            transport_links.send(shell.links, message)
        case consensus.WriteLog() | consensus.WriteSnapshot():
            storage_writer.submit(shell.writer, message)
        case fleet_tables.Completed() | fleet_tables.NotLeader():
            future = shell.pending_calls.get(message.call_id)
            if future is not None and not future.done():
                future.set_result(message)
        case consensus.Stopped():
            _finish(shell)


def _request_stop(shell: Shell) -> None:
    runner.receive(shell.running, consensus.StopRequested())


def _finish(shell: Shell) -> None:
    if not shell.stopped.done():
        shell.stopped.set_result(None)


def _exit_code(running: runner.Runner) -> int:
    if not running.failed.done():
        return EXIT_OK
    error = running.failed.exception()
    events.INVARIANT_BROKEN.log(logger, error=repr(error))
    logger.error("traceback", exc_info=error)
    return EXIT_BROKEN_INVARIANT
