"""Dispatch: give ready stages to upstreams, in the order of their worth."""

from collections.abc import Callable
from typing import Any

from bitternlever.admission import queues, tables as admission_tables
from bitternlever.core import ticks
from bitternlever.pipelines import tables as pipeline_tables
from bitternlever.routing import choice, tables as routing_tables

Launch = Callable[
    [Any, float, ticks.Outbox, pipeline_tables.ReadyStage, routing_tables.Placement],
    None,
]

RETRY_INTERVAL_S = 0.05
MAXIMUM_PASSED = 4


def push(tables, now: float, ready: pipeline_tables.ReadyStage) -> None:
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


def withdraw(tables, request_id: str) -> None:
    """Take back every waiting stage of a request."""
    for stage_index in sorted(tables.admission.stages.get(request_id, ())):
        _remove(tables, tables.admission.ready[(request_id, stage_index)])


def run(tables, now: float, outbox: ticks.Outbox, launch: Launch) -> None:
    """Launch what can be launched now, the most urgent first."""
    for queue in tables.admission.queues.values():
        _run_queue(tables, now, outbox, launch, queue)
        if not queue.lanes:
            queue.turns.clear()
            queue.clock_s = 0.0
    if tables.admission.ready:
        outbox.wake(now + RETRY_INTERVAL_S)


def _run_queue(
    tables,
    now: float,
    outbox: ticks.Outbox,
    launch: Launch,
    queue: admission_tables.WorkQueue,
) -> None:
    """Launch from the head until nothing has room.

    A few stages may be passed over that cannot go where there is room.
    """
    passed = []
    while len(passed) < MAXIMUM_PASSED:
        entry = queues.head(tables, now, queue)
        if entry is None:
            break
        ready = entry.ready
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


def _remove(tables, ready: pipeline_tables.ReadyStage) -> None:
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
