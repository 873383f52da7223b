"""If an entry host ends at any point, another finishes its requests exactly once."""

import msgspec
import pytest

from bitternlever.messages import journal, problems, requests
from bitternlever.pipelines import launch, stages
from tests.pipelines import system
from tests.scenarios import world

LEASE_S = 3.0
LIMIT_S = 10.0


def fetch_answer(sim, host: str, request_id: str):
    """Query until the request is answered; return the caller."""
    queriers = []

    def query():
        queriers.append(system.query(sim, host, request_id))
        system.pass_time(sim, 0.2)
        return system.whole_answer(sim, queriers[-1]) or _final(sim, queriers[-1])

    system.wait_until(sim, query, LIMIT_S)
    return queriers[-1]


def _final(sim, caller: int):
    problem = system.problem(sim, caller)
    return problem if problem and problem.status != 404 else None


def only_id(sim) -> str:
    return next(iter(sim.control.journal.records))


def test_a_request_dies_with_its_host_before_the_claim_and_is_sent_again():
    sim = system.create()
    sim.network.losses["Claim"] = 100
    system.submit(sim, "entry-1", "audit", key="p")
    system.pass_time(sim, 0.1)
    world.kill(sim.runtime, "entry-1")
    sim.network.losses.clear()

    caller = system.submit(sim, "entry-2", "audit", key="p")
    system.pass_time(sim, 1.0)

    assert system.whole_answer(sim, caller)
    assert len(system.calls_to_pool(sim, "billing")) == 1


@pytest.mark.parametrize(
    ("pool", "billed"),
    [("encoders", 1), ("engines", 1)],
    ids=["between-claim-and-start", "after-the-result"],
)
def test_a_durable_request_is_finished_elsewhere(pool, billed):
    sim = system.create()
    sim.held_pools.add(pool)
    system.submit(sim, "entry-1", "audit")
    system.wait_until(sim, lambda: system.calls_to_pool(sim, pool))
    system.pass_time(sim, 0.1)
    world.kill(sim.runtime, "entry-1")
    sim.held_pools.clear()

    caller = fetch_answer(sim, "entry-2", only_id(sim))

    assert system.whole_answer(sim, caller)
    assert len(system.calls_to_pool(sim, "billing")) == billed


def test_a_takeover_begins_within_a_lease_term():
    sim = system.create()
    sim.held_pools.add("engines")
    system.submit(sim, "entry-1", "audit")
    system.wait_until(sim, lambda: system.calls_to_pool(sim, "engines"))
    world.kill(sim.runtime, "entry-1")
    died_s = sim.runtime.now

    system.wait_until(
        sim, lambda: len(system.calls_to_pool(sim, "engines")) == 2, LIMIT_S
    )

    assert sim.runtime.now - died_s <= LEASE_S + 0.5


def test_a_started_stage_without_a_result_is_never_sent_again():
    sim = system.create()
    sim.held_pools.add("billing")
    system.submit(sim, "entry-1", "audit")
    system.wait_until(sim, lambda: system.calls_to_pool(sim, "billing"))
    world.kill(sim.runtime, "entry-1")

    caller = fetch_answer(sim, "entry-2", only_id(sim))

    assert system.problem(sim, caller).title == "Outcome unknown"
    assert system.problem(sim, caller).ran is problems.Ran.UNKNOWN
    assert len(system.calls_to_pool(sim, "billing")) == 1
    assert system.count_stage_starts(sim) == 1


def test_a_caller_who_waits_elsewhere_is_told_of_an_unknown_outcome_at_once():
    sim = system.create()
    sim.held_pools.add("billing")
    system.submit(sim, "entry-1", "privacy-update", key="p")
    system.wait_until(sim, lambda: system.calls_to_pool(sim, "billing"))
    world.kill(sim.runtime, "entry-1")

    caller = system.submit(sim, "entry-2", "privacy-update", key="p")
    system.wait_until(sim, lambda: system.problem(sim, caller), LEASE_S + 1.0)

    assert system.problem(sim, caller).ran is problems.Ran.UNKNOWN
    assert len(system.calls_to_pool(sim, "billing")) == 1


