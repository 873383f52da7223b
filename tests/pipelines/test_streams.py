"""Streamed answers: shown in order, once, and never as whole when they are not."""

import hashlib

from bitternlever.messages import requests
from bitternlever.pipelines import launch, stages
from tests.pipelines import system

TEXT = "rain falls on the field"


def streamed(here, kind: str = "question", **options):
    """Submit a streamed request whose engine call the test answers."""
    here.held.add("engines")
    caller = system.submit(here, "entry-1", kind, stream=True, **options)
    return caller, system.next_call(here, "engines")


def test_a_stream_is_shown_piece_by_piece_and_closed_by_its_digest():
    here = system.create()
    caller, call = streamed(here)

    system.send_part(here, call, "rain ", 0)
    system.pass_time(here, 0.1)
    first = system.text(here, caller)
    system.send_part(here, call, "falls", 5)
    system.end_stream(here, call, "rain falls")
    system.pass_time(here, 0.1)

    assert first == "rain "
    assert system.text(here, caller) == "rain falls"
    whole = system.whole(here, caller)
    assert whole.length == len("rain falls")
    assert whole.output_digest == hashlib.sha256(b"rain falls").hexdigest()


def test_journaled_text_is_shown_only_when_it_is_committed():
    here = system.create()
    caller, call = streamed(here, key="p")
    here.control.stalled.add("RecordProgress")

    system.send_part(here, call, "rain ", 0)
    system.pass_time(here, 0.2)
    before = system.text(here, caller)
    system.let_go(here)
    system.pass_time(here, 0.2)

    assert before == ""
    assert system.text(here, caller) == "rain "


def test_a_journaled_stream_tells_its_id_before_any_text():
    here = system.create()
    here.held.add("encoders")
    caller = system.submit(here, "entry-1", "question", stream=True, key="p")
    system.pass_time(here, 0.5)

    assert system.text(here, caller) == ""
    assert system.accepted(here, caller).request_id.startswith("k-")


def test_text_that_arrived_during_a_commit_waits_for_its_own():
    here = system.create()
    caller, call = streamed(here, key="p")
    here.control.stalled.add("RecordProgress")
    system.send_part(here, call, "rain ", 0)
    system.pass_time(here, 0.1)
    system.send_part(here, call, "falls", 5)
    system.pass_time(here, 0.1)

    system.let_go(here)
    here.control.stalled.add("RecordProgress")
    system.pass_time(here, 0.1)

    assert system.text(here, caller) == "rain "


def test_pieces_that_arrive_during_a_commit_are_recorded_together():
    here = system.create()
    caller, call = streamed(here, key="p")

    for index, letter in enumerate(TEXT):
        system.send_part(here, call, letter, index)
        system.pass_time(here, 0.001)
    system.end_stream(here, call, TEXT)
    system.pass_time(here, 0.5)

    names = [type(each).__name__ for each in here.control.commands]
    assert names.count("RecordProgress") < len(TEXT) / 4
    assert system.text(here, caller) == TEXT


def test_a_streamed_answer_passes_the_log_once():
    here = system.create()
    _, call = streamed(here, key="p")
    text = "x" * 1_000
    system.send_part(here, call, text, 0)
    system.end_stream(here, call, text)
    system.pass_time(here, 0.5)

    sizes = [
        len(getattr(each, "text", "")) + len(getattr(each, "output", b""))
        for each in here.control.commands
    ]
    bodies = [
        len(each.body)
        for each in here.control.commands
        if type(each).__name__ == "RecordAnswer"
    ]
    assert sum(sizes) + sum(bodies) < 1.5 * len(text)


def test_an_unjournaled_stream_goes_on_elsewhere_from_what_was_shown():
    here = system.create()
    caller, call = streamed(here, kind="question")
    system.send_part(here, call, "rain ", 0)
    system.fail(here, call, requests.Sent.UNKNOWN)

    again = system.next_call(here, "engines")
    system.answer(here, again, "falls")
    system.pass_time(here, 0.2)

    assert again.call.resume_output == "rain "
    assert again.upstream != call.upstream
    assert system.text(here, caller) == "rain falls"
    assert system.whole(here, caller)


def test_a_part_that_comes_twice_is_taken_once():
    here = system.create()
    caller, call = streamed(here)

    system.send_part(here, call, "rain ", 0)
    system.send_part(here, call, "rain ", 0)
    system.send_part(here, call, "falls", 5)
    system.end_stream(here, call, "rain falls")
    system.pass_time(here, 0.2)

    assert system.text(here, caller) == "rain falls"
    assert system.tables(here, "entry-1").counters["part_duplicate"] == 1


def test_a_stream_with_a_gap_goes_on_elsewhere_from_before_the_gap():
    here = system.create()
    caller, call = streamed(here)

    system.send_part(here, call, "rain ", 0)
    system.send_part(here, call, "field", 18)
    again = system.next_call(here, "engines")

    assert again.call.resume_output == "rain "
    assert system.tables(here, "entry-1").counters["part_out_of_order"] == 1
    assert call.attempt in here.cancels
    assert system.whole(here, caller) is None


def test_a_stream_shorter_than_its_end_mark_says_is_not_whole():
    here = system.create()
    caller, call = streamed(here)

    system.send_part(here, call, "rain ", 0)
    system.end_stream(here, call, "rain falls")
    system.pass_time(here, 0.2)

    assert system.whole(here, caller) is None
    assert system.tables(here, "entry-1").counters["answer_garbled"] == 1


