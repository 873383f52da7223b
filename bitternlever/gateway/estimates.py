"""How long the rest of a request's way takes at present, learned from what was seen.

Load: a stage that all requests share is full. A request that will miss its objective
further on must not go before one that can still meet it, so what is subtracted for the
stages ahead is what they take now, with a margin for how much that varies.
"""

import dataclasses

MEAN_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
"""Weights of the newest sample, those of TCP's round-trip estimate (RFC 6298)."""

MARGIN_DEVIATIONS = 1.0
"""Mean deviations added to the mean."""


@dataclasses.dataclass(slots=True)
class Estimate:
    """A running mean and mean deviation, in seconds."""

    mean_s: float
    deviation_s: float = 0.0


def add(estimate: Estimate, sample_s: float) -> None:
    """Take one sample."""
    error_s = sample_s - estimate.mean_s
    estimate.mean_s += MEAN_WEIGHT * error_s
    estimate.deviation_s += DEVIATION_WEIGHT * (abs(error_s) - estimate.deviation_s)


def expected_s(estimate: Estimate) -> float:
    """Return what most samples stay below."""
    return estimate.mean_s + MARGIN_DEVIATIONS * estimate.deviation_s
