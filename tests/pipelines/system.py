"""An environment of entry cores, a fake control and scripted upstreams.

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
from tests.scenarios import manifests, network, simulation

CONTROL = "control-1"
WORKSPACE = "cantref"
SETTLE_S = 1.0
WITHOUT_HEDGES = manifest.Limits(hedge_ratio=0.0)


@dataclasses.dataclass(slots=True)
class Environment:
    """The state that tests inspect and control.

    ``issued_calls`` are the stage calls that a core handed to its shell, ``calls``
    those that were sent before their latest start time, ``cancelled_attempts`` the
    cancellations. ``responses`` has the messages to each caller, ``ended_hosts`` the
    requests that each ended host cut off. Calls to ``held_pools`` stay open until the
    test answers them; ``unannounced_hosts`` get no upstream announcements.
    ``consumed_calls`` counts the calls by pool that ``next_call`` has returned.
    ``incarnations`` are those of the upstreams that have started again.
    """

    sim: simulation.Simulation
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
    incarnations: dict[str, int] = dataclasses.field(default_factory=dict)
    next_caller: int = 0


def create(
    hosts: int = 2,
    settings: journal_tables.JournalSettings | None = None,
    gossip: bool = False,
    maximum_requests: int = 5_000,
) -> Environment:
    """Start a control process, entry hosts and two upstreams for each pool.

    Without ``gossip`` the hosts do not know of each other.
    """
    sim = simulation.Simulation(random=random.Random(7))
    env = Environment(
        sim=sim,
        network=network.Network(),
        control=fake_control.create(settings),
    )
    process = simulation.Process(
        name=CONTROL,
        tick=fake_control.tick,
        tables=env.control,
        send=functools.partial(_send, env),
    )
    simulation.start(sim, process)
    put = manifests.put_manifest_command(1, limits=WITHOUT_HEDGES)
    fake_control.directory_state.apply(env.control.directory, put)
    names = [f"entry-{number}" for number in range(1, hosts + 1)]
    for name in names:
        seeds = [network.link(seed) for seed in names] if gossip else []
        start(env, name, seeds, maximum_requests)
    _announce(env)
    simulation.pass_time(sim, SETTLE_S)
    return env


def start(
    env: Environment,
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
    process = simulation.Process(
        name=name,
        tick=entry_tick.tick,
        tables=entry_tables.create(settings, seed=1),
        send=functools.partial(_send, env),
    )
    simulation.start(env.sim, process)


def submit(env: Environment, host: str, kind: str, **options: Any) -> int:
    """Submit a request to a host and return its caller's number."""
    env.next_caller += 1
    stream = options.get("stream", False)
    content = {"kind": kind, "input": options.pop("input", "rain"), "stream": stream}
    body = msgspec.json.encode(content)
    message = requests.RequestSubmitted(
        caller=env.next_caller,
        workspace=WORKSPACE,
        pipeline=manifests.PIPELINE_OF[kind],
        kind=kind,
        body=body,
        digest=hashlib.sha256(body).hexdigest(),
        **options,
    )
    deliver(env, host, message)
    return env.next_caller


def query(env: Environment, host: str, request_id: str, **options: Any) -> int:
    """Query a host for a request by its id and return the caller's number."""
    return _deliver_by_id(env, host, requests.RequestQueried, request_id, **options)


def cancel(env: Environment, host: str, request_id: str) -> int:
    """Cancel a request through a host and return the caller's number."""
    return _deliver_by_id(env, host, requests.RequestCancelled, request_id)


def acknowledge(env: Environment, host: str, request_id: str) -> int:
    """Acknowledge an answer through a host and return the caller's number."""
    return _deliver_by_id(env, host, requests.AnswerAcknowledged, request_id)


def deliver(env: Environment, host: str, message: Any) -> None:
    """Deliver a message to a host's core now."""
    simulation.deliver(env.sim, env.sim.processes[host], message)
    simulation.pass_time(env.sim, 0.0)


def pass_time(env: Environment, duration_s: float) -> None:
    """Advance the virtual time."""
    simulation.pass_time(env.sim, duration_s)


def wait_until(
    env: Environment, condition: Callable[[], Any], limit_s: float = 30.0
) -> None:
    """Advance the virtual time until a condition holds."""
    end_s = env.sim.now + limit_s
    while not condition():
        assert env.sim.now < end_s, "the condition did not hold in time"
        simulation.pass_time(env.sim, 0.001)


def tables(env: Environment, host: str) -> entry_tables.EntryTables:
    """Return the tables of a host."""
    return env.sim.processes[host].tables


def calls_to_pool(env: Environment, pool: str) -> list[requests.CallUpstream]:
    """Return the stage calls to a pool."""
    return [call for call in env.calls if call.call.binding.stage == pool]


def count_stage_starts(env: Environment) -> int:
    """Return the number of stage starts that control received."""
    commands = env.control.commands
    return sum(isinstance(command, journal.StartStage) for command in commands)


def next_call(env: Environment, pool: str) -> requests.CallUpstream:
    """Wait for the next stage call to a pool and return it."""
    seen = env.consumed_calls.get(pool, 0)
    wait_until(env, lambda: len(calls_to_pool(env, pool)) > seen)
    env.consumed_calls[pool] = seen + 1
    return calls_to_pool(env, pool)[seen]


def whole_answer(env: Environment, caller: int) -> requests.WholeAnswer | None:
    """Return a caller's whole answer, or None."""
    return _last(env, caller, requests.WholeAnswer)


def problem(env: Environment, caller: int) -> Any:
    """Return a caller's problem, or None."""
    responses = _last(env, caller, requests.ProblemAnswer)
    return None if responses is None else responses.problem


