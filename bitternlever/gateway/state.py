"""The state round the tables of one entry host, shared by its shell's modules."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable
from typing import Any

from bitternlever.conf import fleet as fleet_settings
from bitternlever.gateway import (
    budget,
    dialect as gateway_dialect,
    measures as gateway_measures,
    tables as gateway_tables,
)
from bitternlever.messages import fleet, frames
from bitternlever.transport import exchange, links as transport_links


@dataclasses.dataclass(slots=True)
class Batching:
    """Works that wait for other hosts, and answers to those that asked here."""

    waiting: dict[str, asyncio.Queue] = dataclasses.field(default_factory=dict)
    answered: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict,
    )
    pump_soon: bool = False


@dataclasses.dataclass(slots=True)
class Gateway:
    """Everything round the tables of one entry host.

    ``deliver`` takes a message of this host to itself; ``started_s`` is of the boot
    clock.
    """

    settings: fleet_settings.FleetConfiguration
    tables: gateway_tables.GatewayTables
    dialect: gateway_dialect.Dialect
    pool: exchange.Pool
    stopped: asyncio.Future
    deliver: Callable[["Gateway", str, Any], None]
    started_s: float
    batching: Batching = dataclasses.field(default_factory=Batching)
    links: transport_links.Links | None = None
    state: fleet.HostState = fleet.HostState.STARTING
    in_flight: int = 0
    closing: bool = False
    flush_soon: bool = False
    measures: gateway_measures.Measures = dataclasses.field(
        default_factory=gateway_measures.Measures,
    )
    budgets: dict[str, budget.Budget] = dataclasses.field(default_factory=dict)
    tasks: set[asyncio.Task] = dataclasses.field(default_factory=set)


def send(gateway: Gateway, link: str, message: Any) -> None:
    """Send a message to another process at the end of this turn of the loop."""
    if link == gateway.settings.link:
        gateway.deliver(gateway, link, message)
        return
    transport_links.send(
        gateway.links, frames.SendPeer(node=link, message=message, link=link)
    )
    if not gateway.flush_soon:
        gateway.flush_soon = True
        asyncio.get_running_loop().call_soon(_flush, gateway)


def in_background(gateway: Gateway, coroutine: Any) -> asyncio.Task:
    """Run a coroutine that nobody waits for."""
    task = asyncio.ensure_future(coroutine)
    gateway.tasks.add(task)
    task.add_done_callback(gateway.tasks.discard)
    return task


def budget_of(gateway: Gateway, service: str) -> budget.Budget:
    """Return this host's retry budget for a service."""
    held = gateway.budgets.get(service)
    if held is None:
        bounds = gateway.settings.bounds
        held = budget.Budget(
            window_s=bounds.retry_window_s,
            ratio=bounds.retry_ratio,
            slack=bounds.retry_slack,
        )
        gateway.budgets[service] = held
    return held


def is_ready(gateway: Gateway) -> bool:
    """Tell whether this host takes new callers."""
    return gateway.state is fleet.HostState.READY


def is_draining(gateway: Gateway) -> bool:
    """Tell whether this host has been told to stop."""
    return gateway.state is fleet.HostState.DRAINING


def _flush(gateway: Gateway) -> None:
    gateway.flush_soon = False
    transport_links.flush(gateway.links)
