"""Announcements and updates of upstreams: merging, age, and selection for each peer.

Information about one upstream is ordered by incarnation, then sequence. ``leaving``
is final for its incarnation.
"""

import binascii

import msgspec

from bitternlever.gossip import tables as gossip_tables
from bitternlever.messages import (
    gossip,
    integers,
    upstream as upstream_messages,
)

MAXIMUM_UPSTREAMS = 4_000
MAXIMUM_UPDATES_IN_MESSAGE = 256
MAXIMUM_ANNOUNCEMENTS_IN_MESSAGE = 32
MAXIMUM_CACHE_EVENTS = 32
FORGET_AFTER_S = 60.0


def merge_announcement(
    membership: gossip_tables.MembershipTables,
    announcement: upstream_messages.Announcement,
    seen_s: float,
) -> bool:
    """Merge a full announcement; return whether it replaces the known one."""
    known = membership.upstreams.get(announcement.name)
    if known is None and len(membership.upstreams) >= MAXIMUM_UPSTREAMS:
        return False
    if known is not None and not _is_newer(known, announcement):
        return _merge_same_version(known, announcement, seen_s)
    announcement = msgspec.structs.replace(
        announcement,
        cache_events=announcement.cache_events[-MAXIMUM_CACHE_EVENTS:],
    )
    entry = gossip_tables.Upstream(
        announcement=announcement,
        last_seen_s=seen_s,
        static_checksum=static_checksum(announcement),
    )
    if announcement.load is not None:
        entry.load_reported_s = seen_s - announcement.load.age_s
    if known is not None:
        _keep_known_values(known, entry)
    if known is None or not _is_unchanged(known, entry):
        membership.version += 1
    membership.upstreams[announcement.name] = entry
    return True


def merge_update(
    membership: gossip_tables.MembershipTables,
    update: gossip.UpstreamUpdate,
    now: float,
    delay_bound_s: float,
) -> bool:
    """Merge an update; return False if the full announcement has to be requested."""
    known = membership.upstreams.get(update.name)
    seen_s = now - delay_bound_s - update.age_ms / 1_000
    if known is None:
        return False
    announcement = known.announcement
    if (
        known.static_checksum != update.static_checksum
        or announcement.incarnation != update.incarnation
    ):
        newer = (update.incarnation, update.sequence) > version(announcement)
        replaced = update.incarnation > announcement.incarnation
        if newer and (update.leaving or replaced):
            announcement.leaving = True
            membership.version += 1
        return not newer
    if update.sequence < announcement.sequence:
        return True
    known.last_seen_s = max(known.last_seen_s, seen_s)
    if update.sequence == announcement.sequence:
        return True
    announcement.sequence = update.sequence
    if update.leaving and not announcement.leaving:
        announcement.leaving = True
        membership.version += 1
    _merge_load(known, update, seen_s)
    announcement.cache_events = update.cache_events[-MAXIMUM_CACHE_EVENTS:]
    return True


def updates_for(
    membership: gossip_tables.MembershipTables,
    peer: gossip_tables.Peer,
    now: float,
    silence_s: float,
) -> list[gossip.UpstreamUpdate]:
    """Return the updates that the peer may lack; silent upstreams are left out."""
    updates = []
    for name, known in membership.upstreams.items():
        announcement = known.announcement
        current_version = version(announcement)
        if now - known.last_seen_s > silence_s and not announcement.leaving:
            continue
        peer_version = peer.known_upstreams.get(name)
        if (
            peer_version is not None
            and peer_version >= current_version
            and not announcement.leaving
        ):
            continue
        if len(updates) == MAXIMUM_UPDATES_IN_MESSAGE:
            break
        peer.known_upstreams[name] = current_version
        updates.append(_update_of(known, now))
    return updates


