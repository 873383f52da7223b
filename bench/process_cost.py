"""Processor time and memory of a running process, read from /proc."""

import os
import pathlib

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KIB_PER_MB = 1_000_000 / 1_024
USER_FIELD = 11
SYSTEM_FIELD = 12


def cpu_s(pid: int) -> float:
    """Return the processor time used by a process, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[USER_FIELD]) + int(fields[SYSTEM_FIELD])) / CLOCK_TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in megabytes."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KIB_PER_MB
    return 0.0
