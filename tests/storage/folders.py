"""Helpers that write and load data folders in tests."""

import queue

from bitternlever.messages import consensus
from bitternlever.storage import files, store, writer

EVENT_TIMEOUT_S = 10.0
MEMBERSHIP = consensus.Membership(voters=[consensus.ReplicaId("control-a", "1")])


def entry(index, term=1):
    """Return one entry of a log."""
    return consensus.LogEntry(term, index, consensus.EntryKind.COMMAND, b"x" * 50)


def log_write(write_id, entries, truncate_from=None, hard_state=None):
    """Return one write of group 0."""
    return consensus.WriteLog(0, write_id, truncate_from, entries, hard_state)


def write(folder, *messages, on_event=lambda event: None):
    """Write each message on its own and return the writer's events."""
    events = queue.SimpleQueue()

    def handle_event(event):
        on_event(event)
        events.put(event)

    started_writer = writer.start(folder, handle_event)
    received = []
    for message in messages:
        writer.submit(started_writer, message)
        received.append(events.get(timeout=EVENT_TIMEOUT_S))
    writer.stop(started_writer)
    return received


def load(folder):
    """Return the state of a folder, which must be valid."""
    loaded = store.load(folder)
    assert loaded.is_ok(), loaded
    return loaded.ok()


def segments(folder):
    """Return the segments of group 0, the oldest first."""
    return [
        path
        for _, path in files.numbered_files(files.group_folder(folder, 0), ".segment")
    ]
