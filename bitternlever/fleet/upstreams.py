"""Latest status of each upstream, ordered by its start time and sequence number.

Control and entry hosts keep the same table. A status of an earlier start, or with a
lower sequence number, never replaces a newer one. The end of a start is final: no later
status of the same start makes it usable again. Of two upstreams at one address only the
one that started last is present; where start times are unknown, the one whose newest
status arrived last. Those of two services both count while both send heartbeats, since
one of them may have been announced by somebody else.
"""

import dataclasses
import math

import msgspec

from bitternlever.messages import fleet, integers

ENDED_RETENTION_S = 120.0
"""Longer than a heartbeat can be late, so that it can't revive an ended upstream."""

CLAIM_SILENCE_S = 2.4
"""Two heartbeats; an upstream of another service takes the address of a silent one."""

MAXIMUM_COLD_S = 10.0
"""Bounds what a single answer can claim; heartbeats repeat it meanwhile."""

MAXIMUM_UPSTREAMS = 20_000
"""Bounds memory; about thirty times the largest planned deployment."""


@dataclasses.dataclass(slots=True)
class Entry:
    """An upstream's newest status and the local time at which it was last seen.

    ``ended_s`` is the local time at which the end of its start became known;
    ``leaving`` is set if this host learned that from an answer of the upstream.
    ``superseded`` is set while another upstream holds the address; this is not final.
    ``answered_cold_until_s`` is how long its answers said that it stays cold.
    """

    status: fleet.UpstreamStatus
    last_seen_s: float
    ended_s: float | None = None
    leaving: bool = False
    superseded: bool = False
    answered_cold_until_s: float = -math.inf


@dataclasses.dataclass(slots=True)
class UpstreamTable:
    """All known upstreams by id, and the upstream at each address.

    ``stale`` counts the outdated statuses that were ignored; ``latest_end_s`` is the
    latest local time at which the end of a start became known.
    """

    entries: dict[str, Entry] = dataclasses.field(default_factory=dict)
    upstream_by_address: dict[str, str] = dataclasses.field(default_factory=dict)
    stale: int = 0
    latest_end_s: float = -math.inf


def merge_status(
    upstreams: UpstreamTable, now: float, status: fleet.UpstreamStatus
) -> bool:
    """Merge a status; return whether it changes more than the last-seen time."""
    seen_s = now - status.age_s
    known = upstreams.entries.get(status.upstream)
    if known is None:
        return _add(upstreams, now, seen_s, status)
    status = _fill_from_known(known.status, status)
    if not _is_newer(known, status):
        if _version(known.status) == _version(status) or known.ended_s is not None:
            known.last_seen_s = max(known.last_seen_s, seen_s)
        else:
            upstreams.stale += 1
        return False
    if not _claim_address(upstreams, now, status):
        upstreams.stale += 1
        return False
    changed = _without_volatile_fields(known.status) != _without_volatile_fields(status)
    if known.status.started_ms != status.started_ms:
        known.answered_cold_until_s = -math.inf
    known.status = status
    known.last_seen_s = max(known.last_seen_s, seen_s)
    known.ended_s = None
    known.leaving = False
    known.superseded = False
    if status.state is fleet.UpstreamState.GONE:
        _end(upstreams, now, known)
    return changed


def mark_leaving(upstreams: UpstreamTable, now: float, upstream: str) -> bool:
    """Record that an upstream's answer said it is leaving; return whether this is new.

    Its start counts as ended: it may still finish running work, but gets no new work.
    """
    known = upstreams.entries.get(upstream)
    if known is None or known.ended_s is not None:
        return False
    ended = msgspec.structs.replace(known.status, state=fleet.UpstreamState.GONE)
    known.status = _fill_from_known(known.status, ended)
    _end(upstreams, now, known)
    known.last_seen_s = max(known.last_seen_s, now)
    known.leaving = True
    known.superseded = False
    return True


def mark_cold(
    upstreams: UpstreamTable, now: float, upstream: str, cold_s: float
) -> bool:
    """Record that an answer said for how long its upstream stays cold.

    Return whether that is new.
    """
    known = upstreams.entries.get(upstream)
    if known is None:
        return False
    was_cold = is_cold(upstreams, now, known.status)
    known.answered_cold_until_s = now + min(cold_s, MAXIMUM_COLD_S)
    return not was_cold and is_cold(upstreams, now, known.status)


def is_cold(upstreams: UpstreamTable, now: float, status: fleet.UpstreamStatus) -> bool:
    """Return whether a start of an upstream is cold, by its heartbeats or answers."""
    known = upstreams.entries.get(status.upstream)
    if known is None or known.status.started_ms != status.started_ms:
        return status.cold_s > 0
    until_s = known.last_seen_s + known.status.cold_s
    return now < max(until_s, known.answered_cold_until_s)


