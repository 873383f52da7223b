"""An entry host ends at any point: another finishes its requests, once."""

import msgspec
import pytest

from bitternlever.messages import journal, problems, requests
from bitternlever.pipelines import launch, stages
from tests.pipelines import system
from tests.scenarios import world

LEASE_S = 3.0
LIMIT_S = 10.0


def fetched(here, host: str, request_id: str):
    """Ask until the request is answered; return the caller."""
    asked = []

    def ask():
        asked.append(system.query(here, host, request_id))
        system.pass_time(here, 0.2)
        return system.whole(here, asked[-1]) or _final(here, asked[-1])

    system.until(here, ask, LIMIT_S)
    return asked[-1]


def _final(here, caller: int):
    problem = system.problem(here, caller)
    return problem if problem and problem.status != 404 else None


def only_id(here) -> str:
    return next(iter(here.control.journal.records))


def test_a_request_dies_with_its_host_before_the_claim_and_is_sent_again():
    here = system.create()
    here.network.losses["Claim"] = 100
    system.submit(here, "entry-1", "audit", key="p")
    system.pass_time(here, 0.1)
    world.kill(here.here, "entry-1")
    here.network.losses.clear()

    caller = system.submit(here, "entry-2", "audit", key="p")
    system.pass_time(here, 1.0)

    assert system.whole(here, caller)
    assert len(system.calls_of(here, "billing")) == 1


@pytest.mark.parametrize(
    ("pool", "billed"),
    [("encoders", 1), ("engines", 1)],
    ids=["between-claim-and-start", "after-the-result"],
)
def test_a_durable_request_is_finished_elsewhere(pool, billed):
    here = system.create()
    here.held.add(pool)
    system.submit(here, "entry-1", "audit")
    system.until(here, lambda: system.calls_of(here, pool))
    system.pass_time(here, 0.1)
    world.kill(here.here, "entry-1")
    here.held.clear()

    caller = fetched(here, "entry-2", only_id(here))

    assert system.whole(here, caller)
    assert len(system.calls_of(here, "billing")) == billed


def test_a_takeover_begins_within_a_lease_term():
    here = system.create()
    here.held.add("engines")
    system.submit(here, "entry-1", "audit")
    system.until(here, lambda: system.calls_of(here, "engines"))
    world.kill(here.here, "entry-1")
    died_s = here.here.now

    system.until(here, lambda: len(system.calls_of(here, "engines")) == 2, LIMIT_S)

    assert here.here.now - died_s <= LEASE_S + 0.5


def test_a_started_stage_without_a_result_is_never_sent_again():
    here = system.create()
    here.held.add("billing")
    system.submit(here, "entry-1", "audit")
    system.until(here, lambda: system.calls_of(here, "billing"))
    world.kill(here.here, "entry-1")

    caller = fetched(here, "entry-2", only_id(here))

    assert system.problem(here, caller).title == "Outcome unknown"
    assert system.problem(here, caller).ran is problems.Ran.UNKNOWN
    assert len(system.calls_of(here, "billing")) == 1
    assert system.starts(here) == 1


def test_a_caller_who_waits_elsewhere_is_told_of_an_unknown_outcome_at_once():
    here = system.create()
    here.held.add("billing")
    system.submit(here, "entry-1", "privacy-update", key="p")
    system.until(here, lambda: system.calls_of(here, "billing"))
    world.kill(here.here, "entry-1")

    caller = system.submit(here, "entry-2", "privacy-update", key="p")
    system.until(here, lambda: system.problem(here, caller), LEASE_S + 1.0)

    assert system.problem(here, caller).ran is problems.Ran.UNKNOWN
    assert len(system.calls_of(here, "billing")) == 1


def test_a_recorded_answer_outlives_its_host():
    here = system.create()
    caller = system.submit(here, "entry-1", "audit")
    system.pass_time(here, 1.0)
    told = system.whole(here, caller)
    world.kill(here.here, "entry-1")

    again = fetched(here, "entry-2", told.request_id)

    assert system.whole(here, again).body == told.body
    assert len(here.calls) == 3


def test_a_stream_goes_on_from_its_offset_on_another_host():
    here = system.create()
    here.held.add("engines")
    first = system.submit(here, "entry-1", "dispute", stream=True)
    system.until(here, lambda: system.calls_of(here, "engines"))
    system.send_part(here, system.calls_of(here, "engines")[0], "rain falls ", 0)
    system.pass_time(here, 0.2)
    seen = system.text(here, first)
    world.kill(here.here, "entry-1")

    second = system.query(
        here,
        "entry-2",
        only_id(here),
        stream=True,
        resume_offset=len(seen),
    )
    system.until(here, lambda: len(system.calls_of(here, "engines")) == 2, LIMIT_S)
    again = system.calls_of(here, "engines")[1]
    system.answer(here, again, "on the field")
    system.until(here, lambda: system.whole(here, second))

    assert seen == "rain falls "
    assert again.call.resume_output == seen
    whole = system.whole(here, second)
    pieces = [each for each in here.told[second] if hasattr(each, "text")]
    assert pieces[0].offset == len(seen)
    assert seen + "".join(each.text for each in pieces) == "rain falls on the field"
    assert whole.length == len("rain falls on the field")


