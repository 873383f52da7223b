"""The order lease: one holder, fencing numbers, and the quiet time for late orders."""

import dataclasses

import pytest

from bitternlever.messages import directory
from tests.consensus import harness

CLOCK_RATE_ERROR = 0.01


@dataclasses.dataclass
class EngineWithoutFencing:
    """An engine that accepts every order, whatever its fencing number."""

    arrivals: list = dataclasses.field(default_factory=list)

    def deliver(self, at_s, fencing):
        self.arrivals.append((at_s, fencing))

    def result(self):
        return max(self.arrivals)[1]


def started(seed=0):
    cluster = harness.Cluster(nodes=3, seed=seed)
    cluster.run(3.0)
    return cluster


def host(cluster, name):
    """Acquire a lease for a host; return its name and epoch."""
    lease = directory.AcquireHostLease(name, "run-1", "address", f"tcp://{name}", "")
    return name, cluster.ask(lease).epoch


def acquire(cluster, owner):
    return cluster.ask(directory.AcquireOrderLease(*owner))


def keep(cluster, owners, seconds):
    """Advance time while renewing host leases."""
    end = cluster.now + seconds
    while cluster.now < end:
        for name, epoch in owners:
            cluster.call(directory.RenewHostLease(name, epoch, 0))
        cluster.run(0.5)


def record(fencing, state="sent"):
    return directory.RecordOrder(fencing, "engine-1", ["m"], [], "generate", state)


def test_one_host_holds_the_order_lease():
    cluster = started()
    x, y = host(cluster, "x"), host(cluster, "y")

    granted = acquire(cluster, x)

    assert granted.fencing == 1
    assert acquire(cluster, y) == directory.OrderLeaseHeld(holder="x")


def test_of_two_hosts_at_once_exactly_one_gets_the_lease():
    cluster = started()
    x, y = host(cluster, "x"), host(cluster, "y")
    leader = cluster.leader()
    first = cluster.call(directory.AcquireOrderLease(*x), to=leader)
    second = cluster.call(directory.AcquireOrderLease(*y), to=leader)

    cluster.run(0.5)

    kinds = [type(cluster.replies[call_id]) for call_id in (first, second)]
    assert kinds.count(directory.OrderLeaseGranted) == 1


def test_the_holder_keeps_its_fencing_number():
    cluster = started()
    x = host(cluster, "x")
    acquire(cluster, x)
    keep(cluster, [x], 2.0)

    assert acquire(cluster, x).fencing == 1


def test_a_new_holder_gets_a_higher_number_and_a_quiet_time():
    cluster = started()
    x, y = host(cluster, "x"), host(cluster, "y")
    acquire(cluster, x)
    keep(cluster, [y], 6.0)

    granted = acquire(cluster, y)

    assert granted.fencing == 2
    assert granted.quiet_s == 3.0


def test_a_record_under_an_old_number_is_refused():
    cluster = started()
    x, y = host(cluster, "x"), host(cluster, "y")
    acquire(cluster, x)
    assert cluster.ask(record(1)) == directory.OrderRecorded("engine-1")
    keep(cluster, [y], 6.0)
    acquire(cluster, y)

    assert cluster.ask(record(1)) == directory.OrderRefused(fencing_in_force=2)


def test_status_lists_the_last_order_of_each_engine():
    cluster = started()
    x = host(cluster, "x")
    acquire(cluster, x)
    cluster.ask(record(1))
    cluster.ask(record(1, state="done"))

    status = cluster.ask(directory.GetStatus())

    assert [(order.upstream, order.state) for order in status.orders] == [
        ("engine-1", "done"),
    ]
    assert (status.order_holder, status.order_fencing) == ("x", 1)


@pytest.mark.parametrize("leader_dies", [False, True])
@pytest.mark.parametrize("seed", range(5))
def test_a_late_order_to_an_engine_without_fencing_comes_before_the_new_holders(
    seed,
    leader_dies,
):
    """The former holder sends at the end of its lease, delivered after the bound."""
    cluster = started(seed)
    engine = EngineWithoutFencing()
    x, y = host(cluster, "x"), host(cluster, "y")
    sent_s = cluster.now
    former = acquire(cluster, x)
    last_send_s = sent_s + former.duration_s * (1.0 - CLOCK_RATE_ERROR)
    engine.deliver(last_send_s + former.quiet_s, former.fencing)
    if leader_dies:
        keep(cluster, [y], 2.0)
        cluster.kill(cluster.leader())
    granted = None
    while not isinstance(granted, directory.OrderLeaseGranted):
        keep(cluster, [y], 0.3)
        granted = acquire(cluster, y)

    engine.deliver(cluster.now - 0.3 + granted.quiet_s, granted.fencing)

    assert engine.result() == granted.fencing == 2
