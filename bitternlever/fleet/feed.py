"""Updates that control sends to entry hosts: catalogs, upstream statuses, host lists.

How catalogs are sent is told in ``catalog_feed``. A changed upstream status is
sent in the tick in which it arrives; unchanged statuses are refreshed at intervals.
Hosts report the upstreams that they know to have ended, so that a restarted control
process does not offer them again, those that asked for a pause, and the rate limits
that they name. Replies to heartbeats carry the evacuated availability zones.
"""

import logging

import msgspec

from bitternlever.consensus import reads
from bitternlever.core import ticks
from bitternlever.fleet import (
    catalog_feed,
    crash_suspects,
    hosts,
    pauses,
    quarantine,
    rate_limits,
    spread,
    stream_origins,
    tables as fleet_tables,
    upstreams,
)
from bitternlever.messages import fleet, frames
from bitternlever.telemetry import events
from bitternlever.workload import totals as workload_totals

REFRESH_INTERVAL_S = 0.8
"""Below the shortest heartbeat interval of upstreams: each one is forwarded."""

SUBSCRIBER_TIMEOUT_S = 3.0
"""Silent hosts get no updates after this time, until their next heartbeat."""

SERVICE_LOAD_EXPIRY_S = 2.0
"""Batching hosts report four times a second; after this time another took over."""

RATE_LIMITS_INTERVAL_S = 1.0
"""All rate limits are sent again: a reply may be lost with its connection."""

STATUSES_PER_MESSAGE = 200
"""Keeps each message below 64 KiB."""

logger = logging.getLogger(__name__)


def handle_host_heartbeat(
    tables: fleet_tables.FleetTables,
    now: float,
    outbox: ticks.Outbox,
    heartbeat: fleet.HostHeartbeat,
) -> None:
    """Reply to a host's heartbeat and send it the updates that it is missing."""
    hosts.merge_announcement(tables.hosts, now, heartbeat.announcement)
    hosts.refresh(tables.hosts, now)
    for load in heartbeat.loads:
        reported = fleet_tables.ReportedLoad(load, now)
        tables.loads[load.service, load.group] = reported
    for status in heartbeat.ended:
        handle_upstream_status(tables, now, status)
    for pause in heartbeat.pauses:
        pauses.merge(tables.pauses, now, pause)
    for limit in heartbeat.rate_limits:
        rate_limits.merge(tables.rate_limits, now, limit)
    for origin in heartbeat.streams:
        stream_origins.record(tables.stream_origins, now, origin)
    workload_totals.record(
        tables.engine_totals, now, heartbeat.announcement.host, heartbeat.engine_work
    )
    _handle_crash_subjects(tables, now, heartbeat)
    subscriber = _register_subscriber(tables, now, heartbeat)
    host = heartbeat.announcement.host
    _log_spread(
        tables, spread.record(tables.spread, now, host, heartbeat.catalog_version)
    )
    replica = tables.replica
    current = reads.ready(replica) and reads.lease_valid(replica, now)
    directory = tables.hosts
    has_current_hosts = (
        heartbeat.control_incarnation == tables.settings.incarnation
        and heartbeat.hosts_revision == directory.revision
    )
    answer = fleet.HostHeartbeatReply(
        sent_s=heartbeat.sent_s,
        control_incarnation=tables.settings.incarnation,
        current=current,
        catalog_version=tables.catalog.version,
        controls=fleet_tables.control_links(tables),
        hosts_revision=directory.revision,
        hosts=None if has_current_hosts else list(directory.listed),
        quarantine=quarantine.current(tables.refused_parts, now),
        suspects=tables.crash_evidence.doubtful,
        trials=crash_suspects.grant_trials(
            tables.crash_evidence,
            tables.refused_parts,
            now,
            heartbeat.quarantine,
            leads=fleet_tables.is_leader(tables),
        ),
        rate_limits=_rate_limits_for(tables, now, subscriber),
        evacuation=fleet.Evacuation(
            tables.catalog.evacuation_revision, tables.catalog.evacuated_zones
        ),
    )
    if fleet_tables.is_leader(tables):
        answer = msgspec.structs.replace(
            answer,
            loads=_current_loads(tables, now),
            pauses=pauses.current(tables.pauses, now),
            engine_loads=_engine_loads_for(tables, now, subscriber),
        )
    outbox.send(frames.SendToPeer(subscriber.link, answer, subscriber.link))
    if not subscriber.received_all:
        subscriber.received_all = True
        _send_statuses(
            tables, now, outbox, list(tables.upstreams.entries), [subscriber]
        )
    catalog_feed.handle_heartbeat(tables, now, outbox, subscriber, heartbeat)


