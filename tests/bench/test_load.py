"""The load's callers: what they send, and when they come back."""

import argparse

import pytest

from bench import load, load_caller, load_faults
from standins import callers, site


def orders(seed: int, example: str = "cantref") -> list[load_caller.Order]:
    """Return the orders of a short run."""
    options = argparse.Namespace(rate=20.0, seconds=5.0, seed=seed)
    return load._orders(options, site.load(example))


def named(made: list[load_caller.Order]) -> list[tuple[str, str]]:
    """Return kind and workspace of each order."""
    return [(order.kind.name, order.workspace) for order in made]


def test_a_seed_fixes_what_is_sent():
    assert named(orders(seed=1)) == named(orders(seed=1))
    assert named(orders(seed=1)) != named(orders(seed=2))


def test_what_may_not_run_twice_has_a_key():
    by_kind = {order.kind.name: order for order in orders(seed=1)}

    assert by_kind["availability-check"].journaled
    assert by_kind["dispute-draft"].journaled
    assert not by_kind["panel-view"].journaled


@pytest.mark.parametrize(
    ("kind", "status", "ran", "again"),
    [
        ("dispute-draft", 503, "unknown", True),
        ("panel-view", 503, "unknown", False),
        ("panel-view", 503, "no", True),
        ("dispute-draft", 504, "yes", False),
        ("dispute-draft", 422, "no", False),
    ],
)
def test_a_caller_comes_back_only_where_that_does_no_harm(kind, status, ran, again):
    order = {order.kind.name: order for order in orders(seed=1)}[kind]
    answer = callers.Received(status=status, request_id="r", ran=ran)

    assert load_caller._may_retry(order, answer) is again


def test_an_unknown_fault_is_refused():
    assert load_faults.parse("kill-entry,cut-streams") == "kill-entry,cut-streams"
    with pytest.raises(ValueError, match="no-fault"):
        load_faults.parse("kill-entry,no-fault")
