"""Runtime state of one entry host, shared by the modules that perform I/O."""

import asyncio
import collections
import dataclasses
import math
from collections.abc import Awaitable, Callable
from typing import Any

from bitternlever.conf import fleet as fleet_settings
from bitternlever.gateway import (
    acceptance as gateway_acceptance,
    budget,
    dialect as gateway_dialect,
    drains,
    measures as gateway_measures,
    strain as gateway_strain,
    tables as gateway_tables,
)
from bitternlever.messages import fleet, frames
from bitternlever.transport import client_bounds, exchange, links as transport_links


@dataclasses.dataclass(slots=True)
class Batching:
    """Reply queues of work sent to batching hosts, and answers to work done here.

    ``collected_handles`` are results that wait to be freed at limited upstreams, by
    address. ``timer`` runs the queues when an upstream will be about to be idle.
    """

    waiting: dict[str, asyncio.Queue] = dataclasses.field(default_factory=dict)
    answered: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict,
    )
    pump_scheduled: bool = False
    timer: asyncio.TimerHandle | None = None
    collected_handles: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    next_report_s: float = -math.inf


@dataclasses.dataclass(slots=True)
class Gateway:
    """Settings, tables, connections and tasks of one entry host.

    ``deliver`` handles a message that this host sends to itself, ``announce`` sends
    heartbeats at once. ``clients`` are the connections to its listeners.
    ``host_pool`` has the connections to other hosts. ``stop_listening`` refuses new
    connections of callers. ``started_s`` and ``drain`` are on the boot clock.
    ``control_calls`` are the calls to control that wait for a reply, by number.
    ``stage_limits`` end the stages of requests that wait for them.
    """

    settings: fleet_settings.FleetConfiguration
    tables: gateway_tables.GatewayTables
    dialect: gateway_dialect.Dialect
    pool: exchange.Pool
    stopped: asyncio.Future
    deliver: Callable[["Gateway", str, Any], None]
    started_s: float
    host_pool: exchange.Pool
    announce: Callable[["Gateway"], None]
    batching: Batching = dataclasses.field(default_factory=Batching)
    links: transport_links.Links | None = None
    state: fleet.HostState = fleet.HostState.STARTING
    in_flight: int = 0
    arriving_bytes: int = 0
    closing: bool = False
    stage_limits: set[asyncio.Timeout] = dataclasses.field(default_factory=set)
    drain: drains.Drain | None = None
    stop_listening: Callable[[], Awaitable[None]] | None = None
    flush_scheduled: bool = False
    measures: gateway_measures.Measures = dataclasses.field(
        default_factory=gateway_measures.Measures,
    )
    strain: gateway_strain.Strain = dataclasses.field(
        default_factory=gateway_strain.Strain
    )
    acceptance: gateway_acceptance.Acceptance = dataclasses.field(
        default_factory=gateway_acceptance.Acceptance
    )
    clients: client_bounds.Clients | None = None
    catalog_timer: asyncio.TimerHandle | None = None
    next_catalog_s: float = -math.inf
    budgets: dict[str, budget.Budget] = dataclasses.field(default_factory=dict)
    control_calls: dict[int, Any] = dataclasses.field(default_factory=dict)
    control_call_count: int = 0
    tasks: set[asyncio.Task] = dataclasses.field(default_factory=set)


def send(gateway: Gateway, link: str, message: Any) -> None:
    """Send a message to a process at the end of the current event loop iteration.

    A message to this host itself is delivered at once.
    """
    if link == gateway.settings.link:
        gateway.deliver(gateway, link, message)
        return
    transport_links.send(
        gateway.links, frames.SendToPeer(node=link, message=message, link=link)
    )
    if not gateway.flush_scheduled:
        gateway.flush_scheduled = True
        asyncio.get_running_loop().call_soon(_flush, gateway)


def run_in_background(gateway: Gateway, coroutine: Any) -> asyncio.Task:
    """Run a coroutine as a task that nothing awaits."""
    task = asyncio.ensure_future(coroutine)
    gateway.tasks.add(task)
    task.add_done_callback(gateway.tasks.discard)
    return task


def retry_budget(gateway: Gateway, service: str) -> budget.Budget:
    """Return this host's retry budget for a service."""
    service_budget = gateway.budgets.get(service)
    if service_budget is None:
        bounds = gateway.settings.bounds
        service_budget = budget.Budget(
            window_s=bounds.retry_window_s,
            ratio=bounds.retry_ratio,
            slack=bounds.retry_slack,
        )
        gateway.budgets[service] = service_budget
    return service_budget


def is_ready(gateway: Gateway, now: float) -> bool:
    """Return whether this host takes new callers."""
    return gateway.state is fleet.HostState.READY and gateway_acceptance.accepts(
        gateway.acceptance, now
    )


def is_draining(gateway: Gateway) -> bool:
    """Return whether this host is shutting down."""
    return gateway.state is fleet.HostState.DRAINING


def _flush(gateway: Gateway) -> None:
    gateway.flush_scheduled = False
    transport_links.flush(gateway.links)
