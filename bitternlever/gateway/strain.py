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
    """The worst standstill, and the fastest reply of any control process.

    Both since ``since_s``, when they were last looked at. ``timer_due_s`` is when the
    timer that shows standstills should fire next.
    """

    standstill_s: float = 0.0
    round_trip_s: float = math.inf
    timer_due_s: float = math.inf
    since_s: float = -math.inf


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
    """Record the reply to a heartbeat that was sent at ``sent_s``.

    One control process may be late by itself; the link is if all are.
    """
    strain.round_trip_s = min(strain.round_trip_s, now - sent_s)


def report(strain: Strain, now: float) -> Report | None:
    """Return what to report of the last second or so, None if it is little."""
    if now - strain.since_s < REPORT_INTERVAL_S:
        return None
    found = Report(strain.standstill_s, strain.round_trip_s)
    strain.since_s = now
    strain.standstill_s = 0.0
    strain.round_trip_s = math.inf
    late = ROUND_TRIP_S <= found.round_trip_s < math.inf
    return found if late or found.standstill_s >= STANDSTILL_S else None
