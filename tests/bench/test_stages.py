"""Emulated stage services under high load: the effects of the order of work."""

import dataclasses
import statistics

import pytest

from bench import stage_world, stages
from bitternlever.batching import order

SEED = 1
SEEDS = 4


def mean_worth(name: str) -> float:
    """Return the mean earned worth of a scenario, less that of late refusals."""
    figures = [
        stages.figures(stage_world.run(stages.scenarios()[name], seed))
        for seed in range(SEEDS)
    ]
    return statistics.fmean(run["worth"] - run["held"] for run in figures)


def shortened(name: str) -> stage_world.Scenario:
    """Return a scenario cut to its first burst."""
    return dataclasses.replace(stages.scenarios()[name], duration_s=14.0)


def test_a_run_is_deterministic():
    runs = [
        stages.figures(stage_world.run(shortened("narrow"), SEED)) for _ in range(2)
    ]

    assert runs[0] == runs[1]


@pytest.mark.parametrize("name", ["narrow", "wide-lost"])
def test_the_order_of_work_beats_first_come_first_served(name, monkeypatch):
    measured = mean_worth(name)
    monkeypatch.setattr(order, "rank", lambda batcher, now, work: (work.arrived_s,))

    assert measured > mean_worth(name)


def test_a_burst_runs_out_of_result_memory_unless_started_work_goes_first(monkeypatch):
    measured = mean_worth("wide-slow")

    def rank_without_started_first(batcher, now, work):
        late = work.late or order.is_late(batcher, now, work)
        return (late, work.message.priority, work.objective_s)

    monkeypatch.setattr(order, "rank", rank_without_started_first)

    assert measured > mean_worth("wide-slow") + 0.1


def test_urgent_work_is_served_in_a_burst_of_other_work():
    figures = stages.figures(stage_world.run(shortened("wide-lost"), SEED))

    assert figures["summary"] > figures["draft"]
    assert figures["summary"] > 0.6


def test_every_request_ends_and_no_kind_starves():
    emulation = stage_world.run(shortened("narrow-slow"), SEED)
    served = {}
    for request in emulation.requests:
        assert request.outcome in ("served", "refused", "left")
        counts_of_kind = served.setdefault(request.kind.route.name, [0, 0])
        counts_of_kind[0] += request.outcome == "served"
        counts_of_kind[1] += 1
    served_share = sum(counts[0] for counts in served.values()) / len(
        emulation.requests
    )

    assert all(
        served_count / request_count >= served_share / 4
        for served_count, request_count in served.values()
    )
