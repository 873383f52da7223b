"""Stand-in upstreams of a run, with injected faults; they record what they run."""

import asyncio
import dataclasses
import functools
import random

from soak import plan, records as soak_records
from standins import fleet as standin_fleet, scripted_upstream

HEARTBEAT_INTERVAL_S = 1.2
"""As in the settings of the run's deployments."""

SLOTS = 16
"""More than the number of callers of a run."""

ANSWER_S = (0.002, 0.03)
"""Answer times without a fault: a small part of the route's objective."""

SLOW_S = (0.3, 1.5)
"""Answer times of a slow upstream: from below to three times the objective."""


PAUSE_S = 0.3
"""The pause that an upstream asks for when it refuses; shorter than its fault."""

LEAVING = "Server-Leaving: 1"


@dataclasses.dataclass(slots=True)
class Upstream:
    """A stand-in upstream with the contents of its heartbeats and its current fault.

    ``started_ms`` is its start in Unix milliseconds; ``heartbeat_number``
    counts the heartbeats since then. ``limit_per_s`` is the rate limit that it names.
    """

    name: str
    records: soak_records.Records
    source: random.Random
    clock: asyncio.AbstractEventLoop
    started_ms: int
    limit_per_s: float | None = None
    heartbeat_number: int = 0
    state: str = "ready"
    fault: plan.Kind | None = None
    endpoint: scripted_upstream.ScriptedUpstream | None = None


async def start(upstream: Upstream) -> None:
    """Listen on a free port."""
    behave = functools.partial(_answer, upstream)
    upstream.endpoint = await scripted_upstream.start(upstream.name, behave)


def restart(upstream: Upstream) -> None:
    """Restart under the same name, with a later start and numbers from one."""
    upstream.started_ms += 1_000
    upstream.heartbeat_number = 0
    upstream.state = "ready"


def next_heartbeat(upstream: Upstream) -> bytes:
    """Return the body of the next heartbeat in the format of the platform."""
    upstream.heartbeat_number += 1
    return standin_fleet.heartbeat(
        upstream.endpoint.address,
        zone=plan.ZONE_BY_UPSTREAM[upstream.name],
        slot_count=SLOTS,
        state=upstream.state,
        call_seq=upstream.heartbeat_number,
        born=upstream.started_ms,
    )


def _name_limit(upstream: Upstream) -> tuple[str, ...]:
    """Record an arrival and return the header that names the limit, if there is one."""
    if upstream.limit_per_s is None:
        return ()
    arrival = soak_records.LimitedArrival(
        start=f"{upstream.name} {upstream.started_ms}",
        at_s=upstream.clock.time(),
        limit_per_s=upstream.limit_per_s,
    )
    upstream.records.limited_arrivals.append(arrival)
    return (f"Server-Limit: {upstream.limit_per_s}",)


async def _answer(upstream: Upstream, endpoint, received, writer) -> None:
    request = received.headers.get("x-bitternlever-request-id", "")
    arrival = soak_records.Arrival(request, upstream.name, upstream.clock.time())
    upstream.records.arrivals.append(arrival)
    limit_lines = _name_limit(upstream)
    match upstream.fault:
        case plan.Kind.UPSTREAM_REFUSES:
            lines = (scripted_upstream.NOT_RUN, f"Retry-After: {PAUSE_S}")
            refuse = scripted_upstream.answer(503, b"", lines=lines + limit_lines)
            await refuse(endpoint, received, writer)
            return
        case plan.Kind.UPSTREAM_RESTARTS:
            await scripted_upstream.cut(after=b"", reset=True)(
                endpoint, received, writer
            )
            return
        case plan.Kind.UPSTREAM_RESETS if upstream.source.random() < 0.5:
            writer.transport.abort()
            raise ConnectionResetError
        case plan.Kind.UPSTREAM_SLOW:
            await asyncio.sleep(upstream.source.uniform(*SLOW_S))
        case _:
            await asyncio.sleep(upstream.source.uniform(*ANSWER_S))
    execution = soak_records.Execution(request, upstream.name, upstream.clock.time())
    upstream.records.executions.append(execution)
    match upstream.fault:
        case plan.Kind.UPSTREAM_SILENT:
            await scripted_upstream.silent()(endpoint, received, writer)
        case plan.Kind.UPSTREAM_RESETS:
            await scripted_upstream.cut(reset=True)(endpoint, received, writer)
        case plan.Kind.UPSTREAM_GARBLES:
            await scripted_upstream.garbage()(endpoint, received, writer)
            raise ConnectionResetError
        case _:
            body = soak_records.body_of(request)
            lines = [scripted_upstream.SEAL, *limit_lines]
            if upstream.state == "draining":
                lines.append(LEAVING)
            answer = scripted_upstream.answer(body=body, lines=tuple(lines))
            await answer(endpoint, received, writer)
