"""Load a data folder at the start of a process.

A torn end of the newest segment is cut off. Damage anywhere else is refused: the
replica must then be replaced by one with an empty folder.
"""

import os
import pathlib
import secrets

import msgspec
import result

from bitternlever.messages import consensus
from bitternlever.storage import files, framing, restored

DISK_ID_BYTES = 8
REMEDY = "move the folder away, start with an empty one and replace the replica"

Loaded = result.Result[restored.Restored, restored.StorageFault]


class DamagedError(Exception):
    """Part of the folder cannot be trusted; ``load`` returns it as a value."""


def load(folder: pathlib.Path | str) -> Loaded:
    """Return what the folder holds; an empty folder gets a new disk id."""
    folder = pathlib.Path(folder)
    try:
        disk = _disk_id(folder)
        held = restored.Restored(disk=disk)
        for path in sorted(folder.glob("group-*")):
            number = int(path.name.removeprefix("group-"))
            held.groups[number] = _load_group(path, number)
    except (DamagedError, OSError, msgspec.DecodeError, ValueError) as error:
        reason = f"data folder {folder}: {error}; {REMEDY}"
        return result.Err(restored.StorageFault(reason=reason))
    return result.Ok(held)


def _disk_id(folder: pathlib.Path) -> str:
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / files.IDENTITY_NAME
    if path.exists():
        disk = path.read_text()
        if len(disk) != 2 * DISK_ID_BYTES:
            raise DamagedError(f"{files.IDENTITY_NAME} holds {disk!r}, no disk id")
        return disk
    if any(folder.glob("group-*")):
        raise DamagedError(f"{files.IDENTITY_NAME} is missing beside groups")
    disk = secrets.token_hex(DISK_ID_BYTES)
    files.write_synced(path, disk.encode())
    return disk


def _load_group(folder: pathlib.Path, number: int) -> restored.Group:
    group = restored.Group(snapshot=_load_snapshot(folder, number))
    entries: dict[int, consensus.LogEntry] = {}
    segments = files.numbered(folder, files.SEGMENT_SUFFIX)
    for position, (_, path) in enumerate(segments):
        newest = position == len(segments) - 1
        for payload in _segment_payloads(path, number, newest=newest):
            _replay(group, entries, files.decode(payload))
    _take_entries(group, entries)
    return group


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


def _segment_payloads(path: pathlib.Path, number: int, *, newest: bool) -> list[bytes]:
    scan = framing.scan(path.read_bytes(), number)
    if not scan.damaged:
        return scan.payloads
    if scan.sound_after or not newest:
        raise DamagedError(
            f"segment {path.name} of group {number} is damaged at byte {scan.end}",
        )
    with path.open("r+b") as file:
        file.truncate(scan.end)
        os.fsync(file.fileno())
    return scan.payloads


def _replay(
    group: restored.Group,
    entries: dict[int, consensus.LogEntry],
    record: files.Record,
) -> None:
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
