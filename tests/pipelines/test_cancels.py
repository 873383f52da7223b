"""Cancelled requests start no further stage."""

from bitternlever.messages import problems, requests
from tests.pipelines import system


def submit_and_wait(env, kind: str, pool: str, **options):
    """Submit a request; return its caller and its held call to a pool."""
    env.held_pools.add(pool)
    caller = system.submit(env, "entry-1", kind, **options)
    call = system.next_call(env, pool)
    system.pass_time(env, 0.1)
    return caller, call


def states(env, caller: int) -> list[str]:
    return [
        message.state
        for message in env.responses.get(caller, [])
        if hasattr(message, "state")
    ]


def test_a_closed_connection_cancels_the_engine_stream():
    env = system.create()
    caller, call = submit_and_wait(env, "question", "engines", stream=True)

    system.deliver(env, "entry-1", requests.CallerDisconnected(caller=caller))
    system.pass_time(env, 0.5)

    assert env.cancelled_attempts == [call.attempt]
    assert not system.tables(env, "entry-1").requests.requests


def test_a_closed_connection_starts_no_further_stage():
    env = system.create()
    caller, call = submit_and_wait(env, "privacy-update", "encoders")

    system.deliver(env, "entry-1", requests.CallerDisconnected(caller=caller))
    system.answer_call(env, call)
    system.pass_time(env, 0.5)

    assert not system.calls_to_pool(env, "billing")
    record = env.control.journal.records[call.call.binding.request]
    assert record.answer.status == 409


def test_a_started_stage_that_may_not_be_repeated_is_waited_for():
    env = system.create()
    caller, call = submit_and_wait(env, "privacy-update", "billing")

    system.deliver(env, "entry-1", requests.CallerDisconnected(caller=caller))
    system.pass_time(env, 0.1)
    system.answer_call(env, call)
    system.pass_time(env, 0.5)

    assert not env.cancelled_attempts
    assert not system.calls_to_pool(env, "engines")
    querier = system.query(env, "entry-2", call.call.binding.request)
    system.pass_time(env, 0.2)
    assert system.problem(env, querier).ran is problems.Ran.YES


def test_a_durable_request_outlives_its_connection():
    env = system.create()
    caller, call = submit_and_wait(env, "dispute", "engines")

    system.deliver(env, "entry-1", requests.CallerDisconnected(caller=caller))
    system.pass_time(env, 0.1)
    system.answer_call(env, call)
    system.pass_time(env, 0.5)

    querier = system.query(env, "entry-2", call.call.binding.request)
    system.pass_time(env, 0.2)
    assert system.whole_answer(env, querier)


def test_a_key_whose_caller_does_not_come_back_is_withdrawn():
    env = system.create()
    caller, call = submit_and_wait(env, "question", "engines", key="p")

    system.deliver(env, "entry-1", requests.CallerDisconnected(caller=caller))
    system.pass_time(env, 3.5)
    early = list(env.cancelled_attempts)
    system.pass_time(env, 1.0)

    assert not early
    assert env.cancelled_attempts == [call.attempt]
    assert not env.control.journal.records


def test_a_key_whose_caller_follows_it_elsewhere_goes_on():
    env = system.create(gossip=True)
    caller, call = submit_and_wait(env, "question", "engines", key="p", stream=True)
    system.deliver(env, "entry-1", requests.CallerDisconnected(caller=caller))

    request_id = call.call.binding.request
    second = system.query(env, "entry-2", request_id, stream=True)
    system.pass_time(env, 7.0)
    system.answer_call(env, call, "rain")
    system.pass_time(env, 1.0)

    assert system.whole_answer(env, second)
    assert len(system.calls_to_pool(env, "engines")) == 1


