"""Safety under failures of disks, links and processes."""

import pytest

from bitternlever.consensus import commits, elections, tables as consensus_tables
from bitternlever.control import machines
from bitternlever.core import ticks
from bitternlever.messages import calls, consensus, directory, frames
from tests.consensus import harness


def started(nodes=3, seed=0, **settings):
    cluster = harness.Cluster(nodes=nodes, seed=seed, **settings)
    cluster.run(3.0)
    return cluster


def followers(cluster):
    leader = cluster.leader()
    return [name for name in cluster.names if name != leader]


def test_a_node_with_an_emptied_disk_is_no_member():
    cluster = started()
    lost = followers(cluster)[0]

    cluster.lose_disk(lost)
    cluster.run(3.0)

    assert cluster.replica(lost).membership is None


def test_an_emptied_disk_does_not_vote_a_second_time():
    """One of three voters remains beside two emptied disks, which is no quorum."""
    cluster = started()
    cluster.ask(harness.manifest(1))
    for name in followers(cluster):
        cluster.lose_disk(name)
    survivor = cluster.leader()
    cluster.kill(survivor)
    cluster.start(survivor)

    cluster.run(10.0)

    assert cluster.leader() is None


def test_a_vote_is_counted_by_its_disk():
    cluster = started()
    leader, (first, second) = cluster.leader(), followers(cluster)
    cluster.kill(leader)
    cluster.lose_disk(second)
    replica = cluster.replica(first)
    identity = cluster.replica(second).settings.identity
    vote = consensus.VoteReply(0, replica.term + 1, identity, True, True)
    replica.role = consensus_tables.Role.PRE_CANDIDATE
    elections.handle_vote_reply(replica, cluster.now, ticks.Outbox(), vote)

    assert replica.role is consensus_tables.Role.PRE_CANDIDATE


def test_a_leader_that_is_cut_off_commits_nothing_and_follows_again():
    cluster = started()
    former = cluster.leader()
    cluster.isolate(former)
    call_id = cluster.call(harness.manifest(1, b"cut off"), to=former)
    cluster.run(4.0)

    assert not isinstance(cluster.replies.get(call_id), directory.ManifestAccepted)
    assert cluster.leader() != former
    assert cluster.ask(harness.manifest(1, b"other side")).number == 1

    cluster.heal()
    cluster.run(2.0)

    assert cluster.replica(former).role is consensus_tables.Role.FOLLOWER
    assert cluster.nodes[former].tables.directory.state.body == b"other side"


def test_a_leader_that_is_cut_off_says_that_the_outcome_is_uncertain():
    cluster = started()
    former = cluster.leader()
    cluster.isolate(former)
    call_id = cluster.call(harness.manifest(1), to=former)

    cluster.run(2.0)

    answers = [peer.message for _, _, peer in cluster.entry_messages]
    assert calls.ControlUncertain(call_id=call_id, group=0) in answers


def test_a_cut_off_follower_does_not_disturb_the_term():
    cluster = started()
    leader = cluster.leader()
    term = cluster.replica(leader).term
    cluster.isolate(followers(cluster)[0])
    cluster.run(10.0)
    cluster.heal()
    cluster.run(2.0)

    assert (cluster.leader(), cluster.replica(leader).term) == (leader, term)


def test_a_frozen_leader_that_wakes_serves_no_old_read():
    cluster = started()
    cluster.ask(harness.manifest(1))
    former = cluster.leader()
    cluster.nodes[former].frozen = True
    cluster.isolate(former)
    cluster.run(3.0)
    cluster.ask(harness.manifest(2))
    call_id = cluster.call(directory.GetManifest(), to=former)
    cluster.run(0.01)

    cluster.nodes[former].frozen = False
    cluster.run(1.0)

    assert getattr(cluster.replies.get(call_id), "number", 2) == 2


def test_a_write_counts_only_once_it_is_synced_by_a_quorum():
    cluster = started()
    leader = cluster.leader()
    for name in followers(cluster):
        cluster.nodes[name].sync_paused = True
    call_id = cluster.call(harness.manifest(1), to=leader)

    cluster.run(0.5)

    assert call_id not in cluster.replies