def accepted(env: Environment, caller: int) -> requests.RequestAccepted | None:
    """Return the message that a caller's request was accepted, or None."""
    return _last(env, caller, requests.RequestAccepted)


def streamed_text(env: Environment, caller: int) -> str:
    """Return the text that was streamed to a caller, and check its offsets."""
    pieces = [
        message
        for message in env.responses.get(caller, [])
        if isinstance(message, requests.StreamPiece)
    ]
    text = ""
    for piece in pieces:
        assert piece.offset == len(text) or not text
        text += piece.text
    return text


def answer_call(
    env: Environment, call: requests.CallUpstream, output: Any = None
) -> None:
    """Answer a stage call with a whole output."""
    if output is None:
        output = f"{call.call.binding.stage} done"
    if call.call.stream:
        send_part(env, call, output, offset=len(call.call.resume_output))
        end_stream(env, call, call.call.resume_output + output)
        return
    digest = hashlib.sha256(msgspec.json.encode(output)).hexdigest()
    message = requests.UpstreamFinished(
        attempt=call.attempt,
        binding=call.call.binding,
        digest=digest,
        output=output,
        usage=upstream.Usage(busy_ms=5.0),
    )
    _reply(env, call, message)


def send_part(
    env: Environment,
    call: requests.CallUpstream,
    streamed_text: str,
    offset: int,
) -> None:
    """Send one part of a streamed stage call."""
    part = requests.UpstreamPart(
        attempt=call.attempt, offset=offset, text=streamed_text
    )
    _reply(env, call, part)


def end_stream(
    env: Environment, call: requests.CallUpstream, streamed_text: str
) -> None:
    """Send the end mark of a streamed stage call."""
    message = requests.UpstreamFinished(
        attempt=call.attempt,
        binding=call.call.binding,
        digest=hashlib.sha256(streamed_text.encode()).hexdigest(),
        length=len(streamed_text),
        usage=upstream.Usage(busy_ms=5.0),
    )
    _reply(env, call, message)


def fail_call(
    env: Environment,
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
    _reply(env, call, message)


def release_stalled(env: Environment) -> None:
    """Let control apply the commands that it stalled."""
    process = env.sim.processes[CONTROL]
    outbox = fake_control.release_stalled(env.control, env.sim.now)
    simulation.dispatch_outbox(env.sim, process, outbox)


def commit_to_journal(env: Environment, command: journal.Command) -> None:
    """Apply a command to the journal directly, without any host."""
    machine.apply(env.control.journal, command)


def dispatch_outbox(env: Environment, host: str, outbox: ticks.Outbox) -> None:
    """Send the outbox of a direct call into a host's core."""
    simulation.dispatch_outbox(env.sim, env.sim.processes[host], outbox)
    deliver(env, host, requests.CallerDisconnected(caller=0))


def isolate_from_control(env: Environment, host: str) -> None:
    """Cut a host off from control in both directions."""
    network.isolate(env.network, host, [CONTROL])


def _deliver_by_id(
    env: Environment, host: str, message_type: type, request_id: str, **options
) -> int:
    env.next_caller += 1
    message = message_type(
        caller=env.next_caller,
        workspace=WORKSPACE,
        request_id=request_id,
        **options,
    )
    deliver(env, host, message)
    return env.next_caller


def _last(env: Environment, caller: int, message_type: type) -> Any:
    responses = [
        message
        for message in env.responses.get(caller, [])
        if isinstance(message, message_type)
    ]
    return responses[-1] if responses else None


def _announce(env: Environment) -> None:
    """Announce every upstream to every host, once a second."""
    for process in list(env.sim.processes.values()):
        if process.name == CONTROL or process.name in env.unannounced_hosts:
            continue
        for pool, task in manifests.TASKS.items():
            for number in (1, 2):
                announcement = upstream.Announcement(
                    name=f"{pool}-{number}",
                    incarnation=env.incarnations.get(f"{pool}-{number}", 1),
                    sequence=int(env.sim.now),
                    address=f"http://{pool}-{number}",
                    pool=pool,
                    zone="hall-a",
                    tasks=[task.value],
                )
                message = requests.UpstreamAnnounced(announcement)
                simulation.deliver(env.sim, process, message)
    simulation.schedule(env.sim, 1.0, lambda: _announce(env))


def _send(env: Environment, process: simulation.Process, message: Any) -> None:
    match message:
        case frames.SendToPeer():
            network.send(env.sim, env.network, process.name, message)
        case requests.CallUpstream():
            _call(env, process, message)
        case requests.CancelUpstream():
            env.cancelled_attempts.append(message.attempt)
        case requests.ProcessEnd():
            env.ended_hosts[process.name] = message.cut_off
            simulation.kill(env.sim, process.name)
        case _ if hasattr(message, "caller"):
            env.responses.setdefault(message.caller, []).append(message)


def _call(
    env: Environment, process: simulation.Process, call: requests.CallUpstream
) -> None:
    def send() -> None:
        if env.sim.now > call.must_not_start_after:
            fail_call(env, call, requests.Sent.NO)
            return
        env.calls.append(call)
        if call.call.binding.stage not in env.held_pools:
            simulation.schedule(env.sim, 0.005, lambda: answer_call(env, call))

    env.host_by_attempt[call.attempt] = process.name
    env.issued_calls.append(call)
    simulation.run_in_process(env.sim, process, send)


def _reply(env: Environment, call: requests.CallUpstream, message: Any) -> None:
    process = env.sim.processes[env.host_by_attempt[call.attempt]]
    if process.tables.settings.host in call.attempt:
        simulation.deliver(env.sim, process, message)
