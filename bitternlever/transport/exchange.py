"""HTTP/1.1 exchanges with upstreams over persistent connections.

h11 parses and writes the messages. This module adds what at-most-once delivery needs: a
connection on which bytes arrive between two answers is closed, an answer that ends by a
reset is not complete, and no request is ever sent a second time.

An upstream may send without end. Reading pauses while received bytes wait for their
reader, every part of an answer has a bound, and what all connections hold has a bound
(``transport.upstream_bounds``): the one that holds the most fails if they exceed it.
"""

import asyncio
import collections
import dataclasses
import math
import socket
from collections.abc import Awaitable, Callable, Collection

import h11

from bitternlever.transport import upstream_bounds

CONNECT_TIMEOUT_S = 0.3
"""A hundred round trips between zones; TCP repeats a lost SYN only after a second."""

PROBE_TIMEOUT_S = 1.0
"""Most upstreams answer a health check within a few calls, also under load."""

MAXIMUM_PROBE_BYTES = 65_536

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
"""With these three, TCP detects a vanished peer within about four seconds."""

DEFAULT_IDLE_S = 2.0
"""Idle timeout of a connection if the upstream sends none."""

MAXIMUM_IDLE_S = 3_600.0
"""Bounds the idle timeout that an upstream names; few connections idle for so long."""

IDLE_MARGIN_S = 0.5
"""Subtracted from an upstream's idle timeout, so that its close and a request don't
cross.
"""

IDLE_SHARE = 0.1
"""Of the descriptors; what clients and requests in progress do not need."""

MAXIMUM_IDLE_CONNECTIONS = 16
"""Idle connections to keep for one address; more are rarely in use at once."""

LOST_TOGETHER_S = 0.03
"""Resets of one event arrive within a few milliseconds; a retry takes longer to run."""

TLS_PREFIX = "tls://"
"""Before the ``HOST:PORT`` of an upstream that speaks TLS."""

MAXIMUM_HEAD_BYTES = 65_536
"""Bounds a head, the line before a chunk, and the trailers."""

READ_BYTES = 32_768
"""Most answers fit; the library's own 256 KB would be kept for each connection."""

MAXIMUM_UNREAD_BYTES = 65_536
"""Reading pauses above this."""

PARSED_BYTES = 16_384
"""Passed to the parser at a time, which copies what it has not consumed."""

MAXIMUM_INTERIM_ANSWERS = 16
"""Answers with status 1xx before the final one; upstreams send one at most."""

MAXIMUM_FRAMING_BYTES = 262_144
MAXIMUM_FRAMING_FACTOR = 16
"""Bound bytes that carry no body; a chunk of one byte has five bytes of framing."""

WORK_BEFORE_YIELD = 16
"""Parts and kilobytes of content after which other tasks run; about 1 ms of work."""


class ExchangeError(Exception):
    """An exchange ended without a whole answer.

    ``sent`` is False if no byte of the request was sent, ``reused`` is True if the
    connection had served an earlier exchange, ``exceeded`` if the upstream sent more
    than a bound allows, ``lost`` if the connection ended at the upstream's side.
    """

    def __init__(
        self,
        reason: str,
        *,
        sent: bool,
        reused: bool = False,
        exceeded: bool = False,
        lost: bool = False,
    ):
        super().__init__(reason)
        self.reason = reason
        self.sent = sent
        self.reused = reused
        self.exceeded = exceeded
        self.lost = lost


@dataclasses.dataclass(slots=True, frozen=True)
class Head:
    """Status and headers of an answer; header names are in lower case."""

    status: int
    headers: list[tuple[bytes, bytes]]

    def get(self, name: bytes) -> bytes | None:
        """Return the value of the first header with this name."""
        for header, value in self.headers:
            if header == name:
                return value
        return None

    def get_all(self, name: bytes) -> list[bytes]:
        """Return the values of all headers with this name."""
        return [value for header, value in self.headers if header == name]


