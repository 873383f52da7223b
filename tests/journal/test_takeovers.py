"""Takeovers: each orphan goes to one host, the earliest deadline first."""

from bitternlever.journal import machine
from bitternlever.messages import journal
from tests.journal import commands


def orphaned(*time_left_ms: int):
    """Return a journal with requests of host a, orphaned by fencing the host."""
    state = machine.create()
    for number, left_ms in enumerate(time_left_ms):
        claim = commands.claim(f"k-{number}", time_left_ms=left_ms)
        machine.apply(state, claim)
    machine.apply(state, journal.FenceHost(host="a", epoch=2))
    return state


def ids(reply: journal.TakenOver) -> list[str]:
    return [request.request_id for request in reply.requests]


def test_the_earliest_deadline_is_taken_first():
    state = orphaned(9_000, 1_000, 5_000)

    reply = machine.apply(state, commands.take_over(maximum=2))

    assert ids(reply) == ["k-1", "k-2"]


def test_a_resent_takeover_gets_the_same_requests():
    state = orphaned(1_000, 2_000)
    command = commands.take_over(maximum=1)

    first = machine.apply(state, command)
    second = machine.apply(state, command)

    assert ids(first) == ids(second) == ["k-0"]


def test_a_late_copy_of_an_older_takeover_takes_nothing():
    state = orphaned(1_000, 2_000)
    machine.apply(state, commands.take_over(sequence=2, maximum=1))

    reply = machine.apply(state, commands.take_over(sequence=1, maximum=1))

    assert ids(reply) == []
    assert len(state.orphans) == 1


def test_two_hosts_never_take_the_same_request():
    state = orphaned(1_000, 2_000)

    first = machine.apply(state, commands.take_over("b", 2, maximum=1))
    second = machine.apply(state, commands.take_over("c", 3, maximum=2))

    assert ids(first) + ids(second) == ["k-0", "k-1"]


def test_a_fenced_host_takes_nothing():
    state = orphaned(1_000)

    reply = machine.apply(state, commands.take_over("a", 1))

    assert isinstance(reply, journal.Fenced)


def test_requests_of_a_failed_takeover_host_go_to_the_next():
    state = orphaned(1_000)
    machine.apply(state, commands.take_over("b", 2))
    machine.apply(state, journal.FenceHost(host="b", epoch=3))

    reply = machine.apply(state, commands.take_over("c", 4))

    assert ids(reply) == ["k-0"]


def test_the_time_left_shrinks_by_the_journals_clock():
    state = machine.create()
    machine.apply(state, commands.claim(time_left_ms=10_000))
    machine.apply(state, journal.ExpireRequests(request_ids=[], elapsed_ms=4_000))
    machine.apply(state, journal.FenceHost(host="a", epoch=2))

    reply = machine.apply(state, commands.take_over())

    assert reply.requests[0].time_left_ms == 6_000


def test_a_released_request_waits_for_another_owner():
    state = machine.create()
    machine.apply(state, commands.claim())
    release = journal.ReleaseRequests(request_ids=["k-1"], host="a", epoch=1)

    machine.apply(state, release)

    late = machine.apply(state, commands.start("a-1"))
    assert late == journal.Fenced(request_id="k-1")
    assert ids(machine.apply(state, commands.take_over())) == ["k-1"]


def test_a_release_by_another_host_changes_nothing():
    state = machine.create()
    machine.apply(state, commands.claim())
    release = journal.ReleaseRequests(request_ids=["k-1"], host="b", epoch=2)

    reply = machine.apply(state, release)

    assert reply.request_ids == []
    assert not state.orphans


def test_a_host_can_list_requests_it_has_owned_for_some_time():
    state = machine.create()
    machine.apply(state, commands.claim("k-1"))
    machine.apply(state, journal.ExpireRequests(request_ids=[], elapsed_ms=5_000))
    machine.apply(state, commands.claim("k-2"))

    reply = machine.apply(state, journal.GetOwned(host="a", epoch=1, age_ms=3_000))

    assert reply.request_ids == ["k-1"]
