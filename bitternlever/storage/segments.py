"""Segments of a group: opened, appended to, followed by the next, and dropped.

A segment is followed in this order: the next one is created and synced, then its name;
then a mark with its number is synced at the end of the old one; only then is anything
promised in it. So a marked segment without its follower has lost it, and an unmarked
one may be followed only by one that promises nothing yet.
"""

import dataclasses
import os
import pathlib

from bitternlever.messages import consensus
from bitternlever.storage import files, framing, identity

SEGMENT_BYTES = 8_388_608


@dataclasses.dataclass(slots=True)
class GroupFiles:
    """The open segment of a group and what its next segment must repeat.

    ``last_index`` is the highest index that any segment ever held.
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
    last_indexes: dict[int, int] = dataclasses.field(default_factory=dict)


def open_group(data_folder: pathlib.Path, number: int) -> GroupFiles:
    """Open a group behind what it holds; ``store.load`` must have accepted that."""
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
    for segment, path in files.numbered(folder, files.SEGMENT_SUFFIX):
        _learn(group, segment, path)
    if group.segment > 0:
        path = _path(group, group.segment)
        group.descriptor = os.open(path, os.O_WRONLY | os.O_APPEND)
    start_next(group)
    identity.found_group(data_folder, number)
    return group


def _learn(group: GroupFiles, segment: int, path: pathlib.Path) -> None:
    """Read what an old segment tells, so that new ones may repeat it."""
    group.segment = segment
    group.last_indexes[segment] = 0
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
            _count(group, record.entries)


def _path(group: GroupFiles, segment: int) -> pathlib.Path:
    return files.numbered_path(group.folder, segment, files.SEGMENT_SUFFIX)


def _count(group: GroupFiles, entries: list[consensus.LogEntry]) -> None:
    if not entries:
        return
    last = entries[-1].index
    known = group.last_indexes[group.segment]
    group.last_indexes[group.segment] = max(known, last)
    group.last_index = max(group.last_index, last)


def start_next(group: GroupFiles) -> None:
    """Create the next segment, then mark the open one as followed by it."""
    followed = group.descriptor
    group.segment += 1
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND
    group.descriptor = os.open(_path(group, group.segment), flags, 0o600)
    group.size = 0
    group.last_indexes[group.segment] = 0
    record = files.SegmentStarted(
        number=group.segment,
        snapshot_index=group.snapshot_index,
        hard_state=group.hard_state,
        last_index=group.last_index,
    )
    _append_synced(group, group.descriptor, record)
    files.sync(group.folder)
    if followed >= 0:
        _append_synced(group, followed, files.SegmentEnded(following=group.segment))
        os.close(followed)


def append(group: GroupFiles, record: files.LogWritten) -> None:
    """Write and sync one record, in the next segment if the open one is full."""
    if group.size >= SEGMENT_BYTES:
        start_next(group)
    _count(group, record.entries)
    group.size += _append_synced(group, group.descriptor, record)


def _append_synced(group: GroupFiles, descriptor: int, record: files.Record) -> int:
    group.sequence += 1
    payload = files.encode(record)
    frame = framing.encode(group.number, group.sequence, payload)
    files.write_all(descriptor, frame)
    os.fsync(descriptor)
    return len(frame)


def drop_covered(group: GroupFiles) -> None:
    """Drop older snapshots, and the leading segments that the snapshot covers.

    The folder is synced after each segment: a crash must not bring an older one back
    without the ones behind it.
    """
    for number, path in files.numbered(group.folder, files.SNAPSHOT_SUFFIX):
        if number < group.snapshot_index:
            path.unlink()
    for segment, path in files.numbered(group.folder, files.SEGMENT_SUFFIX):
        covered = group.last_indexes.get(segment, 0) <= group.snapshot_index
        if segment == group.segment or not covered:
            break
        path.unlink()
        group.last_indexes.pop(segment, None)
        files.sync(group.folder)
    files.sync(group.folder)
