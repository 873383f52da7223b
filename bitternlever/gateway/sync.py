"""Synchronization of an entry host with the control processes.

Each control process gets a heartbeat several times a second. The reply of a leader that
holds a lease proves how current this host's catalog is. The age counts from the sending
of the heartbeat on this host's own boot clock, so that neither a frozen process nor a
slow link makes the catalog look fresher than it is.
"""

import dataclasses
import math

import msgspec

from bitternlever.catalog import tables as catalog_tables
from bitternlever.fleet import (
    pauses as fleet_pauses,
    quarantine,
    rate_limits,
    stream_origins,
    upstreams,
)
from bitternlever.gateway import (
    catalog_sync,
    crash_subjects,
    rate_shares,
    tables as gateway_tables,
)
from bitternlever.messages import fleet
from bitternlever.workload import outstanding

HEARTBEAT_INTERVAL_S = 0.25
"""Four heartbeats fit into the time after which a silent host is omitted."""

CONTROL_EXPIRY_S = 20.0
"""Time after which a control process that no reply lists is removed."""

CONTROL_TIMEOUT_S = 2.0
"""Time without a reply after which a control process counts as unreachable."""

UPSTREAM_TIMEOUT_S = 6.0
"""Five heartbeat intervals; an upstream that is silent for longer has ended."""


@dataclasses.dataclass(slots=True, frozen=True)
class Closed:
    """Why no upstream takes a request now, and when a caller should return."""

    reason: str
    retry_after_s: float


def heartbeats(
    tables: gateway_tables.GatewayTables,
    now: float,
    state: fleet.HostState,
    loads: list[fleet.ServiceLoad],
    *,
    accepts: bool = True,
) -> list[tuple[str, fleet.HostHeartbeat]]:
    """Return the heartbeats to send, by link; ``loads`` are those to report.

    The host ``accepts`` new connections of callers, or not for the moment.
    """
    tables.announcement = msgspec.structs.replace(
        tables.announcement,
        sequence=tables.announcement.sequence + 1,
        state=state,
        accepts=accepts,
    )
    _update_controls(tables, now)
    version = None if tables.catalog is None else tables.catalog.version
    pauses = fleet_pauses.current(tables.pauses, now)
    rate_shares.remove_ended(tables, now)
    parts = tables.crash_subjects
    crash_subjects.report_silent_upstreams(parts, now, tables.upstreams)
    quarantined = quarantine.current(parts.records, now)
    stream_origins.remove_expired(tables.stream_origins, now)
    sound = crash_subjects.sound_reports(parts, now)
    engine_work = outstanding.report(tables.outstanding)
    asked = catalog_sync.request(tables.catalog_sync, now, _catalog_sources(tables))
    return [
        (
            control.link,
            fleet.HostHeartbeat(
                announcement=tables.announcement,
                sent_s=now,
                catalog_version=version,
                control_incarnation=control.incarnation,
                hosts_revision=control.hosts_revision,
                loads=loads,
                ended=_ends_to_report(tables, control),
                pauses=pauses,
                crashes=crash_subjects.crashes_since(
                    parts, now, control.reported_until_s
                ),
                quarantine=quarantined,
                sound=sound,
                rate_limits=rate_limits.changed_since(
                    tables.rate_limits, now, control.reported_until_s
                ),
                streams=stream_origins.learned_since(
                    tables.stream_origins, now, control.reported_until_s
                ),
                engine_work=engine_work,
                catalog_progress=fleet.CatalogProgress(
                    tables.catalog_sync.version, wanted=control.link == asked
                ),
            ),
        )
        for control in tables.controls.values()
    ]


def handle_heartbeat_reply(
    tables: gateway_tables.GatewayTables,
    now: float,
    link: str,
    reply: fleet.HostHeartbeatReply,
) -> list[str]:
    """Handle a control process's reply to a heartbeat.

    Return the prompt parts that are refused, or no longer refused, from now on.
    """
    control = tables.controls.get(link)
    if control is None:
        return []
    control.last_seen_s = now
    if reply.control_incarnation != control.incarnation:
        control.incarnation = reply.control_incarnation
        control.hosts_revision = -1
        control.reported_until_s = -math.inf
        control.incarnation_known_s = now
    elif reply.sent_s > control.incarnation_known_s:
        control.reported_until_s = max(control.reported_until_s, reply.sent_s)
    if reply.hosts is not None:
        control.hosts = reply.hosts
        control.hosts_revision = reply.hosts_revision
    for listed_link in reply.controls:
        listed = tables.controls.setdefault(
            listed_link, gateway_tables.Control(listed_link)
        )
        listed.last_listed_s = now
    _merge_host_lists(tables, now, list_changed=reply.hosts is not None)
    _merge_upstream_reports(tables, now, reply)
    control.catalog_version = reply.catalog_version
    control.leads = reply.current
    catalog_sync.record_newest(tables.catalog_sync, now, reply.catalog_version)
    if reply.current and _has_version(tables, reply.catalog_version):
        confirm_catalog(tables, reply.sent_s)
    elif reply.current and reply.catalog_version is not None:
        catalog_sync.record_current(
            tables.catalog_sync, reply.catalog_version, reply.sent_s
        )
    return crash_subjects.handle_reply(tables.crash_subjects, now, reply)


