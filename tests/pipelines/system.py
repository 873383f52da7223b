"""Entry cores, a fake control and scripted upstreams, under virtual time."""

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
class System:
    """Everything that a test can reach.

    ``issued`` are the stage calls that a core gave to its shell, ``calls`` those that
    left it in time, ``cancels`` their cancellations, ``told`` what each caller was
    sent. ``held`` names pools whose calls stay open until the test answers them,
    ``quiet`` hosts that no upstream reaches.
    """

    here: world.World
    network: network.Network
    control: fake_control.Control
    calls: list[requests.CallUpstream] = dataclasses.field(default_factory=list)
    issued: list[requests.CallUpstream] = dataclasses.field(default_factory=list)
    callers: dict[str, str] = dataclasses.field(default_factory=dict)
    cancels: list[str] = dataclasses.field(default_factory=list)
    told: dict[int, list[Any]] = dataclasses.field(default_factory=dict)
    ended: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    held: set[str] = dataclasses.field(default_factory=set)
    quiet: set[str] = dataclasses.field(default_factory=set)
    seen: dict[str, int] = dataclasses.field(default_factory=dict)
    next_caller: int = 0


def create(
    hosts: int = 2,
    settings: journal_tables.JournalSettings | None = None,
    gossip: bool = False,
    maximum_requests: int = 5_000,
) -> System:
    """Start a control process, entry hosts and two upstreams for each pool.

    Without ``gossip`` the hosts do not know each other.
    """
    here = world.World(random=random.Random(7))
    made = System(
        here=here,
        network=network.Network(),
        control=fake_control.create(settings),
    )
    process = world.Process(
        name=CONTROL,
        tick=fake_control.tick,
        tables=made.control,
        send=functools.partial(_send, made),
    )
    world.start(here, process)
    put = manifests.put(1, limits=WITHOUT_HEDGES)
    fake_control.directory_state.apply(made.control.directory, put)
    names = [f"entry-{number}" for number in range(1, hosts + 1)]
    for name in names:
        seeds = [network.link(each) for each in names] if gossip else []
        start(made, name, seeds, maximum_requests)
    _announce(made)
    world.pass_time(here, SETTLE_S)
    return made


def start(
    system: System,
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
        send=functools.partial(_send, system),
    )
    world.start(system.here, process)


def submit(system: System, host: str, kind: str, **options: Any) -> int:
    """Submit a request through a host and return its caller's number."""
    system.next_caller += 1
    stream = options.get("stream", False)
    content = {"kind": kind, "input": options.pop("input", "rain"), "stream": stream}
    body = msgspec.json.encode(content)
    message = requests.RequestSubmitted(
        caller=system.next_caller,
        workspace=WORKSPACE,
        pipeline=manifests.PIPELINE_OF[kind],
        kind=kind,
        body=body,
        digest=hashlib.sha256(body).hexdigest(),
        **options,
    )
    tell(system, host, message)
    return system.next_caller


def query(system: System, host: str, request_id: str, **options: Any) -> int:
    """Ask a host for a request by its id and return the caller's number."""
    return _by_id(system, host, requests.RequestQueried, request_id, **options)


def cancel(system: System, host: str, request_id: str) -> int:
    """Cancel a request through a host and return the caller's number."""
    return _by_id(system, host, requests.RequestCancelled, request_id)


def acknowledge(system: System, host: str, request_id: str) -> int:
    """Acknowledge an answer through a host and return the caller's number."""
    return _by_id(system, host, requests.AnswerAcknowledged, request_id)


def tell(system: System, host: str, message: Any) -> None:
    """Give a message to a host's core now."""
    world.deliver(system.here, system.here.processes[host], message)
    world.pass_time(system.here, 0.0)


def pass_time(system: System, duration_s: float) -> None:
    """Let time pass."""
    world.pass_time(system.here, duration_s)


def until(system: System, is_so: Callable[[], Any], limit_s: float = 30.0) -> None:
    """Let time pass until something is so."""
    end_s = system.here.now + limit_s
    while not is_so():
        assert system.here.now < end_s, "it did not come to pass in time"
        world.pass_time(system.here, 0.001)


def tables(system: System, host: str) -> entry_tables.EntryTables:
    """Return the tables of a host."""
    return system.here.processes[host].tables


def calls_of(system: System, pool: str) -> list[requests.CallUpstream]:
    """Return the stage calls to a pool."""
    return [call for call in system.calls if call.call.binding.stage == pool]


def starts(system: System) -> int:
    """Count the stage starts that control was sent."""
    commands = system.control.commands
    return sum(isinstance(each, journal.StartStage) for each in commands)


def next_call(system: System, pool: str) -> requests.CallUpstream:
    """Wait for the next stage call to a pool and return it."""
    seen = system.seen.get(pool, 0)
    until(system, lambda: len(calls_of(system, pool)) > seen)
    system.seen[pool] = seen + 1
    return calls_of(system, pool)[seen]


def whole(system: System, caller: int) -> requests.WholeAnswer | None:
    """Return a caller's whole answer, if it has one."""
    return _last(system, caller, requests.WholeAnswer)


def problem(system: System, caller: int) -> Any:
    """Return a caller's problem, if it has one."""
    told = _last(system, caller, requests.ProblemAnswer)
    return None if told is None else told.problem


