"""What only the leader of a journal group does: its clock, expiry, hints.

The journal's clock counts the time that leaders have measured. Time without a leader
is not counted, so that nothing expires early.
"""

import dataclasses
from collections.abc import Callable
from typing import Any

from bitternlever.core import ticks
from bitternlever.journal import tables as journal_tables
from bitternlever.messages import calls, journal

CLOCK_INTERVAL_S = 1.0
HINT_INTERVAL_S = 0.25
OFFICE_GAP_S = 1.0
MAXIMUM_EXPIRED = 256
MILLISECONDS = 1_000


@dataclasses.dataclass(slots=True)
class Memory:
    """What the leader remembers of its office; all of it may be lost."""

    last_run_s: float = float("-inf")
    clock_s: float = 0.0
    next_hint_s: float = 0.0


def run(
    tables: journal_tables.JournalTables,
    memory: Memory,
    group: int,
    now: float,
    outbox: ticks.Outbox,
    propose: Callable[[journal.Command], None],
    hint: Callable[[Any], None],
) -> None:
    """Advance the clock, drop what has expired, tell hosts of orphans.

    A gap since the last run means that the office began anew: the time of the gap was
    another leader's to count.
    """
    if now - memory.last_run_s > OFFICE_GAP_S or not tables.records:
        memory.clock_s = now
    memory.last_run_s = now
    if now - memory.clock_s >= CLOCK_INTERVAL_S:
        elapsed_ms = int((now - memory.clock_s) * MILLISECONDS)
        memory.clock_s += elapsed_ms / MILLISECONDS
        expired = _expired(tables, elapsed_ms)
        propose(journal.ExpireRequests(request_ids=expired, elapsed_ms=elapsed_ms))
    if tables.records:
        outbox.wake(memory.clock_s + CLOCK_INTERVAL_S)
    _hint(tables, memory, group, now, outbox, hint)


def _expired(tables: journal_tables.JournalTables, elapsed_ms: int) -> list[str]:
    expired = []
    for expires_ms, request_id in tables.answered[:MAXIMUM_EXPIRED]:
        if expires_ms > tables.clock_ms + elapsed_ms:
            break
        expired.append(request_id)
    return expired


def _hint(
    tables: journal_tables.JournalTables,
    memory: Memory,
    group: int,
    now: float,
    outbox: ticks.Outbox,
    hint: Callable[[Any], None],
) -> None:
    orphans = len(tables.orphans)
    if not orphans:
        return
    if now >= memory.next_hint_s:
        memory.next_hint_s = now + HINT_INTERVAL_S
        hint(calls.OrphansWaiting(group=group, count=orphans))
    outbox.wake(memory.next_hint_s)
