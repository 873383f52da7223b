"""The sweep over attempts under way: who stalls, and which pools have stragglers."""

from bitternlever.entry import tables as entry_tables
from bitternlever.messages import manifest
from bitternlever.pipelines import tables as pipeline_tables
from bitternlever.routing import ejection, estimates, occupancy

SWEEP_INTERVAL_S = 0.1
LEAST_TOKENS = 4
OVERDUE = 1.5
STALL_WEIGHT = 0.3


def run(tables: entry_tables.EntryTables, now: float) -> None:
    """Look at all attempts, once an interval."""
    routing = tables.routing
    if now < routing.next_sweep_s:
        return
    routing.next_sweep_s = now + SWEEP_INTERVAL_S
    worst: dict[str, float] = {}
    for attempt in tables.requests.attempts.values():
        slowness = of_attempt(tables, now, attempt)
        if slowness > worst.get(attempt.upstream, 0.0):
            worst[attempt.upstream] = slowness
    for name, load in routing.loads.items():
        target = worst.get(name, 1.0)
        load.stall += STALL_WEIGHT * (max(target, 1.0) - load.stall)
        occupancy.sample(load, now)
    _judge_pools(tables, now)


def streams(attempt: pipeline_tables.Attempt) -> bool:
    """Tell whether an attempt brings its output in pieces."""
    return attempt.stage.task is manifest.Task.GENERATE


def of_attempt(
    tables: entry_tables.EntryTables, now: float, attempt: pipeline_tables.Attempt
) -> float:
    """Return how much slower than usual an attempt goes; 1.0 where unknown yet."""
    if streams(attempt) and attempt.first_byte_s is not None:
        shown = len(attempt.output) - attempt.resume_length
        tokens = shown // estimates.CHARACTERS_PER_TOKEN
        unit_s = estimates.unit_s(tables, attempt.stage)
        busy_s = unit_s * estimates.sharing(estimates.BUSY_CALLS)
        if tokens >= LEAST_TOKENS:
            return (now - attempt.first_byte_s) / (tokens * busy_s)
        return 1.0
    overdue = (now - attempt.started_s) / max(attempt.predicted_s, 1e-3)
    return overdue if overdue > OVERDUE else 1.0


def _judge_pools(tables: entry_tables.EntryTables, now: float) -> None:
    pools: dict[str, list] = {}
    for name in tables.routing.loads:
        known = tables.membership.upstreams.get(name)
        if known is not None:
            pools.setdefault(known.announcement.pool, []).append(known)
    for pool in pools.values():
        ejection.judge(tables, now, pool)
