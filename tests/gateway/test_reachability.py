"""When a host counts as cut off from all upstreams."""

import pytest

from bitternlever.catalog import tables as catalog_tables
from bitternlever.fleet import pauses, rate_limits
from bitternlever.gateway import reachability, sync, tables as gateway_tables
from bitternlever.messages import fleet
from bitternlever.transport import exchange
from tests.gateway import samples

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


def test_upstreams_that_are_only_silent_may_be_slow():
    state = gateway_tables.Reachability()

    assert reachability.record_round(state, NOW, [False, None])
    assert state.cut_off
    assert state.may_be_slow
    reachability.record_round(state, NOW, [False, False])
    assert not state.may_be_slow


@pytest.mark.parametrize("path", ["", "health", "/a b", "/\u017e", "/\n"])
def test_a_health_path_that_cannot_be_requested_does_not_cut_a_host_off(path):
    service = catalog_tables.Service("plain", path, 100)

    assert reachability._target(service) == b"/"
    assert reachability._target(catalog_tables.Service("s", "/h", 1)) == b"/h"


def test_busy_upstreams_of_one_service_are_not_all_that_is_probed():
    own = samples.host_announcement()
    tables = gateway_tables.GatewayTables(announcement=own, seeds=())
    tables.catalog = samples.catalog(
        services={name: catalog_tables.Service(name, "/h", 9) for name in ("a", "b")}
    )
    statuses = [
        samples.upstream_status(f"{service}{n}", service=service)
        for service, count in (("a", 50), ("b", 1))
        for n in range(count)
    ]
    update = fleet.UpstreamStatusUpdate(statuses=statuses)
    sync.merge_upstream_statuses(tables, NOW, update)

    for _ in range(20):
        sample = reachability._sample(tables, NOW)
        assert len(sample) == reachability.PROBES
        assert ("b0:80", b"/h") in sample[:2]


def test_probes_add_nothing_to_upstreams_that_asked_for_less():
    """Many hosts that probe together exceeded the limit of a small service."""
    own = samples.host_announcement()
    tables = gateway_tables.GatewayTables(announcement=own, seeds=())
    tables.hosts.listed = (own,)
    tables.catalog = samples.catalog(
        services={"a": catalog_tables.Service("a", "/h", 9)}
    )
    names = ("limited", "paused", "free")
    statuses = [samples.upstream_status(name, service="a") for name in names]
    update = fleet.UpstreamStatusUpdate(statuses=statuses)
    sync.merge_upstream_statuses(tables, NOW, update)
    limit = fleet.UpstreamRateLimit("limited", 1_000, 1.0, 0.0)
    rate_limits.merge(tables.rate_limits, NOW, limit)
    pause = fleet.UpstreamPause("paused", 1_000, 5.0, 0.0)
    pauses.merge(tables.pauses, NOW, pause)

    assert reachability._sample(tables, NOW) == [("free:80", b"/h")]


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
