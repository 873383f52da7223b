"""How many calls an upstream gets: its own word, less where it slows, less for some.

Each host keeps to its view of what all hosts hold there, so limits need no call to a
central place. A host below its share of the pool always has room: stale views can
starve no host, and the excess waits in the upstream's own queue.
"""

from bitternlever.routing import tables as routing_tables

SLOW_RATIO = 2.0
REFUSED_FACTOR = 0.7
SLOW_FACTOR = 0.9
DECREASE_INTERVAL_S = 0.5
INCREASE = 1.0
LOWEST_LIMIT = 1.0


def decrease(
    load: routing_tables.UpstreamLoad,
    now: float,
    factor: float,
) -> None:
    """Lower a limit, at most once an interval."""
    if now < load.next_decrease_s:
        return
    load.next_decrease_s = now + DECREASE_INTERVAL_S
    load.limit = max(LOWEST_LIMIT, load.limit * factor)


def increase(load: routing_tables.UpstreamLoad, concurrency: int) -> None:
    """Raise a limit by about one for each round of calls."""
    raised = load.limit + INCREASE / max(load.limit, 1.0)
    load.limit = min(float(concurrency), raised)
