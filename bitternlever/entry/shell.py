"""The shell of the entry program: sockets, timers and signals around the core.

The shell queues what it receives as events for the core's next tick, and delivers the
messages that the tick returns.
"""

import asyncio
import contextlib
import dataclasses
import functools
import logging
import signal
import time
import uuid
from typing import Any

import reactivex.subject

from bitternlever.conf import configuration
from bitternlever.core import clocks, runner, signals
from bitternlever.entry import observer, tables as entry_tables, tick
from bitternlever.http import exchanges, server, state
from bitternlever.messages import frames, requests, telemetry
from bitternlever.telemetry import events, metrics, traces
from bitternlever.transport import links, listeners, upstream_client

CONTROL_PREFIX = "control-"
ENTRY_PREFIX = "entry-"
EXIT_OK = 0
EXIT_BROKEN_INVARIANT = 70
LAST_FRAMES_PAUSE_S = 0.2
OBSERVE_INTERVAL_S = 0.5

logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class Shell:
    """Components that run around the core of one entry process."""

    tables: entry_tables.EntryTables
    links: links.Links
    upstreams: upstream_client.UpstreamClient
    exchanges: exchanges.Exchanges
    tracer: traces.Tracer
    ended: asyncio.Future
    observer: observer.Observer
    drain_signals: int = 0


async def run(settings: configuration.EntryConfiguration) -> int:
    """Run an entry process until it is drained; return its exit code."""
    loop = asyncio.get_running_loop()
    http_events = reactivex.subject.Subject()
    peer_events = reactivex.subject.Subject()
    upstream_events = reactivex.subject.Subject()
    tracer = _tracer(settings)
    tables = entry_tables.create(_core_settings(settings), seed=time.time_ns())
    shell = Shell(
        tables=tables,
        links=links.listen(
            node=ENTRY_PREFIX + settings.host,
            link=settings.listen,
            incarnation=tables.settings.incarnation,
            cluster_key=settings.cluster_key,
            clock=clocks.boot_time,
            on_message=peer_events.on_next,
        ),
        upstreams=upstream_client.create(
            clock=clocks.boot_time,
            on_event=upstream_events.on_next,
            tracer=tracer,
        ),
        exchanges=exchanges.Exchanges(on_event=http_events.on_next),
        tracer=tracer,
        ended=loop.create_future(),
        observer=observer.Observer(),
    )
    running = runner.start(
        tick=functools.partial(tick.tick, tables),
        deliver=functools.partial(_deliver, shell),
        flush=functools.partial(links.flush, shell.links),
        sources=[http_events, peer_events, upstream_events],
    )
    handlers = signals.listen(loop)
    drain = functools.partial(_request_drain, shell, http_events.on_next)
    for number in (signal.SIGTERM, signal.SIGINT):
        signals.handle(handlers, number, drain)
    listener = await server.start(_http_state(settings, shell, http_events.on_next))
    stop_metrics = metrics.start(settings, "bitternlever-entry", _metric_sources(shell))
    events.PROGRAM_STARTED.log(logger, program="entry", host=settings.host)
    _observe(shell)
    exit_code = await _wait(shell, running)
    await _close(shell, running, listener, stop_metrics)
    events.PROGRAM_ENDED.log(logger, program="entry", exit_code=exit_code)
    return exit_code


def _observe(shell: Shell) -> None:
    """Log changes on this host, now and every OBSERVE_INTERVAL_S."""
    observer.observe(shell.observer, shell.tables, clocks.boot_time())
    loop = asyncio.get_running_loop()
    loop.call_later(OBSERVE_INTERVAL_S, _observe, shell)


async def _wait(shell: Shell, running: runner.Runner) -> int:
    await asyncio.wait(
        [shell.ended, running.failed],
        return_when=asyncio.FIRST_COMPLETED,
    )
    if running.failed.done():
        events.INVARIANT_BROKEN.log(logger, error=repr(running.failed.exception()))
        logger.error("traceback", exc_info=running.failed.exception())
        return EXIT_BROKEN_INVARIANT
    cut_off = shell.ended.result()
    if cut_off:
        events.REQUESTS_CUT_OFF.log(logger, count=len(cut_off), requests=cut_off)
    return EXIT_OK


