"""Fake entry hosts with the answers that a test gives them."""

import dataclasses
import hashlib
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import test_utils, web

from bitternlever.http import responses
from bitternlever.messages import problems, requests

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
REQUEST_ID = "k-1"


@dataclasses.dataclass(slots=True)
class FakeHost:
    """A fake host: its answers in order, and the requests that it received."""

    server: test_utils.TestServer
    handlers: list[Handler]
    received: list[web.Request] = dataclasses.field(default_factory=list)
    list_requests: int = 0
    addresses: list[str] = dataclasses.field(default_factory=list)

    @property
    def address(self) -> str:
        """Return the host's address."""
        return str(self.server.make_url("")).rstrip("/")


async def start(*handlers: Handler) -> FakeHost:
    """Start a host that gives these answers in order and repeats the last one."""
    app = web.Application()
    host = FakeHost(server=test_utils.TestServer(app), handlers=list(handlers))

    async def list_hosts(request: web.Request) -> web.Response:
        host.list_requests += 1
        listed = [{"address": address, "zone": ""} for address in host.addresses]
        return web.json_response({"hosts": listed, "max_age_s": 5.0})

    async def answer_next(request: web.Request) -> web.StreamResponse:
        await request.read()
        host.received.append(request)
        chosen = host.handlers[0]
        if len(host.handlers) > 1:
            host.handlers.pop(0)
        return await chosen(request)

    app.router.add_get("/v1/hosts", list_hosts)
    app.router.add_route("*", "/{rest:.*}", answer_next)
    await host.server.start_server()
    host.addresses = [host.address]
    return host


def whole(output: str = "rain") -> Handler:
    """Return a handler that sends a whole answer."""

    async def handler(request: web.Request) -> web.Response:
        return responses.whole(
            requests.WholeAnswer(caller=1, request_id=REQUEST_ID, body=_body(output)),
        )

    return handler


def refusal(
    status: int,
    ran: problems.Ran,
    retry_after_s: float | None = None,
    title: str = "Refused",
) -> Handler:
    """Return a handler that sends a problem."""
    problem = problems.Problem(
        type=title.lower().replace(" ", "-"),
        title=title,
        status=status,
        detail="for a test",
        ran=ran,
        request_id=REQUEST_ID,
        retry_after_s=retry_after_s,
    )

    async def handler(request: web.Request) -> web.Response:
        return responses.problem(problem)

    return handler


def open_state() -> Handler:
    """Return a handler that reports the request as still open."""

    async def handler(request: web.Request) -> web.Response:
        state = requests.RequestState(1, REQUEST_ID, "open", retry_after_s=0.01)
        return responses.state(state)

    return handler


def stream(
    text: str,
    cut_at: int | None = None,
    digest_of: str | None = None,
    then: Callable[[web.Request], Awaitable[None]] | None = None,
) -> Handler:
    """Return a handler that streams a text from the requested offset.

    With ``cut_at`` it cuts the connection after that many characters. ``then`` is
    awaited after the last piece.
    """

    async def handler(request: web.Request) -> web.StreamResponse:
        offset = int(request.query.get("offset", "0"))
        response = web.StreamResponse(
            headers={
                "Content-Type": responses.EVENT_STREAM_TYPE,
                responses.REQUEST_ID_HEADER: REQUEST_ID,
            },
        )
        await response.prepare(request)
        for start in range(offset, len(text[:cut_at]), 4):
            piece = requests.StreamPiece(1, REQUEST_ID, start, text[start : start + 4])
            await response.write(responses.piece_event(piece))
        if then is not None:
            await then(request)
        if cut_at is not None:
            request.transport.close()
            return response
        digest = hashlib.sha256((digest_of or text).encode()).hexdigest()
        answer = requests.WholeAnswer(1, REQUEST_ID, _body(text), len(text), digest)
        await response.write(responses.end_event(answer))
        return response

    return handler


def _body(output: str) -> bytes:
    return msgspec.json.encode({"request_id": REQUEST_ID, "output": output})
