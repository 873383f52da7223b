"""A refusal states correctly whether the request ran: no, yes or unknown."""

import itertools

import pytest

from bitternlever.journal import tables as journal_tables
from bitternlever.messages import problems, requests
from tests.pipelines import system


def test_a_claim_that_control_redirected_was_not_run():
    env = system.create()
    env.control.refused.add("Claim")

    caller = system.submit(env, "entry-1", "privacy-update", key="p")
    system.pass_time(env, 4.0)

    assert system.problem(env, caller).ran is problems.Ran.NO
    assert system.problem(env, caller).retry_after_s
    env.control.refused.clear()
    system.pass_time(env, 10.0)
    assert not env.calls


def test_a_claim_in_flight_may_still_commit_and_then_runs():
    env = system.create()
    env.control.stalled.add("Claim")

    caller = system.submit(env, "entry-1", "audit", key="p")
    system.pass_time(env, 4.0)
    problem = system.problem(env, caller)
    system.release_stalled(env)
    system.pass_time(env, 3.0)

    assert problem.ran is problems.Ran.UNKNOWN
    querier = system.query(env, "entry-2", problem.request_id)
    system.pass_time(env, 1.0)
    assert system.whole_answer(env, querier)
    assert len(system.calls_to_pool(env, "billing")) == 1


def test_a_doubtful_claim_without_a_caller_is_not_run_unless_it_is_durable():
    env = system.create()
    env.control.stalled.add("Claim")

    caller = system.submit(env, "entry-1", "privacy-update", key="p")
    system.pass_time(env, 4.0)
    system.release_stalled(env)
    system.pass_time(env, 5.0)

    assert system.problem(env, caller).ran is problems.Ran.UNKNOWN
    assert not env.issued_calls
    assert not env.control.journal.records


@pytest.mark.parametrize("key", ["p", None])
def test_a_claim_that_commits_after_its_deadline_does_not_stay_open(key):
    env = system.create()
    env.control.stalled.add("Claim")

    caller = system.submit(env, "entry-1", "privacy-update", key=key, deadline_ms=300)
    system.pass_time(env, 0.5)
    system.release_stalled(env)
    system.pass_time(env, 1.0)

    assert system.problem(env, caller).ran is problems.Ran.UNKNOWN
    assert not env.issued_calls
    records = env.control.journal.records.values()
    assert all(record.answer for record in records)
    assert not system.tables(env, "entry-1").requests.requests


def test_a_refusal_after_an_uncertain_claim_does_not_say_no():
    settings = journal_tables.JournalSettings(maximum_requests=0)
    env = system.create(settings=settings)
    env.network.losses["JournalFull"] = 1

    caller = system.submit(env, "entry-1", "audit", key="p")
    system.pass_time(env, 1.0)

    assert system.problem(env, caller).ran is problems.Ran.UNKNOWN


def test_a_full_journal_refuses_at_once_with_a_time_to_come_back():
    settings = journal_tables.JournalSettings(maximum_requests=0)
    env = system.create(settings=settings)

    caller = system.submit(env, "entry-1", "audit")
    system.pass_time(env, 0.1)

    assert system.problem(env, caller).status == 503
    assert system.problem(env, caller).ran is problems.Ran.NO
    assert system.problem(env, caller).retry_after_s


def test_a_keyed_request_refused_without_a_journal_to_ask_may_have_run():
    env = system.create()
    system.isolate_from_control(env, "entry-1")
    system.pass_time(env, 5.0)

    keyed = system.submit(env, "entry-1", "question", key="p")
    plain = system.submit(env, "entry-1", "reading")
    system.pass_time(env, 0.01)

    assert system.problem(env, keyed).ran is problems.Ran.UNKNOWN
    assert system.problem(env, plain).ran is problems.Ran.NO


def test_an_unjournaled_request_is_given_up_at_its_deadline():
    env = system.create()
    env.held_pools.add("panel")

    caller = system.submit(env, "entry-1", "reading", deadline_ms=300)
    system.pass_time(env, 0.31)

    assert system.problem(env, caller).status == 504
    assert system.problem(env, caller).ran is problems.Ran.UNKNOWN
    assert system.problem(env, caller).retry_after_s
    assert env.cancelled_attempts == [env.calls[0].attempt]


