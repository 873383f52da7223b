"""Send the newest catalog to entry hosts, each of which gets one copy at a time.

The load: large catalogs, changed several times a second, and hosts whose links carry a
few copies of a catalog in the time within which a change must be in force.

The leader sends each host what a commit changes. A host that lacks something asks one
control process, and gets what has changed since the version that it has. Hosts of
version 0.11 do not ask: each control process sends them the whole catalog while their
heartbeats show an older one.
"""

from bitternlever.core import ticks
from bitternlever.fleet import catalog_history, tables as fleet_tables
from bitternlever.messages import fleet, frames

PUSH_RETRY_S = 0.4
"""Between copies to a host that cannot ask, in addition to the time to send one."""

MINIMUM_LINK_BYTES_PER_S = 125_000
"""What a host's link carries at least, beside its other traffic."""


def run(tables: fleet_tables.FleetTables, now: float, outbox: ticks.Outbox) -> None:
    """Record a new catalog; the leader sends it to the hosts that do not have it."""
    catalog = tables.catalog
    if catalog.version is None:
        return
    catalog_history.record(tables.catalog_history, catalog.version, catalog.body)
    if not fleet_tables.is_leader(tables):
        return
    for subscriber in tables.subscribers.values():
        is_sent = subscriber.pushed_version == catalog.version
        if not is_sent and not _has(subscriber, catalog.version):
            _push(tables, now, outbox, subscriber, _sent_version(subscriber))


def handle_heartbeat(
    tables: fleet_tables.FleetTables,
    now: float,
    outbox: ticks.Outbox,
    subscriber: fleet_tables.Subscriber,
    heartbeat: fleet.HostHeartbeat,
) -> None:
    """Send a host the catalog that it asks for."""
    version = tables.catalog.version
    progress = heartbeat.catalog_progress
    subscriber.reads_changes = progress is not None
    subscriber.received_version = heartbeat.catalog_version
    if progress is not None:
        subscriber.received_version = progress.received
    if version is None or _has(subscriber, version):
        subscriber.behind_since_s = None
        return
    if subscriber.behind_since_s is None:
        subscriber.behind_since_s = now
    if progress is None:
        _push_unasked(tables, now, outbox, subscriber)
    elif progress.wanted:
        _push(tables, now, outbox, subscriber, progress.received)


def _sent_version(subscriber: fleet_tables.Subscriber) -> int | None:
    """Return the newest version that the host has or was sent by this process."""
    versions = (subscriber.pushed_version, subscriber.received_version)
    return max((version for version in versions if version is not None), default=None)


def _has(subscriber: fleet_tables.Subscriber, version: int) -> bool:
    received = subscriber.received_version
    return received is not None and received >= version


def _push_unasked(
    tables: fleet_tables.FleetTables,
    now: float,
    outbox: ticks.Outbox,
    subscriber: fleet_tables.Subscriber,
) -> None:
    """Send the catalog to a host that cannot ask, unless a copy may be on its way.

    The leader has sent one at the commit; the others leave it the time for that.
    """
    send_s = PUSH_RETRY_S + len(tables.catalog.body) / MINIMUM_LINK_BYTES_PER_S
    since_s = subscriber.pushed_s
    if subscriber.pushed_version != tables.catalog.version:
        leads = fleet_tables.is_leader(tables)
        since_s = now - send_s if leads else subscriber.behind_since_s
    if now - since_s >= send_s:
        _push(tables, now, outbox, subscriber, None)


def _push(
    tables: fleet_tables.FleetTables,
    now: float,
    outbox: ticks.Outbox,
    subscriber: fleet_tables.Subscriber,
    base_version: int | None,
) -> None:
    """Send the catalog, or its changes since a version that the host was sent."""
    catalog = tables.catalog
    subscriber.pushed_version = catalog.version
    subscriber.pushed_s = now
    if subscriber.reads_changes:
        history = tables.catalog_history
        catalog_history.record(history, catalog.version, catalog.body)
        message = catalog_history.change(history, base_version)
    else:
        message = fleet.CatalogPushed(version=catalog.version, body=catalog.body)
    outbox.send(frames.SendToPeer(subscriber.link, message, subscriber.link))
