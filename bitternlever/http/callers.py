"""HTTP handlers for callers.

Callers submit, fetch, cancel and acknowledge requests, and list hosts.
"""

import asyncio
import hashlib
from collections.abc import Callable
from typing import Any

import msgspec
import result
from aiohttp import web

from bitternlever.gossip import hosts
from bitternlever.http import authentication, bodies, exchanges, responses, state
from bitternlever.messages import problems, requests

MAXIMUM_KEY_LENGTH = 200
MAXIMUM_OFFSET_DIGITS = 12
KEEP_ALIVE_INTERVAL_S = 1.0
WRITE_TIMEOUT_S = 30.0
KEEP_ALIVE_COMMENT = b": waiting\n\n"
INTERMEDIATE_MESSAGES = (requests.RequestAccepted, requests.StreamPiece)

# Makes the message to the core from the caller number and the traceparent.
MakeMessage = Callable[[int, str | None], Any]


class HostAddress(msgspec.Struct):
    """The address and the availability zone of a host."""

    address: str
    zone: str


class HostList(msgspec.Struct):
    """Hosts in order of preference; callers may cache the list for ``max_age_s``."""

    hosts: list[HostAddress]
    max_age_s: float


async def submit(request: web.Request) -> web.StreamResponse:
    """Run a new request through a pipeline: ``POST …/{pipeline}/requests``."""
    shared = request.app[state.KEY]
    prepared = await _prepare(request, shared)
    if prepared.is_err():
        return responses.problem(prepared.err())
    submission, make_message = prepared.ok()
    if submission.stream:
        return await _stream(request, shared, make_message)
    return await _answer(request, shared, make_message)


async def fetch(request: web.Request) -> web.StreamResponse:
    """Return the answer or the state of a request: ``GET /v1/requests/{id}``."""
    shared = request.app[state.KEY]
    workspace = authentication.authenticate_workspace(request, shared.tables)
    if workspace.is_err():
        return responses.problem(workspace.err())
    offset = _parse_offset(request)
    if offset.is_err():
        return responses.problem(offset.err())
    stream = request.headers.get("Accept", "").startswith(responses.EVENT_STREAM_TYPE)

    def make_message(caller: int, traceparent: str | None) -> requests.RequestQueried:
        return requests.RequestQueried(
            caller=caller,
            workspace=workspace.ok(),
            request_id=request.match_info["request_id"],
            stream=stream,
            resume_offset=offset.ok(),
        )

    if stream:
        return await _stream(request, shared, make_message)
    return await _answer(request, shared, make_message)


async def cancel(request: web.Request) -> web.StreamResponse:
    """Cancel a request by its id: ``DELETE /v1/requests/{id}``."""
    return await _send_by_id(request, requests.RequestCancelled)


async def acknowledge(request: web.Request) -> web.StreamResponse:
    """Acknowledge a completely received answer: ``POST …/{id}/acknowledgement``."""
    return await _send_by_id(request, requests.AnswerAcknowledged)


async def list_hosts(request: web.Request) -> web.StreamResponse:
    """Return the hosts that a caller should use: ``GET /v1/hosts``."""
    shared = request.app[state.KEY]
    workspace = authentication.authenticate_workspace(request, shared.tables)
    if workspace.is_err():
        return responses.problem(workspace.err())
    preferred = hosts.preferred(
        shared.tables,
        shared.clock(),
        workspace=workspace.ok(),
        zone=request.query.get("zone") or shared.configuration.zone,
    )
    body = HostList(
        hosts=[HostAddress(address=host.address, zone=host.zone) for host in preferred],
        max_age_s=shared.configuration.host_list_max_age_s,
    )
    return responses.json(body)


async def _prepare(
    request: web.Request,
    shared: state.State,
) -> result.Result[tuple[bodies.Submission, MakeMessage], problems.Problem]:
    """Check a submission; return its body and the function that makes its message."""
    workspace = authentication.authenticate_workspace(request, shared.tables)
    if workspace.is_err():
        return workspace
    key = request.headers.get("Idempotency-Key")
    if key is not None and not 0 < len(key) <= MAXIMUM_KEY_LENGTH:
        return result.Err(_malformed_key())
    body = await bodies.read(request, shared.configuration.maximum_body_bytes)
    if body.is_err():
        return body
    decoded = bodies.decode(
        body.ok(),
        bodies.Submission,
        shared.configuration.maximum_json_depth,
    )
    if decoded.is_err():
        return decoded
    submission = decoded.ok()
    offset = _parse_offset(request)
    if offset.is_err():
        return offset
    pipeline = request.match_info["pipeline"]
    digest = hashlib.sha256(pipeline.encode() + b"\0" + body.ok()).hexdigest()

    def make_message(caller: int, traceparent: str | None) -> requests.RequestSubmitted:
        return requests.RequestSubmitted(
            caller=caller,
            workspace=workspace.ok(),
            pipeline=pipeline,
            kind=submission.kind,
            body=body.ok(),
            digest=digest,
            key=key,
            stream=submission.stream,
            resume_offset=offset.ok(),
            deadline_ms=submission.deadline_ms,
            traceparent=traceparent,
        )

    return result.Ok((submission, make_message))


