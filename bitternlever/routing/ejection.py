"""Ejection of upstreams that fail or straggle, and their gentle return.

Failures in a row eject an upstream whatever its peers do. A slow one is ejected
against its peers, and never more than a part of a pool. After a pause that doubles
each time, one probe at a time, taken from work with time to spare, tells whether it
is back; its limit then grows from one.
"""

from bitternlever.entry import tables as entry_tables
from bitternlever.gossip import tables as gossip_tables
from bitternlever.pipelines import tables as pipeline_tables
from bitternlever.routing import estimates, limits, tables as routing_tables

FAILURES = 3
FIRST_PAUSE_S = 1.0
LONGEST_PAUSE_S = 30.0
STRAGGLING = 3.0
MAXIMUM_SLOW_PART = 0.34
PROBE_SPARE = 5.0
LEAST_PEERS = 3
PROBE_INTERVAL_S = 1.0


def eject(
    tables: entry_tables.EntryTables, now: float, load: routing_tables.UpstreamLoad
) -> None:
    """Eject an upstream for a pause that doubles with each ejection in a row."""
    pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**load.ejections)
    load.ejected_until_s = now + pause_s * tables.random.uniform(0.8, 1.2)
    load.ejections += 1
    load.probing = True
    load.failures = 0
    tables.count("upstream_ejected")


def failed(
    tables: entry_tables.EntryTables, now: float, load: routing_tables.UpstreamLoad
) -> None:
    """Take a failed attempt: a probe ejects again, failures in a row eject."""
    load.failures += 1
    if load.probing and now < load.ejected_until_s:
        return
    if load.probing or load.failures >= FAILURES:
        eject(tables, now, load)


def succeeded(load: routing_tables.UpstreamLoad, now: float, ratio: float) -> None:
    """Take a whole answer: a probe at a fair pace brings the upstream back."""
    load.failures = 0
    if not load.probing:
        return
    if ratio < STRAGGLING:
        load.probing = False
        load.ejections = 0
        load.pace = ratio
        load.stall = 1.0
        load.limit = limits.LOWEST_LIMIT


def admits(
    tables: entry_tables.EntryTables,
    now: float,
    ready: pipeline_tables.ReadyStage,
    load: routing_tables.UpstreamLoad,
    alone: bool,
) -> bool:
    """Tell whether an upstream may get this stage: none, a probe, or any.

    ``alone`` says that the whole pool is ejected: then any work with the time for it
    may be the probe, and one goes out at each interval whatever the pauses say.
    """
    if not load.probing:
        return True
    if load.in_flight:
        return False
    spare_s = ready.deadline_s - now
    service_s = estimates.busy_service_s(tables, ready)
    if alone and not ready.durable and spare_s < service_s:
        return False
    if alone:
        return now >= tables.routing.next_probe_s.get(ready.stage.pool, 0.0)
    if now < load.ejected_until_s:
        return False
    return spare_s > PROBE_SPARE * service_s


def probed(tables: entry_tables.EntryTables, now: float, pool: str) -> None:
    """Note that a probe goes out to a pool."""
    tables.routing.next_probe_s[pool] = now + PROBE_INTERVAL_S


def judge(
    tables: entry_tables.EntryTables,
    now: float,
    pool: list[gossip_tables.Upstream],
) -> None:
    """Learn a pool's middle pace; eject who lags furthest behind it, if too far."""
    loads = [
        load
        for each in pool
        if (load := tables.routing.loads.get(each.announcement.name)) is not None
    ]
    if not loads:
        return
    paces = sorted(max(load.pace, load.stall) for load in loads)
    middle = paces[(len(paces) - 1) // 2]
    tables.routing.middles[pool[0].announcement.pool] = middle
    if len(loads) < LEAST_PEERS:
        return
    out = sum(load.probing for load in loads)
    worst = max(
        (load for load in loads if not load.probing),
        key=lambda load: max(load.pace, load.stall),
        default=None,
    )
    if worst is None or out + 1 > MAXIMUM_SLOW_PART * len(loads):
        return
    if max(worst.pace, worst.stall) > STRAGGLING * middle:
        eject(tables, now, worst)
