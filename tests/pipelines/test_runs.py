"""Requests that nothing disturbs."""

import msgspec

from tests.pipelines import system


def test_an_unjournaled_request_of_one_stage_is_answered_whole():
    here = system.create()

    caller = system.submit(here, "entry-1", "reading")
    system.pass_time(here, 1.0)

    body = msgspec.json.decode(system.whole(here, caller).body)
    assert body["output"] == "panel done"
    assert body["kind"] == "reading"
    assert body["cost_ms"] == {"panel": 5.0}


def test_a_journaled_request_runs_through_its_stages_and_is_recorded():
    here = system.create()

    caller = system.submit(here, "entry-1", "audit", key="season")
    system.pass_time(here, 1.0)

    told = system.whole(here, caller)
    stages = [call.call.binding.stage for call in here.calls]
    assert stages == ["encoders", "billing", "engines"]
    assert here.calls[1].call.previous == "encoders done"
    record = here.control.journal.records[told.request_id]
    assert record.answer.body == told.body
