"""Responses: whole answers, states, problems and streams."""

import math

import msgspec
from aiohttp import web

from bitternlever.messages import problems, requests

REQUEST_ID_HEADER = "Bitternlever-Request-Id"
PROBLEM_TYPE = "application/problem+json"
PROBLEM_TYPE_PREFIX = "https://bitternlever.example/problems/"
EVENT_STREAM_TYPE = "text/event-stream"


class Piece(msgspec.Struct):
    """The data of a ``piece`` event."""

    offset: int
    text: str


class End(msgspec.Struct):
    """The data of the ``end`` event, from which callers verify the streamed text."""

    length: int
    digest: str
    answer: msgspec.Raw


class State(msgspec.Struct):
    """The body of the response about a request that is still open."""

    request_id: str
    state: str


def problem(answer: problems.Problem) -> web.Response:
    """Return the response of a problem, with ``Retry-After`` if it may be retried."""
    headers = {}
    if answer.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(answer.retry_after_s)))
    if answer.request_id is not None:
        headers[REQUEST_ID_HEADER] = answer.request_id
    return web.Response(
        status=answer.status,
        body=encode_problem(answer),
        content_type=PROBLEM_TYPE,
        headers=headers,
    )


def encode_problem(answer: problems.Problem) -> bytes:
    """Encode a problem, with its type as an absolute URI."""
    absolute = msgspec.structs.replace(
        answer,
        type=PROBLEM_TYPE_PREFIX + answer.type,
    )
    return msgspec.json.encode(absolute)


def whole(answer: requests.WholeAnswer) -> web.Response:
    """Return the response of a whole answer: its stored bytes, unchanged."""
    return web.Response(
        body=answer.body,
        content_type="application/json",
        headers={REQUEST_ID_HEADER: answer.request_id},
    )


def state(answer: requests.RequestState) -> web.Response:
    """Return the response about a request that is still open."""
    body = State(request_id=answer.request_id, state=answer.state)
    return web.Response(
        status=202,
        body=msgspec.json.encode(body),
        content_type="application/json",
        headers={
            REQUEST_ID_HEADER: answer.request_id,
            "Retry-After": str(max(1, math.ceil(answer.retry_after_s))),
        },
    )


def json(value: object, status: int = 200) -> web.Response:
    """Return a JSON response."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(value),
        content_type="application/json",
    )


def event(name: str, data: bytes) -> bytes:
    """Encode one server-sent event."""
    return b"event: " + name.encode() + b"\ndata: " + data + b"\n\n"


def piece_event(piece: requests.StreamPiece) -> bytes:
    """Encode a piece of a streamed answer."""
    return event(
        "piece",
        msgspec.json.encode(Piece(offset=piece.offset, text=piece.text)),
    )


def end_event(answer: requests.WholeAnswer) -> bytes:
    """Encode the end event of a streamed answer."""
    end = End(
        length=answer.length,
        digest=answer.output_digest,
        answer=msgspec.Raw(answer.body),
    )
    return event("end", msgspec.json.encode(end))
