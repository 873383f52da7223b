"""Ejection of failing and slow upstreams, and their gradual return.

Consecutive failures eject an upstream regardless of its pool. A slow upstream is
ejected relative to its pool, and at most a share of the pool is out for that reason.
After an ejection time that doubles each time, one probe at a time, chosen from stages
with time to spare, checks whether it has recovered; its limit then grows from one.
"""

from bitternlever.entry import tables as entry_tables
from bitternlever.gossip import tables as gossip_tables
from bitternlever.pipelines import tables as pipeline_tables
from bitternlever.routing import estimates, limits, tables as routing_tables

FAILURES_BEFORE_EJECTION = 3
INITIAL_EJECTION_S = 1.0
MAXIMUM_EJECTION_S = 30.0
STRAGGLER_RATIO = 3.0
MAXIMUM_EJECTED_SHARE = 0.34
PROBE_TIME_FACTOR = 5.0
MINIMUM_POOL_SIZE = 3
# For a pool that is ejected as a whole; longer intervals outlast the fault.
PROBE_INTERVAL_S = 1.0


def eject(
    tables: entry_tables.EntryTables, now: float, load: routing_tables.UpstreamLoad
) -> None:
    """Eject an upstream for a time that doubles with each consecutive ejection."""
    ejection_s = min(MAXIMUM_EJECTION_S, INITIAL_EJECTION_S * 2**load.ejections)
    load.ejected_until_s = now + ejection_s * tables.random.uniform(0.8, 1.2)
    load.ejections += 1
    load.probing = True
    load.failures = 0
    tables.count("upstream_ejected")


def failed(
    tables: entry_tables.EntryTables, now: float, load: routing_tables.UpstreamLoad
) -> None:
    """Record a failure; a failed probe or consecutive failures eject the upstream."""
    load.failures += 1
    if load.probing and now < load.ejected_until_s:
        return
    if load.probing or load.failures >= FAILURES_BEFORE_EJECTION:
        eject(tables, now, load)


def succeeded(load: routing_tables.UpstreamLoad, now: float, ratio: float) -> None:
    """Record a success; a probe that isn't too slow ends the ejection."""
    load.failures = 0
    if not load.probing:
        return
    if ratio < STRAGGLER_RATIO:
        load.probing = False
        load.ejections = 0
        load.latency_ratio = ratio
        load.running_latency_ratio = 1.0
        load.limit = limits.MINIMUM_LIMIT


def admits(
    tables: entry_tables.EntryTables,
    now: float,
    ready: pipeline_tables.ReadyStage,
    load: routing_tables.UpstreamLoad,
    all_ejected: bool,
) -> bool:
    """Return whether an upstream may get this stage, as normal work or as a probe.

    ``all_ejected`` means that the whole pool is ejected: any stage with enough time may
    then be the probe, and one is sent per interval regardless of the ejection times.
    """
    if not load.probing:
        return True
    if load.in_flight:
        return False
    spare_s = ready.deadline_s - now
    service_s = estimates.busy_service_s(tables, ready)
    if all_ejected and not ready.durable and spare_s < service_s:
        return False
    if all_ejected:
        return now >= tables.routing.next_probe_s.get(ready.stage.pool, 0.0)
    if now < load.ejected_until_s:
        return False
    return spare_s > PROBE_TIME_FACTOR * service_s


def record_probe(tables: entry_tables.EntryTables, now: float, pool: str) -> None:
    """Record that a probe is sent to a pool."""
    tables.routing.next_probe_s[pool] = now + PROBE_INTERVAL_S


def eject_straggler(
    tables: entry_tables.EntryTables,
    now: float,
    pool: list[gossip_tables.Upstream],
) -> None:
    """Update a pool's median latency ratio; eject its slowest upstream if too slow."""
    loads = [
        load
        for upstream in pool
        if (load := tables.routing.loads.get(upstream.announcement.name)) is not None
    ]
    if not loads:
        return
    ratios = sorted(
        max(load.latency_ratio, load.running_latency_ratio) for load in loads
    )
    median_ratio = ratios[(len(ratios) - 1) // 2]
    tables.routing.median_ratios[pool[0].announcement.pool] = median_ratio
    if len(loads) < MINIMUM_POOL_SIZE:
        return
    ejected = sum(load.probing for load in loads)
    worst = max(
        (load for load in loads if not load.probing),
        key=lambda load: max(load.latency_ratio, load.running_latency_ratio),
        default=None,
    )
    if worst is None or ejected + 1 > MAXIMUM_EJECTED_SHARE * len(loads):
        return
    if (
        max(worst.latency_ratio, worst.running_latency_ratio)
        > STRAGGLER_RATIO * median_ratio
    ):
        eject(tables, now, worst)
