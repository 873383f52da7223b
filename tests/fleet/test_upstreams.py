"""Statuses are ordered by start and sequence; ``GONE`` is final for its start."""

import itertools

import msgspec
import pytest

from bitternlever.fleet import upstreams
from bitternlever.messages import fleet, integers
from tests.gateway import samples

READY = fleet.UpstreamState.READY
DRAINING = fleet.UpstreamState.DRAINING
GONE = fleet.UpstreamState.GONE


def state_of(table: upstreams.UpstreamTable, name: str) -> fleet.UpstreamState:
    return table.entries[name].status.state


def gone_status(name: str = "u1", started_ms: int = 0) -> fleet.UpstreamStatus:
    return samples.upstream_status(
        name,
        service="",
        address="",
        zone="",
        slots=0,
        state=GONE,
        started_ms=started_ms,
        sequence=0,
    )


def test_a_late_status_of_the_same_start_changes_nothing():
    table = upstreams.UpstreamTable()
    upstreams.merge_status(
        table, 1.0, samples.upstream_status(sequence=5, state=DRAINING)
    )

    assert not upstreams.merge_status(table, 2.0, samples.upstream_status(sequence=4))
    assert state_of(table, "u1") is DRAINING
    assert upstreams.ready_upstreams(table, "plain") == []


def test_a_status_after_the_end_does_not_revive_the_upstream():
    table = upstreams.UpstreamTable()
    upstreams.merge_status(table, 1.0, samples.upstream_status(sequence=5))
    upstreams.merge_status(table, 2.0, gone_status())

    assert not upstreams.merge_status(table, 3.0, samples.upstream_status(sequence=9))
    assert state_of(table, "u1") is GONE


def test_a_restarted_upstream_is_ready_again():
    table = upstreams.UpstreamTable()
    upstreams.merge_status(table, 1.0, samples.upstream_status(sequence=50))
    upstreams.merge_status(table, 2.0, gone_status())

    assert upstreams.merge_status(
        table, 3.0, samples.upstream_status(started_ms=2_000, sequence=1)
    )
    assert [
        entry.status.sequence for entry in upstreams.ready_upstreams(table, "plain")
    ] == [1]


def test_a_late_status_of_an_earlier_start_is_dropped():
    table = upstreams.UpstreamTable()
    upstreams.merge_status(
        table, 1.0, samples.upstream_status(started_ms=2_000, sequence=1)
    )

    old = samples.upstream_status(started_ms=1_000, sequence=99, address="old:1")
    assert not upstreams.merge_status(table, 2.0, old)
    assert table.entries["u1"].status.address == "u1:80"


def test_the_upstream_that_started_last_holds_an_address():
    table = upstreams.UpstreamTable()
    first = samples.upstream_status("u1", address="x:80", started_ms=1_000)
    second = samples.upstream_status("u2", address="x:80", started_ms=2_000)
    upstreams.merge_status(table, 1.0, first)
    upstreams.merge_status(table, 2.0, second)

    assert state_of(table, "u1") is GONE
    late = samples.upstream_status("u1", address="x:80", started_ms=1_000, sequence=7)
    upstreams.merge_status(table, 3.0, late)
    assert [
        entry.status.upstream for entry in upstreams.ready_upstreams(table, "plain")
    ] == ["u2"]


def test_an_end_of_an_unknown_upstream_is_remembered():
    table = upstreams.UpstreamTable()
    upstreams.merge_status(table, 1.0, gone_status(started_ms=1_000))

    assert not upstreams.merge_status(table, 2.0, samples.upstream_status(sequence=3))
    assert state_of(table, "u1") is GONE


def test_a_repeated_status_only_renews_the_last_seen_time():
    table = upstreams.UpstreamTable()
    upstreams.merge_status(table, 1.0, samples.upstream_status())

    assert not upstreams.merge_status(table, 5.0, samples.upstream_status(age_s=1.0))
    assert table.entries["u1"].last_seen_s == 4.0


def test_the_next_heartbeat_is_not_a_change():
    table = upstreams.UpstreamTable()
    upstreams.merge_status(table, 1.0, samples.upstream_status(sequence=1))

    assert not upstreams.merge_status(table, 2.0, samples.upstream_status(sequence=2))
    assert table.entries["u1"].last_seen_s == 2.0


@pytest.mark.parametrize("seed", range(24))
def test_any_order_of_arrival_ends_in_the_same_state(seed):
    statuses = [
        samples.upstream_status(sequence=1),
        samples.upstream_status(sequence=2, state=DRAINING),
        gone_status(started_ms=1_000),
        samples.upstream_status(started_ms=2_000, sequence=1),
    ]
    order = list(itertools.permutations(statuses))[seed]
    table = upstreams.UpstreamTable()

    for at_s, status in enumerate(order):
        upstreams.merge_status(table, float(at_s), status)

    assert state_of(table, "u1") is READY
    assert table.entries["u1"].status.started_ms == 2_000


def test_entries_expire_after_the_retention_time():
    table = upstreams.UpstreamTable()
    upstreams.merge_status(table, 0.0, samples.upstream_status())

    upstreams.remove_expired(table, upstreams.ENDED_RETENTION_S + 0.1)

    assert table.entries == {}
    assert table.upstream_by_address == {}


