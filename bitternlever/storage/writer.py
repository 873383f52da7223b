"""The thread that writes and syncs; queued log writes of a group share one sync.

After the first failed write or sync nothing more is written: the system may have
dropped the data that it failed to sync, so a later sync that succeeds proves nothing.
"""

import dataclasses
import os
import pathlib
import queue
import threading
from collections.abc import Callable
from typing import Any

from bitternlever.messages import consensus
from bitternlever.storage import files, framing, segments

MAXIMUM_BATCH = 256
STOP_TIMEOUT_S = 5.0

OnEvent = Callable[[Any], None]


@dataclasses.dataclass(slots=True)
class Writer:
    """The writer thread; ``submitted`` is its queue, in which None ends the thread."""

    folder: pathlib.Path
    on_event: OnEvent
    submitted: queue.SimpleQueue
    thread: threading.Thread | None = None
    groups: dict[int, segments.GroupFiles] = dataclasses.field(default_factory=dict)
    failed: str | None = None


def start(folder: pathlib.Path | str, on_event: OnEvent) -> Writer:
    """Start the thread, which calls ``on_event`` for each finished write.

    ``store.load`` must have accepted the folder, since it repairs it after a crash.
    """
    writer = Writer(
        folder=pathlib.Path(folder),
        on_event=on_event,
        submitted=queue.SimpleQueue(),
    )
    writer.thread = threading.Thread(
        target=_run_writer,
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
    """Queue one write; the core limits the number of queued writes."""
    writer.submitted.put(message)


def stop(writer: Writer) -> None:
    """Finish the submitted writes and end the thread."""
    writer.submitted.put(None)
    writer.thread.join(STOP_TIMEOUT_S)


def _run_writer(writer: Writer) -> None:
    running = True
    while running:
        batch = [writer.submitted.get()]
        while len(batch) < MAXIMUM_BATCH and not writer.submitted.empty():
            batch.append(writer.submitted.get())
        if None in batch:
            batch = batch[: batch.index(None)]
            running = False
        _write_batch(writer, batch)
        batch.clear()  # Frees a snapshot's memory before a possibly long wait.
    for group in writer.groups.values():
        os.close(group.descriptor)


def _write_batch(writer: Writer, batch: list) -> None:
    for run in _split_into_runs(batch):
        if writer.failed is None:
            try:
                _write_run(writer, run)
            except (OSError, ValueError) as error:
                writer.failed = f"write failed: {error}"
        for message in run:
            writer.on_event(_completion_event(writer, message))


def _split_into_runs(batch: list) -> list[list]:
    """Split a batch into runs of log writes; each snapshot is a run of its own."""
    runs = []
    for message in batch:
        is_log = isinstance(message, consensus.WriteLog)
        if is_log and runs and isinstance(runs[-1][-1], consensus.WriteLog):
            runs[-1].append(message)
        else:
            runs.append([message])
    return runs


def _completion_event(writer: Writer, message: Any) -> Any:
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
        _write_snapshot(_group_files(writer, run[0].group), run[0])
        return
    by_group: dict[int, list[consensus.WriteLog]] = {}
    for message in run:
        by_group.setdefault(message.group, []).append(message)
    for number, messages in by_group.items():
        _write_log(_group_files(writer, number), messages)


def _group_files(writer: Writer, number: int) -> segments.GroupFiles:
    if number not in writer.groups:
        writer.groups[number] = segments.open_group(writer.folder, number)
    return writer.groups[number]


def _write_log(group: segments.GroupFiles, messages: list[consensus.WriteLog]) -> None:
    """Append all writes of one group in one frame with one sync."""
    pending: list[consensus.LogEntry] = []
    truncate_from = None
    for message in messages:
        if message.truncate_from is not None:
            kept = [entry for entry in pending if entry.index < message.truncate_from]
            pending = kept
            if truncate_from is None or message.truncate_from < truncate_from:
                truncate_from = message.truncate_from
        pending.extend(message.entries)
        if message.hard_state is not None:
            group.hard_state = message.hard_state
    record = files.LogWritten(
        truncate_from=truncate_from,
        entries=pending,
        hard_state=group.hard_state,
    )
    segments.append(group, record)


def _write_snapshot(
    group: segments.GroupFiles, message: consensus.WriteSnapshot
) -> None:
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
        framing.frame_header(group.number, 2, message.data),
        message.data,
    )
    group.snapshot_index = message.last_index
    segments.start_next_segment(group)
    segments.delete_covered_files(group)
