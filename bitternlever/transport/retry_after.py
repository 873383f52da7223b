"""The time that a ``Retry-After`` header asks for.

RFC 9110 allows whole seconds or a date; fractions of a second are read as well. Values
that cannot be read ask for nothing, several readable ones for the longest of their
times, and no time is longer than ``MAXIMUM_S``.
"""

import dataclasses
import email.utils
import re
from collections.abc import Iterable

MAXIMUM_S = 600.0
"""An upstream that is restarted has a new start, to which no earlier pause applies."""

MAXIMUM_VALUE_BYTES = 128
"""Several times the length of a date; longer values are not parsed."""

SECONDS = re.compile(rb"\d{1,12}(\.\d{0,9})?")


@dataclasses.dataclass(slots=True, frozen=True)
class RetryAfter:
    """The time asked for in seconds, 0 if none, and whether all values were in order.

    ``fault`` says what was not: a value that cannot be read or is above the maximum.
    """

    seconds: float
    fault: str = ""


def parse(
    values: Iterable[bytes], sent_unix_s: float | None, now_unix_s: float
) -> RetryAfter:
    """Return the time that the values of all ``Retry-After`` headers ask for.

    ``sent_unix_s`` is the ``Date`` of the answer, if it has one: a date is read
    relative to it, since the clocks of both hosts may differ.
    """
    longest_s = 0.0
    fault = ""
    for value in values:
        seconds = _value_s(value.strip(), sent_unix_s or now_unix_s)
        if seconds is None:
            fault = f"unreadable: {value[:MAXIMUM_VALUE_BYTES]!r}"
            continue
        if seconds > MAXIMUM_S:
            fault = f"above {MAXIMUM_S:.0f} s: {value[:MAXIMUM_VALUE_BYTES]!r}"
        longest_s = max(longest_s, min(seconds, MAXIMUM_S))
    return RetryAfter(longest_s, fault)


def unix_s(date: bytes | None) -> float | None:
    """Return the Unix time of an HTTP date, None if it cannot be read."""
    if date is None or len(date) > MAXIMUM_VALUE_BYTES:
        return None
    try:
        return email.utils.parsedate_to_datetime(date.decode("latin-1")).timestamp()
    except (ValueError, OverflowError, IndexError, TypeError):
        return None


def _value_s(value: bytes, reference_unix_s: float) -> float | None:
    """Return the seconds that one header value asks for, None if it is unreadable."""
    if len(value) > MAXIMUM_VALUE_BYTES:
        return None
    if SECONDS.fullmatch(value):
        return float(value)
    date_s = unix_s(value)
    if date_s is not None:
        return max(0.0, date_s - reference_unix_s)
    parts = [part.strip() for part in value.split(b",")]
    if len(parts) > 1 and all(SECONDS.fullmatch(part) for part in parts):
        return max(float(part) for part in parts)
    return None
