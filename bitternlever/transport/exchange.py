"""HTTP/1.1 exchanges with upstreams over kept connections.

h11 parses and writes; this module adds what at-most-once delivery needs to know: a
connection on which anything arrives between two answers is closed, an answer that ends
by a reset is not complete, and nothing is ever sent a second time.
"""

import asyncio
import collections
import dataclasses
import socket
from collections.abc import Callable

import h11

CONNECT_TIMEOUT_S = 0.3
"""A hundred times a round trip between zones; a lost first packet costs a second."""

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
"""A peer that is gone without a word is noticed within about four seconds."""

DEFAULT_IDLE_S = 2.0
"""How long a connection is kept where the upstream names no time."""

IDLE_MARGIN_S = 0.5
"""Left of the upstream's idle time, so that its close and our request don't cross."""

MAXIMUM_IDLE = 16
"""Kept connections to one upstream; more are rarely in use at once."""

MAXIMUM_HEAD_BYTES = 65_536
MAXIMUM_BUFFERED_BYTES = 262_144


class ExchangeError(Exception):
    """An exchange ended without a whole answer; ``sent`` tells if any byte left.

    ``kept`` tells whether the connection had been used before.
    """

    def __init__(self, reason: str, *, sent: bool, kept: bool = False):
        super().__init__(reason)
        self.reason = reason
        self.sent = sent
        self.kept = kept


@dataclasses.dataclass(slots=True, frozen=True)
class Head:
    """Status and headers of an answer, names in lower case."""

    status: int
    headers: list[tuple[bytes, bytes]]

    def get(self, name: bytes) -> bytes | None:
        """Return the first header of this name."""
        for each, value in self.headers:
            if each == name:
                return value
        return None


class Connection(asyncio.Protocol):
    """One connection; reads are taken by one waiter at a time."""

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self.parser = h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=MAXIMUM_HEAD_BYTES,
        )
        self.transport: asyncio.Transport | None = None
        self.waiter: asyncio.Future | None = None
        self.error: str | None = None
        self.ended = False
        self.idle = True
        self.idle_until_s = 0.0
        self.used_s = clock()
        self.exchanges = 0
        self.paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        own_socket = transport.get_extra_info("socket")
        if own_socket is not None:
            keep_alive(own_socket)

    def data_received(self, data: bytes) -> None:
        if self.idle:
            self.fail("bytes between two answers")
            return
        self.parser.receive_data(data)
        self._wake()

    def eof_received(self) -> bool:
        if self.idle:
            self.fail("closed while idle")
            return False
        self.ended = True
        self.parser.receive_data(b"")
        self._wake()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is not None or not self.ended:
            self.fail(f"connection lost: {exc}")
        self._wake()

    def fail(self, reason: str) -> None:
        """Close the connection; who waits, and who comes later, gets the reason."""
        if self.error is None:
            self.error = reason
        if self.transport is not None:
            self.transport.abort()
        self._wake()

    @property
    def kept(self) -> bool:
        """Tell whether the connection has served an earlier exchange."""
        return self.exchanges > 1

    def ended_early(self) -> ExchangeError:
        """Return the error of an exchange that got no whole answer."""
        return ExchangeError(self.error or "closed", sent=True, kept=self.kept)

    def _wake(self) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def next_event(self) -> h11.Event:
        """Return the next part of the answer; raise ExchangeError where none comes."""
        while True:
            try:
                event = self.parser.next_event()
            except h11.RemoteProtocolError as error:
                self.fail(f"no HTTP: {error}")
                raise self.ended_early() from None
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                self.fail("closed before the answer")
                raise self.ended_early()
            if event is not h11.NEED_DATA:
                return event
            if self.error is not None:
                raise self.ended_early()
            self.waiter = asyncio.get_running_loop().create_future()
            try:
                await self.waiter
            finally:
                self.waiter = None


@dataclasses.dataclass(slots=True)
class Pool:
    """Idle connections to each address, the newest last."""

    clock: Callable[[], float]
    idle: dict[str, collections.deque[Connection]] = dataclasses.field(
        default_factory=dict,
    )
    opened: int = 0
    reused: int = 0


def keep_alive(own_socket: socket.socket) -> None:
    """Have the system find out when the peer of a connection is gone."""
    own_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    own_socket.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    own_socket.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    own_socket.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


