"""The in-memory part of a group's log, after its last compaction."""

import dataclasses

from bitternlever.messages import consensus


@dataclasses.dataclass(slots=True)
class Log:
    """Entries after ``base_index``; a snapshot covers everything up to it.

    ``bytes`` is the total size of the entries' data.
    """

    base_index: int = 0
    base_term: int = 0
    entries: list[consensus.LogEntry] = dataclasses.field(default_factory=list)
    bytes: int = 0


def last_index(log: Log) -> int:
    """Return the index of the newest entry, or of the snapshot."""
    return log.base_index + len(log.entries)


def last_term(log: Log) -> int:
    """Return the term of the newest entry, or of the snapshot."""
    return log.entries[-1].term if log.entries else log.base_term


def term_at(log: Log, index: int) -> int | None:
    """Return the term at ``index``, or None if the log does not hold it."""
    if index == log.base_index:
        return log.base_term
    if index < log.base_index or index > last_index(log):
        return None
    return log.entries[index - log.base_index - 1].term


def entry_at(log: Log, index: int) -> consensus.LogEntry:
    """Return the entry at ``index``, which the log must hold."""
    return log.entries[index - log.base_index - 1]


def append(log: Log, entry: consensus.LogEntry) -> None:
    """Append the entry, which must follow the newest one."""
    if entry.index != last_index(log) + 1:
        raise AssertionError(f"entry {entry.index} does not follow the log")
    log.entries.append(entry)
    log.bytes += len(entry.data)


def truncate(log: Log, index: int) -> None:
    """Drop all entries from ``index`` on."""
    if index <= log.base_index:
        raise AssertionError(f"cannot truncate at {index}: covered by the snapshot")
    dropped = log.entries[index - log.base_index - 1 :]
    del log.entries[index - log.base_index - 1 :]
    log.bytes -= sum(len(entry.data) for entry in dropped)


def compact(log: Log, index: int) -> None:
    """Drop all entries up to ``index``, which a synced snapshot covers."""
    if index <= log.base_index:
        return
    log.base_term = entry_at(log, index).term
    dropped = log.entries[: index - log.base_index]
    del log.entries[: index - log.base_index]
    log.bytes -= sum(len(entry.data) for entry in dropped)
    log.base_index = index


def reset(log: Log, index: int, term: int) -> None:
    """Empty the log so that it starts after a snapshot that ends at ``index``."""
    log.base_index = index
    log.base_term = term
    log.entries.clear()
    log.bytes = 0


def entries_from(
    log: Log,
    index: int,
    maximum_entries: int,
    maximum_bytes: int,
) -> list[consensus.LogEntry]:
    """Return the entries from ``index`` on within both limits, at least one if any."""
    start = index - log.base_index - 1
    chosen = []
    size = 0
    for entry in log.entries[start : start + maximum_entries]:
        size += len(entry.data)
        if chosen and size > maximum_bytes:
            break
        chosen.append(entry)
    return chosen


def tail_start(log: Log, index: int, maximum_entries: int, maximum_bytes: int) -> int:
    """Return the first index of the longest tail up to ``index`` within both limits."""
    first = index + 1
    size = 0
    lowest = max(log.base_index, index - maximum_entries) + 1
    while first > lowest:
        size += len(entry_at(log, first - 1).data)
        if size > maximum_bytes:
            break
        first -= 1
    return first
