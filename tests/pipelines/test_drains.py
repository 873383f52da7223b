"""A drain cuts off nothing and hands over what waits."""

from bitternlever.messages import problems, requests
from tests.pipelines import system

MAXIMUM_AGE_S = 5.0


def drain(here, host: str = "entry-1") -> None:
    system.tell(here, host, requests.DrainRequested())


def test_an_idle_host_ends_after_its_last_host_list_has_expired():
    here = system.create()
    drain(here)

    system.pass_time(here, MAXIMUM_AGE_S - 0.1)
    early = dict(here.ended)
    system.pass_time(here, 0.5)

    assert not early
    assert here.ended == {"entry-1": []}
    assert here.control.directory.state.hosts["1"].ended


def test_new_work_is_taken_until_the_last_host_list_has_expired():
    here = system.create()
    drain(here)

    system.pass_time(here, MAXIMUM_AGE_S - 0.5)
    caller = system.submit(here, "entry-1", "reading")
    system.pass_time(here, 0.1)

    assert system.whole(here, caller)


def test_new_work_is_refused_after_the_last_host_list_has_expired():
    here = system.create()
    here.held.add("panel")
    drain(here)
    system.pass_time(here, MAXIMUM_AGE_S - 0.1)
    system.submit(here, "entry-1", "reading")
    system.pass_time(here, 0.2)

    caller = system.submit(here, "entry-1", "reading")
    system.pass_time(here, 0.1)

    assert system.problem(here, caller).ran is problems.Ran.NO


def test_what_is_in_flight_ends_before_the_host():
    here = system.create()
    here.held.add("engines")
    caller = system.submit(here, "entry-1", "dispute")
    call = system.next_call(here, "engines")
    drain(here)
    system.pass_time(here, 3 * MAXIMUM_AGE_S)
    waiting = dict(here.ended)

    system.answer(here, call)
    system.pass_time(here, 0.5)

    assert not waiting
    assert system.whole(here, caller)
    assert here.ended == {"entry-1": []}


def test_what_waits_without_a_caller_is_handed_over_and_finished():
    here = system.create()
    for fake in system.tables(here, "entry-1").membership.upstreams.values():
        fake.announcement.tasks = []
    caller = system.submit(here, "entry-1", "dispute")
    system.pass_time(here, 0.1)
    system.tell(here, "entry-1", requests.CallerGone(caller=caller))
    request_id = next(iter(here.control.journal.records))
    drain(here)
    here.quiet.add("entry-1")

    system.pass_time(here, MAXIMUM_AGE_S + 1.0)
    asked = system.query(here, "entry-2", request_id)
    system.pass_time(here, 0.5)

    assert "entry-1" in here.ended
    assert system.whole(here, asked)


def test_a_second_signal_ends_at_once_and_says_what_is_cut_off():
    here = system.create()
    here.held.add("engines")
    caller = system.submit(here, "entry-1", "dispute")
    call = system.next_call(here, "engines")

    drain(here)
    drain(here)
    system.pass_time(here, 0.1)

    assert here.ended == {"entry-1": [call.call.binding.request]}
    assert system.problem(here, caller).ran is problems.Ran.UNKNOWN


def test_a_drain_that_meets_a_partition_ends_and_loses_nothing():
    here = system.create()
    here.held.add("engines")
    caller = system.submit(here, "entry-1", "audit")
    call = system.next_call(here, "engines")
    system.pass_time(here, 0.1)
    drain(here)
    system.cut_off(here, "entry-1")
    system.pass_time(here, 1.0)
    system.answer(here, call)
    system.until(
        here,
        lambda: len(system.calls_of(here, "engines")) == 2 and here.ended,
        limit_s=40.0,
    )
    system.answer(here, system.calls_of(here, "engines")[1])
    system.pass_time(here, 1.0)

    asked = system.query(here, "entry-2", call.call.binding.request)
    system.pass_time(here, 0.5)
    assert system.whole(here, asked)
    assert len(system.calls_of(here, "billing")) == 1
    told = system.problem(here, caller)
    assert told is None or told.ran is problems.Ran.UNKNOWN


def test_a_draining_host_takes_nothing_over():
    here = system.create(hosts=2)
    here.held.add("engines")
    system.submit(here, "entry-1", "dispute")
    system.next_call(here, "engines")
    drain(here, "entry-2")
    system.world.kill(here.here, "entry-1")

    system.pass_time(here, 4.0)

    assert len(system.calls_of(here, "engines")) == 1
