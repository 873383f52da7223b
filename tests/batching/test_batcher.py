"""Tests of the batching queue: filling calls, ranking work, limiting result memory."""

import math

from bitternlever.batching import batcher, order, tables
from bitternlever.messages import fleet
from tests.gateway import samples

NOW = 100.0


def service(**changes):
    return samples.stage_service(**changes)


def make_queue(upstreams=1, zones="abc", **changes) -> tables.Batcher:
    """Return an empty queue with idle upstreams."""
    queue = batcher.create(service(**changes))
    endpoints = {f"s{n}": (f"s{n}:80", zones[n % len(zones)]) for n in range(upstreams)}
    batcher.set_upstreams(queue, endpoints)
    return queue


def stage_work(name, pieces=1, **changes) -> fleet.StageWork:
    fields = {
        "work": name,
        "request": name,
        "service": "encode",
        "stage": 0,
        "key": "k",
        "pieces": [fleet.StagePiece(number, []) for number in range(pieces)],
        "priority": 1,
        "depth": 0,
        "objective_left_s": 1.0,
        "deadline_left_s": 4.0,
        "result_bytes": 1_000,
        "workspace": "w",
    }
    fields.update(changes)
    return fleet.StageWork(**fields)


def work_ids(call: tables.Call) -> list[str]:
    return [item.work for item in call.items]


def successes(call: tables.Call) -> list[tables.ItemOutcome]:
    return [
        tables.ItemOutcome(f"{call.upstream.address}/{call.number}-{number}")
        for number in range(len(call.items))
    ]


def test_a_single_piece_does_not_wait_for_others():
    queue = make_queue()
    batcher.submit(queue, NOW, stage_work("one"), "link")

    assert [work_ids(call) for call in batcher.dispatch(queue, NOW)] == [["one"]]


def test_a_busy_upstream_gets_all_queued_pieces_in_one_call():
    queue = make_queue()
    batcher.submit(queue, NOW, stage_work("first"), "link")
    (first,) = batcher.dispatch(queue, NOW)
    for number in range(6):
        batcher.submit(queue, NOW, stage_work(f"w{number}"), "link")

    assert batcher.dispatch(queue, NOW) == []
    batcher.call_done(queue, NOW + 0.2, first.number, successes(first))
    (second,) = batcher.dispatch(queue, NOW + 0.2)
    assert len(second.items) == queue.capacity.batch


def test_a_work_is_finished_once_all_its_pieces_are_made_in_their_order():
    queue = make_queue(upstreams=2)
    batcher.submit(queue, NOW, stage_work("big", pieces=6), "link")
    first, second = batcher.dispatch(queue, NOW)

    assert batcher.call_done(queue, NOW + 0.3, first.number, successes(first)) == []
    (finished,) = batcher.call_done(queue, NOW + 0.3, second.number, successes(second))
    assert finished.refusal is None
    assert sorted(finished.work.handles) == list(range(6))


def test_begun_work_goes_before_more_urgent_work():
    queue = make_queue()
    batcher.submit(queue, NOW, stage_work("begun", pieces=6, priority=2), "link")
    (first,) = batcher.dispatch(queue, NOW)
    batcher.submit(queue, NOW, stage_work("urgent", pieces=4, priority=0), "link")
    batcher.call_done(queue, NOW + 0.2, first.number, successes(first))

    (second,) = batcher.dispatch(queue, NOW + 0.2)

    assert work_ids(second) == ["begun", "begun", "urgent", "urgent"]


def test_work_of_requests_under_way_goes_before_new_work():
    queue = make_queue()
    batcher.submit(queue, NOW, stage_work("new", pieces=4, priority=0), "link")
    batcher.submit(
        queue, NOW, stage_work("paid", pieces=3, priority=2, depth=2), "link"
    )

    (call,) = batcher.dispatch(queue, NOW)

    assert work_ids(call) == ["paid", "paid", "paid", "new"]


def test_work_on_time_goes_before_late_work_but_the_oldest_late_keeps_a_share():
    queue = make_queue()
    late = stage_work("late", pieces=4, objective_left_s=0.0)
    batcher.submit(queue, NOW, late, "link")
    batcher.submit(queue, NOW + 0.01, stage_work("on time", pieces=4), "link")

    (call,) = batcher.dispatch(queue, NOW + 0.02)

    assert work_ids(call).count("on time") == 3
    assert work_ids(call).count("late") == 1


