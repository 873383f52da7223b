"""The shell of the control program: links, disk and signals around the core."""

import asyncio
import dataclasses
import functools
import logging
import os
import signal
import uuid
from typing import Any

import reactivex.subject

from bitternlever.conf import configuration
from bitternlever.control import observer, tables as control_tables, tick
from bitternlever.core import clocks, runner, signals
from bitternlever.messages import consensus, frames
from bitternlever.storage import store, writer
from bitternlever.telemetry import events, metrics
from bitternlever.transport import links

CONTROL_PREFIX = "control-"
EXIT_OK = 0
OBSERVE_INTERVAL_S = 0.5
EXIT_BROKEN_INVARIANT = 70
EXIT_STORE_REFUSED = 74

logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class Shell:
    """The I/O components around the core of one control process."""

    tables: control_tables.ControlTables
    links: links.Links
    writer: writer.Writer
    observer: observer.Observer
    stopped: asyncio.Future
    signal_count: int = 0


async def run(settings: configuration.ControlConfiguration) -> int:
    """Run a control process until a signal ends it; return its exit code.

    The process first hands over the groups that it leads; a second signal ends it
    immediately.
    """
    loaded = store.load(settings.data_folder)
    if loaded.is_err():
        events.STORE_REFUSED.log(logger, reason=str(loaded.err()))
        return EXIT_STORE_REFUSED
    restored = loaded.ok()
    loop = asyncio.get_running_loop()
    peer_events = reactivex.subject.Subject()
    disk_events = reactivex.subject.Subject()
    tables = control_tables.create(
        _core_settings(settings, restored.disk),
        restored,
        seed=int.from_bytes(os.urandom(8), "big"),
    )
    shell = Shell(
        tables=tables,
        links=links.listen(
            node=CONTROL_PREFIX + settings.host,
            link=settings.listen,
            incarnation=uuid.uuid4().hex,
            cluster_key=settings.cluster_key,
            clock=clocks.boot_time,
            on_message=peer_events.on_next,
        ),
        writer=writer.start(
            settings.data_folder,
            on_event=functools.partial(
                loop.call_soon_threadsafe,
                functools.partial(_handle_disk_event, disk_events.on_next),
            ),
        ),
        observer=observer.Observer(),
        stopped=loop.create_future(),
    )
    signal_events = reactivex.subject.Subject()
    running = runner.start(
        tick=functools.partial(tick.tick, tables),
        deliver=functools.partial(_deliver, shell),
        flush=functools.partial(links.flush, shell.links),
        sources=[peer_events, disk_events, signal_events],
    )
    stop_metrics = metrics.start(
        settings,
        "bitternlever-control",
        [metrics.links_source(shell.links)],
    )
    handlers = signals.listen(loop)
    stop = functools.partial(_handle_signal, shell, signal_events.on_next)
    for number in (signal.SIGTERM, signal.SIGINT):
        signals.handle(handlers, number, stop)
    events.PROGRAM_STARTED.log(logger, program="control", host=settings.host)
    _observe(shell)
    await asyncio.wait(
        [shell.stopped, running.failed],
        return_when=asyncio.FIRST_COMPLETED,
    )
    exit_code = _exit_code(running)
    runner.stop(running)
    writer.stop(shell.writer)
    links.close(shell.links)
    if stop_metrics is not None:
        stop_metrics()
    events.PROGRAM_ENDED.log(logger, program="control", exit_code=exit_code)
    return exit_code


def _observe(shell: Shell) -> None:
    """Log changes in this process, now and at each interval."""
    observer.observe(shell.observer, shell.tables)
    loop = asyncio.get_running_loop()
    loop.call_later(OBSERVE_INTERVAL_S, _observe, shell)


def _exit_code(running: runner.Runner) -> int:
    if not running.failed.done():
        return EXIT_OK
    events.INVARIANT_BROKEN.log(logger, error=repr(running.failed.exception()))
    logger.error("traceback", exc_info=running.failed.exception())
    return EXIT_BROKEN_INVARIANT


def _handle_signal(shell: Shell, on_event: Any) -> None:
    """Hand over at the first signal; end immediately at the second."""
    shell.signal_count += 1
    if shell.signal_count > 1:
        _end(shell)
        return
    on_event(consensus.StopRequested())


def _end(shell: Shell) -> None:
    if not shell.stopped.done():
        shell.stopped.set_result(None)


def _handle_disk_event(on_event: Any, message: Any) -> None:
    if isinstance(message, consensus.DiskFailed):
        events.DISK_FAILED.log(logger, group=message.group, reason=message.reason)
    on_event(message)


def _deliver(shell: Shell, message: Any) -> None:
    match message:
        case frames.SendToPeer():
            links.send(shell.links, message)
        case consensus.WriteLog() | consensus.WriteSnapshot():
            writer.submit(shell.writer, message)
        case consensus.Stopped():
            _end(shell)


def _core_settings(
    settings: configuration.ControlConfiguration,
    disk: str,
) -> control_tables.ControlSettings:
    return control_tables.ControlSettings(
        node=CONTROL_PREFIX + settings.host,
        link=settings.listen,
        zone=settings.zone,
        disk=disk,
        nodes={CONTROL_PREFIX + host: link for host, link in settings.nodes.items()},
        zones={CONTROL_PREFIX + host: zone for host, zone in settings.zones.items()},
        journal_groups=settings.journal_groups,
        host_lease_s=settings.host_lease_s,
        election_timeout_s=settings.election_timeout_s,
        heartbeat_s=settings.heartbeat_s,
        answer_retention_s=settings.answer_retention_s,
        maximum_journal_bytes=settings.maximum_journal_bytes,
    )
