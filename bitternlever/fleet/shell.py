"""The shell of a fleet's control process: links, disk, HTTP and signals."""

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
from bitternlever.core import clocks, reloading, runner
from bitternlever.fleet import measures, tables as fleet_tables, tick
from bitternlever.messages import consensus, fleet, frames
from bitternlever.storage import store, writer as storage_writer
from bitternlever.telemetry import events, exposition, logs
from bitternlever.transport import links as transport_links

CLUSTER_KEY = "fleet"
"""Frames are checked against damage; the platform's network keeps others out."""

ANSWER_WITHIN_S = 2.5
"""A commit takes milliseconds; an election in between about a second."""

REOPEN_DELAY_S = 0.5
"""A full or failing disk is tried again at this interval."""

EXIT_OK = 0
EXIT_BROKEN_INVARIANT = 70
EXIT_STORE_REFUSED = 74

logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class Shell:
    """Everything round the core of one control process."""

    settings: fleet_settings.FleetConfiguration
    tables: fleet_tables.FleetTables
    writer: storage_writer.Writer | None
    stopped: asyncio.Future
    links: transport_links.Links | None = None
    running: runner.Runner | None = None
    waiting: dict[int, asyncio.Future] = dataclasses.field(default_factory=dict)
    next_token: int = 0
    led_term: int | None = None
    version: int | None = None


Api = Callable[[Shell], Callable[[web.BaseRequest], Any]]


async def run(
    settings: fleet_settings.FleetConfiguration,
    api: Api,
    read_settings: reloading.Read,
) -> int:
    """Run a control process until a signal ends it; return its exit code.

    ``api`` makes the handler of HTTP requests; ``read_settings`` reads them anew.
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
        incarnation=tables.settings.run,
        cluster_key=CLUSTER_KEY,
        clock=clocks.boot_time,
        on_message=source.on_next,
        bound=settings.link_bound,
    )
    shell.running = runner.start(
        tick=functools.partial(_tick, shell),
        deliver=functools.partial(_deliver, shell),
        flush=functools.partial(transport_links.flush, shell.links),
        sources=[source],
        clock=clocks.boot_time,
    )
    shown = exposition.Exposition(measures.sources(shell, logs.bounded_handler()))
    servers = [
        await _serve(settings.control_address, api(shell)),
        await _serve(settings.metrics_address, exposition.handler(shown)),
    ]
    loop.add_signal_handler(signal.SIGTERM, _signalled, shell)
    reloading.watch(
        read_settings,
        settings,
        lambda changed: setattr(shell.tables, "seeds", changed.seeds),
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


async def _serve(address: str, handler: Any) -> web.ServerRunner:
    server = web.ServerRunner(web.Server(handler, access_log=None))
    await server.setup()
    host, _, port = address.rpartition(":")
    await web.TCPSite(server, host, int(port)).start()
    return server


def tell(shell: Shell, word: fleet.UpstreamWord) -> None:
    """Take an upstream's word; it is on its way to all hosts after this tick."""
    runner.receive(shell.running, fleet_tables.UpstreamHeard(word))


async def put(shell: Shell, version: int, body: bytes) -> Any:
    """Store a catalog; return ``Done``, ``Elsewhere`` or None without an answer."""
    return await _ask(
        shell,
        lambda token: fleet_tables.PutRequested(token, version, body),
    )


async def read(shell: Shell) -> Any:
    """Read the newest catalog; return ``Done``, ``Elsewhere`` or None."""
    return await _ask(shell, fleet_tables.ReadRequested)


async def _ask(shell: Shell, request: Callable[[int], Any]) -> Any:
    shell.next_token += 1
    token = shell.next_token
    future = asyncio.get_running_loop().create_future()
    shell.waiting[token] = future
    runner.receive(shell.running, request(token))
    try:
        async with asyncio.timeout(ANSWER_WITHIN_S):
            return await future
    except TimeoutError:
        return None
    finally:
        shell.waiting.pop(token, None)


def _open(
    settings: fleet_settings.FleetConfiguration,
) -> fleet_tables.FleetTables | None:
    loaded = store.load(settings.data_folder)
    if loaded.is_err():
        events.STORE_REFUSED.log(logger, reason=str(loaded.err()))
        return None
    restored = loaded.ok()
    return fleet_tables.create(
        fleet_tables.FleetSettings(
            link=settings.link,
            zone=settings.zone,
            disk=restored.disk,
            run=uuid.uuid4().hex,
            seeds=settings.seeds,
            may_found=settings.may_found,
            tolerated_losses=settings.tolerated_losses,
        ),
        restored,
        seed=int.from_bytes(os.urandom(8), "big"),
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
    """Begin again from the disk, as a restart would, but keep the soft state."""
    if shell.tables.replica.disk.failed is None:
        return
    storage_writer.stop(shell.writer)
    tables = _open(shell.settings)
    if tables is None:
        loop = asyncio.get_running_loop()
        loop.call_later(REOPEN_DELAY_S, _reopen, shell, on_event)
        return
    former = shell.tables
    tables.upstreams = former.upstreams
    tables.hosts = former.hosts
    tables.subscribers = former.subscribers
    tables.candidates = former.candidates
    tables.stop_at_s = former.stop_at_s
    tables.seeds = former.seeds
    shell.tables = tables
    _start_writer(shell, on_event)


def _tick(shell: Shell, now: float, inbox: list[Any]) -> Any:
    outbox = tick.tick(shell.tables, now, inbox)
    _observe(shell)
    return outbox


def _observe(shell: Shell) -> None:
    """Log what changed in what this process believes."""
    own = shell.tables.replica
    term = own.term if fleet_tables.leads(shell.tables) else None
    if term != shell.led_term:
        event = events.OFFICE_LOST if term is None else events.OFFICE_TAKEN
        event.log(logger, term=own.term, index=own.commit_index)
        shell.led_term = term
    version = shell.tables.held.version
    if version != shell.version:
        shell.version = version
        events.CATALOG_COMMITTED.log(logger, version=version, index=own.applied_index)


def _deliver(shell: Shell, message: Any) -> None:
    match message:
        case frames.SendPeer():
            transport_links.send(shell.links, message)
        case consensus.WriteLog() | consensus.WriteSnapshot():
            storage_writer.submit(shell.writer, message)
        case fleet_tables.Done() | fleet_tables.Elsewhere():
            future = shell.waiting.get(message.token)
            if future is not None and not future.done():
                future.set_result(message)
        case consensus.Stopped():
            _end(shell)


def _signalled(shell: Shell) -> None:
    runner.receive(shell.running, consensus.StopRequested())


def _end(shell: Shell) -> None:
    if not shell.stopped.done():
        shell.stopped.set_result(None)


def _exit_code(running: runner.Runner) -> int:
    if not running.failed.done():
        return EXIT_OK
    error = running.failed.exception()
    events.INVARIANT_BROKEN.log(logger, error=repr(error))
    logger.error("traceback", exc_info=error)
    return EXIT_BROKEN_INVARIANT