def test_a_recorded_answer_outlives_its_host():
    sim = system.create()
    caller = system.submit(sim, "entry-1", "audit")
    system.pass_time(sim, 1.0)
    answer = system.whole_answer(sim, caller)
    world.kill(sim.runtime, "entry-1")

    querier = fetch_answer(sim, "entry-2", answer.request_id)

    assert system.whole_answer(sim, querier).body == answer.body
    assert len(sim.calls) == 3


def test_a_stream_goes_on_from_its_offset_on_another_host():
    sim = system.create()
    sim.held_pools.add("engines")
    first = system.submit(sim, "entry-1", "dispute", stream=True)
    system.wait_until(sim, lambda: system.calls_to_pool(sim, "engines"))
    system.send_part(sim, system.calls_to_pool(sim, "engines")[0], "rain falls ", 0)
    system.pass_time(sim, 0.2)
    seen_text = system.streamed_text(sim, first)
    world.kill(sim.runtime, "entry-1")

    second = system.query(
        sim,
        "entry-2",
        only_id(sim),
        stream=True,
        resume_offset=len(seen_text),
    )
    system.wait_until(
        sim, lambda: len(system.calls_to_pool(sim, "engines")) == 2, LIMIT_S
    )
    second_call = system.calls_to_pool(sim, "engines")[1]
    system.answer_call(sim, second_call, "on the field")
    system.wait_until(sim, lambda: system.whole_answer(sim, second))

    assert seen_text == "rain falls "
    assert second_call.call.resume_output == seen_text
    whole = system.whole_answer(sim, second)
    pieces = [message for message in sim.responses[second] if hasattr(message, "text")]
    assert pieces[0].offset == len(seen_text)
    assert (
        seen_text + "".join(piece.text for piece in pieces) == "rain falls on the field"
    )
    assert whole.length == len("rain falls on the field")


def test_a_frozen_owner_that_wakes_neither_sends_nor_writes():
    sim = system.create()

    def freeze(process, way, message):
        command = getattr(getattr(message, "message", None), "command", None)
        if way == "sends" and isinstance(command, journal.StartStage):
            world.after(
                sim.runtime, 0.0001, lambda: world.freeze(sim.runtime, process.name)
            )
            return True
        return False

    sim.runtime.triggers.append(freeze)
    system.submit(sim, "entry-1", "audit")
    system.pass_time(sim, 1.0)
    caller = fetch_answer(sim, "entry-2", only_id(sim))
    body = sim.control.journal.records[only_id(sim)].answer.body
    world.thaw(sim.runtime, "entry-1")
    system.pass_time(sim, 5.0)

    assert system.problem(sim, caller).ran is problems.Ran.UNKNOWN
    assert [call.call.binding.stage for call in sim.issued_calls] == ["encoders"]
    assert sim.control.journal.records[only_id(sim)].answer.body == body


@pytest.mark.parametrize("kind", ["audit", "dispute"])
def test_an_owner_cut_off_from_control_sends_no_stage_past_its_lease(kind):
    sim = system.create()
    sim.held_pools.add("encoders")
    system.submit(sim, "entry-1", kind)
    system.wait_until(sim, lambda: system.calls_to_pool(sim, "encoders"))
    system.isolate_from_control(sim, "entry-1")
    system.pass_time(sim, LEASE_S)

    system.answer_call(sim, system.calls_to_pool(sim, "encoders")[0])
    system.pass_time(sim, 0.5)

    senders = [sim.host_by_attempt[call.attempt] for call in sim.issued_calls[1:]]
    assert "entry-1" not in senders


def test_a_hedge_that_finds_no_lease_is_dropped():
    sim = system.create()
    sim.held_pools.add("encoders")
    system.submit(sim, "entry-1", "dispute")
    call = system.next_call(sim, "encoders")
    system.isolate_from_control(sim, "entry-1")
    system.pass_time(sim, LEASE_S)

    tables = system.tables(sim, "entry-1")
    request = tables.requests.requests[call.call.binding.request]
    ready = stages.ready_stage(tables, sim.runtime.now, request)
    launch.hedge(tables, sim.runtime.now, system.ticks.Outbox(), ready)

    assert not tables.requests.awaiting_lease
    senders = [sim.host_by_attempt[issued.attempt] for issued in sim.issued_calls]
    assert senders.count("entry-1") == 1


