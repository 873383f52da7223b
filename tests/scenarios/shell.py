"""The part of an entry host's shell that calls upstreams."""

import dataclasses
from typing import Any

from bitternlever.messages import requests
from tests.scenarios import network, upstreams, world

SHELL_S = 0.0001
TIMER_SLACK_S = 0.0001


@dataclasses.dataclass(slots=True)
class Call:
    """One open call; what arrives after its end is dropped with its connection."""

    process: world.Process
    sent: requests.CallUpstream
    heard_s: float
    started: bool = False
    over: bool = False


@dataclasses.dataclass(slots=True, repr=False)
class Shell:
    """The open calls of all entry hosts by attempt.

    ``lingering`` keeps connections open after a timeout, so that late answers reach
    the core.
    """

    here: world.World
    wires: network.Network
    fleet: upstreams.Fleet
    calls: dict[str, Call] = dataclasses.field(default_factory=dict)
    silenced: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    lingering: bool = False


def call(shell: Shell, process: world.Process, sent: requests.CallUpstream) -> None:
    """Send a stage call, unless the host's lease has ended or nobody listens."""
    opened = Call(process=process, sent=sent, heard_s=shell.here.now)
    shell.calls[sent.attempt] = opened

    def dial() -> None:
        fake = shell.fleet.by_name[sent.upstream]
        opened.heard_s = shell.here.now
        if shell.here.now > sent.must_not_start_after:
            _fail(shell, opened, requests.Sent.NO, "the lease ended before the call")
            return
        if not fake.alive:
            _fail(shell, opened, requests.Sent.NO, "the connection was refused")
            return
        _watch(shell, opened, sent.first_byte_timeout_s)
        way = (process.name, sent.upstream)
        if way in shell.wires.cut or way in shell.silenced:
            shell.silenced.discard(way)
            return
        world.after(shell.here, network.LATENCY_S, lambda: _reach(shell, opened))

    in_process = lambda: world.within(shell.here, process, dial)  # noqa: E731
    world.after(shell.here, SHELL_S, in_process)


def cancel(shell: Shell, sent: requests.CancelUpstream) -> None:
    """Cancel a call and drop what still arrives for it."""
    if sent.attempt in shell.calls:
        shell.calls[sent.attempt].over = True
    shell.fleet.by_name[sent.upstream].cancelled.add(sent.attempt)


def _reach(shell: Shell, opened: Call) -> None:
    def answer(message: Any) -> None:
        world.after(shell.here, network.LATENCY_S, lambda: back(message))

    def back(message: Any) -> None:
        way = (opened.sent.upstream, opened.process.name)
        if way not in shell.wires.cut:
            _arrive(shell, opened, message)

    upstreams.take(shell.fleet, opened.sent, answer)


def _arrive(shell: Shell, opened: Call, message: Any) -> None:
    if opened.over and not shell.lingering:
        return
    opened.heard_s = shell.here.now
    opened.started = True
    if not isinstance(message, requests.UpstreamPart):
        opened.over = True
    world.deliver(shell.here, opened.process, message)


def _watch(shell: Shell, opened: Call, wait_s: float) -> None:
    def look() -> None:
        if opened.over:
            return
        sent = opened.sent
        limit_s = sent.first_byte_timeout_s
        if opened.started:
            limit_s = sent.between_bytes_timeout_s
        left_s = opened.heard_s + limit_s - shell.here.now
        if left_s > 0:
            _watch(shell, opened, left_s + TIMER_SLACK_S)
            return
        _fail(shell, opened, requests.Sent.UNKNOWN, "the upstream is silent")

    world.after(
        shell.here,
        wait_s,
        lambda: world.within(shell.here, opened.process, look),
    )


def _fail(
    shell: Shell,
    opened: Call,
    sent: requests.Sent,
    reason: str,
) -> None:
    opened.over = True
    message = requests.UpstreamFailed(
        attempt=opened.sent.attempt,
        sent=sent,
        reason=reason,
    )
    world.deliver(shell.here, opened.process, message)
