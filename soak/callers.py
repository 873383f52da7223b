"""Callers that reuse one connection until it closes; each request is recorded."""

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import Awaitable, Callable

import h11

from soak import records as soak_records

PAUSE_S = (0.02, 0.25)
"""Range of the pauses between requests; the connection idles during longer ones."""

RECONNECT_PAUSE_S = 0.1
"""Avoids a busy loop while no host is available."""

CONNECT_TIMEOUT_S = 1.0
"""The connect timeout of the users' callers."""

CALL_TIMEOUT_S = 12.0
"""Far above the routes' timeout, so that late answers are recorded as late."""

RECEIVE_BYTES = 65_536
"""More than a complete answer."""

PATHS = {"idempotent": "/read/x", "non_idempotent": "/write/x"}
METHODS = {"idempotent": "GET", "non_idempotent": "POST"}


@dataclasses.dataclass(slots=True)
class Caller:
    """A caller; ``resolve`` returns the name and address of a host, or None."""

    name: str
    records: soak_records.Records
    source: random.Random
    resolve: Callable[[], Awaitable[tuple[str, str] | None]]
    stopping: asyncio.Event
    sent: int = 0


@dataclasses.dataclass(slots=True)
class Connection:
    """An open connection to a host."""

    host: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    protocol: h11.Connection


async def run(caller: Caller) -> None:
    """Send requests one after the other until ``caller.stopping`` is set."""
    while not caller.stopping.is_set():
        connection = await _connect(caller)
        if connection is None:
            await asyncio.sleep(RECONNECT_PAUSE_S)
            continue
        while not caller.stopping.is_set():
            if not await _call(caller, connection):
                break
            await asyncio.sleep(caller.source.uniform(*PAUSE_S))
        connection.writer.close()


async def _connect(caller: Caller) -> Connection | None:
    resolved = await caller.resolve()
    if resolved is None:
        return None
    host, address = resolved
    ip, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(ip, int(port))
    except OSError:
        return None
    return Connection(host, reader, writer, h11.Connection(h11.CLIENT))


async def _call(caller: Caller, connection: Connection) -> bool:
    """Send one request; return whether the connection can be reused."""
    clock = asyncio.get_running_loop()
    caller.sent += 1
    call = soak_records.Call(
        request=f"{caller.name}-{caller.sent}",
        kind=caller.source.choice(tuple(PATHS)),
        host=connection.host,
        key=caller.source.choice(("key-1", "key-2")),
        sent_s=clock.time(),
    )
    caller.records.calls.append(call)
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            _send(connection, call)
            await _receive(connection, call)
    except (OSError, h11.RemoteProtocolError):
        call.status = 0
    call.ended_s = clock.time()
    if call.status == 0 or connection.protocol.our_state is h11.MUST_CLOSE:
        return False
    with contextlib.suppress(h11.LocalProtocolError):
        connection.protocol.start_next_cycle()
        return True
    return False


def _send(connection: Connection, call: soak_records.Call) -> None:
    request = h11.Request(
        method=METHODS[call.kind],
        target=PATHS[call.kind],
        headers=[
            ("Host", "h.example"),
            ("Authorization", f"Bearer {call.key}"),
            ("X-Bitternlever-Request-Id", call.request),
            ("Content-Length", "0"),
        ],
    )
    connection.writer.write(connection.protocol.send(request))
    connection.writer.write(connection.protocol.send(h11.EndOfMessage()))


async def _receive(connection: Connection, call: soak_records.Call) -> None:
    status = 0
    while True:
        event = connection.protocol.next_event()
        if event is h11.NEED_DATA:
            data = await connection.reader.read(RECEIVE_BYTES)
            connection.protocol.receive_data(data)
        elif isinstance(event, h11.Response):
            status = event.status_code
            names = [name for name, _ in event.headers]
            call.sealed = b"x-bitternlever-response-seal" in names
        elif isinstance(event, h11.Data):
            call.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            call.status = status
            return
        elif isinstance(event, h11.ConnectionClosed):
            raise ConnectionResetError
