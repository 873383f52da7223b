"""If an entry host ends at any point, another finishes its requests exactly once."""

import msgspec
import pytest

from bitternlever.messages import journal, problems, requests
from bitternlever.pipelines import launch, stages
from tests.pipelines import system
from tests.scenarios import simulation

LEASE_S = 3.0
LIMIT_S = 10.0


def fetch_answer(env, host: str, request_id: str):
    """Query until the request is answered; return the caller."""
    queriers = []

    def query():
        queriers.append(system.query(env, host, request_id))
        system.pass_time(env, 0.2)
        return system.whole_answer(env, queriers[-1]) or _final(env, queriers[-1])

    system.wait_until(env, query, LIMIT_S)
    return queriers[-1]


def _final(env, caller: int):
    problem = system.problem(env, caller)
    return problem if problem and problem.status != 404 else None


def only_id(env) -> str:
    return next(iter(env.control.journal.records))


def test_a_request_dies_with_its_host_before_the_claim_and_is_sent_again():
    env = system.create()
    env.network.losses["Claim"] = 100
    system.submit(env, "entry-1", "audit", key="p")
    system.pass_time(env, 0.1)
    simulation.kill(env.sim, "entry-1")
    env.network.losses.clear()

    caller = system.submit(env, "entry-2", "audit", key="p")
    system.pass_time(env, 1.0)

    assert system.whole_answer(env, caller)
    assert len(system.calls_to_pool(env, "billing")) == 1


@pytest.mark.parametrize(
    ("pool", "billed"),
    [("encoders", 1), ("engines", 1)],
    ids=["between-claim-and-start", "after-the-result"],
)
def test_a_durable_request_is_finished_elsewhere(pool, billed):
    env = system.create()
    env.held_pools.add(pool)
    system.submit(env, "entry-1", "audit")
    system.wait_until(env, lambda: system.calls_to_pool(env, pool))
    system.pass_time(env, 0.1)
    simulation.kill(env.sim, "entry-1")
    env.held_pools.clear()

    caller = fetch_answer(env, "entry-2", only_id(env))

    assert system.whole_answer(env, caller)
    assert len(system.calls_to_pool(env, "billing")) == billed


def test_a_takeover_begins_within_a_lease_term():
    env = system.create()
    env.held_pools.add("engines")
    system.submit(env, "entry-1", "audit")
    system.wait_until(env, lambda: system.calls_to_pool(env, "engines"))
    simulation.kill(env.sim, "entry-1")
    died_s = env.sim.now

    system.wait_until(
        env, lambda: len(system.calls_to_pool(env, "engines")) == 2, LIMIT_S
    )

    assert env.sim.now - died_s <= LEASE_S + 0.5


def test_a_started_stage_without_a_result_is_never_sent_again():
    env = system.create()
    env.held_pools.add("billing")
    system.submit(env, "entry-1", "audit")
    system.wait_until(env, lambda: system.calls_to_pool(env, "billing"))
    simulation.kill(env.sim, "entry-1")

    caller = fetch_answer(env, "entry-2", only_id(env))

    assert system.problem(env, caller).title == "Outcome unknown"
    assert system.problem(env, caller).ran is problems.Ran.UNKNOWN
    assert len(system.calls_to_pool(env, "billing")) == 1
    assert system.count_stage_starts(env) == 1


def test_a_caller_who_waits_elsewhere_is_told_of_an_unknown_outcome_at_once():
    env = system.create()
    env.held_pools.add("billing")
    system.submit(env, "entry-1", "privacy-update", key="p")
    system.wait_until(env, lambda: system.calls_to_pool(env, "billing"))
    simulation.kill(env.sim, "entry-1")

    caller = system.submit(env, "entry-2", "privacy-update", key="p")
    system.wait_until(env, lambda: system.problem(env, caller), LEASE_S + 1.0)

    assert system.problem(env, caller).ran is problems.Ran.UNKNOWN
    assert len(system.calls_to_pool(env, "billing")) == 1


