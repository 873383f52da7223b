"""Pauses that upstreams asked hosts for, collected as hints for all hosts.

A pause binds only the host that was asked. Others learn of it because an upstream that
turns one host away is probably short of capacity for all.
"""

import dataclasses

from bitternlever.messages import fleet

MINIMUM_HINT_S = 0.25
"""Shorter pauses have ended when the next heartbeat reply reaches the hosts."""

MAXIMUM_HINT_S = 10.0
"""Bounds how long one host's report affects the others."""

MAXIMUM_PAUSES = 256
"""Bounds the size of heartbeat replies, to about 12 KB."""


@dataclasses.dataclass(slots=True, frozen=True)
class Pause:
    """A pause of one start of an upstream; times are on the local clock."""

    started_ms: int
    asked_s: float
    until_s: float


def merge(
    known: dict[str, Pause],
    now: float,
    reported: fleet.UpstreamPause,
) -> None:
    """Record a reported pause unless a later start or a longer pause is known."""
    left_s = min(reported.left_s, MAXIMUM_HINT_S)
    if left_s < MINIMUM_HINT_S:
        return
    pause = Pause(
        started_ms=reported.started_ms,
        asked_s=now - reported.age_s,
        until_s=now + left_s,
    )
    if reported.upstream not in known and len(known) >= MAXIMUM_PAUSES:
        remove_ended(known, now)
        if len(known) >= MAXIMUM_PAUSES:
            return
    _keep_longest(known, reported.upstream, pause)


def record(
    known: dict[str, Pause],
    now: float,
    upstream: str,
    started_ms: int,
    seconds: float,
) -> None:
    """Record a pause that an upstream asked this host for."""
    pause = Pause(started_ms=started_ms, asked_s=now, until_s=now + seconds)
    _keep_longest(known, upstream, pause)


def remove_ended(known: dict[str, Pause], now: float) -> None:
    """Drop the pauses that have ended."""
    for upstream, pause in list(known.items()):
        if pause.until_s <= now:
            del known[upstream]


def current(known: dict[str, Pause], now: float) -> list[fleet.UpstreamPause]:
    """Return the pauses that have not ended; drop the others."""
    remove_ended(known, now)
    return [
        fleet.UpstreamPause(
            upstream=upstream,
            started_ms=pause.started_ms,
            left_s=pause.until_s - now,
            age_s=now - pause.asked_s,
        )
        for upstream, pause in known.items()
    ]


def ends_s(
    known: dict[str, Pause], now: float, upstream: str, started_ms: int
) -> float | None:
    """Return when the pause of a start ends, None if it is not paused."""
    pause = known.get(upstream)
    if pause is None or pause.until_s <= now or pause.started_ms != started_ms:
        return None
    return pause.until_s


def _keep_longest(known: dict[str, Pause], upstream: str, pause: Pause) -> None:
    previous = known.get(upstream)
    if previous is None or _order(previous) < _order(pause):
        known[upstream] = pause


def _order(pause: Pause) -> tuple[int, float]:
    return pause.started_ms, pause.until_s