async def _close(
    shell: Shell,
    running: runner.Runner,
    listener: listeners.Listener,
    stop_metrics: Any,
) -> None:
    await listeners.stop(listener)  # The core still answers what arrived before.
    await asyncio.sleep(LAST_FRAMES_PAUSE_S)
    runner.stop(running)
    await listener.runner.cleanup()
    await upstream_client.close(shell.upstreams)
    links.close(shell.links)
    for stop in (stop_metrics, shell.tracer.shutdown):
        if stop is not None:
            with contextlib.suppress(OSError):
                stop()


def _deliver(shell: Shell, message: Any) -> None:
    """Deliver a message of the core to a peer, an upstream or an HTTP exchange."""
    match message:
        case frames.SendToPeer():
            links.send(shell.links, message)
        case requests.CallUpstream():
            upstream_client.call(shell.upstreams, message)
        case requests.CancelUpstream():
            upstream_client.cancel(shell.upstreams, message)
        case requests.SendOrder():
            upstream_client.send_order(shell.upstreams, message)
        case telemetry.SpanFinished():
            shell.tracer.record_span(message)
        case requests.ProcessEnd():
            if not shell.ended.done():
                shell.ended.set_result(message.cut_off)
        case _:
            exchanges.deliver(shell.exchanges, message)


def _request_drain(shell: Shell, on_event: Any) -> None:
    """Handle a stop signal: the first starts a drain, the second forces its end."""
    shell.drain_signals += 1
    events.DRAIN_REQUESTED.log(logger, forced=shell.drain_signals > 1)
    on_event(requests.DrainRequested(forced=shell.drain_signals > 1))


def _core_settings(
    settings: configuration.EntryConfiguration,
) -> entry_tables.EntrySettings:
    return entry_tables.EntrySettings(
        host=settings.host,
        zone=settings.zone,
        address=settings.address,
        link=settings.listen,
        incarnation=uuid.uuid4().hex,
        control_nodes={
            CONTROL_PREFIX + host: link for host, link in settings.control_nodes.items()
        },
        seed_links=settings.seed_links,
        host_list_max_age_s=settings.host_list_max_age_s,
        maximum_requests=settings.maximum_requests,
        upstream_silence_s=settings.upstream_silence_s,
        journal_groups=settings.journal_groups,
        policy=settings.policy,
    )


def _http_state(
    settings: configuration.EntryConfiguration,
    shell: Shell,
    on_event: Any,
) -> state.State:
    """Return the state of the HTTP handlers; ``on_event`` queues their events."""
    return state.State(
        configuration=settings,
        tables=shell.tables,
        exchanges=shell.exchanges,
        tracer=shell.tracer,
        clock=clocks.boot_time,
        on_event=on_event,
    )


def _tracer(settings: configuration.EntryConfiguration) -> traces.Tracer:
    return traces.create(
        service="bitternlever-entry",
        host=settings.host,
        wall_ns=time.time_ns(),
        clock_ns=clocks.boot_ns(),
        otlp_endpoint=settings.otlp_endpoint,
        spans_file=settings.spans_file,
        trace_ratio=settings.trace_ratio,
    )


def _metric_sources(shell: Shell) -> list[metrics.Source]:
    tables = shell.tables
    return [
        metrics.Source(
            instrument="entry.events",
            description="Counted events of the entry core.",
            unit="1",
            is_counter=True,
            read=lambda: dict(tables.counters),
        ),
        metrics.Source(
            instrument="entry.rows",
            description="Rows in the tables of the entry core.",
            unit="1",
            is_counter=False,
            read=lambda: {
                "requests": len(tables.requests.requests),
                "attempts": len(tables.requests.attempts),
                "waiting": len(tables.admission.ready),
                "upstreams": len(tables.membership.upstreams),
                "hosts": len(tables.membership.hosts),
                "control_calls": len(tables.control.pending),
            },
        ),
        metrics.links_source(shell.links),
    ]
