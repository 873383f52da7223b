"""What attempts teach routing: each has one start and one end."""

from bitternlever.messages import requests, upstream
from bitternlever.pipelines import tables as pipeline_tables
from bitternlever.routing import tables as routing_tables


def started(tables, now: float, attempt: pipeline_tables.Attempt) -> None:
    """Count an attempt as in flight on its upstream."""
    load = tables.routing.loads.setdefault(
        attempt.upstream,
        routing_tables.UpstreamLoad(),
    )
    load.in_flight.add(attempt.attempt)


def first_byte(tables, now: float, attempt: pipeline_tables.Attempt) -> None:
    """Learn the time to the first byte of a streamed stage."""


def finished(
    tables,
    now: float,
    attempt: pipeline_tables.Attempt,
    usage: upstream.Usage,
) -> None:
    """End an attempt that brought a whole output."""
    _leave(tables, attempt)


def failed(
    tables,
    now: float,
    attempt: pipeline_tables.Attempt,
    failure: requests.UpstreamFailed,
) -> None:
    """End an attempt that failed on its upstream."""
    _leave(tables, attempt)


def cancelled(tables, now: float, attempt: pipeline_tables.Attempt) -> None:
    """End an attempt that this host cancelled; it teaches nothing."""
    _leave(tables, attempt)


def _leave(tables, attempt: pipeline_tables.Attempt) -> None:
    load = tables.routing.loads.get(attempt.upstream)
    if load is not None:
        load.in_flight.discard(attempt.attempt)
