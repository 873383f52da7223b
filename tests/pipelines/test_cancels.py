"""Cancelled requests start no further stage."""

from bitternlever.messages import problems, requests
from tests.pipelines import system


def running(here, kind: str, pool: str, **options):
    """Submit a request and wait until it calls a pool, whose calls are held."""
    here.held.add(pool)
    caller = system.submit(here, "entry-1", kind, **options)
    call = system.next_call(here, pool)
    system.pass_time(here, 0.1)
    return caller, call


def states(here, caller: int) -> list[str]:
    return [each.state for each in here.told.get(caller, []) if hasattr(each, "state")]


def test_a_closed_connection_cancels_the_engine_stream():
    here = system.create()
    caller, call = running(here, "question", "engines", stream=True)

    system.tell(here, "entry-1", requests.CallerGone(caller=caller))
    system.pass_time(here, 0.5)

    assert here.cancels == [call.attempt]
    assert not system.tables(here, "entry-1").requests.requests


def test_a_closed_connection_starts_no_further_stage():
    here = system.create()
    caller, call = running(here, "privacy-update", "encoders")

    system.tell(here, "entry-1", requests.CallerGone(caller=caller))
    system.answer(here, call)
    system.pass_time(here, 0.5)

    assert not system.calls_of(here, "billing")
    record = here.control.journal.records[call.call.binding.request]
    assert record.answer.status == 409


def test_a_started_stage_that_may_not_be_repeated_is_waited_for():
    here = system.create()
    caller, call = running(here, "privacy-update", "billing")

    system.tell(here, "entry-1", requests.CallerGone(caller=caller))
    system.pass_time(here, 0.1)
    system.answer(here, call)
    system.pass_time(here, 0.5)

    assert not here.cancels
    assert not system.calls_of(here, "engines")
    asked = system.query(here, "entry-2", call.call.binding.request)
    system.pass_time(here, 0.2)
    assert system.problem(here, asked).ran is problems.Ran.YES


def test_a_durable_request_outlives_its_connection():
    here = system.create()
    caller, call = running(here, "dispute", "engines")

    system.tell(here, "entry-1", requests.CallerGone(caller=caller))
    system.pass_time(here, 0.1)
    system.answer(here, call)
    system.pass_time(here, 0.5)

    asked = system.query(here, "entry-2", call.call.binding.request)
    system.pass_time(here, 0.2)
    assert system.whole(here, asked)


def test_a_key_whose_caller_does_not_come_back_is_withdrawn():
    here = system.create()
    caller, call = running(here, "question", "engines", key="p")

    system.tell(here, "entry-1", requests.CallerGone(caller=caller))
    system.pass_time(here, 3.5)
    early = list(here.cancels)
    system.pass_time(here, 1.0)

    assert not early
    assert here.cancels == [call.attempt]
    assert not here.control.journal.records


def test_a_key_whose_caller_follows_it_elsewhere_goes_on():
    here = system.create(gossip=True)
    caller, call = running(here, "question", "engines", key="p", stream=True)
    system.tell(here, "entry-1", requests.CallerGone(caller=caller))

    request_id = call.call.binding.request
    again = system.query(here, "entry-2", request_id, stream=True)
    system.pass_time(here, 7.0)
    system.answer(here, call, "rain")
    system.pass_time(here, 1.0)

    assert system.whole(here, again)
    assert len(system.calls_of(here, "engines")) == 1


def test_a_key_with_a_started_stage_goes_on_without_its_caller():
    here = system.create()
    caller, call = running(here, "privacy-update", "billing", key="p")

    system.tell(here, "entry-1", requests.CallerGone(caller=caller))
    system.pass_time(here, 5.0)
    system.answer(here, call)
    system.pass_time(here, 0.5)
    again = system.submit(here, "entry-2", "privacy-update", key="p")
    system.pass_time(here, 0.5)

    assert system.whole(here, again)
    assert len(system.calls_of(here, "billing")) == 1


def test_one_of_two_callers_may_leave():
    here = system.create()
    caller, call = running(here, "question", "engines", key="p")
    second = system.submit(here, "entry-1", "question", key="p")

    system.tell(here, "entry-1", requests.CallerGone(caller=caller))
    system.answer(here, call)
    system.pass_time(here, 0.5)

    assert system.whole(here, second)
    assert system.whole(here, caller) is None


def test_a_durable_request_is_cancelled_by_name():
    here = system.create()
    caller, call = running(here, "dispute", "engines")

    canceller = system.cancel(here, "entry-1", call.call.binding.request)
    system.pass_time(here, 0.5)

    assert states(here, canceller) == ["cancelled"]
    assert system.problem(here, caller).status == 409
    assert here.cancels == [call.attempt]


def test_a_cancellation_through_another_host_reaches_the_owner():
    here = system.create()
    caller, call = running(here, "privacy-update", "encoders")

    canceller = system.cancel(here, "entry-2", call.call.binding.request)
    system.pass_time(here, 0.1)
    system.answer(here, call)
    system.pass_time(here, 0.5)

    assert states(here, canceller) == ["cancelled"]
    assert not system.calls_of(here, "billing")
    assert system.problem(here, caller).title == "Cancelled"


def test_a_cancellation_during_the_claim_starts_nothing():
    here = system.create()
    here.control.stalled.add("Claim")
    caller = system.submit(here, "entry-1", "audit", key="p")
    request_id = next(iter(system.tables(here, "entry-1").requests.requests))

    canceller = system.cancel(here, "entry-1", request_id)
    system.pass_time(here, 0.1)
    system.let_go(here)
    system.pass_time(here, 1.0)

    assert states(here, canceller) == ["cancelled"]
    assert system.problem(here, caller).ran is problems.Ran.NO
    assert not here.calls


def test_a_cancellation_during_the_start_sends_nothing():
    here = system.create()
    here.control.stalled.add("StartStage")
    caller = system.submit(here, "entry-1", "privacy-update")
    system.next_call(here, "encoders")
    system.pass_time(here, 0.1)

    system.tell(here, "entry-1", requests.CallerGone(caller=caller))
    system.let_go(here)
    system.pass_time(here, 1.0)

    assert not system.calls_of(here, "billing")


def test_an_answered_request_cannot_be_cancelled():
    here = system.create()
    caller = system.submit(here, "entry-1", "audit")
    system.pass_time(here, 1.0)

    canceller = system.cancel(here, "entry-2", system.whole(here, caller).request_id)
    system.pass_time(here, 0.2)

    assert states(here, canceller) == ["answered"]


def test_an_unknown_request_is_neither_found_nor_cancelled():
    here = system.create()

    asked = system.query(here, "entry-1", "k-none")
    canceller = system.cancel(here, "entry-1", "k-none")
    system.pass_time(here, 0.2)

    assert system.problem(here, asked).status == 404
    assert system.problem(here, canceller).status == 404


def test_the_state_of_an_open_request_is_told_at_once_on_every_host():
    here = system.create()
    _, call = running(here, "dispute", "engines")

    asked = [
        system.query(here, host, call.call.binding.request)
        for host in ("entry-1", "entry-2")
    ]
    system.pass_time(here, 0.1)

    assert [states(here, caller) for caller in asked] == [["open"], ["open"]]
