"""A drain cuts off no request and hands over waiting ones."""

from bitternlever.messages import problems, requests
from tests.pipelines import system

MAXIMUM_AGE_S = 5.0


def drain(sim, host: str = "entry-1") -> None:
    system.deliver(sim, host, requests.DrainRequested())


def test_an_idle_host_ends_after_its_last_host_list_has_expired():
    sim = system.create()
    drain(sim)

    system.pass_time(sim, MAXIMUM_AGE_S - 0.1)
    ended_early = dict(sim.ended_hosts)
    system.pass_time(sim, 0.5)

    assert not ended_early
    assert sim.ended_hosts == {"entry-1": []}
    assert sim.control.directory.state.hosts["1"].ended


def test_new_work_is_taken_until_the_last_host_list_has_expired():
    sim = system.create()
    drain(sim)

    system.pass_time(sim, MAXIMUM_AGE_S - 0.5)
    caller = system.submit(sim, "entry-1", "reading")
    system.pass_time(sim, 0.1)

    assert system.whole_answer(sim, caller)


def test_new_work_is_refused_after_the_last_host_list_has_expired():
    sim = system.create()
    sim.held_pools.add("panel")
    drain(sim)
    system.pass_time(sim, MAXIMUM_AGE_S - 0.1)
    system.submit(sim, "entry-1", "reading")
    system.pass_time(sim, 0.2)

    caller = system.submit(sim, "entry-1", "reading")
    system.pass_time(sim, 0.1)

    assert system.problem(sim, caller).ran is problems.Ran.NO


def test_requests_in_flight_end_before_the_host():
    sim = system.create()
    sim.held_pools.add("engines")
    caller = system.submit(sim, "entry-1", "dispute")
    call = system.next_call(sim, "engines")
    drain(sim)
    system.pass_time(sim, 3 * MAXIMUM_AGE_S)
    ended_before_answer = dict(sim.ended_hosts)

    system.answer_call(sim, call)
    system.pass_time(sim, 0.5)

    assert not ended_before_answer
    assert system.whole_answer(sim, caller)
    assert sim.ended_hosts == {"entry-1": []}


def test_a_waiting_request_without_a_caller_is_handed_over_and_finished():
    sim = system.create()
    for upstream in system.tables(sim, "entry-1").membership.upstreams.values():
        upstream.announcement.tasks = []
    caller = system.submit(sim, "entry-1", "dispute")
    system.pass_time(sim, 0.1)
    system.deliver(sim, "entry-1", requests.CallerGone(caller=caller))
    request_id = next(iter(sim.control.journal.records))
    drain(sim)
    sim.unannounced_hosts.add("entry-1")

    system.pass_time(sim, MAXIMUM_AGE_S + 1.0)
    querier = system.query(sim, "entry-2", request_id)
    system.pass_time(sim, 0.5)

    assert "entry-1" in sim.ended_hosts
    assert system.whole_answer(sim, querier)


def test_a_second_signal_ends_at_once_and_says_what_is_cut_off():
    sim = system.create()
    sim.held_pools.add("engines")
    caller = system.submit(sim, "entry-1", "dispute")
    call = system.next_call(sim, "engines")

    drain(sim)
    drain(sim)
    system.pass_time(sim, 0.1)

    assert sim.ended_hosts == {"entry-1": [call.call.binding.request]}
    assert system.problem(sim, caller).ran is problems.Ran.UNKNOWN


def test_a_drain_during_a_partition_ends_and_loses_nothing():
    sim = system.create()
    sim.held_pools.add("engines")
    caller = system.submit(sim, "entry-1", "audit")
    call = system.next_call(sim, "engines")
    system.pass_time(sim, 0.1)
    drain(sim)
    system.isolate_from_control(sim, "entry-1")
    system.pass_time(sim, 1.0)
    system.answer_call(sim, call)
    system.wait_until(
        sim,
        lambda: len(system.calls_to_pool(sim, "engines")) == 2 and sim.ended_hosts,
        limit_s=40.0,
    )
    system.answer_call(sim, system.calls_to_pool(sim, "engines")[1])
    system.pass_time(sim, 1.0)

    querier = system.query(sim, "entry-2", call.call.binding.request)
    system.pass_time(sim, 0.5)
    assert system.whole_answer(sim, querier)
    assert len(system.calls_to_pool(sim, "billing")) == 1
    problem = system.problem(sim, caller)
    assert problem is None or problem.ran is problems.Ran.UNKNOWN


def test_a_draining_host_takes_nothing_over():
    sim = system.create(hosts=2)
    sim.held_pools.add("engines")
    system.submit(sim, "entry-1", "dispute")
    system.next_call(sim, "engines")
    drain(sim, "entry-2")
    system.world.kill(sim.runtime, "entry-1")

    system.pass_time(sim, 4.0)

    assert len(system.calls_to_pool(sim, "engines")) == 1
