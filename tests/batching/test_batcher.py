"""Calls fill by themselves, begun work goes first, and room is never overrun."""

import math

from bitternlever.batching import batcher, order, tables
from bitternlever.messages import fleet
from tests.gateway import samples

NOW = 100.0


def service(**changes):
    return samples.stage_service(**changes)


def batch(servers=1, zones="abc", **changes) -> tables.Batcher:
    """Return an empty queue with some idle upstreams."""
    held = batcher.create(service(**changes))
    present = {f"s{n}": (f"s{n}:80", zones[n % len(zones)]) for n in range(servers)}
    batcher.set_servers(held, present)
    return held


def work(name, pieces=1, **changes) -> fleet.StageWork:
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


def names(call: tables.Call) -> list[str]:
    return [item.work for item in call.items]


def done(call: tables.Call) -> list[tables.ItemDone]:
    return [
        tables.ItemDone(f"{call.server.address}/{call.number}-{number}")
        for number in range(len(call.items))
    ]


def test_a_single_piece_does_not_wait_for_others():
    held = batch()
    batcher.submit(held, NOW, work("one"), "link")

    assert [names(call) for call in batcher.dispatch(held, NOW)] == [["one"]]


def test_a_busy_upstream_gets_what_has_gathered_in_one_call():
    held = batch()
    batcher.submit(held, NOW, work("first"), "link")
    (first,) = batcher.dispatch(held, NOW)
    for number in range(6):
        batcher.submit(held, NOW, work(f"w{number}"), "link")

    assert batcher.dispatch(held, NOW) == []
    batcher.call_done(held, NOW + 0.2, first.number, done(first))
    (second,) = batcher.dispatch(held, NOW + 0.2)
    assert len(second.items) == held.capacity.batch


def test_a_work_is_finished_once_all_its_pieces_are_made_in_their_order():
    held = batch(servers=2)
    batcher.submit(held, NOW, work("big", pieces=6), "link")
    first, second = batcher.dispatch(held, NOW)

    assert batcher.call_done(held, NOW + 0.3, first.number, done(first)) == []
    (finished,) = batcher.call_done(held, NOW + 0.3, second.number, done(second))
    assert finished.refusal is None
    assert sorted(finished.work.handles) == list(range(6))


def test_begun_work_goes_before_more_urgent_work():
    held = batch()
    batcher.submit(held, NOW, work("begun", pieces=6, priority=2), "link")
    (first,) = batcher.dispatch(held, NOW)
    batcher.submit(held, NOW, work("urgent", pieces=4, priority=0), "link")
    batcher.call_done(held, NOW + 0.2, first.number, done(first))

    (second,) = batcher.dispatch(held, NOW + 0.2)

    assert names(second) == ["begun", "begun", "urgent", "urgent"]


def test_work_of_requests_under_way_goes_before_new_work():
    held = batch()
    batcher.submit(held, NOW, work("new", pieces=4, priority=0), "link")
    batcher.submit(held, NOW, work("paid", pieces=3, priority=2, depth=2), "link")

    (call,) = batcher.dispatch(held, NOW)

    assert names(call) == ["paid", "paid", "paid", "new"]


def test_work_on_time_goes_before_late_work_but_the_oldest_late_keeps_a_share():
    held = batch()
    late = work("late", pieces=4, objective_left_s=0.0)
    batcher.submit(held, NOW, late, "link")
    batcher.submit(held, NOW + 0.01, work("on time", pieces=4), "link")

    (call,) = batcher.dispatch(held, NOW + 0.02)

    assert names(call).count("on time") == 3
    assert names(call).count("late") == 1


def test_urgent_work_that_is_late_goes_before_work_that_is_not_urgent():
    held = batch()
    batcher.submit(held, NOW, work("note", pieces=4, priority=2), "link")
    urgent = work("urgent", pieces=4, priority=0, objective_left_s=0.0)
    batcher.submit(held, NOW + 0.01, urgent, "link")

    (call,) = batcher.dispatch(held, NOW + 0.02)

    assert names(call) == ["urgent"] * 4


