"""Which answers a caller accepts as complete."""

import json

import aiohttp
import pytest
from aiohttp import test_utils, web

from standins import callers, words

REQUEST_ID = "r-1"
TEXT = words.generated_text("draft", REQUEST_ID, "hello", 3)


def event(name: str, **data) -> bytes:
    """Encode one server-sent event."""
    return f"event: {name}\ndata: {json.dumps(data)}\n\n".encode()


def end_event(text: str = TEXT, output: str = TEXT) -> bytes:
    """Encode the end event of a text."""
    answer = {"request_id": REQUEST_ID, "output": output}
    digest = words.text_digest(text)
    return event("end", length=len(text), digest=digest, answer=answer)


async def received(body: bytes) -> callers.ReceivedAnswer:
    """Return what a caller reads from a streamed answer with this body."""

    async def answer(request: web.Request) -> web.Response:
        headers = {"Bitternlever-Request-Id": REQUEST_ID}
        return web.Response(
            body=body,
            content_type="text/event-stream",
            headers=headers,
        )

    app = web.Application()
    app.router.add_post("/v1/pipelines/p/requests", answer)
    async with test_utils.TestServer(app) as server, aiohttp.ClientSession() as session:
        entry = str(server.make_url("/")).rstrip("/")
        return await callers.send(session, entry, "token", "p", {}, {})


async def test_a_stream_with_an_end_event_is_complete():
    pieces = event("piece", offset=0, text=TEXT[:9])
    pieces += event("piece", offset=9, text=TEXT[9:])

    answer = await received(pieces + end_event())

    assert answer.is_complete
    assert answer.output == TEXT


async def test_an_answer_with_a_gap_between_pieces_is_not_complete():
    answer = await received(event("piece", offset=4, text=TEXT) + end_event())

    assert answer.faults == ["a gap at character 0"]


async def test_a_stream_without_an_end_event_was_cut():
    with pytest.raises(ConnectionResetError):
        await received(event("piece", offset=0, text=TEXT))


async def test_a_text_of_another_request_is_not_complete():
    other = words.generated_text("draft", "r-2", "hello", 3)
    piece = event("piece", offset=0, text=other)

    answer = await received(piece + end_event(text=other, output=other))

    assert not answer.is_complete