def test_callers_of_an_owner_that_lost_its_lease_get_the_answer_from_elsewhere():
    sim = system.create()
    sim.held_pools.add("engines")
    caller = system.submit(sim, "entry-1", "audit")
    system.wait_until(sim, lambda: system.calls_to_pool(sim, "engines"))
    system.pass_time(sim, 0.1)
    system.isolate_from_control(sim, "entry-1")
    system.wait_until(
        sim, lambda: len(system.calls_to_pool(sim, "engines")) == 2, LIMIT_S
    )
    sim.network.cut.clear()
    system.pass_time(sim, 1.0)
    assert sim.cancelled_attempts == [system.calls_to_pool(sim, "engines")[0].attempt]
    system.answer_call(sim, system.calls_to_pool(sim, "engines")[0], "too late")
    system.answer_call(sim, system.calls_to_pool(sim, "engines")[1], "in time")

    system.wait_until(sim, lambda: system.whole_answer(sim, caller), LIMIT_S)

    assert b"in time" in system.whole_answer(sim, caller).body


def test_a_fenced_write_ends_the_run_before_the_host_knows_of_its_fence():
    sim = system.create()
    sim.held_pools.add("encoders")
    caller = system.submit(sim, "entry-1", "audit")
    call = system.next_call(sim, "encoders")
    sim.held_pools.clear()
    epoch = system.tables(sim, "entry-1").lease.epoch
    system.commit_to_journal(sim, journal.FenceHost(host="1", epoch=epoch + 1))

    system.answer_call(sim, call)
    system.pass_time(sim, 2.0)

    assert system.whole_answer(sim, caller)
    senders = [sim.host_by_attempt[issued.attempt] for issued in sim.issued_calls]
    assert senders == ["entry-1", "entry-2", "entry-2", "entry-2"]
    assert system.tables(sim, "entry-1").counters["write_fenced"] == 1


def test_the_host_that_took_over_ends_too():
    sim = system.create(hosts=3)
    sim.held_pools.add("engines")
    system.submit(sim, "entry-1", "audit")
    for count in (1, 2):
        system.wait_until(
            sim,
            lambda count=count: len(system.calls_to_pool(sim, "engines")) == count,
            LIMIT_S,
        )
        system.pass_time(sim, 0.1)
        owner = sim.host_by_attempt[system.calls_to_pool(sim, "engines")[-1].attempt]
        world.kill(sim.runtime, owner)
    sim.held_pools.clear()
    last = ({"entry-1", "entry-2", "entry-3"} - set(sim.host_by_attempt.values())).pop()

    caller = fetch_answer(sim, last, only_id(sim))

    assert system.whole_answer(sim, caller)
    assert len(system.calls_to_pool(sim, "billing")) == 1


def test_a_request_resent_during_a_takeover_runs_once():
    sim = system.create(hosts=3)
    sim.held_pools.add("engines")
    system.submit(sim, "entry-1", "audit", key="p")
    system.wait_until(sim, lambda: system.calls_to_pool(sim, "engines"))
    world.kill(sim.runtime, "entry-1")
    sim.held_pools.clear()

    def resend(process, way, message):
        command = getattr(getattr(message, "message", None), "command", None)
        if way != "sends" or not isinstance(command, journal.TakeOver):
            return False
        callers.append(system.submit(sim, "entry-2", "audit", key="p"))
        return True

    callers = [system.submit(sim, "entry-3", "audit", key="p")]
    sim.runtime.triggers.append(resend)
    system.wait_until(sim, lambda: len(callers) == 2, LIMIT_S)
    system.wait_until(
        sim, lambda: all(system.whole_answer(sim, caller) for caller in callers)
    )

    assert len(system.calls_to_pool(sim, "billing")) == 1
    bodies = {system.whole_answer(sim, caller).body for caller in callers}
    assert len(bodies) == 1


