"""This host's unfinished work at each engine, beside what control says of all hosts.

The totals include this host's last report, which is replaced by what it has there now.
"""

import dataclasses

from bitternlever.gateway import dialect
from bitternlever.messages import fleet
from bitternlever.workload import cost, pace as workload_pace, totals

TOTALS_EXPIRY_S = 3.0
"""Control sends them twice a second, and at least this often for hundreds of engines.

Without them a host knows its own work alone.
"""

TOTALS_EXPIRY_INTERVALS = 2.0
"""Long lists come more seldom; one of them may be lost."""


@dataclasses.dataclass(slots=True)
class OwnWork:
    """What this host has at a start of an engine, and the samples not yet reported."""

    started_ms: int
    unread_tokens: int = 0
    memory_tokens: int = 0
    sample_tokens: int = 0
    sample_s: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class KnownLoad:
    """The load of all hosts, what this host had reported to it, and its expiry."""

    load: fleet.EngineLoad
    own_unread_tokens: int
    own_memory_tokens: int
    expires_s: float


@dataclasses.dataclass(slots=True)
class Outstanding:
    """This host's work by engine, its last report and the last totals of all hosts."""

    own: dict[str, OwnWork] = dataclasses.field(default_factory=dict)
    reported: dict[str, tuple[int, int]] = dataclasses.field(default_factory=dict)
    known: dict[str, KnownLoad] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Reading:
    """A prompt that was sent to an engine, until its first event or its end.

    ``ahead_tokens`` were to be read there before it, as far as was known, at
    ``pace_us`` for each; this is 0 if it was not known.
    """

    work: OwnWork
    sent_s: float
    unread_tokens: int
    memory_tokens: int
    ahead_tokens: int
    pace_us: float = 0.0
    begun: bool = False


def begin(
    outstanding: Outstanding,
    now: float,
    upstream: fleet.UpstreamStatus,
    head: dialect.RequestHead,
    unread_tokens: int,
) -> Reading:
    """Count a prompt that is sent to an engine."""
    ahead_tokens = unread(outstanding, now, upstream)
    work = outstanding.own.get(upstream.upstream)
    if work is None or work.started_ms != upstream.started_ms:
        work = OwnWork(upstream.started_ms)
        outstanding.own[upstream.upstream] = work
    reading = Reading(
        work,
        now,
        unread_tokens,
        cost.memory_tokens(head),
        round(ahead_tokens),
        pace_us(outstanding, now, upstream) or 0.0,
    )
    work.unread_tokens += reading.unread_tokens
    work.memory_tokens += reading.memory_tokens
    return reading


def record_first_event(reading: Reading, now: float) -> None:
    """Record the first event of an answer: the prompt has been read."""
    if reading.begun:
        return
    reading.begun = True
    work = reading.work
    work.unread_tokens -= reading.unread_tokens
    work.sample_tokens += reading.ahead_tokens + reading.unread_tokens
    work.sample_s += workload_pace.sample_s(now - reading.sent_s)


def end(reading: Reading, now: float, *, ran: bool) -> None:
    """Record the end of a request.

    Without an event its wait is a sample only if it ran and was overdue: one that fails
    at once, or whose caller leaves early, shows nothing of the pace.
    """
    if not reading.begun:
        if ran and _is_overdue(reading, now):
            record_first_event(reading, now)
        else:
            reading.work.unread_tokens -= reading.unread_tokens
    reading.work.memory_tokens -= reading.memory_tokens


def _is_overdue(reading: Reading, now: float) -> bool:
    tokens = reading.ahead_tokens + reading.unread_tokens
    waited_s = workload_pace.sample_s(now - reading.sent_s)
    return 0 < reading.pace_us * tokens < 1e6 * waited_s


def report(outstanding: Outstanding) -> list[fleet.EngineWork]:
    """Return this host's work at engines with new samples, and remember the report."""
    entries = []
    outstanding.reported = {}
    for upstream, work in list(outstanding.own.items()):
        entry = fleet.EngineWork(
            upstream=upstream,
            started_ms=work.started_ms,
            unread_tokens=work.unread_tokens,
            memory_tokens=work.memory_tokens,
            sample_tokens=work.sample_tokens,
            sample_s=round(work.sample_s, 4),
        )
        entries.append(entry)
        outstanding.reported[upstream] = (work.unread_tokens, work.memory_tokens)
        work.sample_tokens = 0
        work.sample_s = 0.0
        if work.memory_tokens <= 0:
            del outstanding.own[upstream]
    return entries


def merge(outstanding: Outstanding, now: float, loads: list[fleet.EngineLoad]) -> None:
    """Replace the totals of all hosts, if control sent any."""
    if not loads:
        return
    interval_s = totals.interval_of(len(loads))
    expires_s = now + max(TOTALS_EXPIRY_S, TOTALS_EXPIRY_INTERVALS * interval_s)
    outstanding.known = {
        load.upstream: KnownLoad(
            load, *outstanding.reported.get(load.upstream, (0, 0)), expires_s=expires_s
        )
        for load in loads
    }


def unread(
    outstanding: Outstanding, now: float, upstream: fleet.UpstreamStatus
) -> float:
    """Return the tokens that a start of an engine still has to read."""
    own = _own(outstanding, upstream).unread_tokens
    known = _known(outstanding, now, upstream)
    if known is None:
        return own
    return own + max(0, known.load.unread_tokens - known.own_unread_tokens)


def memory(
    outstanding: Outstanding, now: float, upstream: fleet.UpstreamStatus
) -> float:
    """Return the tokens that running requests may occupy at a start of an engine."""
    own = _own(outstanding, upstream).memory_tokens
    known = _known(outstanding, now, upstream)
    if known is None:
        return own
    return own + max(0, known.load.memory_tokens - known.own_memory_tokens)


def pace_us(
    outstanding: Outstanding, now: float, upstream: fleet.UpstreamStatus
) -> float | None:
    """Return a start's microseconds for a token, None if control told nothing."""
    known = _known(outstanding, now, upstream)
    return None if known is None or known.load.pace_us <= 0 else known.load.pace_us


def _known(
    outstanding: Outstanding, now: float, upstream: fleet.UpstreamStatus
) -> KnownLoad | None:
    known = outstanding.known.get(upstream.upstream)
    if known is None or now > known.expires_s:
        return None
    return known if known.load.started_ms == upstream.started_ms else None


def _own(outstanding: Outstanding, upstream: fleet.UpstreamStatus) -> OwnWork:
    work = outstanding.own.get(upstream.upstream)
    if work is None or work.started_ms != upstream.started_ms:
        return OwnWork(upstream.started_ms)
    return work
