"""Find the prompt parts that crash upstreams, from the reports of all hosts.

A host reports each request that lost its upstream before its answer had really begun.
Many requests lose theirs in one crash, but only a part that causes crashes is in
several of them without ever being in an answer that goes on. Which of several such
parts it is: the one in most crashes; if one more crash does not tell, the one in the
fewest requests, then the last in the prompt, since parts in front are shared more
widely. Crashes that a quarantined part explains don't count for others. A whole request
is followed in the same way, as a part that only its repeats have.

Load pattern: requests with one part, or repeats of one request, come at any host.
"""

import dataclasses
import math

from bitternlever.fleet import quarantine
from bitternlever.messages import fleet

MINIMUM_CRASHES = 3
"""Two may be a coincidence for a part that was never in an answer."""

MINIMUM_DOUBTFUL_CRASHES = 2
"""From here on, hosts are asked for answers to prompts with the part."""

MINIMUM_CRASHES_OF_SOUND = 5
MINIMUM_SPAN_S = 3.0
"""For a part that was in an answer before; without another one for that long."""

SAME_MOMENT_S = 0.1
"""Crashes closer than this count once; a failing rack takes several upstreams along.

A whole request is seldom on several upstreams of a rack, and its repeats may come fast.
"""

RETENTION_S = 120.0
"""Time for which a crash counts."""

TRIAL_INTERVAL_S = 60.0
MAXIMUM_TRIAL_INTERVAL_S = 960.0
"""One request is let through after the first time; it doubles up to the second."""

REQUEST_TRIAL_FACTOR = 5.0
"""A repeat of a whole request is hardly ever sound, and few callers miss it."""

ASKED_FOR_S = 2.0
"""A trial goes to a host that had a request with the part within this time."""

JUDGE_INTERVAL_S = 5.0
"""Old crashes stop counting with this delay, if no new ones are reported."""

EXPIRY_INTERVAL_S = 1.0
"""A crash counts up to this much longer."""

MAXIMUM_SUSPECTS = 2_000
MAXIMUM_CRASHES = 16
MAXIMUM_REQUESTS = 16
MAXIMUM_LISTED = 64
"""Bound memory and messages: parts, crashes of a part, requests of a crash."""


@dataclasses.dataclass(slots=True)
class Crash:
    """The crash of an upstream, with the requests with a part that it took along."""

    at_s: float
    requests: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Suspect:
    """Crashes by start of an upstream, and the latest answer to a prompt with a part.

    ``position`` is the last place in a prompt at which the part was.
    """

    crashes: dict[str, Crash] = dataclasses.field(default_factory=dict)
    sound_s: float = -math.inf
    position: int = 0


@dataclasses.dataclass(slots=True)
class Trials:
    """When the next request with a quarantined part may pass, and how many have."""

    next_s: float
    granted: int = 0


@dataclasses.dataclass(slots=True)
class Evidence:
    """Suspects and trials by part; times are on the local clock.

    ``doubtful`` are the parts of which hosts should report answers. ``outdated`` is set
    if something was reported since ``judged_s``, when all parts were last judged; old
    crashes were last removed at ``expired_s``.
    """

    suspects: dict[str, Suspect] = dataclasses.field(default_factory=dict)
    trials: dict[str, Trials] = dataclasses.field(default_factory=dict)
    doubtful: list[str] = dataclasses.field(default_factory=list)
    outdated: bool = False
    judged_s: float = -math.inf
    expired_s: float = -math.inf


def record_crash(evidence: Evidence, now: float, report: fleet.PromptCrash) -> None:
    """Record that a request lost its upstream before its answer had really begun."""
    at_s = now - report.age_s
    if now - at_s > RETENTION_S:
        return
    evidence.outdated = True
    start = start_of(report)
    for position, (part, sound_age_s) in enumerate(report.parts):
        suspect = _suspect(evidence, now, part)
        if suspect is None:
            continue
        suspect.position = max(suspect.position, position)
        if sound_age_s is not None:
            suspect.sound_s = max(suspect.sound_s, now - sound_age_s)
        crash = suspect.crashes.get(start)
        if crash is None:
            crash = suspect.crashes[start] = Crash(at_s)
            if len(suspect.crashes) > MAXIMUM_CRASHES:
                del suspect.crashes[next(iter(suspect.crashes))]
        if len(crash.requests) < MAXIMUM_REQUESTS:
            crash.requests.add(report.request)


