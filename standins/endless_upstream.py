"""Upstreams that send without end until the caller closes, each in its own way.

Run as a program, it listens on eight loopback ports per kind and prints their addresses
as JSON. It runs in its own process, so that its memory is not counted as the caller's.
"""

import asyncio
import contextlib
import json
import sys
from collections.abc import Callable, Iterator

BLOCK = b"x" * 65_536
ID_HEADER = b"x-bitternlever-request-id"
SEALED = b"X-Bitternlever-Response-Seal: sealed\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
PAUSE_S = 0.05
"""Pause of the kinds that send a little now and then."""

SERVERS_PER_KIND = 8

Pieces = Iterator[bytes]


def _head(identity: bytes, *lines: bytes) -> bytes:
    return (
        b"HTTP/1.1 200 OK\r\nX-Bitternlever-Request-Id: "
        + identity
        + b"\r\n"
        + SEALED
        + b"".join(lines)
        + b"\r\n"
    )


def _repeat(first: bytes, piece: bytes) -> Pieces:
    yield first
    while True:
        yield piece


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


KINDS: dict[str, Callable[[bytes], Pieces]] = {
    "garbage": lambda identity: _repeat(b"", BLOCK),
    "lines": lambda identity: _repeat(b"", b"what is this\r\n" * 1_000),
    "header lines": lambda identity: _repeat(
        _head(identity)[:-2], b"X-More: and more\r\n" * 1_000
    ),
    "one header": lambda identity: _repeat(_head(identity)[:-2] + b"X-More: ", BLOCK),
    "interim answers": lambda identity: _repeat(
        b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 500
    ),
    "chunk extension": lambda identity: _repeat(
        _head(identity, CHUNKED) + b"1;x=", BLOCK
    ),
    "chunk extensions": lambda identity: _repeat(
        _head(identity, CHUNKED), b"1;x=%s\r\nx\r\n" % (b"y" * 60_000)
    ),
    "trailers": lambda identity: _repeat(
        _head(identity, CHUNKED) + b"0\r\n", b"X-More: and more\r\n" * 1_000
    ),
    "chunked body": lambda identity: _repeat(_head(identity, CHUNKED), _chunk(BLOCK)),
    "tiny chunks": lambda identity: _repeat(
        _head(identity, CHUNKED), _chunk(b"x") * 10_000
    ),
    "unframed body": lambda identity: _repeat(_head(identity), BLOCK),
    "long body": lambda identity: _repeat(
        _head(identity, b"Content-Length: 1000000000000\r\n"), BLOCK
    ),
    "after the answer": lambda identity: _repeat(
        _head(identity, b"Content-Length: 2\r\n") + b"ok", BLOCK
    ),
    "answers": lambda identity: _repeat(
        b"", (_head(b"another", b"Content-Length: 2\r\n") + b"ok") * 500
    ),
    "comments": lambda identity: _repeat(
        _head(identity, CHUNKED), _chunk(b": still here\n\n")
    ),
    "bytes of an event": lambda identity: _repeat(
        _head(identity, CHUNKED) + _chunk(b"data: "), _chunk(b"x")
    ),
    "bytes of a head": lambda identity: _repeat(b"HTTP/1.1 200 OK\r\nX-More: ", b"x"),
}

SLOW_KINDS = ("comments", "bytes of an event", "bytes of a head")


async def _serve(
    kind: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        head = await reader.readuntil(b"\r\n\r\n")
        for piece in KINDS[kind](_identity(head)):
            writer.write(piece)
            await writer.drain()
            if kind in SLOW_KINDS:
                await asyncio.sleep(PAUSE_S)
    writer.transport.abort()


def _identity(head: bytes) -> bytes:
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == ID_HEADER:
            return value.strip()
    return b""


async def _run() -> None:
    addresses = {}
    servers = []
    for kind in KINDS:

        async def handle(reader, writer, kind=kind):
            await _serve(kind, reader, writer)

        addresses[kind] = []
        for _ in range(SERVERS_PER_KIND):
            servers.append(await asyncio.start_server(handle, "127.0.0.1", 0))
            port = servers[-1].sockets[0].getsockname()[1]
            addresses[kind].append(f"127.0.0.1:{port}")
    print(json.dumps(addresses), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(_run())
