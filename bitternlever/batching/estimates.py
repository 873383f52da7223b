"""Estimates of how long a step of a request takes at present, learned from samples.

If a stage that all requests share is full, a request that will miss its objective at a
later stage must not go before one that can still meet it. The time subtracted for later
stages is therefore what they take now, with a margin for its variation.
"""

import dataclasses

MEAN_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
"""Weights of the newest sample, as in TCP's round-trip estimation (RFC 6298)."""

MARGIN_DEVIATIONS = 3.0
"""Number of mean deviations added to the mean."""


HALF_LIFE_S = 1.0
"""Without samples an estimate halves in this time, so that new work is let through."""


@dataclasses.dataclass(slots=True)
class Estimate:
    """A running mean and mean deviation in seconds, and the time of the last sample."""

    mean_s: float
    deviation_s: float = 0.0
    updated_s: float = 0.0


def add(estimate: Estimate, now: float, sample_s: float) -> None:
    """Add one sample."""
    estimate.updated_s = now
    error_s = sample_s - estimate.mean_s
    estimate.mean_s += MEAN_WEIGHT * error_s
    estimate.deviation_s += DEVIATION_WEIGHT * (abs(error_s) - estimate.deviation_s)


def upper_bound_s(estimate: Estimate) -> float:
    """Return a value that most samples stay below."""
    return estimate.mean_s + MARGIN_DEVIATIONS * estimate.deviation_s


def decayed_upper_bound_s(estimate: Estimate, now: float) -> float:
    """Return the upper bound, decayed by the age of the newest sample."""
    return decay(upper_bound_s(estimate), now - estimate.updated_s)


def decay(value_s: float, age_s: float) -> float:
    """Return an estimate decayed by its age."""
    return value_s * 0.5 ** (max(0.0, age_s) / HALF_LIFE_S)