def run(tables: fleet_tables.FleetTables, now: float, outbox: ticks.Outbox) -> None:
    """Push a new catalog and changed statuses at once; send refreshes at intervals."""
    _drop_silent_subscribers(tables, now)
    if tables.spread.version != tables.catalog.version:
        hosts_now = set(tables.subscribers)
        version = tables.catalog.version
        _log_spread(tables, spread.begin(tables.spread, now, version, hosts_now))
    catalog_feed.run(tables, now, outbox)
    subscribers = list(tables.subscribers.values())
    if tables.changed_upstreams:
        _send_statuses(
            tables, now, outbox, sorted(tables.changed_upstreams), subscribers
        )
        tables.refreshed_upstreams -= tables.changed_upstreams
        tables.changed_upstreams.clear()
    if now >= tables.next_refresh_s:
        tables.next_refresh_s = now + REFRESH_INTERVAL_S
        _send_statuses(
            tables, now, outbox, sorted(tables.refreshed_upstreams), subscribers
        )
        tables.refreshed_upstreams.clear()
        upstreams.remove_expired(tables.upstreams, now)
        rate_limits.remove_ended(tables.rate_limits, now, tables.upstreams)
        stream_origins.remove_expired(tables.stream_origins, now)
        workload_totals.remove_expired(tables.engine_totals, now)
    outbox.wake(tables.next_refresh_s)


def handle_upstream_status(
    tables: fleet_tables.FleetTables,
    now: float,
    status: fleet.UpstreamStatus,
) -> None:
    """Merge an upstream's status and queue it for the hosts."""
    changed = upstreams.merge_status(tables.upstreams, now, status)
    if changed:
        tables.changed_upstreams.add(status.upstream)
        return
    tables.refreshed_upstreams.add(status.upstream)


def handle_stream_begun(
    tables: fleet_tables.FleetTables,
    now: float,
    outbox: ticks.Outbox,
    link: str,
    message: fleet.StreamBegun,
) -> None:
    """Record where a stream began, and confirm it to the host."""
    stream_origins.record(tables.stream_origins, now, message.origin)
    outbox.send(frames.SendToPeer(link, fleet.StreamRecorded(message.call), link))


def handle_stream_origin_requested(
    tables: fleet_tables.FleetTables,
    now: float,
    outbox: ticks.Outbox,
    link: str,
    message: fleet.StreamOriginRequested,
) -> None:
    """Tell a host where a stream began, or that this process does not know."""
    origin = stream_origins.find(tables.stream_origins, now, message.request)
    reply = fleet.StreamOriginReply(message.call, origin)
    outbox.send(frames.SendToPeer(link, reply, link))


def _rate_limits_for(
    tables: fleet_tables.FleetTables, now: float, subscriber: fleet_tables.Subscriber
) -> list[fleet.UpstreamRateLimit]:
    """Return the limits that are new to a host, at intervals all of them."""
    if now - subscriber.all_limits_sent_s >= RATE_LIMITS_INTERVAL_S:
        subscriber.all_limits_sent_s = subscriber.limits_sent_s = now
        return rate_limits.changed_since(tables.rate_limits, now)
    since_s, subscriber.limits_sent_s = subscriber.limits_sent_s, now
    return rate_limits.changed_since(tables.rate_limits, now, since_s)


