"""Which stage work goes first when more waits than fits.

Load: bursts of one kind of request fill a stage that all kinds share. Work that has
been begun goes first: its results take up room until its last piece is made. So does
work of requests whose earlier stages are done, for it would be lost. Then urgent
priorities go first, and within one priority work that can still meet its objective goes
before work that cannot, then the earliest objective. Of late work the newest goes
first, since its callers have waited least and stay longest; the oldest keeps a share of
every call, so that nothing starves.
"""

from bitternlever.batching import tables

LATE_SHARE = 0.1
"""Part of each call that is kept for work past its objective, oldest first."""


def waiting(batcher: tables.Batcher, now: float) -> list[tables.Work]:
    """Return all works with waiting pieces, the most pressing first."""
    works = [work for work in batcher.works.values() if work.waiting]
    return sorted(works, key=lambda work: rank(batcher, now, work))


def on_time(batcher: tables.Batcher, now: float) -> list[tables.Work]:
    """Return the works with waiting pieces that can still meet their objective."""
    return [
        work
        for work in batcher.works.values()
        if work.waiting and not (work.late or is_late(batcher, now, work))
    ]


def rank(batcher: tables.Batcher, now: float, work: tables.Work) -> tuple:
    """Return the sort key of a work; smaller goes first."""
    message = work.message
    fresh = len(work.waiting) == len(message.pieces)
    late = work.late or is_late(batcher, now, work)
    return (
        fresh,
        message.depth == 0,
        message.priority,
        late,
        -message.depth,
        -work.objective_s if late else work.objective_s,
        work.arrived_s,
    )


def is_late(batcher: tables.Batcher, now: float, work: tables.Work) -> bool:
    """Tell whether a work can no longer meet its objective."""
    return work.objective_s < now + shortest_call_s(batcher, work)


def shortest_call_s(batcher: tables.Batcher, work: tables.Work) -> float:
    """Return how long a call with just this work takes on an upstream at its speed."""
    count = min(len(work.message.pieces), batcher.capacity.batch)
    return batcher.capacity.call_s + batcher.capacity.item_s * count
