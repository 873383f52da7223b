"""Scheduled actions, run in order of their due times."""

import heapq
from collections.abc import Callable
from typing import Any

from bitternlever.core import ticks
from bitternlever.entry import tables as entry_tables
from bitternlever.pipelines import tables as pipeline_tables

Action = Callable[[Any, float, ticks.Outbox], None]


def schedule(tables: entry_tables.EntryTables, due_s: float, action: Action) -> None:
    """Run ``action`` in the first tick at or after ``due_s``."""
    state = tables.requests
    state.next_timer += 1
    timer = pipeline_tables.Timer(
        due_s=due_s,
        number=state.next_timer,
        action=action,
    )
    heapq.heappush(state.timers, timer)


def run(tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox) -> None:
    """Run due actions and request a tick for the next one."""
    heap = tables.requests.timers
    while heap and heap[0].due_s <= now:
        heapq.heappop(heap).action(tables, now, outbox)
    if heap:
        outbox.wake(heap[0].due_s)
