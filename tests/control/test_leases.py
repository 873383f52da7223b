"""Host leases: epochs, renewals from the leader state, and leader changes."""

import pytest

from bitternlever.consensus import tables
from bitternlever.entry import lease
from bitternlever.messages import directory
from tests.consensus import harness


def acquire(host="x", incarnation="run-1"):
    return directory.AcquireHostLease(host, incarnation, "address", f"tcp://{host}", "")


def renew(epoch, host="x"):
    return directory.RenewHostLease(host, epoch, manifest_number=0)


def started(**settings):
    cluster = harness.Cluster(nodes=3, **settings)
    cluster.run(3.0)
    return cluster


def test_a_resent_acquisition_gets_the_same_epoch():
    cluster = started()

    first = cluster.ask(acquire())

    assert cluster.ask(acquire()).epoch == first.epoch


def test_another_run_gets_a_newer_epoch():
    cluster = started()

    first = cluster.ask(acquire())

    assert cluster.ask(acquire(incarnation="run-2")).epoch > first.epoch
    assert isinstance(cluster.ask(renew(first.epoch)), directory.HostLeaseLost)


def test_a_renewal_writes_nothing_to_the_log():
    cluster = started()
    epoch = cluster.ask(acquire()).epoch
    leader = cluster.replica(cluster.leader())
    before = leader.commit_index

    granted = cluster.ask(renew(epoch))

    assert granted.epoch == epoch
    assert leader.commit_index == before


def test_a_renewed_lease_lasts_and_a_silent_one_ends():
    cluster = started()
    epoch = cluster.ask(acquire()).epoch
    for _ in range(6):
        cluster.run(0.7)
        assert isinstance(cluster.ask(renew(epoch)), directory.HostLeaseGranted)

    cluster.run(3.5)

    assert isinstance(cluster.ask(renew(epoch)), directory.HostLeaseLost)


def test_a_new_leader_gives_known_hosts_a_full_lease():
    cluster = started()
    epoch = cluster.ask(acquire()).epoch
    cluster.run(2.0)
    cluster.ask(renew(epoch))
    cluster.kill(cluster.leader())

    cluster.run(2.9)

    assert isinstance(cluster.ask(renew(epoch)), directory.HostLeaseGranted)


def test_an_isolated_leader_answers_no_renewal():
    cluster = started()
    epoch = cluster.ask(acquire()).epoch
    former = cluster.leader()
    cluster.isolate(former)

    cluster.run(cluster.replica(former).settings.election_timeout_s)
    call_id = cluster.call(renew(epoch), to=former)
    cluster.run(0.5)

    assert not isinstance(cluster.replies.get(call_id), directory.HostLeaseGranted)
    cluster.run(2.0)
    assert isinstance(cluster.ask(renew(epoch)), directory.HostLeaseGranted)


def test_a_frozen_leader_that_wakes_answers_no_renewal():
    cluster = started()
    epoch = cluster.ask(acquire()).epoch
    former = cluster.leader()
    cluster.nodes[former].frozen = True
    cluster.isolate(former)
    cluster.run(3.0)
    call_id = cluster.call(renew(epoch), to=former)
    cluster.run(0.01)

    cluster.nodes[former].frozen = False
    cluster.run(1.0)

    assert not isinstance(cluster.replies.get(call_id), directory.HostLeaseGranted)


def test_a_lease_whose_end_is_proposed_is_not_renewed():
    cluster = started()
    epoch = cluster.ask(acquire()).epoch
    for name in cluster.names:
        if name != cluster.leader():
            cluster.nodes[name].sync_paused = True
    cluster.run(3.5)
    call_id = cluster.call(renew(epoch), to=cluster.leader())

    cluster.run(0.2)

    assert isinstance(cluster.replies[call_id], directory.HostLeaseLost)


def test_both_ends_of_a_lease_count_on_the_same_clock_bound():
    assert lease.CLOCK_RATE_ERROR >= tables.CLOCK_RATE_ERROR


@pytest.mark.parametrize("leader_dies", [False, True])
@pytest.mark.parametrize("seed", range(4))
def test_no_epoch_ends_before_its_holder_has_stopped(seed, leader_dies):
    """The holder's lease starts when its last granted renewal was sent."""
    cluster = harness.Cluster(nodes=3, seed=seed)
    cluster.run(3.0)
    epoch = cluster.ask(acquire()).epoch
    cluster.run(1.3)
    sent_s = cluster.now
    call_id = cluster.call(renew(epoch))
    cluster.run(0.1)
    assert isinstance(cluster.replies[call_id], directory.HostLeaseGranted)
    if leader_dies:
        cluster.kill(cluster.leader())
    stops_s = sent_s + 3.0 * (1.0 - lease.CLOCK_RATE_ERROR)

    while not ended(cluster):
        assert cluster.now < sent_s + 10.0, "the lease never ended"
        cluster.run(0.01)

    assert cluster.now >= stops_s


def ended(cluster):
    """Return whether any node has applied the end of host x's epoch."""
    return any(
        node.tables is not None and node.tables.directory.state.hosts["x"].ended
        for node in cluster.nodes.values()
    )
