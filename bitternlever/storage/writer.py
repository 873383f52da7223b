"""The thread that writes and syncs, with one sync for all writes that wait.

After the first failed write or sync nothing more is written: the system may have
dropped the data that it failed to sync, so trying again proves nothing.
"""

import dataclasses
import os
import pathlib
import queue
import threading
from collections.abc import Callable
from typing import Any

from bitternlever.messages import consensus
from bitternlever.storage import files, framing

SEGMENT_BYTES = 8_388_608
MAXIMUM_BATCH = 256
STOP_TIMEOUT_S = 5.0

OnEvent = Callable[[Any], None]


@dataclasses.dataclass(slots=True)
class GroupFiles:
    """The open segment of a group and what its next segment must repeat."""

    folder: pathlib.Path
    number: int
    descriptor: int
    size: int
    sequence: int
    segment: int
    hard_state: consensus.HardState | None = None
    snapshot_index: int = 0
    last_indexes: dict[int, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Writer:
    """The writer thread; ``submitted`` waits for it, None ends it."""

    folder: pathlib.Path
    on_event: OnEvent
    submitted: queue.SimpleQueue
    thread: threading.Thread | None = None
    groups: dict[int, GroupFiles] = dataclasses.field(default_factory=dict)
    failed: str | None = None


def start(folder: pathlib.Path | str, on_event: OnEvent) -> Writer:
    """Start the thread; ``on_event`` is called on it for each finished write."""
    writer = Writer(
        folder=pathlib.Path(folder),
        on_event=on_event,
        submitted=queue.SimpleQueue(),
    )
    writer.thread = threading.Thread(
        target=_work,
        args=(writer,),
        name="storage-writer",
        daemon=True,
    )
    writer.thread.start()
    return writer


def submit(
    writer: Writer,
    message: consensus.WriteLog | consensus.WriteSnapshot,
) -> None:
    """Hand over one write; the core's bounds keep the queue short."""
    writer.submitted.put(message)


def stop(writer: Writer) -> None:
    """Finish what was submitted and end the thread."""
    writer.submitted.put(None)
    writer.thread.join(STOP_TIMEOUT_S)


def _work(writer: Writer) -> None:
    going = True
    while going:
        batch = [writer.submitted.get()]
        while len(batch) < MAXIMUM_BATCH and not writer.submitted.empty():
            batch.append(writer.submitted.get())
        if None in batch:
            batch = batch[: batch.index(None)]
            going = False
        _write_batch(writer, batch)
        batch.clear()  # The thread may wait long with a snapshot in its hands.
    for group in writer.groups.values():
        os.close(group.descriptor)


def _write_batch(writer: Writer, batch: list) -> None:
    for run in _runs(batch):
        if writer.failed is None:
            try:
                _write_run(writer, run)
            except OSError as error:
                writer.failed = f"write failed: {error}"
        for message in run:
            writer.on_event(_event(writer, message))


def _runs(batch: list) -> list[list]:
    """Split a batch into runs of log writes; each snapshot stands alone."""
    runs = []
    for message in batch:
        is_log = isinstance(message, consensus.WriteLog)
        if is_log and runs and isinstance(runs[-1][-1], consensus.WriteLog):
            runs[-1].append(message)
        else:
            runs.append([message])
    return runs


def _event(writer: Writer, message: Any) -> Any:
    if writer.failed is not None:
        return consensus.DiskFailed(group=message.group, reason=writer.failed)
    if isinstance(message, consensus.WriteLog):
        return consensus.LogSynced(group=message.group, write_id=message.write_id)
    return consensus.SnapshotSynced(
        group=message.group,
        write_id=message.write_id,
        last_index=message.last_index,
    )


def _write_run(writer: Writer, run: list) -> None:
    if isinstance(run[0], consensus.WriteSnapshot):
        _write_snapshot(_group(writer, run[0].group), run[0])
        return
    by_group: dict[int, list[consensus.WriteLog]] = {}
    for message in run:
        by_group.setdefault(message.group, []).append(message)
    for number, messages in by_group.items():
        _write_log(_group(writer, number), messages)


def _group(writer: Writer, number: int) -> GroupFiles:
    group = writer.groups.get(number)
    if group is not None:
        return group
    folder = files.group_folder(writer.folder, number)
    folder.mkdir(parents=True, exist_ok=True)
    files.sync_folder(writer.folder)
    for unfinished in folder.glob("*" + files.TEMPORARY_SUFFIX):
        unfinished.unlink()
    segments = files.numbered(folder, files.SEGMENT_SUFFIX)
    group = GroupFiles(
        folder=folder,
        number=number,
        descriptor=-1,
        size=0,
        sequence=0,
        segment=segments[-1][0] if segments else 0,
    )
    for segment, path in segments:
        _learn(group, segment, path)
    _start_segment(group)
    writer.groups[number] = group
    return group


def _learn(group: GroupFiles, segment: int, path: pathlib.Path) -> None:
    """Read what an old segment tells, so that new ones may repeat it."""
    last_index = 0
    for payload in framing.scan(path.read_bytes(), group.number).payloads:
        record = files.decode(payload)
        if record.hard_state is not None:
            group.hard_state = record.hard_state
        if isinstance(record, files.SegmentStarted):
            group.snapshot_index = record.snapshot_index
        elif record.entries:
            last_index = max(last_index, record.entries[-1].index)
    group.last_indexes[segment] = last_index


def _start_segment(group: GroupFiles) -> None:
    if group.descriptor >= 0:
        os.close(group.descriptor)
    group.segment += 1
    path = files.numbered_path(group.folder, group.segment, files.SEGMENT_SUFFIX)
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND
    group.descriptor = os.open(path, flags, 0o600)
    group.size = 0
    group.last_indexes[group.segment] = 0
    record = files.SegmentStarted(
        number=group.segment,
        snapshot_index=group.snapshot_index,
        hard_state=group.hard_state,
    )
    _append_synced(group, files.encode(record))
    files.sync_folder(group.folder)


def _append_synced(group: GroupFiles, payload: bytes) -> None:
    group.sequence += 1
    frame = framing.encode(group.number, group.sequence, payload)
    files.write_all(group.descriptor, frame)
    os.fsync(group.descriptor)
    group.size += len(frame)


def _write_log(group: GroupFiles, messages: list[consensus.WriteLog]) -> None:
    """Append all messages; consecutive appends share one frame and one sync."""
    if group.size >= SEGMENT_BYTES:
        _start_segment(group)
    pending: list[consensus.LogEntry] = []
    truncate_from = None
    for message in messages:
        if message.truncate_from is not None:
            kept = [each for each in pending if each.index < message.truncate_from]
            pending = kept
            if truncate_from is None or message.truncate_from < truncate_from:
                truncate_from = message.truncate_from
        pending.extend(message.entries)
        if message.hard_state is not None:
            group.hard_state = message.hard_state
    if pending:
        known = group.last_indexes[group.segment]
        group.last_indexes[group.segment] = max(known, pending[-1].index)
    record = files.LogWritten(
        truncate_from=truncate_from,
        entries=pending,
        hard_state=group.hard_state,
    )
    _append_synced(group, files.encode(record))


def _write_snapshot(group: GroupFiles, message: consensus.WriteSnapshot) -> None:
    header = files.SnapshotHeader(
        last_index=message.last_index,
        last_term=message.last_term,
        membership=message.membership,
    )
    path = files.numbered_path(
        group.folder,
        message.last_index,
        files.SNAPSHOT_SUFFIX,
    )
    files.write_synced(
        path,
        framing.encode(group.number, 1, files.encode(header)),
        framing.header(group.number, 2, message.data),
        message.data,
    )
    group.snapshot_index = message.last_index
    _start_segment(group)
    _drop_old_files(group, message.last_index)


def _drop_old_files(group: GroupFiles, snapshot_index: int) -> None:
    """Drop older snapshots, and the leading segments that the snapshot covers."""
    for number, path in files.numbered(group.folder, files.SNAPSHOT_SUFFIX):
        if number < snapshot_index:
            path.unlink()
    for segment, path in files.numbered(group.folder, files.SEGMENT_SUFFIX):
        covered = group.last_indexes.get(segment, 0) <= snapshot_index
        if segment == group.segment or not covered:
            break
        path.unlink()
        group.last_indexes.pop(segment, None)
    files.sync_folder(group.folder)
