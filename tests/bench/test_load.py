"""The callers of the load experiment: planned requests and retries."""

import argparse

import pytest

from bench import load, load_caller, load_faults
from standins import callers, local_system


def plan(seed: int, example: str = "cantref") -> list[load_caller.PlannedRequest]:
    """Return the planned requests of a short run."""
    options = argparse.Namespace(rate=20.0, seconds=5.0, seed=seed)
    return load._plan_requests(options, local_system.load_manifest(example))


def kinds_and_workspaces(
    planned_requests: list[load_caller.PlannedRequest],
) -> list[tuple[str, str]]:
    """Return the kind and workspace of each planned request."""
    return [(planned.kind.name, planned.workspace) for planned in planned_requests]


def test_a_seed_determines_the_planned_requests():
    assert kinds_and_workspaces(plan(seed=1)) == kinds_and_workspaces(plan(seed=1))
    assert kinds_and_workspaces(plan(seed=1)) != kinds_and_workspaces(plan(seed=2))


def test_durable_and_non_idempotent_kinds_are_journaled():
    by_kind = {planned.kind.name: planned for planned in plan(seed=1)}

    assert by_kind["availability-check"].is_journaled
    assert by_kind["dispute-draft"].is_journaled
    assert not by_kind["panel-view"].is_journaled


@pytest.mark.parametrize(
    ("kind", "status", "ran", "may_retry"),
    [
        ("dispute-draft", 503, "unknown", True),
        ("panel-view", 503, "unknown", False),
        ("panel-view", 503, "no", True),
        ("dispute-draft", 504, "yes", False),
        ("dispute-draft", 422, "no", False),
    ],
)
def test_a_caller_retries_only_where_that_is_safe(kind, status, ran, may_retry):
    planned = {planned.kind.name: planned for planned in plan(seed=1)}[kind]
    answer = callers.ReceivedAnswer(status=status, request_id="r", ran=ran)

    assert load_caller._may_retry(planned, answer) is may_retry


def test_an_unknown_fault_is_refused():
    assert load_faults.parse("kill-entry,cut-streams") == "kill-entry,cut-streams"
    with pytest.raises(ValueError, match="no-fault"):
        load_faults.parse("kill-entry,no-fault")
