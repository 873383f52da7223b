"""How long a step of a request's way takes at present, learned from what was seen.

Load: a stage that all requests share is full. A request that will miss its objective
further on must not go before one that can still meet it, so what is subtracted for the
stages ahead is what they take now, with a margin for how much that varies.
"""

import dataclasses

MEAN_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
"""Weights of the newest sample, those of TCP's round-trip estimate (RFC 6298)."""

MARGIN_DEVIATIONS = 3.0
"""Mean deviations added to the mean."""


HALF_LIFE_S = 1.0
"""Without a sample an estimate of a wait halves in this time, so that it is tried."""


@dataclasses.dataclass(slots=True)
class Estimate:
    """A running mean and mean deviation, in seconds, and when it was last fed."""

    mean_s: float
    deviation_s: float = 0.0
    fed_s: float = 0.0


def add(estimate: Estimate, now: float, sample_s: float) -> None:
    """Take one sample."""
    estimate.fed_s = now
    error_s = sample_s - estimate.mean_s
    estimate.mean_s += MEAN_WEIGHT * error_s
    estimate.deviation_s += DEVIATION_WEIGHT * (abs(error_s) - estimate.deviation_s)


def expected_s(estimate: Estimate) -> float:
    """Return what most samples stay below."""
    return estimate.mean_s + MARGIN_DEVIATIONS * estimate.deviation_s


def decayed_s(estimate: Estimate, now: float) -> float:
    """Return what most samples stay below, less the older the newest sample is."""
    return faded_s(expected_s(estimate), now - estimate.fed_s)


def faded_s(value_s: float, age_s: float) -> float:
    """Return what is left of an estimate that is so old."""
    return value_s * 0.5 ** (max(0.0, age_s) / HALF_LIFE_S)
