"""File names, record types and synced writes of the data folder."""

import os
import pathlib

import msgspec

from bitternlever.messages import consensus

IDENTITY_NAME = "disk-id"
TEMPORARY_SUFFIX = ".tmp"
SEGMENT_SUFFIX = ".segment"
SNAPSHOT_SUFFIX = ".snapshot"
NUMBER_DIGITS = 20


class LogWritten(msgspec.Struct, tag=True, array_like=True):
    """One write of the log: a truncation, then entries, then a hard state."""

    truncate_from: int | None
    entries: list[consensus.LogEntry]
    hard_state: consensus.HardState | None


class SegmentStarted(msgspec.Struct, tag=True, array_like=True):
    """The first record of a segment; it repeats state from older segments.

    Older segments can then be deleted. The snapshot covers entries up to
    ``snapshot_index``; ``last_index`` is the highest index in older segments.
    """

    number: int
    snapshot_index: int
    hard_state: consensus.HardState | None
    last_index: int


class SegmentEnded(msgspec.Struct, tag=True, array_like=True):
    """The last record of a segment, written after the next segment is synced."""

    next_segment: int


class SnapshotHeader(msgspec.Struct, tag=True, array_like=True):
    """The first record of a snapshot file; the second is its data."""

    last_index: int
    last_term: int
    membership: consensus.Membership


Record = LogWritten | SegmentStarted | SegmentEnded | SnapshotHeader

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Record).decode


def group_folder(folder: pathlib.Path, group: int) -> pathlib.Path:
    """Return the folder of a group."""
    return folder / f"group-{group:05d}"


def numbered_files(folder: pathlib.Path, suffix: str) -> list[tuple[int, pathlib.Path]]:
    """Return the files with this suffix, sorted by their numbers."""
    numbered = [(int(path.stem), path) for path in folder.glob("*" + suffix)]
    return sorted(numbered)


def numbered_path(folder: pathlib.Path, number: int, suffix: str) -> pathlib.Path:
    """Return the path of the file with this number."""
    return folder / (str(number).zfill(NUMBER_DIGITS) + suffix)


def write_synced(path: pathlib.Path, *parts: bytes) -> None:
    """Replace a file atomically: a crash leaves the old file or the new one."""
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        for part in parts:
            write_all(descriptor, part)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(temporary, path)
    sync(path.parent)


def write_all(descriptor: int, data: bytes) -> None:
    """Write all bytes, with several calls if a write is partial."""
    view = memoryview(data)
    while view:
        written = os.write(descriptor, view)
        view = view[written:]


def sync(path: pathlib.Path) -> None:
    """Sync a file, or the entries of a folder, to disk."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
