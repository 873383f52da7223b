"""Streamed answers: in order, without repeats, never whole if incomplete."""

import hashlib

from bitternlever.messages import requests
from bitternlever.pipelines import launch, stages
from tests.pipelines import system

TEXT = "rain falls on the field"


def submit_stream(env, kind: str = "question", **options):
    """Submit a streamed request; return its caller and its held engine call."""
    env.held_pools.add("engines")
    caller = system.submit(env, "entry-1", kind, stream=True, **options)
    return caller, system.next_call(env, "engines")


def test_a_stream_is_shown_piece_by_piece_and_closed_by_its_digest():
    env = system.create()
    caller, call = submit_stream(env)

    system.send_part(env, call, "rain ", 0)
    system.pass_time(env, 0.1)
    first = system.streamed_text(env, caller)
    system.send_part(env, call, "falls", 5)
    system.end_stream(env, call, "rain falls")
    system.pass_time(env, 0.1)

    assert first == "rain "
    assert system.streamed_text(env, caller) == "rain falls"
    whole = system.whole_answer(env, caller)
    assert whole.length == len("rain falls")
    assert whole.output_digest == hashlib.sha256(b"rain falls").hexdigest()


def test_journaled_text_is_shown_only_when_it_is_committed():
    env = system.create()
    caller, call = submit_stream(env, key="p")
    env.control.stalled.add("RecordProgress")

    system.send_part(env, call, "rain ", 0)
    system.pass_time(env, 0.2)
    before = system.streamed_text(env, caller)
    system.release_stalled(env)
    system.pass_time(env, 0.2)

    assert before == ""
    assert system.streamed_text(env, caller) == "rain "


def test_a_journaled_stream_tells_its_id_before_any_text():
    env = system.create()
    env.held_pools.add("encoders")
    caller = system.submit(env, "entry-1", "question", stream=True, key="p")
    system.pass_time(env, 0.5)

    assert system.streamed_text(env, caller) == ""
    assert system.accepted(env, caller).request_id.startswith("k-")


def test_text_that_arrived_during_a_commit_waits_for_its_own():
    env = system.create()
    caller, call = submit_stream(env, key="p")
    env.control.stalled.add("RecordProgress")
    system.send_part(env, call, "rain ", 0)
    system.pass_time(env, 0.1)
    system.send_part(env, call, "falls", 5)
    system.pass_time(env, 0.1)

    system.release_stalled(env)
    env.control.stalled.add("RecordProgress")
    system.pass_time(env, 0.1)

    assert system.streamed_text(env, caller) == "rain "


def test_pieces_that_arrive_during_a_commit_are_recorded_together():
    env = system.create()
    caller, call = submit_stream(env, key="p")

    for index, letter in enumerate(TEXT):
        system.send_part(env, call, letter, index)
        system.pass_time(env, 0.001)
    system.end_stream(env, call, TEXT)
    system.pass_time(env, 0.5)

    names = [type(command).__name__ for command in env.control.commands]
    assert names.count("RecordProgress") < len(TEXT) / 4
    assert system.streamed_text(env, caller) == TEXT


def test_a_streamed_answer_passes_the_log_once():
    env = system.create()
    _, call = submit_stream(env, key="p")
    text = "x" * 1_000
    system.send_part(env, call, text, 0)
    system.end_stream(env, call, text)
    system.pass_time(env, 0.5)

    sizes = [
        len(getattr(command, "text", "")) + len(getattr(command, "output", b""))
        for command in env.control.commands
    ]
    bodies = [
        len(command.body)
        for command in env.control.commands
        if type(command).__name__ == "RecordAnswer"
    ]
    assert sum(sizes) + sum(bodies) < 1.5 * len(text)


def test_an_unjournaled_stream_resumes_elsewhere_from_the_sent_text():
    env = system.create()
    caller, call = submit_stream(env, kind="question")
    system.send_part(env, call, "rain ", 0)
    system.fail_call(env, call, requests.Sent.UNKNOWN)

    retry_call = system.next_call(env, "engines")
    system.answer_call(env, retry_call, "falls")
    system.pass_time(env, 0.2)

    assert retry_call.call.resume_output == "rain "
    assert retry_call.upstream != call.upstream
    assert system.streamed_text(env, caller) == "rain falls"
    assert system.whole_answer(env, caller)


