"""Bootstrap from seeds and replacement of voters without an operator."""

import pytest

from bitternlever.fleet import tables as fleet_tables
from tests.fleet import cluster


def bootstrapped_cluster(names="abc", seed=0, tolerated_losses=1) -> cluster.Cluster:
    """Return a cluster that has a leader and holds catalog 1."""
    system = cluster.Cluster(
        names=names,
        seed=seed,
        tolerated_losses=tolerated_losses,
    )
    system.until(lambda: system.leader() is not None)
    put(system, 1, b"one")
    return system


def put(system: cluster.Cluster, version: int, body: bytes) -> None:
    """Submit a catalog to the leader until it is acknowledged."""
    for _ in range(20):
        system.until(lambda: system.leader() is not None)
        call_id = system.put(system.leader(), version, body)
        system.run(0.3)
        if isinstance(system.answers.get(call_id), fleet_tables.Completed):
            return
    raise AssertionError(f"catalog {version} was not acknowledged")


def read(system: cluster.Cluster) -> bytes:
    """Read the catalog from the leader until it answers."""
    for _ in range(20):
        system.until(lambda: system.leader() is not None)
        call_id = system.read(system.leader())
        system.run(0.3)
        answer = system.answers.get(call_id)
        if isinstance(answer, fleet_tables.Completed):
            return answer.body
    raise AssertionError("no leader answered the read")


@pytest.mark.parametrize("seed", range(5))
def test_seeds_found_a_group_and_the_others_stay_outside(seed):
    system = bootstrapped_cluster(names="abcde", seed=seed)

    assert system.voters() == ["a", "b", "c"]
    assert read(system) == b"one"


def test_a_node_that_may_not_found_never_begins_a_group():
    system = cluster.Cluster(names="", seeds="abc")
    for name in "abc":
        system.add(name, may_bootstrap=False)

    system.run(5.0)

    assert system.leader() is None


@pytest.mark.parametrize("seed", range(5))
def test_a_wiped_disk_is_replaced_as_a_new_replica_and_nothing_is_lost(seed):
    system = bootstrapped_cluster(seed=seed)
    victim = system.leader()
    old = system.nodes[victim].tables.replica.settings.identity
    system.kill(victim)
    system.run(0.5)
    system.add(victim)

    system.until(lambda: system.leader() not in (None, victim))
    replaced_within_s = 4.0
    system.until(lambda: _is_replaced(system, victim, old), replaced_within_s)

    assert read(system) == b"one"
    assert system.voters() == ["a", "b", "c"]


@pytest.mark.parametrize("seed", range(5))
def test_a_machine_at_another_address_takes_the_place_of_one_that_is_gone(seed):
    system = bootstrapped_cluster(seed=seed)
    gone = next(name for name in "abc" if name != system.leader())
    system.kill(gone)
    system.run(1.0)
    system.add("z")

    system.until(lambda: "z" in system.voters() and gone not in system.voters(), 8.0)

    put(system, 2, b"two")
    assert read(system) == b"two"


def test_a_restart_of_a_few_seconds_changes_no_voter():
    system = bootstrapped_cluster(names="abcd")
    follower = next(name for name in "abc" if name != system.leader())
    system.kill(follower)
    system.run(2.0)
    system.start(follower)
    system.run(3.0)

    assert system.voters() == ["a", "b", "c"]


def test_a_standby_replaces_a_voter_that_stays_away():
    system = bootstrapped_cluster(names="abcd")
    follower = next(name for name in "abc" if name != system.leader())
    system.kill(follower)

    system.until(
        lambda: "d" in system.voters() and follower not in system.voters(), 8.0
    )

    assert read(system) == b"one"


def test_all_killed_at_once_come_back_with_what_was_acknowledged():
    system = bootstrapped_cluster()
    put(system, 5, b"five")
    for name in "abc":
        system.kill(name)
    system.run(0.2)
    for name in "abc":
        system.start(name)

    assert read(system) == b"five"


def test_one_wiped_while_all_others_lose_power_loses_nothing():
    system = bootstrapped_cluster()
    put(system, 5, b"five")
    for name in "abc":
        system.kill(name)
    system.run(0.5)
    system.add("a")
    system.start("b")
    system.start("c")

    assert read(system) == b"five"
    system.until(lambda: system.voters() == ["a", "b", "c"], 6.0)


