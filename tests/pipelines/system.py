"""A simulation of entry cores, a fake control and scripted upstreams.

It runs in virtual time.
"""

import dataclasses
import functools
import hashlib
import random
from collections.abc import Callable
from typing import Any

import msgspec

from bitternlever.core import ticks
from bitternlever.entry import tables as entry_tables, tick as entry_tick
from bitternlever.journal import machine, tables as journal_tables
from bitternlever.messages import frames, journal, manifest, requests, upstream
from tests.pipelines import fake_control
from tests.scenarios import manifests, network, world

CONTROL = "control-1"
WORKSPACE = "cantref"
SETTLE_S = 1.0
WITHOUT_HEDGES = manifest.Limits(hedge_ratio=0.0)


@dataclasses.dataclass(slots=True)
class Simulation:
    """The state of a simulation, with all that tests inspect and control.

    ``issued_calls`` are the stage calls that a core handed to its shell, ``calls``
    those that were sent before their latest start time, ``cancelled_attempts`` the
    cancellations. ``responses`` has the messages to each caller, ``ended_hosts`` the
    requests that each ended host cut off. Calls to ``held_pools`` stay open until the
    test answers them; ``unannounced_hosts`` get no upstream announcements.
    ``consumed_calls`` counts the calls by pool that ``next_call`` has returned.
    """

    runtime: world.World
    network: network.Network
    control: fake_control.Control
    calls: list[requests.CallUpstream] = dataclasses.field(default_factory=list)
    issued_calls: list[requests.CallUpstream] = dataclasses.field(default_factory=list)
    host_by_attempt: dict[str, str] = dataclasses.field(default_factory=dict)
    cancelled_attempts: list[str] = dataclasses.field(default_factory=list)
    responses: dict[int, list[Any]] = dataclasses.field(default_factory=dict)
    ended_hosts: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    held_pools: set[str] = dataclasses.field(default_factory=set)
    unannounced_hosts: set[str] = dataclasses.field(default_factory=set)
    consumed_calls: dict[str, int] = dataclasses.field(default_factory=dict)
    next_caller: int = 0


def create(
    hosts: int = 2,
    settings: journal_tables.JournalSettings | None = None,
    gossip: bool = False,
    maximum_requests: int = 5_000,
) -> Simulation:
    """Start a control process, entry hosts and two upstreams for each pool.

    Without ``gossip`` the hosts do not know of each other.
    """
    runtime = world.World(random=random.Random(7))
    sim = Simulation(
        runtime=runtime,
        network=network.Network(),
        control=fake_control.create(settings),
    )
    process = world.Process(
        name=CONTROL,
        tick=fake_control.tick,
        tables=sim.control,
        send=functools.partial(_send, sim),
    )
    world.start(runtime, process)
    put = manifests.put(1, limits=WITHOUT_HEDGES)
    fake_control.directory_state.apply(sim.control.directory, put)
    names = [f"entry-{number}" for number in range(1, hosts + 1)]
    for name in names:
        seeds = [network.link(seed) for seed in names] if gossip else []
        start(sim, name, seeds, maximum_requests)
    _announce(sim)
    world.pass_time(runtime, SETTLE_S)
    return sim


def start(
    sim: Simulation,
    name: str,
    seed_links: list[str],
    maximum_requests: int,
) -> None:
    """Start an entry host."""
    settings = entry_tables.EntrySettings(
        host=name.removeprefix("entry-"),
        zone="hall-a",
        address=f"http://{name}",
        link=network.link(name),
        incarnation="1",
        control_nodes={CONTROL: network.link(CONTROL)},
        seed_links=seed_links,
        maximum_requests=maximum_requests,
    )
    process = world.Process(
        name=name,
        tick=entry_tick.tick,
        tables=entry_tables.create(settings, seed=1),
        send=functools.partial(_send, sim),
    )
    world.start(sim.runtime, process)


def submit(sim: Simulation, host: str, kind: str, **options: Any) -> int:
    """Submit a request to a host and return its caller's number."""
    sim.next_caller += 1
    stream = options.get("stream", False)
    content = {"kind": kind, "input": options.pop("input", "rain"), "stream": stream}
    body = msgspec.json.encode(content)
    message = requests.RequestSubmitted(
        caller=sim.next_caller,
        workspace=WORKSPACE,
        pipeline=manifests.PIPELINE_OF[kind],
        kind=kind,
        body=body,
        digest=hashlib.sha256(body).hexdigest(),
        **options,
    )
    deliver(sim, host, message)
    return sim.next_caller


