"""The weight store: serves weight loads one after another at a limited rate."""

import asyncio
import time

import msgspec
from aiohttp import web

MAXIMUM_QUEUED = 16
RETRY_AFTER_S = 1.0
DEFAULT_LOAD_BYTES = 500_000_000


class LoadRequest(msgspec.Struct, forbid_unknown_fields=True):
    """The body of ``POST /v1/loads``."""

    model: str
    engine: str
    weight_bytes: int = DEFAULT_LOAD_BYTES


class WeightStore:
    """The state of the store: when it is free again, and how many loads are queued."""

    __slots__ = ("bytes_per_s", "free_at_s", "loads", "queued")

    def __init__(self, bytes_per_s: int) -> None:
        self.bytes_per_s = bytes_per_s
        self.free_at_s = 0.0
        self.queued = 0
        self.loads = 0


STORE = web.AppKey("store", WeightStore)


def reserve(store: WeightStore, now: float, weight_bytes: int) -> float:
    """Reserve the store for one load and return the time of its end."""
    store.free_at_s = max(store.free_at_s, now) + weight_bytes / store.bytes_per_s
    return store.free_at_s


def create_app(bytes_per_s: int) -> web.Application:
    """Return the HTTP application of the weight store."""
    app = web.Application()
    app[STORE] = WeightStore(bytes_per_s)
    app.router.add_post("/v1/loads", _load)
    app.router.add_get("/v1/state", _state)
    return app


async def _load(request: web.Request) -> web.Response:
    store = request.app[STORE]
    try:
        body = msgspec.json.decode(await request.read(), type=LoadRequest)
    except msgspec.MsgspecError as error:
        return web.json_response({"detail": str(error)}, status=400)
    if store.queued >= MAXIMUM_QUEUED:
        headers = {"Retry-After": str(RETRY_AFTER_S)}
        return web.json_response({"detail": "busy"}, status=429, headers=headers)
    store.queued += 1
    try:
        now = time.monotonic()
        await asyncio.sleep(reserve(store, now, body.weight_bytes) - now)
    finally:
        store.queued -= 1
    store.loads += 1
    return web.json_response({"model": body.model})


async def _state(request: web.Request) -> web.Response:
    store = request.app[STORE]
    return web.json_response({"loads": store.loads, "queued": store.queued})
