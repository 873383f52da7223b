"""Freshness, budgets, placement, estimates and the schedule of stages."""

import pytest

from bitternlever.batching import estimates
from bitternlever.catalog import tables as catalog_tables
from bitternlever.gateway import (
    budget,
    event_stream,
    placement,
    schedule,
    sync,
    tables as gateway_tables,
)
from bitternlever.messages import fleet
from tests.gateway import samples

NOW = 100.0


def tables(version=None) -> gateway_tables.GatewayTables:
    held = gateway_tables.GatewayTables(word=samples.host_word(), seeds=("tcp://c:1",))
    if version is not None:
        held.catalog = samples.catalog(version=version)
    return held


def answer(sent_s=NOW, **changes) -> fleet.HostBeatAnswer:
    fields = {
        "sent_s": sent_s,
        "control_run": "run",
        "current": True,
        "catalog_version": 1,
        "controls": ["tcp://c:1"],
        "hosts_revision": 1,
        "hosts": [samples.host_word()],
    }
    fields.update(changes)
    return fleet.HostBeatAnswer(**fields)


def beaten(version=None) -> gateway_tables.GatewayTables:
    held = tables(version)
    sync.beat(held, NOW, fleet.HostState.READY, [])
    return held


def test_a_catalog_is_current_since_the_heartbeat_was_sent_not_answered():
    held = beaten(version=1)

    sync.answered(held, NOW + 2.0, "tcp://c:1", answer(sent_s=NOW))

    assert sync.proven_age_s(held, NOW + 3.0) == 3.0


@pytest.mark.parametrize(
    "changes",
    [{"current": False}, {"catalog_version": 2}, {"catalog_version": None}],
)
def test_only_a_leader_that_knows_no_newer_catalog_proves_anything(changes):
    held = beaten(version=1)

    sync.answered(held, NOW, "tcp://c:1", answer(**changes))

    assert sync.proven_age_s(held, NOW) is None


def test_an_answer_of_a_process_that_was_not_asked_proves_nothing():
    held = beaten(version=1)

    sync.answered(held, NOW, "tcp://other:1", answer())

    assert sync.proven_age_s(held, NOW) is None


def test_a_catalog_never_goes_back():
    held = tables(version=5)

    assert not sync.catalog_received(held, samples.catalog(version=4))
    assert not sync.catalog_received(held, samples.catalog(version=5))
    assert sync.catalog_received(held, samples.catalog(version=6))


def test_control_processes_are_learnt_from_answers_and_forgotten_in_time():
    held = beaten()
    sync.answered(held, NOW, "tcp://c:1", answer(controls=["tcp://c:1", "tcp://d:1"]))

    links = [link for link, _ in sync.beat(held, NOW, fleet.HostState.READY, [])]
    assert links == ["tcp://c:1", "tcp://d:1"]
    later_s = NOW + sync.FORGET_CONTROL_S + 1.0
    links = [link for link, _ in sync.beat(held, later_s, fleet.HostState.READY, [])]
    assert links == ["tcp://c:1"]


def test_a_draining_host_is_named_to_nobody():
    held = beaten()
    words = [
        samples.host_word("one"),
        samples.host_word("two", state=fleet.HostState.DRAINING),
        samples.host_word("three", zone="b"),
    ]
    sync.answered(held, NOW, "tcp://c:1", answer(hosts=words))

    assert sync.directory(held, "b", "r") == ["three:80", "one:80"]


def test_the_newest_word_of_a_host_counts_whoever_tells_it():
    held = beaten()
    sync.answered(held, NOW, "tcp://c:1", answer(controls=["tcp://d:1"]))
    draining = samples.host_word("one", state=fleet.HostState.DRAINING)
    sync.answered(held, NOW, "tcp://d:1", answer(hosts=[draining]))

    assert sync.directory(held, "a", "r") == []
    again = samples.host_word("one", started_ms=2_000)
    sync.answered(held, NOW, "tcp://c:1", answer(hosts=[again]))
    assert sync.directory(held, "a", "r") == ["one:80"]


def test_hosts_are_put_together_only_when_a_list_or_who_tells_it_changes():
    held = beaten()
    words = [samples.host_word(f"h{number}") for number in range(400)]
    sync.answered(held, NOW, "tcp://c:1", answer(hosts=words))
    listed = held.hosts.listed
    held.controls["tcp://c:1"].hosts = []

    for _ in range(20):
        sync.answered(held, NOW + 0.1, "tcp://c:1", answer(hosts=None))

    assert held.hosts.listed is listed


def test_a_control_process_that_falls_silent_lists_no_host_any_more():
    held = beaten()
    other = answer(controls=["tcp://d:1"], hosts=[samples.host_word("two")])
    sync.answered(held, NOW, "tcp://c:1", other)
    one = answer(hosts=[samples.host_word("one")])
    sync.answered(held, NOW, "tcp://d:1", one)
    later_s = NOW + sync.CONTROL_SILENT_S + 0.1
    sync.answered(held, later_s, "tcp://d:1", answer(hosts=None))

    assert sync.directory(held, "a", "r") == ["one:80"]