def query(sim: Simulation, host: str, request_id: str, **options: Any) -> int:
    """Query a host for a request by its id and return the caller's number."""
    return _deliver_by_id(sim, host, requests.RequestQueried, request_id, **options)


def cancel(sim: Simulation, host: str, request_id: str) -> int:
    """Cancel a request through a host and return the caller's number."""
    return _deliver_by_id(sim, host, requests.RequestCancelled, request_id)


def acknowledge(sim: Simulation, host: str, request_id: str) -> int:
    """Acknowledge an answer through a host and return the caller's number."""
    return _deliver_by_id(sim, host, requests.AnswerAcknowledged, request_id)


def deliver(sim: Simulation, host: str, message: Any) -> None:
    """Deliver a message to a host's core now."""
    world.deliver(sim.runtime, sim.runtime.processes[host], message)
    world.pass_time(sim.runtime, 0.0)


def pass_time(sim: Simulation, duration_s: float) -> None:
    """Advance the virtual time."""
    world.pass_time(sim.runtime, duration_s)


def wait_until(
    sim: Simulation, condition: Callable[[], Any], limit_s: float = 30.0
) -> None:
    """Advance the virtual time until a condition holds."""
    end_s = sim.runtime.now + limit_s
    while not condition():
        assert sim.runtime.now < end_s, "the condition did not hold in time"
        world.pass_time(sim.runtime, 0.001)


def tables(sim: Simulation, host: str) -> entry_tables.EntryTables:
    """Return the tables of a host."""
    return sim.runtime.processes[host].tables


def calls_to_pool(sim: Simulation, pool: str) -> list[requests.CallUpstream]:
    """Return the stage calls to a pool."""
    return [call for call in sim.calls if call.call.binding.stage == pool]


def count_stage_starts(sim: Simulation) -> int:
    """Return the number of stage starts that control received."""
    commands = sim.control.commands
    return sum(isinstance(command, journal.StartStage) for command in commands)


def next_call(sim: Simulation, pool: str) -> requests.CallUpstream:
    """Wait for the next stage call to a pool and return it."""
    seen = sim.consumed_calls.get(pool, 0)
    wait_until(sim, lambda: len(calls_to_pool(sim, pool)) > seen)
    sim.consumed_calls[pool] = seen + 1
    return calls_to_pool(sim, pool)[seen]


def whole_answer(sim: Simulation, caller: int) -> requests.WholeAnswer | None:
    """Return a caller's whole answer, or None."""
    return _last(sim, caller, requests.WholeAnswer)


def problem(sim: Simulation, caller: int) -> Any:
    """Return a caller's problem, or None."""
    responses = _last(sim, caller, requests.ProblemAnswer)
    return None if responses is None else responses.problem


def accepted(sim: Simulation, caller: int) -> requests.RequestAccepted | None:
    """Return the message that a caller's request was accepted, or None."""
    return _last(sim, caller, requests.RequestAccepted)


def streamed_text(sim: Simulation, caller: int) -> str:
    """Return the text that was streamed to a caller, and check its offsets."""
    pieces = [
        message
        for message in sim.responses.get(caller, [])
        if isinstance(message, requests.StreamPiece)
    ]
    text = ""
    for piece in pieces:
        assert piece.offset == len(text) or not text
        text += piece.text
    return text


def answer_call(
    sim: Simulation, call: requests.CallUpstream, output: Any = None
) -> None:
    """Answer a stage call with a whole output."""
    if output is None:
        output = f"{call.call.binding.stage} done"
    if call.call.stream:
        send_part(sim, call, output, offset=len(call.call.resume_output))
        end_stream(sim, call, call.call.resume_output + output)
        return
    digest = hashlib.sha256(msgspec.json.encode(output)).hexdigest()
    message = requests.UpstreamFinished(
        attempt=call.attempt,
        binding=call.call.binding,
        digest=digest,
        output=output,
        usage=upstream.Usage(busy_ms=5.0),
    )
    _reply(sim, call, message)


def send_part(
    sim: Simulation,
    call: requests.CallUpstream,
    streamed_text: str,
    offset: int,
) -> None:
    """Send one part of a streamed stage call."""
    part = requests.UpstreamPart(
        attempt=call.attempt, offset=offset, text=streamed_text
    )
    _reply(sim, call, part)