def test_a_recorded_answer_outlives_its_host():
    env = system.create()
    caller = system.submit(env, "entry-1", "audit")
    system.pass_time(env, 1.0)
    answer = system.whole_answer(env, caller)
    simulation.kill(env.sim, "entry-1")

    querier = fetch_answer(env, "entry-2", answer.request_id)

    assert system.whole_answer(env, querier).body == answer.body
    assert len(env.calls) == 3


def test_a_stream_goes_on_from_its_offset_on_another_host():
    env = system.create()
    env.held_pools.add("engines")
    first = system.submit(env, "entry-1", "dispute", stream=True)
    system.wait_until(env, lambda: system.calls_to_pool(env, "engines"))
    system.send_part(env, system.calls_to_pool(env, "engines")[0], "rain falls ", 0)
    system.pass_time(env, 0.2)
    seen_text = system.streamed_text(env, first)
    simulation.kill(env.sim, "entry-1")

    second = system.query(
        env,
        "entry-2",
        only_id(env),
        stream=True,
        resume_offset=len(seen_text),
    )
    system.wait_until(
        env, lambda: len(system.calls_to_pool(env, "engines")) == 2, LIMIT_S
    )
    second_call = system.calls_to_pool(env, "engines")[1]
    system.answer_call(env, second_call, "on the field")
    system.wait_until(env, lambda: system.whole_answer(env, second))

    assert seen_text == "rain falls "
    assert second_call.call.resume_output == seen_text
    whole = system.whole_answer(env, second)
    pieces = [message for message in env.responses[second] if hasattr(message, "text")]
    assert pieces[0].offset == len(seen_text)
    assert (
        seen_text + "".join(piece.text for piece in pieces) == "rain falls on the field"
    )
    assert whole.length == len("rain falls on the field")


def test_a_frozen_owner_that_wakes_neither_sends_nor_writes():
    env = system.create()

    def freeze(process, way, message):
        command = getattr(getattr(message, "message", None), "command", None)
        if way == "sends" and isinstance(command, journal.StartStage):
            simulation.schedule(
                env.sim, 0.0001, lambda: simulation.freeze(env.sim, process.name)
            )
            return True
        return False

    env.sim.triggers.append(freeze)
    system.submit(env, "entry-1", "audit")
    system.pass_time(env, 1.0)
    caller = fetch_answer(env, "entry-2", only_id(env))
    body = env.control.journal.records[only_id(env)].answer.body
    simulation.thaw(env.sim, "entry-1")
    system.pass_time(env, 5.0)

    assert system.problem(env, caller).ran is problems.Ran.UNKNOWN
    assert [call.call.binding.stage for call in env.issued_calls] == ["encoders"]
    assert env.control.journal.records[only_id(env)].answer.body == body


@pytest.mark.parametrize("kind", ["audit", "dispute"])
def test_an_owner_cut_off_from_control_sends_no_stage_past_its_lease(kind):
    env = system.create()
    env.held_pools.add("encoders")
    system.submit(env, "entry-1", kind)
    system.wait_until(env, lambda: system.calls_to_pool(env, "encoders"))
    system.isolate_from_control(env, "entry-1")
    system.pass_time(env, LEASE_S)

    system.answer_call(env, system.calls_to_pool(env, "encoders")[0])
    system.pass_time(env, 0.5)

    senders = [env.host_by_attempt[call.attempt] for call in env.issued_calls[1:]]
    assert "entry-1" not in senders


def test_a_hedge_that_finds_no_lease_is_dropped():
    env = system.create()
    env.held_pools.add("encoders")
    system.submit(env, "entry-1", "dispute")
    call = system.next_call(env, "encoders")
    system.isolate_from_control(env, "entry-1")
    system.pass_time(env, LEASE_S)

    tables = system.tables(env, "entry-1")
    request = tables.requests.requests[call.call.binding.request]
    ready = stages.ready_stage(tables, env.sim.now, request)
    launch.hedge(tables, env.sim.now, system.ticks.Outbox(), ready)

    assert not tables.requests.awaiting_lease
    senders = [env.host_by_attempt[issued.attempt] for issued in env.issued_calls]
    assert senders.count("entry-1") == 1