def test_a_leaders_own_unsynced_write_does_not_count():
    cluster = started()
    leader, (first, _) = cluster.leader(), followers(cluster)
    cluster.nodes[leader].sync_paused = True
    cluster.isolate(first)
    call_id = cluster.call(harness.manifest(1), to=leader)

    cluster.run(0.5)

    assert call_id not in cluster.replies


def request_vote(cluster, name, candidate, terms_ahead=1):
    """Request a vote as a candidate whose log is longer."""
    replica = cluster.replica(name)
    request = consensus.VoteRequest(
        group=0,
        term=replica.term + terms_ahead,
        candidate=consensus.ReplicaId(candidate, "disk-x"),
        last_index=replica.commit_index + 9,
        last_term=replica.term,
        pre_vote=False,
    )
    received = frames.PeerMessageReceived(candidate, f"tcp://{candidate}", request)
    cluster.post(0.0, cluster.nodes[name], received)


def candidates_voted_for(cluster):
    """Return the candidates that received a granted vote."""
    return {
        peer.node
        for _, _, peer in cluster.entry_messages
        if isinstance(peer.message, consensus.VoteReply) and peer.message.granted
    }


def voter_without_leader(cluster):
    """End the leader's process and return a voter isolated from all others."""
    voter = followers(cluster)[0]
    cluster.kill(cluster.leader())
    cluster.isolate(voter)
    cluster.run(3.0)
    return voter


def test_a_vote_leaves_only_once_it_is_synced():
    cluster = started()
    voter = voter_without_leader(cluster)
    cluster.nodes[voter].sync_paused = True

    request_vote(cluster, voter, "control-y")
    cluster.run(0.1)

    assert candidates_voted_for(cluster) == set()


def test_a_voter_votes_once_in_a_term():
    cluster = started()
    voter = voter_without_leader(cluster)

    request_vote(cluster, voter, "control-y")
    cluster.run(0.1)
    request_vote(cluster, voter, "control-z", terms_ahead=0)
    cluster.run(0.1)

    assert candidates_voted_for(cluster) == {"control-y"}


def test_a_lone_voter_leads_only_once_its_own_vote_is_synced():
    cluster = harness.Cluster(nodes=1)
    cluster.nodes["control-a"].sync_paused = True

    cluster.run(5.0)

    assert cluster.leader() is None


def test_a_replica_without_the_newest_commit_is_not_elected():
    for seed in range(10):
        cluster = started(seed=seed)
        leader, (first, second) = cluster.leader(), followers(cluster)
        cluster.isolate(second)
        assert cluster.ask(harness.manifest(1), to=leader).number == 1
        cluster.kill(leader)
        cluster.heal()
        cluster.run(4.0)

        assert cluster.leader() == first
        cluster.check_acknowledged()


def test_entries_of_an_earlier_term_do_not_commit_by_count():
    cluster = started()
    replica = cluster.replica(cluster.leader())
    committed = replica.commit_index
    command = harness.manifest(1)
    commits.propose(
        replica,
        consensus.EntryKind.COMMAND,
        machines.encode_command(command),
    )
    replica.term += 1
    for progress in replica.leader_state.progress.values():
        progress.match_index = committed + 1

    commits.run(replica, cluster.now, ticks.Outbox())

    assert replica.commit_index == committed


def test_accepted_manifests_survive_crashes_that_lose_unsynced_writes():
    for seed in range(20):
        cluster = started(seed=seed)
        for number in range(1, 6):
            cluster.call(harness.manifest(number, b"%d" % number))
            cluster.run(0.006)
        for name in cluster.names:
            cluster.kill(name)
        for name in cluster.names:
            cluster.start(name)
        cluster.run(3.0)
        cluster.check_acknowledged()


