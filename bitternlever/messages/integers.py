"""The range of integers that processes can exchange.

JSON and decimal text have no such range, MessagePack has: what comes from outside is
checked where it is decoded, before it is kept or passed on.
"""

from typing import Annotated

import msgspec

MINIMUM = -(2**63)
MAXIMUM = 2**64 - 1
"""With these bounds, MessagePack encodes an integer."""

SIGNED_MAXIMUM = 2**63 - 1

Count = Annotated[int, msgspec.Meta(ge=0, le=SIGNED_MAXIMUM)]
"""A decoded field for numbers of things, times and calls; one more still fits."""

Signed = Annotated[int, msgspec.Meta(ge=MINIMUM, le=SIGNED_MAXIMUM)]


def fits(value: int) -> bool:
    """Return whether a message can carry an integer."""
    return MINIMUM <= value <= MAXIMUM


def clamp(value: float, minimum: int = MINIMUM, maximum: int = SIGNED_MAXIMUM) -> int:
    """Return the integer within bounds that is nearest to a number."""
    return int(min(max(value, minimum), maximum))
