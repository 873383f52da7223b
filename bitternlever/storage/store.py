"""Load a data folder at the start of a process.

A torn write at the end of the newest segment is truncated, and a segment whose creation
a crash interrupted is deleted: nothing in either was acknowledged. Any other damage or
a missing file is refused: the replica must then be replaced, with an empty folder.

Files are synced before they are read: a killed process may have left unsynced data, and
the new process relies on all data that it read.
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

Loaded = result.Result[restored.RestoredState, restored.StorageFault]


class DamagedError(Exception):
    """The folder is damaged; ``load`` returns this error as a ``StorageFault``."""


@dataclasses.dataclass(slots=True)
class Segment:
    """A segment as read from disk: its valid records and where damage begins."""

    number: int
    path: pathlib.Path
    scan: framing.Scan
    records: list[files.Record]


def load(folder: pathlib.Path | str) -> Loaded:
    """Return the state of the folder; an empty folder gets a new disk id."""
    folder = pathlib.Path(folder)
    try:
        disk_identity = _load_identity(folder)
        files.sync(folder)
        restored_state = restored.RestoredState(disk=disk_identity.disk)
        for number in sorted({*disk_identity.groups, *_group_numbers(folder)}):
            registered = number in disk_identity.groups
            restored_state.groups[number] = _load_group(
                folder, number, registered=registered
            )
    except (DamagedError, OSError, msgspec.DecodeError, ValueError) as error:
        reason = f"data folder {folder}: {error}; {REMEDY}"
        return result.Err(restored.StorageFault(reason=reason))
    return result.Ok(restored_state)


def _load_identity(folder: pathlib.Path) -> identity.Identity:
    folder.mkdir(parents=True, exist_ok=True)
    if (folder / files.IDENTITY_NAME).exists():
        return identity.read(folder)
    if _group_numbers(folder):
        raise DamagedError(
            f"{files.IDENTITY_NAME} is missing although the folder has groups"
        )
    return identity.create(folder)


def _group_numbers(folder: pathlib.Path) -> list[int]:
    paths = folder.glob("group-*")
    return [int(path.name.removeprefix("group-")) for path in paths]


def _load_group(
    data_folder: pathlib.Path,
    number: int,
    *,
    registered: bool,
) -> restored.Group:
    folder = files.group_folder(data_folder, number)
    if folder.exists():
        files.sync(folder)
    group = restored.Group(snapshot=_load_snapshot(folder, number))
    segments = [
        _read_segment(path, segment, number)
        for segment, path in files.numbered_files(folder, files.SEGMENT_SUFFIX)
    ]
    if _creation_was_interrupted(segments, registered=registered):
        segments.pop().path.unlink()
        files.sync(folder)
    if not registered and not segments and group.snapshot is None:
        return group
    if not registered:
        raise DamagedError(f"{files.IDENTITY_NAME} does not list group {number}")
    _check_segments(segments, group.snapshot, number)
    _truncate_torn_write(segments[-1])
    entries: dict[int, consensus.LogEntry] = {}
    for segment in segments:
        for record in segment.records:
            _replay(group, entries, record)
    _set_entries(group, entries)
    return group


def _read_segment(path: pathlib.Path, segment: int, number: int) -> Segment:
    files.sync(path)
    scan = framing.scan(path.read_bytes(), number)
    records = [files.decode(payload) for payload in scan.payloads]
    return Segment(number=segment, path=path, scan=scan, records=records)


def _creation_was_interrupted(segments: list[Segment], *, registered: bool) -> bool:
    """Return whether a crash interrupted the creation of the newest segment.

    Nothing in it was acknowledged, and the state that it repeats is still in the
    previous segment.
    """
    if not segments:
        return False
    newest = segments[-1]
    if newest.scan.valid_frame_follows or not _has_at_most_start_record(newest):
        return False
    if len(segments) == 1:
        return not registered and newest.number == 1
    previous = segments[-2]
    return previous.number == newest.number - 1 and not _has_end_record(previous)


def _has_at_most_start_record(segment: Segment) -> bool:
    if not segment.records:
        return True
    first, *later = segment.records
    return isinstance(first, files.SegmentStarted) and not later


def _has_end_record(segment: Segment) -> bool:
    return bool(segment.records) and isinstance(segment.records[-1], files.SegmentEnded)


def _check_segments(
    segments: list[Segment],
    snapshot: restored.Snapshot | None,
    number: int,
) -> None:
    """Check that each segment is valid and that none is missing."""
    if not segments:
        raise DamagedError(f"all segments of group {number} are missing")
    for segment in segments:
        _check_segment(segment, number, newest=segment is segments[-1])
    for previous, segment in itertools.pairwise(segments):
        if (
            not _has_end_record(previous)
            or previous.records[-1].next_segment != segment.number
        ):
            name = previous.path.name
            raise DamagedError(f"group {number} lacks the segment after {name}")
    if _has_end_record(segments[-1]):
        name = segments[-1].path.name
        raise DamagedError(f"group {number} lacks the segment after {name}")
    snapshot_index = 0 if snapshot is None else snapshot.last_index
    if segments[-1].records[0].snapshot_index > snapshot_index:
        raise DamagedError(f"group {number} lacks its newest snapshot")
    if segments[0].records[0].last_index > snapshot_index:
        name = segments[0].path.name
        raise DamagedError(f"group {number} lacks the segment before {name}")


def _check_segment(segment: Segment, number: int, *, newest: bool) -> None:
    scan, name = segment.scan, segment.path.name
    if scan.damaged and (scan.valid_frame_follows or not newest):
        raise DamagedError(
            f"segment {name} of group {number} is damaged at byte {scan.valid_end}",
        )
    first = segment.records[0] if segment.records else None
    if not isinstance(first, files.SegmentStarted) or first.number != segment.number:
        raise DamagedError(f"segment {name} of group {number} has no start record")


def _truncate_torn_write(segment: Segment) -> None:
    if not segment.scan.damaged:
        return
    with segment.path.open("r+b") as file:
        file.truncate(segment.scan.valid_end)
        os.fsync(file.fileno())


def _load_snapshot(folder: pathlib.Path, number: int) -> restored.Snapshot | None:
    snapshots = files.numbered_files(folder, files.SNAPSHOT_SUFFIX)
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
        for index in [
            entry_index
            for entry_index in entries
            if entry_index >= record.truncate_from
        ]:
            del entries[index]
    for entry in record.entries:
        entries[entry.index] = entry


def _set_entries(
    group: restored.Group,
    entries: dict[int, consensus.LogEntry],
) -> None:
    """Store the entries after the snapshot; raise if one is missing."""
    snapshot_index = 0 if group.snapshot is None else group.snapshot.last_index
    expected = snapshot_index + 1
    for index in sorted(
        entry_index for entry_index in entries if entry_index > snapshot_index
    ):
        if index != expected:
            raise DamagedError(f"entry {expected} is missing before entry {index}")
        group.entries.append(entries[index])
        expected += 1
