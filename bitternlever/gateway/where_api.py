"""The call that asks an entry host where a request would go.

It is served on the metrics address beside the metrics, and never on that of callers.
"""

import asyncio
import dataclasses
import math
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from bitternlever.core import clocks
from bitternlever.gateway import state, where
from bitternlever.messages import problems, where as messages_where

MAXIMUM_BYTES = 65_536
"""Above the headers of any request that callers may send."""

READ_TIMEOUT_S = 2.0
"""A question is small and comes from a tool."""

MAXIMUM_CALLS_PER_S = 3
"""An answer takes some 20 ms of the host's one thread if it knows 700 upstreams."""

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@dataclasses.dataclass(slots=True)
class Calls:
    """The calls of the second that began at ``since_s``."""

    since_s: float = -math.inf
    count: int = 0


def handler(gateway: state.Gateway, other_paths: Handler) -> Handler:
    """Return a handler of this call that leaves other paths to another handler."""
    calls = Calls()

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.path != messages_where.PATH:
            return await other_paths(request)
        if request.method != "POST":
            return _refuse(405, "wrong method", f"{request.method}: send POST")
        if not allows(calls, clocks.boot_time()):
            detail = f"more than {MAXIMUM_CALLS_PER_S} calls a second: ask again"
            return _refuse(429, "too many calls", detail, retry_after_s=1.0)
        body = await _read_body(request)
        if body is None:
            detail = f"over {MAXIMUM_BYTES} bytes, or not whole in {READ_TIMEOUT_S} s"
            return _refuse(413, "no question", detail)
        try:
            question = msgspec.json.decode(body, type=messages_where.Question)
        except msgspec.MsgspecError as error:
            return _refuse(400, "not a question", str(error))
        explanation = where.explain(gateway, clocks.boot_time(), question)
        return web.Response(
            body=msgspec.json.encode(explanation), content_type="application/json"
        )

    return handle


def allows(calls: Calls, now: float) -> bool:
    """Count a call; return whether it is within the bound."""
    if now - calls.since_s >= 1.0:
        calls.since_s = now
        calls.count = 0
    calls.count += 1
    return calls.count <= MAXIMUM_CALLS_PER_S


async def _read_body(request: web.BaseRequest) -> bytes | None:
    """Return the body, None if it is too long or does not arrive in time."""
    body = b""
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            async for piece in request.content.iter_any():
                body += piece
                if len(body) > MAXIMUM_BYTES:
                    return None
    except TimeoutError:
        return None
    return body


def _refuse(
    status: int, title: str, detail: str, retry_after_s: float | None = None
) -> web.Response:
    problem = problems.Problem(
        type="about:blank",
        title=title,
        status=status,
        detail=detail,
        ran=problems.Ran.NO,
        retry_after_s=retry_after_s,
    )
    response = web.Response(
        status=status,
        body=msgspec.json.encode(problem),
        content_type="application/problem+json",
    )
    if retry_after_s is not None:
        response.headers["Retry-After"] = f"{retry_after_s:g}"
    response.force_close()
    return response
