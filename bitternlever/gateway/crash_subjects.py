"""Prompt parts and whole requests that may crash upstreams, as a host sees them.

A request that loses its upstream before its answer has really begun may have crashed
it. The host reports it to control, which decides for the fleet
(``fleet.crash_suspects``), and refuses requests with parts that control has
quarantined. One that gets no answer in time may have crashed an upstream that falls
silent with its connections open; it is reported if no heartbeat of the upstream
follows. The last part of a prompt belongs to its request alone and is not followed;
the whole request is, by its fingerprints, until its answer is complete.
"""

import collections
import dataclasses
import math

from bitternlever.fleet import quarantine, upstreams
from bitternlever.gateway import context as gateway_context, dialect, fingerprints
from bitternlever.messages import fleet

MAXIMUM_PARTS = 16
"""Parts of one prompt that are followed; known prompts have up to five."""

MAXIMUM_REQUEST_LENGTH = 64
"""The rest of a request's id is not reported; callers may send any length."""

BEGUN_EVENTS = 2
"""With this many events the answer has begun, and its upstream has survived it."""

SOUND_RETENTION_S = 300.0
MAXIMUM_SOUND_PARTS = 4_096
MAXIMUM_SOUND_REQUESTS = 2_048
MAXIMUM_CRASHES = 128
CRASH_RETENTION_S = 120.0
"""Bound what is kept for control; a restarted one gets all of it."""

MAXIMUM_UNANSWERED = 256

SILENT_S = 2.5
"""Two heartbeat intervals of upstreams and some delay."""

ALL_SILENT_S = 1.5
"""If no upstream was seen for this time, control is silent rather than they."""

UNANSWERED_RETENTION_S = 20.0
"""Longer than it takes to see whether an upstream is silent."""

TRIAL_GRANT_S = 5.0
"""Time for which a host may use a trial; control grants the next one much later."""


@dataclasses.dataclass(slots=True, frozen=True)
class Crash:
    """A request that lost its upstream, and when on the local clock."""

    request: str
    upstream: str
    started_ms: int
    parts: tuple[str, ...]
    at_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Unanswered:
    """A request that was not answered in time; ``crash`` has the time of its end."""

    crash: Crash
    sent_s: float


@dataclasses.dataclass(slots=True)
class CrashSubjects:
    """What a host knows of parts and requests; times are on the boot clock.

    ``sound`` and ``sound_requests`` are the times of the last answers by part and by
    whole request, the latest last; ``trials`` are the times until which one request
    with a part may pass.
    """

    records: quarantine.Records = dataclasses.field(default_factory=dict)
    suspects: frozenset[str] = frozenset()
    sound: collections.OrderedDict[str, float] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    sound_requests: collections.OrderedDict[str, float] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    crashes: collections.deque[Crash] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAXIMUM_CRASHES)
    )
    unanswered: collections.deque[Unanswered] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAXIMUM_UNANSWERED)
    )
    trials: dict[str, float] = dataclasses.field(default_factory=dict)


def shared(head: dialect.RequestHead) -> tuple[str, ...]:
    """Return the parts of a prompt that other requests may have, too.

    Those with longer names than are followed are left out.
    """
    return tuple(
        part.part
        for part in head.prompt[:-1][:MAXIMUM_PARTS]
        if len(part.part) <= quarantine.MAXIMUM_PART_LENGTH
    )


@dataclasses.dataclass(slots=True, frozen=True)
class Quarantined:
    """A part with which requests are refused, and for how long."""

    part: str
    left_s: float

    @property
    def reason(self) -> str:
        """Return what a refused caller is told."""
        if quarantine.is_request(self.part):
            return "the request crashes upstreams"
        return "a part of the prompt crashes upstreams"


def quarantined_part(
    parts: CrashSubjects, now: float, head: dialect.RequestHead
) -> Quarantined | None:
    """Return the part for which a request is refused before its body is read."""
    return _quarantined(parts, now, shared(head), sending=False)