def test_urgent_work_that_is_late_goes_before_work_that_is_not_urgent():
    queue = make_queue()
    batcher.submit(queue, NOW, stage_work("note", pieces=4, priority=2), "link")
    urgent = stage_work("urgent", pieces=4, priority=0, objective_left_s=0.0)
    batcher.submit(queue, NOW + 0.01, urgent, "link")

    (call,) = batcher.dispatch(queue, NOW + 0.02)

    assert work_ids(call) == ["urgent"] * 4


def test_of_late_work_the_newest_goes_first():
    queue = make_queue()
    old = stage_work("old", objective_left_s=-2.0)
    new = stage_work("new", objective_left_s=-0.5)
    for message in (old, new):
        batcher.submit(queue, NOW, message, "link")

    ranked = [item.message.work for item in order.in_order_of_rank(queue, NOW)]

    assert ranked == ["new", "old"]


def test_no_call_asks_for_results_that_do_not_fit_into_memory():
    queue = make_queue(result_memory_bytes=3_500)
    batcher.submit(queue, NOW, stage_work("big", pieces=4, result_bytes=1_000), "link")

    (call,) = batcher.dispatch(queue, NOW)

    assert len(call.items) == 3
    batcher.call_done(queue, NOW + 0.3, call.number, successes(call))
    assert batcher.dispatch(queue, NOW + 0.3) == []
    batcher.free(queue, NOW + 0.4, [successes(call)[0].handle])
    assert len(batcher.dispatch(queue, NOW + 0.4)[0].items) == 1


def test_small_results_pass_large_ones_that_do_not_fit_into_memory():
    queue = make_queue(result_memory_bytes=1_500)
    batcher.submit(
        queue, NOW, stage_work("large", pieces=2, result_bytes=1_000), "link"
    )
    batcher.submit(queue, NOW, stage_work("small", pieces=2, result_bytes=100), "link")

    (call,) = batcher.dispatch(queue, NOW)

    assert work_ids(call) == ["large", "small", "small"]


def test_an_upstream_that_reports_full_memory_gets_no_call_for_a_while():
    queue = make_queue(result_memory_bytes=4_000)
    batcher.submit(queue, NOW, stage_work("one", result_bytes=1_000), "link")
    (call,) = batcher.dispatch(queue, NOW)
    outcome = tables.ItemOutcome(None, "room", memory_full=True)
    batcher.call_done(queue, NOW + 0.01, call.number, [outcome])

    assert batcher.dispatch(queue, NOW + 0.02) == []
    assert len(batcher.dispatch(queue, NOW + 3.0)) == 1


def test_results_of_cancelled_work_are_abandoned():
    queue = make_queue()
    batcher.submit(queue, NOW, stage_work("one", pieces=6), "link")
    (call,) = batcher.dispatch(queue, NOW)
    batcher.call_done(queue, NOW + 0.3, call.number, successes(call))

    batcher.cancel(queue, NOW + 0.3, "one")

    abandoned = batcher.take_abandoned_handles(queue)
    assert abandoned == {"s0:80": [outcome.handle for outcome in successes(call)]}
    assert batcher.take_abandoned_handles(queue) == {}


def test_a_result_that_arrives_after_its_work_was_cancelled_is_abandoned():
    queue = make_queue()
    batcher.submit(queue, NOW, stage_work("one"), "link")
    (call,) = batcher.dispatch(queue, NOW)
    batcher.cancel(queue, NOW, "one")

    batcher.call_done(queue, NOW + 0.3, call.number, successes(call))

    assert batcher.take_abandoned_handles(queue) == {
        "s0:80": [successes(call)[0].handle]
    }


def test_a_failed_call_is_made_by_another_upstream():
    queue = make_queue(upstreams=2)
    batcher.submit(queue, NOW, stage_work("one"), "link")
    (call,) = batcher.dispatch(queue, NOW)

    batcher.call_failed(queue, NOW + 0.1, call.number, full=False)

    (again,) = batcher.dispatch(queue, NOW + 0.1)
    assert again.upstream is not call.upstream