class Connection(asyncio.Protocol):
    """A connection to an upstream; only one task at a time may wait for data."""

    def __init__(self, pool: "Pool", address: str):
        self.pool = pool
        self.address = address
        self.parser = h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=MAXIMUM_HEAD_BYTES,
        )
        self.transport: asyncio.Transport | None = None
        self.waiter: asyncio.Future | None = None
        self.error: str | None = None
        self.at_eof = False
        self.lost = False
        self.idle = True
        self.idle_until_s = 0.0
        self.last_used_s = pool.clock()
        self.exchange_count = 0
        self.unread = bytearray()
        self.unparsed_bytes = 0
        self.kept_bytes = 0
        self.paused = False
        self.aborted = False
        self.exceeded = False
        self.eof_parsed = False
        self.parsed_bytes = 0
        self.body_bytes = 0
        self.work = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        transport.max_size = READ_BYTES
        self.pool.open += 1
        tcp_socket = transport.get_extra_info("socket")
        if tcp_socket is not None:
            enable_keepalive(tcp_socket)

    def data_received(self, data: bytes) -> None:
        self.pool.awaiting_since_s = None
        self.pool.received_s = self.pool.clock()
        if self.idle:
            self.abort("bytes between two answers")
            return
        self.unread += data
        if len(self.unread) > MAXIMUM_UNREAD_BYTES and not self.paused:
            self.paused = True
            self.transport.pause_reading()
        self.count_held()
        self._wake_waiter()

    def eof_received(self) -> bool:
        if self.idle:
            self.abort("closed while idle")
            return False
        self.at_eof = True
        self._wake_waiter()
        return self.transport.get_extra_info("sslcontext") is None

    def connection_lost(self, exc: Exception | None) -> None:
        self.pool.open -= 1
        if self.error is None and (exc is not None or not self.at_eof):
            self.error = f"connection lost: {exc}"
            self.lost = True
            self.pool.lost_s[self.address] = self.pool.clock()
        self._wake_waiter()

    def abort(self, reason: str) -> None:
        """Abort the connection; pending and later reads fail with the reason."""
        if self.error is None:
            self.error = reason
        self.aborted = True
        self.unread.clear()
        self.kept_bytes = 0
        self.count_held()
        if self.transport is not None:
            self.transport.abort()
        self._wake_waiter()

    def exceed(self, reason: str) -> None:
        """Abort the connection because more was received than a bound allows."""
        self.exceeded = True
        self.abort(reason)

    def keep(self, size: int) -> None:
        """Record how many bytes of the answer its reader keeps in memory."""
        self.kept_bytes = size
        self.count_held()

    def count_held(self) -> None:
        """Count what is held of the answer; the largest one fails at the bound."""
        size = 0
        if not self.aborted:
            size = len(self.unread) + self.unparsed_bytes + self.kept_bytes
        held = self.pool.held
        largest = upstream_bounds.hold(held, self, size)
        if largest is not None:
            largest.exceed(f"answers above {held.maximum_bytes} bytes in memory")

    @property
    def reused(self) -> bool:
        """Return whether the connection has served an earlier exchange."""
        return self.exchange_count > 1

    def incomplete_answer_error(self) -> ExchangeError:
        """Return the error of an exchange that got no whole answer."""
        return ExchangeError(
            self.error or "closed",
            sent=True,
            reused=self.reused,
            exceeded=self.exceeded,
            lost=self.lost or self.at_eof,
        )

    def _wake_waiter(self) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def next_event(self) -> h11.Event:
        """Return the next part of the answer; raise ExchangeError if none comes."""
        while True:
            if self.aborted:
                raise self.incomplete_answer_error()
            try:
                event = self.parser.next_event()
            except h11.RemoteProtocolError as error:
                self.exceeded = len(self.parser.trailing_data[0]) > MAXIMUM_HEAD_BYTES
                self.abort(f"no HTTP: {error}")
                raise self.incomplete_answer_error() from None
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                self.abort("closed before the answer")
                raise self.incomplete_answer_error()
            if event is not h11.NEED_DATA:
                size = len(event.data) if isinstance(event, h11.Data) else 0
                self.body_bytes += size
                self.work += 1 + size // 1_000
                self.unparsed_bytes = 0
                if self in self.pool.held.sizes:
                    self.count_held()
                if self.work >= WORK_BEFORE_YIELD:
                    self.work = 0
                    await asyncio.sleep(0)
                return event
            self._check_framing()
            if not self._parse_more():
                await self._wait_for_data()

    def _check_framing(self) -> None:
        """Fail if parsed bytes without content are out of proportion to the content."""
        framing_bytes = self.parsed_bytes - self.body_bytes
        maximum_bytes = MAXIMUM_FRAMING_BYTES + MAXIMUM_FRAMING_FACTOR * self.body_bytes
        if framing_bytes > maximum_bytes:
            self.exceed(f"{framing_bytes} bytes without content")
            raise self.incomplete_answer_error()

    def _parse_more(self) -> bool:
        """Pass what was received to the parser; return False if there is nothing."""
        if self.unread:
            piece = self.unread[:PARSED_BYTES]
            del self.unread[:PARSED_BYTES]
            self.parsed_bytes += len(piece)
            self.unparsed_bytes += len(piece)
            self.parser.receive_data(piece)
            if self.paused and len(self.unread) <= MAXIMUM_UNREAD_BYTES // 2:
                self.paused = False
                self.transport.resume_reading()
            return True
        if self.at_eof and not self.eof_parsed:
            self.eof_parsed = True
            self.parser.receive_data(b"")
            return True
        return False

    async def _wait_for_data(self) -> None:
        if self.error is not None:
            raise self.incomplete_answer_error()
        self.work = 0
        self.waiter = asyncio.get_running_loop().create_future()
        try:
            await self.waiter
        finally:
            self.waiter = None


