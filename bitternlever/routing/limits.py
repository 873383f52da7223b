"""Concurrency limits of upstreams: the announced one, lowered when calls slow down.

Each host applies the limit to its own estimate of all hosts' calls, so no central
coordinator is needed. A host below its fair share of the pool may always send: stale
estimates can't starve a host, and the excess waits in the upstream's queue.
"""

from bitternlever.routing import tables as routing_tables

SLOWDOWN_RATIO = 2.0
REFUSAL_FACTOR = 0.7
SLOWDOWN_FACTOR = 0.9
DECREASE_INTERVAL_S = 0.5
INCREASE_PER_ROUND = 1.0
MINIMUM_LIMIT = 1.0


def decrease(
    load: routing_tables.UpstreamLoad,
    now: float,
    factor: float,
) -> None:
    """Lower a limit, at most once per interval."""
    if now < load.next_decrease_s:
        return
    load.next_decrease_s = now + DECREASE_INTERVAL_S
    load.limit = max(MINIMUM_LIMIT, load.limit * factor)


def increase(load: routing_tables.UpstreamLoad, concurrency: int) -> None:
    """Raise a limit by about one per round of calls, up to the concurrency."""
    raised = load.limit + INCREASE_PER_ROUND / max(load.limit, 1.0)
    load.limit = min(float(concurrency), raised)
