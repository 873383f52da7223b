"""Log increases of the counters of a core."""

import logging
from collections.abc import Mapping

from bitternlever.telemetry import events

logger = logging.getLogger(__name__)


def log_raised(logged: dict[str, int], counters: Mapping[str, int]) -> None:
    """Log each counter that increased since the last call.

    ``logged`` holds the totals of the last call and is updated.
    """
    for name, total in counters.items():
        increase = total - logged.get(name, 0)
        if increase <= 0:
            continue
        logged[name] = total
        events.COUNTER_RAISED.log(logger, counter=name, raised=increase, total=total)
