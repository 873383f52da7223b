"""Hedges: a second attempt of an idempotent stage whose first attempt is late."""

from bitternlever.admission import queues
from bitternlever.entry import tables as entry_tables
from bitternlever.pipelines import stages, tables as pipeline_tables
from bitternlever.routing import budgets, estimates, policies, sweep

LATE_FACTOR = 2.5
MINIMUM_WAIT_S = 0.05
DEADLINE_MARGIN_FACTOR = 1.1
FIRST_BYTE_FACTOR = 3.0


def due(
    tables: entry_tables.EntryTables, now: float
) -> list[pipeline_tables.ReadyStage]:
    """Return the hedges to launch now, each with ``hedge`` set.

    Only urgent stages are hedged: they have no time to wait for a failure and retry.
    """
    if tables.settings.policy != policies.PREDICTED:
        return []
    sweep_due = now >= tables.routing.next_sweep_s
    sweep.run(tables, now)
    if not sweep_due:
        return []
    due_hedges = []
    for attempt in list(tables.requests.attempts.values()):
        if not _is_late(tables, now, attempt):
            continue
        request = tables.requests.requests[attempt.request_id]
        if len(request.attempts) > 1:
            continue
        ready = stages.ready_stage(tables, now, request)
        if _can_meet_deadline(tables, now, attempt, ready) and budgets.may_hedge(
            tables
        ):
            ready.hedge = True
            due_hedges.append(ready)
    return due_hedges


def _is_late(
    tables: entry_tables.EntryTables, now: float, attempt: pipeline_tables.Attempt
) -> bool:
    if attempt.hedge or not attempt.stage.idempotent:
        return False
    if not queues.is_urgent(tables, attempt.priority):
        return False
    waited_s = now - attempt.started_s
    if waited_s < MINIMUM_WAIT_S:
        return False
    if sweep.is_streamed(attempt) and attempt.first_byte_s is None:
        return waited_s > FIRST_BYTE_FACTOR * estimates.first_byte_s(tables, attempt)
    return sweep.attempt_slowness(tables, now, attempt) > LATE_FACTOR


def _can_meet_deadline(
    tables: entry_tables.EntryTables,
    now: float,
    attempt: pipeline_tables.Attempt,
    ready: pipeline_tables.ReadyStage,
) -> bool:
    """Return whether another attempt can still meet the deadline."""
    service_s = estimates.busy_service_s(tables, ready)
    return now + service_s * DEADLINE_MARGIN_FACTOR < attempt.deadline_s