@dataclasses.dataclass(slots=True)
class Pool:
    """Idle connections by address, the most recently used last.

    ``open`` counts the connections; at most ``maximum_idle`` are kept while idle.
    ``held`` is what all of them hold.
    ``failed_dials`` are the addresses that could not be dialled since a connection was
    last established, ``lost_s`` tells when the last connection to an address was lost.
    ``awaiting_since_s`` is when a request was sent after which no byte has come,
    ``received_s`` when the last one came; ``bytes_sent`` counts those of all requests.
    """

    clock: Callable[[], float]
    idle: dict[str, collections.deque[Connection]] = dataclasses.field(
        default_factory=dict,
    )
    held: upstream_bounds.Held = dataclasses.field(
        default_factory=upstream_bounds.create
    )
    open: int = 0
    maximum_idle: int = 1_024
    opened: int = 0
    reused: int = 0
    bytes_sent: int = 0
    failed_dials: set[str] = dataclasses.field(default_factory=set)
    lost_s: dict[str, float] = dataclasses.field(default_factory=dict)
    awaiting_since_s: float | None = None
    received_s: float = -math.inf


def maximum_idle(descriptors: int) -> int:
    """Return how many idle connections a process with so many descriptors may keep."""
    return max(MAXIMUM_IDLE_CONNECTIONS, int(descriptors * IDLE_SHARE))


def enable_keepalive(tcp_socket: socket.socket) -> None:
    """Enable TCP keepalive, by which the kernel detects a vanished peer."""
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    tcp_socket.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    tcp_socket.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    tcp_socket.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