def quarantined(
    parts: CrashSubjects,
    now: float,
    context: gateway_context.Context,
    *,
    sending: bool,
) -> Quarantined | None:
    """Return the part for which a request is refused, None if it is not.

    A request that is being sent uses up the trial of its part.
    """
    names = shared(context.head)
    if any(map(quarantine.is_request, parts.records)):
        names += fingerprints.names(context)
    return _quarantined(parts, now, names, sending=sending)


def _quarantined(
    parts: CrashSubjects, now: float, names: tuple[str, ...], *, sending: bool
) -> Quarantined | None:
    if not parts.records:
        return None
    refused = None
    on_trial = []
    for part in names:
        if not quarantine.is_quarantined(parts.records, now, part):
            continue
        record = parts.records[part]
        record.seen_s = now
        quarantine.renew(parts.records, part, now)
        left_s = record.lapses_s - now
        if now < parts.trials.get(part, now):
            on_trial.append(part)
        elif refused is None or left_s > refused.left_s:
            refused = Quarantined(part, left_s)
    if sending and refused is None:
        for part in on_trial:
            del parts.trials[part]
    return refused


def is_suspected(parts: CrashSubjects, context: gateway_context.Context) -> bool:
    """Return whether a request has a part of several crashes and no answer here."""
    if not parts.suspects:
        return False
    return any(
        part in parts.suspects and part not in _sound(parts, part)
        for part in followed(context)
    )


def followed(context: gateway_context.Context) -> tuple[str, ...]:
    """Return the shared parts of a prompt and the names of the whole request."""
    return shared(context.head) + fingerprints.names(context)


def record_begun(parts: CrashSubjects, now: float, head: dialect.RequestHead) -> None:
    """Record that the answer to a prompt has begun without a crash."""
    _record_sound(parts.sound, now, shared(head), MAXIMUM_SOUND_PARTS)


def record_complete(
    parts: CrashSubjects, now: float, context: gateway_context.Context
) -> None:
    """Record that the answer to a request is complete."""
    record_begun(parts, now, context.head)
    names = fingerprints.names(context)
    _record_sound(parts.sound_requests, now, names, MAXIMUM_SOUND_REQUESTS)


def _record_sound(
    sound: collections.OrderedDict[str, float],
    now: float,
    names: tuple[str, ...],
    maximum: int,
) -> None:
    for part in names:
        sound[part] = now
        sound.move_to_end(part)
    while len(sound) > maximum:
        sound.popitem(last=False)


def record_crash(
    parts: CrashSubjects,
    now: float,
    context: gateway_context.Context,
    upstream: fleet.UpstreamStatus,
    *,
    begun: bool,
) -> None:
    """Record that a request lost its upstream.

    If its answer had begun, the parts of its prompt have not caused that.
    """
    names = fingerprints.names(context) if begun else followed(context)
    record_crash_of(parts, now, context.head.request, names, upstream)


def record_unanswered(
    parts: CrashSubjects,
    now: float,
    context: gateway_context.Context,
    upstream: fleet.UpstreamStatus,
    *,
    begun: bool,
    sent_s: float,
) -> None:
    """Record that a request got no answer in time, or that its caller has left."""
    names = fingerprints.names(context) if begun else followed(context)
    record_unanswered_of(parts, now, context.head.request, names, upstream, sent_s)


def record_unanswered_of(
    parts: CrashSubjects,
    now: float,
    request: str,
    names: tuple[str, ...],
    upstream: fleet.UpstreamStatus,
    sent_s: float,
) -> None:
    """Record that a request with some parts got no answer, or one of its stages."""
    if names:
        request = request[:MAXIMUM_REQUEST_LENGTH]
        crash = Crash(request, upstream.upstream, upstream.started_ms, names, now)
        parts.unanswered.append(Unanswered(crash, sent_s))