async def send(
    pool: Pool,
    address: str,
    method: bytes,
    target: bytes,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
    maximum_idle_s: float,
) -> Connection:
    """Send a request on a kept connection idle for less than given, or a new one.

    Raise ExchangeError with ``sent`` false where no connection could be had.
    """
    connection = _take_idle(pool, address, maximum_idle_s)
    if connection is None:
        connection = await _connect(pool, address)
    connection.idle = False
    connection.exchanges += 1
    parser = connection.parser
    try:
        data = parser.send(h11.Request(method=method, target=target, headers=headers))
        if body:
            data += parser.send(h11.Data(data=body))
        data += parser.send(h11.EndOfMessage())
    except h11.LocalProtocolError as error:
        connection.fail("a request that HTTP does not allow")
        raise ExchangeError(str(error), sent=False) from None
    connection.transport.write(data)
    return connection


async def read_head(connection: Connection) -> Head:
    """Return the head of the answer; raise ExchangeError where none comes."""
    while True:
        event = await connection.next_event()
        if isinstance(event, h11.Response):
            return Head(status=event.status_code, headers=list(event.headers))
        if not isinstance(event, h11.InformationalResponse):
            connection.fail("no head of an answer")
            raise connection.ended_early()


async def read_piece(connection: Connection) -> bytes | None:
    """Return what has arrived of the body, None at its end."""
    event = await connection.next_event()
    if isinstance(event, h11.Data):
        return bytes(event.data)
    return None


async def read_whole(connection: Connection, maximum_bytes: int) -> bytes:
    """Return the whole body; raise ExchangeError where it is cut or too large."""
    body = bytearray()
    while True:
        piece = await read_piece(connection)
        if piece is None:
            return bytes(body)
        body += piece
        if len(body) > maximum_bytes:
            connection.fail(f"an answer above {maximum_bytes} bytes")
            raise connection.ended_early()


def release(pool: Pool, address: str, connection: Connection, head: Head) -> None:
    """Keep a connection whose answer is complete, or close it."""
    parser = connection.parser
    if connection.error is not None or connection.ended:
        connection.fail("ended")
        return
    if parser.our_state is not h11.DONE or parser.their_state is not h11.DONE:
        connection.fail("not reusable")
        return
    if parser.trailing_data[0]:
        connection.fail("bytes behind the answer")
        return
    now = pool.clock()
    idle_s = _idle_s(head)
    kept = pool.idle.setdefault(address, collections.deque())
    if idle_s <= 0 or len(kept) >= MAXIMUM_IDLE:
        connection.fail("not kept")
        return
    parser.start_next_cycle()
    connection.idle = True
    connection.used_s = now
    connection.idle_until_s = now + idle_s
    kept.append(connection)


def discard(connection: Connection) -> None:
    """Close a connection, so that its upstream stops the work."""
    connection.fail("given up")


def close_address(pool: Pool, address: str) -> None:
    """Close what is kept to an address."""
    for connection in pool.idle.pop(address, ()):
        connection.fail("upstream gone")


def expire(pool: Pool) -> None:
    """Close what has been idle for as long as its upstream allows."""
    now = pool.clock()
    for address in list(pool.idle):
        kept = pool.idle[address]
        while kept and (kept[0].error is not None or kept[0].idle_until_s <= now):
            kept.popleft().fail("idle")
        if not kept:
            del pool.idle[address]


def _take_idle(pool: Pool, address: str, maximum_idle_s: float) -> Connection | None:
    kept = pool.idle.get(address)
    now = pool.clock()
    while kept:
        connection = kept.pop()
        if connection.error is not None or now >= connection.idle_until_s:
            connection.fail("idle")
            continue
        if now - connection.used_s > maximum_idle_s:
            kept.append(connection)
            return None
        pool.reused += 1
        return connection
    return None


async def _connect(pool: Pool, address: str) -> Connection:
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(
                lambda: Connection(pool.clock),
                host,
                int(port),
            )
    except (OSError, TimeoutError, ValueError) as error:
        reason = f"no connection to {address}: {error!r}"
        raise ExchangeError(reason, sent=False) from None
    pool.opened += 1
    return connection


def _idle_s(head: Head) -> float:
    """Return how long the upstream keeps the connection open, with a margin."""
    closes = head.get(b"connection")
    if closes is not None and b"close" in closes.lower():
        return 0.0
    value = head.get(b"keep-alive")
    if value is None:
        return DEFAULT_IDLE_S
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.strip().isdigit():
            return int(seconds) - IDLE_MARGIN_S
    return DEFAULT_IDLE_S