def test_an_upstream_that_is_leaving_is_not_ready_again_in_the_same_start():
    table = upstreams.UpstreamTable()
    upstreams.merge_status(table, 1.0, samples.upstream_status(sequence=5))

    assert upstreams.mark_leaving(table, 2.0, "u1")
    assert not upstreams.mark_leaving(table, 2.5, "u1")
    for sequence in (4, 5, 6, 90):
        late = samples.upstream_status(sequence=sequence)
        assert not upstreams.merge_status(table, 3.0, late)
    assert upstreams.ready_upstreams(table, "plain") == []

    again = samples.upstream_status(started_ms=2_000, sequence=1)
    assert upstreams.merge_status(table, 4.0, again)
    assert len(upstreams.ready_upstreams(table, "plain")) == 1


def test_another_upstream_at_the_address_of_a_leaving_one_is_used():
    table = upstreams.UpstreamTable()
    upstreams.merge_status(table, 1.0, samples.upstream_status("u1", address="x:80"))
    upstreams.mark_leaving(table, 2.0, "u1")

    upstreams.merge_status(table, 3.0, samples.upstream_status("u2", address="x:80"))

    ready = upstreams.ready_upstreams(table, "plain")
    assert [entry.status.upstream for entry in ready] == ["u2"]


def test_an_end_is_remembered_while_statuses_of_the_start_keep_arriving():
    table = upstreams.UpstreamTable()
    upstreams.merge_status(table, 0.0, samples.upstream_status(sequence=1))
    upstreams.mark_leaving(table, 1.0, "u1")
    later_s = upstreams.ENDED_RETENTION_S - 1.0
    upstreams.merge_status(table, later_s, samples.upstream_status(sequence=50))

    upstreams.remove_expired(table, upstreams.ENDED_RETENTION_S + 10.0)
    upstreams.merge_status(table, later_s + 20.0, samples.upstream_status(sequence=60))

    assert upstreams.ready_upstreams(table, "plain") == []


def test_a_late_heartbeat_of_an_ended_start_does_not_end_its_successor_for_good():
    """Without start times the order of two upstreams at one address is not known."""
    table = upstreams.UpstreamTable()
    successor = samples.upstream_status("u2", address="x:80", started_ms=0)
    late = samples.upstream_status("u1", address="x:80", started_ms=0, sequence=9)
    upstreams.merge_status(table, 1.0, successor)
    upstreams.merge_status(table, 1.5, late)

    next_heartbeat = samples.upstream_status(
        "u2", address="x:80", started_ms=0, sequence=2
    )
    assert upstreams.merge_status(table, 2.0, next_heartbeat)

    ready = upstreams.ready_upstreams(table, "plain")
    assert [entry.status.upstream for entry in ready] == ["u2"]


def test_only_ends_and_not_superseded_upstreams_are_reported():
    table = upstreams.UpstreamTable()
    for name in ("u1", "u2", "u3", "u4"):
        address = "x:80" if name in ("u3", "u4") else f"{name}:80"
        status = samples.upstream_status(name, address=address, started_ms=0)
        upstreams.merge_status(table, 1.0, status)
    upstreams.merge_status(table, 2.0, gone_status("u1"))
    upstreams.mark_leaving(table, 3.0, "u2")

    def names(since_s, leaving_only):
        ended = upstreams.ended_since(table, since_s, leaving_only=leaving_only)
        return [status.upstream for status in ended]

    assert names(0.0, leaving_only=False) == ["u1", "u2"]
    assert names(0.0, leaving_only=True) == ["u2"]
    assert names(3.0, leaving_only=False) == []


def test_the_end_of_a_start_with_the_largest_number_can_be_sent():
    """The number after it ended the process that sent it to its peers."""
    table = upstreams.UpstreamTable()
    largest = samples.upstream_status("u1", sequence=integers.MAXIMUM)
    upstreams.merge_status(table, 1.0, largest)

    upstreams.mark_leaving(table, 2.0, "u1")

    [ended] = upstreams.ended_since(table, 0.0, leaving_only=True)
    assert msgspec.msgpack.encode(ended)
    assert ended.state is fleet.UpstreamState.GONE


def test_an_upstream_is_not_displaced_by_one_of_another_service_at_its_address():
    """Heartbeats of another writer took sound upstreams out of use."""
    table = upstreams.UpstreamTable()
    for number in range(1, 6):
        now = float(number)
        sound = samples.upstream_status(
            "u1", address="x:80", started_ms=1_000, sequence=number
        )
        foreign = samples.upstream_status(
            "f1",
            service="inventory",
            address="x:80",
            started_ms=9_000,
            sequence=number,
        )
        upstreams.merge_status(table, now, sound)
        upstreams.merge_status(table, now + 0.5, foreign)

        assert state_of(table, "u1") is READY


def test_an_upstream_of_another_service_takes_the_address_of_a_silent_one():
    table = upstreams.UpstreamTable()
    old = samples.upstream_status("u1", address="x:80", started_ms=1_000)
    upstreams.merge_status(table, 1.0, old)
    for number in range(1, 4):
        now = 1.0 + upstreams.CLAIM_SILENCE_S * number / 2
        new = samples.upstream_status(
            "u2",
            service="other",
            address="x:80",
            started_ms=2_000,
            sequence=number,
        )
        upstreams.merge_status(table, now, new)

    assert state_of(table, "u1") is GONE
    assert state_of(table, "u2") is READY
    assert upstreams.holder(table, "x:80") == "u2"
