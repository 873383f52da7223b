"""Directory of live entry hosts with their state and the time of the last heartbeat.

Each control process builds its own directory from the heartbeats that it receives; an
entry host merges the directories of several control processes.
"""

import dataclasses

import msgspec

from bitternlever.messages import fleet

HOST_TIMEOUT_S = 1.1
"""Four missed heartbeats at 250 ms, plus some delay."""

CHECK_INTERVAL_S = 0.1
"""Delay of timeout detection; each check scans all hosts."""

MAXIMUM_HOSTS = 4_000
"""Bounds memory; ten times the hosts of the largest planned deployment."""


@dataclasses.dataclass(slots=True)
class HostRecord:
    """The newest announcement of a host and when it arrived."""

    announcement: fleet.HostAnnouncement
    last_seen_s: float


@dataclasses.dataclass(slots=True)
class HostDirectory:
    """All hosts by name; ``revision`` grows when the list of live hosts changes.

    ``listing_outdated`` is set while ``listed`` lacks a received announcement.
    """

    records: dict[str, HostRecord] = dataclasses.field(default_factory=dict)
    listed: tuple[fleet.HostAnnouncement, ...] = ()
    revision: int = 0
    listing_outdated: bool = False
    check_at_s: float = 0.0


def merge_announcement(
    hosts: HostDirectory, now: float, announcement: fleet.HostAnnouncement
) -> None:
    """Store a host's announcement unless a newer one is known."""
    known = hosts.records.get(announcement.host)
    if known is None and len(hosts.records) >= MAXIMUM_HOSTS:
        return
    if known is not None and ordering_key(known.announcement) > ordering_key(
        announcement
    ):
        return
    if (
        known is None
        or _with_sequence(known.announcement, announcement.sequence) != announcement
    ):
        hosts.listing_outdated = True
    hosts.records[announcement.host] = HostRecord(
        announcement=announcement, last_seen_s=now
    )


def refresh(hosts: HostDirectory, now: float) -> None:
    """Drop silent hosts and increment the revision if the list has changed."""
    if now < hosts.check_at_s and not hosts.listing_outdated:
        return
    hosts.listing_outdated = False
    hosts.check_at_s = now + CHECK_INTERVAL_S
    silent = [
        name
        for name, record in hosts.records.items()
        if now - record.last_seen_s > HOST_TIMEOUT_S
    ]
    for name in silent:
        del hosts.records[name]
    listed = tuple(
        _with_sequence(hosts.records[name].announcement, 0)
        for name in sorted(hosts.records)
    )
    if listed != hosts.listed:
        hosts.listed = listed
        hosts.revision += 1


def ordering_key(announcement: fleet.HostAnnouncement) -> tuple[int, int]:
    """Return the key that orders the announcements of one host."""
    return announcement.started_ms, announcement.sequence


def _with_sequence(
    announcement: fleet.HostAnnouncement, sequence: int
) -> fleet.HostAnnouncement:
    """Replace the sequence number, the only field that differs in each heartbeat."""
    return msgspec.structs.replace(announcement, sequence=sequence)
