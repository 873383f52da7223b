"""Periodic work of a journal group's leader: the clock, expiry and orphan hints.

The journal's clock counts only time that a leader measured. Time without a leader is
not counted, so that nothing expires early. Orphans are open requests without an owner
host; a hint asks entry hosts to take them over, and may be lost.
"""

import dataclasses
from collections.abc import Callable
from typing import Any

from bitternlever.core import ticks
from bitternlever.journal import tables as journal_tables
from bitternlever.messages import calls, journal

CLOCK_INTERVAL_S = 1.0
HINT_INTERVAL_S = 0.25
LEADERSHIP_GAP_S = 1.0
MAXIMUM_EXPIRED_PER_COMMAND = 256
MILLISECONDS_PER_SECOND = 1_000


@dataclasses.dataclass(slots=True)
class LeaderState:
    """Volatile state of the leader, which a new leader starts without.

    ``counted_until_s`` is the monotonic time up to which the elapsed time was proposed.
    """

    last_run_s: float = float("-inf")
    counted_until_s: float = 0.0
    next_hint_s: float = 0.0


def run(
    tables: journal_tables.JournalTables,
    leader_state: LeaderState,
    group: int,
    now: float,
    outbox: ticks.Outbox,
    propose: Callable[[journal.Command], None],
    send_hint: Callable[[Any], None],
) -> None:
    """Propose clock advances and expiry, and hint to hosts that orphans are waiting.

    After a gap since the last run, counting restarts from ``now``: leadership may have
    been lost, and then another leader has counted the time of the gap.
    """
    if now - leader_state.last_run_s > LEADERSHIP_GAP_S or not tables.records:
        leader_state.counted_until_s = now
    leader_state.last_run_s = now
    if now - leader_state.counted_until_s >= CLOCK_INTERVAL_S:
        elapsed_ms = int((now - leader_state.counted_until_s) * MILLISECONDS_PER_SECOND)
        leader_state.counted_until_s += elapsed_ms / MILLISECONDS_PER_SECOND
        expired = _expired_requests(tables, elapsed_ms)
        propose(journal.ExpireRequests(request_ids=expired, elapsed_ms=elapsed_ms))
    if tables.records:
        outbox.wake(leader_state.counted_until_s + CLOCK_INTERVAL_S)
    _send_orphan_hint(tables, leader_state, group, now, outbox, send_hint)


def _expired_requests(
    tables: journal_tables.JournalTables, elapsed_ms: int
) -> list[str]:
    expired = []
    for expires_ms, request_id in tables.answered[:MAXIMUM_EXPIRED_PER_COMMAND]:
        if expires_ms > tables.clock_ms + elapsed_ms:
            break
        expired.append(request_id)
    return expired


def _send_orphan_hint(
    tables: journal_tables.JournalTables,
    leader_state: LeaderState,
    group: int,
    now: float,
    outbox: ticks.Outbox,
    send_hint: Callable[[Any], None],
) -> None:
    orphans = len(tables.orphans)
    if not orphans:
        return
    if now >= leader_state.next_hint_s:
        leader_state.next_hint_s = now + HINT_INTERVAL_S
        send_hint(calls.OrphansWaiting(group=group, count=orphans))
    outbox.wake(leader_state.next_hint_s)
