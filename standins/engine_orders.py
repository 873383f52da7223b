"""Orders to an engine: fencing, loading from the weight store, change of role."""

import asyncio
import dataclasses

import aiohttp

from bitternlever.messages import upstream
from standins import settings as standin_settings

ROLE_CHANGE_S = 0.2
UNLOADED_STORE_S = 0.2
LOAD_TIMEOUT_S = 60.0
RETRY_S = 0.5
VERSION_MARK = "@"


@dataclasses.dataclass(slots=True)
class Orders:
    """What an engine holds, and the order that it works towards."""

    settings: standin_settings.Settings
    models: set[str]
    adapters: set[str]
    role: str = "mixed"
    fencing: int = 0
    wanted: upstream.EngineOrder | None = None
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


def create(settings: standin_settings.Settings) -> Orders:
    """Make the state of an engine that holds the models of its settings."""
    return Orders(
        settings=settings,
        models=set(settings.models),
        adapters=set(settings.adapters),
    )


def take(orders: Orders, order: upstream.EngineOrder) -> bool:
    """Take an order; an engine that checks refuses an old fencing number."""
    if orders.settings.checks_fencing and order.fencing < orders.fencing:
        return False
    orders.fencing = max(orders.fencing, order.fencing)
    orders.wanted = order
    orders.changed.set()
    return True


def holds(orders: Orders, model: str | None) -> bool:
    """Tell whether a model is loaded, in any version where none is named."""
    if model is None or model in orders.models:
        return True
    return any(held.startswith(f"{model}{VERSION_MARK}") for held in orders.models)


async def run(orders: Orders) -> None:
    """Work towards the newest order, one load at a time."""
    async with aiohttp.ClientSession() as session:
        while True:
            await orders.changed.wait()
            orders.changed.clear()
            await _fulfil(orders, session)


async def _fulfil(orders: Orders, session: aiohttp.ClientSession) -> None:
    order = orders.wanted
    if order is None:
        return
    orders.models &= set(order.models)
    orders.adapters &= set(order.adapters)
    if order.role != orders.role:
        await asyncio.sleep(ROLE_CHANGE_S)
        orders.role = order.role
    for held, wanted in (
        (orders.models, order.models),
        (orders.adapters, order.adapters),
    ):
        for name in wanted:
            if orders.wanted is not order:
                return
            if name not in held:
                await _load(orders, session, name)
                held.add(name)


async def _load(orders: Orders, session: aiohttp.ClientSession, name: str) -> None:
    if not orders.settings.weight_store:
        await asyncio.sleep(UNLOADED_STORE_S)
        return
    url = f"{orders.settings.weight_store}/v1/loads"
    body = {"model": name, "engine": orders.settings.name}
    timeout = aiohttp.ClientTimeout(total=LOAD_TIMEOUT_S)
    while True:
        try:
            async with session.post(url, json=body, timeout=timeout) as response:
                if response.status == 200:
                    return
        except (aiohttp.ClientError, TimeoutError):
            pass
        await asyncio.sleep(RETRY_S)
