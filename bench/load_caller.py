"""One logical request as a caller lives it: hosts, refusals, retries, its answer."""

import asyncio
import dataclasses
import hashlib
import itertools
import time
from collections.abc import Callable
from typing import Any

import aiohttp
import msgspec

from bench.invariants import records
from bitternlever.messages import manifest
from standins import callers, site

GRACE_S = 15.0
PATIENCE_S = 1.0
MINIMUM_PAUSE_S = 0.1
MAXIMUM_EXCHANGES = 40
RETRIED = (429, 502, 503, 504)
TOKEN_SUFFIX = "-example-token"
CUT = (aiohttp.ClientError, ConnectionError, TimeoutError, msgspec.MsgspecError)


@dataclasses.dataclass(slots=True)
class Order:
    """What one logical request asks for."""

    number: int
    workspace: str
    pipeline: manifest.Pipeline
    kind: manifest.Kind

    @property
    def journaled(self) -> bool:
        """Tell whether the request goes through the journal; it then has a key."""
        once = any(not stage.idempotent for stage in self.pipeline.stages)
        return self.kind.durable or once

    @property
    def streams(self) -> bool:
        """Tell whether the answer is generated text, which is then streamed."""
        name = self.pipeline.answer_stage or self.pipeline.stages[-1].name
        stages = {stage.name: stage for stage in self.pipeline.stages}
        return stages[name].task is manifest.Task.GENERATE


@dataclasses.dataclass(slots=True)
class Ended:
    """How one logical request ended for its caller."""

    order: Order
    outcome: str
    took_s: float
    exchanges: int
    cost_ms: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Client:
    """What all callers of a run share."""

    system: site.Site
    session: aiohttp.ClientSession
    write: Callable[[records.Record], None]
    run: str
    hosts: list[str]
    exchanges: Any = dataclasses.field(default_factory=itertools.count)


async def live(client: Client, order: Order) -> Ended:
    """Send a request until it is answered, or until nobody waits any more."""
    begin_s = time.monotonic()
    limit_s = begin_s + order.kind.deadline_ms / 1_000 + GRACE_S
    outcome = "given up"
    for exchange in range(MAXIMUM_EXCHANGES):
        received = await _exchange(client, order, attempt=exchange)
        if received is not None and received.whole:
            took_s = time.monotonic() - begin_s
            in_time = took_s <= order.kind.deadline_ms / 1_000
            outcome = "whole in time" if in_time else "whole late"
            return Ended(order, outcome, took_s, exchange + 1, received.cost_ms)
        if received is not None and not _may_retry(order, received):
            outcome = f"refused {received.status}"
            break
        pause_s = received.retry_after_s if received is not None else 0.0
        if time.monotonic() + pause_s >= limit_s:
            break
        await asyncio.sleep(max(pause_s, MINIMUM_PAUSE_S))
    return Ended(order, outcome, time.monotonic() - begin_s, exchange + 1)


def _may_retry(order: Order, received: callers.Received) -> bool:
    if received.status < callers.FIRST_REFUSAL:
        return True
    if received.status not in RETRIED or received.ran == "yes":
        return False
    return received.ran == "no" or order.journaled


async def _exchange(
    client: Client,
    order: Order,
    attempt: int,
) -> callers.Received | None:
    """Send the request once and record it; None when the connection was cut."""
    name = f"exchange-{next(client.exchanges)}"
    entry = client.hosts[(order.number + attempt) % len(client.hosts)]
    inputs = {"text": f"{order.kind.name} {order.number} of {client.run}"}
    key = f"{client.run}-{order.number}" if order.journaled else None
    _record_sent(client, order, name, entry, inputs, key)

    def on_accepted(request_id: str) -> None:
        if order.journaled:
            client.write(
                records.RequestAccepted(
                    exchange=name,
                    request_id=request_id,
                    time_s=time.monotonic(),
                ),
            )

    body = {"kind": order.kind.name, "input": inputs, "stream": order.streams}
    try:
        received = await callers.send(
            client.session,
            entry,
            f"{order.workspace}{TOKEN_SUFFIX}",
            order.pipeline.name,
            body,
            {} if key is None else {"Idempotency-Key": key},
            on_accepted,
            timeout_s=order.kind.deadline_ms / 1_000 + PATIENCE_S,
        )
    except CUT:
        client.write(records.AnswerCut(exchange=name, time_s=time.monotonic()))
        return None
    _record_end(client, name, received)
    return received


def _record_sent(
    client: Client,
    order: Order,
    exchange: str,
    entry: str,
    inputs: Any,
    key: str | None,
) -> None:
    client.write(
        records.RequestSent(
            exchange=exchange,
            host=entry,
            workspace=order.workspace,
            kind=order.kind.name,
            input_digest=records.digest(inputs),
            durable=order.kind.durable,
            time_s=time.monotonic(),
            key=key,
        ),
    )


def _record_end(client: Client, exchange: str, received: callers.Received) -> None:
    now = time.monotonic()
    if received.body:
        client.write(
            records.AnswerReceived(
                exchange=exchange,
                request_id=received.request_id,
                body_digest=hashlib.sha256(received.body).hexdigest(),
                output_digest=callers.output_digest(received.output),
                time_s=now,
                pieces=received.pieces,
                claimed_length=received.claimed_length,
                claimed_digest=received.claimed_digest,
            ),
        )
    elif received.status >= callers.FIRST_REFUSAL or received.faults:
        client.write(
            records.RefusalReceived(
                exchange=exchange,
                request_id=received.request_id or None,
                status=received.status,
                ran=received.ran,
                time_s=now,
            ),
        )
