"""What all hosts together have sent to each engine and not seen end.

Control adds up the reports of the hosts and learns each engine's pace from the samples
in them. The report of a lost host expires; what is known of an engine counts for one
start of it.
"""

import dataclasses
import math

from bitternlever.messages import fleet
from bitternlever.workload import pace as workload_pace

REPORT_EXPIRY_S = 2.0
"""Hosts report four times a second."""

PACE_RETENTION_S = 30.0
"""Twenty half-lives; nothing is left of older samples."""

BYTES_PER_S = 12_000.0
"""What the totals may take of a host's link, a fiftieth of a link of 5 Mbit/s."""

ENTRY_BYTES = 40
"""An engine's id and numbers as they are encoded."""

MINIMUM_INTERVAL_S = 0.5
"""Two heartbeats; a long prompt is read within this time."""

SHARED_INTERVAL_S = 0.1
"""Adding all reports up for each host takes a large deployment's leader most of a core;
within this time few hosts send an engine anything."""

MAXIMUM_ENGINES = 4_096
"""Bounds memory; six times the largest planned deployment."""


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """A host's unfinished work, and when its report arrived."""

    work: list[fleet.EngineWork]
    received_s: float


@dataclasses.dataclass(slots=True)
class Totals:
    """The last report of each host, and the pace of each engine.

    ``shared`` is the list that all hosts get, as of ``shared_s``.
    """

    reports: dict[str, Report] = dataclasses.field(default_factory=dict)
    paces: dict[str, workload_pace.Pace] = dataclasses.field(default_factory=dict)
    shared: list[fleet.EngineLoad] = dataclasses.field(default_factory=list)
    shared_s: float = -math.inf


def record(totals: Totals, now: float, host: str, work: list[fleet.EngineWork]) -> None:
    """Replace a host's report, and learn from the samples in it."""
    if not work and host not in totals.reports:
        return
    totals.reports[host] = Report(work, now)
    for entry in work:
        if entry.sample_tokens > 0:
            _learn(totals, now, entry)


def shared(totals: Totals, now: float) -> list[fleet.EngineLoad]:
    """Return the current list, worked out once for all hosts that ask within a time."""
    if now - totals.shared_s >= SHARED_INTERVAL_S:
        totals.shared = current(totals, now)
        totals.shared_s = now
    return totals.shared


def current(totals: Totals, now: float) -> list[fleet.EngineLoad]:
    """Return what is outstanding at each engine, and its pace; drop old reports."""
    remove_expired(totals, now)
    sums: dict[tuple[str, int], list[int]] = {}
    for report in totals.reports.values():
        for entry in report.work:
            total = sums.setdefault((entry.upstream, entry.started_ms), [0, 0])
            total[0] += entry.unread_tokens
            total[1] += entry.memory_tokens
    for upstream, pace in totals.paces.items():
        sums.setdefault((upstream, pace.started_ms), [0, 0])
    typical_s = workload_pace.mean_s(list(totals.paces.values()), now)
    return [
        fleet.EngineLoad(
            upstream=upstream,
            started_ms=started_ms,
            unread_tokens=unread,
            memory_tokens=memory,
            pace_us=_pace_us(totals, now, upstream, started_ms, typical_s),
        )
        for (upstream, started_ms), (unread, memory) in sums.items()
    ]


def interval_s(totals: Totals) -> float:
    """Return the time between two lists of the totals to one host."""
    return interval_of(len(totals.paces))


def interval_of(engines: int) -> float:
    """Return the time between two lists of this many engines to one host."""
    return max(MINIMUM_INTERVAL_S, ENTRY_BYTES * engines / BYTES_PER_S)


def remove_expired(totals: Totals, now: float) -> None:
    """Drop the reports of lost hosts and paces without recent samples."""
    for host, report in list(totals.reports.items()):
        if now - report.received_s > REPORT_EXPIRY_S:
            del totals.reports[host]
    for upstream, pace in list(totals.paces.items()):
        if now - pace.updated_s > PACE_RETENTION_S:
            del totals.paces[upstream]


def _learn(totals: Totals, now: float, entry: fleet.EngineWork) -> None:
    pace = totals.paces.get(entry.upstream)
    if pace is not None and pace.started_ms > entry.started_ms:
        return
    if pace is None and len(totals.paces) >= MAXIMUM_ENGINES:
        return
    if pace is None or pace.started_ms < entry.started_ms:
        pace = workload_pace.Pace(entry.started_ms)
        totals.paces[entry.upstream] = pace
    workload_pace.add(pace, now, entry.sample_tokens, entry.sample_s)


def _pace_us(
    totals: Totals, now: float, upstream: str, started_ms: int, typical_s: float | None
) -> float:
    if typical_s is None:
        return 0.0
    pace = totals.paces.get(upstream)
    if pace is None or pace.started_ms != started_ms:
        pace = workload_pace.Pace(started_ms)
    return 1e6 * workload_pace.seconds_per_token(pace, now, typical_s)