def test_a_frozen_owner_that_wakes_neither_sends_nor_writes():
    here = system.create()

    def freeze(process, way, message):
        command = getattr(getattr(message, "message", None), "command", None)
        if way == "sends" and isinstance(command, journal.StartStage):
            world.after(
                here.here, 0.0001, lambda: world.freeze(here.here, process.name)
            )
            return True
        return False

    here.here.triggers.append(freeze)
    system.submit(here, "entry-1", "audit")
    system.pass_time(here, 1.0)
    caller = fetched(here, "entry-2", only_id(here))
    body = here.control.journal.records[only_id(here)].answer.body
    world.thaw(here.here, "entry-1")
    system.pass_time(here, 5.0)

    assert system.problem(here, caller).ran is problems.Ran.UNKNOWN
    assert [call.call.binding.stage for call in here.issued] == ["encoders"]
    assert here.control.journal.records[only_id(here)].answer.body == body


@pytest.mark.parametrize("kind", ["audit", "dispute"])
def test_an_owner_cut_off_from_control_sends_no_stage_past_its_lease(kind):
    here = system.create()
    here.held.add("encoders")
    system.submit(here, "entry-1", kind)
    system.until(here, lambda: system.calls_of(here, "encoders"))
    system.cut_off(here, "entry-1")
    system.pass_time(here, LEASE_S)

    system.answer(here, system.calls_of(here, "encoders")[0])
    system.pass_time(here, 0.5)

    senders = [here.callers[call.attempt] for call in here.issued[1:]]
    assert "entry-1" not in senders


def test_a_hedge_that_finds_no_lease_is_dropped():
    here = system.create()
    here.held.add("encoders")
    system.submit(here, "entry-1", "dispute")
    call = system.next_call(here, "encoders")
    system.cut_off(here, "entry-1")
    system.pass_time(here, LEASE_S)

    tables = system.tables(here, "entry-1")
    request = tables.requests.requests[call.call.binding.request]
    ready = stages.ready_stage(tables, here.here.now, request)
    launch.hedge(tables, here.here.now, system.ticks.Outbox(), ready)

    assert not tables.requests.awaiting_lease
    senders = [here.callers[each.attempt] for each in here.issued]
    assert senders.count("entry-1") == 1


def test_callers_of_an_owner_that_lost_its_lease_get_the_answer_from_elsewhere():
    here = system.create()
    here.held.add("engines")
    caller = system.submit(here, "entry-1", "audit")
    system.until(here, lambda: system.calls_of(here, "engines"))
    system.pass_time(here, 0.1)
    system.cut_off(here, "entry-1")
    system.until(here, lambda: len(system.calls_of(here, "engines")) == 2, LIMIT_S)
    here.network.cut.clear()
    system.pass_time(here, 1.0)
    assert here.cancels == [system.calls_of(here, "engines")[0].attempt]
    system.answer(here, system.calls_of(here, "engines")[0], "too late")
    system.answer(here, system.calls_of(here, "engines")[1], "in time")

    system.until(here, lambda: system.whole(here, caller), LIMIT_S)

    assert b"in time" in system.whole(here, caller).body


def test_a_fenced_write_ends_the_run_before_the_host_knows_of_its_fence():
    here = system.create()
    here.held.add("encoders")
    caller = system.submit(here, "entry-1", "audit")
    call = system.next_call(here, "encoders")
    here.held.clear()
    epoch = system.tables(here, "entry-1").lease.epoch
    system.commit(here, journal.FenceHost(host="1", epoch=epoch + 1))

    system.answer(here, call)
    system.pass_time(here, 2.0)

    assert system.whole(here, caller)
    senders = [here.callers[each.attempt] for each in here.issued]
    assert senders == ["entry-1", "entry-2", "entry-2", "entry-2"]
    assert system.tables(here, "entry-1").counters["write_fenced"] == 1


def test_the_host_that_took_over_ends_too():
    here = system.create(hosts=3)
    here.held.add("engines")
    system.submit(here, "entry-1", "audit")
    for count in (1, 2):
        system.until(
            here,
            lambda count=count: len(system.calls_of(here, "engines")) == count,
            LIMIT_S,
        )
        system.pass_time(here, 0.1)
        owner = here.callers[system.calls_of(here, "engines")[-1].attempt]
        world.kill(here.here, owner)
    here.held.clear()
    last = ({"entry-1", "entry-2", "entry-3"} - set(here.callers.values())).pop()

    caller = fetched(here, last, only_id(here))

    assert system.whole(here, caller)
    assert len(system.calls_of(here, "billing")) == 1


