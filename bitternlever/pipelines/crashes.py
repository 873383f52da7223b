"""Requests that crash upstreams: known to all hosts, and refused by them.

Hosts decide with ``fleet.crash_suspects``, as control does where it follows the crashes
of a fleet, and send each other reports and records with their gossip. A request is
followed by a digest of its caller, pipeline and body, so that it is known when it is
sent again and when another host takes it over.
"""

import hashlib

import msgspec

from bitternlever.entry import tables as entry_tables
from bitternlever.fleet import crash_suspects, quarantine
from bitternlever.messages import fleet, gossip
from bitternlever.pipelines import tables as pipeline_tables

DIGEST_DIGITS = 24

REPORT_AGE_S = 15.0
"""Reports are sent with each gossip for this time; all peers know them by then."""

MAXIMUM_REPORTS = 32
"""Bounds a gossip message, to about 5 KB of reports."""

MAXIMUM_SOUND = 2_048
"""Bounds memory; a request that was answered before needs more crashes."""


def name(workspace: str, pipeline: str, digest: str) -> str:
    """Return the name that a request and its repeats have in common."""
    text = f"{workspace}\0{pipeline}\0{digest}"
    hashed = hashlib.sha256(text.encode()).hexdigest()
    return quarantine.REQUEST_PREFIX + hashed[:DIGEST_DIGITS]


def refused_for_s(
    tables: entry_tables.EntryTables, now: float, request: pipeline_tables.Request
) -> float | None:
    """Return how long a request is refused, None if it is not.

    The record is not renewed: there are no trials, so a sound request returns when it
    has lapsed.
    """
    records = tables.requests.crashes.records
    if not records:
        return None
    requested = _name_of(request)
    if not quarantine.is_quarantined(records, now, requested):
        return None
    return records[requested].lapses_s - now


def record_lost(
    tables: entry_tables.EntryTables,
    now: float,
    request: pipeline_tables.Request,
    upstream: str,
) -> None:
    """Record that a request lost the connection to an upstream that ran it."""
    crashes = tables.requests.crashes
    requested = _name_of(request)
    known = tables.membership.upstreams.get(upstream)
    sound_s = crashes.sound.get(requested)
    report = fleet.PromptCrash(
        request=request.request_id,
        upstream=upstream,
        started_ms=0 if known is None else known.announcement.incarnation,
        parts=[(requested, None if sound_s is None else now - sound_s)],
        age_s=0.0,
    )
    _add(tables, now, report)


def record_answered(
    tables: entry_tables.EntryTables, now: float, request: pipeline_tables.Request
) -> None:
    """Record that a request was answered; this releases it."""
    crashes = tables.requests.crashes
    requested = _name_of(request)
    crashes.sound[requested] = now
    crashes.sound.move_to_end(requested)
    if len(crashes.sound) > MAXIMUM_SOUND:
        crashes.sound.popitem(last=False)
    sound = fleet.SoundPart(requested, 0.0)
    if requested in crashes.evidence.suspects or requested in crashes.records:
        crash_suspects.record_sound(crashes.evidence, crashes.records, now, sound)


def reports(tables: entry_tables.EntryTables, now: float) -> list[fleet.PromptCrash]:
    """Return the crashes to send with gossip."""
    recent = tables.requests.crashes.recent
    while recent and now - recent[0][0] > REPORT_AGE_S:
        recent.popleft()
    return [
        msgspec.structs.replace(report, age_s=report.age_s + now - known_s)
        for known_s, report in recent
    ]


def records(tables: entry_tables.EntryTables, now: float) -> list[fleet.PromptPart]:
    """Return the records to send with gossip."""
    return quarantine.current(tables.requests.crashes.records, now)


def handle_gossip(
    tables: entry_tables.EntryTables, now: float, message: gossip.Gossip
) -> None:
    """Take over what a peer knows of crashes."""
    crashes = tables.requests.crashes
    for record in message.quarantine:
        quarantine.merge(crashes.records, now, record, authoritative=False)
    for report in message.crashes:
        if not _is_known(crashes, report):
            _add(tables, now, report)


def _add(
    tables: entry_tables.EntryTables, now: float, report: fleet.PromptCrash
) -> None:
    crashes = tables.requests.crashes
    crash_suspects.record_crash(crashes.evidence, now, report)
    crashes.recent.append((now, report))
    if len(crashes.recent) > MAXIMUM_REPORTS:
        crashes.recent.popleft()
    refused = crash_suspects.judge(crashes.evidence, crashes.records, now)
    if refused:
        tables.count("request_quarantined", len(refused))


def _is_known(crashes: pipeline_tables.Crashes, report: fleet.PromptCrash) -> bool:
    start = crash_suspects.start_of(report)
    return any(
        start in crashes.evidence.suspects[part].crashes
        for part, _ in report.parts
        if part in crashes.evidence.suspects
    )


def _name_of(request: pipeline_tables.Request) -> str:
    return name(request.workspace, request.pipeline.name, request.digest)
