"""Open HTTP exchanges with callers; the core addresses its messages by their number.

Stream pieces that wait for a slow caller are merged, so that its queue is bounded by
the size of the answer and not by the number of its pieces.
"""

import asyncio
import collections
import contextlib
import dataclasses
from collections.abc import Callable, Iterator
from typing import Any

from bitternlever.messages import requests


@dataclasses.dataclass(slots=True)
class Exchange:
    """An open exchange and its queue of messages from the core."""

    caller: int
    messages: collections.deque[Any] = dataclasses.field(
        default_factory=collections.deque,
    )
    texts_to_merge: list[str] = dataclasses.field(default_factory=list)
    end_offset: int = 0
    message_arrived: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


@dataclasses.dataclass(slots=True)
class Exchanges:
    """All open exchanges of this process."""

    on_event: Callable[[Any], None]
    by_caller: dict[int, Exchange] = dataclasses.field(default_factory=dict)
    next_caller: int = 0


def deliver(exchanges: Exchanges, message: Any) -> None:
    """Queue a message of the core for its caller; drop it if the caller is gone."""
    exchange = exchanges.by_caller.get(message.caller)
    if exchange is None:
        return
    if isinstance(message, requests.StreamPiece):
        _queue_piece(exchange, message)
    else:
        _merge_pieces(exchange)
        exchange.messages.append(message)
    exchange.message_arrived.set()


async def receive(exchange: Exchange) -> Any:
    """Wait for the next message of the core."""
    while not exchange.messages:
        exchange.message_arrived.clear()
        await exchange.message_arrived.wait()
    if len(exchange.messages) == 1:
        _merge_pieces(exchange)
    return exchange.messages.popleft()


@contextlib.contextmanager
def open_exchange(exchanges: Exchanges) -> Iterator[Exchange]:
    """Open an exchange under a new caller number and close it on exit."""
    exchanges.next_caller += 1
    exchange = Exchange(caller=exchanges.next_caller)
    exchanges.by_caller[exchange.caller] = exchange
    try:
        yield exchange
    finally:
        del exchanges.by_caller[exchange.caller]


def _queue_piece(exchange: Exchange, piece: requests.StreamPiece) -> None:
    continues = bool(exchange.texts_to_merge) and piece.offset == exchange.end_offset
    if not continues:
        _merge_pieces(exchange)
        exchange.messages.append(piece)
    exchange.texts_to_merge.append(piece.text)
    exchange.end_offset = piece.offset + len(piece.text)


def _merge_pieces(exchange: Exchange) -> None:
    """Merge the collected texts into the last piece of the queue."""
    if exchange.texts_to_merge:
        exchange.messages[-1].text = "".join(exchange.texts_to_merge)
        exchange.texts_to_merge.clear()