def test_a_leader_that_is_cut_off_answers_no_read_and_takes_no_catalog():
    system = bootstrapped_cluster()
    previous = system.leader()
    system.isolate(previous)
    system.run(2.0)
    reading = system.read(previous)
    putting = system.put(previous, 9, b"nine")
    put(system, 2, b"two")
    system.run(1.0)

    for call_id in (reading, putting):
        assert not isinstance(system.answers.get(call_id), fleet_tables.Completed)
    system.heal()
    system.run(2.0)
    assert read(system) == b"two"


def test_two_operators_at_two_nodes_end_with_the_highest_version():
    system = bootstrapped_cluster()
    call_ids = [system.put(name, 10 + n, name.encode()) for n, name in enumerate("abc")]
    system.run(1.0)
    for name, call_id in zip("abc", call_ids, strict=True):
        answer = system.answers[call_id]
        if isinstance(answer, fleet_tables.NotLeader):
            assert answer.leader == system.link(system.leader())
            put(system, 10 + "abc".index(name), name.encode())

    assert read(system) == b"c"


def grown_cluster(names="abcdef", seed=0) -> cluster.Cluster:
    """Return a group that tolerates two losses and holds catalog 1."""
    system = bootstrapped_cluster(names=names, seed=seed, tolerated_losses=2)
    system.until(lambda: len(system.voters()) == 5)
    return system


@pytest.mark.parametrize("seed", range(5))
def test_a_group_grows_to_bear_two_losses_and_no_further(seed):
    system = grown_cluster(seed=seed)
    system.run(5.0)

    assert len(system.voters()) == 5
    assert {"a", "b", "c"} < set(system.voters())


@pytest.mark.parametrize("seed", range(8))
def test_two_wiped_at_once_while_all_others_lose_power_lose_nothing(seed):
    system = grown_cluster(seed=seed)
    put(system, 5, b"five")
    wiped = system.random.sample(system.voters(), 2)
    for name in "abcdef":
        system.kill(name)
    system.run(0.3)
    for name in "abcdef":
        if name in wiped:
            system.add(name)
        else:
            system.start(name)

    assert read(system) == b"five"
    system.until(lambda: len(system.voters()) == 5, 8.0)


@pytest.mark.parametrize("seed", range(8))
def test_two_lost_for_good_leave_a_group_that_serves_and_heals(seed):
    system = grown_cluster(seed=seed)
    gone = system.random.sample(system.voters(), 2)
    for name in gone:
        system.kill(name)

    put(system, 5, b"five")
    system.add("y")
    system.add("z")
    system.until(lambda: not set(gone) & set(system.voters()), 15.0)
    put(system, 6, b"six")

    assert len(system.voters()) == 5
    assert read(system) == b"six"


def test_a_learner_that_is_lost_gives_way_to_another_candidate():
    system = bootstrapped_cluster(tolerated_losses=2)
    leader = system.nodes[system.leader()].tables
    system.add("d")
    system.nodes["d"].disk_works = False
    system.until(lambda: bool(leader.replica.membership.learners))
    system.kill("d")
    system.add("e")
    system.add("f")

    system.until(lambda: set("abcef") == set(system.voters()), 15.0)


def test_a_group_takes_its_new_voters_from_zones_that_have_fewest():
    system = cluster.Cluster(names="", tolerated_losses=2)
    system.zones = dict(zip("abcdef", ["1", "2", "3", "1", "1", "2"], strict=True))
    for name in "abcdef":
        system.add(name, may_bootstrap=True)
    system.until(lambda: system.leader() is not None)

    system.until(lambda: len(system.voters()) == 5)

    assert {system.zones[name] for name in system.voters()} == {"1", "2", "3"}
    assert "f" in system.voters()


def _is_replaced(system: cluster.Cluster, name: str, old: object) -> bool:
    leader = system.leader()
    if leader is None:
        return False
    membership = system.nodes[leader].tables.replica.membership
    nodes = {voter.node: voter for voter in membership.voters}
    voter = nodes.get(system.link(name))
    return voter is not None and voter != old and not membership.outgoing
