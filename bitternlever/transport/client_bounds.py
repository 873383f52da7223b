"""What the connections of clients that are not controlled may make a process hold.

The load: clients that open connections and send no request, send requests ahead and
read no answers, or send bodies on many connections at once. Each is bounded on its own
connection; the bounds here hold for all connections of a process together. At a bound
the connection that keeps the others from being served is closed, so that ordinary
callers still get in.
"""

import dataclasses
from collections.abc import Hashable

DEFAULT_MEMORY_BYTES = 512_000_000
"""Of a process whose settings state no limit."""

MEMORY_SHARE = 0.25
"""The rest is the process's own, its requests' and the libraries'."""

MINIMUM_HELD_BYTES = 8_000_000
"""A body of the greatest size that callers usually send fits twice."""

RESERVED_DESCRIPTORS = 200
"""For files, links and the listening sockets."""

CLIENT_SHARE = 0.45
"""Of the descriptors; each connection may need another one to an upstream."""

MINIMUM_CONNECTIONS = 32


@dataclasses.dataclass(slots=True)
class Clients:
    """The connections of all listeners of a process.

    ``waiting`` are those from which the process expects more of a request, the one
    that has sent nothing for longest first. ``arriving`` has the bytes received of
    requests that are not complete or wait behind others, ``unread`` those of answers
    that wait for their client.
    """

    maximum_connections: int
    maximum_bytes: int
    connections: set[Hashable] = dataclasses.field(default_factory=set)
    waiting: dict[Hashable, None] = dataclasses.field(default_factory=dict)
    arriving: dict[Hashable, int] = dataclasses.field(default_factory=dict)
    unread: dict[Hashable, int] = dataclasses.field(default_factory=dict)
    held_bytes: int = 0
    closed: int = 0


def create(descriptors: int, memory_bytes: int = DEFAULT_MEMORY_BYTES) -> Clients:
    """Return the state for a process with limits on descriptors and memory."""
    connections = int((descriptors - RESERVED_DESCRIPTORS) * CLIENT_SHARE)
    return Clients(
        maximum_connections=max(MINIMUM_CONNECTIONS, connections),
        maximum_bytes=max(MINIMUM_HELD_BYTES, int(memory_bytes * MEMORY_SHARE)),
    )


def open_connection(clients: Clients, connection: Hashable) -> Hashable | None:
    """Add a connection; return one to close instead if there are too many.

    Load: more connections than descriptors, most of which send no whole request. The
    one that was silent for longest goes, then one that does not read its answers.
    """
    clients.connections.add(connection)
    expect_request(clients, connection)
    if len(clients.connections) <= clients.maximum_connections:
        return None
    oldest = next(iter(clients.waiting))
    if oldest is connection and clients.unread:
        return next(iter(clients.unread))
    return oldest


def close_connection(clients: Clients, connection: Hashable) -> None:
    """Forget a connection and what it held."""
    clients.connections.discard(connection)
    clients.waiting.pop(connection, None)
    _set(clients, clients.arriving, connection, 0)
    _set(clients, clients.unread, connection, 0)


def expect_request(clients: Clients, connection: Hashable) -> None:
    """Note that a connection has just sent something, or got its last answer."""
    clients.waiting.pop(connection, None)
    clients.waiting[connection] = None


def complete_request(clients: Clients, connection: Hashable) -> None:
    """Note that a connection waits for the process, not the process for it."""
    clients.waiting.pop(connection, None)


def set_arriving(clients: Clients, connection: Hashable, size: int) -> Hashable | None:
    """Record the bytes that a connection sent; return one to close, if any.

    Load: large bodies, or requests sent ahead, on many connections at once.
    """
    _set(clients, clients.arriving, connection, size)
    return _largest_over_bound(clients)


def set_unread(clients: Clients, connection: Hashable, size: int) -> Hashable | None:
    """Record the bytes that a client has not read; return one to close, if any.

    Load: clients that ask for large answers on many connections and read none.
    """
    _set(clients, clients.unread, connection, size)
    return _largest_over_bound(clients)


def reads_nothing(before_bytes: int, now_bytes: int) -> bool:
    """Return whether a client read none of the bytes that waited for it.

    Load: a client that reads slowly beside one that does not read at all.
    """
    return now_bytes >= before_bytes


def _set(
    clients: Clients, sizes: dict[Hashable, int], connection: Hashable, size: int
) -> None:
    clients.held_bytes += size - sizes.pop(connection, 0)
    if size:
        sizes[connection] = size


def _largest_over_bound(clients: Clients) -> Hashable | None:
    if clients.held_bytes <= clients.maximum_bytes:
        return None
    held = {*clients.arriving, *clients.unread}
    return max(
        held,
        key=lambda connection: (
            clients.arriving.get(connection, 0) + clients.unread.get(connection, 0)
        ),
    )
