"""Requests that crash upstreams are known to all hosts, and stopped by them."""

import pytest

from bitternlever.fleet import crash_suspects, quarantine
from bitternlever.messages import requests
from tests.pipelines import system
from tests.scenarios import simulation

CRASHES = crash_suspects.MINIMUM_CRASHES
ALLOWED = 3
"""Retries that may reach upstreams after these crashes."""

POOL = "encoders"
DEADLY = "deadly"


def crash_calls(env, for_s: float) -> int:
    """Crash the upstreams of all calls with the deadly input; return how many."""
    crashed = 0
    end_s = env.sim.now + for_s
    while env.sim.now < end_s:
        calls = system.calls_to_pool(env, POOL)
        for call in calls[env.consumed_calls.get(POOL, 0) :]:
            if call.call.input == DEADLY:
                crashed += 1
                known = env.incarnations.get(call.upstream, 1)
                env.incarnations[call.upstream] = known + 1
                system.fail_call(env, call, requests.Sent.UNKNOWN, lost=True)
            else:
                system.answer_call(env, call)
        env.consumed_calls[POOL] = len(calls)
        system.pass_time(env, 0.05)
    return crashed


@pytest.fixture
def env():
    env = system.create(gossip=True)
    env.held_pools.add(POOL)
    system.pass_time(env, 1.0)
    return env


def is_known(env, host) -> bool:
    return bool(system.tables(env, host).requests.crashes.records)


def test_a_durable_request_that_crashes_upstreams_ends_with_a_problem(env):
    caller = system.submit(env, "entry-1", "audit", input=DEADLY)

    assert crash_calls(env, 60.0) <= CRASHES + ALLOWED
    assert system.problem(env, caller).title == "Crashes upstreams"
    assert system.problem(env, caller).retry_after_s is None


def test_a_job_that_crashed_upstreams_is_not_sent_again_after_a_takeover(env):
    system.submit(env, "entry-1", "audit", input=DEADLY)
    crashed = 0
    while not is_known(env, "entry-2"):
        assert crashed <= CRASHES + ALLOWED
        crashed += crash_calls(env, 0.1)
    simulation.kill(env.sim, "entry-1")

    assert crash_calls(env, 20.0) == 0
    request_id = next(iter(env.control.journal.records))
    caller = system.query(env, "entry-2", request_id)
    system.pass_time(env, 1.0)
    assert system.problem(env, caller).title == "Crashes upstreams"


def test_a_request_that_crashed_upstreams_is_refused_when_it_is_sent_again(env):
    crashed = 0
    for number in range(8):
        host = f"entry-{number % 2 + 1}"
        again = system.submit(
            env, host, "question", key=f"again {number}", input=DEADLY
        )
        sound = system.submit(
            env, host, "question", key=f"sound {number}", input=f"sound {number}"
        )
        crashed += crash_calls(env, 3.0)

    assert crashed <= CRASHES + ALLOWED
    refused = system.problem(env, again)
    assert (refused.status, refused.title) == (503, "Crashes upstreams")
    assert 200.0 < refused.retry_after_s <= quarantine.LAPSE_S
    assert system.whole_answer(env, sound)
