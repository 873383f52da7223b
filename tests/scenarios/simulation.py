"""A discrete-event simulation of processes under virtual time."""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from bench.invariants import records
from bitternlever.core import ticks

SHORTEST_SLEEP_S = 0.001
MAXIMUM_EVENTS = 400_000


@dataclasses.dataclass(slots=True, repr=False, eq=False)
class Process:
    """One incarnation of a program: its core, its inbox and its state.

    ``send`` sends one message of the core's outbox. Actions in a frozen process
    are kept in ``deferred`` until it is thawed.
    """

    name: str
    tick: Callable[[Any, float, list[Any]], ticks.Outbox]
    tables: Any
    send: Callable[["Process", Any], None]
    inbox: list[Any] = dataclasses.field(default_factory=list)
    deferred: list[Callable[[], None]] = dataclasses.field(default_factory=list)
    frozen: bool = False
    alive: bool = True
    next_tick_s: float = float("inf")


@dataclasses.dataclass(slots=True, repr=False)
class Simulation:
    """The current time, the scheduled events, the processes and the records."""

    random: random.Random
    now: float = 100.0
    events: list[tuple[float, int, Callable[[], None]]] = dataclasses.field(
        default_factory=list,
    )
    event_numbers: itertools.count = dataclasses.field(default_factory=itertools.count)
    processes: dict[str, Process] = dataclasses.field(default_factory=dict)
    recorded: list[records.Record] = dataclasses.field(default_factory=list)
    triggers: list[Callable[[Process, str, Any], bool]] = dataclasses.field(
        default_factory=list,
    )
    handled_events: int = 0


def schedule(sim: Simulation, delay_s: float, action: Callable[[], None]) -> None:
    """Schedule an action after a delay, independent of any process."""
    event = (sim.now + delay_s, next(sim.event_numbers), action)
    heapq.heappush(sim.events, event)


def pass_time(sim: Simulation, duration_s: float) -> None:
    """Advance the time by a duration and run all events that are due."""
    end_s = sim.now + duration_s
    while sim.events and sim.events[0][0] <= end_s:
        sim.now, _, action = heapq.heappop(sim.events)
        sim.handled_events += 1
        assert sim.handled_events < MAXIMUM_EVENTS, (
            "too many events: the processes never become idle"
        )
        action()
    sim.now = end_s


def start(sim: Simulation, process: Process) -> None:
    """Start a process; a previous one of the same name must have ended."""
    previous = sim.processes.get(process.name)
    assert previous is None or not previous.alive, f"{process.name} is already running"
    sim.processes[process.name] = process
    _schedule_tick(sim, process, sim.now)


def run_in_process(
    sim: Simulation, process: Process, action: Callable[[], None]
) -> None:
    """Run an action in a process: after it is thawed if frozen, never if it ended."""
    if not process.alive:
        return
    if process.frozen:
        process.deferred.append(action)
        return
    action()


def deliver(sim: Simulation, process: Process, message: Any) -> None:
    """Deliver a message to the core of a process."""

    def receive() -> None:
        process.inbox.append(message)
        _schedule_tick(sim, process, sim.now)

    _run_triggers(sim, process, "gets", message)
    run_in_process(sim, process, receive)


def is_running(sim: Simulation, name: str) -> bool:
    """Return whether a process runs and is not frozen."""
    process = sim.processes.get(name)
    return process is not None and process.alive and not process.frozen


def kill(sim: Simulation, name: str) -> None:
    """End a process at once."""
    sim.processes[name].alive = False


def freeze(sim: Simulation, name: str) -> None:
    """Stop a process as SIGSTOP does; the actions that it scheduled wait too."""
    sim.processes[name].frozen = True


def thaw(sim: Simulation, name: str) -> None:
    """Resume a frozen process as SIGCONT does."""
    process = sim.processes[name]
    process.frozen = False
    deferred, process.deferred = process.deferred, []
    for action in deferred:
        run_in_process(sim, process, action)


def dispatch_outbox(sim: Simulation, process: Process, outbox: ticks.Outbox) -> None:
    """Send the messages of one tick in order and schedule the next tick.

    A trigger may end or freeze the process between two messages.
    """
    for message in outbox.messages:
        run_in_process(
            sim, process, lambda message=message: _send(sim, process, message)
        )
    if outbox.wake_at_s is not None:
        _schedule_tick(sim, process, max(outbox.wake_at_s, sim.now + SHORTEST_SLEEP_S))


def _send(sim: Simulation, process: Process, message: Any) -> None:
    _run_triggers(sim, process, "sends", message)
    run_in_process(sim, process, lambda: process.send(process, message))


def _run_triggers(sim: Simulation, process: Process, way: str, message: Any) -> None:
    for trigger in list(sim.triggers):
        if trigger(process, way, message):
            sim.triggers.remove(trigger)


def _schedule_tick(sim: Simulation, process: Process, at_s: float) -> None:
    if at_s < process.next_tick_s:
        process.next_tick_s = at_s
        schedule(sim, at_s - sim.now, lambda: _tick_if_due(sim, process, at_s))


def _tick_if_due(sim: Simulation, process: Process, at_s: float) -> None:
    if process.next_tick_s == at_s:
        run_in_process(sim, process, lambda: _tick(sim, process))


def _tick(sim: Simulation, process: Process) -> None:
    inbox, process.inbox = process.inbox, []
    process.next_tick_s = float("inf")
    dispatch_outbox(sim, process, process.tick(process.tables, sim.now, inbox))
