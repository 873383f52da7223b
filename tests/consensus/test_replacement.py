"""Replacement of a replica, also when the leader that drives it dies."""

import pytest

from bitternlever.consensus import tables as consensus_tables
from bitternlever.control import outgoing_calls
from bitternlever.messages import consensus, directory
from tests.consensus import harness

SECONDS = 20.0


def started(nodes=3, seed=0, **settings):
    cluster = harness.Cluster(nodes=nodes, seed=seed, **settings)
    cluster.run(3.0)
    for number in range(1, 4):
        cluster.ask(harness.manifest(number, b"%d" % number))
    return cluster


def followers(cluster):
    leader = cluster.leader()
    return [name for name in cluster.names if name != leader]


def identity(cluster, name):
    return cluster.replica(name).settings.identity


def replace(cluster, old, new_node, seconds=SECONDS):
    """Resend the command until it reports done or time runs out."""
    command = directory.ReplaceReplica(old.node, old.disk, new_node)
    end = cluster.now + seconds
    reply = None
    while cluster.now < end:
        reply = cluster.ask(command)
        if getattr(reply, "step", None) == "done":
            return reply
        cluster.run(0.2)
    return reply


def begin(cluster, command):
    """Send the command until the leader's membership has the replacement."""
    end = cluster.now + SECONDS
    while cluster.replica(cluster.leader()).membership.replacing is None:
        assert cluster.now < end, "the replacement did not begin"
        cluster.call(command, to=cluster.leader())
        cluster.run(0.02)


def voters(cluster):
    return set(cluster.replica(cluster.leader()).membership.voters)


def lose_one_disk(cluster):
    """Empty one follower's disk; return its old and its new identity."""
    name = followers(cluster)[0]
    old = identity(cluster, name)
    cluster.lose_disk(name)
    cluster.run(2.0)
    return old, identity(cluster, name)


def test_an_emptied_disk_is_replaced_by_its_nodes_new_one():
    cluster = started()
    old, new = lose_one_disk(cluster)

    assert replace(cluster, old, new.node).step == "done"

    assert old not in voters(cluster)
    assert new in voters(cluster)
    assert len(voters(cluster)) == 3


def test_a_spare_node_replaces_a_dead_one():
    cluster = started()
    old = identity(cluster, followers(cluster)[0])
    cluster.kill(old.node)
    cluster.add("control-z")
    cluster.run(1.0)

    assert replace(cluster, old, "control-z").step == "done"
    assert identity(cluster, "control-z") in voters(cluster)


def test_a_second_loss_right_after_the_repair_loses_nothing():
    for seed in range(10):
        cluster = started(seed=seed)
        old, new = lose_one_disk(cluster)
        assert replace(cluster, old, new.node).step == "done"
        others = [name for name in cluster.names if name != new.node]

        cluster.lose_disk(others[seed % 2])
        cluster.run(4.0)

        assert cluster.ask(directory.GetManifest()).number == 3
        cluster.check_acknowledged()


def test_the_old_voter_stays_until_its_successor_is_synced():
    cluster = started()
    old, new = lose_one_disk(cluster)
    cluster.nodes[new.node].sync_paused = True

    reply = replace(cluster, old, new.node, seconds=5.0)

    assert reply.step == "learner"
    assert old in voters(cluster)
    assert new not in voters(cluster)