def test_who_saw_a_garbled_text_is_told_to_drop_it():
    here = system.create()
    caller, call = streamed(here, kind="dispute")
    system.send_part(here, call, "rxin ", 0)
    system.pass_time(here, 0.2)
    system.end_stream(here, call, "rain ")

    again = system.next_call(here, "engines")
    system.answer(here, again, "rain falls")
    system.pass_time(here, 1.0)
    told = system.problem(here, caller)
    later = system.query(here, "entry-2", told.request_id, stream=True)
    system.pass_time(here, 0.5)

    assert told.title == "Stream garbled"
    assert again.call.resume_output == ""
    assert system.text(here, later) == "rain falls"
    assert system.whole(here, later)


def test_who_saw_a_garbled_text_on_another_host_is_told_to_drop_it():
    here = system.create()
    _, call = streamed(here, kind="dispute")
    later = system.query(here, "entry-2", call.call.binding.request, stream=True)
    system.send_part(here, call, "rxin ", 0)
    system.pass_time(here, 1.0)
    seen = system.text(here, later)
    system.end_stream(here, call, "rain ")

    system.next_call(here, "engines")
    system.pass_time(here, 1.0)

    assert seen == "rxin "
    assert system.problem(here, later).title == "Stream garbled"


def test_text_of_a_run_that_was_withdrawn_is_not_gone_on_from():
    here = system.create()
    first, call = streamed(here, key="p", deadline_ms=500)
    system.send_part(here, call, "rain ", 0)
    system.pass_time(here, 0.6)
    held = len(system.text(here, first))

    second = system.submit(
        here,
        "entry-2",
        "question",
        key="p",
        stream=True,
        resume_offset=held,
        deadline_ms=500,
    )
    system.pass_time(here, 0.1)

    assert system.problem(here, first).status == 504
    assert held
    assert system.problem(here, second).title == "Stream garbled"


def test_a_garbled_text_that_nobody_saw_is_replaced():
    here = system.create()
    here.held.add("engines")
    caller = system.submit(here, "entry-1", "dispute")
    call = system.next_call(here, "engines")
    system.send_part(here, call, "rxin ", 0)
    system.end_stream(here, call, "rain ")

    system.answer(here, system.next_call(here, "engines"), "rain falls")
    system.pass_time(here, 1.0)

    assert b"rain falls" in system.whole(here, caller).body


def test_a_preempted_stream_goes_on_from_its_text():
    here = system.create()
    caller, call = streamed(here)
    system.send_part(here, call, "rain ", 0)
    system.pass_time(here, 0.1)

    outbox = system.ticks.Outbox()
    tables = system.tables(here, "entry-1")
    launch.preempt(tables, here.here.now, outbox, call.attempt)
    system.leave(here, "entry-1", outbox)
    again = system.next_call(here, "engines")
    system.send_part(here, call, "late", 5)
    system.answer(here, again, "falls")
    system.pass_time(here, 0.2)

    assert call.attempt in here.cancels
    assert again.call.resume_output == "rain "
    assert system.text(here, caller) == "rain falls"


def hedged(here, call, pool: str = "engines"):
    """Start a hedge of a call and return the hedge's call."""
    tables = system.tables(here, "entry-1")
    request = tables.requests.requests[call.call.binding.request]
    ready = stages.ready_stage(tables, here.here.now, request)
    ready.hedge = True
    outbox = system.ticks.Outbox()
    launch.hedge(tables, here.here.now, outbox, ready)
    system.leave(here, "entry-1", outbox)
    return system.next_call(here, pool)


def test_the_losing_attempt_is_cancelled_before_the_next_stage_ends():
    here = system.create()
    here.held.update({"encoders", "retrievers"})
    system.submit(here, "entry-1", "question")
    call = system.next_call(here, "encoders")
    hedge = hedged(here, call, "encoders")

    system.answer(here, hedge)
    system.next_call(here, "retrievers")

    assert here.cancels == [call.attempt]


def test_the_first_whole_answer_of_a_hedged_stage_wins_and_the_other_is_cancelled():
    here = system.create()
    here.held.add("engines")
    caller = system.submit(here, "entry-1", "question")
    call = system.next_call(here, "engines")
    hedge = hedged(here, call)

    system.answer(here, hedge, "from the hedge")
    system.pass_time(here, 0.1)
    system.answer(here, call, "too late")
    system.pass_time(here, 0.1)

    assert hedge.upstream != call.upstream
    assert b"from the hedge" in system.whole(here, caller).body
    assert call.attempt in here.cancels
    assert system.tables(here, "entry-1").counters["answer_late"] == 1


def test_a_hedge_never_changes_what_a_caller_has_seen():
    here = system.create()
    caller, call = streamed(here)
    hedge = hedged(here, call)
    system.send_part(here, call, "rain ", 0)
    system.pass_time(here, 0.1)

    system.answer(here, hedge, "sun shines")
    system.pass_time(here, 0.1)
    system.send_part(here, call, "falls", 5)
    system.end_stream(here, call, "rain falls")
    system.pass_time(here, 0.1)

    assert system.text(here, caller) == "rain falls"
    assert system.tables(here, "entry-1").counters["hedge_diverged"] == 1


def test_a_hedge_stands_in_for_its_failed_primary():
    here = system.create()
    caller, call = streamed(here)
    hedge = hedged(here, call)

    system.fail(here, call, requests.Sent.UNKNOWN)
    system.send_part(here, hedge, "rain ", 0)
    system.pass_time(here, 0.1)
    first = system.text(here, caller)
    system.send_part(here, hedge, "falls", 5)
    system.end_stream(here, hedge, "rain falls")
    system.pass_time(here, 0.1)

    assert first == "rain "
    assert system.text(here, caller) == "rain falls"
    assert system.whole(here, caller)
    assert len(system.calls_of(here, "engines")) == 2