def start_of(report: fleet.PromptCrash) -> str:
    """Return what tells the start of an upstream from others."""
    return f"{report.upstream} {report.started_ms}"


def record_sound(
    evidence: Evidence,
    records: quarantine.Records,
    now: float,
    report: fleet.SoundPart,
) -> bool:
    """Record an answer to a prompt with a part; return whether this releases it."""
    sound_s = now - report.age_s
    suspect = evidence.suspects.get(report.part)
    if suspect is not None:
        if sound_s - suspect.sound_s < SAME_MOMENT_S:
            return False
        suspect.sound_s = sound_s
        evidence.outdated = True
    record = records.get(report.part)
    if record is None or not record.quarantined:
        return False
    if suspect is None:
        convicted = sound_s <= record.changed_s
    else:
        explained = _explained(evidence, records, now, besides=report.part)
        times = _crash_times(report.part, suspect, explained)
        convicted = _is_convicted(suspect, times)
    if convicted:
        return False
    forget(evidence, report.part)
    return quarantine.change(records, now, report.part, quarantined=False)


def forget(evidence: Evidence, part: str) -> None:
    """Drop the evidence against a part that was released."""
    evidence.suspects.pop(part, None)
    evidence.trials.pop(part, None)


def judge(evidence: Evidence, records: quarantine.Records, now: float) -> list[str]:
    """Quarantine the parts that crash upstreams; return the new ones."""
    if not evidence.suspects:
        evidence.doubtful = []
        return []
    if not evidence.outdated and now - evidence.judged_s < JUDGE_INTERVAL_S:
        return []
    evidence.outdated = False
    evidence.judged_s = now
    if now - evidence.expired_s >= EXPIRY_INTERVAL_S:
        _remove_expired(evidence, now)
    changed = _quarantine_convicted(evidence, records, now)
    evidence.doubtful = _doubtful(evidence, records, now)
    return changed


def _quarantine_convicted(
    evidence: Evidence, records: quarantine.Records, now: float
) -> list[str]:
    changed = []
    while True:
        part = _most_suspected(evidence, records, now)
        if part is None:
            return changed
        quarantine.change(records, now, part, quarantined=True)
        changed.append(part)


def _most_suspected(
    evidence: Evidence, records: quarantine.Records, now: float
) -> str | None:
    """Return the part to quarantine next; wait for one more crash if several may be."""
    explained = _explained(evidence, records, now)
    convicted = []
    for part, suspect in _repeated(evidence, MINIMUM_CRASHES):
        times = _crash_times(part, suspect, explained)
        if quarantine.is_quarantined(records, now, part):
            continue
        if _is_convicted(suspect, times):
            convicted.append((len(times), *_specificity(suspect), part))
    convicted.sort(reverse=True)
    if not convicted:
        return None
    count, *_, part = convicted[0]
    rivals = [rival for rival_count, *_, rival in convicted[1:] if rival_count == count]
    undecided = any(_may_tell(evidence, part, rival) for rival in rivals)
    return None if undecided and count == MINIMUM_CRASHES else part


def _may_tell(evidence: Evidence, part: str, rival: str) -> bool:
    """Return whether one more crash may show that a part has not caused the crashes.

    Not if it is a whole request and the rival was only in its repeats: these have all
    that it has.
    """
    suspects = evidence.suspects
    same = _requests(suspects[part]) == _requests(suspects[rival])
    return not (same and quarantine.is_request(part))


def _repeated(evidence: Evidence, crashes: int) -> list[tuple[str, Suspect]]:
    """Return the suspects that were in some crashes at least."""
    return [
        (part, suspect)
        for part, suspect in evidence.suspects.items()
        if len(suspect.crashes) >= crashes
    ]


def _doubtful(evidence: Evidence, records: quarantine.Records, now: float) -> list[str]:
    """Return the parts with several unexplained crashes since their last answer."""
    explained = _explained(evidence, records, now)
    doubtful = [
        part
        for part, suspect in _repeated(evidence, MINIMUM_DOUBTFUL_CRASHES)
        if len(_crash_times(part, suspect, explained)) >= MINIMUM_DOUBTFUL_CRASHES
        and not quarantine.is_quarantined(records, now, part)
    ]
    return doubtful[:MAXIMUM_LISTED]


