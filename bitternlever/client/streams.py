"""Server-sent events of a streamed answer, checked piece by piece."""

import asyncio
import hashlib
from collections.abc import AsyncIterator

import aiohttp
import msgspec

from bitternlever.client import tables as client_tables
from bitternlever.messages import problems

MAXIMUM_EVENT_BYTES = 4_000_000
EVENT_END = b"\n\n"


class Piece(msgspec.Struct):
    """The data of a ``piece`` event."""

    offset: int
    text: str


class End(msgspec.Struct):
    """The data of the ``end`` event."""

    length: int
    digest: str
    answer: msgspec.Raw


class BrokenStreamError(Exception):
    """The stream ended early, has a gap, or does not match its end mark."""


async def read(
    run: client_tables.Run,
    response: aiohttp.ClientResponse,
    silence_s: float,
) -> bytes | problems.Problem:
    """Read a stream to its end; return the answer's bytes or a problem.

    Text goes to ``run`` as it arrives. Raise BrokenStreamError when the rest must be
    fetched elsewhere.
    """
    async for name, data in _events(response, silence_s):
        if name == b"piece":
            _take(run, msgspec.json.decode(data, type=Piece))
        elif name == b"problem":
            return msgspec.json.decode(data, type=problems.Problem)
        elif name == b"end":
            return _end(run, msgspec.json.decode(data, type=End))
    raise BrokenStreamError("the stream ended without its end mark")


def _take(run: client_tables.Run, piece: Piece) -> None:
    """Append a piece; what is held already must be the same."""
    held = run.text[piece.offset : piece.offset + len(piece.text)]
    if piece.offset > len(run.text) or not piece.text.startswith(held):
        raise BrokenStreamError(f"the piece at {piece.offset} does not fit")
    run.text = run.text[: piece.offset] + piece.text + run.text[_end_of(piece) :]
    if run.on_piece is not None and len(run.text) > run.shown:
        run.on_piece(run.text[run.shown :])
        run.shown = len(run.text)


def _end_of(piece: Piece) -> int:
    return piece.offset + len(piece.text)


def _end(run: client_tables.Run, end: End) -> bytes:
    if end.length != len(run.text) and end.digest:
        raise BrokenStreamError(f"{len(run.text)} of {end.length} characters arrived")
    digest = hashlib.sha256(run.text.encode()).hexdigest()
    if end.digest and end.digest != digest:
        run.text = ""
        raise BrokenStreamError("the text does not match its digest")
    return bytes(end.answer)


async def _events(
    response: aiohttp.ClientResponse,
    silence_s: float,
) -> AsyncIterator[tuple[bytes, bytes]]:
    buffer = b""
    while True:
        data = await asyncio.wait_for(response.content.readany(), silence_s)
        if not data:
            return
        buffer += data
        if len(buffer) > MAXIMUM_EVENT_BYTES:
            raise BrokenStreamError(f"an event above {MAXIMUM_EVENT_BYTES} bytes")
        *events, buffer = buffer.split(EVENT_END)
        for event in events:
            fields = dict(
                line.split(b": ", 1) for line in event.splitlines() if b": " in line
            )
            if b"event" in fields:
                yield fields[b"event"], fields.get(b"data", b"")
