"""The state machine of a journal group, which applies committed commands.

Applying is deterministic: the same commands in the same order give the same state and
replies on every replica. Time advances only by committed commands.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from bitternlever.journal import answers, ownership, stages, tables as journal_tables
from bitternlever.messages import journal

READS = (journal.GetRequest, journal.GetOwned)
"""Commands that only read; a leader may answer them without a log entry."""

Apply = Callable[[journal_tables.JournalTables, Any], journal.Reply]

APPLIERS: dict[type, Apply] = {
    journal.Claim: ownership.claim,
    journal.StartStage: stages.start,
    journal.RecordProgress: stages.record_progress,
    journal.RecordResult: stages.record_result,
    journal.RecordAnswer: answers.record_answer,
    journal.Acknowledge: answers.acknowledge,
    journal.CancelRequest: answers.cancel,
    journal.TakeOver: ownership.take_over,
    journal.ReleaseRequests: ownership.release,
    journal.GetRequest: answers.get,
    journal.GetOwned: ownership.get_owned,
    journal.WithdrawRequest: answers.withdraw,
    journal.FenceHost: ownership.fence,
    journal.ExpireRequests: answers.expire,
}


def create(
    settings: journal_tables.JournalSettings | None = None,
) -> journal_tables.JournalTables:
    """Create the empty state of a journal group."""
    return journal_tables.JournalTables(
        settings=settings or journal_tables.JournalSettings(),
    )


def apply(
    tables: journal_tables.JournalTables,
    command: journal.Command,
) -> journal.Reply:
    """Apply one committed command and return its reply."""
    return APPLIERS[type(command)](tables, command)


def snapshot(tables: journal_tables.JournalTables) -> bytes:
    """Encode the whole state as MessagePack."""
    saved = journal_tables.JournalSnapshot(
        clock_ms=tables.clock_ms,
        fences=tables.fences,
        takeovers=tables.takeovers,
        records=list(tables.records.values()),
    )
    return msgspec.msgpack.encode(saved)


def restore(tables: journal_tables.JournalTables, data: bytes) -> None:
    """Replace the whole state by the state in a snapshot."""
    saved = msgspec.msgpack.decode(data, type=journal_tables.JournalSnapshot)
    journal_tables.clear(tables)
    tables.clock_ms = saved.clock_ms
    tables.fences = saved.fences
    tables.takeovers = saved.takeovers
    for record in saved.records:
        record.size = 0
        journal_tables.add(tables, record)


def read(
    tables: journal_tables.JournalTables,
    command: journal.GetRequest | journal.GetOwned,
) -> journal.Reply:
    """Answer a command in ``READS`` from the applied state."""
    return APPLIERS[type(command)](tables, command)