def holder(upstreams: UpstreamTable, address: str) -> str | None:
    """Return the upstream that holds an address, None if no known one does."""
    return upstreams.upstream_by_address.get(address)


def ended_since(
    upstreams: UpstreamTable, since_s: float, *, leaving_only: bool
) -> list[fleet.UpstreamStatus]:
    """Return the statuses of starts whose end became known after a local time."""
    if upstreams.latest_end_s <= since_s:
        return []
    return [
        entry.status
        for entry in upstreams.entries.values()
        if entry.ended_s is not None
        and entry.ended_s > since_s
        and (entry.leaving or not leaving_only)
    ]


def ready_upstreams(upstreams: UpstreamTable, service: str) -> list[Entry]:
    """Return the upstreams of a service whose status is ready."""
    return [
        entry
        for entry in upstreams.entries.values()
        if entry.status.service == service
        and entry.status.state is fleet.UpstreamState.READY
    ]


def remove_expired(upstreams: UpstreamTable, now: float) -> None:
    """Drop upstreams not seen for the retention time."""
    ended = [
        upstream
        for upstream, entry in upstreams.entries.items()
        if now - entry.last_seen_s > ENDED_RETENTION_S
    ]
    for upstream in ended:
        address = upstreams.entries.pop(upstream).status.address
        if upstreams.upstream_by_address.get(address) == upstream:
            del upstreams.upstream_by_address[address]


def _add(
    upstreams: UpstreamTable,
    now: float,
    seen_s: float,
    status: fleet.UpstreamStatus,
) -> bool:
    if len(upstreams.entries) >= MAXIMUM_UPSTREAMS:
        return False
    entry = Entry(status=status, last_seen_s=seen_s)
    if not _claim_address(upstreams, now, status):
        entry.superseded = True
        entry.status = msgspec.structs.replace(status, state=fleet.UpstreamState.GONE)
    elif status.state is fleet.UpstreamState.GONE:
        _end(upstreams, now, entry)
    upstreams.entries[status.upstream] = entry
    return True


def _end(upstreams: UpstreamTable, now: float, entry: Entry) -> None:
    entry.ended_s = now
    upstreams.latest_end_s = now


def _fill_from_known(
    known: fleet.UpstreamStatus, status: fleet.UpstreamStatus
) -> fleet.UpstreamStatus:
    """Fill in the fields that the status of an ended upstream leaves out."""
    if status.state is not fleet.UpstreamState.GONE:
        return status
    started_ms = status.started_ms or known.started_ms
    sequence = status.sequence
    if started_ms == known.started_ms:
        next_sequence = min(known.sequence + 1, integers.MAXIMUM)
        sequence = max(status.sequence, next_sequence)
    return msgspec.structs.replace(
        known,
        state=fleet.UpstreamState.GONE,
        started_ms=started_ms,
        sequence=sequence,
    )


def _version(status: fleet.UpstreamStatus) -> tuple[int, int]:
    return status.started_ms, status.sequence


def _is_newer(known: Entry, status: fleet.UpstreamStatus) -> bool:
    """Return whether a status is newer; the end of a start is final."""
    if known.ended_s is not None and status.started_ms <= known.status.started_ms:
        return False
    return _version(status) > _version(known.status)


def _without_volatile_fields(status: fleet.UpstreamStatus) -> fleet.UpstreamStatus:
    """Clear the fields that differ in each heartbeat; keep whether it is cold."""
    return msgspec.structs.replace(
        status, sequence=0, age_s=0.0, cold_s=float(status.cold_s > 0)
    )


def _claim_address(
    upstreams: UpstreamTable, now: float, status: fleet.UpstreamStatus
) -> bool:
    """Claim an address; return False if an upstream that started later holds it."""
    if not status.address or status.state is fleet.UpstreamState.GONE:
        return True
    current = upstreams.entries.get(holder(upstreams, status.address) or "")
    if current is not None and current.status.upstream != status.upstream:
        is_alive = now - current.last_seen_s < CLAIM_SILENCE_S
        if (
            current.status.service != status.service
            and is_alive
            and current.ended_s is None
        ):
            return True
        if current.status.started_ms > status.started_ms:
            return False
        if current.status.address == status.address and current.ended_s is None:
            current.superseded = True
            current.status = msgspec.structs.replace(
                current.status,
                state=fleet.UpstreamState.GONE,
            )
    upstreams.upstream_by_address[status.address] = status.upstream
    return True
