"""Clocks used by the shells."""

import time


def boot_time() -> float:
    """Return the seconds since boot, including time while the host was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def boot_ns() -> int:
    """Return the nanoseconds since boot, including suspensions of the host."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Return the current Unix time in milliseconds."""
    return time.time_ns() // 1_000_000