def test_of_late_work_the_newest_goes_first():
    held = batch()
    old = work("old", objective_left_s=-2.0)
    new = work("new", objective_left_s=-0.5)
    for message in (old, new):
        batcher.submit(held, NOW, message, "link")

    ranked = [each.message.work for each in order.waiting(held, NOW)]

    assert ranked == ["new", "old"]


def test_no_call_asks_for_results_that_find_no_room():
    held = batch(room_bytes=3_500)
    batcher.submit(held, NOW, work("big", pieces=4, result_bytes=1_000), "link")

    (call,) = batcher.dispatch(held, NOW)

    assert len(call.items) == 3
    batcher.call_done(held, NOW + 0.3, call.number, done(call))
    assert batcher.dispatch(held, NOW + 0.3) == []
    batcher.free(held, NOW + 0.4, [done(call)[0].handle])
    assert len(batcher.dispatch(held, NOW + 0.4)[0].items) == 1


def test_small_results_pass_large_ones_that_find_no_room():
    held = batch(room_bytes=1_500)
    batcher.submit(held, NOW, work("large", pieces=2, result_bytes=1_000), "link")
    batcher.submit(held, NOW, work("small", pieces=2, result_bytes=100), "link")

    (call,) = batcher.dispatch(held, NOW)

    assert names(call) == ["large", "small", "small"]


def test_an_upstream_without_room_is_believed_though_nothing_here_fills_it():
    held = batch(room_bytes=4_000)
    batcher.submit(held, NOW, work("one", result_bytes=1_000), "link")
    (call,) = batcher.dispatch(held, NOW)
    outcome = tables.ItemDone(None, "room", no_room=True)
    batcher.call_done(held, NOW + 0.01, call.number, [outcome])

    assert batcher.dispatch(held, NOW + 0.02) == []
    assert len(batcher.dispatch(held, NOW + 3.0)) == 1


def test_results_of_a_work_that_nobody_awaits_are_given_up():
    held = batch()
    batcher.submit(held, NOW, work("one", pieces=6), "link")
    (call,) = batcher.dispatch(held, NOW)
    batcher.call_done(held, NOW + 0.3, call.number, done(call))

    batcher.cancel(held, NOW + 0.3, "one")

    given_up = batcher.take_unread(held)
    assert given_up == {"s0:80": [each.handle for each in done(call)]}
    assert batcher.take_unread(held) == {}


def test_a_result_that_comes_after_its_work_was_dropped_is_given_up():
    held = batch()
    batcher.submit(held, NOW, work("one"), "link")
    (call,) = batcher.dispatch(held, NOW)
    batcher.cancel(held, NOW, "one")

    batcher.call_done(held, NOW + 0.3, call.number, done(call))

    assert batcher.take_unread(held) == {"s0:80": [done(call)[0].handle]}


def test_a_failed_call_is_made_by_another_upstream():
    held = batch(servers=2)
    batcher.submit(held, NOW, work("one"), "link")
    (call,) = batcher.dispatch(held, NOW)

    batcher.call_failed(held, NOW + 0.1, call.number, full=False)

    (again,) = batcher.dispatch(held, NOW + 0.1)
    assert again.server is not call.server


def test_a_full_upstream_costs_a_work_no_try():
    held = batch()
    batcher.submit(held, NOW, work("one"), "link")
    now = NOW
    for _ in range(20):
        (call,) = batcher.dispatch(held, now)
        assert batcher.call_failed(held, now, call.number, full=True) == []
        now += batcher.FULL_PAUSE_S


def test_a_work_whose_calls_keep_failing_is_given_up():
    held = batch()
    batcher.submit(held, NOW, work("one", deadline_left_s=1e6), "link")
    now = NOW
    for _ in range(batcher.MAXIMUM_FAILURES + 1):
        (call,) = batcher.dispatch(held, now)
        ended = batcher.call_failed(held, now, call.number, full=False)
        now += batcher.MAXIMUM_PAUSE_S

    assert ended[0].refusal.reason == "too many failed calls"
    assert held.works == {}


