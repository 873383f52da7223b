"""Estimates of the queueing delay for a kind of work on this host.

The delay is the service time of the stages ahead in the queue, divided by the number of
concurrent calls that this host may use.
"""

from bitternlever.admission import queues, tables as admission_tables
from bitternlever.entry import tables as entry_tables
from bitternlever.gossip import membership
from bitternlever.messages import manifest
from bitternlever.routing import estimates, occupancy

UNSERVED_GRACE_S = 2.0


def wait_s(
    tables: entry_tables.EntryTables,
    now: float,
    stage: manifest.Stage,
    priority: int,
) -> float | None:
    """Return the expected queueing delay of a new stage; ``None`` if nothing serves it.

    A kind of work counts as unserved only after ``UNSERVED_GRACE_S``, since an
    announcement of an upstream may be on its way.
    """
    kind = queues.work_kind(stage)
    unserved_since_s = tables.admission.unserved_since_s
    serving = list(membership.serving_upstreams(tables, now, stage))
    if not serving:
        since_s = unserved_since_s.setdefault(kind, now)
        return None if now - since_s > UNSERVED_GRACE_S else 0.0
    unserved_since_s.pop(kind, None)
    queue = tables.admission.queues.get(kind)
    if queue is None or not queue.lanes:
        return 0.0
    calls = sum(
        min(
            occupancy.load_of(tables, upstream.announcement.name).limit,
            upstream.announcement.concurrency,
        )
        for upstream in serving
    )
    own_calls = max(1.0, calls / occupancy.host_count(tables, now))
    return queued_ahead_s(tables, queue, priority) / own_calls


def queued_ahead_s(
    tables: entry_tables.EntryTables,
    queue: admission_tables.WorkQueue,
    priority: int,
) -> float:
    """Return the total service time of waiting stages of equal or higher urgency."""
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
    """Return the expected time of a new request's stage on a busy upstream."""
    units = 1.0
    if stage.task is manifest.Task.GENERATE:
        units = prompt_tokens * estimates.PROMPT_TOKEN_UNITS
        units += estimates.expected_output(tables, kind, stage)
    busy = estimates.sharing_slowdown(estimates.BUSY_CONCURRENCY)
    return units * estimates.unit_s(tables, stage) * busy
