"""Cancelled requests start no further stage."""

from bitternlever.messages import problems, requests
from tests.pipelines import system


def submit_and_wait(sim, kind: str, pool: str, **options):
    """Submit a request; return its caller and its held call to a pool."""
    sim.held_pools.add(pool)
    caller = system.submit(sim, "entry-1", kind, **options)
    call = system.next_call(sim, pool)
    system.pass_time(sim, 0.1)
    return caller, call


def states(sim, caller: int) -> list[str]:
    return [
        message.state
        for message in sim.responses.get(caller, [])
        if hasattr(message, "state")
    ]


def test_a_closed_connection_cancels_the_engine_stream():
    sim = system.create()
    caller, call = submit_and_wait(sim, "question", "engines", stream=True)

    system.deliver(sim, "entry-1", requests.CallerGone(caller=caller))
    system.pass_time(sim, 0.5)

    assert sim.cancelled_attempts == [call.attempt]
    assert not system.tables(sim, "entry-1").requests.requests


def test_a_closed_connection_starts_no_further_stage():
    sim = system.create()
    caller, call = submit_and_wait(sim, "privacy-update", "encoders")

    system.deliver(sim, "entry-1", requests.CallerGone(caller=caller))
    system.answer_call(sim, call)
    system.pass_time(sim, 0.5)

    assert not system.calls_to_pool(sim, "billing")
    record = sim.control.journal.records[call.call.binding.request]
    assert record.answer.status == 409


def test_a_started_stage_that_may_not_be_repeated_is_waited_for():
    sim = system.create()
    caller, call = submit_and_wait(sim, "privacy-update", "billing")

    system.deliver(sim, "entry-1", requests.CallerGone(caller=caller))
    system.pass_time(sim, 0.1)
    system.answer_call(sim, call)
    system.pass_time(sim, 0.5)

    assert not sim.cancelled_attempts
    assert not system.calls_to_pool(sim, "engines")
    querier = system.query(sim, "entry-2", call.call.binding.request)
    system.pass_time(sim, 0.2)
    assert system.problem(sim, querier).ran is problems.Ran.YES


def test_a_durable_request_outlives_its_connection():
    sim = system.create()
    caller, call = submit_and_wait(sim, "dispute", "engines")

    system.deliver(sim, "entry-1", requests.CallerGone(caller=caller))
    system.pass_time(sim, 0.1)
    system.answer_call(sim, call)
    system.pass_time(sim, 0.5)

    querier = system.query(sim, "entry-2", call.call.binding.request)
    system.pass_time(sim, 0.2)
    assert system.whole_answer(sim, querier)


def test_a_key_whose_caller_does_not_come_back_is_withdrawn():
    sim = system.create()
    caller, call = submit_and_wait(sim, "question", "engines", key="p")

    system.deliver(sim, "entry-1", requests.CallerGone(caller=caller))
    system.pass_time(sim, 3.5)
    early = list(sim.cancelled_attempts)
    system.pass_time(sim, 1.0)

    assert not early
    assert sim.cancelled_attempts == [call.attempt]
    assert not sim.control.journal.records


def test_a_key_whose_caller_follows_it_elsewhere_goes_on():
    sim = system.create(gossip=True)
    caller, call = submit_and_wait(sim, "question", "engines", key="p", stream=True)
    system.deliver(sim, "entry-1", requests.CallerGone(caller=caller))

    request_id = call.call.binding.request
    second = system.query(sim, "entry-2", request_id, stream=True)
    system.pass_time(sim, 7.0)
    system.answer_call(sim, call, "rain")
    system.pass_time(sim, 1.0)

    assert system.whole_answer(sim, second)
    assert len(system.calls_to_pool(sim, "engines")) == 1