def test_a_key_with_a_started_stage_goes_on_without_its_caller():
    env = system.create()
    caller, call = submit_and_wait(env, "privacy-update", "billing", key="p")

    system.deliver(env, "entry-1", requests.CallerDisconnected(caller=caller))
    system.pass_time(env, 5.0)
    system.answer_call(env, call)
    system.pass_time(env, 0.5)
    second = system.submit(env, "entry-2", "privacy-update", key="p")
    system.pass_time(env, 0.5)

    assert system.whole_answer(env, second)
    assert len(system.calls_to_pool(env, "billing")) == 1


def test_a_request_continues_after_one_of_two_callers_disconnects():
    env = system.create()
    caller, call = submit_and_wait(env, "question", "engines", key="p")
    second = system.submit(env, "entry-1", "question", key="p")

    system.deliver(env, "entry-1", requests.CallerDisconnected(caller=caller))
    system.answer_call(env, call)
    system.pass_time(env, 0.5)

    assert system.whole_answer(env, second)
    assert system.whole_answer(env, caller) is None


def test_a_durable_request_is_cancelled_by_name():
    env = system.create()
    caller, call = submit_and_wait(env, "dispute", "engines")

    canceller = system.cancel(env, "entry-1", call.call.binding.request)
    system.pass_time(env, 0.5)

    assert states(env, canceller) == ["cancelled"]
    assert system.problem(env, caller).status == 409
    assert env.cancelled_attempts == [call.attempt]


def test_a_cancellation_through_another_host_reaches_the_owner():
    env = system.create()
    caller, call = submit_and_wait(env, "privacy-update", "encoders")

    canceller = system.cancel(env, "entry-2", call.call.binding.request)
    system.pass_time(env, 0.1)
    system.answer_call(env, call)
    system.pass_time(env, 0.5)

    assert states(env, canceller) == ["cancelled"]
    assert not system.calls_to_pool(env, "billing")
    assert system.problem(env, caller).title == "Cancelled"


def test_a_cancellation_during_the_claim_starts_nothing():
    env = system.create()
    env.control.stalled.add("Claim")
    caller = system.submit(env, "entry-1", "audit", key="p")
    request_id = next(iter(system.tables(env, "entry-1").requests.requests))

    canceller = system.cancel(env, "entry-1", request_id)
    system.pass_time(env, 0.1)
    system.release_stalled(env)
    system.pass_time(env, 1.0)

    assert states(env, canceller) == ["cancelled"]
    assert system.problem(env, caller).ran is problems.Ran.NO
    assert not env.calls


def test_a_cancellation_during_the_start_sends_nothing():
    env = system.create()
    env.control.stalled.add("StartStage")
    caller = system.submit(env, "entry-1", "privacy-update")
    system.next_call(env, "encoders")
    system.pass_time(env, 0.1)

    system.deliver(env, "entry-1", requests.CallerDisconnected(caller=caller))
    system.release_stalled(env)
    system.pass_time(env, 1.0)

    assert not system.calls_to_pool(env, "billing")


def test_an_answered_request_cannot_be_cancelled():
    env = system.create()
    caller = system.submit(env, "entry-1", "audit")
    system.pass_time(env, 1.0)

    canceller = system.cancel(
        env, "entry-2", system.whole_answer(env, caller).request_id
    )
    system.pass_time(env, 0.2)

    assert states(env, canceller) == ["answered"]


def test_an_unknown_request_is_neither_found_nor_cancelled():
    env = system.create()

    querier = system.query(env, "entry-1", "k-none")
    canceller = system.cancel(env, "entry-1", "k-none")
    system.pass_time(env, 0.2)

    assert system.problem(env, querier).status == 404
    assert system.problem(env, canceller).status == 404


def test_the_state_of_an_open_request_is_told_at_once_on_every_host():
    env = system.create()
    _, call = submit_and_wait(env, "dispute", "engines")

    queriers = [
        system.query(env, host, call.call.binding.request)
        for host in ("entry-1", "entry-2")
    ]
    system.pass_time(env, 0.1)

    assert [states(env, caller) for caller in queriers] == [["open"], ["open"]]