async def send(
    pool: Pool,
    address: str,
    method: bytes,
    target: bytes,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
    maximum_idle_s: float,
    before_write: Callable[[], None] | None = None,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
    carried_before: Collection[Connection] = (),
) -> Connection:
    """Send a request and return its connection: an idle one of the pool, or a new one.

    A connection that was idle for longer than ``maximum_idle_s`` is not used, nor is
    one of ``carried_before``, which have carried this request: the answer to the
    earlier send may come once more, and would be taken for that to this one. Raise
    ExchangeError with ``sent`` False if no connection can be opened. ``before_write``
    is called when the connection stands; if it raises, nothing is sent.
    """
    connection = _take_idle(pool, address, maximum_idle_s, carried_before)
    if connection is None:
        connection = await _connect(pool, address, connect_timeout_s)
    if before_write is not None:
        try:
            before_write()
        except BaseException:
            connection.abort("not used")
            raise
    connection.idle = False
    connection.exchange_count += 1
    connection.parsed_bytes = 0
    connection.body_bytes = 0
    parser = connection.parser
    try:
        data = parser.send(h11.Request(method=method, target=target, headers=headers))
        if body:
            data += parser.send(h11.Data(data=body))
        data += parser.send(h11.EndOfMessage())
    except h11.LocalProtocolError as error:
        connection.abort("a request that HTTP does not allow")
        raise ExchangeError(str(error), sent=False) from None
    connection.transport.write(data)
    pool.bytes_sent += len(data)
    if pool.awaiting_since_s is None:
        pool.awaiting_since_s = pool.clock()
    return connection


async def probe(pool: Pool, address: str, target: bytes) -> bool | None:
    """Return whether an address answers a GET request, whatever the answer is.

    A connection that is accepted shows no reach: a proxy or address translation on the
    way may have accepted it. Return None if it is accepted and left silent: the address
    may be slow. It counts as reached if any other one sends something meanwhile.
    """
    started_s = pool.clock()
    headers = [(b"Host", address.encode())]
    connection = None
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            connection = await send(
                pool, address, b"GET", target, headers, b"", maximum_idle_s=0.0
            )
            head = await read_head(connection)
            await drop_body(connection, MAXIMUM_PROBE_BYTES)
        release(pool, address, connection, head)
    except TimeoutError:
        return True if pool.received_s >= started_s else None
    except ExchangeError:
        return connection is not None and connection.parsed_bytes > 0
    finally:
        if connection is not None and not connection.idle:
            discard(connection)
    return True


def lost_together(pool: Pool, now: float) -> bool:
    """Return whether connections to several addresses were lost a moment ago.

    The network has lost them, not an upstream that crashed. Older losses are dropped.
    """
    for address, lost_s in list(pool.lost_s.items()):
        if now - lost_s > LOST_TOGETHER_S:
            del pool.lost_s[address]
    return len(pool.lost_s) > 1


async def read_head(connection: Connection) -> Head:
    """Return the head of the answer; raise ExchangeError if none comes."""
    for _ in range(MAXIMUM_INTERIM_ANSWERS + 1):
        event = await connection.next_event()
        if isinstance(event, h11.Response):
            return Head(status=event.status_code, headers=list(event.headers))
        if not isinstance(event, h11.InformationalResponse):
            connection.abort("no head of an answer")
            raise connection.incomplete_answer_error()
    connection.exceed(f"more than {MAXIMUM_INTERIM_ANSWERS} interim answers")
    raise connection.incomplete_answer_error()


async def read_chunk(connection: Connection) -> bytes | None:
    """Return the next bytes of the body, None at its end."""
    event = await connection.next_event()
    if not isinstance(event, h11.Data):
        return None
    return bytes(event.data)


async def read_body(
    pool: Pool,
    connection: Connection,
    maximum_bytes: int,
    read: Callable[[Connection], Awaitable[bytes | None]] = read_chunk,
) -> bytes:
    """Return the whole body; raise ExchangeError if it is cut off or too large.

    ``read`` reads the next bytes, and may limit the time for them.
    """
    chunks: list[bytes] = []
    try:
        while True:
            chunk = await read(connection)
            if chunk is None:
                return chunks[0] if len(chunks) == 1 else b"".join(chunks)
            chunks.append(chunk)
            if connection.body_bytes > maximum_bytes:
                connection.exceed(f"an answer above {maximum_bytes} bytes")
                raise connection.incomplete_answer_error()
            connection.keep(connection.kept_bytes + len(chunk))
    finally:
        connection.keep(0)


