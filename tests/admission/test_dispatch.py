"""Tests of the order in which waiting stages are dispatched to upstreams."""

import pytest

from bitternlever.admission import dispatch
from bitternlever.messages import manifest
from tests.admission import entry_hosts

SERVICE_S = 1.0


def _launch_order(tables, now, count):
    """Dispatch to an upstream with one slot; return request ids in launch order."""
    order = []
    for _ in range(count):
        entry_hosts.announce(tables, now, sequence=len(order) + 1, concurrency=1)
        launched = entry_hosts.run(tables, now)
        order.extend(attempt.request_id for attempt in launched)
        now += SERVICE_S
        for attempt in launched:
            entry_hosts.finish(tables, now, attempt)
    return order


def test_the_most_urgent_goes_first():
    tables = entry_hosts.host()
    dispatch.push(tables, 0.0, entry_hosts.ready("draft", priority=2))
    dispatch.push(tables, 0.0, entry_hosts.ready("check", priority=0))

    assert _launch_order(tables, 0.0, 2) == ["check", "draft"]


def test_the_earliest_deadline_goes_first_within_a_workspace():
    tables = entry_hosts.host()
    dispatch.push(tables, 0.0, entry_hosts.ready("later", deadline_s=50.0))
    dispatch.push(tables, 0.0, entry_hosts.ready("sooner", deadline_s=40.0))

    assert _launch_order(tables, 0.0, 2) == ["sooner", "later"]


def test_a_small_workspace_does_not_wait_behind_a_large_backlog():
    tables = entry_hosts.host()
    for index in range(200):
        backlog_stage = entry_hosts.ready(
            f"f{index:03}", workspace="large", deadline_s=50.0
        )
        dispatch.push(tables, 0.0, backlog_stage)
    dispatch.push(tables, 0.0, entry_hosts.ready("small", workspace="small"))

    order = _launch_order(tables, 0.0, 60)

    assert "small" in order


def test_a_workspace_with_more_weight_gets_more_capacity():
    tables = entry_hosts.host()
    for index in range(100):
        for name, weight in (("heavy", 3.0), ("light", 1.0)):
            stage = entry_hosts.ready(f"{name}{index}", workspace=name, weight=weight)
            dispatch.push(tables, 0.0, stage)

    order = _launch_order(tables, 0.0, 80)

    heavy = sum(request_id.startswith("heavy") for request_id in order)
    assert heavy == pytest.approx(60, abs=6)


def test_ageing_raises_stages_but_not_to_an_urgent_level():
    tables = entry_hosts.host()
    dispatch.push(tables, 0.0, entry_hosts.ready("audit", priority=3, deadline_s=98.0))
    dispatch.push(tables, 40.0, entry_hosts.ready("draft", now=40.0))
    dispatch.push(tables, 40.0, entry_hosts.ready("check", now=40.0, priority=1))

    order = _launch_order(tables, 40.0, 3)

    assert order == ["check", "audit", "draft"]


def test_late_stages_are_queued_behind_stages_that_can_be_in_time():
    tables = entry_hosts.host()
    dispatch.push(tables, 0.0, entry_hosts.ready("late", deadline_s=10.0))
    dispatch.push(tables, 0.0, entry_hosts.ready("in-time", deadline_s=60.0))

    assert _launch_order(tables, 12.0, 2) == ["in-time", "late"]


def test_late_stages_are_not_starved():
    tables = entry_hosts.host()
    dispatch.push(tables, 0.0, entry_hosts.ready("late", deadline_s=10.0))
    order = []
    for second in range(11, 160):
        now = float(second)
        fresh = entry_hosts.ready(f"fresh{second}", now=now, deadline_s=now + 50.0)
        dispatch.push(tables, now, fresh)
        order.extend(_launch_order(tables, now, 1))

    assert "late" in order


def test_a_withdrawn_request_is_not_launched():
    tables = entry_hosts.host()
    dispatch.push(tables, 0.0, entry_hosts.ready("gone"))
    dispatch.push(tables, 0.0, entry_hosts.ready("stays"))

    dispatch.withdraw(tables, "gone")

    assert _launch_order(tables, 0.0, 2) == ["stays"]
    assert not tables.admission.waiting_by_workspace


