"""Requests without faults."""

import msgspec

from tests.pipelines import system


def test_an_unjournaled_request_of_one_stage_is_answered_whole():
    env = system.create()

    caller = system.submit(env, "entry-1", "reading")
    system.pass_time(env, 1.0)

    body = msgspec.json.decode(system.whole_answer(env, caller).body)
    assert body["output"] == "panel done"
    assert body["kind"] == "reading"
    assert body["cost_ms"] == {"panel": 5.0}


def test_a_journaled_request_runs_through_its_stages_and_is_recorded():
    env = system.create()

    caller = system.submit(env, "entry-1", "audit", key="season")
    system.pass_time(env, 1.0)

    answer = system.whole_answer(env, caller)
    stages = [call.call.binding.stage for call in env.calls]
    assert stages == ["encoders", "billing", "engines"]
    assert env.calls[1].call.previous == "encoders done"
    record = env.control.journal.records[answer.request_id]
    assert record.answer.body == answer.body