def report_silent_upstreams(
    parts: CrashSubjects, now: float, table: upstreams.UpstreamTable
) -> None:
    """Turn unanswered requests into crashes whose upstreams have been silent since."""
    if not parts.unanswered:
        return
    latest_s = max(
        (entry.last_seen_s for entry in table.entries.values()), default=-math.inf
    )
    if now - latest_s > ALL_SILENT_S:
        return
    for _ in range(len(parts.unanswered)):
        unanswered = parts.unanswered.popleft()
        is_crash = _has_crashed(now, unanswered, table)
        if is_crash is None:
            parts.unanswered.append(unanswered)
        elif is_crash:
            parts.crashes.append(dataclasses.replace(unanswered.crash, at_s=now))


def _has_crashed(
    now: float, unanswered: Unanswered, table: upstreams.UpstreamTable
) -> bool | None:
    """Return whether a request's upstream has ended under it, None if that may be."""
    crash = unanswered.crash
    entry = table.entries.get(crash.upstream)
    if entry is None or now - crash.at_s > UNANSWERED_RETENTION_S:
        return False
    if entry.superseded or entry.status.started_ms > crash.started_ms:
        return True
    was_silent = unanswered.sent_s - entry.last_seen_s > SILENT_S
    if entry.ended_s is not None or entry.last_seen_s > crash.at_s or was_silent:
        return False
    return True if now - entry.last_seen_s > SILENT_S else None


def record_crash_of(
    parts: CrashSubjects,
    now: float,
    request: str,
    names: tuple[str, ...],
    upstream: fleet.UpstreamStatus,
) -> None:
    """Record that a request with some parts lost its upstream, or that of a stage."""
    if names:
        request = request[:MAXIMUM_REQUEST_LENGTH]
        parts.crashes.append(
            Crash(request, upstream.upstream, upstream.started_ms, names, now)
        )


def quarantined_since(
    parts: CrashSubjects, now: float, names: list[str], since_s: float
) -> Quarantined | None:
    """Return the part for which work is refused that was accepted before a time."""
    for part in names:
        if quarantine.is_quarantined(parts.records, now, part):
            record = parts.records[part]
            if record.changed_s > since_s:
                return Quarantined(part, record.lapses_s - now)
    return None


def crashes_since(
    parts: CrashSubjects, now: float, since_s: float
) -> list[fleet.PromptCrash]:
    """Return the crashes after a time, to be reported to control."""
    while parts.crashes and now - parts.crashes[0].at_s > CRASH_RETENTION_S:
        parts.crashes.popleft()
    return [
        fleet.PromptCrash(
            request=crash.request,
            upstream=crash.upstream,
            started_ms=crash.started_ms,
            parts=[(part, _sound_age_s(parts, now, part)) for part in crash.parts],
            age_s=now - crash.at_s,
        )
        for crash in parts.crashes
        if crash.at_s > since_s
    ]


def sound_reports(parts: CrashSubjects, now: float) -> list[fleet.SoundPart]:
    """Return the last answers to prompts with suspected or quarantined parts."""
    asked = parts.suspects.union(parts.records)
    ages_s = {part: _sound_age_s(parts, now, part) for part in asked}
    return [
        fleet.SoundPart(part, age_s)
        for part, age_s in ages_s.items()
        if age_s is not None
    ]


def handle_reply(
    parts: CrashSubjects, now: float, reply: fleet.HostHeartbeatReply
) -> list[str]:
    """Take over what control knows; return the parts whose state has changed."""
    if reply.suspects or parts.suspects:
        parts.suspects = frozenset(reply.suspects)
    if reply.trials:
        parts.trials = {
            part: until_s for part, until_s in parts.trials.items() if now < until_s
        }
    for part in reply.trials:
        parts.trials[part] = now + TRIAL_GRANT_S
    return [
        reported.part
        for reported in reply.quarantine
        if quarantine.merge(parts.records, now, reported, authoritative=True)
    ]


def _sound_age_s(parts: CrashSubjects, now: float, part: str) -> float | None:
    sound_s = _sound(parts, part).get(part)
    if sound_s is None or now - sound_s > SOUND_RETENTION_S:
        return None
    return now - sound_s


def _sound(parts: CrashSubjects, part: str) -> collections.OrderedDict[str, float]:
    return parts.sound_requests if quarantine.is_request(part) else parts.sound
