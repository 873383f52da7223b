"""Order of queued stage work when more is waiting than fits into calls.

Bursts of one kind of request can fill a stage that all kinds share. Started work goes
first, since its results occupy memory until its last piece is done. Work of requests
with completed stages is next, since those stages would be wasted. Urgent priorities
follow; within one priority, work that can still meet its objective precedes work that
cannot, in the order of objectives. Of late work the newest goes first, since its
callers have waited least and stay longest; the oldest keeps a share of every call, so
that nothing starves.
"""

from bitternlever.batching import tables

LATE_SHARE = 0.1
"""Part of each call that is reserved for work past its objective, oldest first."""


def in_order_of_rank(batcher: tables.Batcher, now: float) -> list[tables.Work]:
    """Return all work items with waiting pieces in order of rank."""
    works = [work for work in batcher.works.values() if work.waiting]
    return sorted(works, key=lambda work: rank(batcher, now, work))


def on_time_works(batcher: tables.Batcher, now: float) -> list[tables.Work]:
    """Return the work items with waiting pieces that can still meet their objective."""
    return [
        work
        for work in batcher.works.values()
        if work.waiting and not (work.late or is_late(batcher, now, work))
    ]


def rank(batcher: tables.Batcher, now: float, work: tables.Work) -> tuple:
    """Return the sort key of a work item; the smallest goes first."""
    message = work.message
    not_started = len(work.waiting) == len(message.pieces)
    late = work.late or is_late(batcher, now, work)
    return (
        not_started,
        message.depth == 0,
        message.priority,
        late,
        -message.depth,
        -work.objective_s if late else work.objective_s,
        work.arrived_s,
    )


def is_late(batcher: tables.Batcher, now: float, work: tables.Work) -> bool:
    """Return whether a work item can no longer meet its objective."""
    return work.objective_s < now + shortest_call_s(batcher, work)


def shortest_call_s(batcher: tables.Batcher, work: tables.Work) -> float:
    """Return the duration of a call with only this work, at the declared speed."""
    count = min(len(work.message.pieces), batcher.capacity.batch)
    return batcher.capacity.call_s + batcher.capacity.item_s * count
