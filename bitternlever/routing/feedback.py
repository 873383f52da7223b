"""What attempts teach routing: each has one start and one end."""

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

SHORTEST_TIMEOUT_S = 0.1


def started(
    tables: entry_tables.EntryTables, now: float, attempt: pipeline_tables.Attempt
) -> None:
    """Count an attempt as in flight on its upstream."""
    load = occupancy.load_of(tables, attempt.upstream)
    if not attempt.hedge:
        budgets.earn(tables)
    if load.probing:
        ejection.probed(tables, now, attempt.stage.pool)
    load.in_flight.add(attempt.attempt)
    if queues.is_urgent(tables, attempt.priority):
        load.urgent.add(attempt.attempt)
    occupancy.sample(load, now)


def first_byte(
    tables: entry_tables.EntryTables, now: float, attempt: pipeline_tables.Attempt
) -> None:
    """Learn that an upstream now holds the prefix of a prompt."""
    load = occupancy.load_of(tables, attempt.upstream)
    prefixes.used(load, attempt.prefix)


def finished(
    tables: entry_tables.EntryTables,
    now: float,
    attempt: pipeline_tables.Attempt,
    usage: upstream.Usage,
) -> None:
    """End an attempt that brought a whole output."""
    load = occupancy.load_of(tables, attempt.upstream)
    known = tables.membership.upstreams.get(attempt.upstream)
    running = float(len(load.in_flight))
    if known is not None:
        running += occupancy.others(now, known, load, 0.0)
    ratio = estimates.learn(tables, now, attempt, usage, running)
    _leave(load, now, attempt)
    load.pace += estimates.PACE_WEIGHT * (ratio - load.pace)
    ejection.succeeded(load, now, ratio)
    if known is not None:
        middle = tables.routing.middles.get(attempt.stage.pool, 1.0)
        _adapt(load, now, ratio / max(middle, 1.0), known.announcement.concurrency)
    if attempt.stage.task is manifest.Task.GENERATE and usage.output_tokens:
        _learn_output(tables, attempt, usage)


def failed(
    tables: entry_tables.EntryTables,
    now: float,
    attempt: pipeline_tables.Attempt,
    failure: requests.UpstreamFailed,
) -> None:
    """End an attempt that failed on its upstream.

    One that was given less time than it takes says nothing about the upstream.
    """
    load = occupancy.load_of(tables, attempt.upstream)
    _leave(load, now, attempt)
    if failure.sent is requests.Sent.NO and failure.status is not None:
        limits.decrease(load, now, limits.REFUSED_FACTOR)
        return
    if not _had_too_little_time(now, attempt, failure):
        ejection.failed(tables, now, load)


def cancelled(
    tables: entry_tables.EntryTables, now: float, attempt: pipeline_tables.Attempt
) -> None:
    """End an attempt that this host cancelled; it teaches nothing."""
    _leave(occupancy.load_of(tables, attempt.upstream), now, attempt)


def _had_too_little_time(
    now: float,
    attempt: pipeline_tables.Attempt,
    failure: requests.UpstreamFailed,
) -> bool:
    """Tell whether a timeout of this host ended an attempt before its usual time.

    Faster failures are the upstream's own.
    """
    if failure.status is not None or failure.sent is requests.Sent.NO:
        return False
    elapsed_s = now - attempt.started_s
    return SHORTEST_TIMEOUT_S < elapsed_s < attempt.predicted_s


def _leave(
    load: routing_tables.UpstreamLoad,
    now: float,
    attempt: pipeline_tables.Attempt,
) -> None:
    load.in_flight.discard(attempt.attempt)
    load.urgent.discard(attempt.attempt)
    occupancy.sample(load, now)


def _adapt(
    load: routing_tables.UpstreamLoad,
    now: float,
    ratio: float,
    concurrency: int,
) -> None:
    if ratio > limits.SLOW_RATIO:
        limits.decrease(load, now, limits.SLOW_FACTOR)
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
        routing.cached_share += estimates.CACHED_WEIGHT * (share - routing.cached_share)