def test_a_lost_input_ends_the_work_at_once():
    held = batch()
    batcher.submit(held, NOW, work("one", depth=1), "link")
    (call,) = batcher.dispatch(held, NOW)
    outcome = tables.ItemDone(None, "gone", lost_input=True)

    (finished,) = batcher.call_done(held, NOW + 0.1, call.number, [outcome])

    assert finished.refusal.lost_input


def test_new_work_behind_a_backlog_longer_than_its_deadline_is_refused_at_once():
    held = batch()
    for number in range(40):
        batcher.submit(held, NOW, work(f"w{number}", pieces=4, priority=0), "link")

    refused = batcher.submit(held, NOW, work("late", priority=2), "link")

    assert refused.refusal.retry_after_s > 1.0
    assert "late" not in held.works


def test_nothing_is_refused_while_an_upstream_is_idle():
    held = batch()

    assert batcher.submit(held, NOW, work("one", deadline_left_s=0.2), "link") is None


def test_without_an_upstream_work_is_refused():
    held = batch(servers=0)

    refused = batcher.submit(held, NOW, work("one"), "link")

    assert math.isfinite(refused.refusal.retry_after_s)


def test_work_that_cannot_be_done_any_more_is_given_up_before_its_deadline():
    held = batch()
    batcher.submit(held, NOW, work("busy", pieces=4), "link")
    batcher.dispatch(held, NOW)
    soon = work("soon", deadline_left_s=0.3, objective_left_s=0.2)
    held.works["soon"] = tables.Work(
        message=soon,
        link="link",
        arrived_s=NOW,
        objective_s=NOW + 0.2,
        deadline_s=NOW + 0.3,
        waiting=[0],
    )

    ended = batcher.expired(held, NOW + 0.2)

    assert [each.work.message.work for each in ended] == ["soon"]


def test_paid_for_work_is_given_up_when_its_inputs_end_with_a_time_to_return():
    held = batch()
    batcher.submit(held, NOW, work("running", pieces=4), "link")
    batcher.dispatch(held, NOW)
    for number in range(30):
        message = work(
            f"paid{number}", pieces=4, depth=1, objective_left_s=0, deadline_left_s=0.5
        )
        batcher.submit(held, NOW, message, "link")

    ended = batcher.expired(held, NOW + 0.4)

    assert len(ended) == 30
    assert ended[0].refusal.retry_after_s > 1.0
    assert not ended[0].refusal.lost_input


def test_a_slow_upstream_is_expected_to_be_slow_and_asked_last():
    held = batch(servers=2)
    batcher.submit(held, NOW, work("one"), "link")
    (call,) = batcher.dispatch(held, NOW)
    batcher.call_done(held, NOW + 2.0, call.number, done(call))

    batcher.submit(held, NOW + 2.0, work("two"), "link")
    (second,) = batcher.dispatch(held, NOW + 2.0)

    assert second.server is not call.server
    assert call.server.slowness > 2.0


def test_large_inputs_keep_work_in_its_zone_while_that_makes_it_in_time():
    held = batch(servers=3)
    batcher.submit(held, NOW, work("one", home_zone="b"), "link")

    (call,) = batcher.dispatch(held, NOW)

    assert call.server.zone == "b"
    batcher.submit(held, NOW, work("two", home_zone="b"), "link")
    assert batcher.dispatch(held, NOW) == []
    in_need = work("three", home_zone="b", objective_left_s=0.3)
    batcher.submit(held, NOW, in_need, "link")
    (away,) = batcher.dispatch(held, NOW)
    assert names(away) == ["three"]


def test_late_work_leaves_room_for_work_that_feeds_another_stage_in_time():
    held = batch(room_bytes=10_000, batch=20)
    late = work(
        "late",
        pieces=20,
        objective_left_s=-1.0,
        result_bytes=1_000,
        feeds_stage=True,
    )
    batcher.submit(held, NOW, late, "link")

    (call,) = batcher.dispatch(held, NOW)

    assert len(call.items) == 10 * batcher.LATE_ROOM_SHARE


