"""Periodic check of running attempts for slow upstreams and stragglers in pools."""

from bitternlever.entry import tables as entry_tables
from bitternlever.messages import manifest
from bitternlever.pipelines import tables as pipeline_tables
from bitternlever.routing import ejection, estimates, occupancy

SWEEP_INTERVAL_S = 0.1
MINIMUM_TOKENS = 4
OVERDUE_RATIO = 1.5
RUNNING_RATIO_EWMA_WEIGHT = 0.3


def run(tables: entry_tables.EntryTables, now: float) -> None:
    """Update the running latency ratios from all attempts, once per interval."""
    routing = tables.routing
    if now < routing.next_sweep_s:
        return
    routing.next_sweep_s = now + SWEEP_INTERVAL_S
    worst: dict[str, float] = {}
    for attempt in tables.requests.attempts.values():
        slowness = attempt_slowness(tables, now, attempt)
        if slowness > worst.get(attempt.upstream, 0.0):
            worst[attempt.upstream] = slowness
    for name, load in routing.loads.items():
        target = worst.get(name, 1.0)
        load.running_latency_ratio += RUNNING_RATIO_EWMA_WEIGHT * (
            max(target, 1.0) - load.running_latency_ratio
        )
        occupancy.sample(load, now)
    _eject_stragglers(tables, now)


def is_streamed(attempt: pipeline_tables.Attempt) -> bool:
    """Return whether the output of an attempt is streamed."""
    return attempt.stage.task is manifest.Task.GENERATE


def attempt_slowness(
    tables: entry_tables.EntryTables, now: float, attempt: pipeline_tables.Attempt
) -> float:
    """Return an attempt's slowdown relative to the estimate; 1.0 while unknown."""
    if is_streamed(attempt) and attempt.first_byte_s is not None:
        output_length = len(attempt.output) - attempt.resume_length
        tokens = output_length // estimates.CHARACTERS_PER_TOKEN
        unit_s = estimates.unit_s(tables, attempt.stage)
        busy_s = unit_s * estimates.sharing_slowdown(estimates.BUSY_CONCURRENCY)
        if tokens >= MINIMUM_TOKENS:
            return (now - attempt.first_byte_s) / (tokens * busy_s)
        return 1.0
    overdue = (now - attempt.started_s) / max(attempt.predicted_s, 1e-3)
    return overdue if overdue > OVERDUE_RATIO else 1.0


def _eject_stragglers(tables: entry_tables.EntryTables, now: float) -> None:
    pools: dict[str, list] = {}
    for name in tables.routing.loads:
        upstream_entry = tables.membership.upstreams.get(name)
        if upstream_entry is not None:
            pools.setdefault(upstream_entry.announcement.pool, []).append(
                upstream_entry
            )
    for pool in pools.values():
        ejection.eject_straggler(tables, now, pool)
