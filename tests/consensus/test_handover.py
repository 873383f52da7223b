"""Leadership handover by a stopping leader, and the end of its lease."""

import pytest

from bitternlever.consensus import (
    handover,
    log,
    reads,
    tables as consensus_tables,
)
from bitternlever.control import call_handling, stopping
from bitternlever.core import ticks
from bitternlever.messages import calls, consensus, directory, frames
from tests.consensus import harness

ELECTION_TIMEOUT_S = 0.8


def started(nodes=3, seed=0, **settings):
    cluster = harness.Cluster(nodes=nodes, seed=seed, **settings)
    cluster.run(3.0)
    return cluster


def drop_messages(monkeypatch, cluster, kind):
    """Drop all messages of this kind; return the list of dropped messages."""
    dropped = []
    send = cluster.send

    def send_others(node, peer):
        if isinstance(peer.message, kind):
            dropped.append(peer)
            return
        send(node, peer)

    monkeypatch.setattr(cluster, "send", send_others)
    return dropped


def run_until_ended(cluster, name, seconds=5.0):
    """Run until the process ends; return how long that took."""
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


@pytest.mark.parametrize(
    "command",
    [harness.manifest(1), directory.ReplaceReplica("control-a", "disk-1", "control-a")],
)
def test_a_stopping_leader_takes_no_proposal(command):
    cluster = started()
    former = cluster.leader()
    cluster.stop(former)
    call_id = cluster.call(command, to=former)

    run_until_ended(cluster, former)

    answer = next(
        peer.message
        for _, _, peer in cluster.entry_messages
        if getattr(peer.message, "call_id", None) == call_id
    )
    assert isinstance(answer, calls.ControlBusy)
    assert answer.retry_after_s == call_handling.NOT_READY_RETRY_S


def test_no_lease_serves_after_timeout_now_was_sent(monkeypatch):
    """The voters still answer each heartbeat, so only the handover ends the lease."""
    cluster = started()
    grant = directory.AcquireHostLease("x", "run-1", "a", "tcp://entry-x", "")
    epoch = cluster.ask(grant).epoch
    former = cluster.leader()
    sent = drop_messages(monkeypatch, cluster, consensus.TimeoutNow)
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
    """The harness checks after every tick that leases do not overlap."""
    cluster = started(5, seed)
    former = cluster.leader()
    others = [name for name in cluster.names if name != former]
    cluster.stop(former)
    for other in others[:2]:
        cluster.blocked |= {(other, former), (former, other)}
    cluster.blocked |= {(name, former) for name in others if seed % 2}

    cluster.run(3.0)

    assert cluster.leader() in others


def test_a_lost_timeout_now_ends_by_the_bound(monkeypatch):
    cluster = started()
    former = cluster.leader()
    sent = drop_messages(monkeypatch, cluster, consensus.TimeoutNow)
    cluster.stop(former)

    took_s = run_until_ended(cluster, former)

    assert took_s <= stopping.MAXIMUM_HANDOVER_S + 0.05
    assert {peer.node for peer in sent} == set(cluster.names) - {former}


def test_a_lost_timeout_now_is_sent_to_the_other_voter(monkeypatch):
    cluster = started()
    former = cluster.leader()
    sent = drop_messages(monkeypatch, cluster, consensus.TimeoutNow)
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
    received = frames.PeerMessageReceived(leader, f"tcp://{leader}", message)
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
    received = frames.PeerMessageReceived(second, f"tcp://{second}", request)
    cluster.post(0.0, cluster.nodes[first], received)

    cluster.run(0.1)

    assert replica.term == request.term - 1


def test_a_stopping_voter_does_not_become_leader():
    cluster = started()
    leader = cluster.leader()
    name = next(name for name in cluster.names if name != leader)
    replica = cluster.replica(name)
    handover.request(replica)
    term = replica.term
    message = consensus.TimeoutNow(0, term, replica.leader, replica.settings.identity)
    received = frames.PeerMessageReceived(leader, f"tcp://{leader}", message)
    cluster.post(0.0, cluster.nodes[name], received)
    cluster.run(0.5)
    assert replica.term == term

    for other in set(cluster.names) - {name}:
        cluster.kill(other)
    cluster.run(3.0)

    assert replica.role is consensus_tables.Role.FOLLOWER


def test_only_an_election_that_the_leader_asked_for_is_marked(monkeypatch):
    cluster = started()
    seen = []
    send = cluster.send

    def note(node, peer):
        seen.append(peer.message)
        send(node, peer)

    monkeypatch.setattr(cluster, "send", note)
    cluster.kill(cluster.leader())
    cluster.run(4.0)

    asked = [m for m in seen if isinstance(m, consensus.VoteRequest)]
    assert any(not message.pre_vote for message in asked)
    assert not any(message.handover for message in asked)


def handover_targets(replica, now):
    """Make the leader resend several times; return the nodes it asked."""
    asked = set()
    for attempt in range(8):
        outbox = ticks.Outbox()
        handover.run(replica, now + attempt * handover.RESEND_S / 100, outbox)
        replica.leader_state.handover_sent_s = None
        asked |= {peer.node for peer in outbox.messages}
    return asked


@pytest.mark.parametrize("fault", ["behind", "silent"])
def test_no_voter_is_asked_that_is_behind_or_silent(fault):
    cluster = started(5)
    replica = cluster.replica(cluster.leader())
    handover.request(replica)
    follower, progress = next(iter(replica.leader_state.progress.items()))
    if fault == "behind":
        progress.match_index -= 1
    else:
        progress.last_contact_s = cluster.now - ELECTION_TIMEOUT_S - 0.1

    expected = set(cluster.names) - {cluster.leader(), follower.node}
    assert handover_targets(replica, cluster.now) == expected


def test_no_voter_is_asked_before_the_whole_log_is_committed():
    cluster = started()
    replica = cluster.replica(cluster.leader())
    handover.request(replica)
    replica.commit_index -= 1

    assert handover_targets(replica, cluster.now) == set()


def test_a_stopping_leader_expires_no_lease(monkeypatch):
    cluster = started()
    grant = directory.AcquireHostLease("x", "run-1", "a", "tcp://entry-x", "")
    cluster.ask(grant)
    cluster.run(2.3)
    former = cluster.leader()
    drop_messages(monkeypatch, cluster, consensus.TimeoutNow)
    replica = cluster.replica(former)
    before = log.last_index(replica.log)
    cluster.stop(former)

    run_until_ended(cluster, former)

    assert log.last_index(replica.log) == before


def test_a_stopping_leader_takes_no_step_of_a_replacement(monkeypatch):
    cluster = started()
    former = cluster.leader()
    name = next(name for name in cluster.names if name != former)
    replace = directory.ReplaceReplica(name, cluster.nodes[name].durable.disk, name)
    cluster.lose_disk(name)
    replica = cluster.replica(former)
    while replica.membership.replacing is None:
        cluster.call(replace, to=former)
        cluster.run(0.01)
    cluster.nodes[name].frozen = True
    cluster.run(0.1)
    drop_messages(monkeypatch, cluster, consensus.TimeoutNow)
    before = log.last_index(replica.log)
    cluster.stop(former)
    cluster.run(0.01)
    cluster.nodes[name].frozen = False

    run_until_ended(cluster, former)

    assert log.last_index(replica.log) == before
