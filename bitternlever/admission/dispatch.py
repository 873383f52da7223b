"""Dispatch: give ready stages to upstreams, in the order of their worth."""

from collections.abc import Callable
from typing import Any

from bitternlever.core import ticks
from bitternlever.pipelines import tables as pipeline_tables
from bitternlever.routing import choice, policies, tables as routing_tables

Launch = Callable[
    [Any, float, ticks.Outbox, pipeline_tables.ReadyStage, routing_tables.Placement],
    None,
]

RETRY_INTERVAL_S = 0.05


def push(tables, now: float, ready: pipeline_tables.ReadyStage) -> None:
    """Let a stage wait for an upstream."""
    tables.admission.ready[(ready.request_id, ready.stage_index)] = ready


def withdraw(tables, request_id: str) -> None:
    """Take back every waiting stage of a request."""
    for key in [key for key in tables.admission.ready if key[0] == request_id]:
        del tables.admission.ready[key]


def run(tables, now: float, outbox: ticks.Outbox, launch: Launch) -> None:
    """Launch what can be launched now, the most urgent first."""
    order = _order
    if tables.settings.policy == policies.FIRST_COME_FIRST_SERVED:
        order = _arrival
    waiting = sorted(tables.admission.ready.values(), key=order)
    for ready in waiting:
        placement = choice.choose(tables, now, ready)
        if placement.is_err():
            continue
        del tables.admission.ready[(ready.request_id, ready.stage_index)]
        launch(tables, now, outbox, ready, placement.ok())
    if tables.admission.ready:
        outbox.wake(now + RETRY_INTERVAL_S)


def _order(ready: pipeline_tables.ReadyStage) -> tuple[int, float, str]:
    return (ready.priority, ready.deadline_s, ready.request_id)


def _arrival(ready: pipeline_tables.ReadyStage) -> tuple[float, str]:
    return (ready.enqueued_s, ready.request_id)