def test_a_silent_upstream_is_left_out_only_while_control_is_heard():
    held = beaten()
    told = fleet.UpstreamsTold(words=[samples.upstream_word()])
    sync.told(held, NOW, told)
    late_s = NOW + sync.UPSTREAM_SILENT_S + 1.0

    assert len(sync.present(held, late_s, "plain")) == 1
    sync.answered(held, late_s, "tcp://c:1", answer())
    assert sync.present(held, late_s, "plain") == []


def spend(held: budget.Budget, now: float, hosts: int) -> int:
    """Return how many repeats a host may send at once."""
    spent = 0
    while budget.may_repeat(held, now, hosts):
        budget.note_repeat(held, now)
        spent += 1
    return spent


def test_all_hosts_together_stay_within_the_retry_budget_of_any_window():
    hosts = [budget.Budget(window_s=10.0, ratio=0.2, slack=50) for _ in range(6)]
    requests = repeats = 0
    times = []
    for step in range(400):
        now = NOW + step * 0.1
        for held in hosts:
            budget.note_request(held, now)
            requests += 1
            spent = spend(held, now, hosts=6)
            repeats += spent
            times += [now] * spent
    most = max(sum(start <= at < start + 10 for at in times) for start in times)

    assert most <= 0.2 * 600 + 50
    assert repeats > 0


def test_a_budget_comes_back_when_its_window_has_passed():
    held = budget.Budget(window_s=10.0, ratio=0.2, slack=50)
    assert spend(held, NOW, hosts=1) == 35
    assert spend(held, NOW + 5.0, hosts=1) == 0
    assert spend(held, NOW + 12.0, hosts=1) == 35


def test_the_same_prompt_parts_find_the_same_engine_on_each_host():
    words = [samples.upstream_word(f"e{n}", slots=64) for n in range(6)]
    chosen = {
        placement.choose(tables(), NOW, words, set(), f"part-{n}").upstream
        for n in range(50)
        for _ in range(2)
    }
    again = [
        placement.choose(tables(), NOW, list(reversed(words)), set(), "part-1").upstream
        for _ in range(3)
    ]

    assert len(chosen) == 6
    assert len(set(again)) == 1


def test_a_hot_prompt_spills_to_the_next_engine():
    held = tables()
    words = [samples.upstream_word(f"e{n}", slots=64) for n in range(3)]
    counts = {}
    for _ in range(60):
        word = placement.choose(held, NOW, words, set(), "hot")
        health = placement.health(held, word.upstream)
        placement.started(health, 10)
        counts[word.upstream] = counts.get(word.upstream, 0) + 1

    assert len(counts) > 1
    assert max(counts.values()) <= 1.5 * 20 + 4


def test_the_least_loaded_plain_upstream_gets_the_request():
    held = tables()
    words = [samples.upstream_word("u1"), samples.upstream_word("u2")]
    placement.started(placement.health(held, "u1"), 0)

    assert placement.choose(held, NOW, words, set(), None).upstream == "u2"


def test_an_upstream_that_fails_rests_but_is_used_where_it_is_the_only_one():
    held = tables()
    words = [samples.upstream_word("u1"), samples.upstream_word("u2")]
    for _ in range(placement.REST_AFTER_FAILURES + 1):
        placement.failed(placement.health(held, "u1"), NOW)

    assert placement.choose(held, NOW, words, set(), None).upstream == "u2"
    assert placement.choose(held, NOW, words, {"u2"}, None).upstream == "u1"
    assert placement.choose(held, NOW, words, {"u1", "u2"}, None) is None


def test_a_slow_upstream_gets_less():
    held = tables()
    words = [samples.upstream_word("u1", slots=8), samples.upstream_word("u2", slots=8)]
    for _ in range(10):
        placement.succeeded(placement.health(held, "u1"), 0.5)
        placement.succeeded(placement.health(held, "u2"), 0.02)
    for _ in range(4):
        word = placement.choose(held, NOW, words, set(), None)
        assert word.upstream == "u2"
        placement.started(placement.health(held, "u2"), 0)


def test_an_estimate_follows_its_samples_and_fades_without_them():
    held = estimates.Estimate(0.0)
    for _ in range(100):
        estimates.add(held, NOW, 0.4)

    assert 0.39 < estimates.expected_s(held) < 0.45
    faded_s = estimates.decayed_s(held, NOW + 2 * estimates.HALF_LIFE_S)
    assert faded_s == pytest.approx(estimates.expected_s(held) / 4)


def staged(pieces=(1, 1, 8, 16)):
    """Return a request with a large first stage beside a chain of three."""
    stages = (
        catalog_tables.Stage(0, "encode", (), 3_000_000),
        catalog_tables.Stage(1, "encode", (), 8_000),
        catalog_tables.Stage(2, "retrieve", (1,), 60_000),
        catalog_tables.Stage(3, "rerank", (2,), 6_000),
    )
    route = samples.route(stages=stages, objective_s=1.5, timeout_s=10.0)
    services = {
        "encode": samples.stage_service("encode"),
        "retrieve": samples.stage_service("retrieve", batch=15, item_s=0.0085),
        "rerank": samples.stage_service("rerank", batch=28, item_s=0.0046),
    }
    return samples.context(
        route,
        head=samples.head(pieces=pieces),
        catalog=samples.catalog(services=services),
    )


