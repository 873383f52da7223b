"""A refusal states correctly whether the request ran: no, yes or unknown."""

import itertools

import pytest

from bitternlever.journal import tables as journal_tables
from bitternlever.messages import problems, requests
from tests.pipelines import system


def test_a_claim_that_control_redirected_was_not_run():
    sim = system.create()
    sim.control.refused.add("Claim")

    caller = system.submit(sim, "entry-1", "privacy-update", key="p")
    system.pass_time(sim, 4.0)

    assert system.problem(sim, caller).ran is problems.Ran.NO
    assert system.problem(sim, caller).retry_after_s
    sim.control.refused.clear()
    system.pass_time(sim, 10.0)
    assert not sim.calls


def test_a_claim_in_flight_may_still_commit_and_then_runs():
    sim = system.create()
    sim.control.stalled.add("Claim")

    caller = system.submit(sim, "entry-1", "audit", key="p")
    system.pass_time(sim, 4.0)
    problem = system.problem(sim, caller)
    system.release_stalled(sim)
    system.pass_time(sim, 3.0)

    assert problem.ran is problems.Ran.UNKNOWN
    querier = system.query(sim, "entry-2", problem.request_id)
    system.pass_time(sim, 1.0)
    assert system.whole_answer(sim, querier)
    assert len(system.calls_to_pool(sim, "billing")) == 1


def test_a_doubtful_claim_without_a_caller_is_not_run_unless_it_is_durable():
    sim = system.create()
    sim.control.stalled.add("Claim")

    caller = system.submit(sim, "entry-1", "privacy-update", key="p")
    system.pass_time(sim, 4.0)
    system.release_stalled(sim)
    system.pass_time(sim, 5.0)

    assert system.problem(sim, caller).ran is problems.Ran.UNKNOWN
    assert not sim.issued_calls
    assert not sim.control.journal.records


@pytest.mark.parametrize("key", ["p", None])
def test_a_claim_that_commits_after_its_deadline_does_not_stay_open(key):
    sim = system.create()
    sim.control.stalled.add("Claim")

    caller = system.submit(sim, "entry-1", "privacy-update", key=key, deadline_ms=300)
    system.pass_time(sim, 0.5)
    system.release_stalled(sim)
    system.pass_time(sim, 1.0)

    assert system.problem(sim, caller).ran is problems.Ran.UNKNOWN
    assert not sim.issued_calls
    records = sim.control.journal.records.values()
    assert all(record.answer for record in records)
    assert not system.tables(sim, "entry-1").requests.requests


def test_a_refusal_after_an_uncertain_claim_does_not_say_no():
    settings = journal_tables.JournalSettings(maximum_requests=0)
    sim = system.create(settings=settings)
    sim.network.losses["JournalFull"] = 1

    caller = system.submit(sim, "entry-1", "audit", key="p")
    system.pass_time(sim, 1.0)

    assert system.problem(sim, caller).ran is problems.Ran.UNKNOWN


def test_a_full_journal_refuses_at_once_with_a_time_to_come_back():
    settings = journal_tables.JournalSettings(maximum_requests=0)
    sim = system.create(settings=settings)

    caller = system.submit(sim, "entry-1", "audit")
    system.pass_time(sim, 0.1)

    assert system.problem(sim, caller).status == 503
    assert system.problem(sim, caller).ran is problems.Ran.NO
    assert system.problem(sim, caller).retry_after_s


def test_a_keyed_request_refused_without_a_journal_to_ask_may_have_run():
    sim = system.create()
    system.isolate_from_control(sim, "entry-1")
    system.pass_time(sim, 5.0)

    keyed = system.submit(sim, "entry-1", "question", key="p")
    plain = system.submit(sim, "entry-1", "reading")
    system.pass_time(sim, 0.01)

    assert system.problem(sim, keyed).ran is problems.Ran.UNKNOWN
    assert system.problem(sim, plain).ran is problems.Ran.NO


def test_an_unjournaled_request_is_given_up_at_its_deadline():
    sim = system.create()
    sim.held_pools.add("panel")

    caller = system.submit(sim, "entry-1", "reading", deadline_ms=300)
    system.pass_time(sim, 0.31)

    assert system.problem(sim, caller).status == 504
    assert system.problem(sim, caller).ran is problems.Ran.UNKNOWN
    assert system.problem(sim, caller).retry_after_s
    assert sim.cancelled_attempts == [sim.calls[0].attempt]


