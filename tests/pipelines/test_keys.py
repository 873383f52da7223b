"""Idempotency keys: one run and one answer on all hosts."""

import pytest

from bitternlever.messages import journal, problems, requests
from tests.pipelines import system


def test_the_same_key_on_another_host_joins_the_one_run():
    here = system.create()
    here.held.add("engines")

    first = system.submit(here, "entry-1", "question", key="rot")
    system.until(here, lambda: system.calls_of(here, "engines"))
    second = system.submit(here, "entry-2", "question", key="rot")
    third = system.submit(here, "entry-1", "question", key="rot")
    system.pass_time(here, 0.5)
    system.answer(here, system.calls_of(here, "engines")[0])
    system.pass_time(here, 1.0)

    bodies = {system.whole(here, caller).body for caller in (first, second, third)}
    assert len(bodies) == 1
    assert len(system.calls_of(here, "engines")) == 1


@pytest.mark.parametrize("host", ["entry-1", "entry-2"])
def test_callers_of_one_key_are_bounded_on_every_host(host):
    here = system.create(maximum_requests=2)
    here.held.add("engines")
    system.submit(here, "entry-1", "question", key="rot")
    system.until(here, lambda: system.calls_of(here, "engines"))

    callers = [system.submit(here, host, "question", key="rot") for _ in range(6)]
    system.pass_time(here, 0.5)

    refused = [each for each in callers if system.problem(here, each)]
    assert refused
    assert len(system.tables(here, host).requests.callers) == 4
    assert system.problem(here, refused[0]).ran is problems.Ran.UNKNOWN


def test_the_same_key_later_gets_the_stored_bytes_on_another_host():
    here = system.create()
    first = system.submit(here, "entry-1", "question", key="rot")
    system.pass_time(here, 1.0)

    second = system.submit(here, "entry-2", "question", key="rot")
    system.pass_time(here, 1.0)

    assert system.whole(here, second).body == system.whole(here, first).body
    assert len(system.calls_of(here, "engines")) == 1


def test_another_body_under_a_key_in_use_is_refused_on_every_host():
    here = system.create()
    here.held.add("engines")
    system.submit(here, "entry-1", "question", key="rot")
    system.until(here, lambda: system.calls_of(here, "engines"))

    same_host = system.submit(here, "entry-1", "question", key="rot", input="sun")
    other_host = system.submit(here, "entry-2", "question", key="rot", input="sun")
    system.pass_time(here, 0.5)

    for caller in (same_host, other_host):
        assert system.problem(here, caller).status == 422
        assert system.problem(here, caller).ran is problems.Ran.NO


def test_a_refused_resend_gets_the_answer_that_its_key_has():
    here = system.create()
    first = system.submit(here, "entry-1", "question", key="rot")
    system.pass_time(here, 1.0)
    system.tell(here, "entry-2", requests.DrainRequested())
    system.pass_time(here, 0.5)
    system.tables(here, "entry-2").requests.drain_host_lists_expire_s = here.here.now

    second = system.submit(here, "entry-2", "question", key="rot")
    system.until(here, lambda: system.whole(here, second), limit_s=1.0)

    assert system.whole(here, second).body == system.whole(here, first).body


def test_an_acknowledged_key_does_not_run_again():
    here = system.create()
    first = system.submit(here, "entry-1", "question", key="rot")
    system.pass_time(here, 1.0)
    system.acknowledge(here, "entry-2", system.whole(here, first).request_id)
    system.pass_time(here, 0.5)
    request_id = system.whole(here, first).request_id
    drop = journal.ExpireRequests(request_ids=[request_id], elapsed_ms=60_000)
    system.commit(here, drop)

    second = system.submit(here, "entry-1", "question", key="rot")
    system.pass_time(here, 0.5)

    assert system.problem(here, second).status == 410
    assert system.problem(here, second).ran is problems.Ran.YES
    assert len(system.calls_of(here, "engines")) == 1


def test_a_claim_whose_reply_is_lost_is_made_once():
    here = system.create()
    here.network.losses["Claimed"] = 2

    caller = system.submit(here, "entry-1", "question", key="rot")
    system.pass_time(here, 3.0)

    assert system.whole(here, caller)
    assert len(system.calls_of(here, "engines")) == 1
