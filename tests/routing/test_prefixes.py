"""A host's view of an upstream's prefix cache."""

from bitternlever.messages import upstream
from bitternlever.routing import choice, occupancy, prefixes
from tests.admission import entry_hosts


def _announce_events(tables, now, sequence, *events, name="e0"):
    cache_events = [upstream.CacheEvent(*event) for event in events]
    entry_hosts.announce(
        tables, now, name, sequence=sequence, cache_events=cache_events
    )


def _has_prefix(tables, prefix, name="e0"):
    load = occupancy.load_of(tables, name)
    return prefixes.holds(load, tables.membership.upstreams[name], prefix)


def test_stored_and_evicted_prefixes_are_tracked():
    tables = entry_hosts.host()
    _announce_events(tables, 0.0, 1, (1, "p", True), (2, "q", True))
    assert _has_prefix(tables, "p")

    _announce_events(tables, 1.0, 2, (2, "q", True), (3, "p", False))

    assert not _has_prefix(tables, "p")
    assert _has_prefix(tables, "q")


def test_a_gap_clears_the_view():
    tables = entry_hosts.host()
    _announce_events(tables, 0.0, 1, (1, "p", True))
    assert _has_prefix(tables, "p")

    _announce_events(tables, 1.0, 2, (5, "q", True))

    assert not _has_prefix(tables, "p")
    assert _has_prefix(tables, "q")


def test_a_new_incarnation_of_the_upstream_starts_empty():
    tables = entry_hosts.host()
    _announce_events(tables, 0.0, 1, (1, "p", True))
    assert _has_prefix(tables, "p")
    tables.membership.upstreams["e0"].announcement.incarnation = 2
    tables.membership.upstreams["e0"].announcement.cache_events = []

    assert not _has_prefix(tables, "p")


def test_an_upstream_with_the_prefix_is_chosen_among_equals():
    tables = entry_hosts.host()
    for index in range(9):
        entry_hosts.announce(tables, 0.0, f"e{index}")
    _announce_events(tables, 0.0, 2, (1, "p", True), name="e7")
    stage = entry_hosts.ready("r", prefix="p", prompt_tokens=5_000)

    chosen = {choice.choose(tables, 0.0, stage).ok().upstream for _ in range(20)}

    assert chosen == {"e7"}


def test_a_full_upstream_with_the_prefix_is_not_chosen():
    tables = entry_hosts.host()
    for index in range(9):
        entry_hosts.announce(tables, 0.0, f"e{index}")
    _announce_events(tables, 0.0, 2, (1, "p", True), name="e7")
    load = occupancy.load_of(tables, "e7")
    load.in_flight.update(str(index) for index in range(8))
    stage = entry_hosts.ready("r", prefix="p", prompt_tokens=5_000)

    assert choice.choose(tables, 0.0, stage).ok().upstream != "e7"