def test_a_request_that_was_never_sent_was_not_run_at_its_deadline():
    sim = system.create()
    for upstream in system.tables(sim, "entry-1").membership.upstreams.values():
        upstream.announcement.concurrency = 0

    caller = system.submit(sim, "entry-1", "reading", deadline_ms=300)
    system.pass_time(sim, 0.31)

    assert system.problem(sim, caller).status == 504
    assert system.problem(sim, caller).ran is problems.Ran.NO


def test_a_key_that_is_given_up_may_be_sent_again_and_runs_anew():
    sim = system.create()
    sim.held_pools.add("engines")

    first = system.submit(sim, "entry-1", "question", key="p", deadline_ms=500)
    system.pass_time(sim, 0.6)
    sim.held_pools.clear()
    second = system.submit(sim, "entry-2", "question", key="p", deadline_ms=500)
    system.pass_time(sim, 0.4)

    assert system.problem(sim, first).status == 504
    assert system.problem(sim, first).ran is problems.Ran.UNKNOWN
    assert system.problem(sim, first).retry_after_s
    assert system.whole_answer(sim, second)


def test_the_deadline_of_a_key_with_a_started_stage_is_its_recorded_answer():
    sim = system.create()
    sim.held_pools.add("billing")

    first = system.submit(sim, "entry-1", "privacy-update", key="p", deadline_ms=500)
    system.pass_time(sim, 0.6)
    second = system.submit(sim, "entry-2", "privacy-update", key="p", deadline_ms=500)
    system.pass_time(sim, 0.5)

    assert system.problem(sim, first).status == 504
    assert system.problem(sim, first).ran is problems.Ran.UNKNOWN
    assert system.problem(sim, first).retry_after_s is None
    assert system.problem(sim, second) == system.problem(sim, first)
    assert len(system.calls_to_pool(sim, "billing")) == 1


def test_a_durable_request_waits_past_its_deadline():
    sim = system.create()
    sim.held_pools.add("engines")

    caller = system.submit(sim, "entry-1", "dispute", deadline_ms=500)
    system.pass_time(sim, 2.0)
    system.answer_call(sim, system.calls_to_pool(sim, "engines")[0])
    system.pass_time(sim, 0.5)

    assert system.whole_answer(sim, caller)


def test_a_durable_request_outlasts_failing_upstreams():
    sim = system.create()
    sim.held_pools.add("engines")

    caller = system.submit(sim, "entry-1", "dispute")
    tried_upstreams = []
    for _ in range(6):
        call = system.next_call(sim, "engines")
        tried_upstreams.append(call.upstream)
        system.fail_call(sim, call, requests.Sent.UNKNOWN)
    assert all(former != later for former, later in itertools.pairwise(tried_upstreams))
    system.answer_call(sim, system.next_call(sim, "engines"))
    system.pass_time(sim, 0.5)

    assert system.whole_answer(sim, caller)


def test_a_request_that_is_given_up_says_when_to_come_back():
    sim = system.create()
    sim.held_pools.add("panel")

    caller = system.submit(sim, "entry-1", "reading")
    system.pass_time(sim, 0.1)
    answered = 0
    while system.problem(sim, caller) is None:
        system.fail_call(sim, sim.calls[answered], requests.Sent.UNKNOWN)
        system.pass_time(sim, 0.1)
        answered += 1

    assert system.problem(sim, caller).status == 503
    assert system.problem(sim, caller).retry_after_s
    assert system.problem(sim, caller).ran is problems.Ran.UNKNOWN


def test_an_upstreams_refusal_of_the_input_is_not_retried():
    sim = system.create()
    sim.held_pools.add("panel")

    caller = system.submit(sim, "entry-1", "reading")
    system.pass_time(sim, 0.1)
    system.fail_call(sim, sim.calls[0], requests.Sent.UNKNOWN, status=422)
    system.pass_time(sim, 0.1)

    assert system.problem(sim, caller).status == 502
    assert len(sim.calls) == 1


def test_a_caller_is_told_at_once_when_a_problem_cannot_be_recorded():
    sim = system.create()
    sim.held_pools.add("engines")
    caller = system.submit(sim, "entry-1", "question", key="p", deadline_ms=500)
    system.wait_until(sim, lambda: system.calls_to_pool(sim, "engines"))
    sim.control.stalled.update({"RecordAnswer", "WithdrawRequest"})

    system.pass_time(sim, 1.6)

    assert system.problem(sim, caller).status == 504
    assert system.problem(sim, caller).ran is problems.Ran.UNKNOWN
