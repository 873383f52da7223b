"""Log what a core counted since the last look."""

import logging
from collections.abc import Mapping

from bitternlever.telemetry import events

logger = logging.getLogger(__name__)


def log_raised(seen: dict[str, int], counters: Mapping[str, int]) -> None:
    """Log each counter that rose above what ``seen`` holds, and note it there."""
    for name, total in counters.items():
        raised = total - seen.get(name, 0)
        if raised <= 0:
            continue
        seen[name] = total
        events.COUNTER_RAISED.log(logger, counter=name, raised=raised, total=total)
