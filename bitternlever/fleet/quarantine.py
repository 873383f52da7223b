"""Prompt parts with which requests are refused, as known to a process of the fleet.

A whole request counts as a part that only its repeats have; the name of such a part
begins with ``REQUEST_PREFIX``. Control decides which parts crash upstreams
(``fleet.crash_suspects``). Control processes and hosts send each other their records,
so that a restarted process learns them from any other. The record with the highest
revision counts: a part is quarantined with an odd one and released with the next.
"""

import dataclasses
import math

from bitternlever.messages import fleet

REQUEST_PREFIX = "request:"

LAPSE_S = 300.0
"""A part with which no request has come for this time is no longer quarantined."""

MINIMUM_SENT_S = 5.0
"""Records that lapse sooner are not sent: copies would renew each other."""

MAXIMUM_RECORDS = 128
"""Bounds memory and the size of heartbeats, to about 8 KB."""

MAXIMUM_PART_LENGTH = 128
"""Longer names are not followed; known ones have 8 to 16 characters."""


@dataclasses.dataclass(slots=True)
class Record:
    """What is known of a part; times are on the local clock.

    ``changed_s`` is when this process learned the revision, ``seen_s`` when a request
    with the part last came to this process.
    """

    revision: int
    changed_s: float
    lapses_s: float
    seen_s: float = -math.inf

    @property
    def quarantined(self) -> bool:
        """Return whether requests with the part are refused."""
        return self.revision % 2 == 1


Records = dict[str, Record]


def is_request(part: str) -> bool:
    """Return whether a part stands for a whole request."""
    return part.startswith(REQUEST_PREFIX)


def is_quarantined(records: Records, now: float, part: str) -> bool:
    """Return whether requests with a part are refused."""
    record = records.get(part)
    return record is not None and record.quarantined and now < record.lapses_s


def change(records: Records, now: float, part: str, *, quarantined: bool) -> bool:
    """Quarantine or release a part; return whether that is a change."""
    record = records.get(part)
    if (record is not None and record.quarantined) == quarantined:
        return False
    revision = 1 if record is None else record.revision + 1
    _store(records, part, Record(revision, now, now + LAPSE_S))
    return True


def merge(
    records: Records,
    now: float,
    reported: fleet.PromptPart,
    *,
    authoritative: bool,
) -> bool:
    """Merge another process's record; return whether the part's state has changed.

    Only an ``authoritative`` sender, a control process, renews a known revision.
    """
    record = records.get(reported.part)
    lapses_s = now + min(reported.left_s, LAPSE_S)
    if record is not None and reported.revision <= record.revision:
        if authoritative and reported.revision == record.revision:
            record.lapses_s = max(record.lapses_s, lapses_s)
        return False
    if len(reported.part) > MAXIMUM_PART_LENGTH:
        return False
    merged = Record(reported.revision, now, lapses_s)
    changed = merged.quarantined or record is not None
    if record is not None:
        merged.seen_s = record.seen_s
    _store(records, reported.part, merged)
    return changed


def renew(records: Records, part: str, seen_s: float) -> None:
    """Postpone the lapse of a quarantined part after a request with it."""
    record = records.get(part)
    if record is not None and record.quarantined:
        record.lapses_s = max(record.lapses_s, seen_s + LAPSE_S)


def current(records: Records, now: float) -> list[fleet.PromptPart]:
    """Return the records to send; drop those that have lapsed."""
    for part, record in list(records.items()):
        if record.lapses_s <= now:
            del records[part]
    return [
        fleet.PromptPart(
            part=part,
            revision=record.revision,
            left_s=record.lapses_s - now,
            seen_age_s=None if record.seen_s == -math.inf else now - record.seen_s,
        )
        for part, record in records.items()
        if record.lapses_s - now >= MINIMUM_SENT_S
    ]


def _store(records: Records, part: str, record: Record) -> None:
    """Store a record; if there are too many, drop the one that lapses first."""
    if part not in records and len(records) >= MAXIMUM_RECORDS:
        first = min(
            records,
            key=lambda name: (records[name].quarantined, records[name].lapses_s),
        )
        del records[first]
    records[part] = record
