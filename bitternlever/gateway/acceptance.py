"""Whether a host takes new connections of callers, as its listening sockets show.

The load: more connections than descriptors. The event loop then accepts none for a
second at a time, while the connections that are open are served as usual.
"""

import dataclasses
import math

REFUSING_S = 1.5
"""The event loop tries to accept again after a second."""


@dataclasses.dataclass(slots=True)
class Acceptance:
    """When a listening socket last could not accept a connection."""

    failed_s: float = -math.inf


def record_failure(acceptance: Acceptance, now: float) -> None:
    """Record that a connection could not be accepted."""
    acceptance.failed_s = now


def accepts(acceptance: Acceptance, now: float) -> bool:
    """Return whether callers should be sent here."""
    return now - acceptance.failed_s >= REFUSING_S
