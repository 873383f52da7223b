"""Idempotency keys: one run and one answer across all hosts."""

import pytest

from bitternlever.messages import journal, problems, requests
from tests.pipelines import system


def test_the_same_key_on_another_host_joins_the_one_run():
    env = system.create()
    env.held_pools.add("engines")

    first = system.submit(env, "entry-1", "question", key="rot")
    system.wait_until(env, lambda: system.calls_to_pool(env, "engines"))
    second = system.submit(env, "entry-2", "question", key="rot")
    third = system.submit(env, "entry-1", "question", key="rot")
    system.pass_time(env, 0.5)
    system.answer_call(env, system.calls_to_pool(env, "engines")[0])
    system.pass_time(env, 1.0)

    bodies = {
        system.whole_answer(env, caller).body for caller in (first, second, third)
    }
    assert len(bodies) == 1
    assert len(system.calls_to_pool(env, "engines")) == 1


@pytest.mark.parametrize("host", ["entry-1", "entry-2"])
def test_callers_of_one_key_are_bounded_on_every_host(host):
    env = system.create(maximum_requests=2)
    env.held_pools.add("engines")
    system.submit(env, "entry-1", "question", key="rot")
    system.wait_until(env, lambda: system.calls_to_pool(env, "engines"))

    callers = [system.submit(env, host, "question", key="rot") for _ in range(6)]
    system.pass_time(env, 0.5)

    refused = [caller for caller in callers if system.problem(env, caller)]
    assert refused
    assert len(system.tables(env, host).requests.callers) == 4
    assert system.problem(env, refused[0]).ran is problems.Ran.UNKNOWN


def test_the_same_key_later_gets_the_stored_bytes_on_another_host():
    env = system.create()
    first = system.submit(env, "entry-1", "question", key="rot")
    system.pass_time(env, 1.0)

    second = system.submit(env, "entry-2", "question", key="rot")
    system.pass_time(env, 1.0)

    assert system.whole_answer(env, second).body == system.whole_answer(env, first).body
    assert len(system.calls_to_pool(env, "engines")) == 1


def test_another_body_under_a_key_in_use_is_refused_on_every_host():
    env = system.create()
    env.held_pools.add("engines")
    system.submit(env, "entry-1", "question", key="rot")
    system.wait_until(env, lambda: system.calls_to_pool(env, "engines"))

    same_host = system.submit(env, "entry-1", "question", key="rot", input="sun")
    other_host = system.submit(env, "entry-2", "question", key="rot", input="sun")
    system.pass_time(env, 0.5)

    for caller in (same_host, other_host):
        assert system.problem(env, caller).status == 422
        assert system.problem(env, caller).ran is problems.Ran.NO


def test_a_refused_resend_gets_the_answer_that_its_key_has():
    env = system.create()
    first = system.submit(env, "entry-1", "question", key="rot")
    system.pass_time(env, 1.0)
    system.deliver(env, "entry-2", requests.DrainRequested())
    system.pass_time(env, 0.5)
    system.tables(env, "entry-2").requests.drain_host_lists_expire_s = env.sim.now

    second = system.submit(env, "entry-2", "question", key="rot")
    system.wait_until(env, lambda: system.whole_answer(env, second), limit_s=1.0)

    assert system.whole_answer(env, second).body == system.whole_answer(env, first).body


def test_an_acknowledged_key_does_not_run_again():
    env = system.create()
    first = system.submit(env, "entry-1", "question", key="rot")
    system.pass_time(env, 1.0)
    system.acknowledge(env, "entry-2", system.whole_answer(env, first).request_id)
    system.pass_time(env, 0.5)
    request_id = system.whole_answer(env, first).request_id
    drop = journal.ExpireRequests(request_ids=[request_id], elapsed_ms=60_000)
    system.commit_to_journal(env, drop)

    second = system.submit(env, "entry-1", "question", key="rot")
    system.pass_time(env, 0.5)

    assert system.problem(env, second).status == 410
    assert system.problem(env, second).ran is problems.Ran.YES
    assert len(system.calls_to_pool(env, "engines")) == 1


def test_a_claim_whose_reply_is_lost_is_made_once():
    env = system.create()
    env.network.losses["Claimed"] = 2

    caller = system.submit(env, "entry-1", "question", key="rot")
    system.pass_time(env, 3.0)

    assert system.whole_answer(env, caller)
    assert len(system.calls_to_pool(env, "engines")) == 1