def test_upstreams_that_leave_finish_their_calls():
    held = batch()
    batcher.submit(held, NOW, work("one"), "link")
    (call,) = batcher.dispatch(held, NOW)
    batcher.set_servers(held, {})

    (finished,) = batcher.call_done(held, NOW + 0.2, call.number, done(call))

    assert finished.refusal is None


def test_results_expire_as_their_makers_drop_them():
    held = batch()
    batcher.submit(held, NOW, work("one"), "link")
    (call,) = batcher.dispatch(held, NOW)
    batcher.call_done(held, NOW + 0.2, call.number, done(call))

    batcher.forget_expired(held, NOW + 0.2 + held.capacity.result_s)

    assert held.servers["s0"].results == {}


def test_an_upstream_that_is_silent_rests_longer_than_one_that_tells_its_failure():
    rests = []
    for silent in (False, True):
        held = batch()
        batcher.submit(held, NOW, work("one"), "link")
        (call,) = batcher.dispatch(held, NOW)
        batcher.call_failed(held, NOW, call.number, full=False, silent=silent)
        rests.append(call.server.resume_s - NOW)

    assert rests[1] > 4 * rests[0]


def test_late_work_stays_in_its_zone_unless_that_is_busy_for_long():
    held = batch(servers=3)
    late = work("late", home_zone="b", objective_left_s=-1.0)
    batcher.submit(held, NOW, late, "link")
    held.works["late"].late = True
    held.servers["s1"].calls = 1
    held.servers["s1"].busy_until_s = NOW + 0.3

    assert batcher.dispatch(held, NOW) == []
    held.servers["s1"].busy_until_s = NOW + 2.0
    (call,) = batcher.dispatch(held, NOW)
    assert call.server.zone != "b"


def test_an_upstream_that_fails_at_once_is_not_taken_for_a_fast_one():
    held = batch(servers=2)
    for _ in range(3):
        batcher.submit(held, NOW, work("one"), "link")
        (call,) = batcher.dispatch(held, NOW)[:1]
        batcher.call_failed(held, NOW + 0.001, call.number, full=False)
        held.works.clear()
        for server in held.servers.values():
            server.resume_s = NOW

    assert all(server.slowness >= 1.0 for server in held.servers.values())


def test_an_upstream_without_room_is_not_taken_for_a_fast_one():
    held = batch()
    batcher.submit(held, NOW, work("one"), "link")
    (call,) = batcher.dispatch(held, NOW)
    outcome = tables.ItemDone(None, "room", no_room=True)

    batcher.call_done(held, NOW + 0.001, call.number, [outcome])

    assert call.server.slowness == 1.0


def test_failures_without_end_keep_the_pause_within_its_bound():
    held = batch()
    held.servers["s0"].failures = 5_000
    batcher.submit(held, NOW, work("one"), "link")
    (call,) = batcher.dispatch(held, NOW)

    batcher.call_failed(held, NOW, call.number, full=False)

    assert call.server.resume_s == NOW + batcher.MAXIMUM_PAUSE_S


def _after_waits(objective_left_s: float) -> float:
    """Return the wait that is told after works that each wait for a second."""
    held = batch()
    now = NOW
    for number in range(20):
        message = work(f"w{number}", objective_left_s=objective_left_s)
        batcher.submit(held, now, message, "link")
        now += 1.0
        (call,) = batcher.dispatch(held, now)
        now += call.expected_s
        batcher.call_done(held, now, call.number, done(call))
    return batcher.load(held, now).wait_s


def test_the_wait_of_work_on_time_is_told_to_the_hosts():
    assert 0.9 < _after_waits(objective_left_s=3.0) < 2.0


def test_work_that_comes_late_tells_nothing_of_the_wait():
    assert _after_waits(objective_left_s=0.05) == 0.0


def test_work_that_becomes_late_tells_the_wait_that_it_could_afford():
    afforded_s = 0.7 - order.shortest_call_s(batch(), _queued())

    assert 0.8 * afforded_s < _after_waits(objective_left_s=0.7) < 2 * afforded_s


def _queued() -> tables.Work:
    held = batch()
    batcher.submit(held, NOW, work("w"), "link")
    return held.works["w"]
