"""Preemption: long generations give way when an urgent stage would be late."""


def due(tables, now: float) -> list[str]:
    """Return the attempts to cancel and resume later, at once."""
    return []
