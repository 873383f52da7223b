"""Late, duplicate and crossed upstream answers are never used for another request."""

import copy
import hashlib

import msgspec
import pytest

from bitternlever.messages import requests, upstream
from tests.pipelines import system


def make_finished(call, output, binding=None, digest=None):
    data = msgspec.json.encode(output)
    return requests.UpstreamFinished(
        attempt=call.attempt,
        binding=binding or call.call.binding,
        digest=digest or hashlib.sha256(data).hexdigest(),
        output=output,
    )


@pytest.fixture
def env():
    env = system.create()
    env.held_pools.add("panel")
    return env


def test_crossed_answers_reach_neither_caller(env):
    callers = [system.submit(env, "entry-1", "reading") for _ in range(2)]
    first = system.next_call(env, "panel")
    second = system.next_call(env, "panel")

    crossed = make_finished(first, "second", binding=second.call.binding)
    system.deliver(env, "entry-1", crossed)
    system.pass_time(env, 0.1)

    assert all(system.whole_answer(env, caller) is None for caller in callers)
    assert system.tables(env, "entry-1").counters["answer_crossed"] == 1
    retry_call = system.next_call(env, "panel")
    assert retry_call.call.binding.request == first.call.binding.request


@pytest.mark.parametrize("field", ["request", "stage", "attempt", "epoch"])
def test_every_part_of_a_binding_counts(env, field):
    caller = system.submit(env, "entry-1", "reading")
    call = system.next_call(env, "panel")
    wrong = 99 if field == "epoch" else "other"
    binding = msgspec.structs.replace(call.call.binding, **{field: wrong})

    system.deliver(env, "entry-1", make_finished(call, "x", binding=binding))

    assert system.whole_answer(env, caller) is None


def test_a_doubled_answer_counts_once(env):
    caller = system.submit(env, "entry-1", "reading")
    message = make_finished(system.next_call(env, "panel"), "x")

    system.deliver(env, "entry-1", message)
    system.deliver(env, "entry-1", copy.copy(message))
    system.pass_time(env, 0.1)

    answers = [
        response
        for response in env.responses[caller]
        if isinstance(response, requests.WholeAnswer)
    ]
    assert len(answers) == 1
    assert system.tables(env, "entry-1").counters["answer_late"] == 1


def test_an_answer_after_the_deadline_is_dropped(env):
    caller = system.submit(env, "entry-1", "reading", deadline_ms=100)
    call = system.next_call(env, "panel")
    system.pass_time(env, 0.2)

    system.deliver(env, "entry-1", make_finished(call, "x"))

    assert system.whole_answer(env, caller) is None
    assert system.tables(env, "entry-1").counters["answer_late"] == 1


def test_an_answer_with_another_digest_is_not_whole(env):
    caller = system.submit(env, "entry-1", "reading")
    call = system.next_call(env, "panel")

    system.deliver(env, "entry-1", make_finished(call, "x", digest="0" * 64))
    system.pass_time(env, 0.1)

    assert system.whole_answer(env, caller) is None
    assert system.tables(env, "entry-1").counters["answer_garbled"] == 1
    system.answer_call(env, system.next_call(env, "panel"), "y")
    system.pass_time(env, 0.1)
    assert system.whole_answer(env, caller)


def test_a_crossed_answer_of_a_stage_that_may_not_be_repeated_is_not_resent(env):
    env.held_pools.add("billing")
    caller = system.submit(env, "entry-1", "privacy-update")
    call = system.next_call(env, "billing")
    binding = upstream.Binding("other", "billing", "a-9", 1)

    system.deliver(env, "entry-1", make_finished(call, "x", binding=binding))
    system.pass_time(env, 1.0)

    assert system.problem(env, caller).title == "Outcome unknown"
    assert len(system.calls_to_pool(env, "billing")) == 1
