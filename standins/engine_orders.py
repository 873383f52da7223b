"""Orders to an engine: fencing, loading from the weight store, role changes."""

import asyncio
import dataclasses

import aiohttp

from bitternlever.messages import upstream
from standins import settings as standin_settings

ROLE_CHANGE_S = 0.2
LOAD_WITHOUT_STORE_S = 0.2
LOAD_TIMEOUT_S = 60.0
RETRY_S = 0.5
VERSION_SEPARATOR = "@"


@dataclasses.dataclass(slots=True)
class Orders:
    """The loaded models and adapters of an engine, and the latest order."""

    settings: standin_settings.Settings
    models: set[str]
    adapters: set[str]
    role: str = "mixed"
    fencing: int = 0
    latest: upstream.EngineOrder | None = None
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


def create(settings: standin_settings.Settings) -> Orders:
    """Return the state of an engine that has loaded the models in its settings."""
    return Orders(
        settings=settings,
        models=set(settings.models),
        adapters=set(settings.adapters),
    )


def accept(orders: Orders, order: upstream.EngineOrder) -> bool:
    """Accept an order; return False if fencing is checked and its number is old."""
    if orders.settings.checks_fencing and order.fencing < orders.fencing:
        return False
    orders.fencing = max(orders.fencing, order.fencing)
    orders.latest = order
    orders.changed.set()
    return True


def is_loaded(orders: Orders, model: str | None) -> bool:
    """Return whether a model is loaded; without a version, in any version."""
    if model is None or model in orders.models:
        return True
    return any(
        loaded.startswith(f"{model}{VERSION_SEPARATOR}") for loaded in orders.models
    )


async def run(orders: Orders) -> None:
    """Carry out the latest order, one load at a time."""
    async with aiohttp.ClientSession() as session:
        while True:
            await orders.changed.wait()
            orders.changed.clear()
            await _carry_out(orders, session)


async def _carry_out(orders: Orders, session: aiohttp.ClientSession) -> None:
    order = orders.latest
    if order is None:
        return
    orders.models &= set(order.models)
    orders.adapters &= set(order.adapters)
    if order.role != orders.role:
        await asyncio.sleep(ROLE_CHANGE_S)
        orders.role = order.role
    for loaded, desired in (
        (orders.models, order.models),
        (orders.adapters, order.adapters),
    ):
        for name in desired:
            if orders.latest is not order:
                return
            if name not in loaded:
                await _load(orders, session, name)
                loaded.add(name)


async def _load(orders: Orders, session: aiohttp.ClientSession, name: str) -> None:
    if not orders.settings.weight_store:
        await asyncio.sleep(LOAD_WITHOUT_STORE_S)
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
