"""Budgets that bound the load added by retries and hedges."""

from bitternlever.pipelines import tables as pipeline_tables

MAXIMUM_ATTEMPTS = 3


def may_retry(
    tables,
    now: float,
    request: pipeline_tables.Request,
    attempts: int,
) -> bool:
    """Spend a retry for a stage that failed ``attempts`` times, if one is left."""
    return attempts < MAXIMUM_ATTEMPTS