def test_a_full_upstream_does_not_count_as_a_failure_of_the_work():
    queue = make_queue()
    batcher.submit(queue, NOW, stage_work("one"), "link")
    now = NOW
    for _ in range(20):
        (call,) = batcher.dispatch(queue, now)
        assert batcher.call_failed(queue, now, call.number, full=True) == []
        now += batcher.FULL_PAUSE_S


def test_work_whose_calls_keep_failing_is_refused():
    queue = make_queue()
    batcher.submit(queue, NOW, stage_work("one", deadline_left_s=1e6), "link")
    now = NOW
    for _ in range(batcher.MAXIMUM_FAILURES + 1):
        (call,) = batcher.dispatch(queue, now)
        ended = batcher.call_failed(queue, now, call.number, full=False)
        now += batcher.MAXIMUM_PAUSE_S

    assert ended[0].refusal.reason == "too many failed calls"
    assert queue.works == {}


def make_lost_queue():
    """Return a queue after a call with two works that lost its upstream."""
    queue = make_queue(upstreams=3)
    for name in ("one", "two"):
        batcher.submit(queue, NOW, stage_work(name, deadline_left_s=1e6), "link")
    (call,) = batcher.dispatch(queue, NOW)
    assert len({item.work for item in call.items}) == 2
    batcher.call_failed(queue, NOW, call.number, full=False, lost=True)
    return queue


def works_of(call) -> set[str]:
    return {item.work for item in call.items}


def test_work_whose_call_lost_its_upstream_shares_no_call():
    queue = make_lost_queue()
    for name in ("three", "four"):
        batcher.submit(queue, NOW, stage_work(name, deadline_left_s=1e6), "link")
    calls = batcher.dispatch(queue, NOW + 1.0)

    assert [works_of(call) for call in calls] == [{"one"}, {"two"}, {"three", "four"}]


def test_work_that_loses_upstreams_alone_is_refused_and_other_work_is_not():
    queue = make_lost_queue()
    now = NOW + 1.0
    ended = []
    for _ in range(batcher.MAXIMUM_LOST_ALONE):
        for call in batcher.dispatch(queue, now):
            if works_of(call) == {"one"}:
                ended += batcher.call_failed(
                    queue, now, call.number, full=False, lost=True
                )
            else:
                ended += batcher.call_done(queue, now, call.number, successes(call))
        now += batcher.MAXIMUM_PAUSE_S

    outcomes = {finished.work.message.work: finished.refusal for finished in ended}
    assert outcomes["one"].reason == "its pieces crash upstreams"
    assert outcomes["two"] is None
    assert queue.works == {}


def test_work_is_separated_after_several_time_outs():
    queue = make_queue(upstreams=3)
    now = NOW
    for name in ("one", "two"):
        batcher.submit(queue, now, stage_work(name, deadline_left_s=1e6), "link")
    for _ in range(batcher.TIMEOUTS_TO_SEPARATE):
        (call,) = batcher.dispatch(queue, now)
        assert works_of(call) == {"one", "two"}
        batcher.call_failed(queue, now, call.number, full=False, timed_out=True)
        now += 10.0

    calls = batcher.dispatch(queue, now)
    assert [works_of(call) for call in calls] == [{"one"}, {"two"}]


def test_a_lost_input_ends_the_work_at_once():
    queue = make_queue()
    batcher.submit(queue, NOW, stage_work("one", depth=1), "link")
    (call,) = batcher.dispatch(queue, NOW)
    outcome = tables.ItemOutcome(None, "gone", lost_input=True)

    (finished,) = batcher.call_done(queue, NOW + 0.1, call.number, [outcome])

    assert finished.refusal.lost_input


def test_new_work_behind_a_backlog_longer_than_its_deadline_is_refused_at_once():
    queue = make_queue()
    for number in range(40):
        batcher.submit(
            queue, NOW, stage_work(f"w{number}", pieces=4, priority=0), "link"
        )

    refused = batcher.submit(queue, NOW, stage_work("late", priority=2), "link")

    assert refused.refusal.retry_after_s > 1.0
    assert "late" not in queue.works


