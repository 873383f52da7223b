"""Order of waiting stages: by urgency, then fair shares, then deadlines.

A stage's level is the priority of its kind of request; a lower level is more urgent and
has strict priority. Ageing raises a waiting stage one level at a time, up to the first
level that is not urgent. Within a level, workspaces share capacity by start-time fair
queueing (Goyal, Vin and Cheng, 1996); among workspaces within a small slack of the
lowest virtual time, the earliest deadline goes first. Stages that can no longer meet
their deadline are queued behind the others, so that a backlog does not make all stages
late.
"""

import heapq

from bitternlever.admission import tables as admission_tables
from bitternlever.entry import tables as entry_tables
from bitternlever.messages import manifest
from bitternlever.pipelines import tables as pipeline_tables
from bitternlever.routing import estimates, policies

# With 15 s, aged stages took capacity from drafts that were about to be late.
AGEING_INTERVAL_S = 30.0
LATE_PENALTY_LEVELS = 4
FAIRNESS_SLACK_S = 2.0


def add(
    tables: entry_tables.EntryTables,
    now: float,
    ready_stage: pipeline_tables.ReadyStage,
) -> None:
    """Add a stage to its lane in the queue of its kind of work."""
    queue = tables.admission.queues.setdefault(
        work_kind(ready_stage.stage),
        admission_tables.WorkQueue(),
    )
    _insert(tables, now, queue, ready_stage)


def work_kind(stage: manifest.Stage) -> admission_tables.WorkKind:
    """Return the kind of work of a stage."""
    return (stage.pool, stage.task.value, stage.model)


def head(
    tables: entry_tables.EntryTables,
    now: float,
    queue: admission_tables.WorkQueue,
) -> admission_tables.QueueEntry | None:
    """Return the next entry without removing it; ``None`` if the queue is empty."""
    heads = list(_lane_heads(tables, now, queue))
    if not heads:
        return None
    best = min(level for level, _ in heads)
    heads = [entry for level, entry in heads if level == best]
    if len(heads) == 1:
        return heads[0]
    earliest = min(_virtual_start_s(queue, entry) for entry in heads)
    return min(
        entry
        for entry in heads
        if _virtual_start_s(queue, entry) <= earliest + FAIRNESS_SLACK_S
    )


def head_level(
    tables: entry_tables.EntryTables,
    now: float,
    queue: admission_tables.WorkQueue,
) -> int | None:
    """Return the most urgent level in a queue; ``None`` if the queue is empty."""
    return min((level for level, _ in _lane_heads(tables, now, queue)), default=None)


def charge(
    queue: admission_tables.WorkQueue,
    ready_stage: pipeline_tables.ReadyStage,
    service_s: float,
) -> None:
    """Advance a workspace's virtual time by the service time of a launched stage."""
    start_s = max(
        queue.workspace_virtual_times.get(ready_stage.workspace, 0.0),
        queue.virtual_time_s,
    )
    queue.virtual_time_s = max(queue.virtual_time_s, start_s - FAIRNESS_SLACK_S)
    queue.workspace_virtual_times[ready_stage.workspace] = start_s + service_s / max(
        ready_stage.weight, 0.01
    )


def is_valid(
    tables: entry_tables.EntryTables, entry: admission_tables.QueueEntry
) -> bool:
    """Return whether an entry is the current entry of a waiting stage."""
    key = (entry.ready.request_id, entry.ready.stage_index)
    return tables.admission.valid_entries.get(key) == entry.number


def is_urgent(tables: entry_tables.EntryTables, priority: int) -> bool:
    """Return whether a priority is urgent according to the limits in force."""
    return priority <= limits(tables).urgent_priority


def limits(tables: entry_tables.EntryTables) -> manifest.Limits:
    """Return the limits in force."""
    in_force = tables.manifest.manifest
    return manifest.Limits() if in_force is None else in_force.limits


def _insert(
    tables: entry_tables.EntryTables,
    now: float,
    queue: admission_tables.WorkQueue,
    ready_stage: pipeline_tables.ReadyStage,
) -> None:
    admission = tables.admission
    admission.last_entry_number += 1
    admission.valid_entries[(ready_stage.request_id, ready_stage.stage_index)] = (
        admission.last_entry_number
    )
    lane, rank = _lane_and_rank(tables, now, ready_stage)
    entry = admission_tables.QueueEntry(rank, admission.last_entry_number, ready_stage)
    heapq.heappush(queue.lanes.setdefault(lane, []), entry)


def _lane_and_rank(
    tables: entry_tables.EntryTables,
    now: float,
    ready_stage: pipeline_tables.ReadyStage,
) -> tuple[tuple[int, str], tuple[float, ...]]:
    policy = tables.settings.policy
    if policy == policies.FIRST_COME_FIRST_SERVED:
        return (0, ""), (ready_stage.enqueued_s,)
    if policy != policies.PREDICTED:
        return (0, ""), (ready_stage.priority, ready_stage.deadline_s)
    level = ready_stage.priority
    if _is_late(tables, now, ready_stage):
        level += LATE_PENALTY_LEVELS
    return (level, ready_stage.workspace), (ready_stage.stage_deadline_s,)


def _is_late(
    tables: entry_tables.EntryTables,
    now: float,
    ready_stage: pipeline_tables.ReadyStage,
) -> bool:
    """Return whether the stage would miss its request's deadline if started now."""
    service_s = estimates.busy_service_s(tables, ready_stage)
    return now + service_s > ready_stage.deadline_s


def _lane_heads(
    tables: entry_tables.EntryTables, now: float, queue: admission_tables.WorkQueue
):
    """Yield the first valid entry of each lane with its current level.

    Drops invalid entries and moves entries that have become late to the lane of late
    stages.
    """
    fair = tables.settings.policy == policies.PREDICTED
    for lane, heap in list(queue.lanes.items()):
        while heap:
            ready_stage = heap[0].ready
            if not is_valid(tables, heap[0]):
                heapq.heappop(heap)
            elif (
                fair
                and lane[0] == ready_stage.priority
                and _is_late(tables, now, ready_stage)
            ):
                heapq.heappop(heap)
                _insert(tables, now, queue, ready_stage)
            else:
                break
        if heap:
            yield _aged_level(tables, now, lane[0], heap[0].ready), heap[0]
        else:
            del queue.lanes[lane]


def _aged_level(
    tables: entry_tables.EntryTables,
    now: float,
    level: int,
    ready_stage: pipeline_tables.ReadyStage,
) -> int:
    """Return the level after ageing, which prevents starvation.

    Levels are priorities with the penalty for late stages; lower values are more
    urgent. Ageing never raises a stage to the urgent levels, which are those up to
    ``urgent_priority``.
    """
    if level <= limits(tables).urgent_priority:
        return level
    aged_level = level - int((now - ready_stage.enqueued_s) / AGEING_INTERVAL_S)
    return max(aged_level, limits(tables).urgent_priority + 1)


def _virtual_start_s(
    queue: admission_tables.WorkQueue,
    entry: admission_tables.QueueEntry,
) -> float:
    return max(
        queue.workspace_virtual_times.get(entry.ready.workspace, 0.0),
        queue.virtual_time_s,
    )