def grant_trials(
    evidence: Evidence,
    records: quarantine.Records,
    now: float,
    asked_for: list[fleet.PromptPart],
    *,
    leads: bool,
) -> list[str]:
    """Return the parts with which one request at a host may pass.

    ``asked_for`` are the host's records. Only the leader grants trials; the time until
    one starts again while another process leads.
    """
    for part in list(evidence.trials):
        if not quarantine.is_quarantined(records, now, part):
            del evidence.trials[part]
    granted = []
    for reported in asked_for:
        if not quarantine.is_quarantined(records, now, reported.part):
            continue
        trials = evidence.trials.get(reported.part)
        if trials is None or not leads:
            evidence.trials[reported.part] = Trials(
                now + _trial_interval_s(reported.part, 0)
            )
            continue
        age_s = reported.seen_age_s
        if now < trials.next_s or age_s is None or age_s > ASKED_FOR_S:
            continue
        trials.granted += 1
        trials.next_s = now + _trial_interval_s(reported.part, trials.granted)
        granted.append(reported.part)
    return granted


def _trial_interval_s(part: str, granted: int) -> float:
    interval_s = min(MAXIMUM_TRIAL_INTERVAL_S, TRIAL_INTERVAL_S * 2**granted)
    return interval_s * (REQUEST_TRIAL_FACTOR if quarantine.is_request(part) else 1.0)


def _suspect(evidence: Evidence, now: float, part: str) -> Suspect | None:
    suspect = evidence.suspects.get(part)
    if suspect is None:
        if len(part) > quarantine.MAXIMUM_PART_LENGTH:
            return None
        if len(evidence.suspects) >= MAXIMUM_SUSPECTS:
            _remove_expired(evidence, now)
        if len(evidence.suspects) >= MAXIMUM_SUSPECTS:
            del evidence.suspects[_least_suspected(evidence)]
        suspect = evidence.suspects[part] = Suspect()
    return suspect


def _least_suspected(evidence: Evidence) -> str:
    """Return the part with the fewest crashes, the oldest of several."""
    suspects = evidence.suspects
    return min(suspects, key=lambda part: len(suspects[part].crashes))


def _remove_expired(evidence: Evidence, now: float) -> None:
    evidence.expired_s = now
    for part, suspect in list(evidence.suspects.items()):
        for start, crash in list(suspect.crashes.items()):
            if now - crash.at_s > RETENTION_S:
                del suspect.crashes[start]
        if not suspect.crashes:
            del evidence.suspects[part]


def _explained(
    evidence: Evidence,
    records: quarantine.Records,
    now: float,
    besides: str | None = None,
) -> set[str]:
    """Return the starts of upstreams that quarantined parts have crashed."""
    return {
        start
        for part in records
        if part != besides
        and part in evidence.suspects
        and quarantine.is_quarantined(records, now, part)
        for start in evidence.suspects[part].crashes
    }


def _crash_times(part: str, suspect: Suspect, explained: set[str]) -> list[float]:
    """Return the moments of unexplained crashes since the last answer."""
    distance_s = 0.0 if quarantine.is_request(part) else SAME_MOMENT_S
    moments: list[float] = []
    for at_s in sorted(
        crash.at_s
        for start, crash in suspect.crashes.items()
        if start not in explained and crash.at_s > suspect.sound_s
    ):
        if not moments or at_s - moments[-1] >= distance_s:
            moments.append(at_s)
    return moments


def _is_convicted(suspect: Suspect, times: list[float]) -> bool:
    if suspect.sound_s == -math.inf:
        return len(times) >= MINIMUM_CRASHES
    if len(times) < MINIMUM_CRASHES_OF_SOUND:
        return False
    return times[-1] - times[0] >= MINIMUM_SPAN_S


def _specificity(suspect: Suspect) -> tuple[int, int]:
    """Return an order of parts with equally many crashes; the highest is to blame."""
    return -len(_requests(suspect)), suspect.position


def _requests(suspect: Suspect) -> set[str]:
    return set().union(*(crash.requests for crash in suspect.crashes.values()))