async def _send_by_id(request: web.Request, message_type: type) -> web.StreamResponse:
    shared = request.app[state.KEY]
    workspace = authentication.authenticate_workspace(request, shared.tables)
    if workspace.is_err():
        return responses.problem(workspace.err())

    def make_message(caller: int, traceparent: str | None) -> Any:
        return message_type(
            caller=caller,
            workspace=workspace.ok(),
            request_id=request.match_info["request_id"],
        )

    return await _answer(request, shared, make_message)


async def _answer(
    request: web.Request,
    shared: state.State,
    make_message: MakeMessage,
) -> web.StreamResponse:
    """Send a message to the core and respond with its only answer."""
    with (
        _open_span(request, shared) as span,
        exchanges.open_exchange(shared.exchanges) as exchange,
    ):
        shared.on_event(make_message(exchange.caller, span.traceparent))
        try:
            answer = await _receive_final(exchange)
        except asyncio.CancelledError:
            shared.on_event(requests.CallerDisconnected(caller=exchange.caller))
            raise
        response = respond(answer)
        span.set_attribute("http.response.status_code", response.status)
        return response


async def _receive_final(exchange: exchanges.Exchange) -> Any:
    while True:
        message = await exchanges.receive(exchange)
        if not isinstance(message, INTERMEDIATE_MESSAGES):
            return message


def respond(answer: Any) -> web.Response:
    """Return the response for an answer of the core that is not streamed."""
    match answer:
        case requests.WholeAnswer():
            return responses.whole(answer)
        case requests.RequestState():
            return responses.state(answer)
        case requests.ProblemAnswer():
            return responses.problem(answer.problem)
    raise TypeError(f"no response for {type(answer).__name__}")


async def _stream(
    request: web.Request,
    shared: state.State,
    make_message: MakeMessage,
) -> web.StreamResponse:
    """Send a message to the core and stream its answer as server-sent events.

    An answer that comes before the request is accepted is sent as a response that is
    not streamed, with its own status.
    """
    with (
        _open_span(request, shared) as span,
        exchanges.open_exchange(shared.exchanges) as exchange,
    ):
        shared.on_event(make_message(exchange.caller, span.traceparent))
        try:
            first = await exchanges.receive(exchange)
            if isinstance(first, requests.ProblemAnswer | requests.RequestState):
                return respond(first)
            return await _send_events(request, exchange, first)
        except (asyncio.CancelledError, ConnectionError):
            shared.on_event(requests.CallerDisconnected(caller=exchange.caller))
            raise


async def _send_events(
    request: web.Request,
    exchange: exchanges.Exchange,
    first: Any,
) -> web.StreamResponse:
    response = web.StreamResponse(
        headers={
            "Content-Type": responses.EVENT_STREAM_TYPE,
            "Cache-Control": "no-store",
            responses.REQUEST_ID_HEADER: first.request_id,
        },
    )
    await response.prepare(request)
    message = first
    while isinstance(message, INTERMEDIATE_MESSAGES):
        if isinstance(message, requests.StreamPiece):
            await _write(response, responses.piece_event(message))
        message = await _receive_next(exchange, response)
    if isinstance(message, requests.WholeAnswer):
        await _write(response, responses.end_event(message))
    elif isinstance(message, requests.ProblemAnswer):
        data = responses.encode_problem(message.problem)
        await _write(response, responses.event("problem", data))
    await response.write_eof()
    return response


async def _write(response: web.StreamResponse, data: bytes) -> None:
    """Write to a caller; raise ConnectionResetError if it stops reading."""
    try:
        async with asyncio.timeout(WRITE_TIMEOUT_S):
            await response.write(data)
    except TimeoutError:
        raise ConnectionResetError("caller stopped reading the response") from None


async def _receive_next(
    exchange: exchanges.Exchange, response: web.StreamResponse
) -> Any:
    """Wait for the core's next message; send keep-alive comments until it comes."""
    while True:
        try:
            async with asyncio.timeout(KEEP_ALIVE_INTERVAL_S):
                return await exchanges.receive(exchange)
        except TimeoutError:
            await _write(response, KEEP_ALIVE_COMMENT)


def _open_span(request: web.Request, shared: state.State) -> Any:
    return shared.tracer.server_call(
        f"{request.method} {request.match_info.route.resource.canonical}",
        request.headers.get("traceparent"),
    )


def _parse_offset(request: web.Request) -> result.Result[int, problems.Problem]:
    text = request.query.get("offset", "0")
    if text.isascii() and text.isdigit() and len(text) <= MAXIMUM_OFFSET_DIGITS:
        return result.Ok(int(text))
    return result.Err(
        bodies.refusal(
            400,
            "malformed-offset",
            "The offset is malformed",
            "send offset=N with the number of characters already received",
        ),
    )


def _malformed_key() -> problems.Problem:
    return bodies.refusal(
        400,
        "malformed-key",
        "The Idempotency-Key is malformed",
        f"send 1 to {MAXIMUM_KEY_LENGTH} characters",
    )
