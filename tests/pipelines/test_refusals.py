"""The three words of a refusal are true."""

import itertools

import pytest

from bitternlever.journal import tables as journal_tables
from bitternlever.messages import problems, requests
from tests.pipelines import system


def test_a_claim_that_nobody_took_was_not_run():
    here = system.create()
    here.control.refused.add("Claim")

    caller = system.submit(here, "entry-1", "privacy-update", key="p")
    system.pass_time(here, 4.0)

    assert system.problem(here, caller).ran is problems.Ran.NO
    assert system.problem(here, caller).retry_after_s
    here.control.refused.clear()
    system.pass_time(here, 10.0)
    assert not here.calls


def test_a_claim_in_flight_may_still_commit_and_then_runs():
    here = system.create()
    here.control.stalled.add("Claim")

    caller = system.submit(here, "entry-1", "audit", key="p")
    system.pass_time(here, 4.0)
    stated = system.problem(here, caller)
    system.let_go(here)
    system.pass_time(here, 3.0)

    assert stated.ran is problems.Ran.UNKNOWN
    asked = system.query(here, "entry-2", stated.request_id)
    system.pass_time(here, 1.0)
    assert system.whole(here, asked)
    assert len(system.calls_of(here, "billing")) == 1


def test_a_doubtful_claim_without_a_caller_is_not_run_unless_it_is_durable():
    here = system.create()
    here.control.stalled.add("Claim")

    caller = system.submit(here, "entry-1", "privacy-update", key="p")
    system.pass_time(here, 4.0)
    system.let_go(here)
    system.pass_time(here, 5.0)

    assert system.problem(here, caller).ran is problems.Ran.UNKNOWN
    assert not here.issued
    assert not here.control.journal.records


@pytest.mark.parametrize("key", ["p", None])
def test_a_claim_that_commits_after_its_deadline_does_not_stay_open(key):
    here = system.create()
    here.control.stalled.add("Claim")

    caller = system.submit(here, "entry-1", "privacy-update", key=key, deadline_ms=300)
    system.pass_time(here, 0.5)
    system.let_go(here)
    system.pass_time(here, 1.0)

    assert system.problem(here, caller).ran is problems.Ran.UNKNOWN
    assert not here.issued
    records = here.control.journal.records.values()
    assert all(record.answer for record in records)
    assert not system.tables(here, "entry-1").requests.requests


def test_a_refusal_after_an_uncertain_claim_does_not_say_no():
    settings = journal_tables.JournalSettings(maximum_requests=0)
    here = system.create(settings=settings)
    here.network.losses["JournalFull"] = 1

    caller = system.submit(here, "entry-1", "audit", key="p")
    system.pass_time(here, 1.0)

    assert system.problem(here, caller).ran is problems.Ran.UNKNOWN


def test_a_full_journal_refuses_at_once_with_a_time_to_come_back():
    settings = journal_tables.JournalSettings(maximum_requests=0)
    here = system.create(settings=settings)

    caller = system.submit(here, "entry-1", "audit")
    system.pass_time(here, 0.1)

    assert system.problem(here, caller).status == 503
    assert system.problem(here, caller).ran is problems.Ran.NO
    assert system.problem(here, caller).retry_after_s


def test_a_keyed_request_refused_without_a_journal_to_ask_may_have_run():
    here = system.create()
    system.cut_off(here, "entry-1")
    system.pass_time(here, 5.0)

    keyed = system.submit(here, "entry-1", "question", key="p")
    plain = system.submit(here, "entry-1", "reading")
    system.pass_time(here, 0.01)

    assert system.problem(here, keyed).ran is problems.Ran.UNKNOWN
    assert system.problem(here, plain).ran is problems.Ran.NO


def test_an_unjournaled_request_is_given_up_at_its_deadline():
    here = system.create()
    here.held.add("panel")

    caller = system.submit(here, "entry-1", "reading", deadline_ms=300)
    system.pass_time(here, 0.31)

    assert system.problem(here, caller).status == 504
    assert system.problem(here, caller).ran is problems.Ran.UNKNOWN
    assert system.problem(here, caller).retry_after_s
    assert here.cancels == [here.calls[0].attempt]


