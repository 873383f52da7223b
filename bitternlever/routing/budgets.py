"""Budgets that bound the load added by retries and hedges.

First attempts earn tokens, retries and hedges spend them, so the added load stays a
share of the offered one however many stages fail at once.
"""

from bitternlever.admission import queues
from bitternlever.entry import tables as entry_tables
from bitternlever.pipelines import tables as pipeline_tables

MAXIMUM_ATTEMPTS = 4
MAXIMUM_TOKENS = 20.0


def earn(tables: entry_tables.EntryTables) -> None:
    """Earn from a first attempt."""
    limits = queues.limits(tables)
    routing = tables.routing
    routing.retry_tokens = min(
        MAXIMUM_TOKENS,
        routing.retry_tokens + limits.retry_ratio,
    )
    routing.hedge_tokens = min(
        MAXIMUM_TOKENS,
        routing.hedge_tokens + limits.hedge_ratio,
    )


def may_retry(
    tables: entry_tables.EntryTables,
    now: float,
    request: pipeline_tables.Request,
    attempts: int,
) -> bool:
    """Spend a retry for a stage that failed ``attempts`` times, if one is left."""
    if attempts >= MAXIMUM_ATTEMPTS or tables.routing.retry_tokens < 1.0:
        return False
    tables.routing.retry_tokens -= 1.0
    return True


def may_hedge(tables: entry_tables.EntryTables) -> bool:
    """Spend a hedge, if one is left; a ratio of 0 allows none at all."""
    none_wanted = queues.limits(tables).hedge_ratio <= 0.0
    if none_wanted or tables.routing.hedge_tokens < 1.0:
        return False
    tables.routing.hedge_tokens -= 1.0
    return True