def _merge_upstream_reports(
    tables: gateway_tables.GatewayTables,
    now: float,
    reply: fleet.HostHeartbeatReply,
) -> None:
    """Merge what a reply says of upstreams: evacuations, loads, pauses and limits."""
    if reply.evacuation.revision > tables.evacuation.revision:
        tables.evacuation = reply.evacuation
    for load in reply.loads:
        record_load(tables, now, load)
    for pause in reply.pauses:
        fleet_pauses.merge(tables.pause_hints, now, pause)
    for limit in reply.rate_limits:
        rate_limits.merge(tables.rate_limits, now, limit)
    outstanding.merge(tables.outstanding, now, reply.engine_loads)


def record_load(
    tables: gateway_tables.GatewayTables,
    now: float,
    load: fleet.ServiceLoad,
) -> None:
    """Record the load of a group of a service unless a newer one is known."""
    reported_s = now - load.age_s
    known = tables.loads.get((load.service, load.group))
    if known is None or known.reported_s < reported_s:
        tables.loads[load.service, load.group] = gateway_tables.ReportedLoad(
            load, reported_s
        )


def apply_catalog(
    tables: gateway_tables.GatewayTables,
    catalog: catalog_tables.Catalog,
) -> bool:
    """Put a catalog in force if it is newer; return whether it is."""
    current = tables.catalog
    if current is not None and catalog.version <= current.version:
        return False
    tables.catalog = catalog
    return True


def confirm_catalog(
    tables: gateway_tables.GatewayTables, current_s: float | None
) -> None:
    """Record a time at which the catalog in force was the newest one, if known."""
    if current_s is not None:
        tables.catalog_current_s = max(tables.catalog_current_s or 0.0, current_s)


def merge_upstream_statuses(
    tables: gateway_tables.GatewayTables,
    now: float,
    message: fleet.UpstreamStatusUpdate,
) -> list[tuple[fleet.UpstreamStatus, bool]]:
    """Merge statuses of upstreams.

    Return those that changed something, each with whether it is of a new start under a
    known id. What this host has learned of the earlier start is dropped.
    """
    changed = []
    for status in message.statuses:
        known = tables.upstreams.entries.get(status.upstream)
        started_ms = None if known is None else known.status.started_ms
        if not upstreams.merge_status(tables.upstreams, now, status):
            continue
        current = tables.upstreams.entries[status.upstream].status
        restarted = started_ms not in (None, current.started_ms)
        if restarted:
            tables.health.pop(status.upstream, None)
        changed.append((status, restarted))
    return changed


def usable_upstreams(
    tables: gateway_tables.GatewayTables,
    now: float,
    service: str,
    origin: fleet.StreamOrigin | None = None,
) -> list[fleet.UpstreamStatus]:
    """Return the upstreams of a service that may get new work, also paused ones.

    Those in evacuated zones get none.

    A stream that has begun goes on only at some of them, depending on its ``origin``.
    Silent upstreams are omitted only while some control process is reachable: without
    control no status arrives of any upstream, and the known ones stay in use.
    """
    control_reachable = any(
        control.last_seen_s is not None
        and now - control.last_seen_s < CONTROL_TIMEOUT_S
        for control in tables.controls.values()
    )
    return [
        entry.status
        for entry in upstreams.ready_upstreams(tables.upstreams, service)
        if (not control_reachable or now - entry.last_seen_s < UPSTREAM_TIMEOUT_S)
        and stream_origins.allows(origin, entry.status)
        and not is_evacuated(tables, entry.status)
    ]


def is_evacuated(
    tables: gateway_tables.GatewayTables, upstream: fleet.UpstreamStatus
) -> bool:
    """Return whether an upstream gets no new work because of its zone."""
    return upstream.zone in tables.evacuation.zones


def pause_ends_s(
    tables: gateway_tables.GatewayTables,
    now: float,
    upstream: fleet.UpstreamStatus,
) -> float | None:
    """Return when the pause that an upstream asked this host for ends, if any."""
    return fleet_pauses.ends_s(
        tables.pauses, now, upstream.upstream, upstream.started_ms
    )


def open_upstreams(
    tables: gateway_tables.GatewayTables,
    now: float,
    service: str,
    origin: fleet.StreamOrigin | None = None,
) -> list[fleet.UpstreamStatus]:
    """Return the usable upstreams of a service that take a request from this host.

    They asked it for no pause, and it has a token if they name a rate limit.
    """
    return [
        upstream
        for upstream in usable_upstreams(tables, now, service, origin)
        if pause_ends_s(tables, now, upstream) is None
        and (rate_shares.request_opens_s(tables, now, upstream) or now) <= now
        and rate_shares.has_room(tables, now, upstream)
    ]


