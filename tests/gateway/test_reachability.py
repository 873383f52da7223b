"""When a host counts as cut off from all upstreams."""

import pytest

from bitternlever.gateway import reachability, tables as gateway_tables
from bitternlever.transport import exchange

NOW = 100.0


def make_pool(*failed_dials, awaiting_since_s=None) -> exchange.Pool:
    pool = exchange.Pool(clock=lambda: NOW)
    pool.failed_dials.update(failed_dials)
    pool.awaiting_since_s = awaiting_since_s
    return pool


@pytest.mark.parametrize(
    ("pool", "suspect"),
    [
        (make_pool(), False),
        (make_pool("u1:80"), False),
        (make_pool("u1:80", "u2:80"), True),
        (make_pool(awaiting_since_s=NOW - 0.9), False),
        (make_pool(awaiting_since_s=NOW - 1.1), True),
    ],
    ids=["sound", "one dial", "two dials", "a short silence", "a long silence"],
)
def test_failed_dials_and_silence_raise_a_suspicion(pool, suspect):
    assert reachability.is_suspect(gateway_tables.Reachability(), pool, NOW) is suspect


def test_a_silence_is_looked_into_once_in_a_while():
    state = gateway_tables.Reachability()
    pool = make_pool(awaiting_since_s=NOW - 5.0)
    reachability.record_round(state, NOW, [True])

    assert not reachability.is_suspect(state, pool, NOW + 1.9)
    assert reachability.is_suspect(state, pool, NOW + 2.0)


def test_a_cut_ends_after_two_successive_rounds_with_a_connection():
    state = gateway_tables.Reachability()
    rounds = [
        ([False, False, True], False, False),
        ([False, False, False, False], True, True),
        ([False, False, False, False], False, True),
        ([True], False, True),
        ([False, False, False, False], False, True),
        ([False, True], False, True),
        ([True], True, False),
        ([True], False, False),
    ]
    for dials, changes, cut_off in rounds:
        assert reachability.record_round(state, NOW, dials) is changes
        assert state.cut_off is cut_off


@pytest.mark.parametrize("dials", [[], [False]], ids=["none", "one"])
def test_with_fewer_than_two_upstreams_no_cut_is_found(dials):
    state = gateway_tables.Reachability()

    assert not reachability.record_round(state, NOW, dials)
    assert not state.cut_off


def test_connections_lost_at_the_same_moment_are_lost_by_the_network():
    pool = make_pool()
    pool.lost_s.update({"u1:80": NOW - 1.0, "u2:80": NOW})

    assert not exchange.lost_together(pool, NOW)
    pool.lost_s["u3:80"] = NOW - 0.01
    assert exchange.lost_together(pool, NOW)
    assert not exchange.lost_together(pool, NOW + 1.0)
