"""Clocks of the shells."""

import time


def boot_time() -> float:
    """Return seconds that also count while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Return the time of day in Unix milliseconds."""
    return time.time_ns() // 1_000_000
