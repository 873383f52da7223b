"""Rate limits that upstreams name: the latest answer of the latest start counts."""

from bitternlever.fleet import rate_limits

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
