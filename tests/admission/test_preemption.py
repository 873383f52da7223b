"""Long generations give way to urgent stages, a bounded number of times."""

import types

from bitternlever.admission import dispatch, preemption
from bitternlever.messages import manifest
from tests.admission import entries

LONG = manifest.Stage(
    name="write",
    task=manifest.Task.GENERATE,
    pool="engines",
    maximum_output_tokens=4_000,
)


def _busy_host(priority=3, preemptions=0, stage=LONG, limits=None):
    """Fill one upstream with long generations."""
    tables = entries.host(limits=limits)
    entries.announce(tables, 0.0, concurrency=8)
    for index in range(12):
        name = f"long{index}"
        tables.requests.requests[name] = types.SimpleNamespace(
            kind=manifest.Kind(f"kind-{priority}", priority, 60_000, durable=True),
        )
        waiting = entries.ready(
            name,
            priority=priority,
            stage=stage,
            preemptions=preemptions,
        )
        dispatch.push(tables, 0.0, waiting)
    entries.run(tables, 0.0)
    return tables


def _press(tables, now, name="urgent", deadline_s=2.0):
    stage = manifest.Stage("check", manifest.Task.GENERATE, "engines")
    waiting = entries.ready(
        name,
        priority=0,
        deadline_s=deadline_s,
        stage=stage,
        prompt_tokens=10,
    )
    dispatch.push(tables, now, waiting)


def _fill_share(tables):
    """Take the share that is kept for urgent stages."""
    _press(tables, 0.0, "earlier", deadline_s=9.0)
    entries.run(tables, 0.0)


def test_nothing_gives_way_while_there_is_time():
    tables = _busy_host()
    _fill_share(tables)
    _press(tables, 0.0, deadline_s=9.0)

    assert preemption.due(tables, 0.5) == []


def test_one_long_generation_gives_way_to_one_pressing_stage():
    tables = _busy_host()
    _fill_share(tables)
    _press(tables, 0.0)

    assert len(preemption.due(tables, 1.2)) == 1


def test_nothing_gives_way_while_there_is_room():
    tables = _busy_host()
    _press(tables, 0.0)

    assert preemption.due(tables, 1.2) == []


def test_what_gave_way_often_enough_goes_on():
    limits = manifest.Limits(maximum_preemptions=2)
    tables = _busy_host(preemptions=2, limits=limits)
    _fill_share(tables)
    _press(tables, 0.0)

    assert preemption.due(tables, 1.2) == []


def test_what_is_nearly_done_goes_on():
    tables = _busy_host()
    _fill_share(tables)
    for attempt in tables.requests.attempts.values():
        attempt.output = "word" * 1_990
    _press(tables, 0.0)

    assert preemption.due(tables, 1.2) == []


def test_urgent_generations_never_give_way():
    tables = _busy_host(priority=1)
    _press(tables, 0.0)

    assert preemption.due(tables, 1.2) == []


def test_a_stage_that_may_not_be_repeated_never_gives_way():
    once = manifest.Stage(
        "write",
        manifest.Task.GENERATE,
        "engines",
        idempotent=False,
        maximum_output_tokens=4_000,
    )
    tables = _busy_host(stage=once)
    _fill_share(tables)
    _press(tables, 0.0)

    assert preemption.due(tables, 1.2) == []


def test_nothing_gives_way_to_what_is_late_anyway():
    tables = _busy_host()
    _fill_share(tables)
    _press(tables, 0.0)

    assert preemption.due(tables, 1.95) == []
