"""Copies of a catalog that control sends to entry hosts."""

import json

from bitternlever.catalog import changes
from bitternlever.fleet import catalog_feed, catalog_history, feed
from bitternlever.messages import fleet
from tests.fleet import cluster, test_members
from tests.gateway import samples

LARGE = json.dumps(
    [{"route": f"r{number * 7919}"} for number in range(10_000)]
).encode()
CATALOGS = (fleet.CatalogPushed, fleet.CatalogChanged)


def system_with(version, body):
    system = cluster.Cluster()
    system.until(lambda: system.leader() is not None)
    test_members.put(system, version, body)
    system.run(0.3)
    return system


def sent_after(system, name, version, progress):
    """Return the catalogs that a process sends for a host's heartbeat."""
    tables = system.nodes[name].tables
    heartbeat = fleet.HostHeartbeat(
        announcement=samples.host_announcement(host="one", link="tcp://one:1"),
        sent_s=0.0,
        catalog_version=version,
        control_incarnation="",
        hosts_revision=-1,
        catalog_progress=progress,
    )
    outbox = feed.ticks.Outbox()
    feed.handle_host_heartbeat(tables, system.now, outbox, heartbeat)
    feed.run(tables, system.now, outbox)
    return [
        send.message
        for send in outbox.messages
        if isinstance(getattr(send, "message", None), CATALOGS)
    ]


def others(system):
    return [name for name in system.nodes if name != system.leader()]


def test_a_host_that_asked_one_process_gets_one_copy():
    system = system_with(1, LARGE)
    asked, silent = others(system)

    sent = sent_after(system, asked, None, fleet.CatalogProgress(None, wanted=True))
    unasked = sent_after(system, silent, None, fleet.CatalogProgress(None))

    assert [message.version for message in sent] == [1]
    assert unasked == []
    assert len(sent[0].change) < len(LARGE) / 3
    assert changes.apply(b"", sent[0].change).ok() == LARGE


def test_a_change_of_a_large_catalog_is_sent_without_the_rest():
    system = system_with(1, LARGE)
    leader = system.leader()
    sent_after(system, leader, 1, fleet.CatalogProgress(1))
    test_members.put(system, 2, LARGE + b'{"route": "added"}')
    system.run(0.3)

    (message,) = sent_after(
        system, others(system)[0], 1, fleet.CatalogProgress(1, True)
    )

    assert (message.base_version, len(message.change) < 200) == (1, True)


def test_a_host_that_asks_before_the_first_tick_of_a_control_process_is_answered():
    system = system_with(1, LARGE)
    tables = system.nodes[system.leader()].tables
    tables.catalog_history = catalog_history.History()

    sent = sent_after(system, system.leader(), None, fleet.CatalogProgress(None, True))

    assert [message.version for message in sent] == [1]


def test_a_host_that_asks_in_the_tick_of_a_commit_gets_that_version():
    system = system_with(1, LARGE)
    asked = others(system)[0]
    catalog = system.nodes[asked].tables.catalog
    catalog.version, catalog.body = 2, LARGE + b"{}"

    (message,) = sent_after(system, asked, 1, fleet.CatalogProgress(1, True))

    assert (message.version, message.base_version) == (2, 1)


def test_a_new_leader_sends_nothing_to_hosts_that_have_the_catalog():
    system = system_with(1, LARGE)
    old = system.leader()
    system.kill(old)
    system.until(lambda: system.leader() not in (None, old))

    assert sent_after(system, system.leader(), 1, fleet.CatalogProgress(1)) == []
    assert sent_after(system, system.leader(), 1, None) == []


def test_hosts_that_cannot_ask_get_whole_catalogs_again_after_the_time_to_send_one():
    system = system_with(1, LARGE)
    leader = system.leader()
    send_s = catalog_feed.PUSH_RETRY_S
    send_s += len(LARGE) / catalog_feed.MINIMUM_LINK_BYTES_PER_S

    assert sent_after(system, leader, None, None) == [fleet.CatalogPushed(1, LARGE)]
    assert sent_after(system, others(system)[0], None, None) == []
    system.now += send_s - 0.05
    assert sent_after(system, leader, None, None) == []
    system.now += 0.1
    for name in (leader, others(system)[0]):
        assert sent_after(system, name, None, None) == [fleet.CatalogPushed(1, LARGE)]


def test_few_bodies_are_kept():
    history = catalog_history.History()
    for version in range(100):
        catalog_history.record(history, version, b"{%d}" % version)
    assert len(history.bodies) == catalog_history.MAXIMUM_VERSIONS

    catalog_history.record(history, 100, bytes(catalog_history.MAXIMUM_BYTES + 1))
    assert list(history.bodies) == [100]
    assert catalog_history.change(history, 99).base_version is None
