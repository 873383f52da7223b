"""Idempotency keys: one run and one answer across all hosts."""

import pytest

from bitternlever.messages import journal, problems, requests
from tests.pipelines import system


def test_the_same_key_on_another_host_joins_the_one_run():
    sim = system.create()
    sim.held_pools.add("engines")

    first = system.submit(sim, "entry-1", "question", key="rot")
    system.wait_until(sim, lambda: system.calls_to_pool(sim, "engines"))
    second = system.submit(sim, "entry-2", "question", key="rot")
    third = system.submit(sim, "entry-1", "question", key="rot")
    system.pass_time(sim, 0.5)
    system.answer_call(sim, system.calls_to_pool(sim, "engines")[0])
    system.pass_time(sim, 1.0)

    bodies = {
        system.whole_answer(sim, caller).body for caller in (first, second, third)
    }
    assert len(bodies) == 1
    assert len(system.calls_to_pool(sim, "engines")) == 1


@pytest.mark.parametrize("host", ["entry-1", "entry-2"])
def test_callers_of_one_key_are_bounded_on_every_host(host):
    sim = system.create(maximum_requests=2)
    sim.held_pools.add("engines")
    system.submit(sim, "entry-1", "question", key="rot")
    system.wait_until(sim, lambda: system.calls_to_pool(sim, "engines"))

    callers = [system.submit(sim, host, "question", key="rot") for _ in range(6)]
    system.pass_time(sim, 0.5)

    refused = [caller for caller in callers if system.problem(sim, caller)]
    assert refused
    assert len(system.tables(sim, host).requests.callers) == 4
    assert system.problem(sim, refused[0]).ran is problems.Ran.UNKNOWN


def test_the_same_key_later_gets_the_stored_bytes_on_another_host():
    sim = system.create()
    first = system.submit(sim, "entry-1", "question", key="rot")
    system.pass_time(sim, 1.0)

    second = system.submit(sim, "entry-2", "question", key="rot")
    system.pass_time(sim, 1.0)

    assert system.whole_answer(sim, second).body == system.whole_answer(sim, first).body
    assert len(system.calls_to_pool(sim, "engines")) == 1


def test_another_body_under_a_key_in_use_is_refused_on_every_host():
    sim = system.create()
    sim.held_pools.add("engines")
    system.submit(sim, "entry-1", "question", key="rot")
    system.wait_until(sim, lambda: system.calls_to_pool(sim, "engines"))

    same_host = system.submit(sim, "entry-1", "question", key="rot", input="sun")
    other_host = system.submit(sim, "entry-2", "question", key="rot", input="sun")
    system.pass_time(sim, 0.5)

    for caller in (same_host, other_host):
        assert system.problem(sim, caller).status == 422
        assert system.problem(sim, caller).ran is problems.Ran.NO


def test_a_refused_resend_gets_the_answer_that_its_key_has():
    sim = system.create()
    first = system.submit(sim, "entry-1", "question", key="rot")
    system.pass_time(sim, 1.0)
    system.deliver(sim, "entry-2", requests.DrainRequested())
    system.pass_time(sim, 0.5)
    system.tables(sim, "entry-2").requests.drain_host_lists_expire_s = sim.runtime.now

    second = system.submit(sim, "entry-2", "question", key="rot")
    system.wait_until(sim, lambda: system.whole_answer(sim, second), limit_s=1.0)

    assert system.whole_answer(sim, second).body == system.whole_answer(sim, first).body


def test_an_acknowledged_key_does_not_run_again():
    sim = system.create()
    first = system.submit(sim, "entry-1", "question", key="rot")
    system.pass_time(sim, 1.0)
    system.acknowledge(sim, "entry-2", system.whole_answer(sim, first).request_id)
    system.pass_time(sim, 0.5)
    request_id = system.whole_answer(sim, first).request_id
    drop = journal.ExpireRequests(request_ids=[request_id], elapsed_ms=60_000)
    system.commit_to_journal(sim, drop)

    second = system.submit(sim, "entry-1", "question", key="rot")
    system.pass_time(sim, 0.5)

    assert system.problem(sim, second).status == 410
    assert system.problem(sim, second).ran is problems.Ran.YES
    assert len(system.calls_to_pool(sim, "engines")) == 1


def test_a_claim_whose_reply_is_lost_is_made_once():
    sim = system.create()
    sim.network.losses["Claimed"] = 2

    caller = system.submit(sim, "entry-1", "question", key="rot")
    system.pass_time(sim, 3.0)

    assert system.whole_answer(sim, caller)
    assert len(system.calls_to_pool(sim, "engines")) == 1
