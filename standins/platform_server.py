"""A server of the users' platform on a loopback port, with faults on request.

It speaks HTTP/1.1 by hand, so that it can also break it. Each request is recorded as it
came; what is answered is scripted: a list of behaviours, one a request, the last of
which is repeated.
"""

import asyncio
import contextlib
import dataclasses
import socket
import struct
from collections.abc import Awaitable, Callable


@dataclasses.dataclass(slots=True)
class Received:
    """A request as it came: its first line, its headers in lower case, its body."""

    line: str
    headers: dict[str, str]
    body: bytes
    connection: int
    reader: asyncio.StreamReader


Behaviour = Callable[["Server", Received, asyncio.StreamWriter], Awaitable[None]]


@dataclasses.dataclass(slots=True)
class Server:
    """A running server, what it received, and how it behaves."""

    name: str
    behaviours: list[Behaviour]
    received: list[Received] = dataclasses.field(default_factory=list)
    connections: int = 0
    closed: int = 0
    address: str = ""
    listener: asyncio.Server | None = None


async def start(name: str, *behaviours: Behaviour) -> Server:
    """Start a server on a free port."""
    server = Server(name=name, behaviours=list(behaviours) or [answer()])
    server.listener = await asyncio.start_server(
        lambda reader, writer: _serve(server, reader, writer),
        "127.0.0.1",
        0,
    )
    port = server.listener.sockets[0].getsockname()[1]
    server.address = f"127.0.0.1:{port}"
    return server


def stop(server: Server) -> None:
    """Listen no more."""
    server.listener.close()


async def _serve(
    server: Server,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    server.connections += 1
    number = server.connections
    try:
        while True:
            received = await _read(reader, number)
            if received is None:
                break
            server.received.append(received)
            index = min(len(server.received), len(server.behaviours)) - 1
            await server.behaviours[index](server, received, writer)
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
        pass
    finally:
        server.closed += 1
        writer.close()


async def _read(reader: asyncio.StreamReader, connection: int) -> Received | None:
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
    return Received(line.decode().rstrip(), headers, body, connection, reader)


def head(status: int, received: Received, *lines: str) -> bytes:
    """Return the head of an answer that echoes the request's id."""
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
    """Answer whole, with a length."""

    async def behave(server, received, writer):
        await asyncio.sleep(delay_s)
        writer.write(head(status, received, *lines, f"Content-Length: {len(body)}"))
        writer.write(body)

    return behave


def refuse(status: int = 503) -> Behaviour:
    """Say that the request was not run."""
    return answer(status, b"", lines=(NOT_RUN,))


def cut(after: bytes = b"do", reset: bool = False) -> Behaviour:
    """Announce more than is sent, then close or reset the connection."""

    async def behave(server, received, writer):
        writer.write(head(200, received, SEAL, "Content-Length: 4"))
        writer.write(after)
        await writer.drain()
        await asyncio.sleep(0.02)
        _end(writer, reset=reset)

    return behave


def unframed(body: bytes = b"done", reset: bool = False) -> Behaviour:
    """Answer without a length; the end of the connection ends the answer."""

    async def behave(server, received, writer):
        writer.write(head(200, received, SEAL))
        writer.write(body)
        await writer.drain()
        await asyncio.sleep(0.02)
        _end(writer, reset=reset)

    return behave


def crossed() -> Behaviour:
    """Answer for another request."""

    async def behave(server, received, writer):
        received.headers["x-bitternlever-request-id"] = "another"
        writer.write(head(200, received, SEAL, "Content-Length: 4") + b"else")

    return behave


def extra(late_s: float = 0.0) -> Behaviour:
    """Answer, then send a second answer that nobody asked for."""

    async def behave(server, received, writer):
        whole = head(200, received, SEAL, "Content-Length: 4") + b"done"
        writer.write(whole)
        await writer.drain()
        await asyncio.sleep(late_s)
        writer.write(whole.replace(b"done", b"more"))

    return behave


def garbage() -> Behaviour:
    """Send bytes that are no HTTP."""

    async def behave(server, received, writer):
        writer.write(b"\x00\x01 what is this\r\n\r\n")

    return behave


def silent() -> Behaviour:
    """Never answer; wait until the caller has gone."""

    async def behave(server, received, writer):
        while not received.reader.at_eof() and received.reader.exception() is None:
            await asyncio.sleep(0.005)
        raise ConnectionResetError

    return behave


def close() -> Behaviour:
    """Close the connection instead of an answer."""

    async def behave(server, received, writer):
        _end(writer, reset=False)

    return behave


def stream(
    *pieces: bytes,
    gap_s: float = 0.0,
    complete: bool = True,
    reset: bool = False,
) -> Behaviour:
    """Answer with a chunked stream; incomplete ones end by a cut."""

    async def behave(server, received, writer):
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
        _end(writer, reset=reset)

    return behave


def abort(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    own_socket = writer.get_extra_info("socket")
    if own_socket is not None:
        linger = struct.pack("ii", 1, 0)
        with contextlib.suppress(OSError):
            own_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def _end(writer: asyncio.StreamWriter, *, reset: bool) -> None:
    if reset:
        abort(writer)
    else:
        writer.close()
    raise ConnectionResetError
