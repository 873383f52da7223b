"""The HTTP routes of an entry host: requests, readiness and the directory."""

from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from bitternlever.core import clocks
from bitternlever.gateway import dialect, requests, state, sync
from bitternlever.platform import catalog, headers, stages

RESOLVE = "/api/resolve"
READY = "/api/ready"
MAXIMUM_ADDRESSES = 64

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class _Resolved(msgspec.Struct):
    """The answer of the directory; callers may cache it for ``ttl_s``."""

    addrs: list[str]
    ttl_s: float


DIALECT = dialect.Dialect(
    read_request=headers.read_request,
    forwarded_headers=headers.forwarded_headers,
    handover_headers=headers.handover_headers,
    read_answer=headers.read_answer,
    answer_headers=headers.answer_headers,
    stage_call=stages.encode_call,
    stage_answer=stages.decode_answer,
    producer_address=stages.producer_address,
    stage_free=stages.encode_free,
    read_catalog=catalog.decode,
)


def callers(gateway: state.Gateway) -> Handler:
    """Return the handler of callers' requests."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        return await requests.serve(gateway, request)

    return handle


def readiness(gateway: state.Gateway) -> Handler:
    """Return the handler that reports whether the host accepts requests."""

    async def handle(request: web.BaseRequest) -> web.Response:
        if request.path != READY:
            return web.Response(status=404)
        return web.Response(
            status=200 if state.is_ready(gateway, clocks.boot_time()) else 503
        )

    return handle


def directory(gateway: state.Gateway) -> Handler:
    """Return the handler that lists the addresses of hosts for callers."""

    async def handle(request: web.BaseRequest) -> web.Response:
        if request.path != RESOLVE:
            return web.Response(status=404)
        addresses = sync.directory(
            gateway.tables,
            request.query.get("zone", ""),
            request.query.get("region", ""),
        )
        if not addresses:
            return web.Response(status=503)
        resolved = _Resolved(
            addrs=addresses[:MAXIMUM_ADDRESSES],
            ttl_s=gateway.settings.bounds.directory_ttl_s,
        )
        return web.Response(
            body=msgspec.json.encode(resolved),
            content_type="application/json",
        )

    return handle
