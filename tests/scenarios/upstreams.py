"""Fake upstreams, which announce themselves, run stage calls and can have faults.

The faults are ``silent`` (it runs and never replies), ``dying`` (it ends in the middle
of a reply), ``failing`` (status 500 after running), ``late``, ``twice``, ``crossed``
(it sends the reply of its previous call), ``cut`` (the end mark is missing), ``gapped``
(a part in the middle is missing), ``truncated`` (the last part is missing, or half of
an output that is not streamed) and ``garbled`` (a character is wrong).
"""

import copy
import dataclasses
from collections.abc import Callable
from typing import Any

from bench.invariants import records
from bitternlever.messages import requests, upstream
from tests.scenarios import network, simulation

ANNOUNCE_S = 1.0
LATE_REPLY_S = 2.5
OUTPUT_WORDS = 8
SendReply = Callable[[Any], None]


@dataclasses.dataclass(slots=True)
class Upstream:
    """One fake upstream: its announcement, speed and faults."""

    announcement: upstream.Announcement
    idempotent: bool = True
    service_s: float = 0.04
    alive: bool = True
    announces: bool = True
    faults: set[str] = dataclasses.field(default_factory=set)
    unreachable_hosts: set[str] = dataclasses.field(default_factory=set)
    cancelled: set[str] = dataclasses.field(default_factory=set)
    previous_reply: requests.UpstreamFinished | None = None


@dataclasses.dataclass(slots=True, repr=False)
class Fleet:
    """All fake upstreams by name."""

    sim: simulation.Simulation
    net: network.Network
    by_name: dict[str, Upstream] = dataclasses.field(default_factory=dict)


def announce(fleet: Fleet, name: str) -> None:
    """Announce an upstream to all reachable entry hosts, now and every second."""
    fake = fleet.by_name[name]
    if not fake.alive:
        return
    simulation.schedule(fleet.sim, ANNOUNCE_S, lambda: announce(fleet, name))
    if not fake.announces:
        return
    fake.announcement.sequence += 1
    for process in fleet.sim.processes.values():
        cut = (name, process.name) in fleet.net.cut
        is_reachable = not cut and process.name not in fake.unreachable_hosts
        if process.name.startswith("entry-") and process.alive and is_reachable:
            message = requests.UpstreamAnnounced(copy.copy(fake.announcement))
            simulation.deliver(fleet.sim, process, message)
            if message.announcement.leaving:
                record = records.LeavingAnnounced(name, fleet.sim.now)
                fleet.sim.recorded.append(record)


def run_call(fleet: Fleet, sent: requests.CallUpstream, reply: SendReply) -> None:
    """Run a stage call; ``reply`` sends each event back to the caller's shell."""
    fake = fleet.by_name[sent.upstream]
    output = _output(sent.call)
    _record(
        fleet,
        sent,
        records.StageCalled,
        epoch=sent.call.binding.epoch,
        idempotent=fake.idempotent,
    )

    def produce_part(index: int) -> None:
        if not fake.alive or sent.attempt in fake.cancelled or "silent" in fake.faults:
            return
        if index == OUTPUT_WORDS:
            _finish(fleet, sent, output, reply)
            return
        if index == OUTPUT_WORDS // 2 and "dying" in fake.faults:
            fake.alive = False
            reply(_failed(sent, "the connection was reset"))
            return
        if sent.call.stream:
            _send_part(fake, sent, output, index, reply)
        step_s = fake.service_s / OUTPUT_WORDS if index + 1 < OUTPUT_WORDS else 0.0
        simulation.schedule(fleet.sim, step_s, lambda: produce_part(index + 1))

    first = len(sent.call.resume_output) * OUTPUT_WORDS // len(output)
    simulation.schedule(
        fleet.sim, fake.service_s / OUTPUT_WORDS, lambda: produce_part(first)
    )


def _finish(
    fleet: Fleet,
    sent: requests.CallUpstream,
    output: str,
    reply: SendReply,
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
    previous_reply, fake.previous_reply = fake.previous_reply, finished
    if "failing" in fake.faults:
        reply(_failed(sent, "the upstream failed", status=500))
    elif "cut" in fake.faults:
        reply(_failed(sent, "the stream ended without its end mark"))
    elif "crossed" in fake.faults and previous_reply is not None:
        crossed = copy.copy(previous_reply)
        crossed.attempt = sent.attempt
        reply(crossed)
    elif "late" in fake.faults:
        simulation.schedule(fleet.sim, LATE_REPLY_S, lambda: reply(finished))
    else:
        reply(finished)
        if "twice" in fake.faults:
            reply(copy.copy(finished))


def _send_part(
    fake: Upstream,
    sent: requests.CallUpstream,
    output: str,
    index: int,
    reply: SendReply,
) -> None:
    """Send one part of a stream, unless a fault drops it."""
    missing = {"gapped": OUTPUT_WORDS // 2, "truncated": OUTPUT_WORDS - 1}
    if index in [missing.get(fault) for fault in fake.faults]:
        return
    start = len(output) * index // OUTPUT_WORDS
    text = output[start : len(output) * (index + 1) // OUTPUT_WORDS]
    if "garbled" in fake.faults and index + 1 == OUTPUT_WORDS:
        text = "?" + text[1:]
    reply(requests.UpstreamPart(sent.attempt, offset=start, text=text))


def _output(call: upstream.StageCall) -> str:
    """Return a text that identifies its attempt, after the text that it resumes."""
    mark = records.digest([call.binding.attempt, call.binding.request])[:8]
    words = [f"{call.binding.stage}-{mark}-{number} " for number in range(OUTPUT_WORDS)]
    return call.resume_output + "".join(words)[len(call.resume_output) :]


def _record(
    fleet: Fleet,
    sent: requests.CallUpstream,
    record_type: type,
    **fields: Any,
) -> None:
    binding = sent.call.binding
    record = record_type(
        upstream=sent.upstream,
        request=binding.request,
        stage=binding.stage,
        attempt=binding.attempt,
        input_digest=records.digest(sent.call.input),
        time_s=fleet.sim.now,
        **fields,
    )
    fleet.sim.recorded.append(record)


def _finished(
    fake: Upstream,
    sent: requests.CallUpstream,
    output: str,
) -> requests.UpstreamFinished:
    streamed = sent.call.stream
    complete_output = output
    if "garbled" in fake.faults:
        complete_output = "?" + output[1:]
    if "truncated" in fake.faults:
        complete_output = output[: len(output) // 2]
    return requests.UpstreamFinished(
        attempt=sent.attempt,
        binding=sent.call.binding,
        digest=records.text_digest(output) if streamed else records.digest(output),
        output=None if streamed else complete_output,
        length=len(output) if streamed else None,
        usage=upstream.Usage(busy_ms=40.0, output_tokens=OUTPUT_WORDS),
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