def end_stream(
    sim: Simulation, call: requests.CallUpstream, streamed_text: str
) -> None:
    """Send the end mark of a streamed stage call."""
    message = requests.UpstreamFinished(
        attempt=call.attempt,
        binding=call.call.binding,
        digest=hashlib.sha256(streamed_text.encode()).hexdigest(),
        length=len(streamed_text),
        usage=upstream.Usage(busy_ms=5.0),
    )
    _reply(sim, call, message)


def fail_call(
    sim: Simulation,
    call: requests.CallUpstream,
    sent: requests.Sent,
    **options: Any,
) -> None:
    """Fail a stage call."""
    message = requests.UpstreamFailed(
        attempt=call.attempt,
        sent=sent,
        reason="failed by the test",
        **options,
    )
    _reply(sim, call, message)


def release_stalled(sim: Simulation) -> None:
    """Let control apply the commands that it stalled."""
    process = sim.runtime.processes[CONTROL]
    outbox = fake_control.release_stalled(sim.control, sim.runtime.now)
    world.leave(sim.runtime, process, outbox)


def commit_to_journal(sim: Simulation, command: journal.Command) -> None:
    """Apply a command to the journal directly, without any host."""
    machine.apply(sim.control.journal, command)


def carry_outbox(sim: Simulation, host: str, outbox: ticks.Outbox) -> None:
    """Send the outbox of a direct call into a host's core."""
    world.leave(sim.runtime, sim.runtime.processes[host], outbox)
    deliver(sim, host, requests.CallerGone(caller=0))


def isolate_from_control(sim: Simulation, host: str) -> None:
    """Cut a host off from control in both directions."""
    network.isolate(sim.network, host, [CONTROL])


def _deliver_by_id(
    sim: Simulation, host: str, message_type: type, request_id: str, **options
) -> int:
    sim.next_caller += 1
    message = message_type(
        caller=sim.next_caller,
        workspace=WORKSPACE,
        request_id=request_id,
        **options,
    )
    deliver(sim, host, message)
    return sim.next_caller


def _last(sim: Simulation, caller: int, message_type: type) -> Any:
    responses = [
        message
        for message in sim.responses.get(caller, [])
        if isinstance(message, message_type)
    ]
    return responses[-1] if responses else None


def _announce(sim: Simulation) -> None:
    """Announce every upstream to every host, once a second."""
    for process in list(sim.runtime.processes.values()):
        if process.name == CONTROL or process.name in sim.unannounced_hosts:
            continue
        for pool, task in manifests.TASKS.items():
            for number in (1, 2):
                announcement = upstream.Announcement(
                    name=f"{pool}-{number}",
                    incarnation=1,
                    sequence=int(sim.runtime.now),
                    address=f"http://{pool}-{number}",
                    pool=pool,
                    zone="hall-a",
                    tasks=[task.value],
                )
                message = requests.UpstreamAnnounced(announcement)
                world.deliver(sim.runtime, process, message)
    world.after(sim.runtime, 1.0, lambda: _announce(sim))


def _send(sim: Simulation, process: world.Process, message: Any) -> None:
    match message:
        case frames.SendPeer():
            network.send(sim.runtime, sim.network, process.name, message)
        case requests.CallUpstream():
            _call(sim, process, message)
        case requests.CancelUpstream():
            sim.cancelled_attempts.append(message.attempt)
        case requests.ProcessEnd():
            sim.ended_hosts[process.name] = message.cut_off
            world.kill(sim.runtime, process.name)
        case _ if hasattr(message, "caller"):
            sim.responses.setdefault(message.caller, []).append(message)


def _call(sim: Simulation, process: world.Process, call: requests.CallUpstream) -> None:
    def send() -> None:
        if sim.runtime.now > call.must_not_start_after:
            fail_call(sim, call, requests.Sent.NO)
            return
        sim.calls.append(call)
        if call.call.binding.stage not in sim.held_pools:
            world.after(sim.runtime, 0.005, lambda: answer_call(sim, call))

    sim.host_by_attempt[call.attempt] = process.name
    sim.issued_calls.append(call)
    world.within(sim.runtime, process, send)


def _reply(sim: Simulation, call: requests.CallUpstream, message: Any) -> None:
    process = sim.runtime.processes[sim.host_by_attempt[call.attempt]]
    if process.tables.settings.host in call.attempt:
        world.deliver(sim.runtime, process, message)
