"""A TCP relay whose open connections can go silent while new ones work."""

import asyncio
import contextlib
import dataclasses

CHUNK_BYTES = 65_536


@dataclasses.dataclass(slots=True)
class Relay:
    """The relay's address and its connections, of which some are silent."""

    target: tuple[str, int]
    server: asyncio.Server | None = None
    connections: set["Connection"] = dataclasses.field(default_factory=set)
    accepted: int = 0

    @property
    def port(self) -> int:
        """Return the port at which the relay listens."""
        return self.server.sockets[0].getsockname()[1]


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """One relayed connection; a silent one swallows what either side sends."""

    silent: bool = False


@contextlib.asynccontextmanager
async def start(host: str, port: int):
    """Relay a free loopback port to ``host`` and ``port``."""
    relay = Relay(target=(host, port))

    async def accept(reader, writer) -> None:
        await _relay(relay, reader, writer)

    relay.server = await asyncio.start_server(accept, "127.0.0.1", 0)
    try:
        yield relay
    finally:
        relay.server.close()


def silence(relay: Relay) -> None:
    """Let every open connection go silent for good; none is closed."""
    for connection in relay.connections:
        connection.silent = True


async def _relay(relay: Relay, reader, writer) -> None:
    connection = Connection()
    relay.connections.add(connection)
    relay.accepted += 1
    with contextlib.suppress(OSError):
        far_reader, far_writer = await asyncio.open_connection(*relay.target)
        ways = (
            asyncio.ensure_future(_pump(connection, reader, far_writer)),
            asyncio.ensure_future(_pump(connection, far_reader, writer)),
        )
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            far_writer.close()
    writer.close()
    relay.connections.discard(connection)


async def _pump(connection: Connection, reader, writer) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(CHUNK_BYTES):
            if not connection.silent:
                writer.write(data)
                await writer.drain()
