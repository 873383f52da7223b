"""Read the server-sent events of a streamed answer and check each piece."""

import asyncio
import hashlib
from collections.abc import AsyncIterator

import aiohttp
import msgspec

from bitternlever.client import tables as client_tables
from bitternlever.messages import problems

MAXIMUM_EVENT_BYTES = 4_000_000
MAXIMUM_TEXT_CHARACTERS = 16_000_000
EVENT_END = b"\n\n"


class Piece(msgspec.Struct):
    """The data of a ``piece`` event."""

    offset: int
    text: str


class End(msgspec.Struct):
    """The data of the ``end`` event: length and digest of the text, and the answer."""

    length: int
    digest: str
    answer: msgspec.Raw


class BrokenStreamError(Exception):
    """The stream ended early, has a gap, or does not match its end event."""


async def read(
    pending: client_tables.PendingRequest,
    response: aiohttp.ClientResponse,
    idle_timeout_s: float,
) -> bytes | problems.Problem:
    """Read a stream to its end; return the answer's bytes or a problem.

    Text is added to ``pending`` as it arrives. Raise BrokenStreamError if the rest must
    be fetched from another host.
    """
    async for name, data in _events(response, idle_timeout_s):
        if name == b"piece":
            _append_piece(pending, msgspec.json.decode(data, type=Piece))
        elif name == b"problem":
            return msgspec.json.decode(data, type=problems.Problem)
        elif name == b"end":
            return _check_end(pending, msgspec.json.decode(data, type=End))
    raise BrokenStreamError("stream ended without its end event")


def _append_piece(pending: client_tables.PendingRequest, piece: Piece) -> None:
    """Append a piece; where it overlaps with received text, both must be equal."""
    overlap = pending.text[piece.offset : piece.offset + len(piece.text)]
    if piece.offset > len(pending.text) or not piece.text.startswith(overlap):
        raise BrokenStreamError(
            f"piece at offset {piece.offset} does not continue the text"
        )
    if _end_offset(piece) > MAXIMUM_TEXT_CHARACTERS:
        raise BrokenStreamError(f"text above {MAXIMUM_TEXT_CHARACTERS} characters")
    pending.text = (
        pending.text[: piece.offset] + piece.text + pending.text[_end_offset(piece) :]
    )
    if pending.on_piece is not None and len(pending.text) > pending.reported_length:
        pending.on_piece(pending.text[pending.reported_length :])
        pending.reported_length = len(pending.text)


def _end_offset(piece: Piece) -> int:
    return piece.offset + len(piece.text)


def _check_end(pending: client_tables.PendingRequest, end: End) -> bytes:
    if end.length != len(pending.text) and end.digest:
        raise BrokenStreamError(
            f"received {len(pending.text)} of {end.length} characters"
        )
    digest = hashlib.sha256(pending.text.encode()).hexdigest()
    if end.digest and end.digest != digest:
        pending.text = ""
        raise BrokenStreamError("text does not match its digest")
    return bytes(end.answer)


async def _events(
    response: aiohttp.ClientResponse,
    idle_timeout_s: float,
) -> AsyncIterator[tuple[bytes, bytes]]:
    buffer = b""
    while True:
        data = await asyncio.wait_for(response.content.readany(), idle_timeout_s)
        if not data:
            return
        buffer += data
        if len(buffer) > MAXIMUM_EVENT_BYTES:
            raise BrokenStreamError(f"event is larger than {MAXIMUM_EVENT_BYTES} bytes")
        *events, buffer = buffer.split(EVENT_END)
        for event in events:
            fields = dict(
                line.split(b": ", 1) for line in event.splitlines() if b": " in line
            )
            if b"event" in fields:
                yield fields[b"event"], fields.get(b"data", b"")
