"""Dispatch of ready stages to upstreams, the most urgent first."""

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
MAXIMUM_SKIPPED = 4


def push(
    tables: entry_tables.EntryTables,
    now: float,
    ready_stage: pipeline_tables.ReadyStage,
) -> None:
    """Add a stage to the queue of its kind of work, or requeue it."""
    admission = tables.admission
    key = (ready_stage.request_id, ready_stage.stage_index)
    if key not in admission.ready:
        admission.ready_by_request.setdefault(ready_stage.request_id, set()).add(
            ready_stage.stage_index
        )
        admission.waiting_by_workspace[ready_stage.workspace] = (
            admission.waiting_by_workspace.get(ready_stage.workspace, 0) + 1
        )
    admission.ready[key] = ready_stage
    queues.add(tables, now, ready_stage)


def withdraw(tables: entry_tables.EntryTables, request_id: str) -> None:
    """Remove all waiting stages of a request from the queues."""
    for stage_index in sorted(tables.admission.ready_by_request.get(request_id, ())):
        _remove(tables, tables.admission.ready[(request_id, stage_index)])


def run(
    tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox, launch: Launch
) -> None:
    """Launch stages while upstreams have capacity, the most urgent first.

    Kinds of work share upstreams, so urgency is compared across all queues: a queue is
    served only while no other queue has a more urgent stage at its head.
    """
    queue_heap = []
    for queue_number, queue in enumerate(tables.admission.queues.values()):
        _push_queue(tables, now, queue_heap, queue_number, queue)
    while queue_heap:
        _, queue_number, queue = heapq.heappop(queue_heap)
        other_level = queue_heap[0][0] if queue_heap else None
        if _run_queue(tables, now, outbox, launch, queue, other_level):
            _push_queue(tables, now, queue_heap, queue_number, queue)
    if tables.admission.ready:
        outbox.wake(now + RETRY_INTERVAL_S)


def _push_queue(
    tables: entry_tables.EntryTables,
    now: float,
    queue_heap: list,
    queue_number: int,
    queue: admission_tables.WorkQueue,
) -> None:
    """Add a queue to the heap by its most urgent level; reset it if it is empty."""
    head_level = queues.head_level(tables, now, queue)
    if head_level is None:
        queue.workspace_virtual_times.clear()
        queue.virtual_time_s = 0.0
        return
    heapq.heappush(queue_heap, (head_level, queue_number, queue))


def _run_queue(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    launch: Launch,
    queue: admission_tables.WorkQueue,
    other_level: int | None,
) -> bool:
    """Launch from the head until no upstream has capacity or another queue is ahead.

    Up to ``MAXIMUM_SKIPPED`` stages are skipped if they must avoid the upstreams that
    have capacity. Return True if no stage was skipped and the queue stopped because its
    head is less urgent than ``other_level``, the most urgent level of other queues.
    """
    skipped = []
    yields = False
    while len(skipped) < MAXIMUM_SKIPPED:
        head_level = queues.head_level(tables, now, queue)
        yields = (
            head_level is not None
            and other_level is not None
            and head_level > other_level
        )
        if head_level is None or yields:
            break
        ready_stage = queues.head(tables, now, queue).ready
        placement = choice.choose(tables, now, ready_stage)
        if placement.is_ok():
            _remove(tables, ready_stage)
            queues.charge(queue, ready_stage, placement.ok().predicted_s)
            launch(tables, now, outbox, ready_stage, placement.ok())
            continue
        if not ready_stage.excluded:
            break
        _remove(tables, ready_stage)
        skipped.append(ready_stage)
    for ready_stage in skipped:
        push(tables, now, ready_stage)
    return yields and not skipped


def _remove(
    tables: entry_tables.EntryTables, ready_stage: pipeline_tables.ReadyStage
) -> None:
    admission = tables.admission
    key = (ready_stage.request_id, ready_stage.stage_index)
    del admission.ready[key]
    del admission.valid_entries[key]
    stages = admission.ready_by_request[ready_stage.request_id]
    stages.discard(ready_stage.stage_index)
    if not stages:
        del admission.ready_by_request[ready_stage.request_id]
    admission.waiting_by_workspace[ready_stage.workspace] -= 1
    if not admission.waiting_by_workspace[ready_stage.workspace]:
        del admission.waiting_by_workspace[ready_stage.workspace]
