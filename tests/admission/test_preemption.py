"""Tests of the preemption of long generations by urgent stages."""

import types

from bitternlever.admission import dispatch, preemption
from bitternlever.messages import manifest
from tests.admission import entry_hosts

LONG = manifest.Stage(
    name="write",
    task=manifest.Task.GENERATE,
    pool="engines",
    maximum_output_tokens=4_000,
)


def _busy_host(priority=3, preemptions=0, stage=LONG, limits=None):
    """Return a host whose only upstream is full of long generations."""
    tables = entry_hosts.host(limits=limits)
    entry_hosts.announce(tables, 0.0, concurrency=8)
    for index in range(12):
        name = f"long{index}"
        tables.requests.requests[name] = types.SimpleNamespace(
            kind=manifest.Kind(f"kind-{priority}", priority, 60_000, durable=True),
        )
        waiting = entry_hosts.ready(
            name,
            priority=priority,
            stage=stage,
            preemptions=preemptions,
        )
        dispatch.push(tables, 0.0, waiting)
    entry_hosts.run(tables, 0.0)
    return tables


def _push_urgent(tables, now, name="urgent", deadline_s=2.0):
    stage = manifest.Stage("check", manifest.Task.GENERATE, "engines")
    waiting = entry_hosts.ready(
        name,
        priority=0,
        deadline_s=deadline_s,
        stage=stage,
        prompt_tokens=10,
    )
    dispatch.push(tables, now, waiting)


def _fill_urgent_share(tables):
    """Use up the share of the capacity that is reserved for urgent stages."""
    _push_urgent(tables, 0.0, "earlier", deadline_s=9.0)
    entry_hosts.run(tables, 0.0)


def test_nothing_is_preempted_while_there_is_time():
    tables = _busy_host()
    _fill_urgent_share(tables)
    _push_urgent(tables, 0.0, deadline_s=9.0)

    assert preemption.attempts_to_preempt(tables, 0.5) == []


def test_one_long_generation_is_preempted_for_one_critical_stage():
    tables = _busy_host()
    _fill_urgent_share(tables)
    _push_urgent(tables, 0.0)

    assert len(preemption.attempts_to_preempt(tables, 1.2)) == 1


def test_nothing_is_preempted_while_there_is_capacity():
    tables = _busy_host()
    _push_urgent(tables, 0.0)

    assert preemption.attempts_to_preempt(tables, 1.2) == []


def test_a_generation_preempted_often_enough_is_not_preempted_again():
    limits = manifest.Limits(maximum_preemptions=2)
    tables = _busy_host(preemptions=2, limits=limits)
    _fill_urgent_share(tables)
    _push_urgent(tables, 0.0)

    assert preemption.attempts_to_preempt(tables, 1.2) == []


def test_a_nearly_finished_generation_is_not_preempted():
    tables = _busy_host()
    _fill_urgent_share(tables)
    for attempt in tables.requests.attempts.values():
        attempt.output = "word" * 1_990
    _push_urgent(tables, 0.0)

    assert preemption.attempts_to_preempt(tables, 1.2) == []


def test_urgent_generations_are_not_preempted():
    tables = _busy_host(priority=1)
    _push_urgent(tables, 0.0)

    assert preemption.attempts_to_preempt(tables, 1.2) == []


def test_a_non_idempotent_stage_is_not_preempted():
    once = manifest.Stage(
        "write",
        manifest.Task.GENERATE,
        "engines",
        idempotent=False,
        maximum_output_tokens=4_000,
    )
    tables = _busy_host(stage=once)
    _fill_urgent_share(tables)
    _push_urgent(tables, 0.0)

    assert preemption.attempts_to_preempt(tables, 1.2) == []


def test_nothing_is_preempted_for_a_stage_that_is_late_anyway():
    tables = _busy_host()
    _fill_urgent_share(tables)
    _push_urgent(tables, 0.0)

    assert preemption.attempts_to_preempt(tables, 1.95) == []
