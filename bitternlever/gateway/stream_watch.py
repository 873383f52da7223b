"""End a stream whose upstream sends no event for longer than callers wait.

Single bytes and comments do not count as events: an upstream that only sends those has
stalled. The time for which the caller does not read counts for neither side, so that a
slow stream without a longer pause is never cut.
"""

import asyncio
import dataclasses

from bitternlever.core import clocks
from bitternlever.transport import exchange


@dataclasses.dataclass(slots=True)
class Watch:
    """The connection of a stream, and since when its upstream owes an event.

    ``held_since_s`` is set while the caller does not read. Times are on the boot clock.
    """

    connection: exchange.Connection
    limit_s: float
    waiting_since_s: float
    held_since_s: float | None = None
    timer: asyncio.TimerHandle | None = None


def start(connection: exchange.Connection, limit_s: float, now: float) -> Watch:
    """Watch a stream of which the next event is due within ``limit_s``."""
    watch = Watch(connection=connection, limit_s=limit_s, waiting_since_s=now)
    _schedule(watch, limit_s)
    return watch


def hold(watch: Watch, now: float) -> None:
    """Stop counting while the caller is written to."""
    watch.held_since_s = now


def release(watch: Watch, now: float) -> None:
    """Count again; the time since ``hold`` does not count."""
    if watch.held_since_s is not None:
        watch.waiting_since_s += now - watch.held_since_s
        watch.held_since_s = None


def record_event(watch: Watch, now: float) -> None:
    """Start waiting for the next event."""
    watch.waiting_since_s = now


def stop(watch: Watch) -> None:
    """End the watch."""
    if watch.timer is not None:
        watch.timer.cancel()


def left_s(watch: Watch, now: float) -> float:
    """Return the time until the stream counts as stalled."""
    if watch.held_since_s is not None:
        return watch.limit_s
    return watch.waiting_since_s + watch.limit_s - now


def _schedule(watch: Watch, delay_s: float) -> None:
    loop = asyncio.get_running_loop()
    watch.timer = loop.call_later(delay_s, _check, watch)


def _check(watch: Watch) -> None:
    remaining_s = left_s(watch, clocks.boot_time())
    if remaining_s <= 0:
        watch.connection.abort(f"no event for {watch.limit_s:.1f} s")
        return
    _schedule(watch, remaining_s)
