"""What the answers of upstreams may make a process hold, all together."""

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


def connect(pool):
    connection = exchange.Connection(pool, "upstream:80")
    connection.connection_made(Transport())
    connection.idle = False
    return connection


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
