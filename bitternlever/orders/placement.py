"""Placement: the engines hold the models that the manifest wants, by orders.

Only the holder of the order lease sends orders; each states the wanted result.
"""

from bitternlever.core import ticks
from bitternlever.messages import requests


def run(tables, now: float, outbox: ticks.Outbox) -> None:
    """Compare what engines hold with what is wanted; send orders that are due."""


def answered(
    tables,
    now: float,
    outbox: ticks.Outbox,
    message: requests.OrderAnswered,
) -> None:
    """Take an engine's answer to an order."""