def closed(
    tables: gateway_tables.GatewayTables,
    now: float,
    service: str,
    in_s: float = 0.0,
    origin: fleet.StreamOrigin | None = None,
) -> Closed | None:
    """Return why no upstream of a service will take a request, None if one will.

    The request will be sent ``in_s`` later, after those that already await that.
    """
    usable = usable_upstreams(tables, now, service, origin)
    pauses_s = [pause_ends_s(tables, now, upstream) for upstream in usable]
    unpaused = [
        upstream
        for upstream, pause_s in zip(usable, pauses_s, strict=True)
        if pause_s is None or pause_s <= now + in_s
    ]
    if not usable:
        return None
    if not unpaused:
        return Closed("all upstreams ask for a pause", min(pauses_s) - now)
    tokens = [
        rate_shares.request_tokens(tables, now, upstream, now + in_s)
        for upstream in unpaused
    ]
    if None in tokens:
        return None
    needed = 1.0
    if in_s > 0:
        needed += tables.rate_shares.awaiting[service]
    if sum(map(math.floor, tokens)) >= needed:
        return None
    retry_s = rate_shares.return_after_s(tables, now, service, unpaused)
    return Closed("all upstreams are at their limits", retry_s)


def catalog_age_s(tables: gateway_tables.GatewayTables, now: float) -> float | None:
    """Return the time since the catalog was known to be the newest, None if never."""
    if tables.catalog_current_s is None or tables.catalog is None:
        return None
    return now - tables.catalog_current_s


def _catalog_sources(
    tables: gateway_tables.GatewayTables,
) -> list[catalog_sync.Source]:
    return [
        catalog_sync.Source(
            link=control.link,
            version=control.catalog_version,
            is_leader=control.leads,
            heard_s=control.last_seen_s,
        )
        for control in tables.controls.values()
    ]


def _ends_to_report(
    tables: gateway_tables.GatewayTables, control: gateway_tables.Control
) -> list[fleet.UpstreamStatus]:
    """Return the ends of upstreams that a control process may not know.

    A restarted one may know none. Otherwise only those are unknown to it that this host
    learned from an upstream's answer.
    """
    since_s = control.reported_until_s
    return upstreams.ended_since(
        tables.upstreams, since_s, leaving_only=since_s > -math.inf
    )


def _has_version(tables: gateway_tables.GatewayTables, version: int | None) -> bool:
    if version is None or tables.catalog is None:
        return False
    return tables.catalog.version >= version


def _update_controls(tables: gateway_tables.GatewayTables, now: float) -> None:
    for seed in tables.seeds:
        seed_control = tables.controls.setdefault(seed, gateway_tables.Control(seed))
        seed_control.last_listed_s = now
    for link in list(tables.controls):
        control = tables.controls[link]
        latest_s = max(control.last_listed_s, control.last_seen_s or 0.0)
        if now - latest_s > CONTROL_EXPIRY_S:
            del tables.controls[link]


def _merge_host_lists(
    tables: gateway_tables.GatewayTables,
    now: float,
    *,
    list_changed: bool,
) -> None:
    """Merge the host lists of all reachable control processes.

    The newest announcement of each host counts. Nothing is done if no list is new and
    the same processes are reachable.
    """
    reachable = [
        control
        for control in tables.controls.values()
        if control.last_seen_s is not None
        and now - control.last_seen_s <= CONTROL_TIMEOUT_S
    ]
    links = [control.link for control in reachable]
    if links == tables.reachable_controls and not list_changed:
        return
    tables.reachable_controls = links
    newest: dict[str, fleet.HostAnnouncement] = {}
    for control in reachable:
        for announcement in control.hosts:
            known = newest.get(announcement.host)
            if known is None or _is_superseded(known, announcement):
                newest[announcement.host] = announcement
    listed = tuple(newest[name] for name in sorted(newest))
    if listed and listed != tables.hosts.listed:
        tables.hosts.listed = listed
        tables.hosts.revision += 1


def _is_superseded(
    known: fleet.HostAnnouncement, announcement: fleet.HostAnnouncement
) -> bool:
    """Return whether the known one is older; within one incarnation, by its state.

    A host counts as cut off until no control process lists it as such. Control
    processes of version 0.9 do not pass on the rate of its link.
    """
    if known.started_ms != announcement.started_ms:
        return known.started_ms < announcement.started_ms
    order = list(fleet.HostState)
    if known.state is announcement.state:
        return _precedence(announcement) > _precedence(known)
    return order.index(known.state) < order.index(announcement.state)


def _precedence(announcement: fleet.HostAnnouncement) -> tuple[bool, bool, bool]:
    return (
        announcement.cut_off,
        not announcement.accepts,
        announcement.link_bytes_per_s is not None,
    )


def directory(
    tables: gateway_tables.GatewayTables,
    zone: str,
    region: str,
) -> list[str]:
    """Return the callers' addresses of ready hosts, those of the given zone first.

    Hosts in other zones of the region are included: this balances the load, and callers
    have an address left if a zone is lost.
    """
    ready = [
        host
        for host in tables.hosts.listed
        if host.state is fleet.HostState.READY and host.accepts
    ]
    in_region = [host for host in ready if host.region == region] or ready
    in_region.sort(key=lambda host: host.zone != zone)
    return [host.address for host in in_region]