@pytest.mark.parametrize("role", ["leader", "follower"])
def test_a_failed_disk_ends_votes_and_acknowledgements(role):
    cluster = started()
    name = cluster.leader() if role == "leader" else followers(cluster)[0]
    node = cluster.nodes[name]
    cluster.post(0.0, node, consensus.DiskFailed(0, "no space left on device"))
    cluster.run(3.0)

    sent = len(cluster.entry_messages)
    assert cluster.leader() not in (None, name)
    assert cluster.ask(harness.manifest(1)).number == 1
    assert (
        cluster.replica(name).commit_index
        < cluster.replica(
            cluster.leader(),
        ).commit_index
    )
    assert all(who != name for _, who, _ in cluster.entry_messages[sent:][-1:])


def test_a_failed_disk_ends_all_groups_of_its_node():
    cluster = started(journal_groups=2)
    leader = cluster.leader(2)
    node = cluster.nodes[leader]

    cluster.post(0.0, node, consensus.DiskFailed(0, "input/output error"))
    cluster.run(3.0)

    for group in range(3):
        assert cluster.leader(group) not in (None, leader)


def test_a_follower_that_is_far_behind_gets_a_snapshot_in_pieces(monkeypatch):
    monkeypatch.setattr(consensus_tables, "SNAPSHOT_CHUNK_BYTES", 5_000)
    cluster = started(snapshot_after_entries=50)
    behind = followers(cluster)[0]
    cluster.kill(behind)
    for number in range(1, 1_400):
        cluster.call(harness.manifest(number, b"x" * 400), to=cluster.leader())
        cluster.run(0.01)
    leader = cluster.replica(cluster.leader())
    assert leader.log.base_index > 10

    assert len(leader.machine.snapshot()) > 10 * 5_000
    cluster.loss = 0.1
    cluster.start(behind)
    cluster.run(20.0)

    assert cluster.nodes[behind].tables.directory.state.number == 1_399
    assert cluster.replica(behind).log.base_index > 1_000


def test_a_full_queue_refuses_at_once(monkeypatch):
    monkeypatch.setattr(consensus_tables, "MAXIMUM_WAITING_PROPOSALS", 10)
    cluster = started()
    leader = cluster.leader()
    call_ids = [cluster.call(harness.manifest(n), to=leader) for n in range(1, 30)]

    cluster.run(0.001)

    busy = {
        peer.message.call_id
        for _, _, peer in cluster.entry_messages
        if isinstance(peer.message, calls.ControlBusy)
    }
    assert busy == set(call_ids[10:])


def test_a_new_leader_is_there_within_three_seconds():
    for seed in range(20):
        cluster = started(seed=seed)
        former = cluster.leader()
        cluster.kill(former)
        cluster.run(3.0)
        assert cluster.leader() not in (None, former)


def test_a_restarted_voter_grants_no_vote_within_its_leaders_lease():
    """The leader's lease counts on the voter's reply from before the restart."""
    cluster = started()
    leader, (first, second) = cluster.leader(), followers(cluster)
    cluster.kill(first)
    cluster.start(first)
    replica = cluster.replica(second)
    request = consensus.VoteRequest(
        group=0,
        term=replica.term + 1,
        candidate=replica.settings.identity,
        last_index=replica.commit_index + 9,
        last_term=replica.term,
        pre_vote=False,
    )
    cluster.blocked |= {(leader, first), (first, leader)}
    received = frames.PeerMessageReceived(second, "tcp://second", request)
    cluster.post(0.1, cluster.nodes[first], received)
    cluster.run(0.2)

    assert cluster.replica(first).voted_for != replica.settings.identity


def test_a_new_leader_reads_only_after_an_entry_of_its_own_term():
    """Before that it may not know that the newest entry of its log is committed."""
    cluster = started()
    former = cluster.leader()
    call_id = cluster.call(harness.manifest(1), to=former)
    while call_id not in cluster.replies:
        cluster.run(0.0005)
    cluster.kill(former)
    while cluster.leader() is None:
        cluster.run(0.0005)
    leader = cluster.leader()
    for name in followers(cluster):
        cluster.nodes[name].sync_paused = True

    read_id = cluster.call(directory.GetManifest(), to=leader)
    cluster.run(0.4)

    assert read_id not in cluster.replies
