"""How long engines take at present for each token that they read, learned from answers.

A sample is the time from sending a prompt to its first event, with the tokens that were
to be read by then: its own and those ahead of it. Recent samples count more, by their
tokens, so that many short prompts do not hide a long one. An engine that gets no work
because it was slow returns to the pace of the others, and is tried again.
"""

import dataclasses

HALF_LIFE_S = 1.5
"""A slow-down of a few seconds is noticed and forgotten within about its length."""

PRIOR_TOKENS = 10_000.0
"""Weight of the pace of all engines against an engine's own samples: a long prompt."""

OVERHEAD_S = 0.05
"""Time to the first event that does not depend on the prompt."""

MAXIMUM_PACE_FACTOR = 20.0
"""No engine counts as more than this much slower than the others."""


@dataclasses.dataclass(slots=True)
class Pace:
    """Decayed sums of the tokens read by a start of an engine and of the time taken."""

    started_ms: int
    tokens: float = 0.0
    seconds: float = 0.0
    updated_s: float = 0.0


def add(pace: Pace, now: float, tokens: float, seconds: float) -> None:
    """Add samples."""
    weight = _weight(pace, now)
    pace.tokens = pace.tokens * weight + tokens
    pace.seconds = pace.seconds * weight + seconds
    pace.updated_s = now


def sample_s(waited_s: float) -> float:
    """Return the part of the time to a first event that depends on what was read."""
    return max(0.0, waited_s - OVERHEAD_S)


def mean_s(paces: list[Pace], now: float) -> float | None:
    """Return the seconds for a token of all engines together, None without samples."""
    tokens = sum(pace.tokens * _weight(pace, now) for pace in paces)
    seconds = sum(pace.seconds * _weight(pace, now) for pace in paces)
    return seconds / tokens if tokens >= 1.0 and seconds > 0.0 else None


def seconds_per_token(pace: Pace, now: float, typical_s: float) -> float:
    """Return an engine's seconds for a token; ``typical_s`` is that of all."""
    weight = _weight(pace, now)
    seconds = pace.seconds * weight + PRIOR_TOKENS * typical_s
    estimate_s = seconds / (pace.tokens * weight + PRIOR_TOKENS)
    return min(estimate_s, MAXIMUM_PACE_FACTOR * typical_s)


def _weight(pace: Pace, now: float) -> float:
    return 0.5 ** (max(0.0, now - pace.updated_s) / HALF_LIFE_S)
