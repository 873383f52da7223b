"""An upstream on a loopback port that answers as scripted, including faults.

It implements HTTP/1.1 itself so that it can also violate the protocol. It records each
request as received, and answers with a list of behaviours, one for each request; the
last one is repeated.
"""

import asyncio
import contextlib
import dataclasses
import socket
import struct
from collections.abc import Awaitable, Callable


@dataclasses.dataclass(slots=True)
class ReceivedRequest:
    """A received request: its request line, headers (names in lower case) and body."""

    line: str
    headers: dict[str, str]
    body: bytes
    connection: int
    reader: asyncio.StreamReader


Behaviour = Callable[
    ["ScriptedUpstream", ReceivedRequest, asyncio.StreamWriter], Awaitable[None]
]


@dataclasses.dataclass(slots=True)
class ScriptedUpstream:
    """A running upstream, the requests that it received, and its behaviours."""

    name: str
    behaviours: list[Behaviour]
    received: list[ReceivedRequest] = dataclasses.field(default_factory=list)
    connections: int = 0
    closed: int = 0
    address: str = ""
    listener: asyncio.Server | None = None


async def start(name: str, *behaviours: Behaviour) -> ScriptedUpstream:
    """Start an upstream on a free port."""
    upstream = ScriptedUpstream(name=name, behaviours=list(behaviours) or [answer()])
    upstream.listener = await asyncio.start_server(
        lambda reader, writer: _handle_connection(upstream, reader, writer),
        "127.0.0.1",
        0,
    )
    port = upstream.listener.sockets[0].getsockname()[1]
    upstream.address = f"127.0.0.1:{port}"
    return upstream


def stop(upstream: ScriptedUpstream) -> None:
    """Stop listening."""
    upstream.listener.close()


async def _handle_connection(
    upstream: ScriptedUpstream,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    upstream.connections += 1
    connection_number = upstream.connections
    try:
        while True:
            received = await _read_request(reader, connection_number)
            if received is None:
                break
            upstream.received.append(received)
            index = min(len(upstream.received), len(upstream.behaviours)) - 1
            await upstream.behaviours[index](upstream, received, writer)
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
        pass
    finally:
        upstream.closed += 1
        writer.close()


async def _read_request(
    reader: asyncio.StreamReader, connection: int
) -> ReceivedRequest | None:
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = (await reader.readline()).decode("latin-1").rstrip("\r\n")
        if not header:
            break
        name, _, value = header.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return ReceivedRequest(line.decode().rstrip(), headers, body, connection, reader)


def head(status: int, received: ReceivedRequest, *lines: str) -> bytes:
    """Return the status line and headers of an answer, with the request id."""
    request = received.headers.get("x-bitternlever-request-id", "")
    first = [f"HTTP/1.1 {status} X", f"X-Bitternlever-Request-Id: {request}"]
    return ("\r\n".join([*first, *lines]) + "\r\n\r\n").encode()


SEAL = "X-Bitternlever-Response-Seal: sealed"
NOT_RUN = "X-Bitternlever-Not-Run: 1"


def answer(
    status: int = 200,
    body: bytes = b"done",
    delay_s: float = 0.0,
    lines: tuple[str, ...] = (SEAL,),
) -> Behaviour:
    """Send a complete answer with a length."""

    async def behave(upstream, received, writer):
        await asyncio.sleep(delay_s)
        writer.write(head(status, received, *lines, f"Content-Length: {len(body)}"))
        writer.write(body)

    return behave


def refuse(status: int = 503) -> Behaviour:
    """Answer that the request was not run."""
    return answer(status, b"", lines=(NOT_RUN,))


def refuse_slowly(piece: bytes, count: int, gap_s: float = 0.05) -> Behaviour:
    """Answer that the request was not run, with a body that takes long."""

    async def behave(upstream, received, writer):
        length = f"Content-Length: {len(piece) * count}"
        writer.write(head(503, received, NOT_RUN, length))
        for _ in range(count):
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(gap_s)

    return behave


def cut(
    after: bytes = b"do", reset: bool = False, lines: tuple[str, ...] = ()
) -> Behaviour:
    """Send less than the announced length, then close or reset the connection."""

    async def behave(upstream, received, writer):
        writer.write(head(200, received, SEAL, *lines, "Content-Length: 4"))
        writer.write(after)
        await writer.drain()
        await asyncio.sleep(0.02)
        _end_connection(writer, reset=reset)

    return behave


def unframed(
    *pieces: bytes, reset: bool = False, lines: tuple[str, ...] = ()
) -> Behaviour:
    """Answer without a length; the end of the connection ends the answer."""

    async def behave(upstream, received, writer):
        writer.write(head(200, received, SEAL, *lines))
        for piece in pieces or (b"done",):
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0.02)
        _end_connection(writer, reset=reset)

    return behave


def crossed(*lines: str) -> Behaviour:
    """Answer with the id of another request, and with these header lines."""

    async def behave(upstream, received, writer):
        received.headers["x-bitternlever-request-id"] = "another"
        lines_sent = (SEAL, *lines, "Content-Length: 4")
        writer.write(head(200, received, *lines_sent) + b"else")

    return behave


def answer_twice(late_s: float = 0.0) -> Behaviour:
    """Answer, then send a second answer without a request."""

    async def behave(upstream, received, writer):
        message = head(200, received, SEAL, "Content-Length: 4") + b"done"
        writer.write(message)
        await writer.drain()
        await asyncio.sleep(late_s)
        writer.write(message.replace(b"done", b"more"))

    return behave


def garbage() -> Behaviour:
    """Send bytes that are not HTTP."""

    async def behave(upstream, received, writer):
        writer.write(b"\x00\x01 what is this\r\n\r\n")

    return behave


def silent() -> Behaviour:
    """Never answer; wait until the caller disconnects."""

    async def behave(upstream, received, writer):
        while not received.reader.at_eof() and received.reader.exception() is None:
            await asyncio.sleep(0.005)
        raise ConnectionResetError

    return behave


def close() -> Behaviour:
    """Close the connection without an answer."""

    async def behave(upstream, received, writer):
        _end_connection(writer, reset=False)

    return behave


def stream(
    *pieces: bytes,
    gap_s: float = 0.0,
    complete: bool = True,
    reset: bool = False,
) -> Behaviour:
    """Answer with a chunked stream; close or reset an incomplete one before its end."""

    async def behave(upstream, received, writer):
        kind = "Content-Type: text/event-stream"
        writer.write(head(200, received, SEAL, kind, "Transfer-Encoding: chunked"))
        for piece in pieces:
            writer.write(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
            await writer.drain()
            await asyncio.sleep(gap_s)
        if complete:
            writer.write(b"0\r\n\r\n")
            return
        await asyncio.sleep(0.02)
        _end_connection(writer, reset=reset)

    return behave


def abort(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    raw_socket = writer.get_extra_info("socket")
    if raw_socket is not None:
        linger = struct.pack("ii", 1, 0)
        with contextlib.suppress(OSError):
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def _end_connection(writer: asyncio.StreamWriter, *, reset: bool) -> None:
    if reset:
        abort(writer)
    else:
        writer.close()
    raise ConnectionResetError