def test_one_kind_of_work_does_not_wait_for_another():
    tables = entry_hosts.host()
    entry_hosts.announce(tables, 0.0, "panel", pool="panels")
    dispatch.push(tables, 0.0, entry_hosts.ready("urgent", priority=0))
    dispatch.push(tables, 0.0, entry_hosts.ready("call", stage=entry_hosts.CALL))

    launched = entry_hosts.run(tables, 0.0)

    assert [attempt.request_id for attempt in launched] == ["call"]


def _generate(name, model, priority):
    """Return a ready stage of a model; all models share the same engines."""
    stage = manifest.Stage(
        name=model,
        task=manifest.Task.GENERATE,
        pool="engines",
        model=model,
    )
    return entry_hosts.ready(name, priority=priority, stage=stage)


def test_urgency_counts_across_kinds_of_work_that_share_upstreams():
    tables = entry_hosts.host()
    for name, model, priority in (
        ("audit-1", "long", 6),
        ("audit-2", "long", 6),
        ("claim", "short", 3),
        ("helpline", "long", 2),
        ("note", "short", 7),
    ):
        dispatch.push(tables, 0.0, _generate(name, model, priority))
    order = []
    for sequence in range(1, 6):
        now = float(sequence)
        models = ["short", "long"]
        entry_hosts.announce(
            tables, now, sequence=sequence, concurrency=1, models=models
        )
        [launched] = entry_hosts.run(tables, now)
        order.append(launched.request_id)
        entry_hosts.finish(tables, now + 0.5, launched)

    assert order == ["helpline", "claim", "audit-1", "audit-2", "note"]


def test_one_run_fills_the_capacity_in_order_of_urgency_across_kinds_of_work():
    tables = entry_hosts.host()
    for name, model, priority in (
        ("audit", "long", 6),
        ("helpline", "long", 2),
        ("claim", "short", 3),
    ):
        dispatch.push(tables, 0.0, _generate(name, model, priority))
    entry_hosts.announce(tables, 0.0, concurrency=8, models=["short", "long"])

    launched = entry_hosts.run(tables, 0.0)

    assert [attempt.request_id for attempt in launched] == [
        "helpline",
        "claim",
        "audit",
    ]


def test_a_stage_that_must_avoid_the_only_free_upstream_is_skipped():
    tables = entry_hosts.host()
    stuck = entry_hosts.ready("stuck", priority=0, excluded=frozenset(["e0"]))
    entry_hosts.announce(tables, 0.0, "e1", concurrency=1)
    dispatch.push(tables, 0.0, entry_hosts.ready("first", priority=0))
    entry_hosts.run(tables, 0.0)
    entry_hosts.announce(tables, 0.0, "e0", concurrency=1)
    dispatch.push(tables, 0.0, stuck)
    dispatch.push(tables, 0.0, entry_hosts.ready("other", priority=1))

    launched = entry_hosts.run(tables, 0.0)

    assert [attempt.request_id for attempt in launched] == ["other"]


def test_the_manifest_limits_define_what_is_urgent():
    tables = entry_hosts.host(limits=manifest.Limits(urgent_priority=3))
    dispatch.push(tables, 0.0, entry_hosts.ready("audit", priority=3))
    dispatch.push(tables, 50.0, entry_hosts.ready("draft", now=50.0, priority=2))

    assert _launch_order(tables, 50.0, 2) == ["draft", "audit"]


def test_requeueing_a_stage_does_not_grow_the_queue():
    tables = entry_hosts.host()
    dispatch.push(tables, 0.0, entry_hosts.ready("waits"))
    for step in range(100):
        entry_hosts.run(tables, step * 0.05)
        dispatch.push(tables, step * 0.05, tables.admission.ready[("waits", 0)])
        entry_hosts.run(tables, step * 0.05)

    lanes = tables.admission.queues.popitem()[1].lanes
    assert sum(map(len, lanes.values())) <= 2
