"""The in-memory part of the log."""

from bitternlever.consensus import log as consensus_log
from bitternlever.messages import consensus


def filled(count, size=10):
    log = consensus_log.Log()
    for index in range(1, count + 1):
        kind = consensus.EntryKind.COMMAND
        consensus_log.append(log, consensus.LogEntry(1, index, kind, b"x" * size))
    return log


def test_a_kept_tail_is_bounded_in_entries_and_in_bytes():
    log = filled(20)

    assert consensus_log.tail_start(log, 15, 5, 1_000) == 11
    assert consensus_log.tail_start(log, 15, 5, 29) == 14
    assert consensus_log.tail_start(log, 15, 5, 9) == 16
    assert consensus_log.tail_start(log, 15, 500, 1_000) == 1


def test_a_piece_holds_at_least_one_entry():
    log = filled(5, size=100)

    assert [entry.index for entry in consensus_log.entries_from(log, 2, 10, 250)] == [
        2,
        3,
    ]
    assert [entry.index for entry in consensus_log.entries_from(log, 2, 10, 1)] == [2]
    assert consensus_log.entries_from(log, 6, 10, 1) == []


def test_compaction_keeps_the_term_before_the_first_entry():
    log = filled(5)

    consensus_log.compact(log, 3)

    assert (log.base_index, log.base_term, log.bytes) == (3, 1, 20)
    assert consensus_log.term_at(log, 3) == 1
    assert consensus_log.term_at(log, 2) is None