def test_a_resend_meets_a_takeover():
    here = system.create(hosts=3)
    here.held.add("engines")
    system.submit(here, "entry-1", "audit", key="p")
    system.until(here, lambda: system.calls_of(here, "engines"))
    world.kill(here.here, "entry-1")
    here.held.clear()

    def resend(process, way, message):
        command = getattr(getattr(message, "message", None), "command", None)
        if way != "sends" or not isinstance(command, journal.TakeOver):
            return False
        callers.append(system.submit(here, "entry-2", "audit", key="p"))
        return True

    callers = [system.submit(here, "entry-3", "audit", key="p")]
    here.here.triggers.append(resend)
    system.until(here, lambda: len(callers) == 2, LIMIT_S)
    system.until(here, lambda: all(system.whole(here, each) for each in callers))

    assert len(system.calls_of(here, "billing")) == 1
    bodies = {system.whole(here, each).body for each in callers}
    assert len(bodies) == 1


def test_a_takeover_whose_reply_is_lost_still_finishes_its_requests():
    here = system.create()
    here.held.add("engines")
    system.submit(here, "entry-1", "audit")
    system.until(here, lambda: system.calls_of(here, "engines"))
    world.kill(here.here, "entry-1")
    here.held.clear()
    here.network.losses["TakenOver"] = 12

    caller = fetched(here, "entry-2", only_id(here))

    assert system.whole(here, caller)


def test_a_request_owned_without_being_known_is_released_and_finished():
    here = system.create()
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
        epoch=system.tables(here, "entry-1").lease.epoch,
    )
    system.commit(here, claim)

    system.until(
        here,
        lambda: here.control.journal.records["k-lost"].answer,
        limit_s=40.0,
    )

    assert len(system.calls_of(here, "billing")) == 1


def test_a_claim_of_a_former_epoch_is_not_run():
    here = system.create()
    here.control.stalled.add("Claim")
    system.submit(here, "entry-1", "audit", key="p")
    system.pass_time(here, 0.1)
    system.cut_off(here, "entry-1")
    system.pass_time(here, LEASE_S + 1.0)
    here.network.cut.clear()
    system.pass_time(here, 2.0)
    system.let_go(here)
    system.pass_time(here, 5.0)

    assert not here.control.journal.records
    assert not system.calls_of(here, "billing")


def test_a_request_of_a_pipeline_that_is_gone_is_answered():
    here = system.create()
    here.held.add("engines")
    system.submit(here, "entry-1", "audit")
    system.until(here, lambda: system.calls_of(here, "engines"))
    world.kill(here.here, "entry-1")
    system.tables(here, "entry-2").manifest.pipelines.clear()

    caller = fetched(here, "entry-2", only_id(here))

    assert system.problem(here, caller).status == 410


def test_calls_that_were_not_sent_may_be_sent_by_another_attempt():
    here = system.create()
    here.held.add("billing")
    caller = system.submit(here, "entry-1", "privacy-update")
    system.until(here, lambda: system.calls_of(here, "billing"))
    system.fail(here, system.calls_of(here, "billing")[0], requests.Sent.NO)
    system.until(here, lambda: len(system.calls_of(here, "billing")) == 2)
    system.answer(here, system.calls_of(here, "billing")[1])
    system.pass_time(here, 1.0)

    assert system.whole(here, caller)


def test_a_stage_that_another_attempt_started_is_not_sent():
    here = system.create()
    here.control.stalled.add("StartStage")
    caller = system.submit(here, "entry-1", "privacy-update")
    system.until(here, lambda: here.control.waiting)
    command = here.control.waiting[0].message.command
    system.commit(here, msgspec.structs.replace(command, attempt="a-other"))

    system.let_go(here)
    system.pass_time(here, 1.0)

    assert system.problem(here, caller).title == "Outcome unknown"
    assert not system.calls_of(here, "billing")


def test_a_call_in_doubt_is_not_sent_by_another_attempt():
    here = system.create()
    here.held.add("billing")
    caller = system.submit(here, "entry-1", "privacy-update")
    system.until(here, lambda: system.calls_of(here, "billing"))
    system.fail(here, system.calls_of(here, "billing")[0], requests.Sent.UNKNOWN)
    system.pass_time(here, 1.0)

    assert system.problem(here, caller).ran is problems.Ran.UNKNOWN
    assert len(system.calls_of(here, "billing")) == 1
    assert system.starts(here) == 1
