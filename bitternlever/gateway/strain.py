"""Signs that an entry host is short of processor time or of its network link.

The load: bursts in which the event loop stands still or messages wait on a full link,
so that callers who connect wait too, while nothing has failed.
"""

import dataclasses
import math

STANDSTILL_S = 0.5
"""Half of the time that callers allow for a connection to be established."""

ROUND_TRIP_S = 0.5
"""Twice the interval of heartbeats, whose replies usually take milliseconds."""

REPORT_INTERVAL_S = 1.0


@dataclasses.dataclass(slots=True)
class Strain:
    """The worst standstill and round trip to control since they were last reported.

    ``timer_due_s`` is when the timer that shows standstills should fire next.
    """

    standstill_s: float = 0.0
    round_trip_s: float = 0.0
    timer_due_s: float = math.inf
    reported_s: float = -math.inf


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """What is worth a log line."""

    standstill_s: float
    round_trip_s: float


def record_timer(strain: Strain, now: float, next_in_s: float) -> None:
    """Record that the timer fired; it will again after ``next_in_s``."""
    strain.standstill_s = max(strain.standstill_s, now - strain.timer_due_s)
    strain.timer_due_s = now + next_in_s


def record_reply(strain: Strain, now: float, sent_s: float) -> None:
    """Record the reply to a heartbeat that was sent at ``sent_s``."""
    strain.round_trip_s = max(strain.round_trip_s, now - sent_s)


def report(strain: Strain, now: float) -> Report | None:
    """Return what to report, None if it is little or was reported a moment ago."""
    if now - strain.reported_s < REPORT_INTERVAL_S:
        return None
    if strain.standstill_s < STANDSTILL_S and strain.round_trip_s < ROUND_TRIP_S:
        return None
    strain.reported_s = now
    found = Report(strain.standstill_s, strain.round_trip_s)
    strain.standstill_s = strain.round_trip_s = 0.0
    return found
