"""Stand-in upstreams of a run: they misbehave on request and record what they ran."""

import asyncio
import dataclasses
import functools
import random

from soak import plan, records as soak_records
from standins import fleet as standin_fleet, platform_server

BEAT_INTERVAL_S = 1.2
"""As in the settings of the run's deployments."""

SLOTS = 16
"""More than the callers of a run."""

ANSWER_S = (0.002, 0.03)
"""A sound upstream answers within a small part of the route's objective."""

SLOW_S = (0.3, 1.5)
"""From below the route's objective to three times of it."""


@dataclasses.dataclass(slots=True)
class Upstream:
    """A stand-in, its start (Unix milliseconds), its call number and its state."""

    name: str
    records: soak_records.Records
    source: random.Random
    clock: asyncio.AbstractEventLoop
    started_ms: int
    number: int = 0
    state: str = "ready"
    fault: plan.Kind | None = None
    server: platform_server.Server | None = None


async def start(upstream: Upstream) -> None:
    """Listen on a free port."""
    behave = functools.partial(_behave, upstream)
    upstream.server = await platform_server.start(upstream.name, behave)


def begin_anew(upstream: Upstream) -> None:
    """Start again under the same name: with another start, and numbers from one."""
    upstream.started_ms += 1_000
    upstream.number = 0
    upstream.state = "ready"


def heartbeat(upstream: Upstream) -> bytes:
    """Return the next word of an upstream, as the platform writes it."""
    upstream.number += 1
    return standin_fleet.heartbeat(
        upstream.server.address,
        slot_count=SLOTS,
        state=upstream.state,
        call_seq=upstream.number,
        born=upstream.started_ms,
    )


async def _behave(upstream: Upstream, server, received, writer) -> None:
    request = received.headers.get("x-bitternlever-request-id", "")
    match upstream.fault:
        case plan.Kind.UPSTREAM_REFUSES:
            await platform_server.refuse()(server, received, writer)
            return
        case plan.Kind.UPSTREAM_RESTARTS:
            await platform_server.cut(after=b"", reset=True)(server, received, writer)
            return
        case plan.Kind.UPSTREAM_RESETS if upstream.source.random() < 0.5:
            writer.transport.abort()
            raise ConnectionResetError
        case plan.Kind.UPSTREAM_SLOW:
            await asyncio.sleep(upstream.source.uniform(*SLOW_S))
        case _:
            await asyncio.sleep(upstream.source.uniform(*ANSWER_S))
    run = soak_records.Run(request, upstream.name, upstream.clock.time())
    upstream.records.runs.append(run)
    match upstream.fault:
        case plan.Kind.UPSTREAM_SILENT:
            await platform_server.silent()(server, received, writer)
        case plan.Kind.UPSTREAM_RESETS:
            await platform_server.cut(reset=True)(server, received, writer)
        case plan.Kind.UPSTREAM_GARBLES:
            await platform_server.garbage()(server, received, writer)
            raise ConnectionResetError
        case _:
            body = soak_records.body_of(request)
            await platform_server.answer(body=body)(server, received, writer)