def test_a_large_first_stage_begins_with_the_end_of_the_chain():
    context = staged()

    assert schedule.held_back_by(context, context.route.stages[0]) == 3
    assert schedule.held_back_by(context, context.route.stages[1]) is None
    assert schedule.held_back_by(context, context.route.stages[3]) is None


def test_a_first_stage_awaits_no_stage_without_pieces():
    context = staged(pieces=(1, 0, 0, 0))

    assert schedule.held_back_by(context, context.route.stages[0]) is None


def test_early_stages_leave_time_for_the_later_ones_and_their_queues():
    context = staged()
    held = tables()
    first, last = context.route.stages[1], context.route.stages[3]
    free_s = schedule.objective_left_s(held, context, first, NOW)
    told(held, "rerank", work_s=0.0, wait_s=0.3)

    full_s = schedule.objective_left_s(held, context, first, NOW)
    assert free_s - full_s == pytest.approx(0.3, abs=0.05)
    assert schedule.objective_left_s(held, context, last, NOW) > full_s


def test_a_stage_may_take_no_longer_than_its_inputs_are_kept():
    context = staged()
    second = context.route.stages[2]
    kept_s = context.catalog.services["encode"].stage.result_s

    unbounded_s = schedule.deadline_left_s(context, second, NOW, {})
    left_s = schedule.deadline_left_s(context, second, NOW, {1: NOW - 1.0})

    assert unbounded_s > kept_s
    assert left_s == pytest.approx(kept_s - 1.0)


def test_a_stage_without_inputs_may_take_until_its_caller_leaves():
    context = staged()
    first = context.route.stages[1]
    made_s = {0: NOW - 9.0}

    assert schedule.deadline_left_s(context, first, NOW, made_s) > 5.0


def test_stages_are_ordered_after_those_they_need():
    stages = (
        catalog_tables.Stage(0, "s", (2,), 0),
        catalog_tables.Stage(1, "s", (), 0),
        catalog_tables.Stage(2, "s", (1,), 0),
    )

    assert [stage.number for stage in schedule.in_order(stages)] == [1, 2, 0]


def test_only_whole_events_leave_and_the_last_id_is_known():
    splitter = event_stream.Splitter()

    assert splitter.take(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert splitter.last_event == "1"
    assert splitter.take(b"ta: b\n") == b""
    assert splitter.take(b"\n") == b"id: 2\ndata: b\n\n"
    assert splitter.last_event == "2"
    assert splitter.rest == b""


def told(held, service, work_s, on_time_s=0.0, wait_s=0.0, told_s=NOW):
    load = fleet.ServiceLoad(service, work_s, on_time_s, wait_s)
    held.loads[service] = gateway_tables.Told(load, told_s)


def test_the_newest_that_is_known_of_a_services_load_counts():
    held = tables()
    told(held, "rerank", work_s=1.0, told_s=NOW)
    older = fleet.ServiceLoad("rerank", 9.0, 0.0, 0.0, age_s=2.0)
    newer = fleet.ServiceLoad("rerank", 5.0, 0.0, 0.0, age_s=0.2)

    sync.load_told(held, NOW + 1.0, older)
    assert schedule.backlog_s(held, "rerank", NOW + 1.0) == 0.0
    sync.load_told(held, NOW + 1.0, newer)
    assert schedule.backlog_s(held, "rerank", NOW + 1.0) == pytest.approx(4.8)


def test_a_host_learns_the_waits_of_services_that_it_has_not_used():
    held = beaten(version=1)
    load = fleet.ServiceLoad("rerank", 0.0, 0.0, wait_s=0.3, age_s=0.1)

    sync.answered(held, NOW, "tcp://c:1", answer(loads=[load]))

    assert 0.25 < schedule.expected_wait_s(held, "rerank", NOW) < 0.3


def test_a_request_that_can_be_on_time_is_let_in_whatever_waits():
    held = tables()
    told(held, "rerank", work_s=60.0)

    assert schedule.turned_away_s(held, staged(), NOW) is None


def test_a_request_that_would_wait_in_vain_is_turned_away_with_the_excess():
    held = tables()
    told(held, "rerank", work_s=30.0, on_time_s=3.0)

    away_s = schedule.turned_away_s(held, staged(), NOW)

    assert 20.0 < away_s < 30.0


def test_a_late_request_is_let_in_where_its_caller_waits_long_enough():
    held = tables()
    told(held, "rerank", work_s=3.0, on_time_s=3.0)

    assert schedule.turned_away_s(held, staged(), NOW) is None


def test_what_was_told_of_a_queue_ages():
    held = tables()
    told(held, "rerank", work_s=30.0, on_time_s=3.0, told_s=NOW - 40.0)

    assert schedule.turned_away_s(held, staged(), NOW) is None
    assert schedule.backlog_s(held, "rerank", NOW) == 0.0
