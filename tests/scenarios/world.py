"""Virtual time, and the processes that live in it."""

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
    """One run of a program: its core, what it still has to take, and its state.

    ``send`` carries one message of the core's outbox. What reaches a frozen process
    waits in ``deferred`` until it wakes.
    """

    name: str
    tick: Callable[[Any, float, list[Any]], ticks.Outbox]
    tables: Any
    send: Callable[["Process", Any], None]
    inbox: list[Any] = dataclasses.field(default_factory=list)
    deferred: list[Callable[[], None]] = dataclasses.field(default_factory=list)
    frozen: bool = False
    alive: bool = True
    due_s: float = float("inf")


@dataclasses.dataclass(slots=True, repr=False)
class World:
    """The present, what is still to happen, and what was recorded."""

    random: random.Random
    now: float = 100.0
    events: list[tuple[float, int, Callable[[], None]]] = dataclasses.field(
        default_factory=list,
    )
    numbers: itertools.count = dataclasses.field(default_factory=itertools.count)
    processes: dict[str, Process] = dataclasses.field(default_factory=dict)
    recorded: list[records.Record] = dataclasses.field(default_factory=list)
    triggers: list[Callable[[Process, str, Any], bool]] = dataclasses.field(
        default_factory=list,
    )
    handled: int = 0


def after(world: World, delay_s: float, action: Callable[[], None]) -> None:
    """Do something after a delay, whatever lives then."""
    event = (world.now + delay_s, next(world.numbers), action)
    heapq.heappush(world.events, event)


def pass_time(world: World, duration_s: float) -> None:
    """Let everything happen that is due within a duration."""
    end_s = world.now + duration_s
    while world.events and world.events[0][0] <= end_s:
        world.now, _, action = heapq.heappop(world.events)
        world.handled += 1
        assert world.handled < MAXIMUM_EVENTS, "the processes never rest"
        action()
    world.now = end_s


def start(world: World, process: Process) -> None:
    """Start a run of a program; a former run of the same name must have ended."""
    former = world.processes.get(process.name)
    assert former is None or not former.alive, f"{process.name} runs already"
    world.processes[process.name] = process
    _wake(world, process, world.now)


def within(world: World, process: Process, action: Callable[[], None]) -> None:
    """Do something inside a process: when it wakes if frozen, never if it ended."""
    if not process.alive:
        return
    if process.frozen:
        process.deferred.append(action)
        return
    action()


def deliver(world: World, process: Process, message: Any) -> None:
    """Give a message to a process's core."""

    def take() -> None:
        process.inbox.append(message)
        _wake(world, process, world.now)

    _trigger(world, process, "gets", message)
    within(world, process, take)


def lives(world: World, name: str) -> bool:
    """Tell whether a process runs and is not frozen."""
    process = world.processes.get(name)
    return process is not None and process.alive and not process.frozen


def kill(world: World, name: str) -> None:
    """End a process at once."""
    world.processes[name].alive = False


def freeze(world: World, name: str) -> None:
    """Stop a process as SIGSTOP does; what it has asked for waits too."""
    world.processes[name].frozen = True


def thaw(world: World, name: str) -> None:
    """Let a frozen process go on as SIGCONT does."""
    process = world.processes[name]
    process.frozen = False
    waiting, process.deferred = process.deferred, []
    for action in waiting:
        within(world, process, action)


def leave(world: World, process: Process, outbox: ticks.Outbox) -> None:
    """Carry what one tick left behind, one message after the other.

    A trigger may end or freeze the process between two messages.
    """
    for message in outbox.messages:
        within(world, process, lambda message=message: _send(world, process, message))
    if outbox.wake_at_s is not None:
        _wake(world, process, max(outbox.wake_at_s, world.now + SHORTEST_SLEEP_S))


def _send(world: World, process: Process, message: Any) -> None:
    _trigger(world, process, "sends", message)
    within(world, process, lambda: process.send(process, message))


def _trigger(world: World, process: Process, way: str, message: Any) -> None:
    for trigger in list(world.triggers):
        if trigger(process, way, message):
            world.triggers.remove(trigger)


def _wake(world: World, process: Process, at_s: float) -> None:
    if at_s < process.due_s:
        process.due_s = at_s
        after(world, at_s - world.now, lambda: _run(world, process, at_s))


def _run(world: World, process: Process, at_s: float) -> None:
    if process.due_s == at_s:
        within(world, process, lambda: _tick(world, process))


def _tick(world: World, process: Process) -> None:
    inbox, process.inbox = process.inbox, []
    process.due_s = float("inf")
    leave(world, process, process.tick(process.tables, world.now, inbox))