def _engine_loads_for(
    tables: fleet_tables.FleetTables, now: float, subscriber: fleet_tables.Subscriber
) -> list[fleet.EngineLoad]:
    """Return the loads of all engines if a host is due to get them."""
    totals = tables.engine_totals
    if now - subscriber.engine_loads_sent_s < workload_totals.interval_s(totals):
        return []
    subscriber.engine_loads_sent_s = now
    return workload_totals.shared(totals, now)


def _handle_crash_subjects(
    tables: fleet_tables.FleetTables, now: float, heartbeat: fleet.HostHeartbeat
) -> None:
    """Merge what a host knows of prompt parts, and judge them again."""
    evidence, records = tables.crash_evidence, tables.refused_parts
    for part in heartbeat.quarantine:
        if quarantine.merge(records, now, part, authoritative=False):
            tables.changed_parts.add(part.part)
            if not records[part.part].quarantined:
                crash_suspects.forget(evidence, part.part)
        if part.seen_age_s is not None:
            quarantine.renew(records, part.part, now - part.seen_age_s)
    for crash in heartbeat.crashes:
        crash_suspects.record_crash(evidence, now, crash)
    for sound in heartbeat.sound:
        if crash_suspects.record_sound(evidence, records, now, sound):
            tables.changed_parts.add(sound.part)
    tables.changed_parts.update(crash_suspects.judge(evidence, records, now))


def _current_loads(
    tables: fleet_tables.FleetTables, now: float
) -> list[fleet.ServiceLoad]:
    """Return the loads of services and groups with their age; drop expired reports."""
    for key, report in list(tables.loads.items()):
        if now - report.received_s > SERVICE_LOAD_EXPIRY_S:
            del tables.loads[key]
    return [
        msgspec.structs.replace(report.load, age_s=now - report.received_s)
        for report in tables.loads.values()
    ]


def _register_subscriber(
    tables: fleet_tables.FleetTables,
    now: float,
    heartbeat: fleet.HostHeartbeat,
) -> fleet_tables.Subscriber:
    announcement = heartbeat.announcement
    subscriber = tables.subscribers.get(announcement.host)
    if subscriber is None or subscriber.started_ms != announcement.started_ms:
        subscriber = fleet_tables.Subscriber(
            link=announcement.link,
            last_seen_s=now,
            started_ms=announcement.started_ms,
        )
        tables.subscribers[announcement.host] = subscriber
    subscriber.last_seen_s = now
    return subscriber


def _drop_silent_subscribers(tables: fleet_tables.FleetTables, now: float) -> None:
    silent = [
        name
        for name, subscriber in tables.subscribers.items()
        if now - subscriber.last_seen_s > SUBSCRIBER_TIMEOUT_S
    ]
    for name in silent:
        del tables.subscribers[name]
        _log_spread(tables, spread.forget(tables.spread, now, name))


def _log_spread(tables: fleet_tables.FleetTables, report: spread.Report | None) -> None:
    """Log how a catalog has spread, on the leader alone."""
    if report is None or not fleet_tables.is_leader(tables):
        return
    events.CATALOG_SPREAD.log(
        logger,
        version=report.version,
        took_s=round(report.took_s, 3),
        hosts=len(tables.subscribers),
        behind=report.behind,
        bytes=len(tables.catalog.body),
    )


def _send_statuses(
    tables: fleet_tables.FleetTables,
    now: float,
    outbox: ticks.Outbox,
    names: list[str],
    subscribers: list[fleet_tables.Subscriber],
) -> None:
    entries = tables.upstreams.entries
    statuses = [
        msgspec.structs.replace(
            entries[name].status,
            age_s=max(0.0, now - entries[name].last_seen_s),
        )
        for name in names
        if name in entries and not entries[name].superseded
    ]
    for start in range(0, len(statuses), STATUSES_PER_MESSAGE):
        message = fleet.UpstreamStatusUpdate(
            statuses=statuses[start : start + STATUSES_PER_MESSAGE]
        )
        for subscriber in subscribers:
            outbox.send(frames.SendToPeer(subscriber.link, message, subscriber.link))
