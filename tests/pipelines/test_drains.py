"""A drain cuts off no request and hands over waiting ones."""

from bitternlever.messages import problems, requests
from tests.pipelines import system

MAXIMUM_AGE_S = 5.0


def drain(env, host: str = "entry-1") -> None:
    system.deliver(env, host, requests.DrainRequested())


def test_an_idle_host_ends_after_its_last_host_list_has_expired():
    env = system.create()
    drain(env)

    system.pass_time(env, MAXIMUM_AGE_S - 0.1)
    ended_early = dict(env.ended_hosts)
    system.pass_time(env, 0.5)

    assert not ended_early
    assert env.ended_hosts == {"entry-1": []}
    assert env.control.directory.state.hosts["1"].ended


def test_new_work_is_taken_until_the_last_host_list_has_expired():
    env = system.create()
    drain(env)

    system.pass_time(env, MAXIMUM_AGE_S - 0.5)
    caller = system.submit(env, "entry-1", "reading")
    system.pass_time(env, 0.1)

    assert system.whole_answer(env, caller)


def test_new_work_is_refused_after_the_last_host_list_has_expired():
    env = system.create()
    env.held_pools.add("panel")
    drain(env)
    system.pass_time(env, MAXIMUM_AGE_S - 0.1)
    system.submit(env, "entry-1", "reading")
    system.pass_time(env, 0.2)

    caller = system.submit(env, "entry-1", "reading")
    system.pass_time(env, 0.1)

    assert system.problem(env, caller).ran is problems.Ran.NO


def test_requests_in_flight_end_before_the_host():
    env = system.create()
    env.held_pools.add("engines")
    caller = system.submit(env, "entry-1", "dispute")
    call = system.next_call(env, "engines")
    drain(env)
    system.pass_time(env, 3 * MAXIMUM_AGE_S)
    ended_before_answer = dict(env.ended_hosts)

    system.answer_call(env, call)
    system.pass_time(env, 0.5)

    assert not ended_before_answer
    assert system.whole_answer(env, caller)
    assert env.ended_hosts == {"entry-1": []}


def test_a_waiting_request_without_a_caller_is_handed_over_and_finished():
    env = system.create()
    for upstream in system.tables(env, "entry-1").membership.upstreams.values():
        upstream.announcement.tasks = []
    caller = system.submit(env, "entry-1", "dispute")
    system.pass_time(env, 0.1)
    system.deliver(env, "entry-1", requests.CallerDisconnected(caller=caller))
    request_id = next(iter(env.control.journal.records))
    drain(env)
    env.unannounced_hosts.add("entry-1")

    system.pass_time(env, MAXIMUM_AGE_S + 1.0)
    querier = system.query(env, "entry-2", request_id)
    system.pass_time(env, 0.5)

    assert "entry-1" in env.ended_hosts
    assert system.whole_answer(env, querier)


def test_a_second_signal_ends_at_once_and_says_what_is_cut_off():
    env = system.create()
    env.held_pools.add("engines")
    caller = system.submit(env, "entry-1", "dispute")
    call = system.next_call(env, "engines")

    drain(env)
    drain(env)
    system.pass_time(env, 0.1)

    assert env.ended_hosts == {"entry-1": [call.call.binding.request]}
    assert system.problem(env, caller).ran is problems.Ran.UNKNOWN


def test_a_drain_during_a_partition_ends_and_loses_nothing():
    env = system.create()
    env.held_pools.add("engines")
    caller = system.submit(env, "entry-1", "audit")
    call = system.next_call(env, "engines")
    system.pass_time(env, 0.1)
    drain(env)
    system.isolate_from_control(env, "entry-1")
    system.pass_time(env, 1.0)
    system.answer_call(env, call)
    system.wait_until(
        env,
        lambda: len(system.calls_to_pool(env, "engines")) == 2 and env.ended_hosts,
        limit_s=40.0,
    )
    system.answer_call(env, system.calls_to_pool(env, "engines")[1])
    system.pass_time(env, 1.0)

    querier = system.query(env, "entry-2", call.call.binding.request)
    system.pass_time(env, 0.5)
    assert system.whole_answer(env, querier)
    assert len(system.calls_to_pool(env, "billing")) == 1
    problem = system.problem(env, caller)
    assert problem is None or problem.ran is problems.Ran.UNKNOWN


def test_a_draining_host_takes_nothing_over():
    env = system.create(hosts=2)
    env.held_pools.add("engines")
    system.submit(env, "entry-1", "dispute")
    system.next_call(env, "engines")
    drain(env, "entry-2")
    system.simulation.kill(env.sim, "entry-1")

    system.pass_time(env, 4.0)

    assert len(system.calls_to_pool(env, "engines")) == 1