def test_callers_of_an_owner_that_lost_its_lease_get_the_answer_from_elsewhere():
    env = system.create()
    env.held_pools.add("engines")
    caller = system.submit(env, "entry-1", "audit")
    system.wait_until(env, lambda: system.calls_to_pool(env, "engines"))
    system.pass_time(env, 0.1)
    system.isolate_from_control(env, "entry-1")
    system.wait_until(
        env, lambda: len(system.calls_to_pool(env, "engines")) == 2, LIMIT_S
    )
    env.network.cut.clear()
    system.pass_time(env, 1.0)
    assert env.cancelled_attempts == [system.calls_to_pool(env, "engines")[0].attempt]
    system.answer_call(env, system.calls_to_pool(env, "engines")[0], "too late")
    system.answer_call(env, system.calls_to_pool(env, "engines")[1], "in time")

    system.wait_until(env, lambda: system.whole_answer(env, caller), LIMIT_S)

    assert b"in time" in system.whole_answer(env, caller).body


def test_a_fenced_write_ends_the_run_before_the_host_knows_of_its_fence():
    env = system.create()
    env.held_pools.add("encoders")
    caller = system.submit(env, "entry-1", "audit")
    call = system.next_call(env, "encoders")
    env.held_pools.clear()
    epoch = system.tables(env, "entry-1").lease.epoch
    system.commit_to_journal(env, journal.FenceHost(host="1", epoch=epoch + 1))

    system.answer_call(env, call)
    system.pass_time(env, 2.0)

    assert system.whole_answer(env, caller)
    senders = [env.host_by_attempt[issued.attempt] for issued in env.issued_calls]
    assert senders == ["entry-1", "entry-2", "entry-2", "entry-2"]
    assert system.tables(env, "entry-1").counters["write_fenced"] == 1


def test_the_host_that_took_over_ends_too():
    env = system.create(hosts=3)
    env.held_pools.add("engines")
    system.submit(env, "entry-1", "audit")
    for count in (1, 2):
        system.wait_until(
            env,
            lambda count=count: len(system.calls_to_pool(env, "engines")) == count,
            LIMIT_S,
        )
        system.pass_time(env, 0.1)
        owner = env.host_by_attempt[system.calls_to_pool(env, "engines")[-1].attempt]
        simulation.kill(env.sim, owner)
    env.held_pools.clear()
    last = ({"entry-1", "entry-2", "entry-3"} - set(env.host_by_attempt.values())).pop()

    caller = fetch_answer(env, last, only_id(env))

    assert system.whole_answer(env, caller)
    assert len(system.calls_to_pool(env, "billing")) == 1


def test_a_request_resent_during_a_takeover_runs_once():
    env = system.create(hosts=3)
    env.held_pools.add("engines")
    system.submit(env, "entry-1", "audit", key="p")
    system.wait_until(env, lambda: system.calls_to_pool(env, "engines"))
    simulation.kill(env.sim, "entry-1")
    env.held_pools.clear()

    def resend(process, way, message):
        command = getattr(getattr(message, "message", None), "command", None)
        if way != "sends" or not isinstance(command, journal.TakeOver):
            return False
        callers.append(system.submit(env, "entry-2", "audit", key="p"))
        return True

    callers = [system.submit(env, "entry-3", "audit", key="p")]
    env.sim.triggers.append(resend)
    system.wait_until(env, lambda: len(callers) == 2, LIMIT_S)
    system.wait_until(
        env, lambda: all(system.whole_answer(env, caller) for caller in callers)
    )

    assert len(system.calls_to_pool(env, "billing")) == 1
    bodies = {system.whole_answer(env, caller).body for caller in callers}
    assert len(bodies) == 1