def test_a_takeover_whose_reply_is_lost_still_finishes_its_requests():
    sim = system.create()
    sim.held_pools.add("engines")
    system.submit(sim, "entry-1", "audit")
    system.wait_until(sim, lambda: system.calls_to_pool(sim, "engines"))
    world.kill(sim.runtime, "entry-1")
    sim.held_pools.clear()
    sim.network.losses["TakenOver"] = 12

    caller = fetch_answer(sim, "entry-2", only_id(sim))

    assert system.whole_answer(sim, caller)


def test_a_request_owned_without_being_known_is_released_and_finished():
    sim = system.create()
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
        epoch=system.tables(sim, "entry-1").lease.epoch,
    )
    system.commit_to_journal(sim, claim)

    system.wait_until(
        sim,
        lambda: sim.control.journal.records["k-lost"].answer,
        limit_s=40.0,
    )

    assert len(system.calls_to_pool(sim, "billing")) == 1


def test_a_claim_of_a_former_epoch_is_not_run():
    sim = system.create()
    sim.control.stalled.add("Claim")
    system.submit(sim, "entry-1", "audit", key="p")
    system.pass_time(sim, 0.1)
    system.isolate_from_control(sim, "entry-1")
    system.pass_time(sim, LEASE_S + 1.0)
    sim.network.cut.clear()
    system.pass_time(sim, 2.0)
    system.release_stalled(sim)
    system.pass_time(sim, 5.0)

    assert not sim.control.journal.records
    assert not system.calls_to_pool(sim, "billing")


def test_a_request_of_a_pipeline_that_is_gone_is_answered():
    sim = system.create()
    sim.held_pools.add("engines")
    system.submit(sim, "entry-1", "audit")
    system.wait_until(sim, lambda: system.calls_to_pool(sim, "engines"))
    world.kill(sim.runtime, "entry-1")
    system.tables(sim, "entry-2").manifest.pipelines.clear()

    caller = fetch_answer(sim, "entry-2", only_id(sim))

    assert system.problem(sim, caller).status == 410


def test_calls_that_were_not_sent_may_be_sent_by_another_attempt():
    sim = system.create()
    sim.held_pools.add("billing")
    caller = system.submit(sim, "entry-1", "privacy-update")
    system.wait_until(sim, lambda: system.calls_to_pool(sim, "billing"))
    system.fail_call(sim, system.calls_to_pool(sim, "billing")[0], requests.Sent.NO)
    system.wait_until(sim, lambda: len(system.calls_to_pool(sim, "billing")) == 2)
    system.answer_call(sim, system.calls_to_pool(sim, "billing")[1])
    system.pass_time(sim, 1.0)

    assert system.whole_answer(sim, caller)


def test_a_stage_that_another_attempt_started_is_not_sent():
    sim = system.create()
    sim.control.stalled.add("StartStage")
    caller = system.submit(sim, "entry-1", "privacy-update")
    system.wait_until(sim, lambda: sim.control.waiting)
    command = sim.control.waiting[0].message.command
    system.commit_to_journal(sim, msgspec.structs.replace(command, attempt="a-other"))

    system.release_stalled(sim)
    system.pass_time(sim, 1.0)

    assert system.problem(sim, caller).title == "Outcome unknown"
    assert not system.calls_to_pool(sim, "billing")


def test_a_call_in_doubt_is_not_sent_by_another_attempt():
    sim = system.create()
    sim.held_pools.add("billing")
    caller = system.submit(sim, "entry-1", "privacy-update")
    system.wait_until(sim, lambda: system.calls_to_pool(sim, "billing"))
    system.fail_call(
        sim, system.calls_to_pool(sim, "billing")[0], requests.Sent.UNKNOWN
    )
    system.pass_time(sim, 1.0)

    assert system.problem(sim, caller).ran is problems.Ran.UNKNOWN
    assert len(system.calls_to_pool(sim, "billing")) == 1
    assert system.count_stage_starts(sim) == 1
