"""Late, doubled and crossed upstream answers reach no request but their own."""

import copy
import hashlib

import msgspec
import pytest

from bitternlever.messages import requests, upstream
from tests.pipelines import system


def finished(call, output, binding=None, digest=None):
    data = msgspec.json.encode(output)
    return requests.UpstreamFinished(
        attempt=call.attempt,
        binding=binding or call.call.binding,
        digest=digest or hashlib.sha256(data).hexdigest(),
        output=output,
    )


@pytest.fixture
def here():
    made = system.create()
    made.held.add("panel")
    return made


def test_crossed_answers_reach_neither_caller(here):
    callers = [system.submit(here, "entry-1", "reading") for _ in range(2)]
    first = system.next_call(here, "panel")
    second = system.next_call(here, "panel")

    crossed = finished(first, "second", binding=second.call.binding)
    system.tell(here, "entry-1", crossed)
    system.pass_time(here, 0.1)

    assert all(system.whole(here, caller) is None for caller in callers)
    assert system.tables(here, "entry-1").counters["answer_crossed"] == 1
    again = system.next_call(here, "panel")
    assert again.call.binding.request == first.call.binding.request


@pytest.mark.parametrize("field", ["request", "stage", "attempt", "epoch"])
def test_every_part_of_a_binding_counts(here, field):
    caller = system.submit(here, "entry-1", "reading")
    call = system.next_call(here, "panel")
    wrong = 99 if field == "epoch" else "other"
    binding = msgspec.structs.replace(call.call.binding, **{field: wrong})

    system.tell(here, "entry-1", finished(call, "x", binding=binding))

    assert system.whole(here, caller) is None


def test_a_doubled_answer_counts_once(here):
    caller = system.submit(here, "entry-1", "reading")
    message = finished(system.next_call(here, "panel"), "x")

    system.tell(here, "entry-1", message)
    system.tell(here, "entry-1", copy.copy(message))
    system.pass_time(here, 0.1)

    told = [
        each for each in here.told[caller] if isinstance(each, requests.WholeAnswer)
    ]
    assert len(told) == 1
    assert system.tables(here, "entry-1").counters["answer_late"] == 1


def test_an_answer_after_the_deadline_is_dropped(here):
    caller = system.submit(here, "entry-1", "reading", deadline_ms=100)
    call = system.next_call(here, "panel")
    system.pass_time(here, 0.2)

    system.tell(here, "entry-1", finished(call, "x"))

    assert system.whole(here, caller) is None
    assert system.tables(here, "entry-1").counters["answer_late"] == 1


def test_an_answer_with_another_digest_is_not_whole(here):
    caller = system.submit(here, "entry-1", "reading")
    call = system.next_call(here, "panel")

    system.tell(here, "entry-1", finished(call, "x", digest="0" * 64))
    system.pass_time(here, 0.1)

    assert system.whole(here, caller) is None
    assert system.tables(here, "entry-1").counters["answer_garbled"] == 1
    system.answer(here, system.next_call(here, "panel"), "y")
    system.pass_time(here, 0.1)
    assert system.whole(here, caller)


def test_a_crossed_answer_of_a_stage_that_may_not_be_repeated_is_not_resent(here):
    here.held.add("billing")
    caller = system.submit(here, "entry-1", "privacy-update")
    call = system.next_call(here, "billing")
    binding = upstream.Binding("other", "billing", "a-9", 1)

    system.tell(here, "entry-1", finished(call, "x", binding=binding))
    system.pass_time(here, 1.0)

    assert system.problem(here, caller).title == "Outcome unknown"
    assert len(system.calls_of(here, "billing")) == 1