def test_a_takeover_whose_reply_is_lost_still_finishes_its_requests():
    env = system.create()
    env.held_pools.add("engines")
    system.submit(env, "entry-1", "audit")
    system.wait_until(env, lambda: system.calls_to_pool(env, "engines"))
    simulation.kill(env.sim, "entry-1")
    env.held_pools.clear()
    env.network.losses["TakenOver"] = 12

    caller = fetch_answer(env, "entry-2", only_id(env))

    assert system.whole_answer(env, caller)


def test_a_request_owned_without_being_known_is_released_and_finished():
    env = system.create()
    claim = journal.Claim(
        request_id="k-lost",
        workspace=system.WORKSPACE,
        pipeline="audits",
        kind="audit",
        digest="d",
        body=b'{"input":"rain"}',
        priority=1,
        durable=True,
        time_left_ms=60_000,
        host="1",
        epoch=system.tables(env, "entry-1").lease.epoch,
    )
    system.commit_to_journal(env, claim)

    system.wait_until(
        env,
        lambda: env.control.journal.records["k-lost"].answer,
        limit_s=40.0,
    )

    assert len(system.calls_to_pool(env, "billing")) == 1


def test_a_claim_of_a_former_epoch_is_not_run():
    env = system.create()
    env.control.stalled.add("Claim")
    system.submit(env, "entry-1", "audit", key="p")
    system.pass_time(env, 0.1)
    system.isolate_from_control(env, "entry-1")
    system.pass_time(env, LEASE_S + 1.0)
    env.network.cut.clear()
    system.pass_time(env, 2.0)
    system.release_stalled(env)
    system.pass_time(env, 5.0)

    assert not env.control.journal.records
    assert not system.calls_to_pool(env, "billing")


def test_a_request_of_a_pipeline_that_is_gone_is_answered():
    env = system.create()
    env.held_pools.add("engines")
    system.submit(env, "entry-1", "audit")
    system.wait_until(env, lambda: system.calls_to_pool(env, "engines"))
    simulation.kill(env.sim, "entry-1")
    system.tables(env, "entry-2").manifest.pipelines.clear()

    caller = fetch_answer(env, "entry-2", only_id(env))

    assert system.problem(env, caller).status == 410


def test_calls_that_were_not_sent_may_be_sent_by_another_attempt():
    env = system.create()
    env.held_pools.add("billing")
    caller = system.submit(env, "entry-1", "privacy-update")
    system.wait_until(env, lambda: system.calls_to_pool(env, "billing"))
    system.fail_call(env, system.calls_to_pool(env, "billing")[0], requests.Sent.NO)
    system.wait_until(env, lambda: len(system.calls_to_pool(env, "billing")) == 2)
    system.answer_call(env, system.calls_to_pool(env, "billing")[1])
    system.pass_time(env, 1.0)

    assert system.whole_answer(env, caller)


def test_a_stage_that_another_attempt_started_is_not_sent():
    env = system.create()
    env.control.stalled.add("StartStage")
    caller = system.submit(env, "entry-1", "privacy-update")
    system.wait_until(env, lambda: env.control.waiting)
    command = env.control.waiting[0].message.command
    system.commit_to_journal(env, msgspec.structs.replace(command, attempt="a-other"))

    system.release_stalled(env)
    system.pass_time(env, 1.0)

    assert system.problem(env, caller).title == "Outcome unknown"
    assert not system.calls_to_pool(env, "billing")


def test_a_call_in_doubt_is_not_sent_by_another_attempt():
    env = system.create()
    env.held_pools.add("billing")
    caller = system.submit(env, "entry-1", "privacy-update")
    system.wait_until(env, lambda: system.calls_to_pool(env, "billing"))
    system.fail_call(
        env, system.calls_to_pool(env, "billing")[0], requests.Sent.UNKNOWN
    )
    system.pass_time(env, 1.0)

    assert system.problem(env, caller).ran is problems.Ran.UNKNOWN
    assert len(system.calls_to_pool(env, "billing")) == 1
    assert system.count_stage_starts(env) == 1
