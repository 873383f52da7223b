"""A TCP relay that delays, resets, silences or cuts the connections through it.

Open connections can be silenced permanently while new ones work. A cut relay accepts
connections and forwards nothing; a connection that has lost bytes stays silent after
the cut ends.
"""

import asyncio
import contextlib
import dataclasses

from standins import scripted_upstream

CHUNK_BYTES = 65_536


@dataclasses.dataclass(slots=True)
class Relay:
    """A relay's target, its current faults and its connections.

    Its connections share ``bytes_per_s``; what was read so far is through at
    ``free_s``, a time of the event loop.
    """

    target: tuple[str, int]
    server: asyncio.Server | None = None
    connections: set["Connection"] = dataclasses.field(default_factory=set)
    accepted: int = 0
    delay_s: float = 0.0
    bytes_per_s: float | None = None
    free_s: float = 0.0
    cut: bool = False

    @property
    def port(self) -> int:
        """Return the port that the relay listens on."""
        return self.server.sockets[0].getsockname()[1]


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """One relayed connection; a silent one discards the data of both sides."""

    client_writer: asyncio.StreamWriter
    target_writer: asyncio.StreamWriter | None = None
    silent: bool = False


async def listen(
    target: tuple[str, int],
    host: str = "127.0.0.1",
    port: int = 0,
) -> Relay:
    """Relay a loopback address, by default with a free port, to ``target``."""
    relay = Relay(target=target)

    async def accept(reader, writer) -> None:
        await _relay(relay, reader, writer)

    relay.server = await asyncio.start_server(accept, host, port)
    return relay


@contextlib.asynccontextmanager
async def start(host: str, port: int):
    """Relay a free loopback port to ``host`` and ``port`` within the context."""
    relay = await listen((host, port))
    try:
        yield relay
    finally:
        relay.server.close()


def silence(relay: Relay) -> None:
    """Silence every open connection permanently without closing it."""
    for connection in relay.connections:
        connection.silent = True


def reset(relay: Relay) -> None:
    """Reset every open connection on both sides."""
    for connection in list(relay.connections):
        for writer in (connection.client_writer, connection.target_writer):
            if writer is not None:
                scripted_upstream.abort(writer)


def close(relay: Relay) -> None:
    """Stop listening and reset every connection."""
    relay.server.close()
    reset(relay)


async def _relay(relay: Relay, reader, writer) -> None:
    connection = Connection(client_writer=writer)
    relay.connections.add(connection)
    relay.accepted += 1
    with contextlib.suppress(OSError):
        target_reader, connection.target_writer = await asyncio.open_connection(
            *relay.target
        )
        pumps = (
            asyncio.ensure_future(
                _pump(relay, connection, reader, connection.target_writer)
            ),
            asyncio.ensure_future(_pump(relay, connection, target_reader, writer)),
        )
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            connection.target_writer.close()
    writer.close()
    relay.connections.discard(connection)


async def _wait_for_link(relay: Relay, size: int) -> None:
    now = asyncio.get_running_loop().time()
    relay.free_s = max(now, relay.free_s) + size / relay.bytes_per_s
    await asyncio.sleep(relay.free_s - now)


async def _pump(relay: Relay, connection: Connection, reader, writer) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(CHUNK_BYTES):
            if relay.bytes_per_s is not None:
                await _wait_for_link(relay, len(data))
            if relay.delay_s:
                await asyncio.sleep(relay.delay_s)
            if relay.cut:
                connection.silent = True
            if not connection.silent:
                writer.write(data)
                await writer.drain()
        writer.close()
