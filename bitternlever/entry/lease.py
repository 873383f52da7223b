"""This host's lease and the manifest in force on this host.

The lease term starts when the renewal is sent, on this host's boot clock, which
counts time while the host is suspended, and is shortened by the maximum relative rate
error of two clocks. The reply to a renewal
also proves until when this host's manifest counts as fresh.
"""

import msgspec

from bitternlever.core import ticks
from bitternlever.entry import control_client, tables as entry_tables
from bitternlever.messages import calls, directory, manifest

RENEWAL_INTERVAL_S = 0.5
RENEWAL_TIMEOUT_S = 1.5
ACQUIRE_RETRY_PAUSE_S = 0.2
# The bound on the relative rate of two clocks.
CLOCK_RATE_ERROR = 0.01


def run(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
) -> None:
    """Acquire or renew the lease when it is due."""
    lease = tables.lease
    if lease.released or lease.renewing:
        return
    if now < lease.next_renewal_s:
        outbox.wake(lease.next_renewal_s)
        return
    lease.renewing = True
    command = _acquire_command(tables) if lease.epoch == 0 else _renew_command(tables)
    control_client.call(
        tables,
        now,
        outbox,
        directory.GROUP,
        command,
        _on_outcome(sent_s=now),
        timeout_s=RENEWAL_TIMEOUT_S,
    )


def is_held(tables: entry_tables.EntryTables, now: float) -> bool:
    """Return whether this host has a valid lease, and may send and write now."""
    return tables.lease.epoch > 0 and now < tables.lease.valid_until_s


def accepts_work(tables: entry_tables.EntryTables, now: float) -> bool:
    """Return whether this host has a lease and a fresh manifest, for new work."""
    return is_held(tables, now) and now < tables.manifest.fresh_until_s


def _acquire_command(tables: entry_tables.EntryTables) -> directory.AcquireHostLease:
    settings = tables.settings
    return directory.AcquireHostLease(
        host=settings.host,
        incarnation=settings.incarnation,
        address=settings.address,
        link=settings.link,
        zone=settings.zone,
    )


def _renew_command(tables: entry_tables.EntryTables) -> directory.RenewHostLease:
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
        lease.next_renewal_s = now + ACQUIRE_RETRY_PAUSE_S
        if outcome.is_err():
            tables.count("lease_renewal_failed")
            return
        match outcome.ok():
            case directory.HostLeaseGranted() as granted:
                _handle_granted(tables, now, outbox, granted, sent_s)
            case directory.HostLeaseLost():
                drop_lease(tables)
        outbox.wake(lease.next_renewal_s)

    return on_outcome


def drop_lease(tables: entry_tables.EntryTables) -> None:
    """Drop a fenced epoch; the next renewal acquires a new lease."""
    tables.count("lease_lost")
    tables.lease.epoch = 0
    tables.lease.valid_until_s = 0.0


def _handle_granted(
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


def handle_manifest_changed(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    hint: calls.ManifestChanged,
) -> None:
    """Handle the directory leader's hint that a newer manifest is committed."""
    if hint.number > tables.manifest.number:
        fetch_manifest(tables, now, outbox)


def fetch_manifest(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
) -> None:
    """Fetch the manifest in force from the directory, with one call at a time."""
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
                install_manifest(tables, in_force)
                tables.manifest.fresh_until_s = max(
                    tables.manifest.fresh_until_s,
                    min(tables.lease.valid_until_s, sent_s + RENEWAL_TIMEOUT_S),
                )

    return on_outcome


def install_manifest(
    tables: entry_tables.EntryTables,
    in_force: directory.ManifestInForce,
) -> None:
    """Put a manifest in force on this host, unless its number is not higher."""
    view = tables.manifest
    if in_force.number <= view.number:
        return
    decoded = msgspec.json.decode(in_force.body, type=manifest.Manifest)
    view.number = in_force.number
    view.digest = in_force.digest
    view.manifest = decoded
    view.workspaces = {workspace.name: workspace for workspace in decoded.workspaces}
    view.pipelines = {pipeline.name: pipeline for pipeline in decoded.pipelines}
    view.tokens = {
        digest: workspace.name
        for workspace in decoded.workspaces
        for digest in workspace.token_sha256
    }