def test_a_part_that_comes_twice_is_taken_once():
    env = system.create()
    caller, call = submit_stream(env)

    system.send_part(env, call, "rain ", 0)
    system.send_part(env, call, "rain ", 0)
    system.send_part(env, call, "falls", 5)
    system.end_stream(env, call, "rain falls")
    system.pass_time(env, 0.2)

    assert system.streamed_text(env, caller) == "rain falls"
    assert system.tables(env, "entry-1").counters["part_duplicate"] == 1


def test_a_stream_with_a_gap_goes_on_elsewhere_from_before_the_gap():
    env = system.create()
    caller, call = submit_stream(env)

    system.send_part(env, call, "rain ", 0)
    system.send_part(env, call, "field", 18)
    retry_call = system.next_call(env, "engines")

    assert retry_call.call.resume_output == "rain "
    assert system.tables(env, "entry-1").counters["part_out_of_order"] == 1
    assert call.attempt in env.cancelled_attempts
    assert system.whole_answer(env, caller) is None


def test_a_stream_shorter_than_its_end_mark_says_is_not_whole():
    env = system.create()
    caller, call = submit_stream(env)

    system.send_part(env, call, "rain ", 0)
    system.end_stream(env, call, "rain falls")
    system.pass_time(env, 0.2)

    assert system.whole_answer(env, caller) is None
    assert system.tables(env, "entry-1").counters["answer_garbled"] == 1


def test_a_caller_that_saw_garbled_text_is_told_to_drop_it():
    env = system.create()
    caller, call = submit_stream(env, kind="dispute")
    system.send_part(env, call, "rxin ", 0)
    system.pass_time(env, 0.2)
    system.end_stream(env, call, "rain ")

    retry_call = system.next_call(env, "engines")
    system.answer_call(env, retry_call, "rain falls")
    system.pass_time(env, 1.0)
    problem = system.problem(env, caller)
    later_caller = system.query(env, "entry-2", problem.request_id, stream=True)
    system.pass_time(env, 0.5)

    assert problem.title == "Stream garbled"
    assert retry_call.call.resume_output == ""
    assert system.streamed_text(env, later_caller) == "rain falls"
    assert system.whole_answer(env, later_caller)


def test_a_caller_on_another_host_that_saw_garbled_text_is_told_to_drop_it():
    env = system.create()
    _, call = submit_stream(env, kind="dispute")
    later_caller = system.query(env, "entry-2", call.call.binding.request, stream=True)
    system.send_part(env, call, "rxin ", 0)
    system.pass_time(env, 1.0)
    seen_text = system.streamed_text(env, later_caller)
    system.end_stream(env, call, "rain ")

    system.next_call(env, "engines")
    system.pass_time(env, 1.0)

    assert seen_text == "rxin "
    assert system.problem(env, later_caller).title == "Stream garbled"


def test_a_stream_does_not_resume_from_the_text_of_a_withdrawn_run():
    env = system.create()
    first, call = submit_stream(env, key="p", deadline_ms=500)
    system.send_part(env, call, "rain ", 0)
    system.pass_time(env, 0.6)
    seen_length = len(system.streamed_text(env, first))

    second = system.submit(
        env,
        "entry-2",
        "question",
        key="p",
        stream=True,
        resume_offset=seen_length,
        deadline_ms=500,
    )
    system.pass_time(env, 0.1)

    assert system.problem(env, first).status == 504
    assert seen_length
    assert system.problem(env, second).title == "Stream garbled"


