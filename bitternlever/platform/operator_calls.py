"""The operator's calls to control, as the platform names them."""

import urllib.parse

import msgspec

EVACUATE = "/api/evacuate/"


class Evacuation(msgspec.Struct):
    """The zones that a control process knows to be evacuated, as of a revision."""

    revision: int
    zones: list[str]


def zone_order(zone: str, *, evacuated: bool) -> tuple[str, str]:
    """Return method and path of an order about a zone."""
    return "POST" if evacuated else "DELETE", EVACUATE + urllib.parse.quote(zone, "")


def evacuation_status() -> tuple[str, str]:
    """Return method and path of the call that returns an :class:`Evacuation`."""
    return "GET", EVACUATE
