"""Ejection, probes, retries and hedges with failing and slow upstreams."""

from bitternlever.admission import dispatch
from bitternlever.messages import manifest
from bitternlever.pipelines import tables as pipeline_tables
from bitternlever.routing import (
    budgets,
    choice,
    ejection,
    feedback,
    hedges,
    sweep,
    tables as routing_tables,
)
from tests.admission import entry_hosts

PIPELINE = manifest.Pipeline(
    name="p",
    stages=[entry_hosts.STAGE],
    kinds=[manifest.Kind("kind-0", 0, 2_000)],
)


def _announce(tables, now, sequence=1, names=("e0", "e1", "e2"), **changes):
    for name in names:
        entry_hosts.announce(tables, now, name, sequence=sequence, **changes)


def _launch(tables, now, name, priority=0, upstream=None, stage=entry_hosts.STAGE):
    waiting = entry_hosts.ready(
        name,
        now=now,
        priority=priority,
        deadline_s=now + 20.0,
        stage=stage,
    )
    placed = choice.choose(tables, now, waiting)
    if placed.is_err():
        return None
    started = entry_hosts.attempt(waiting, placed.ok(), now)
    started.upstream = upstream or started.upstream
    tables.requests.attempts[started.attempt_id] = started
    feedback.started(tables, now, started)
    return started


def _fail(tables, now, failed_attempt):
    del tables.requests.attempts[failed_attempt.attempt_id]
    feedback.failed(
        tables, now, failed_attempt, entry_hosts.connection_reset(failed_attempt)
    )


def _request(tables, started):
    request = pipeline_tables.Request(
        request_id=started.request_id,
        workspace="w",
        pipeline=PIPELINE,
        kind=PIPELINE.kinds[0],
        digest="",
        body=b"",
        input=None,
        journaled=False,
        arrived_s=0.0,
        deadline_s=started.deadline_s,
        phase=pipeline_tables.Phase.RUNNING,
        attempts={started.attempt_id},
    )
    tables.requests.requests[started.request_id] = request


def test_consecutive_failures_eject_an_upstream():
    tables = entry_hosts.host()
    _announce(tables, 0.0)
    for index in range(ejection.FAILURES_BEFORE_EJECTION):
        _fail(tables, 0.0, _launch(tables, 0.0, f"f{index}", upstream="e0"))

    chosen = {_launch(tables, 0.1, f"r{index}").upstream for index in range(12)}

    assert chosen == {"e1", "e2"}


def test_one_probe_at_a_time_brings_an_upstream_back():
    tables = entry_hosts.host()
    _announce(tables, 0.0, names=("e0",))
    for index in range(ejection.FAILURES_BEFORE_EJECTION):
        _fail(tables, 0.0, _launch(tables, 0.0, f"f{index}"))
    assert _launch(tables, 0.0, "at-once") is not None

    assert _launch(tables, 0.1, "beside-the-probe") is None

    probe = tables.requests.attempts["a-at-once"]
    entry_hosts.finish(tables, 0.3, probe, output_tokens=32)
    first = _launch(tables, 0.4, "after")
    assert first is not None
    assert tables.routing.loads["e0"].limit < 3.0


def test_each_further_ejection_lasts_longer():
    tables = entry_hosts.host()
    load = tables.routing.loads.setdefault("e0", _load())
    pauses = []
    now = 0.0
    for _ in range(4):
        ejection.eject(tables, now, load)
        pauses.append(load.ejected_until_s - now)
        now = load.ejected_until_s

    assert pauses == sorted(pauses)
    assert pauses[-1] > 4 * pauses[0]


def test_urgent_work_with_little_time_is_not_a_probe():
    tables = entry_hosts.host()
    _announce(tables, 0.0)
    load = tables.routing.loads.setdefault("e0", _load())
    ejection.eject(tables, 0.0, load)
    now = load.ejected_until_s + 0.1
    urgent_stage = entry_hosts.ready("u", priority=0, deadline_s=now + 1.0)
    non_urgent_stage = entry_hosts.ready("d", priority=2, deadline_s=now + 60.0)

    assert not ejection.admits(tables, now, urgent_stage, load, all_ejected=False)
    assert ejection.admits(tables, now, non_urgent_stage, load, all_ejected=False)


def test_an_upstream_slower_than_its_pool_is_ejected():
    tables = entry_hosts.host()
    _announce(tables, 0.0)
    for name, latency_ratio in (("e0", 4.0), ("e1", 1.0), ("e2", 1.0)):
        load = tables.routing.loads.setdefault(name, _load())
        load.latency_ratio = latency_ratio

    sweep.run(tables, 1.0)

    ejected = [name for name, load in tables.routing.loads.items() if load.probing]
    assert ejected == ["e0"]


def test_a_uniformly_slow_pool_is_not_ejected():
    tables = entry_hosts.host()
    _announce(tables, 0.0)
    for name in ("e0", "e1", "e2"):
        tables.routing.loads.setdefault(name, _load()).latency_ratio = 4.0

    sweep.run(tables, 1.0)

    assert not any(load.probing for load in tables.routing.loads.values())


