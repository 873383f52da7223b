"""Run a core: merge its event sources and tick when something arrived or is due."""

import asyncio
import dataclasses
import time
from collections.abc import Callable, Iterable
from typing import Any

import reactivex

from bitternlever.core import ticks

Tick = Callable[[float, list[Any]], ticks.Outbox]


@dataclasses.dataclass(slots=True)
class Runner:
    """The state of a running core: what arrived, and when to tick."""

    tick: Tick
    deliver: Callable[[Any], None]
    flush: Callable[[], None]
    loop: asyncio.AbstractEventLoop
    clock: Callable[[], float]
    failed: asyncio.Future
    inbox: list[Any] = dataclasses.field(default_factory=list)
    soon: bool = False
    timer: asyncio.TimerHandle | None = None
    subscription: Any = None


def start(
    tick: Tick,
    deliver: Callable[[Any], None],
    flush: Callable[[], None],
    sources: Iterable[reactivex.Observable],
    clock: Callable[[], float] = time.monotonic,
) -> Runner:
    """Run ``tick`` on every event of ``sources`` and hand what leaves to ``deliver``.

    ``flush`` is called once after each tick. ``clock`` tells seconds. A raised
    exception is a broken invariant: it ends the runner and stands in ``failed``.
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
    _tick_soon(runner)
    return runner


def receive(runner: Runner, event: Any) -> None:
    """Put an event into the inbox of the next tick."""
    runner.inbox.append(event)
    _tick_soon(runner)


def stop(runner: Runner) -> None:
    """Take no more events and tick no more."""
    runner.subscription.dispose()
    if runner.timer is not None:
        runner.timer.cancel()
    if not runner.failed.done():
        runner.failed.cancel()


def _tick_soon(runner: Runner) -> None:
    if runner.soon or runner.failed.done():
        return
    runner.soon = True
    runner.loop.call_soon(_run, runner)


def _run(runner: Runner) -> None:
    runner.soon = False
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
    _schedule(runner, outbox.wake_at_s)


def _schedule(runner: Runner, wake_at_s: float | None) -> None:
    if runner.timer is not None:
        runner.timer.cancel()
        runner.timer = None
    if wake_at_s is None:
        return
    delay_s = max(0.0, wake_at_s - runner.clock())
    runner.timer = runner.loop.call_later(delay_s, _tick_soon, runner)
