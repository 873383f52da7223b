"""How far a catalog has spread among the hosts."""

from bitternlever.fleet import spread


def test_the_last_host_completes_the_spread():
    state = spread.Spread()
    assert spread.begin(state, 1.0, 7, {"a", "b"}) is None

    assert spread.record(state, 1.2, "a", 7) is None
    assert spread.record(state, 1.3, "b", 6) is None
    assert spread.record(state, 1.5, "b", 8) == spread.Report(7, 0.5, behind=0)
    assert spread.record(state, 1.6, "b", 8) is None


def test_a_newer_catalog_tells_how_many_hosts_had_not_the_one_before():
    state = spread.Spread()
    spread.begin(state, 1.0, 7, {"a", "b"})
    spread.record(state, 1.2, "a", 7)

    assert spread.begin(state, 2.0, 8, {"a", "b"}) == spread.Report(7, 1.0, behind=1)


def test_silent_hosts_are_not_awaited():
    state = spread.Spread()
    spread.begin(state, 1.0, 7, {"a", "b"})
    spread.record(state, 1.2, "a", 7)

    assert spread.forget(state, 4.0, "b") == spread.Report(7, 3.0, behind=0)
