"""A leader that is told to stop hands over, and its lease ends with that."""

import pytest

from bitternlever.consensus import reads, tables as consensus_tables
from bitternlever.control import answers, stopping
from bitternlever.messages import calls, consensus, directory, frames
from tests.consensus import harness

ELECTION_TIMEOUT_S = 0.8


def started(nodes=3, seed=0, **settings):
    cluster = harness.Cluster(nodes=nodes, seed=seed, **settings)
    cluster.run(3.0)
    return cluster


def lose(monkeypatch, cluster, kind):
    """Let no message of this kind through; return those that were sent."""
    lost = []
    send = cluster.send

    def send_others(node, peer):
        if isinstance(peer.message, kind):
            lost.append(peer)
            return
        send(node, peer)

    monkeypatch.setattr(cluster, "send", send_others)
    return lost


def run_until_ended(cluster, name, seconds=5.0):
    """Return how long the process still ran."""
    from_s = cluster.now
    while cluster.nodes[name].tables is not None:
        cluster.run(0.005)
        assert cluster.now < from_s + seconds, "the process does not end"
    return cluster.now - from_s


@pytest.mark.parametrize("nodes", [3, 5])
@pytest.mark.parametrize("seed", range(5))
def test_the_next_leader_serves_within_an_election_timeout(nodes, seed):
    cluster = started(nodes, seed, journal_groups=1)
    former = cluster.leader()
    from_s = cluster.now
    cluster.stop(former)

    run_until_ended(cluster, former)
    while not any(n.tables and cluster.serves(n) for n in cluster.nodes.values()):
        cluster.run(0.005)

    assert cluster.now - from_s < ELECTION_TIMEOUT_S
    assert all(cluster.leader(group) is not None for group in (0, 1))


def test_a_handover_succeeds_though_the_third_voter_is_gone():
    cluster = started()
    former = cluster.leader()
    gone, successor = [name for name in cluster.names if name != former]
    cluster.kill(gone)
    cluster.run(1.0)
    cluster.stop(former)

    assert run_until_ended(cluster, former) < ELECTION_TIMEOUT_S
    assert cluster.leader() == successor


def test_a_follower_that_is_told_to_stop_ends_at_once():
    cluster = started()
    follower = next(name for name in cluster.names if name != cluster.leader())
    cluster.stop(follower)

    assert run_until_ended(cluster, follower) < 0.1


def test_what_was_proposed_before_the_stop_gets_its_outcome():
    cluster = started()
    former = cluster.leader()
    call_id = cluster.call(harness.manifest(1), to=former)
    cluster.stop(former)

    run_until_ended(cluster, former)

    assert isinstance(cluster.replies[call_id], directory.ManifestAccepted)


def test_a_stopping_leader_takes_no_proposal():
    cluster = started()
    former = cluster.leader()
    cluster.stop(former)
    call_id = cluster.call(harness.manifest(1), to=former)

    run_until_ended(cluster, former)

    answer = next(
        peer.message
        for _, _, peer in cluster.entry_messages
        if getattr(peer.message, "call_id", None) == call_id
    )
    assert isinstance(answer, calls.ControlBusy)
    assert answer.retry_after_s == answers.NOT_READY_S


def test_no_lease_serves_after_timeout_now_was_sent(monkeypatch):
    """All else is as in a valid lease: the voters answer each heartbeat."""
    cluster = started()
    grant = directory.AcquireHostLease("x", "run-1", "a", "tcp://entry-x", "")
    epoch = cluster.ask(grant).epoch
    former = cluster.leader()
    sent = lose(monkeypatch, cluster, consensus.TimeoutNow)
    cluster.stop(former)
    cluster.run(0.05)
    assert sent
    call_id = cluster.call(directory.RenewHostLease("x", epoch, 0), to=former)
    read = cluster.call(directory.GetManifest(), to=former)
    now = cluster.now
    cluster.run(0.0004)
    replica = cluster.replica(former)

    assert replica.role is consensus_tables.Role.LEADER
    assert not reads.lease_valid(replica, now)
    assert read not in cluster.replies

    cluster.run(0.8)

    assert call_id not in cluster.replies
    assert read in cluster.replies


@pytest.mark.parametrize("seed", range(8))
def test_a_voter_whose_messages_to_the_former_leader_are_lost_overlaps_no_lease(seed):
    """The harness checks at every tick that two leases never overlap."""
    cluster = started(5, seed)
    former = cluster.leader()
    others = [name for name in cluster.names if name != former]
    cluster.stop(former)
    for other in others[:2]:
        cluster.cut |= {(other, former), (former, other)}
    cluster.cut |= {(name, former) for name in others if seed % 2}

    cluster.run(3.0)

    assert cluster.leader() in others


def test_a_lost_timeout_now_ends_by_the_bound(monkeypatch):
    cluster = started()
    former = cluster.leader()
    sent = lose(monkeypatch, cluster, consensus.TimeoutNow)
    cluster.stop(former)

    took_s = run_until_ended(cluster, former)

    assert took_s <= stopping.MAXIMUM_HANDOVER_S + 0.05
    assert {peer.node for peer in sent} == set(cluster.names) - {former}


def test_a_lost_timeout_now_is_sent_to_the_other_voter(monkeypatch):
    cluster = started()
    former = cluster.leader()
    sent = lose(monkeypatch, cluster, consensus.TimeoutNow)
    cluster.stop(former)
    cluster.run(0.05)
    monkeypatch.undo()

    assert len(sent) == 1
    assert run_until_ended(cluster, former) < ELECTION_TIMEOUT_S
    assert cluster.leader() not in (None, former, sent[0].node)


@pytest.mark.parametrize("change", ["term", "leader", "follower"])
def test_timeout_now_is_ignored_unless_it_is_of_this_term_leader_and_disk(change):
    cluster = started()
    leader = cluster.leader()
    name = next(name for name in cluster.names if name != leader)
    replica = cluster.replica(name)
    term = replica.term
    stranger = consensus.ReplicaId(name, "another disk")
    message = consensus.TimeoutNow(
        group=0,
        term=term - 1 if change == "term" else term,
        leader=stranger if change == "leader" else replica.leader,
        follower=stranger if change == "follower" else replica.settings.identity,
    )
    received = frames.PeerReceived(leader, f"tcp://{leader}", message)
    cluster.post(0.0, cluster.nodes[name], received)

    cluster.run(1.0)

    assert replica.term == term
    assert cluster.leader() == leader


def test_a_voter_that_hears_its_leader_refuses_an_unmarked_request():
    cluster = started()
    leader = cluster.leader()
    first, second = [name for name in cluster.names if name != leader]
    replica = cluster.replica(first)
    request = consensus.VoteRequest(
        group=0,
        term=replica.term + 1,
        candidate=cluster.replica(second).settings.identity,
        last_index=10_000,
        last_term=replica.term,
        pre_vote=False,
    )
    received = frames.PeerReceived(second, f"tcp://{second}", request)
    cluster.post(0.0, cluster.nodes[first], received)

    cluster.run(0.1)

    assert replica.term == request.term - 1
