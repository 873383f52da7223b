"""The order of waiting stages: urgency, then fair shares, then deadlines.

Levels are strict, but waiting raises a stage one level at a time up to the first
level that is not urgent. Within a level, workspaces take turns by start-time fair
queueing (Goyal, Vin and Cheng, 1996), with some slack inside which the earliest
deadline goes first. Stages that cannot be in time stand behind the others, so that a
backlog does not make everything late.
"""

import heapq

from bitternlever.admission import tables as admission_tables
from bitternlever.entry import tables as entry_tables
from bitternlever.messages import manifest
from bitternlever.pipelines import tables as pipeline_tables
from bitternlever.routing import estimates, policies

AGEING_S = 30.0
LATE_LEVELS = 4
SLACK_S = 2.0


def add(
    tables: entry_tables.EntryTables, now: float, ready: pipeline_tables.ReadyStage
) -> None:
    """Put a stage into its lane."""
    queue = tables.admission.queues.setdefault(
        kind(ready.stage),
        admission_tables.WorkQueue(),
    )
    _insert(tables, now, queue, ready)


def kind(stage: manifest.Stage) -> admission_tables.Kind:
    """Return the kind of work that a stage is."""
    return (stage.pool, stage.task.value, stage.model)


def head(
    tables: entry_tables.EntryTables,
    now: float,
    queue: admission_tables.WorkQueue,
) -> admission_tables.Entry | None:
    """Return the entry that goes next, left in its lane; ``None`` if none waits."""
    heads = list(_heads(tables, now, queue))
    if not heads:
        return None
    best = min(level for level, _ in heads)
    heads = [entry for level, entry in heads if level == best]
    if len(heads) == 1:
        return heads[0]
    earliest = min(_turn(queue, entry) for entry in heads)
    return min(entry for entry in heads if _turn(queue, entry) <= earliest + SLACK_S)


def level(
    tables: entry_tables.EntryTables,
    now: float,
    queue: admission_tables.WorkQueue,
) -> int | None:
    """Return the most urgent level that waits in a queue; ``None`` if it is empty."""
    return min((level for level, _ in _heads(tables, now, queue)), default=None)


def charge(
    queue: admission_tables.WorkQueue,
    ready: pipeline_tables.ReadyStage,
    service_s: float,
) -> None:
    """Let a workspace pay for a launch with its turn."""
    turn_s = max(queue.turns.get(ready.workspace, 0.0), queue.clock_s)
    queue.clock_s = max(queue.clock_s, turn_s - SLACK_S)
    queue.turns[ready.workspace] = turn_s + service_s / max(ready.weight, 0.01)


def is_valid(tables: entry_tables.EntryTables, entry: admission_tables.Entry) -> bool:
    """Tell whether an entry still stands for a waiting stage."""
    key = (entry.ready.request_id, entry.ready.stage_index)
    return tables.admission.entries.get(key) == entry.number


def is_urgent(tables: entry_tables.EntryTables, priority: int) -> bool:
    """Tell whether a priority belongs to the urgent kinds."""
    return priority <= limits(tables).urgent_priority


def limits(tables: entry_tables.EntryTables) -> manifest.Limits:
    """Return the limits in force."""
    in_force = tables.manifest.manifest
    return manifest.Limits() if in_force is None else in_force.limits


def _insert(
    tables: entry_tables.EntryTables,
    now: float,
    queue: admission_tables.WorkQueue,
    ready: pipeline_tables.ReadyStage,
) -> None:
    admission = tables.admission
    admission.next_entry += 1
    admission.entries[(ready.request_id, ready.stage_index)] = admission.next_entry
    lane, rank = _place(tables, now, ready)
    entry = admission_tables.Entry(rank, admission.next_entry, ready)
    heapq.heappush(queue.lanes.setdefault(lane, []), entry)


def _place(
    tables: entry_tables.EntryTables,
    now: float,
    ready: pipeline_tables.ReadyStage,
) -> tuple[tuple[int, str], tuple[float, ...]]:
    policy = tables.settings.policy
    if policy == policies.FIRST_COME_FIRST_SERVED:
        return (0, ""), (ready.enqueued_s,)
    if policy != policies.PREDICTED:
        return (0, ""), (ready.priority, ready.deadline_s)
    level = ready.priority
    if _is_late(tables, now, ready):
        level += LATE_LEVELS
    return (level, ready.workspace), (ready.stage_deadline_s,)


def _is_late(
    tables: entry_tables.EntryTables, now: float, ready: pipeline_tables.ReadyStage
) -> bool:
    """Tell whether the answer would come after its deadline if it began now."""
    service_s = estimates.busy_service_s(tables, ready)
    return now + service_s > ready.deadline_s


def _heads(
    tables: entry_tables.EntryTables, now: float, queue: admission_tables.WorkQueue
):
    """Yield the first waiting entry of each lane with its level by now."""
    fair = tables.settings.policy == policies.PREDICTED
    for lane, heap in list(queue.lanes.items()):
        while heap:
            ready = heap[0].ready
            if not is_valid(tables, heap[0]):
                heapq.heappop(heap)
            elif fair and lane[0] == ready.priority and _is_late(tables, now, ready):
                heapq.heappop(heap)
                _insert(tables, now, queue, ready)
            else:
                break
        if heap:
            yield _level(tables, now, lane[0], heap[0].ready), heap[0]
        else:
            del queue.lanes[lane]


def _level(
    tables: entry_tables.EntryTables,
    now: float,
    level: int,
    ready: pipeline_tables.ReadyStage,
) -> int:
    if level <= limits(tables).urgent_priority:
        return level
    aged = level - int((now - ready.enqueued_s) / AGEING_S)
    return max(aged, limits(tables).urgent_priority + 1)


def _turn(
    queue: admission_tables.WorkQueue,
    entry: admission_tables.Entry,
) -> float:
    return max(queue.turns.get(entry.ready.workspace, 0.0), queue.clock_s)
