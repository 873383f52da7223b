"""A fake of the part of an entry host's shell that calls upstreams."""

import dataclasses
from typing import Any

from bitternlever.messages import requests
from tests.scenarios import network, simulation, upstreams

SHELL_DELAY_S = 0.0001
TIMER_SLACK_S = 0.0001


@dataclasses.dataclass(slots=True)
class Call:
    """One call; replies that arrive after its end are dropped."""

    process: simulation.Process
    sent: requests.CallUpstream
    last_received_s: float
    started: bool = False
    ended: bool = False


@dataclasses.dataclass(slots=True, repr=False)
class Shell:
    """The calls of all entry hosts by attempt.

    ``silenced`` directions lose one call without an error. ``lingering`` keeps
    connections open after a timeout, so that late replies reach the core.
    """

    sim: simulation.Simulation
    net: network.Network
    fleet: upstreams.Fleet
    calls: dict[str, Call] = dataclasses.field(default_factory=dict)
    silenced: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    lingering: bool = False


def call(
    shell: Shell, process: simulation.Process, sent: requests.CallUpstream
) -> None:
    """Send a stage call, unless the host's lease has ended or the upstream is down."""
    open_call = Call(process=process, sent=sent, last_received_s=shell.sim.now)
    shell.calls[sent.attempt] = open_call

    def dial() -> None:
        fake = shell.fleet.by_name[sent.upstream]
        open_call.last_received_s = shell.sim.now
        if shell.sim.now > sent.must_not_start_after:
            _fail(shell, open_call, requests.Sent.NO, "the lease ended before the call")
            return
        if not fake.alive:
            _fail(shell, open_call, requests.Sent.NO, "the connection was refused")
            return
        _watch_timeout(shell, open_call, sent.first_byte_timeout_s)
        direction = (process.name, sent.upstream)
        if direction in shell.net.cut or direction in shell.silenced:
            shell.silenced.discard(direction)
            return
        simulation.schedule(
            shell.sim, network.LATENCY_S, lambda: _send_to_upstream(shell, open_call)
        )

    in_process = lambda: simulation.run_in_process(shell.sim, process, dial)  # noqa: E731
    simulation.schedule(shell.sim, SHELL_DELAY_S, in_process)


def cancel(shell: Shell, sent: requests.CancelUpstream) -> None:
    """Cancel a call and drop its later replies."""
    if sent.attempt in shell.calls:
        shell.calls[sent.attempt].ended = True
    shell.fleet.by_name[sent.upstream].cancelled.add(sent.attempt)


def _send_to_upstream(shell: Shell, open_call: Call) -> None:
    def reply(message: Any) -> None:
        simulation.schedule(
            shell.sim, network.LATENCY_S, lambda: receive_reply(message)
        )

    def receive_reply(message: Any) -> None:
        direction = (open_call.sent.upstream, open_call.process.name)
        if direction not in shell.net.cut:
            _deliver_reply(shell, open_call, message)

    upstreams.run_call(shell.fleet, open_call.sent, reply)


def _deliver_reply(shell: Shell, open_call: Call, message: Any) -> None:
    if open_call.ended and not shell.lingering:
        return
    open_call.last_received_s = shell.sim.now
    open_call.started = True
    if not isinstance(message, requests.UpstreamPart):
        open_call.ended = True
    simulation.deliver(shell.sim, open_call.process, message)


def _watch_timeout(shell: Shell, open_call: Call, wait_s: float) -> None:
    def check() -> None:
        if open_call.ended:
            return
        sent = open_call.sent
        limit_s = sent.first_byte_timeout_s
        if open_call.started:
            limit_s = sent.between_bytes_timeout_s
        left_s = open_call.last_received_s + limit_s - shell.sim.now
        if left_s > 0:
            _watch_timeout(shell, open_call, left_s + TIMER_SLACK_S)
            return
        _fail(shell, open_call, requests.Sent.UNKNOWN, "the upstream is silent")

    simulation.schedule(
        shell.sim,
        wait_s,
        lambda: simulation.run_in_process(shell.sim, open_call.process, check),
    )


def _fail(
    shell: Shell,
    open_call: Call,
    sent: requests.Sent,
    reason: str,
) -> None:
    open_call.ended = True
    message = requests.UpstreamFailed(
        attempt=open_call.sent.attempt,
        sent=sent,
        reason=reason,
    )
    simulation.deliver(shell.sim, open_call.process, message)
