"""The model of a continuously batching engine."""

import pytest

from standins import engine_model

SETTINGS = engine_model.EngineSettings(
    maximum_running=2,
    maximum_waiting=2,
    step_s=0.01,
    step_per_job_s=0.005,
    prefill_s_per_token=0.000_1,
    prefill_tokens_per_step=100,
    cached_prefixes=1,
)


def _job(name, prompt_tokens=100, output_tokens=10, **changes):
    return engine_model.Job(name, prompt_tokens, output_tokens, **changes)


def _end_times(engine, until=100.0):
    events = engine_model.advance(engine, until)
    return {
        event.name: event.at_s
        for event in events
        if isinstance(event, engine_model.Finished)
    }


def test_a_single_job_takes_its_prefill_and_its_steps():
    engine = engine_model.create(SETTINGS)
    engine_model.submit(engine, 0.0, _job("a"))

    assert _end_times(engine) == {"a": pytest.approx(0.02 + 10 * 0.015)}


def test_steps_grow_with_the_batch():
    alone = engine_model.create(SETTINGS)
    engine_model.submit(alone, 0.0, _job("a"))
    shared = engine_model.create(SETTINGS)
    engine_model.submit(shared, 0.0, _job("a"))
    engine_model.submit(shared, 0.0, _job("b"))

    assert _end_times(shared)["a"] > _end_times(alone)["a"]


def test_the_most_urgent_waiting_job_starts_first():
    engine = engine_model.create(SETTINGS)
    for name in ("a", "b"):
        engine_model.submit(engine, 0.0, _job(name))
    engine_model.submit(engine, 0.0, _job("late", priority=3))
    engine_model.submit(engine, 0.0, _job("urgent", priority=0))

    ends = _end_times(engine)

    assert ends["urgent"] < ends["late"]


def test_a_cached_prefix_saves_its_prefill():
    engine = engine_model.create(SETTINGS)
    engine_model.submit(engine, 0.0, _job("a", prefix="p", prefix_tokens=90))
    _end_times(engine, 10.0)
    again = _job("b", prefix="p", prefix_tokens=90)
    engine_model.submit(engine, 10.0, again)

    assert again.cached_tokens == 90
    assert _end_times(engine)["b"] - 10.0 == pytest.approx(0.002 + 10 * 0.015)


def test_the_cache_evicts_the_least_recently_used_prefix():
    engine = engine_model.create(SETTINGS)
    for now, prefix in ((0.0, "p"), (10.0, "q")):
        engine_model.advance(engine, now)
        job = _job(prefix, prefix=prefix, prefix_tokens=10)
        engine_model.submit(engine, now, job)
    engine_model.advance(engine, 20.0)

    changes = engine_model.take_changes(engine)

    assert [(change.number, change.prefix, change.stored) for change in changes] == [
        (1, "p", True),
        (2, "q", True),
        (3, "p", False),
    ]


def test_too_many_waiting_jobs_are_refused():
    engine = engine_model.create(SETTINGS)
    accepted = [engine_model.submit(engine, 0.0, _job(str(n))) for n in range(5)]

    assert accepted == [True, True, True, True, False]


def test_a_cancelled_job_lets_a_waiting_one_start():
    engine = engine_model.create(SETTINGS)
    for name in ("a", "b", "c"):
        engine_model.submit(engine, 0.0, _job(name))
    engine_model.advance(engine, 0.05)

    cancelled = engine_model.cancel(engine, 0.05, "a")

    assert 0 < cancelled.produced_tokens < 10
    assert set(engine.running) == {"b", "c"}


def test_advancing_in_small_steps_changes_nothing():
    single_step = engine_model.create(SETTINGS)
    small_steps = engine_model.create(SETTINGS)
    for engine in (single_step, small_steps):
        for name in ("a", "b", "c"):
            engine_model.submit(engine, 0.0, _job(name))
    ends = {}
    for tick in range(1, 1_000):
        ends.update(_end_times(small_steps, tick * 0.003))

    assert ends == pytest.approx(_end_times(single_step))
