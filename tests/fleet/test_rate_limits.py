"""Rate limits that upstreams name: the latest answer of the latest start counts."""

import msgspec

from bitternlever.fleet import rate_limits, upstreams
from bitternlever.messages import fleet
from tests.gateway import samples

NOW = 100.0


def test_the_latest_answer_counts():
    known = {}

    assert not rate_limits.observe(known, NOW, "u1", 1, None)
    assert rate_limits.observe(known, NOW, "u1", 1, 2.0)
    assert not rate_limits.observe(known, NOW + 1.0, "u1", 1, 2.0)
    assert rate_limits.per_s(known, "u1", 1) == 2.0
    assert rate_limits.observe(known, NOW + 2.0, "u1", 1, 0.5)
    assert rate_limits.per_s(known, "u1", 1) == 0.5
    assert rate_limits.observe(known, NOW + 3.0, "u1", 1, None)
    assert rate_limits.per_s(known, "u1", 1) is None


def test_a_limit_ends_with_the_start_that_named_it():
    known = {}
    rate_limits.observe(known, NOW, "u1", 1, 2.0)

    assert rate_limits.per_s(known, "u1", 2) is None
    assert rate_limits.observe(known, NOW, "u1", 2, 3.0)
    assert not rate_limits.observe(known, NOW + 1.0, "u1", 1, 1.0)
    assert rate_limits.per_s(known, "u1", 2) == 3.0


def test_the_number_of_limits_is_bounded():
    known = {}
    for number in range(rate_limits.MAXIMUM_LIMITS + 5):
        rate_limits.observe(known, NOW, f"u{number}", 1, 1.0)

    assert len(known) == rate_limits.MAXIMUM_LIMITS


def reported(per_s, age_s=0.0, started_ms=1) -> fleet.UpstreamRateLimit:
    return fleet.UpstreamRateLimit("u1", started_ms, per_s, age_s)


def test_the_last_answer_counts_whichever_report_arrives_first():
    known = {}

    assert rate_limits.merge(known, NOW, reported(2.0, age_s=1.0))
    assert not rate_limits.merge(known, NOW, reported(9.0, age_s=2.0))
    assert not rate_limits.merge(known, NOW, reported(2.0, age_s=0.5))
    assert rate_limits.merge(known, NOW, reported(None, age_s=0.2))
    assert not rate_limits.merge(known, NOW, reported(2.0, age_s=0.4))
    assert rate_limits.per_s(known, "u1", 1) is None
    assert rate_limits.merge(known, NOW, reported(3.0, age_s=5.0, started_ms=2))
    assert rate_limits.per_s(known, "u1", 2) == 3.0


def test_only_changes_are_reported_again():
    known = {}
    rate_limits.observe(known, NOW, "u1", 1, 2.0)
    rate_limits.observe(known, NOW + 3.0, "u1", 1, 2.0)

    assert rate_limits.changed_since(known, NOW + 4.0) == [reported(2.0, 1.0)]
    assert rate_limits.changed_since(known, NOW + 4.0, NOW + 0.5) == []
    rate_limits.observe(known, NOW + 5.0, "u1", 1, None)
    assert rate_limits.changed_since(known, NOW + 5.0, NOW + 4.0) == [reported(None)]


def test_limits_are_kept_while_their_upstream_is_ready():
    known, table = {}, upstreams.UpstreamTable()
    for name in ("u1", "u2", "u3"):
        rate_limits.observe(known, NOW, name, 1, 2.0)
        status = samples.upstream_status(name, started_ms=1)
        upstreams.merge_status(table, NOW, status)
    rate_limits.observe(known, NOW, "u2", 1, None)
    gone = samples.upstream_status("u3", started_ms=1, sequence=2)
    gone = msgspec.structs.replace(gone, state=fleet.UpstreamState.GONE)
    upstreams.merge_status(table, NOW, gone)

    rate_limits.remove_ended(known, NOW + 30.0, table)
    assert set(known) == {"u1", "u2", "u3"}
    rate_limits.remove_ended(known, NOW + 61.0, table)
    assert set(known) == {"u1", "u2"}
    rate_limits.remove_ended(known, NOW + 601.0, table)
    assert set(known) == {"u1"}
