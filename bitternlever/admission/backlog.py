"""The backlog of a kind of work on this host, as a time to wait.

The plain estimate: the service time of what waits ahead, spread over the calls that
this host may have under way.
"""

from bitternlever.admission import queues, tables as admission_tables
from bitternlever.entry import tables as entry_tables
from bitternlever.gossip import membership
from bitternlever.messages import manifest
from bitternlever.routing import estimates, occupancy

UNSERVED_S = 2.0


def wait_s(
    tables: entry_tables.EntryTables,
    now: float,
    stage: manifest.Stage,
    priority: int,
) -> float | None:
    """Return how long a new stage would wait here; ``None`` if nothing serves it.

    A kind of work counts as unserved only after a while: news may be on its way.
    """
    kind = queues.kind(stage)
    unserved = tables.admission.unserved
    serving = list(membership.serving(tables, now, stage))
    if not serving:
        since_s = unserved.setdefault(kind, now)
        return None if now - since_s > UNSERVED_S else 0.0
    unserved.pop(kind, None)
    queue = tables.admission.queues.get(kind)
    if queue is None or not queue.lanes:
        return 0.0
    calls = sum(
        min(
            occupancy.load_of(tables, each.announcement.name).limit,
            each.announcement.concurrency,
        )
        for each in serving
    )
    own_calls = max(1.0, calls / occupancy.host_count(tables, now))
    return ahead_s(tables, queue, priority) / own_calls


def ahead_s(
    tables: entry_tables.EntryTables,
    queue: admission_tables.WorkQueue,
    priority: int,
) -> float:
    """Return the service time of the waiting stages at this priority or above."""
    return sum(
        len(heap) * estimates.busy_service_s(tables, heap[0].ready)
        for (level, _), heap in queue.lanes.items()
        if heap and level <= priority
    )


def service_s(
    tables: entry_tables.EntryTables,
    kind: str,
    stage: manifest.Stage,
    prompt_tokens: int,
) -> float:
    """Return how long a stage of a new request usually takes on a busy upstream."""
    units = 1.0
    if stage.task is manifest.Task.GENERATE:
        units = prompt_tokens * estimates.PROMPT_TOKEN_UNITS
        units += estimates.expected_output(tables, kind, stage)
    busy = estimates.sharing(estimates.BUSY_CALLS)
    return units * estimates.unit_s(tables, stage) * busy
