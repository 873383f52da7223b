"""Prompt parts as an entry host sees them: refused, suspected, or in sound answers.

A request that loses its upstream before its answer has really begun may have crashed
it. The host reports it to control, which decides for the fleet
(``fleet.crash_suspects``), and refuses requests with parts that control has
quarantined. The last part of a prompt belongs to its request alone and is not followed.
"""

import collections
import dataclasses

from bitternlever.fleet import quarantine
from bitternlever.gateway import dialect
from bitternlever.messages import fleet

MAXIMUM_PARTS = 16
"""Parts of one prompt that are followed; known prompts have up to five."""

MAXIMUM_REQUEST_LENGTH = 64
"""The rest of a request's id is not reported; callers may send any length."""

BEGUN_EVENTS = 2
"""With this many events the answer has begun, and its upstream has survived it."""

SOUND_RETENTION_S = 300.0
MAXIMUM_SOUND_PARTS = 4_096
MAXIMUM_CRASHES = 128
CRASH_RETENTION_S = 120.0
"""Bound what is kept for control; a restarted one gets all of it."""

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


@dataclasses.dataclass(slots=True)
class PromptParts:
    """What a host knows of prompt parts; times are on the boot clock.

    ``sound`` are the times of the last answers by part, the latest last; ``trials`` are
    the times until which one request with a part may pass.
    """

    records: quarantine.Records = dataclasses.field(default_factory=dict)
    suspects: frozenset[str] = frozenset()
    sound: collections.OrderedDict[str, float] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    crashes: collections.deque[Crash] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAXIMUM_CRASHES)
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


def refused_for_s(
    parts: PromptParts,
    now: float,
    head: dialect.RequestHead,
    *,
    sending: bool,
) -> float | None:
    """Return how long requests with these parts are refused, None if they are not.

    A request that is being sent uses up the trial of its part.
    """
    if not parts.records:
        return None
    refused_s = None
    on_trial = []
    for part in shared(head):
        if not quarantine.is_quarantined(parts.records, now, part):
            continue
        record = parts.records[part]
        record.seen_s = now
        quarantine.renew(parts.records, part, now)
        if now < parts.trials.get(part, now):
            on_trial.append(part)
        else:
            refused_s = max(refused_s or 0.0, record.lapses_s - now)
    if sending and refused_s is None:
        for part in on_trial:
            del parts.trials[part]
    return refused_s


def is_suspected(parts: PromptParts, head: dialect.RequestHead) -> bool:
    """Return whether a part was in several crashes and in no answer at this host."""
    if not parts.suspects:
        return False
    return any(
        part in parts.suspects and part not in parts.sound for part in shared(head)
    )


def record_sound(parts: PromptParts, now: float, head: dialect.RequestHead) -> None:
    """Record that the answer to a prompt has begun without a crash."""
    for part in shared(head):
        parts.sound[part] = now
        parts.sound.move_to_end(part)
    while len(parts.sound) > MAXIMUM_SOUND_PARTS:
        parts.sound.popitem(last=False)


def record_crash(
    parts: PromptParts,
    now: float,
    head: dialect.RequestHead,
    upstream: fleet.UpstreamStatus,
) -> None:
    """Record that a request lost its upstream before its answer had really begun."""
    followed = shared(head)
    if followed:
        request = head.request[:MAXIMUM_REQUEST_LENGTH]
        parts.crashes.append(
            Crash(request, upstream.upstream, upstream.started_ms, followed, now)
        )


def crashes_since(
    parts: PromptParts, now: float, since_s: float
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


def sound_reports(parts: PromptParts, now: float) -> list[fleet.SoundPart]:
    """Return the last answers to prompts with suspected or quarantined parts."""
    asked = parts.suspects.union(parts.records)
    ages_s = {part: _sound_age_s(parts, now, part) for part in asked}
    return [
        fleet.SoundPart(part, age_s)
        for part, age_s in ages_s.items()
        if age_s is not None
    ]


def handle_reply(
    parts: PromptParts, now: float, reply: fleet.HostHeartbeatReply
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


def _sound_age_s(parts: PromptParts, now: float, part: str) -> float | None:
    sound_s = parts.sound.get(part)
    if sound_s is None or now - sound_s > SOUND_RETENTION_S:
        return None
    return now - sound_s
