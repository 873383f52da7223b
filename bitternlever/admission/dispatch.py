"""Dispatch: give ready stages to upstreams, in the order of their worth."""

import heapq
from collections.abc import Callable
from typing import Any

from bitternlever.admission import queues, tables as admission_tables
from bitternlever.core import ticks
from bitternlever.entry import tables as entry_tables
from bitternlever.pipelines import tables as pipeline_tables
from bitternlever.routing import choice, tables as routing_tables

Launch = Callable[
    [Any, float, ticks.Outbox, pipeline_tables.ReadyStage, routing_tables.Placement],
    None,
]

RETRY_INTERVAL_S = 0.05
MAXIMUM_PASSED = 4


def push(
    tables: entry_tables.EntryTables, now: float, ready: pipeline_tables.ReadyStage
) -> None:
    """Let a stage wait for an upstream."""
    admission = tables.admission
    key = (ready.request_id, ready.stage_index)
    if key not in admission.ready:
        admission.stages.setdefault(ready.request_id, set()).add(ready.stage_index)
        admission.waiting[ready.workspace] = (
            admission.waiting.get(ready.workspace, 0) + 1
        )
    admission.ready[key] = ready
    queues.add(tables, now, ready)


def withdraw(tables: entry_tables.EntryTables, request_id: str) -> None:
    """Take back every waiting stage of a request."""
    for stage_index in sorted(tables.admission.stages.get(request_id, ())):
        _remove(tables, tables.admission.ready[(request_id, stage_index)])


def run(
    tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox, launch: Launch
) -> None:
    """Launch what can be launched now, the most urgent first.

    Kinds of work share upstreams, so urgency counts across all queues: each goes on
    only while no other has something more urgent at its head.
    """
    waiting = []
    for number, queue in enumerate(tables.admission.queues.values()):
        _wait_turn(tables, now, waiting, number, queue)
    while waiting:
        _, number, queue = heapq.heappop(waiting)
        bound = waiting[0][0] if waiting else None
        if _run_queue(tables, now, outbox, launch, queue, bound):
            _wait_turn(tables, now, waiting, number, queue)
    if tables.admission.ready:
        outbox.wake(now + RETRY_INTERVAL_S)


def _wait_turn(
    tables: entry_tables.EntryTables,
    now: float,
    waiting: list,
    number: int,
    queue: admission_tables.WorkQueue,
) -> None:
    """Put a queue into the order of the heads' levels; an empty one starts afresh."""
    level = queues.level(tables, now, queue)
    if level is None:
        queue.turns.clear()
        queue.clock_s = 0.0
        return
    heapq.heappush(waiting, (level, number, queue))


def _run_queue(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    launch: Launch,
    queue: admission_tables.WorkQueue,
    bound: int | None,
) -> bool:
    """Launch from the head until nothing has room or another queue is more urgent.

    A few stages may be passed over that cannot go where there is room. Return whether
    the queue waits for its next turn, its head's level being above ``bound``.
    """
    passed = []
    yielded = False
    while len(passed) < MAXIMUM_PASSED:
        level = queues.level(tables, now, queue)
        yielded = level is not None and bound is not None and level > bound
        if level is None or yielded:
            break
        ready = queues.head(tables, now, queue).ready
        placement = choice.choose(tables, now, ready)
        if placement.is_ok():
            _remove(tables, ready)
            queues.charge(queue, ready, placement.ok().predicted_s)
            launch(tables, now, outbox, ready, placement.ok())
            continue
        if not ready.excluded:
            break
        _remove(tables, ready)
        passed.append(ready)
    for ready in passed:
        push(tables, now, ready)
    return yielded and not passed


def _remove(
    tables: entry_tables.EntryTables, ready: pipeline_tables.ReadyStage
) -> None:
    admission = tables.admission
    key = (ready.request_id, ready.stage_index)
    del admission.ready[key]
    del admission.entries[key]
    stages = admission.stages[ready.request_id]
    stages.discard(ready.stage_index)
    if not stages:
        del admission.stages[ready.request_id]
    admission.waiting[ready.workspace] -= 1
    if not admission.waiting[ready.workspace]:
        del admission.waiting[ready.workspace]