def announcements_for(
    membership: gossip_tables.MembershipTables,
    peer: gossip_tables.Peer,
    now: float,
) -> list[gossip.KnownUpstream]:
    """Return the full announcements that the peer has requested."""
    names = sorted(peer.requested_announcements)[:MAXIMUM_ANNOUNCEMENTS_IN_MESSAGE]
    peer.requested_announcements.difference_update(names)
    return [
        gossip.KnownUpstream(
            announcement=membership.upstreams[name].announcement,
            age_s=now - membership.upstreams[name].last_seen_s,
        )
        for name in names
        if name in membership.upstreams
    ]


def forget(membership: gossip_tables.MembershipTables, now: float) -> None:
    """Drop upstreams that have been silent for the retention time."""
    expired = [
        name
        for name, known in membership.upstreams.items()
        if now - known.last_seen_s > FORGET_AFTER_S
    ]
    for name in expired:
        del membership.upstreams[name]
        for peer in membership.peers.values():
            peer.known_upstreams.pop(name, None)
    if expired:
        membership.version += 1


def version(announcement: upstream_messages.Announcement) -> tuple[int, int]:
    """Return the key that orders the announcements of one upstream."""
    return (announcement.incarnation, announcement.sequence)


def static_checksum(announcement: upstream_messages.Announcement) -> int:
    """Return a checksum of the part of an announcement that seldom changes."""
    static_fields = (
        announcement.address,
        announcement.pool,
        announcement.zone,
        announcement.tasks,
        announcement.models,
        announcement.adapters,
        announcement.role,
        announcement.concurrency,
        announcement.checks_fencing,
        announcement.answers_status,
    )
    return binascii.crc32(msgspec.msgpack.encode(static_fields))


def _is_newer(
    known: gossip_tables.Upstream,
    announcement: upstream_messages.Announcement,
) -> bool:
    return version(announcement) > version(known.announcement)


def _merge_same_version(
    known: gossip_tables.Upstream,
    announcement: upstream_messages.Announcement,
    seen_s: float,
) -> bool:
    """Raise the last-seen time from another copy of the known announcement."""
    if version(announcement) != version(known.announcement):
        return False
    known.last_seen_s = max(known.last_seen_s, seen_s)
    return False


def _is_unchanged(
    known: gossip_tables.Upstream,
    entry: gossip_tables.Upstream,
) -> bool:
    return (
        known.static_checksum == entry.static_checksum
        and known.announcement.leaving == entry.announcement.leaving
    )


def _keep_known_values(
    known: gossip_tables.Upstream,
    entry: gossip_tables.Upstream,
) -> None:
    if known.announcement.incarnation != entry.announcement.incarnation:
        return
    entry.last_seen_s = max(entry.last_seen_s, known.last_seen_s)
    if known.announcement.leaving:
        entry.announcement.leaving = True
    if entry.load_reported_s is None:
        entry.announcement.load = known.announcement.load
        entry.load_reported_s = known.load_reported_s


def _merge_load(
    known: gossip_tables.Upstream,
    update: gossip.UpstreamUpdate,
    seen_s: float,
) -> None:
    if update.load_age_ms < 0:
        return
    known.load_reported_s = seen_s - update.load_age_ms / 1_000
    known.announcement.load = upstream_messages.LoadReport(
        running=update.running,
        waiting=update.waiting,
        step_ms=update.step_us / 1_000,
    )


def _update_of(known: gossip_tables.Upstream, now: float) -> gossip.UpstreamUpdate:
    announcement = known.announcement
    load = announcement.load
    load_age_ms = -1
    if load is not None and known.load_reported_s is not None:
        load_age_s = known.last_seen_s - known.load_reported_s
        load_age_ms = integers.clamp(load_age_s * 1_000, minimum=0)
    return gossip.UpstreamUpdate(
        name=announcement.name,
        incarnation=announcement.incarnation,
        sequence=announcement.sequence,
        age_ms=int((now - known.last_seen_s) * 1_000) + 1,
        static_checksum=known.static_checksum,
        leaving=announcement.leaving,
        running=load.running if load is not None else 0,
        waiting=load.waiting if load is not None else 0,
        step_us=integers.clamp(load.step_ms * 1_000) if load is not None else 0,
        load_age_ms=load_age_ms,
        cache_events=announcement.cache_events,
    )
