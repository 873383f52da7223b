"""Selection of an upstream by predicted completion."""

import pytest

from bitternlever.admission import dispatch
from bitternlever.gossip import tables as gossip_tables
from bitternlever.messages import manifest, upstream
from bitternlever.routing import choice, feedback, occupancy, policies
from tests.admission import entry_hosts


def _choose(tables, now, stage):
    return choice.choose(tables, now, stage).ok()


def _launch(tables, now, stage):
    placement = _choose(tables, now, stage)
    started = entry_hosts.attempt(stage, placement, now)
    tables.requests.attempts[started.attempt_id] = started
    feedback.started(tables, now, started)
    return started


def _add_hosts(tables, now, count):
    for index in range(1, count + 1):
        tables.membership.hosts[f"h{index}"] = gossip_tables.Host(
            f"h{index}", "1", 1, "", "", "", False, 0, now
        )


def _add_calls(tables, name, count):
    load = occupancy.load_of(tables, name)
    load.in_flight.update(f"{name}-{index}" for index in range(count))
    occupancy.sample(load, 0.0)


def test_the_less_loaded_of_two_is_chosen():
    tables = entry_hosts.host()
    entry_hosts.announce(tables, 0.0, "full")
    entry_hosts.announce(tables, 0.0, "free")
    _add_calls(tables, "full", 5)

    chosen = {_choose(tables, 0.0, entry_hosts.ready("r")).upstream for _ in range(20)}

    assert chosen == {"free"}


def test_a_slow_upstream_is_avoided():
    tables = entry_hosts.host()
    entry_hosts.announce(tables, 0.0, "slow")
    entry_hosts.announce(tables, 0.0, "fast")
    occupancy.load_of(tables, "slow").latency_ratio = 4.0
    _add_calls(tables, "fast", 3)

    assert _choose(tables, 0.0, entry_hosts.ready("r")).upstream == "fast"


def test_latency_ratios_are_learnt_from_ended_attempts():
    tables = entry_hosts.host()
    for index in range(60):
        for name, took_s in (("slow", 3.0), ("fast", 1.0)):
            entry_hosts.announce(tables, 0.0, name, sequence=index + 1)
            stage = entry_hosts.ready(f"{name}{index}")
            started = entry_hosts.attempt(stage, _choose(tables, 0.0, stage), 0.0)
            started.upstream = name
            feedback.started(tables, 0.0, started)
            tables.requests.attempts[started.attempt_id] = started
            entry_hosts.finish(tables, took_s, started, output_tokens=100)

    ratios = {
        name: tables.routing.loads[name].latency_ratio for name in ("slow", "fast")
    }
    assert ratios["slow"] / ratios["fast"] == pytest.approx(3.0, rel=0.2)


def test_a_fresh_report_counts_what_other_hosts_hold():
    tables = entry_hosts.host()
    _add_hosts(tables, 0.0, 2)
    load = upstream.LoadReport(running=7)
    entry_hosts.announce(tables, 0.0, "e0", load=load)
    known = tables.membership.upstreams["e0"]
    own = occupancy.load_of(tables, "e0")

    assert occupancy.other_calls(0.0, known, own, expected=0.0) == pytest.approx(7.0)
    assert occupancy.other_calls(10.0, known, own, expected=0.0) < 0.1


def test_own_calls_in_a_late_report_are_not_counted_twice():
    tables = entry_hosts.host()
    own = occupancy.load_of(tables, "e0")
    own.in_flight.update({"a", "b"})
    occupancy.sample(own, 1.0)
    own.in_flight.clear()
    occupancy.sample(own, 3.0)
    report = upstream.LoadReport(running=2, age_s=1.0)
    entry_hosts.announce(tables, 3.0, "e0", load=report)
    known = tables.membership.upstreams["e0"]

    assert occupancy.other_calls(3.0, known, own, expected=0.0) == 0.0


def test_a_share_is_reserved_for_urgent_stages():
    tables = entry_hosts.host(limits=manifest.Limits(urgent_share=0.25))
    entry_hosts.announce(tables, 0.0, concurrency=8)
    for index in range(20):
        dispatch.push(tables, 0.0, entry_hosts.ready(f"d{index}"))
    non_urgent = entry_hosts.run(tables, 0.0)
    for index in range(20):
        dispatch.push(tables, 0.0, entry_hosts.ready(f"u{index}", priority=0))
    urgent = entry_hosts.run(tables, 0.0)

    assert (len(non_urgent), len(urgent)) == (6, 2)


def test_hosts_together_keep_near_an_upstreams_limit():
    hosts = [entry_hosts.host(seed=seed) for seed in range(3)]
    for tables in hosts:
        _add_hosts(tables, 0.0, 2)
        entry_hosts.announce(tables, 0.0, concurrency=9)
        for index in range(30):
            dispatch.push(tables, 0.0, entry_hosts.ready(f"u{index}", priority=0))

    launched = sum(len(entry_hosts.run(tables, 0.0)) for tables in hosts)

    assert launched <= 9


def test_a_host_that_sees_a_full_pool_still_gets_its_share():
    tables = entry_hosts.host()
    _add_hosts(tables, 0.0, 2)
    load = upstream.LoadReport(running=9, waiting=20)
    entry_hosts.announce(tables, 0.0, concurrency=9, load=load)
    for index in range(30):
        dispatch.push(tables, 0.0, entry_hosts.ready(f"u{index}", priority=0))

    assert len(entry_hosts.run(tables, 0.0)) == 3


def test_the_limit_drops_after_a_refusal_and_recovers():
    tables = entry_hosts.host()
    entry_hosts.announce(tables, 0.0, concurrency=8)
    started = _launch(tables, 0.0, entry_hosts.ready("r"))
    failure = entry_hosts.refusal(started)
    feedback.failed(tables, 0.1, started, failure)
    lowered = tables.routing.loads["e0"].limit
    for index in range(60):
        started = _launch(tables, 1.0, entry_hosts.ready(f"r{index}"))
        entry_hosts.finish(tables, 1.5, started, output_tokens=32)

    assert lowered < 8.0
    assert tables.routing.loads["e0"].limit == 8.0


def test_the_local_zone_is_preferred_among_equals():
    tables = entry_hosts.host()
    entry_hosts.announce(tables, 0.0, "far", zone="hall-b", pool="panels")
    entry_hosts.announce(tables, 0.0, "near", zone="hall-a", pool="panels")

    stage = entry_hosts.ready("r", stage=entry_hosts.CALL)
    chosen = {_choose(tables, 0.0, stage).upstream for _ in range(20)}

    assert chosen == {"near"}


def test_every_policy_can_be_selected_by_name():
    for policy in policies.NAMES:
        tables = entry_hosts.host(policy=policy)
        entry_hosts.announce(tables, 0.0)

        assert _choose(tables, 0.0, entry_hosts.ready("r")).upstream == "e0"


def test_round_robin_takes_turns():
    tables = entry_hosts.host(policy=policies.ROUND_ROBIN)
    for name in ("a", "b", "c"):
        entry_hosts.announce(tables, 0.0, name)

    chosen = [_choose(tables, 0.0, entry_hosts.ready("r")).upstream for _ in range(6)]

    assert chosen == ["a", "b", "c", "a", "b", "c"]