def accepted(system: System, caller: int) -> requests.RequestAccepted | None:
    """Return what a caller was told when its request was accepted."""
    return _last(system, caller, requests.RequestAccepted)


def text(system: System, caller: int) -> str:
    """Return the text that a caller was streamed, in its order."""
    pieces = [
        each
        for each in system.told.get(caller, [])
        if isinstance(each, requests.StreamPiece)
    ]
    streamed = ""
    for piece in pieces:
        assert piece.offset == len(streamed) or not streamed
        streamed += piece.text
    return streamed


def answer(system: System, call: requests.CallUpstream, output: Any = None) -> None:
    """Answer a stage call whole."""
    if output is None:
        output = f"{call.call.binding.stage} done"
    if call.call.stream:
        send_part(system, call, output, offset=len(call.call.resume_output))
        end_stream(system, call, call.call.resume_output + output)
        return
    digest = hashlib.sha256(msgspec.json.encode(output)).hexdigest()
    message = requests.UpstreamFinished(
        attempt=call.attempt,
        binding=call.call.binding,
        digest=digest,
        output=output,
        usage=upstream.Usage(busy_ms=5.0),
    )
    _back(system, call, message)


def send_part(
    system: System,
    call: requests.CallUpstream,
    text: str,
    offset: int,
) -> None:
    """Send one part of a streamed stage call."""
    part = requests.UpstreamPart(attempt=call.attempt, offset=offset, text=text)
    _back(system, call, part)


def end_stream(system: System, call: requests.CallUpstream, text: str) -> None:
    """Send the end mark of a streamed stage call."""
    message = requests.UpstreamFinished(
        attempt=call.attempt,
        binding=call.call.binding,
        digest=hashlib.sha256(text.encode()).hexdigest(),
        length=len(text),
        usage=upstream.Usage(busy_ms=5.0),
    )
    _back(system, call, message)


def fail(
    system: System,
    call: requests.CallUpstream,
    sent: requests.Sent,
    **options: Any,
) -> None:
    """Let a stage call fail."""
    message = requests.UpstreamFailed(
        attempt=call.attempt,
        sent=sent,
        reason="the test wants it",
        **options,
    )
    _back(system, call, message)


def let_go(system: System) -> None:
    """Let control apply what it has stalled."""
    process = system.here.processes[CONTROL]
    outbox = fake_control.let_go(system.control, system.here.now)
    world.leave(system.here, process, outbox)


def commit(system: System, command: journal.Command) -> None:
    """Apply a command to the journal without any host's knowledge."""
    machine.apply(system.control.journal, command)


def leave(system: System, host: str, outbox: ticks.Outbox) -> None:
    """Carry what a direct call into a host's core left behind."""
    world.leave(system.here, system.here.processes[host], outbox)
    tell(system, host, requests.CallerGone(caller=0))


def cut_off(system: System, host: str) -> None:
    """Cut a host off from control, both ways."""
    network.isolate(system.network, host, [CONTROL])


def _by_id(system: System, host: str, form: type, request_id: str, **options) -> int:
    system.next_caller += 1
    message = form(
        caller=system.next_caller,
        workspace=WORKSPACE,
        request_id=request_id,
        **options,
    )
    tell(system, host, message)
    return system.next_caller


def _last(system: System, caller: int, form: type) -> Any:
    told = [each for each in system.told.get(caller, []) if isinstance(each, form)]
    return told[-1] if told else None


def _announce(system: System) -> None:
    """Announce every upstream to every host, again each second."""
    for process in list(system.here.processes.values()):
        if process.name == CONTROL or process.name in system.quiet:
            continue
        for pool, task in manifests.TASKS.items():
            for number in (1, 2):
                announcement = upstream.Announcement(
                    name=f"{pool}-{number}",
                    incarnation=1,
                    sequence=int(system.here.now),
                    address=f"http://{pool}-{number}",
                    pool=pool,
                    zone="hall-a",
                    tasks=[task.value],
                )
                word = requests.UpstreamAnnounced(announcement)
                world.deliver(system.here, process, word)
    world.after(system.here, 1.0, lambda: _announce(system))


def _send(system: System, process: world.Process, message: Any) -> None:
    match message:
        case frames.SendPeer():
            network.send(system.here, system.network, process.name, message)
        case requests.CallUpstream():
            _call(system, process, message)
        case requests.CancelUpstream():
            system.cancels.append(message.attempt)
        case requests.ProcessEnd():
            system.ended[process.name] = message.cut_off
            world.kill(system.here, process.name)
        case _ if hasattr(message, "caller"):
            system.told.setdefault(message.caller, []).append(message)


def _call(system: System, process: world.Process, call: requests.CallUpstream) -> None:
    def dial() -> None:
        if system.here.now > call.must_not_start_after:
            fail(system, call, requests.Sent.NO)
            return
        system.calls.append(call)
        if call.call.binding.stage not in system.held:
            world.after(system.here, 0.005, lambda: answer(system, call))

    system.callers[call.attempt] = process.name
    system.issued.append(call)
    world.within(system.here, process, dial)


def _back(system: System, call: requests.CallUpstream, message: Any) -> None:
    process = system.here.processes[system.callers[call.attempt]]
    if process.tables.settings.host in call.attempt:
        world.deliver(system.here, process, message)
