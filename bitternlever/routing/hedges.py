"""Hedges: a second attempt of an idempotent stage that straggles."""

from bitternlever.pipelines import tables as pipeline_tables


def due(tables, now: float) -> list[pipeline_tables.ReadyStage]:
    """Return the hedges to launch now, each with ``hedge`` set."""
    return []
