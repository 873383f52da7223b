"""This host's lease and the manifest that it has in force.

The lease counts from the sending of the renewal, on this host's monotonic clock, and
is shortened by the greatest relative rate error of two clocks. A renewal's reply
also proves how fresh this host's manifest is.
"""

import msgspec

from bitternlever.core import ticks
from bitternlever.entry import control_client, tables as entry_tables
from bitternlever.messages import calls, directory, manifest

RENEWAL_INTERVAL_S = 0.5
RENEWAL_TIMEOUT_S = 1.5
ACQUIRE_PAUSE_S = 0.2
CLOCK_RATE_ERROR = 0.01


def run(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
) -> None:
    """Take or renew the lease when it is due."""
    lease = tables.lease
    if lease.released or lease.renewing:
        return
    if now < lease.next_renewal_s:
        outbox.wake(lease.next_renewal_s)
        return
    lease.renewing = True
    command = _acquisition(tables) if lease.epoch == 0 else _renewal(tables)
    control_client.call(
        tables,
        now,
        outbox,
        directory.GROUP,
        command,
        _on_outcome(sent_s=now),
        timeout_s=RENEWAL_TIMEOUT_S,
    )


def holds(tables: entry_tables.EntryTables, now: float) -> bool:
    """Tell whether this host may send and write now."""
    return tables.lease.epoch > 0 and now < tables.lease.valid_until_s


def accepts_work(tables: entry_tables.EntryTables, now: float) -> bool:
    """Tell whether this host may accept new work: its manifest is proven fresh."""
    return holds(tables, now) and now < tables.manifest.fresh_until_s


def _acquisition(tables: entry_tables.EntryTables) -> directory.AcquireHostLease:
    settings = tables.settings
    return directory.AcquireHostLease(
        host=settings.host,
        incarnation=settings.incarnation,
        address=settings.address,
        link=settings.link,
        zone=settings.zone,
    )


def _renewal(tables: entry_tables.EntryTables) -> directory.RenewHostLease:
    return directory.RenewHostLease(
        host=tables.settings.host,
        epoch=tables.lease.epoch,
        manifest_number=tables.manifest.number,
        draining=tables.requests.drain_requested_s is not None,
    )


def _on_outcome(sent_s: float) -> entry_tables.OnOutcome:
    def on_outcome(tables, now, outbox, outcome) -> None:
        lease = tables.lease
        lease.renewing = False
        lease.next_renewal_s = now + ACQUIRE_PAUSE_S
        if outcome.is_err():
            tables.count("lease_renewal_failed")
            return
        match outcome.ok():
            case directory.HostLeaseGranted() as granted:
                _granted(tables, now, outbox, granted, sent_s)
            case directory.HostLeaseLost():
                lose(tables)
        outbox.wake(lease.next_renewal_s)

    return on_outcome


def lose(tables: entry_tables.EntryTables) -> None:
    """Forget a fenced epoch; the next renewal takes a new lease."""
    tables.count("lease_lost")
    tables.lease.epoch = 0
    tables.lease.valid_until_s = 0.0


def _granted(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    granted: directory.HostLeaseGranted,
    sent_s: float,
) -> None:
    lease = tables.lease
    lease.epoch = granted.epoch
    lease.valid_until_s = sent_s + granted.duration_s * (1.0 - CLOCK_RATE_ERROR)
    lease.next_renewal_s = now + RENEWAL_INTERVAL_S
    if granted.manifest_number == tables.manifest.number:
        tables.manifest.fresh_until_s = lease.valid_until_s
        return
    fetch_manifest(tables, now, outbox)


def manifest_changed(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    hint: calls.ManifestChanged,
) -> None:
    """Take the directory leader's hint that a newer manifest is committed."""
    if hint.number > tables.manifest.number:
        fetch_manifest(tables, now, outbox)


def fetch_manifest(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
) -> None:
    """Read the manifest in force from the directory, one call at a time."""
    if tables.manifest.fetching:
        return
    tables.manifest.fetching = True
    control_client.call(
        tables,
        now,
        outbox,
        directory.GROUP,
        directory.GetManifest(),
        _on_manifest(sent_s=now),
    )


def _on_manifest(sent_s: float) -> entry_tables.OnOutcome:
    def on_outcome(tables, now, outbox, outcome) -> None:
        tables.manifest.fetching = False
        if outcome.is_err():
            return
        match outcome.ok():
            case directory.ManifestInForce() as in_force:
                install(tables, in_force)
                tables.manifest.fresh_until_s = max(
                    tables.manifest.fresh_until_s,
                    min(tables.lease.valid_until_s, sent_s + RENEWAL_TIMEOUT_S),
                )

    return on_outcome


def install(
    tables: entry_tables.EntryTables,
    in_force: directory.ManifestInForce,
) -> None:
    """Put a manifest in force on this host; its number never goes down."""
    view = tables.manifest
    if in_force.number <= view.number:
        return
    decoded = msgspec.json.decode(in_force.body, type=manifest.Manifest)
    view.number = in_force.number
    view.digest = in_force.digest
    view.manifest = decoded
    view.workspaces = {each.name: each for each in decoded.workspaces}
    view.pipelines = {each.name: each for each in decoded.pipelines}
    view.tokens = {
        digest: each.name for each in decoded.workspaces for digest in each.token_sha256
    }