def test_slowness_never_ejects_more_than_a_third():
    tables = entry_hosts.host()
    ratios = {"e0": 9.0, "e1": 9.0, "e2": 9.0} | dict.fromkeys("abcd", 1.0)
    _announce(tables, 0.0, names=ratios)
    for name, latency_ratio in ratios.items():
        tables.routing.loads.setdefault(name, _load()).latency_ratio = latency_ratio

    for second in range(1, 20):
        sweep.run(tables, float(second))

    assert sum(load.probing for load in tables.routing.loads.values()) == 2


def test_a_second_probe_waits_for_the_first():
    tables = entry_hosts.host()
    load = _load()
    ejection.eject(tables, 0.0, load)
    now = load.ejected_until_s + 0.1
    non_urgent_stage = entry_hosts.ready("d", priority=2, deadline_s=now + 60.0)
    load.in_flight.add("first")

    assert not ejection.admits(tables, now, non_urgent_stage, load, all_ejected=False)


def test_a_pool_that_is_down_gets_one_probe_an_interval():
    tables = entry_hosts.host()
    probes = 0
    for step in range(400):
        now = step * 0.05
        _announce(tables, now, sequence=step + 1)
        launched = _launch(tables, now, f"r{step}")
        if launched is not None:
            probes += now > 10.0
            _fail(tables, now, launched)

    assert probes <= 10.0 / ejection.PROBE_INTERVAL_S


def test_retries_add_at_most_a_fifth_to_the_load_of_a_pool_that_is_down():
    tables = entry_hosts.host()
    sent = 0
    offered = 0
    for step in range(1_200):
        now = step * 0.05
        _announce(tables, now, sequence=step + 1)
        waiting = entry_hosts.ready(
            f"r{step}", now=now, deadline_s=now + 4.0, priority=1
        )
        dispatch.push(tables, now, waiting)
        offered += 1
        for launched in entry_hosts.run(tables, now):
            sent += 1
            _fail(tables, now, launched)
            if budgets.may_retry(tables, now, None, 1):
                again = entry_hosts.ready(f"{launched.request_id}+", now, priority=1)
                dispatch.push(tables, now, again)

    assert sent <= 1.2 * offered


def test_retries_stay_within_their_budget():
    tables = entry_hosts.host(limits=manifest.Limits(retry_ratio=0.1))
    _announce(tables, 0.0, concurrency=2_000)
    tables.routing.retry_tokens = 0.0
    for index in range(100):
        entry_hosts.finish(tables, 0.2, _launch(tables, 0.0, f"r{index}"))

    allowed = sum(budgets.may_retry(tables, 0.0, None, 1) for _ in range(100))

    assert allowed in (9, 10)


def test_an_urgent_stage_without_a_first_byte_is_hedged_once():
    tables = entry_hosts.host()
    _announce(tables, 0.0)
    _request(tables, _launch(tables, 0.0, "u"))

    found = [ready.request_id for ready in hedges.due(tables, 1.0)]

    assert found == ["u"]
    assert all(ready.hedge for ready in hedges.due(tables, 1.0))


def test_a_non_idempotent_stage_is_not_hedged():
    tables = entry_hosts.host()
    _announce(tables, 0.0)
    once = manifest.Stage("write", manifest.Task.GENERATE, "engines", idempotent=False)
    _request(tables, _launch(tables, 0.0, "u", stage=once))

    assert hedges.due(tables, 1.0) == []


def test_hedges_stay_within_their_budget():
    tables = entry_hosts.host(limits=manifest.Limits(hedge_ratio=0.05))
    _announce(tables, 0.0, names=[f"e{index}" for index in range(10)])
    tables.routing.hedge_tokens = 0.0
    for index in range(60):
        _request(tables, _launch(tables, 0.0, f"u{index}"))

    assert len(hedges.due(tables, 1.0)) <= 3


def test_kinds_that_are_not_urgent_are_not_hedged():
    tables = entry_hosts.host()
    _announce(tables, 0.0)
    _request(tables, _launch(tables, 0.0, "d", priority=2))

    assert hedges.due(tables, 1.0) == []


def _load():
    return routing_tables.UpstreamLoad()


def test_attempts_that_got_too_little_time_do_not_eject():
    tables = entry_hosts.host()
    _announce(tables, 0.0, names=("e0",))
    for index in range(2 * ejection.FAILURES_BEFORE_EJECTION):
        started = _launch(tables, 0.0, f"r{index}")
        started.predicted_s = 1.0
        _fail(tables, 0.5, started)

    assert not tables.routing.loads["e0"].probing


def test_work_without_enough_time_is_not_a_probe():
    tables = entry_hosts.host()
    load = _load()
    ejection.eject(tables, 0.0, load)
    short_stage = entry_hosts.ready("u", priority=0, deadline_s=5.1)

    assert not ejection.admits(tables, 5.0, short_stage, load, all_ejected=True)


def test_a_uniformly_slowing_pool_keeps_its_limits():
    tables = entry_hosts.host()
    _announce(tables, 0.0)
    now = 0.0
    for index in range(300):
        now += 0.6
        _announce(tables, now, sequence=index + 2)
        started = _launch(tables, now, f"r{index}", stage=entry_hosts.STAGE)
        sweep.run(tables, now)
        took_s = 0.3 if index < 100 else 6.0
        entry_hosts.finish(tables, now + took_s, started, output_tokens=32)

    assert all(load.limit > 6.0 for load in tables.routing.loads.values())
