"""Which control process a host asks for a catalog, and when."""

from bitternlever.catalog import changes
from bitternlever.gateway import catalog_sync
from bitternlever.messages import fleet


def source(link, version=8, leads=False, heard_s=10.0):
    return catalog_sync.Source(link, version, leads, heard_s)


def change(version, base_version, base, body):
    return fleet.CatalogChanged(
        version, base_version, changes.encode(base, body), changes.digest(body)
    )


def state_with(version, body=b"{}"):
    sync = catalog_sync.CatalogSync()
    catalog_sync.receive_whole(sync, 0.0, version, body)
    catalog_sync.put_in_force(sync, 0.0, version)
    return sync


def test_a_host_that_has_the_newest_catalog_asks_nobody():
    sync = state_with(8)
    catalog_sync.record_newest(sync, 9.0, 8)

    assert catalog_sync.request(sync, 10.0, [source("a")]) is None


def test_a_host_leaves_the_leader_time_to_send_a_change():
    sync = state_with(7)
    catalog_sync.record_newest(sync, 10.0, 8)

    assert catalog_sync.request(sync, 10.1, [source("a")]) is None
    late_s = 10.1 + catalog_sync.PATIENCE_S
    assert catalog_sync.request(sync, late_s, [source("a")]) == "a"


def test_one_control_process_is_asked_at_a_time_and_the_leader_first():
    sync = state_with(7)
    catalog_sync.record_newest(sync, 9.0, 8)
    sources = [source("a"), source("b", leads=True), source("c")]

    asked = [
        catalog_sync.request(sync, 10.0 + number / 4, sources) for number in range(8)
    ]

    assert asked == ["b", None, None, None, "a", None, None, None]


def test_a_control_process_that_is_silent_or_behind_itself_is_not_asked():
    sync = state_with(7)
    catalog_sync.record_newest(sync, 9.0, 8)
    sources = [
        source("a", heard_s=8.0),
        source("b", version=7),
        source("c", heard_s=None),
    ]

    assert catalog_sync.request(sync, 10.0, sources) is None
    assert catalog_sync.request(sync, 10.0, [*sources, source("d")]) == "d"


def test_a_change_on_a_catalog_that_was_never_received_is_asked_for_at_once():
    sync = state_with(6)
    catalog_sync.record_newest(sync, 10.0, 8)

    outcome = catalog_sync.receive_change(sync, 10.0, change(8, 7, b"{}", b"{{}}"))

    assert outcome.is_err()
    assert catalog_sync.request(sync, 10.0, [source("a")]) == "a"
    assert catalog_sync.request(sync, 10.1, [source("a")]) is None


def test_changes_follow_each_other_and_old_ones_do_nothing():
    sync = state_with(6, b"{1}")
    first = change(7, 6, b"{1}", b"{1}{2}")
    second = change(8, 7, b"{1}{2}", b"{2}")

    received = [
        catalog_sync.receive_change(sync, 1.0, message).ok()
        for message in (first, second, first)
    ]

    assert received == [True, True, False]
    assert (sync.version, sync.body) == (8, b"{2}")


def test_a_whole_catalog_needs_no_base():
    sync = state_with(3, b"{3}")

    assert catalog_sync.receive_change(sync, 1.0, change(9, None, b"", b"{9}")).ok()
    assert sync.body == b"{9}"


def test_a_body_of_another_digest_is_not_taken():
    sync = state_with(6, b"{1}")
    message = fleet.CatalogChanged(7, 6, changes.encode(b"{1}", b"{2}"), b"other")

    assert catalog_sync.receive_change(sync, 1.0, message).is_err()
    assert (sync.version, sync.body, sync.missed) == (6, b"{1}", True)


def test_the_time_behind_counts_until_the_newest_catalog_is_in_force():
    sync = state_with(6)
    catalog_sync.record_newest(sync, 1.0, 7)
    catalog_sync.receive_whole(sync, 1.5, 7, b"{7}")
    assert catalog_sync.behind_s(sync, 2.0) == 1.0

    catalog_sync.put_in_force(sync, 2.0, 7)
    assert catalog_sync.behind_s(sync, 3.0) == 0.0