@pytest.mark.parametrize("nodes", [3, 5])
def test_a_replacement_is_refused_while_one_more_loss_would_cost_the_quorum(nodes):
    """A healthy voter is to leave while the group has its maximum of silent voters."""
    cluster = started(nodes=nodes)
    old = identity(cluster, followers(cluster)[0])
    silent = followers(cluster)[-(nodes // 2) :]
    for name in silent:
        cluster.kill(name)
    cluster.add("control-z")
    cluster.run(2.0)

    reply = cluster.ask(directory.ReplaceReplica(old.node, old.disk, "control-z"))

    assert "losing one more host would lose the quorum" in reply.reason
    assert all(name in reply.reason for name in silent)
    assert old in voters(cluster)


def test_a_learner_that_lost_its_disk_again_is_taken_with_the_new_one():
    cluster = started()
    old, new = lose_one_disk(cluster)
    cluster.nodes[new.node].sync_paused = True
    command = directory.ReplaceReplica(old.node, old.disk, new.node)
    begin(cluster, command)
    cluster.lose_disk(new.node)
    newest = identity(cluster, new.node)

    assert replace(cluster, old, new.node).step == "done"
    assert newest in voters(cluster)
    assert new not in voters(cluster)


def test_a_learner_that_stays_silent_is_never_promoted():
    cluster = started()
    old, new = lose_one_disk(cluster)
    command = directory.ReplaceReplica(old.node, old.disk, new.node)
    cluster.nodes[new.node].sync_paused = True
    begin(cluster, command)
    cluster.kill(new.node)
    cluster.run(10.0)

    assert new not in voters(cluster)
    assert cluster.ask(harness.manifest(4)).number == 4


def test_a_learner_whose_addition_was_never_committed_is_added_again():
    """The leader that added the learner is isolated with it and dies."""
    cluster = started(nodes=5)
    old, new = lose_one_disk(cluster)
    former = cluster.leader()
    command = directory.ReplaceReplica(old.node, old.disk, new.node)
    cluster.call(command, to=former)
    cluster.run(0.02)
    cluster.isolate(former)
    cluster.blocked -= {(former, new.node), (new.node, former)}
    cluster.call(command, to=former)
    cluster.run(0.2)
    assert cluster.replica(new.node).membership.replacing is not None
    cluster.kill(former)
    cluster.heal()
    cluster.run(4.0)
    assert cluster.replica(cluster.leader()).membership.replacing is None

    assert replace(cluster, old, new.node).step == "done"


def test_a_learner_that_never_comes_back_gives_way_to_another_node():
    cluster = started()
    old, new = lose_one_disk(cluster)
    cluster.nodes[new.node].sync_paused = True
    begin(cluster, directory.ReplaceReplica(old.node, old.disk, new.node))
    cluster.kill(new.node)
    cluster.add("control-z")
    cluster.run(1.0)

    assert replace(cluster, old, "control-z").step == "done"

    assert identity(cluster, "control-z") in voters(cluster)
    assert not {old, new} & voters(cluster)


def test_a_wrong_disk_id_is_not_called_done():
    cluster = started()
    old, new = lose_one_disk(cluster)
    command = directory.ReplaceReplica(old.node, "no-such-disk", new.node)

    reply = cluster.ask(command)

    assert "no-such-disk is no voter" in reply.reason
    assert old in voters(cluster)


def test_a_learner_is_not_promoted_before_its_start_is_committed():
    cluster = started()
    old, new = lose_one_disk(cluster)
    other = next(n for n in followers(cluster) if n != new.node)
    cluster.nodes[other].sync_paused = True
    begin(cluster, directory.ReplaceReplica(old.node, old.disk, new.node))

    cluster.run(2.0)

    assert new in cluster.replica(cluster.leader()).membership.learners


def test_an_identity_received_at_bootstrap_names_no_successor():
    cluster = started()
    old, new = lose_one_disk(cluster)

    reply = cluster.ask(directory.ReplaceReplica(old.node, old.disk, new.node))

    assert "voter already" not in getattr(reply, "reason", "")


def test_a_node_that_does_not_answer_is_waited_for():
    cluster = started()
    old = identity(cluster, followers(cluster)[0])
    command = directory.ReplaceReplica(old.node, old.disk, "control-nowhere")

    for _ in range(3):
        reply = cluster.ask(command)

    assert reply.step == "waiting"
    assert "control-nowhere" in reply.detail
    assert old in voters(cluster)


@pytest.mark.parametrize("seed", range(3))
def test_a_successor_lost_in_the_middle_does_not_stop_the_others(seed):
    """Two of three voters remain; the old disk and its successor are both lost."""
    cluster = started(seed=seed)
    old, new = lose_one_disk(cluster)
    command = directory.ReplaceReplica(old.node, old.disk, new.node)
    leader = cluster.replica(cluster.leader())
    while new not in leader.membership.voters:
        assert cluster.now < SECONDS, "the successor did not become a voter"
        cluster.call(command, to=cluster.leader())
        cluster.run(0.0005)
    assert leader.membership.replacing is not None
    cluster.lose_disk(new.node)
    cluster.run(4.0)

    assert cluster.ask(harness.manifest(4, b"4")).number == 4
    assert replace(cluster, new, new.node).step == "done"
    assert identity(cluster, new.node) in voters(cluster)


def test_a_resent_replacement_that_is_done_says_so():
    cluster = started()
    old, new = lose_one_disk(cluster)
    replace(cluster, old, new.node)

    assert replace(cluster, old, new.node).step == "done"


def test_two_replacements_do_not_mix():
    cluster = started(nodes=5)
    old, new = lose_one_disk(cluster)
    cluster.nodes[new.node].sync_paused = True
    command = directory.ReplaceReplica(old.node, old.disk, new.node)
    begin(cluster, command)
    other = next(n for n in followers(cluster) if n != new.node)
    second = identity(cluster, other)

    reply = cluster.ask(directory.ReplaceReplica(second.node, second.disk, second.node))

    assert f"the replacement of {old.node}" in reply.reason


@pytest.mark.parametrize("step", ["learner", "voter", "removal"])
@pytest.mark.parametrize("seed", range(5))
def test_the_sequence_goes_on_after_the_leaders_death(step, seed):
    """One of five disks is lost, and the leader dies right after the given step."""
    cluster = started(nodes=5, seed=seed)
    old, new = lose_one_disk(cluster)
    command = directory.ReplaceReplica(old.node, old.disk, new.node)
    cluster.ask(command)
    end = cluster.now + SECONDS
    while not _reached(cluster, step, old, new) and cluster.now < end:
        cluster.call(command, to=cluster.leader())
        cluster.run(0.002)
    assert _reached(cluster, step, old, new)
    cluster.kill(cluster.leader())
    cluster.run(4.0)

    assert replace(cluster, old, new.node).step == "done"
    assert (old in voters(cluster), new in voters(cluster)) == (False, True)
    cluster.check_acknowledged()


def _reached(cluster, step, old, new):
    membership = cluster.replica(cluster.leader()).membership
    if step == "learner":
        return new in membership.learners or new in membership.voters
    if step == "voter":
        return new in membership.voters
    return new in membership.voters and old not in membership.voters


def test_journal_groups_are_replaced_with_the_directory():
    cluster = started(journal_groups=2)
    old, new = lose_one_disk(cluster)

    assert replace(cluster, old, new.node).step == "done"

    for group in range(3):
        leader = cluster.replica(cluster.leader(group), group)
        assert new in leader.membership.voters
        assert old not in leader.membership.voters


def test_done_is_not_reported_before_a_journal_group_reports_it(monkeypatch):
    """A journal group that finished one replacement has not finished the next."""
    cluster = started(journal_groups=1)
    old, new = lose_one_disk(cluster)
    assert replace(cluster, old, new.node).step == "done"
    second = next(n for n in cluster.names if n not in (new.node, cluster.leader()))
    old = identity(cluster, second)
    cluster.lose_disk(second)
    cluster.run(3.0)
    monkeypatch.setattr(outgoing_calls, "due", lambda tables, now, outbox: [])

    assert replace(cluster, old, second, seconds=6.0).step == "waiting"
    assert old not in voters(cluster)

    monkeypatch.undo()
    assert replace(cluster, old, second).step == "done"
    journal_voters = cluster.replica(cluster.leader(1), 1).membership.voters
    assert old not in journal_voters


def test_a_leader_that_is_no_member_of_a_journal_group_still_reaches_it(monkeypatch):
    """Its new disk is a voter of group 0 only; another node leads group 1."""
    cluster = started(journal_groups=1)
    old, new = lose_one_disk(cluster)
    due = outgoing_calls.due
    monkeypatch.setattr(outgoing_calls, "due", lambda tables, now, outbox: [])
    end = cluster.now + SECONDS
    while new not in voters(cluster) and cluster.now < end:
        cluster.ask(directory.ReplaceReplica(old.node, old.disk, new.node))
    while cluster.leader() != new.node and cluster.now < end:
        former = cluster.leader()
        cluster.kill(former)
        cluster.run(3.0)
        cluster.start(former)
        cluster.run(1.0)
    assert cluster.leader() == new.node
    assert cluster.replica(new.node, 1).membership is None
    monkeypatch.setattr(outgoing_calls, "due", due)

    assert replace(cluster, old, new.node).step == "done"


def test_the_leader_itself_can_be_replaced():
    cluster = started(journal_groups=1)
    old = identity(cluster, cluster.leader())
    cluster.add("control-z")
    cluster.run(1.0)

    assert replace(cluster, old, "control-z").step == "done"

    assert cluster.leader() != old.node
    assert old not in voters(cluster)
    cluster.check_acknowledged()


def test_a_replica_that_left_does_not_lead_again():
    cluster = started()
    old = identity(cluster, followers(cluster)[0])
    cluster.add("control-z")
    cluster.run(1.0)
    assert replace(cluster, old, "control-z").step == "done"

    cluster.run(5.0)

    assert cluster.leader() != old.node
    role = cluster.replica(old.node).role
    assert role is not consensus_tables.Role.LEADER
    assert consensus.ReplicaId(old.node, old.disk) not in voters(cluster)