def test_a_garbled_text_that_nobody_saw_is_replaced():
    env = system.create()
    env.held_pools.add("engines")
    caller = system.submit(env, "entry-1", "dispute")
    call = system.next_call(env, "engines")
    system.send_part(env, call, "rxin ", 0)
    system.end_stream(env, call, "rain ")

    system.answer_call(env, system.next_call(env, "engines"), "rain falls")
    system.pass_time(env, 1.0)

    assert b"rain falls" in system.whole_answer(env, caller).body


def test_a_preempted_stream_goes_on_from_its_text():
    env = system.create()
    caller, call = submit_stream(env)
    system.send_part(env, call, "rain ", 0)
    system.pass_time(env, 0.1)

    outbox = system.ticks.Outbox()
    tables = system.tables(env, "entry-1")
    launch.preempt(tables, env.sim.now, outbox, call.attempt)
    system.dispatch_outbox(env, "entry-1", outbox)
    retry_call = system.next_call(env, "engines")
    system.send_part(env, call, "late", 5)
    system.answer_call(env, retry_call, "falls")
    system.pass_time(env, 0.2)

    assert call.attempt in env.cancelled_attempts
    assert retry_call.call.resume_output == "rain "
    assert system.streamed_text(env, caller) == "rain falls"


def start_hedge(env, call, pool: str = "engines"):
    """Start a hedge of a call and return the hedge's call."""
    tables = system.tables(env, "entry-1")
    request = tables.requests.requests[call.call.binding.request]
    ready = stages.ready_stage(tables, env.sim.now, request)
    ready.hedge = True
    outbox = system.ticks.Outbox()
    launch.hedge(tables, env.sim.now, outbox, ready)
    system.dispatch_outbox(env, "entry-1", outbox)
    return system.next_call(env, pool)


def test_the_losing_attempt_is_cancelled_before_the_next_stage_ends():
    env = system.create()
    env.held_pools.update({"encoders", "retrievers"})
    system.submit(env, "entry-1", "question")
    call = system.next_call(env, "encoders")
    hedge = start_hedge(env, call, "encoders")

    system.answer_call(env, hedge)
    system.next_call(env, "retrievers")

    assert env.cancelled_attempts == [call.attempt]


def test_the_first_whole_answer_of_a_hedged_stage_wins_and_the_other_is_cancelled():
    env = system.create()
    env.held_pools.add("engines")
    caller = system.submit(env, "entry-1", "question")
    call = system.next_call(env, "engines")
    hedge = start_hedge(env, call)

    system.answer_call(env, hedge, "from the hedge")
    system.pass_time(env, 0.1)
    system.answer_call(env, call, "too late")
    system.pass_time(env, 0.1)

    assert hedge.upstream != call.upstream
    assert b"from the hedge" in system.whole_answer(env, caller).body
    assert call.attempt in env.cancelled_attempts
    assert system.tables(env, "entry-1").counters["answer_late"] == 1


def test_a_hedge_never_changes_what_a_caller_has_seen():
    env = system.create()
    caller, call = submit_stream(env)
    hedge = start_hedge(env, call)
    system.send_part(env, call, "rain ", 0)
    system.pass_time(env, 0.1)

    system.answer_call(env, hedge, "sun shines")
    system.pass_time(env, 0.1)
    system.send_part(env, call, "falls", 5)
    system.end_stream(env, call, "rain falls")
    system.pass_time(env, 0.1)

    assert system.streamed_text(env, caller) == "rain falls"
    assert system.tables(env, "entry-1").counters["hedge_diverged"] == 1


def test_a_hedge_replaces_its_failed_primary():
    env = system.create()
    caller, call = submit_stream(env)
    hedge = start_hedge(env, call)

    system.fail_call(env, call, requests.Sent.UNKNOWN)
    system.send_part(env, hedge, "rain ", 0)
    system.pass_time(env, 0.1)
    first = system.streamed_text(env, caller)
    system.send_part(env, hedge, "falls", 5)
    system.end_stream(env, hedge, "rain falls")
    system.pass_time(env, 0.1)

    assert first == "rain "
    assert system.streamed_text(env, caller) == "rain falls"
    assert system.whole_answer(env, caller)
    assert len(system.calls_to_pool(env, "engines")) == 2
