"""Open exchanges with callers, numbered; the core's messages reach them by number.

Pieces of a stream that wait for a slow caller are joined, so that what waits is
bounded by the size of the answer and not by the number of its pieces.
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
    """One open exchange and what the core has sent to it."""

    caller: int
    messages: collections.deque[Any] = dataclasses.field(
        default_factory=collections.deque,
    )
    waiting_texts: list[str] = dataclasses.field(default_factory=list)
    end_offset: int = 0
    arrived: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


@dataclasses.dataclass(slots=True)
class Exchanges:
    """All open exchanges of this process."""

    on_event: Callable[[Any], None]
    by_caller: dict[int, Exchange] = dataclasses.field(default_factory=dict)
    next_caller: int = 0


def deliver(exchanges: Exchanges, message: Any) -> None:
    """Hand a message of the core to its caller; one that has gone gets nothing."""
    exchange = exchanges.by_caller.get(message.caller)
    if exchange is None:
        return
    if isinstance(message, requests.StreamPiece):
        _deliver_piece(exchange, message)
    else:
        _join_pieces(exchange)
        exchange.messages.append(message)
    exchange.arrived.set()


async def receive(exchange: Exchange) -> Any:
    """Wait for the next message of the core."""
    while not exchange.messages:
        exchange.arrived.clear()
        await exchange.arrived.wait()
    if len(exchange.messages) == 1:
        _join_pieces(exchange)
    return exchange.messages.popleft()


@contextlib.contextmanager
def open_exchange(exchanges: Exchanges) -> Iterator[Exchange]:
    """Number a caller for the length of its exchange."""
    exchanges.next_caller += 1
    exchange = Exchange(caller=exchanges.next_caller)
    exchanges.by_caller[exchange.caller] = exchange
    try:
        yield exchange
    finally:
        del exchanges.by_caller[exchange.caller]


def _deliver_piece(exchange: Exchange, piece: requests.StreamPiece) -> None:
    continues = bool(exchange.waiting_texts) and piece.offset == exchange.end_offset
    if not continues:
        _join_pieces(exchange)
        exchange.messages.append(piece)
    exchange.waiting_texts.append(piece.text)
    exchange.end_offset = piece.offset + len(piece.text)


def _join_pieces(exchange: Exchange) -> None:
    """Put the texts that continue the last piece into it."""
    if exchange.waiting_texts:
        exchange.messages[-1].text = "".join(exchange.waiting_texts)
        exchange.waiting_texts.clear()