def test_nothing_is_refused_while_an_upstream_is_idle():
    queue = make_queue()

    assert (
        batcher.submit(queue, NOW, stage_work("one", deadline_left_s=0.2), "link")
        is None
    )


def test_without_an_upstream_work_is_refused():
    queue = make_queue(upstreams=0)

    refused = batcher.submit(queue, NOW, stage_work("one"), "link")

    assert math.isfinite(refused.refusal.retry_after_s)


def test_work_that_cannot_be_done_any_more_is_given_up_before_its_deadline():
    queue = make_queue()
    batcher.submit(queue, NOW, stage_work("busy", pieces=4), "link")
    batcher.dispatch(queue, NOW)
    soon = stage_work("soon", deadline_left_s=0.3, objective_left_s=0.2)
    queue.works["soon"] = tables.Work(
        message=soon,
        link="link",
        arrived_s=NOW,
        objective_s=NOW + 0.2,
        deadline_s=NOW + 0.3,
        waiting=[0],
    )

    ended = batcher.refuse_expired_work(queue, NOW + 0.2)

    assert [finished.work.message.work for finished in ended] == ["soon"]


def test_work_of_a_later_stage_is_refused_with_a_retry_time_when_its_inputs_expire():
    queue = make_queue()
    batcher.submit(queue, NOW, stage_work("running", pieces=4), "link")
    batcher.dispatch(queue, NOW)
    for number in range(30):
        message = stage_work(
            f"paid{number}", pieces=4, depth=1, objective_left_s=0, deadline_left_s=0.5
        )
        batcher.submit(queue, NOW, message, "link")

    ended = batcher.refuse_expired_work(queue, NOW + 0.4)

    assert len(ended) == 30
    assert ended[0].refusal.retry_after_s > 1.0
    assert not ended[0].refusal.lost_input


def test_a_slow_upstream_is_expected_to_be_slow_and_asked_last():
    queue = make_queue(upstreams=2)
    batcher.submit(queue, NOW, stage_work("one"), "link")
    (call,) = batcher.dispatch(queue, NOW)
    batcher.call_done(queue, NOW + 2.0, call.number, successes(call))

    batcher.submit(queue, NOW + 2.0, stage_work("two"), "link")
    (second,) = batcher.dispatch(queue, NOW + 2.0)

    assert second.upstream is not call.upstream
    assert call.upstream.slowness > 2.0


def test_large_inputs_keep_work_in_its_zone_while_it_can_be_on_time():
    queue = make_queue(upstreams=3)
    batcher.submit(queue, NOW, stage_work("one", preferred_zone="b"), "link")

    (call,) = batcher.dispatch(queue, NOW)

    assert call.upstream.zone == "b"
    batcher.submit(queue, NOW, stage_work("two", preferred_zone="b"), "link")
    assert batcher.dispatch(queue, NOW) == []
    urgent = stage_work("three", preferred_zone="b", objective_left_s=0.3)
    batcher.submit(queue, NOW, urgent, "link")
    (elsewhere,) = batcher.dispatch(queue, NOW)
    assert work_ids(elsewhere) == ["three"]


def test_late_work_leaves_memory_for_on_time_work_that_feeds_another_stage():
    queue = make_queue(result_memory_bytes=10_000, batch=20)
    late = stage_work(
        "late",
        pieces=20,
        objective_left_s=-1.0,
        result_bytes=1_000,
        feeds_stage=True,
    )
    batcher.submit(queue, NOW, late, "link")

    (call,) = batcher.dispatch(queue, NOW)

    assert len(call.items) == 10 * batcher.LATE_MEMORY_SHARE


def test_upstreams_that_leave_finish_their_calls():
    queue = make_queue()
    batcher.submit(queue, NOW, stage_work("one"), "link")
    (call,) = batcher.dispatch(queue, NOW)
    batcher.set_upstreams(queue, {})

    (finished,) = batcher.call_done(queue, NOW + 0.2, call.number, successes(call))

    assert finished.refusal is None


