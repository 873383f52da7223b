"""Fake upstreams: they announce themselves, run stage calls and misbehave.

An upstream's faults are ``silent`` (it runs and never answers), ``dying`` (it ends in
the middle of an answer), ``failing`` (status 500 after running), ``late``, ``twice``,
``crossed`` (it answers with its former call's answer), ``cut`` (no end mark),
``gapped`` (a part in the middle is missing), ``truncated`` (the last part is missing,
or half of a whole output) and ``garbled`` (a character is wrong).
"""

import copy
import dataclasses
from collections.abc import Callable
from typing import Any

from bench.invariants import records
from bitternlever.messages import requests, upstream
from tests.scenarios import network, world

ANNOUNCE_S = 1.0
LATE_S = 2.5
WORDS = 8
Answer = Callable[[Any], None]


@dataclasses.dataclass(slots=True)
class Upstream:
    """One fake upstream: what it says of itself, how fast it is, what is wrong."""

    announcement: upstream.Announcement
    idempotent: bool = True
    service_s: float = 0.04
    alive: bool = True
    talking: bool = True
    faults: set[str] = dataclasses.field(default_factory=set)
    unheard_by: set[str] = dataclasses.field(default_factory=set)
    cancelled: set[str] = dataclasses.field(default_factory=set)
    former: requests.UpstreamFinished | None = None


@dataclasses.dataclass(slots=True, repr=False)
class Fleet:
    """All fake upstreams by name."""

    here: world.World
    wires: network.Network
    by_name: dict[str, Upstream] = dataclasses.field(default_factory=dict)


def announce(fleet: Fleet, name: str) -> None:
    """Announce an upstream to every entry host it reaches, now and every second."""
    fake = fleet.by_name[name]
    if not fake.alive:
        return
    world.after(fleet.here, ANNOUNCE_S, lambda: announce(fleet, name))
    if not fake.talking:
        return
    fake.announcement.sequence += 1
    for process in fleet.here.processes.values():
        cut = (name, process.name) in fleet.wires.cut
        reached = not cut and process.name not in fake.unheard_by
        if process.name.startswith("entry-") and process.alive and reached:
            word = requests.UpstreamAnnounced(copy.copy(fake.announcement))
            world.deliver(fleet.here, process, word)
            if word.announcement.leaving:
                left = records.LeavingAnnounced(name, fleet.here.now)
                fleet.here.recorded.append(left)


def take(fleet: Fleet, sent: requests.CallUpstream, answer: Answer) -> None:
    """Run a stage call; ``answer`` carries each event back to the caller's shell."""
    fake = fleet.by_name[sent.upstream]
    output = _output(sent.call)
    _record(
        fleet,
        sent,
        records.StageCalled,
        epoch=sent.call.binding.epoch,
        idempotent=fake.idempotent,
    )

    def part(index: int) -> None:
        if not fake.alive or sent.attempt in fake.cancelled or "silent" in fake.faults:
            return
        if index == WORDS:
            _finish(fleet, sent, output, answer)
            return
        if index == WORDS // 2 and "dying" in fake.faults:
            fake.alive = False
            answer(_failed(sent, "the connection was reset"))
            return
        if sent.call.stream:
            _part(fake, sent, output, index, answer)
        step_s = fake.service_s / WORDS if index + 1 < WORDS else 0.0
        world.after(fleet.here, step_s, lambda: part(index + 1))

    first = len(sent.call.resume_output) * WORDS // len(output)
    world.after(fleet.here, fake.service_s / WORDS, lambda: part(first))


def _finish(
    fleet: Fleet,
    sent: requests.CallUpstream,
    output: str,
    answer: Answer,
) -> None:
    fake = fleet.by_name[sent.upstream]
    _record(
        fleet,
        sent,
        records.CallEnded,
        ending=records.Ending.WHOLE,
        output_digest=records.text_digest(output),
    )
    finished = _finished(fake, sent, output)
    former, fake.former = fake.former, finished
    if "failing" in fake.faults:
        answer(_failed(sent, "the upstream failed", status=500))
    elif "cut" in fake.faults:
        answer(_failed(sent, "the stream ended without its end mark"))
    elif "crossed" in fake.faults and former is not None:
        crossed = copy.copy(former)
        crossed.attempt = sent.attempt
        answer(crossed)
    elif "late" in fake.faults:
        world.after(fleet.here, LATE_S, lambda: answer(finished))
    else:
        answer(finished)
        if "twice" in fake.faults:
            answer(copy.copy(finished))


def _part(
    fake: Upstream,
    sent: requests.CallUpstream,
    output: str,
    index: int,
    answer: Answer,
) -> None:
    """Send one part of a stream, unless a fault withholds it."""
    missing = {"gapped": WORDS // 2, "truncated": WORDS - 1}
    if index in [missing.get(fault) for fault in fake.faults]:
        return
    start = len(output) * index // WORDS
    text = output[start : len(output) * (index + 1) // WORDS]
    if "garbled" in fake.faults and index + 1 == WORDS:
        text = "?" + text[1:]
    answer(requests.UpstreamPart(sent.attempt, offset=start, text=text))


def _output(call: upstream.StageCall) -> str:
    """Make a text that names its attempt, after the text that it resumes."""
    mark = records.digest([call.binding.attempt, call.binding.request])[:8]
    words = [f"{call.binding.stage}-{mark}-{number} " for number in range(WORDS)]
    return call.resume_output + "".join(words)[len(call.resume_output) :]


def _record(
    fleet: Fleet,
    sent: requests.CallUpstream,
    form: type,
    **fields: Any,
) -> None:
    binding = sent.call.binding
    record = form(
        upstream=sent.upstream,
        request=binding.request,
        stage=binding.stage,
        attempt=binding.attempt,
        input_digest=records.digest(sent.call.input),
        time_s=fleet.here.now,
        **fields,
    )
    fleet.here.recorded.append(record)


def _finished(
    fake: Upstream,
    sent: requests.CallUpstream,
    output: str,
) -> requests.UpstreamFinished:
    streamed = sent.call.stream
    whole = output
    if "garbled" in fake.faults:
        whole = "?" + output[1:]
    if "truncated" in fake.faults:
        whole = output[: len(output) // 2]
    return requests.UpstreamFinished(
        attempt=sent.attempt,
        binding=sent.call.binding,
        digest=records.text_digest(output) if streamed else records.digest(output),
        output=None if streamed else whole,
        length=len(output) if streamed else None,
        usage=upstream.Usage(busy_ms=40.0, output_tokens=WORDS),
    )


def _failed(
    sent: requests.CallUpstream,
    reason: str,
    status: int | None = None,
) -> requests.UpstreamFailed:
    return requests.UpstreamFailed(
        attempt=sent.attempt,
        sent=requests.Sent.UNKNOWN,
        reason=reason,
        status=status,
    )
