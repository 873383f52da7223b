"""Token budgets that bound the load added by retries and hedges.

First attempts earn tokens that retries and hedges spend, so the added load stays a
fixed share of the offered load however many stages fail at once.
"""

from bitternlever.admission import queues
from bitternlever.entry import tables as entry_tables
from bitternlever.pipelines import tables as pipeline_tables

MAXIMUM_ATTEMPTS = 4
MAXIMUM_TOKENS = 20.0


def earn(tables: entry_tables.EntryTables) -> None:
    """Add the tokens that a first attempt earns."""
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
    """Spend a token to retry a stage that failed ``attempts`` times, if one is left."""
    if attempts >= MAXIMUM_ATTEMPTS or tables.routing.retry_tokens < 1.0:
        return False
    tables.routing.retry_tokens -= 1.0
    return True


def may_hedge(tables: entry_tables.EntryTables) -> bool:
    """Spend a token for a hedge, if one is left; a ratio of 0 disables hedges."""
    disabled = queues.limits(tables).hedge_ratio <= 0.0
    if disabled or tables.routing.hedge_tokens < 1.0:
        return False
    tables.routing.hedge_tokens -= 1.0
    return True
