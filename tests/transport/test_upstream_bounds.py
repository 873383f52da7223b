"""What the answers of upstreams may make a process hold, all together."""

import h11

from bitternlever.transport import exchange, upstream_bounds

CONNECTIONS = 400
UNREAD_BYTES = 100_000


class Transport:
    """A transport that keeps what its protocol does with it."""

    def __init__(self):
        self.closed = False

    def get_extra_info(self, name):
        return None

    def pause_reading(self):
        pass

    def abort(self):
        self.closed = True


def connect(pool, address="upstream:80"):
    connection = exchange.Connection(pool, address)
    connection.connection_made(Transport())
    connection.idle = False
    return connection


def answer(pool, connection):
    """Let a connection carry one whole exchange and return it to its pool."""
    connection.parser.send(
        h11.Request(method="GET", target="/", headers=[("Host", "h")])
    )
    connection.parser.send(h11.EndOfMessage())
    connection.parser.receive_data(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    head = connection.parser.next_event()
    connection.parser.next_event()
    exchange.release(
        pool,
        connection.address,
        connection,
        exchange.Head(head.status_code, list(head.headers)),
    )


def test_idle_connections_to_many_upstreams_leave_descriptors_for_callers():
    maximum = exchange.maximum_idle(1_638)
    pool = exchange.Pool(clock=lambda: 0.0, maximum_idle=maximum)
    connections = []
    for number in range(100):
        for _ in range(8):
            connections.append(connect(pool, f"upstream-{number}:80"))
            answer(pool, connections[-1])

    kept = [connection for connection in connections if not connection.aborted]
    assert len(kept) == maximum == 163


def held_bytes(connections):
    return sum(len(connection.unread) for connection in connections)


def test_answers_that_nobody_reads_share_a_bound():
    pool = exchange.Pool(clock=lambda: 0.0)
    sound = connect(pool)
    sound.data_received(b"HTTP/1.1 200 OK\r\n")
    endless = [connect(pool) for _ in range(CONNECTIONS)]

    for connection in endless:
        connection.data_received(b"x" * UNREAD_BYTES)

    assert held_bytes(endless) <= pool.held.maximum_bytes
    assert any(connection.aborted for connection in endless)
    assert not all(connection.aborted for connection in endless)
    assert not sound.aborted


def test_the_largest_answer_ends_first():
    held = upstream_bounds.Held(100_000)

    assert upstream_bounds.hold(held, "a", 60_000) is None
    assert upstream_bounds.hold(held, "b", 30_000) is None
    assert upstream_bounds.hold(held, "c", 20_000) == "a"
    assert upstream_bounds.hold(held, "a", 0) is None
    assert held.total_bytes == 50_000


def test_answers_as_small_as_usual_are_not_counted():
    held = upstream_bounds.Held(10_000)

    for number in range(1_000):
        assert upstream_bounds.hold(held, number, 4_000) is None
    assert held.sizes == {}