def test_results_expire_when_their_producers_drop_them():
    queue = make_queue()
    batcher.submit(queue, NOW, stage_work("one"), "link")
    (call,) = batcher.dispatch(queue, NOW)
    batcher.call_done(queue, NOW + 0.2, call.number, successes(call))

    batcher.remove_expired_results(queue, NOW + 0.2 + queue.capacity.result_ttl_s)

    assert queue.upstreams["s0"].results == {}


def test_an_upstream_that_times_out_is_paused_longer_than_one_that_reports_a_failure():
    pauses = []
    for timed_out in (False, True):
        queue = make_queue()
        batcher.submit(queue, NOW, stage_work("one"), "link")
        (call,) = batcher.dispatch(queue, NOW)
        batcher.call_failed(queue, NOW, call.number, full=False, timed_out=timed_out)
        pauses.append(call.upstream.paused_until_s - NOW)

    assert pauses[1] > 4 * pauses[0]


def test_late_work_stays_in_its_zone_unless_that_is_busy_for_long():
    queue = make_queue(upstreams=3)
    late = stage_work("late", preferred_zone="b", objective_left_s=-1.0)
    batcher.submit(queue, NOW, late, "link")
    queue.works["late"].late = True
    queue.upstreams["s1"].calls = 1
    queue.upstreams["s1"].busy_until_s = NOW + 0.3

    assert batcher.dispatch(queue, NOW) == []
    queue.upstreams["s1"].busy_until_s = NOW + 2.0
    (call,) = batcher.dispatch(queue, NOW)
    assert call.upstream.zone != "b"


def test_an_upstream_that_fails_at_once_is_not_taken_for_a_fast_one():
    queue = make_queue(upstreams=2)
    for _ in range(3):
        batcher.submit(queue, NOW, stage_work("one"), "link")
        (call,) = batcher.dispatch(queue, NOW)[:1]
        batcher.call_failed(queue, NOW + 0.001, call.number, full=False)
        queue.works.clear()
        for upstream in queue.upstreams.values():
            upstream.paused_until_s = NOW

    assert all(upstream.slowness >= 1.0 for upstream in queue.upstreams.values())


def test_an_upstream_with_full_memory_is_not_taken_for_a_fast_one():
    queue = make_queue()
    batcher.submit(queue, NOW, stage_work("one"), "link")
    (call,) = batcher.dispatch(queue, NOW)
    outcome = tables.ItemOutcome(None, "room", memory_full=True)

    batcher.call_done(queue, NOW + 0.001, call.number, [outcome])

    assert call.upstream.slowness == 1.0


def test_failures_without_end_keep_the_pause_within_its_bound():
    queue = make_queue()
    queue.upstreams["s0"].failures = 5_000
    batcher.submit(queue, NOW, stage_work("one"), "link")
    (call,) = batcher.dispatch(queue, NOW)

    batcher.call_failed(queue, NOW, call.number, full=False)

    assert call.upstream.paused_until_s == NOW + batcher.MAXIMUM_PAUSE_S


def _reported_wait_s(objective_left_s: float) -> float:
    """Return the reported wait after work items that each waited for a second."""
    queue = make_queue()
    now = NOW
    for number in range(20):
        message = stage_work(f"w{number}", objective_left_s=objective_left_s)
        batcher.submit(queue, now, message, "link")
        now += 1.0
        (call,) = batcher.dispatch(queue, now)
        now += call.expected_s
        batcher.call_done(queue, now, call.number, successes(call))
    return batcher.load(queue, now).wait_s


def test_the_wait_of_on_time_work_is_reported_to_the_hosts():
    assert 0.9 < _reported_wait_s(objective_left_s=3.0) < 2.0


def test_work_that_arrives_late_does_not_change_the_reported_wait():
    assert _reported_wait_s(objective_left_s=0.05) == 0.0


def test_work_that_becomes_late_counts_with_the_wait_that_it_could_afford():
    afforded_s = 0.7 - order.shortest_call_s(make_queue(), _queued())

    assert 0.8 * afforded_s < _reported_wait_s(objective_left_s=0.7) < 2 * afforded_s


def _queued() -> tables.Work:
    queue = make_queue()
    batcher.submit(queue, NOW, stage_work("w"), "link")
    return queue.works["w"]
