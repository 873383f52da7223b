"""Load a data folder at the start of a process.

A torn end of the newest segment is cut off, and a segment whose beginning a crash
interrupted is dropped: nothing was promised in either. Damage anywhere else and a
missing file are refused: the replica must then be replaced by one with an empty folder.

All that is read is synced first: a killed process may have left what it never synced,
and the next one speaks for what it read.
"""

import dataclasses
import itertools
import os
import pathlib

import msgspec
import result

from bitternlever.messages import consensus
from bitternlever.storage import files, framing, identity, restored

REMEDY = "move the folder away, start with an empty one and replace the replica"

Loaded = result.Result[restored.Restored, restored.StorageFault]


class DamagedError(Exception):
    """Part of the folder cannot be trusted; ``load`` returns it as a value."""


@dataclasses.dataclass(slots=True)
class Segment:
    """A segment as it was found: its sound records and where damage begins."""

    number: int
    path: pathlib.Path
    scan: framing.Scan
    records: list[files.Record]


def load(folder: pathlib.Path | str) -> Loaded:
    """Return what the folder holds; an empty folder gets a new disk id."""
    folder = pathlib.Path(folder)
    try:
        own = _identity(folder)
        files.sync(folder)
        held = restored.Restored(disk=own.disk)
        for number in sorted({*own.groups, *_group_numbers(folder)}):
            founded = number in own.groups
            held.groups[number] = _load_group(folder, number, founded=founded)
    except (DamagedError, OSError, msgspec.DecodeError, ValueError) as error:
        reason = f"data folder {folder}: {error}; {REMEDY}"
        return result.Err(restored.StorageFault(reason=reason))
    return result.Ok(held)


def _identity(folder: pathlib.Path) -> identity.Identity:
    folder.mkdir(parents=True, exist_ok=True)
    if (folder / files.IDENTITY_NAME).exists():
        return identity.read(folder)
    if _group_numbers(folder):
        raise DamagedError(f"{files.IDENTITY_NAME} is missing beside groups")
    return identity.create(folder)


def _group_numbers(folder: pathlib.Path) -> list[int]:
    paths = folder.glob("group-*")
    return [int(path.name.removeprefix("group-")) for path in paths]


def _load_group(
    data_folder: pathlib.Path,
    number: int,
    *,
    founded: bool,
) -> restored.Group:
    folder = files.group_folder(data_folder, number)
    if folder.exists():
        files.sync(folder)
    group = restored.Group(snapshot=_load_snapshot(folder, number))
    segments = [
        _read_segment(path, segment, number)
        for segment, path in files.numbered(folder, files.SEGMENT_SUFFIX)
    ]
    if _begins_nothing(segments, founded=founded):
        segments.pop().path.unlink()
        files.sync(folder)
    if not founded and not segments and group.snapshot is None:
        return group
    if not founded:
        raise DamagedError(f"{files.IDENTITY_NAME} does not name group {number}")
    _check_segments(segments, group.snapshot, number)
    _cut_torn_end(segments[-1])
    entries: dict[int, consensus.LogEntry] = {}
    for segment in segments:
        for record in segment.records:
            _replay(group, entries, record)
    _take_entries(group, entries)
    return group


def _read_segment(path: pathlib.Path, segment: int, number: int) -> Segment:
    files.sync(path)
    scan = framing.scan(path.read_bytes(), number)
    records = [files.decode(payload) for payload in scan.payloads]
    return Segment(number=segment, path=path, scan=scan, records=records)


def _begins_nothing(segments: list[Segment], *, founded: bool) -> bool:
    """Tell whether a crash left a newest segment in which nothing was promised yet.

    What it repeats from older segments still stands in the one before it.
    """
    if not segments:
        return False
    newest = segments[-1]
    if newest.scan.sound_after or not _holds_at_most_its_beginning(newest):
        return False
    if len(segments) == 1:
        return not founded and newest.number == 1
    before = segments[-2]
    return before.number == newest.number - 1 and not _is_marked(before)


def _holds_at_most_its_beginning(segment: Segment) -> bool:
    if not segment.records:
        return True
    first, *later = segment.records
    return isinstance(first, files.SegmentStarted) and not later


def _is_marked(segment: Segment) -> bool:
    return bool(segment.records) and isinstance(segment.records[-1], files.SegmentEnded)


def _check_segments(
    segments: list[Segment],
    snapshot: restored.Snapshot | None,
    number: int,
) -> None:
    """Check that each segment stands, follows the one before and misses none."""
    if not segments:
        raise DamagedError(f"all segments of group {number} are missing")
    for segment in segments:
        _check_segment(segment, number, newest=segment is segments[-1])
    for before, segment in itertools.pairwise(segments):
        if not _is_marked(before) or before.records[-1].following != segment.number:
            name = before.path.name
            raise DamagedError(f"group {number} misses the segment after {name}")
    if _is_marked(segments[-1]):
        name = segments[-1].path.name
        raise DamagedError(f"group {number} misses the segment after {name}")
    base = 0 if snapshot is None else snapshot.last_index
    if segments[-1].records[0].snapshot_index > base:
        raise DamagedError(f"group {number} misses its newest snapshot")
    if segments[0].records[0].last_index > base:
        name = segments[0].path.name
        raise DamagedError(f"group {number} misses the segment before {name}")


def _check_segment(segment: Segment, number: int, *, newest: bool) -> None:
    scan, name = segment.scan, segment.path.name
    if scan.damaged and (scan.sound_after or not newest):
        raise DamagedError(
            f"segment {name} of group {number} is damaged at byte {scan.end}",
        )
    first = segment.records[0] if segment.records else None
    if not isinstance(first, files.SegmentStarted) or first.number != segment.number:
        raise DamagedError(f"segment {name} of group {number} misses its beginning")


def _cut_torn_end(segment: Segment) -> None:
    if not segment.scan.damaged:
        return
    with segment.path.open("r+b") as file:
        file.truncate(segment.scan.end)
        os.fsync(file.fileno())


def _load_snapshot(folder: pathlib.Path, number: int) -> restored.Snapshot | None:
    snapshots = files.numbered(folder, files.SNAPSHOT_SUFFIX)
    if not snapshots:
        return None
    path = snapshots[-1][1]
    scan = framing.scan(path.read_bytes(), number)
    if scan.damaged or len(scan.payloads) != 2:
        raise DamagedError(f"snapshot {path.name} of group {number} is damaged")
    header = files.decode(scan.payloads[0])
    return restored.Snapshot(
        last_index=header.last_index,
        last_term=header.last_term,
        membership=header.membership,
        data=scan.payloads[1],
    )


def _replay(
    group: restored.Group,
    entries: dict[int, consensus.LogEntry],
    record: files.Record,
) -> None:
    if isinstance(record, files.SegmentEnded):
        return
    if record.hard_state is not None:
        group.hard_state = record.hard_state
    if isinstance(record, files.SegmentStarted):
        return
    if record.truncate_from is not None:
        for index in [each for each in entries if each >= record.truncate_from]:
            del entries[index]
    for entry in record.entries:
        entries[entry.index] = entry


def _take_entries(
    group: restored.Group,
    entries: dict[int, consensus.LogEntry],
) -> None:
    """Keep the entries behind the snapshot; they must follow without a gap."""
    base = 0 if group.snapshot is None else group.snapshot.last_index
    expected = base + 1
    for index in sorted(each for each in entries if each > base):
        if index != expected:
            raise DamagedError(f"entry {expected} is missing before entry {index}")
        group.entries.append(entries[index])
        expected += 1
