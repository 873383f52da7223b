"""Preemption of long generations in favour of urgent stages that would be late.

A preempted generation is queued with its output so far and resumes on any upstream. It
is preempted a limited number of times, and not when it is nearly done.
"""

from bitternlever.admission import queues, tables as admission_tables
from bitternlever.entry import tables as entry_tables
from bitternlever.gossip import membership
from bitternlever.messages import manifest
from bitternlever.pipelines import tables as pipeline_tables
from bitternlever.routing import estimates, policies, predicted

SLACK_MARGIN_S = 0.4
SERVICE_TIME_FACTOR = 1.3
MAXIMUM_VICTIMS = 8
MINIMUM_REMAINING_S = 0.5


def attempts_to_preempt(tables: entry_tables.EntryTables, now: float) -> list[str]:
    """Return the ids of the attempts to cancel now and to resume later."""
    if tables.settings.policy != policies.PREDICTED:
        return []
    chosen = []
    for kind, queue in tables.admission.queues.items():
        if kind[1] != manifest.Task.GENERATE.value:
            continue
        critical = _critical_stages(tables, now, queue)
        if critical:
            chosen.extend(_victims(tables, now, critical))
    return chosen


def _critical_stages(
    tables: entry_tables.EntryTables,
    now: float,
    queue: admission_tables.WorkQueue,
) -> list[pipeline_tables.ReadyStage]:
    """Return urgent stages that cannot wait any longer and exceed the free capacity.

    All of them are of the queue's kind of work.
    """
    urgent_priority = queues.limits(tables).urgent_priority
    critical = []
    for (level, _), heap in queue.lanes.items():
        if level > urgent_priority:
            continue
        for entry in heap[: 2 * MAXIMUM_VICTIMS]:
            if queues.is_valid(tables, entry) and _is_critical(
                tables, now, entry.ready
            ):
                critical.append(entry.ready)
    if not critical:
        return []
    serving = list(membership.serving_upstreams(tables, now, critical[0].stage))
    available = predicted.with_capacity(tables, now, critical[0], serving)
    return critical[len(available) :][:MAXIMUM_VICTIMS]


def _is_critical(
    tables: entry_tables.EntryTables,
    now: float,
    ready_stage: pipeline_tables.ReadyStage,
) -> bool:
    service_s = estimates.busy_service_s(tables, ready_stage)
    slack_s = ready_stage.stage_deadline_s - now - service_s * SERVICE_TIME_FACTOR
    return slack_s < SLACK_MARGIN_S and now + service_s < ready_stage.deadline_s


def _victims(
    tables: entry_tables.EntryTables,
    now: float,
    critical: list[pipeline_tables.ReadyStage],
) -> list[str]:
    """Return the ids of attempts to preempt, at most one for each critical stage.

    The least urgent (with the highest priority number) come first, among them those
    with the most work left. The critical stages are of one kind of work.
    """
    stage = critical[0].stage
    candidates = [
        (attempt.priority, remaining_s, attempt.attempt_id)
        for attempt in tables.requests.attempts.values()
        if _is_preemptible(tables, attempt, stage)
        and (remaining_s := _remaining_s(tables, attempt)) > MINIMUM_REMAINING_S
    ]
    candidates.sort(reverse=True)
    return [attempt_id for _, _, attempt_id in candidates[: len(critical)]]


def _is_preemptible(
    tables: entry_tables.EntryTables,
    attempt: pipeline_tables.Attempt,
    stage: manifest.Stage,
) -> bool:
    bounds = queues.limits(tables)
    return (
        attempt.stage.pool == stage.pool
        and attempt.stage.task is manifest.Task.GENERATE
        and attempt.stage.idempotent
        and not attempt.hedge
        and attempt.priority > bounds.urgent_priority
        and attempt.preemptions < bounds.maximum_preemptions
    )


def _remaining_s(
    tables: entry_tables.EntryTables, attempt: pipeline_tables.Attempt
) -> float:
    request = tables.requests.requests[attempt.request_id]
    expected = estimates.expected_output(tables, request.kind.name, attempt.stage)
    done = len(attempt.output) // estimates.CHARACTERS_PER_TOKEN
    unit_s = estimates.unit_s(tables, attempt.stage)
    busy = estimates.sharing_slowdown(estimates.BUSY_CONCURRENCY)
    return max(0.0, expected - done) * unit_s * busy
