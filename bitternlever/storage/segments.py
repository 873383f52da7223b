"""Segment files of a replication group's log: open, append, start the next, delete.

The next segment starts in this order: it is created and synced, then its folder entry;
then an end record with its number is synced in the old segment; only then are writes in
the new one acknowledged. So if the segment that an end record names is missing, it was
lost, and a segment after one without an end record has no acknowledged writes.
"""

import dataclasses
import os
import pathlib

from bitternlever.messages import consensus
from bitternlever.storage import files, framing, identity

SEGMENT_BYTES = 8_388_608


@dataclasses.dataclass(slots=True)
class GroupFiles:
    """The open segment of a group and the state that its next segment must repeat.

    ``segment`` is the number of the open segment, ``size`` its bytes, and ``sequence``
    counts the frames written since the group was opened. ``last_index`` is the highest
    index that was ever in a segment.
    """

    folder: pathlib.Path
    number: int
    descriptor: int
    size: int
    sequence: int
    segment: int
    hard_state: consensus.HardState | None = None
    snapshot_index: int = 0
    last_index: int = 0
    last_index_by_segment: dict[int, int] = dataclasses.field(default_factory=dict)


def open_group(data_folder: pathlib.Path, number: int) -> GroupFiles:
    """Open a group in a new segment; ``store.load`` must have accepted the folder."""
    folder = files.group_folder(data_folder, number)
    folder.mkdir(parents=True, exist_ok=True)
    files.sync(data_folder)
    for unfinished in folder.glob("*" + files.TEMPORARY_SUFFIX):
        unfinished.unlink()
    group = GroupFiles(
        folder=folder,
        number=number,
        descriptor=-1,
        size=0,
        sequence=0,
        segment=0,
    )
    for segment, path in files.numbered_files(folder, files.SEGMENT_SUFFIX):
        _load_segment(group, segment, path)
    if group.segment > 0:
        path = _segment_path(group, group.segment)
        group.descriptor = os.open(path, os.O_WRONLY | os.O_APPEND)
    start_next_segment(group)
    identity.register_group(data_folder, number)
    return group


def _load_segment(group: GroupFiles, segment: int, path: pathlib.Path) -> None:
    """Read the state of an older segment that new segments must repeat."""
    group.segment = segment
    group.last_index_by_segment[segment] = 0
    for payload in framing.scan(path.read_bytes(), group.number).payloads:
        record = files.decode(payload)
        if isinstance(record, files.SegmentEnded):
            continue
        if record.hard_state is not None:
            group.hard_state = record.hard_state
        if isinstance(record, files.SegmentStarted):
            group.snapshot_index = record.snapshot_index
            group.last_index = max(group.last_index, record.last_index)
        else:
            _track_last_index(group, record.entries)


def _segment_path(group: GroupFiles, segment: int) -> pathlib.Path:
    return files.numbered_path(group.folder, segment, files.SEGMENT_SUFFIX)


def _track_last_index(group: GroupFiles, entries: list[consensus.LogEntry]) -> None:
    if not entries:
        return
    last = entries[-1].index
    previous = group.last_index_by_segment[group.segment]
    group.last_index_by_segment[group.segment] = max(previous, last)
    group.last_index = max(group.last_index, last)


def start_next_segment(group: GroupFiles) -> None:
    """Create the next segment, then write the end record of the open one."""
    previous_descriptor = group.descriptor
    group.segment += 1
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND
    group.descriptor = os.open(_segment_path(group, group.segment), flags, 0o600)
    group.size = 0
    group.last_index_by_segment[group.segment] = 0
    record = files.SegmentStarted(
        number=group.segment,
        snapshot_index=group.snapshot_index,
        hard_state=group.hard_state,
        last_index=group.last_index,
    )
    _append_synced(group, group.descriptor, record)
    files.sync(group.folder)
    if previous_descriptor >= 0:
        _append_synced(
            group, previous_descriptor, files.SegmentEnded(next_segment=group.segment)
        )
        os.close(previous_descriptor)


def append(group: GroupFiles, record: files.LogWritten) -> None:
    """Append and sync one record; start the next segment if the open one is full."""
    if group.size >= SEGMENT_BYTES:
        start_next_segment(group)
    _track_last_index(group, record.entries)
    group.size += _append_synced(group, group.descriptor, record)


def _append_synced(group: GroupFiles, descriptor: int, record: files.Record) -> int:
    group.sequence += 1
    payload = files.encode(record)
    frame = framing.encode(group.number, group.sequence, payload)
    files.write_all(descriptor, frame)
    os.fsync(descriptor)
    return len(frame)


def delete_covered_files(group: GroupFiles) -> None:
    """Delete older snapshots and the leading segments that the snapshot covers.

    The folder is synced after each segment, so that the deletions become durable in
    order: a crash must not restore an older segment without the ones after it.
    """
    for number, path in files.numbered_files(group.folder, files.SNAPSHOT_SUFFIX):
        if number < group.snapshot_index:
            path.unlink()
    for segment, path in files.numbered_files(group.folder, files.SEGMENT_SUFFIX):
        covered = group.last_index_by_segment.get(segment, 0) <= group.snapshot_index
        if segment == group.segment or not covered:
            break
        path.unlink()
        group.last_index_by_segment.pop(segment, None)
        files.sync(group.folder)
    files.sync(group.folder)
