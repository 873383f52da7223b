"""Which control process a host asks for a catalog, and when."""

import asyncio

from bitternlever.catalog import changes
from bitternlever.core import clocks
from bitternlever.gateway import (
    catalog_sync,
    shell as gateway_shell,
    sync,
    tables as gateway_tables,
)
from bitternlever.messages import fleet
from standins import fleet as fleet_processes
from tests.gateway import entry_host, samples


def source(link, version=8, leads=False, heard_s=10.0):
    return catalog_sync.Source(link, version, leads, heard_s)


def change(version, base_version, base, body):
    return fleet.CatalogChanged(
        version, base_version, changes.encode(base, body), changes.digest(body)
    )


def state_with(version, body=b"{}"):
    state = catalog_sync.CatalogSync()
    catalog_sync.receive_whole(state, 0.0, version, body)
    catalog_sync.put_in_force(state, 0.0, version)
    return state


def test_a_host_that_has_the_newest_catalog_asks_nobody():
    state = state_with(8)
    catalog_sync.record_newest(state, 9.0, 8)

    assert catalog_sync.request(state, 10.0, [source("a")]) is None


def test_a_host_leaves_the_leader_time_to_send_a_change():
    state = state_with(7)
    catalog_sync.record_newest(state, 10.0, 8)

    assert catalog_sync.request(state, 10.1, [source("a")]) is None
    late_s = 10.1 + catalog_sync.PUSH_TIMEOUT_S
    assert catalog_sync.request(state, late_s, [source("a")]) == "a"


def test_one_control_process_is_asked_at_a_time_and_the_leader_first():
    state = state_with(7)
    catalog_sync.record_newest(state, 9.0, 8)
    sources = [source("a"), source("b", leads=True), source("c")]

    asked = [
        catalog_sync.request(state, 10.0 + number / 4, sources) for number in range(8)
    ]

    assert asked == ["b", None, None, None, "a", None, None, None]


def test_a_control_process_that_is_silent_or_behind_itself_is_not_asked():
    state = state_with(7)
    catalog_sync.record_newest(state, 9.0, 8)
    sources = [
        source("a", heard_s=8.0),
        source("b", version=7),
        source("c", heard_s=None),
    ]

    assert catalog_sync.request(state, 10.0, sources) is None
    assert catalog_sync.request(state, 10.0, [*sources, source("d")]) == "d"


def test_a_change_on_a_catalog_that_was_never_received_is_asked_for_at_once():
    state = state_with(6)
    catalog_sync.record_newest(state, 10.0, 8)

    outcome = catalog_sync.receive_change(state, 10.0, change(8, 7, b"{}", b"{{}}"))

    assert outcome.is_err()
    assert catalog_sync.request(state, 10.0, [source("a")]) == "a"
    assert catalog_sync.request(state, 10.1, [source("a")]) is None


def test_changes_follow_each_other_and_old_ones_do_nothing():
    state = state_with(6, b"{1}")
    first = change(7, 6, b"{1}", b"{1}{2}")
    second = change(8, 7, b"{1}{2}", b"{2}")

    received = [
        catalog_sync.receive_change(state, 1.0, message).ok()
        for message in (first, second, first)
    ]

    assert received == [True, True, False]
    assert (state.version, state.body) == (8, b"{2}")


def test_a_whole_catalog_needs_no_base():
    state = state_with(3, b"{3}")

    assert catalog_sync.receive_change(state, 1.0, change(9, None, b"", b"{9}")).ok()
    assert state.body == b"{9}"


def test_a_body_of_another_digest_is_not_taken():
    state = state_with(6, b"{1}")
    message = fleet.CatalogChanged(7, 6, changes.encode(b"{1}", b"{2}"), b"other")

    assert catalog_sync.receive_change(state, 1.0, message).is_err()
    assert (state.version, state.body, state.missed) == (6, b"{1}", True)


def test_a_catalog_that_arrives_late_was_current_when_the_leader_said_so():
    state = state_with(6)
    for version in (7, 8, 9):
        catalog_sync.record_current(state, version, 10.0 + version)

    assert catalog_sync.put_in_force(state, 30.0, 8) == 18.0
    assert catalog_sync.put_in_force(state, 30.0, 9) == 19.0
    assert catalog_sync.put_in_force(state, 30.0, 10) is None


def test_few_versions_are_awaited():
    state = state_with(6)
    for version in range(1_000):
        catalog_sync.record_current(state, version, 10.0)

    assert len(state.current_s) == catalog_sync.MAXIMUM_PENDING_VERSIONS


def test_the_time_behind_counts_until_the_newest_catalog_is_in_force():
    state = state_with(6)
    catalog_sync.record_newest(state, 1.0, 7)
    catalog_sync.receive_whole(state, 1.5, 7, b"{7}")
    assert catalog_sync.behind_s(state, 2.0) == 1.0

    catalog_sync.put_in_force(state, 2.0, 7)
    assert catalog_sync.behind_s(state, 3.0) == 0.0


async def test_a_host_that_cannot_read_a_catalog_serves_by_the_one_before():
    async with entry_host.running(samples.catalog()) as (gateway, port):
        now = clocks.boot_time()
        received = gateway.tables.catalog_sync
        catalog_sync.record_newest(received, now - 60.0, 9)
        pushed = fleet.CatalogPushed(9, b'{"of": "a newer build"}')
        gateway_shell._dispatch(gateway, "tcp://c:1", pushed)
        await asyncio.sleep(0.05)
        answer = await entry_host.call(port, entry_host.request(target="/none"))

    assert catalog_sync.request(received, now, [source("a", version=9)]) is None
    assert answer.status == 404


async def test_changes_that_follow_each_other_do_not_make_a_catalog_look_old():
    async with entry_host.running(samples.catalog()) as (gateway, _):
        now = clocks.boot_time()
        gateway.state = fleet.HostState.READY
        gateway.tables.catalog_current_s = now - 10.0
        gateway.tables.controls["tcp://c:1"] = gateway_tables.Control("tcp://c:1")
        for version in range(2, 8):
            reply = fleet.HostHeartbeatReply(
                sent_s=now,
                control_incarnation="c",
                current=True,
                catalog_version=version + 1,
                controls=[],
                hosts_revision=1,
            )
            gateway_shell._dispatch(gateway, "tcp://c:1", reply)
            body = fleet_processes.config(version)
            pushed = fleet.CatalogPushed(version, body)
            gateway_shell._dispatch(gateway, "tcp://c:1", pushed)
            await asyncio.sleep(0.05)

        assert gateway.tables.catalog.version == 7
        assert sync.catalog_age_s(gateway.tables, now) == 0.0
