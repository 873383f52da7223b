"""Callers that keep a connection until it ends; each request is recorded."""

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import Awaitable, Callable

import h11

from soak import records as soak_records

PAUSE_S = (0.02, 0.25)
"""From a caller in a hurry to one whose connection idles between requests."""

RECONNECT_PAUSE_S = 0.1
"""So that a fleet without a host is not asked in a tight loop."""

CONNECT_WITHIN_S = 1.0
"""As the users' callers allow for a new connection."""

GIVE_UP_S = 12.0
"""Far above the routes' timeout, so that a late answer is seen as one."""

RECEIVE_BYTES = 65_536
"""More than a whole answer."""

PATHS = {"idempotent": "/read/x", "non_idempotent": "/write/x"}
METHODS = {"idempotent": "GET", "non_idempotent": "POST"}


@dataclasses.dataclass(slots=True)
class Caller:
    """A caller; ``resolve`` returns the name and address of a host to use, or None."""

    name: str
    records: soak_records.Records
    source: random.Random
    resolve: Callable[[], Awaitable[tuple[str, str] | None]]
    stopping: asyncio.Event
    sent: int = 0


@dataclasses.dataclass(slots=True)
class Channel:
    """An open connection to a host."""

    host: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    protocol: h11.Connection


async def run(caller: Caller) -> None:
    """Send requests one after the other until told to stop."""
    while not caller.stopping.is_set():
        channel = await _connect(caller)
        if channel is None:
            await asyncio.sleep(RECONNECT_PAUSE_S)
            continue
        while not caller.stopping.is_set():
            if not await _call(caller, channel):
                break
            await asyncio.sleep(caller.source.uniform(*PAUSE_S))
        channel.writer.close()


async def _connect(caller: Caller) -> Channel | None:
    resolved = await caller.resolve()
    if resolved is None:
        return None
    host, address = resolved
    ip, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CONNECT_WITHIN_S):
            reader, writer = await asyncio.open_connection(ip, int(port))
    except OSError:
        return None
    return Channel(host, reader, writer, h11.Connection(h11.CLIENT))


async def _call(caller: Caller, channel: Channel) -> bool:
    """Make one request; return whether the connection can carry another one."""
    clock = asyncio.get_running_loop()
    caller.sent += 1
    call = soak_records.Call(
        request=f"{caller.name}-{caller.sent}",
        kind=caller.source.choice(tuple(PATHS)),
        host=channel.host,
        key=caller.source.choice(("key-1", "key-2")),
        sent_s=clock.time(),
    )
    caller.records.calls.append(call)
    try:
        async with asyncio.timeout(GIVE_UP_S):
            _send(channel, call)
            await _receive(channel, call)
    except (OSError, h11.RemoteProtocolError):
        call.status = 0
    call.ended_s = clock.time()
    if call.status == 0 or channel.protocol.our_state is h11.MUST_CLOSE:
        return False
    with contextlib.suppress(h11.LocalProtocolError):
        channel.protocol.start_next_cycle()
        return True
    return False


def _send(channel: Channel, call: soak_records.Call) -> None:
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
    channel.writer.write(channel.protocol.send(request))
    channel.writer.write(channel.protocol.send(h11.EndOfMessage()))


async def _receive(channel: Channel, call: soak_records.Call) -> None:
    status = 0
    while True:
        event = channel.protocol.next_event()
        if event is h11.NEED_DATA:
            data = await channel.reader.read(RECEIVE_BYTES)
            channel.protocol.receive_data(data)
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
