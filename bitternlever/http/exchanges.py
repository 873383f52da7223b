"""Open exchanges with callers, numbered; the core's messages reach them by number."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable, Iterator
from typing import Any

MAXIMUM_QUEUED_MESSAGES = 100_000


@dataclasses.dataclass(slots=True)
class Exchange:
    """One open exchange and what the core has sent to it."""

    caller: int
    queue: asyncio.Queue


@dataclasses.dataclass(slots=True)
class Exchanges:
    """All open exchanges of this process."""

    on_event: Callable[[Any], None]
    by_caller: dict[int, Exchange] = dataclasses.field(default_factory=dict)
    next_caller: int = 0


def deliver(exchanges: Exchanges, message: Any) -> None:
    """Hand a message of the core to its caller; one that has gone gets nothing."""
    exchange = exchanges.by_caller.get(message.caller)
    if exchange is not None:
        exchange.queue.put_nowait(message)


@contextlib.contextmanager
def open_exchange(exchanges: Exchanges) -> Iterator[Exchange]:
    """Number a caller for the length of its exchange."""
    exchanges.next_caller += 1
    exchange = Exchange(
        caller=exchanges.next_caller,
        queue=asyncio.Queue(maxsize=MAXIMUM_QUEUED_MESSAGES),
    )
    exchanges.by_caller[exchange.caller] = exchange
    try:
        yield exchange
    finally:
        del exchanges.by_caller[exchange.caller]