def test_a_request_that_never_left_was_not_run_at_its_deadline():
    here = system.create()
    for fake in system.tables(here, "entry-1").membership.upstreams.values():
        fake.announcement.concurrency = 0

    caller = system.submit(here, "entry-1", "reading", deadline_ms=300)
    system.pass_time(here, 0.31)

    assert system.problem(here, caller).status == 504
    assert system.problem(here, caller).ran is problems.Ran.NO


def test_a_key_that_is_given_up_may_be_sent_again_and_runs_anew():
    here = system.create()
    here.held.add("engines")

    first = system.submit(here, "entry-1", "question", key="p", deadline_ms=500)
    system.pass_time(here, 0.6)
    here.held.clear()
    second = system.submit(here, "entry-2", "question", key="p", deadline_ms=500)
    system.pass_time(here, 0.4)

    assert system.problem(here, first).status == 504
    assert system.problem(here, first).ran is problems.Ran.UNKNOWN
    assert system.problem(here, first).retry_after_s
    assert system.whole(here, second)


def test_the_deadline_of_a_key_with_a_started_stage_is_its_recorded_answer():
    here = system.create()
    here.held.add("billing")

    first = system.submit(here, "entry-1", "privacy-update", key="p", deadline_ms=500)
    system.pass_time(here, 0.6)
    second = system.submit(here, "entry-2", "privacy-update", key="p", deadline_ms=500)
    system.pass_time(here, 0.5)

    assert system.problem(here, first).status == 504
    assert system.problem(here, first).ran is problems.Ran.UNKNOWN
    assert system.problem(here, first).retry_after_s is None
    assert system.problem(here, second) == system.problem(here, first)
    assert len(system.calls_of(here, "billing")) == 1


def test_a_durable_request_waits_past_its_deadline():
    here = system.create()
    here.held.add("engines")

    caller = system.submit(here, "entry-1", "dispute", deadline_ms=500)
    system.pass_time(here, 2.0)
    system.answer(here, system.calls_of(here, "engines")[0])
    system.pass_time(here, 0.5)

    assert system.whole(here, caller)


def test_a_durable_request_outlasts_failing_upstreams():
    here = system.create()
    here.held.add("engines")

    caller = system.submit(here, "entry-1", "dispute")
    tried = []
    for _ in range(6):
        call = system.next_call(here, "engines")
        tried.append(call.upstream)
        system.fail(here, call, requests.Sent.UNKNOWN)
    assert all(former != later for former, later in itertools.pairwise(tried))
    system.answer(here, system.next_call(here, "engines"))
    system.pass_time(here, 0.5)

    assert system.whole(here, caller)


def test_a_request_that_is_given_up_says_when_to_come_back():
    here = system.create()
    here.held.add("panel")

    caller = system.submit(here, "entry-1", "reading")
    system.pass_time(here, 0.1)
    answered = 0
    while system.problem(here, caller) is None:
        system.fail(here, here.calls[answered], requests.Sent.UNKNOWN)
        system.pass_time(here, 0.1)
        answered += 1

    assert system.problem(here, caller).status == 503
    assert system.problem(here, caller).retry_after_s
    assert system.problem(here, caller).ran is problems.Ran.UNKNOWN


def test_an_upstreams_refusal_of_the_input_is_not_retried():
    here = system.create()
    here.held.add("panel")

    caller = system.submit(here, "entry-1", "reading")
    system.pass_time(here, 0.1)
    system.fail(here, here.calls[0], requests.Sent.UNKNOWN, status=422)
    system.pass_time(here, 0.1)

    assert system.problem(here, caller).status == 502
    assert len(here.calls) == 1


def test_a_caller_is_told_at_once_when_a_problem_cannot_be_recorded():
    here = system.create()
    here.held.add("engines")
    caller = system.submit(here, "entry-1", "question", key="p", deadline_ms=500)
    system.until(here, lambda: system.calls_of(here, "engines"))
    here.control.stalled.update({"RecordAnswer", "WithdrawRequest"})

    system.pass_time(here, 1.6)

    assert system.problem(here, caller).status == 504
    assert system.problem(here, caller).ran is problems.Ran.UNKNOWN