async def drop_body(connection: Connection, maximum_bytes: int) -> None:
    """Read the rest of an answer without keeping it; raise ExchangeError as above."""
    while (await read_chunk(connection)) is not None:
        if connection.body_bytes > maximum_bytes:
            connection.exceed(f"an answer above {maximum_bytes} bytes")
            raise connection.incomplete_answer_error()


def has_framing(head: Head) -> bool:
    """Return whether the end of the body is marked, not just the connection's end."""
    return (
        head.get(b"content-length") is not None
        or head.get(b"transfer-encoding") is not None
    )


def release(pool: Pool, address: str, connection: Connection, head: Head) -> None:
    """Return a connection to the pool if it can be reused, else close it."""
    parser = connection.parser
    if connection.error is not None or connection.at_eof:
        connection.abort("ended")
        return
    if parser.our_state is not h11.DONE or parser.their_state is not h11.DONE:
        connection.abort("not reusable")
        return
    if parser.trailing_data[0] or connection.unread:
        connection.abort("bytes behind the answer")
        return
    now = pool.clock()
    idle_timeout_s = _idle_timeout_s(head)
    idle_connections = pool.idle.setdefault(address, collections.deque())
    if idle_timeout_s <= 0 or len(idle_connections) >= MAXIMUM_IDLE_CONNECTIONS:
        connection.abort("not kept")
        return
    if sum(map(len, pool.idle.values())) >= pool.maximum_idle:
        connection.abort("not kept: too many idle connections")
        return
    parser.start_next_cycle()
    connection.idle = True
    connection.last_used_s = now
    connection.idle_until_s = now + idle_timeout_s
    idle_connections.append(connection)


def discard(connection: Connection) -> None:
    """Close a connection, so that the upstream stops working on its request."""
    connection.abort("given up")


def close_idle_connections(pool: Pool, address: str) -> None:
    """Close the idle connections to an address."""
    for connection in pool.idle.pop(address, ()):
        connection.abort("upstream gone")


def close_expired(pool: Pool) -> None:
    """Close the connections that have reached their idle timeout."""
    now = pool.clock()
    for address in list(pool.idle):
        connections = pool.idle[address]
        while connections and (
            connections[0].error is not None or connections[0].idle_until_s <= now
        ):
            connections.popleft().abort("idle")
        if not connections:
            del pool.idle[address]


def _take_idle(
    pool: Pool,
    address: str,
    maximum_idle_s: float,
    carried_before: Collection[Connection],
) -> Connection | None:
    connections = pool.idle.get(address)
    now = pool.clock()
    while connections:
        connection = connections.pop()
        if connection.error is not None or now >= connection.idle_until_s:
            connection.abort("idle")
            continue
        if connection in carried_before:
            connection.abort("has carried this request")
            continue
        if now - connection.last_used_s > maximum_idle_s:
            connections.append(connection)
            return None
        pool.reused += 1
        return connection
    return None


async def _connect(pool: Pool, address: str, timeout_s: float) -> Connection:
    """Dial an address; raise ExchangeError also for one that cannot be dialled.

    A port outside of 16 bits raises OverflowError, a host that is no name ValueError.
    """
    location, _, port = address.rpartition(":")
    host = location.removeprefix(TLS_PREFIX)
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: Connection(pool, address),
                host.strip("[]"),
                int(port),
                ssl=True if location.startswith(TLS_PREFIX) else None,
            )
    except (OSError, TimeoutError, ValueError, OverflowError) as error:
        pool.failed_dials.add(address)
        reason = f"no connection to {address}: {error!r}"
        raise ExchangeError(reason, sent=False) from None
    pool.opened += 1
    pool.failed_dials.clear()
    return connection


def _idle_timeout_s(head: Head) -> float:
    """Return the idle timeout that the upstream asks for, less a margin."""
    closes = head.get(b"connection")
    if closes is not None and b"close" in closes.lower():
        return 0.0
    value = head.get(b"keep-alive")
    if value is None:
        return DEFAULT_IDLE_S
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.strip().isdigit():
            return min(float(seconds), MAXIMUM_IDLE_S) - IDLE_MARGIN_S
    return DEFAULT_IDLE_S
