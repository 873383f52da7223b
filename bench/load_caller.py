"""One logical request of a caller: choice of hosts, retries and records."""

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
from standins import callers, local_system

# A caller retries until this long after the deadline.
RETRY_GRACE_S = 15.0
# An exchange times out after the deadline of its kind and this time.
EXCHANGE_GRACE_S = 1.0
MINIMUM_PAUSE_S = 0.1
MAXIMUM_EXCHANGES = 40
RETRIED_STATUSES = (429, 502, 503, 504)
TOKEN_SUFFIX = "-example-token"
CONNECTION_ERRORS = (
    aiohttp.ClientError,
    ConnectionError,
    TimeoutError,
    msgspec.MsgspecError,
)


@dataclasses.dataclass(slots=True)
class PlannedRequest:
    """A logical request that is to be sent."""

    number: int
    workspace: str
    pipeline: manifest.Pipeline
    kind: manifest.Kind

    @property
    def is_journaled(self) -> bool:
        """Return whether the request is journaled; it then has an idempotency key."""
        runs_once = any(not stage.idempotent for stage in self.pipeline.stages)
        return self.kind.durable or runs_once

    @property
    def is_streamed(self) -> bool:
        """Return whether the answer is generated text, which is streamed."""
        name = self.pipeline.answer_stage or self.pipeline.stages[-1].name
        stages = {stage.name: stage for stage in self.pipeline.stages}
        return stages[name].task is manifest.Task.GENERATE


@dataclasses.dataclass(slots=True)
class RequestResult:
    """The outcome of a logical request for its caller."""

    planned: PlannedRequest
    outcome: str
    took_s: float
    exchanges: int
    cost_ms: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Client:
    """The state shared by all callers of a run."""

    system: local_system.LocalSystem
    session: aiohttp.ClientSession
    write: Callable[[records.Record], None]
    run_name: str
    hosts: list[str]
    exchanges: Any = dataclasses.field(default_factory=itertools.count)


async def send_until_answered(client: Client, planned: PlannedRequest) -> RequestResult:
    """Send a request until it is answered, must not be retried or times out."""
    started_s = time.monotonic()
    retry_until_s = started_s + planned.kind.deadline_ms / 1_000 + RETRY_GRACE_S
    outcome = "given up"
    for exchange in range(MAXIMUM_EXCHANGES):
        received = await _exchange(client, planned, attempt=exchange)
        if received is not None and received.is_complete:
            took_s = time.monotonic() - started_s
            in_time = took_s <= planned.kind.deadline_ms / 1_000
            outcome = "whole in time" if in_time else "whole late"
            return RequestResult(
                planned, outcome, took_s, exchange + 1, received.cost_ms
            )
        if received is not None and not _may_retry(planned, received):
            outcome = f"refused {received.status}"
            break
        pause_s = received.retry_after_s if received is not None else 0.0
        if time.monotonic() + pause_s >= retry_until_s:
            break
        await asyncio.sleep(max(pause_s, MINIMUM_PAUSE_S))
    return RequestResult(planned, outcome, time.monotonic() - started_s, exchange + 1)


def _may_retry(planned: PlannedRequest, received: callers.ReceivedAnswer) -> bool:
    if received.status < callers.FIRST_ERROR_STATUS:
        return True
    if received.status not in RETRIED_STATUSES or received.ran == "yes":
        return False
    return received.ran == "no" or planned.is_journaled


async def _exchange(
    client: Client,
    planned: PlannedRequest,
    attempt: int,
) -> callers.ReceivedAnswer | None:
    """Send the request once and record it; return None if the connection broke."""
    name = f"exchange-{next(client.exchanges)}"
    entry = client.hosts[(planned.number + attempt) % len(client.hosts)]
    inputs = {"text": f"{planned.kind.name} {planned.number} of {client.run_name}"}
    key = f"{client.run_name}-{planned.number}" if planned.is_journaled else None
    _record_sent(client, planned, name, entry, inputs, key)

    def on_accepted(request_id: str) -> None:
        if planned.is_journaled:
            client.write(
                records.RequestAccepted(
                    exchange=name,
                    request_id=request_id,
                    time_s=time.monotonic(),
                ),
            )

    body = {"kind": planned.kind.name, "input": inputs, "stream": planned.is_streamed}
    try:
        received = await callers.send(
            client.session,
            entry,
            f"{planned.workspace}{TOKEN_SUFFIX}",
            planned.pipeline.name,
            body,
            {} if key is None else {"Idempotency-Key": key},
            on_accepted,
            timeout_s=planned.kind.deadline_ms / 1_000 + EXCHANGE_GRACE_S,
        )
    except CONNECTION_ERRORS:
        client.write(records.AnswerCut(exchange=name, time_s=time.monotonic()))
        return None
    _record_end(client, name, received)
    return received


def _record_sent(
    client: Client,
    planned: PlannedRequest,
    exchange: str,
    entry: str,
    inputs: Any,
    key: str | None,
) -> None:
    client.write(
        records.RequestSent(
            exchange=exchange,
            host=entry,
            workspace=planned.workspace,
            kind=planned.kind.name,
            input_digest=records.digest(inputs),
            durable=planned.kind.durable,
            time_s=time.monotonic(),
            key=key,
        ),
    )


def _record_end(
    client: Client, exchange: str, received: callers.ReceivedAnswer
) -> None:
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
    elif received.status >= callers.FIRST_ERROR_STATUS or received.faults:
        client.write(
            records.RefusalReceived(
                exchange=exchange,
                request_id=received.request_id or None,
                status=received.status,
                ran=received.ran,
                time_s=now,
            ),
        )