def test_a_key_with_a_started_stage_goes_on_without_its_caller():
    sim = system.create()
    caller, call = submit_and_wait(sim, "privacy-update", "billing", key="p")

    system.deliver(sim, "entry-1", requests.CallerGone(caller=caller))
    system.pass_time(sim, 5.0)
    system.answer_call(sim, call)
    system.pass_time(sim, 0.5)
    second = system.submit(sim, "entry-2", "privacy-update", key="p")
    system.pass_time(sim, 0.5)

    assert system.whole_answer(sim, second)
    assert len(system.calls_to_pool(sim, "billing")) == 1


def test_a_request_continues_after_one_of_two_callers_disconnects():
    sim = system.create()
    caller, call = submit_and_wait(sim, "question", "engines", key="p")
    second = system.submit(sim, "entry-1", "question", key="p")

    system.deliver(sim, "entry-1", requests.CallerGone(caller=caller))
    system.answer_call(sim, call)
    system.pass_time(sim, 0.5)

    assert system.whole_answer(sim, second)
    assert system.whole_answer(sim, caller) is None


def test_a_durable_request_is_cancelled_by_name():
    sim = system.create()
    caller, call = submit_and_wait(sim, "dispute", "engines")

    canceller = system.cancel(sim, "entry-1", call.call.binding.request)
    system.pass_time(sim, 0.5)

    assert states(sim, canceller) == ["cancelled"]
    assert system.problem(sim, caller).status == 409
    assert sim.cancelled_attempts == [call.attempt]


def test_a_cancellation_through_another_host_reaches_the_owner():
    sim = system.create()
    caller, call = submit_and_wait(sim, "privacy-update", "encoders")

    canceller = system.cancel(sim, "entry-2", call.call.binding.request)
    system.pass_time(sim, 0.1)
    system.answer_call(sim, call)
    system.pass_time(sim, 0.5)

    assert states(sim, canceller) == ["cancelled"]
    assert not system.calls_to_pool(sim, "billing")
    assert system.problem(sim, caller).title == "Cancelled"


def test_a_cancellation_during_the_claim_starts_nothing():
    sim = system.create()
    sim.control.stalled.add("Claim")
    caller = system.submit(sim, "entry-1", "audit", key="p")
    request_id = next(iter(system.tables(sim, "entry-1").requests.requests))

    canceller = system.cancel(sim, "entry-1", request_id)
    system.pass_time(sim, 0.1)
    system.release_stalled(sim)
    system.pass_time(sim, 1.0)

    assert states(sim, canceller) == ["cancelled"]
    assert system.problem(sim, caller).ran is problems.Ran.NO
    assert not sim.calls


def test_a_cancellation_during_the_start_sends_nothing():
    sim = system.create()
    sim.control.stalled.add("StartStage")
    caller = system.submit(sim, "entry-1", "privacy-update")
    system.next_call(sim, "encoders")
    system.pass_time(sim, 0.1)

    system.deliver(sim, "entry-1", requests.CallerGone(caller=caller))
    system.release_stalled(sim)
    system.pass_time(sim, 1.0)

    assert not system.calls_to_pool(sim, "billing")


def test_an_answered_request_cannot_be_cancelled():
    sim = system.create()
    caller = system.submit(sim, "entry-1", "audit")
    system.pass_time(sim, 1.0)

    canceller = system.cancel(
        sim, "entry-2", system.whole_answer(sim, caller).request_id
    )
    system.pass_time(sim, 0.2)

    assert states(sim, canceller) == ["answered"]


def test_an_unknown_request_is_neither_found_nor_cancelled():
    sim = system.create()

    querier = system.query(sim, "entry-1", "k-none")
    canceller = system.cancel(sim, "entry-1", "k-none")
    system.pass_time(sim, 0.2)

    assert system.problem(sim, querier).status == 404
    assert system.problem(sim, canceller).status == 404


def test_the_state_of_an_open_request_is_told_at_once_on_every_host():
    sim = system.create()
    _, call = submit_and_wait(sim, "dispute", "engines")

    queriers = [
        system.query(sim, host, call.call.binding.request)
        for host in ("entry-1", "entry-2")
    ]
    system.pass_time(sim, 0.1)

    assert [states(sim, caller) for caller in queriers] == [["open"], ["open"]]
