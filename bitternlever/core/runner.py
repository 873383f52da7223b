"""Run a core: merge its event sources and tick when an event arrives or time is due."""

import asyncio
import dataclasses
from collections.abc import Callable, Iterable
from typing import Any

import reactivex

from bitternlever.core import clocks, ticks

Tick = Callable[[float, list[Any]], ticks.Outbox]


@dataclasses.dataclass(slots=True)
class Runner:
    """The state of a running core: its unprocessed events and its next tick."""

    tick: Tick
    deliver: Callable[[Any], None]
    flush: Callable[[], None]
    loop: asyncio.AbstractEventLoop
    clock: Callable[[], float]
    failed: asyncio.Future
    inbox: list[Any] = dataclasses.field(default_factory=list)
    tick_scheduled: bool = False
    timer: asyncio.TimerHandle | None = None
    subscription: Any = None


def start(
    tick: Tick,
    deliver: Callable[[Any], None],
    flush: Callable[[], None],
    sources: Iterable[reactivex.Observable],
    clock: Callable[[], float] = clocks.boot_time,
) -> Runner:
    """Run ``tick`` on the events of ``sources`` and pass its messages to ``deliver``.

    ``flush`` is called once after each tick. ``clock`` returns seconds. An exception
    means a broken invariant: it stops the runner and is set on the ``failed`` future.
    """
    loop = asyncio.get_running_loop()
    runner = Runner(
        tick=tick,
        deliver=deliver,
        flush=flush,
        loop=loop,
        clock=clock,
        failed=loop.create_future(),
    )
    runner.subscription = reactivex.merge(*sources).subscribe(
        on_next=lambda event: receive(runner, event),
    )
    _schedule_tick(runner)
    return runner


def receive(runner: Runner, event: Any) -> None:
    """Add an event to the inbox of the next tick."""
    runner.inbox.append(event)
    _schedule_tick(runner)


def stop(runner: Runner) -> None:
    """Stop receiving events and ticking."""
    runner.subscription.dispose()
    if runner.timer is not None:
        runner.timer.cancel()
    if not runner.failed.done():
        runner.failed.cancel()


def _schedule_tick(runner: Runner) -> None:
    if runner.tick_scheduled or runner.failed.done():
        return
    runner.tick_scheduled = True
    runner.loop.call_soon(_run, runner)


def _run(runner: Runner) -> None:
    runner.tick_scheduled = False
    if runner.failed.done():
        return
    inbox = runner.inbox
    runner.inbox = []
    try:
        outbox = runner.tick(runner.clock(), inbox)
        for message in outbox.messages:
            runner.deliver(message)
        runner.flush()
    except Exception as broken_invariant:
        runner.failed.set_exception(broken_invariant)
        return
    _set_timer(runner, outbox.wake_at_s)


def _set_timer(runner: Runner, wake_at_s: float | None) -> None:
    if runner.timer is not None:
        runner.timer.cancel()
        runner.timer = None
    if wake_at_s is None:
        return
    delay_s = max(0.0, wake_at_s - runner.clock())
    runner.timer = runner.loop.call_later(delay_s, _schedule_tick, runner)
