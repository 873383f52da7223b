"""Updates of routing state at the start and end of each attempt."""

from bitternlever.admission import queues
from bitternlever.entry import tables as entry_tables
from bitternlever.messages import manifest, requests, upstream
from bitternlever.pipelines import tables as pipeline_tables
from bitternlever.routing import (
    budgets,
    ejection,
    estimates,
    limits,
    occupancy,
    prefixes,
    tables as routing_tables,
)

MINIMUM_TIMEOUT_S = 0.1


def started(
    tables: entry_tables.EntryTables, now: float, attempt: pipeline_tables.Attempt
) -> None:
    """Count an attempt as in flight on its upstream."""
    load = occupancy.load_of(tables, attempt.upstream)
    if not attempt.hedge:
        budgets.earn(tables)
    if load.probing:
        ejection.record_probe(tables, now, attempt.stage.pool)
    load.in_flight.add(attempt.attempt_id)
    if queues.is_urgent(tables, attempt.priority):
        load.urgent.add(attempt.attempt_id)
    occupancy.sample(load, now)


def first_byte(
    tables: entry_tables.EntryTables, now: float, attempt: pipeline_tables.Attempt
) -> None:
    """Record that an upstream has the prefix of the prompt in its cache."""
    load = occupancy.load_of(tables, attempt.upstream)
    prefixes.record_use(load, attempt.prefix)


def finished(
    tables: entry_tables.EntryTables,
    now: float,
    attempt: pipeline_tables.Attempt,
    usage: upstream.Usage,
) -> None:
    """Record a successful attempt."""
    load = occupancy.load_of(tables, attempt.upstream)
    upstream_entry = tables.membership.upstreams.get(attempt.upstream)
    running = float(len(load.in_flight))
    if upstream_entry is not None:
        running += occupancy.other_calls(now, upstream_entry, load, 0.0)
    ratio = estimates.learn(tables, now, attempt, usage, running)
    _remove_attempt(load, now, attempt)
    load.latency_ratio += estimates.LATENCY_RATIO_EWMA_WEIGHT * (
        ratio - load.latency_ratio
    )
    ejection.succeeded(load, now, ratio)
    if upstream_entry is not None:
        median_ratio = tables.routing.median_ratios.get(attempt.stage.pool, 1.0)
        _adapt_limit(
            load,
            now,
            ratio / max(median_ratio, 1.0),
            upstream_entry.announcement.concurrency,
        )
    if attempt.stage.task is manifest.Task.GENERATE and usage.output_tokens:
        _learn_output(tables, attempt, usage)


def failed(
    tables: entry_tables.EntryTables,
    now: float,
    attempt: pipeline_tables.Attempt,
    failure: requests.UpstreamFailed,
) -> None:
    """Record an attempt that failed on its upstream.

    An attempt that got less time than it needs doesn't count against the upstream.
    """
    load = occupancy.load_of(tables, attempt.upstream)
    _remove_attempt(load, now, attempt)
    if failure.sent is requests.Sent.NO and failure.status is not None:
        limits.decrease(load, now, limits.REFUSAL_FACTOR)
        return
    if not _timed_out_early(now, attempt, failure):
        ejection.failed(tables, now, load)


def cancelled(
    tables: entry_tables.EntryTables, now: float, attempt: pipeline_tables.Attempt
) -> None:
    """Record an attempt that this host cancelled; nothing is learnt from it."""
    _remove_attempt(occupancy.load_of(tables, attempt.upstream), now, attempt)


def _timed_out_early(
    now: float,
    attempt: pipeline_tables.Attempt,
    failure: requests.UpstreamFailed,
) -> bool:
    """Return whether this host's timeout ended an attempt before its predicted time.

    Failures below the minimum timeout come from the upstream itself.
    """
    if failure.status is not None or failure.sent is requests.Sent.NO:
        return False
    elapsed_s = now - attempt.started_s
    return MINIMUM_TIMEOUT_S < elapsed_s < attempt.predicted_s


def _remove_attempt(
    load: routing_tables.UpstreamLoad,
    now: float,
    attempt: pipeline_tables.Attempt,
) -> None:
    load.in_flight.discard(attempt.attempt_id)
    load.urgent.discard(attempt.attempt_id)
    occupancy.sample(load, now)


def _adapt_limit(
    load: routing_tables.UpstreamLoad,
    now: float,
    ratio: float,
    concurrency: int,
) -> None:
    if ratio > limits.SLOWDOWN_RATIO:
        limits.decrease(load, now, limits.SLOWDOWN_FACTOR)
    else:
        limits.increase(load, concurrency)


def _learn_output(
    tables: entry_tables.EntryTables,
    attempt: pipeline_tables.Attempt,
    usage: upstream.Usage,
) -> None:
    request = tables.requests.requests.get(attempt.request_id)
    if request is None:
        return
    resumed = attempt.resume_length // estimates.CHARACTERS_PER_TOKEN
    tokens = usage.output_tokens + resumed
    estimates.learn_output(tables, request.kind.name, attempt.stage, tokens)
    if usage.cached_tokens:
        share = usage.cached_tokens / max(1, usage.prompt_tokens)
        routing = tables.routing
        routing.cached_share += estimates.CACHED_SHARE_EWMA_WEIGHT * (
            share - routing.cached_share
        )