def test_a_request_that_was_never_sent_was_not_run_at_its_deadline():
    env = system.create()
    for upstream in system.tables(env, "entry-1").membership.upstreams.values():
        upstream.announcement.concurrency = 0

    caller = system.submit(env, "entry-1", "reading", deadline_ms=300)
    system.pass_time(env, 0.31)

    assert system.problem(env, caller).status == 504
    assert system.problem(env, caller).ran is problems.Ran.NO


def test_a_key_that_is_given_up_may_be_sent_again_and_runs_anew():
    env = system.create()
    env.held_pools.add("engines")

    first = system.submit(env, "entry-1", "question", key="p", deadline_ms=500)
    system.pass_time(env, 0.6)
    env.held_pools.clear()
    second = system.submit(env, "entry-2", "question", key="p", deadline_ms=500)
    system.pass_time(env, 0.4)

    assert system.problem(env, first).status == 504
    assert system.problem(env, first).ran is problems.Ran.UNKNOWN
    assert system.problem(env, first).retry_after_s
    assert system.whole_answer(env, second)


def test_the_deadline_of_a_key_with_a_started_stage_is_its_recorded_answer():
    env = system.create()
    env.held_pools.add("billing")

    first = system.submit(env, "entry-1", "privacy-update", key="p", deadline_ms=500)
    system.pass_time(env, 0.6)
    second = system.submit(env, "entry-2", "privacy-update", key="p", deadline_ms=500)
    system.pass_time(env, 0.5)

    assert system.problem(env, first).status == 504
    assert system.problem(env, first).ran is problems.Ran.UNKNOWN
    assert system.problem(env, first).retry_after_s is None
    assert system.problem(env, second) == system.problem(env, first)
    assert len(system.calls_to_pool(env, "billing")) == 1


def test_a_durable_request_waits_past_its_deadline():
    env = system.create()
    env.held_pools.add("engines")

    caller = system.submit(env, "entry-1", "dispute", deadline_ms=500)
    system.pass_time(env, 2.0)
    system.answer_call(env, system.calls_to_pool(env, "engines")[0])
    system.pass_time(env, 0.5)

    assert system.whole_answer(env, caller)


def test_a_durable_request_outlasts_failing_upstreams():
    env = system.create()
    env.held_pools.add("engines")

    caller = system.submit(env, "entry-1", "dispute")
    tried_upstreams = []
    for _ in range(6):
        call = system.next_call(env, "engines")
        tried_upstreams.append(call.upstream)
        system.fail_call(env, call, requests.Sent.UNKNOWN)
    assert all(former != later for former, later in itertools.pairwise(tried_upstreams))
    system.answer_call(env, system.next_call(env, "engines"))
    system.pass_time(env, 0.5)

    assert system.whole_answer(env, caller)


def test_a_request_that_is_given_up_says_when_to_come_back():
    env = system.create()
    env.held_pools.add("panel")

    caller = system.submit(env, "entry-1", "reading")
    system.pass_time(env, 0.1)
    answered = 0
    while system.problem(env, caller) is None:
        system.fail_call(env, env.calls[answered], requests.Sent.UNKNOWN)
        system.pass_time(env, 0.1)
        answered += 1

    assert system.problem(env, caller).status == 503
    assert system.problem(env, caller).retry_after_s
    assert system.problem(env, caller).ran is problems.Ran.UNKNOWN


def test_an_upstreams_refusal_of_the_input_is_not_retried():
    env = system.create()
    env.held_pools.add("panel")

    caller = system.submit(env, "entry-1", "reading")
    system.pass_time(env, 0.1)
    system.fail_call(env, env.calls[0], requests.Sent.UNKNOWN, status=422)
    system.pass_time(env, 0.1)

    assert system.problem(env, caller).status == 502
    assert len(env.calls) == 1


def test_a_caller_is_told_at_once_when_a_problem_cannot_be_recorded():
    env = system.create()
    env.held_pools.add("engines")
    caller = system.submit(env, "entry-1", "question", key="p", deadline_ms=500)
    system.wait_until(env, lambda: system.calls_to_pool(env, "engines"))
    env.control.stalled.update({"RecordAnswer", "WithdrawRequest"})

    system.pass_time(env, 1.6)

    assert system.problem(env, caller).status == 504
    assert system.problem(env, caller).ran is problems.Ran.UNKNOWN
