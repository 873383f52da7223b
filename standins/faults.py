"""Faults that ``POST /fault`` injects into a stand-in."""

import asyncio
import dataclasses
import enum
import os
import weakref

import msgspec
from aiohttp import web

FROZEN_POLL_S = 0.05
EXIT_DIED = 70


class FaultKind(enum.Enum):
    """The kinds of faults of a stand-in."""

    NONE = "none"
    SLOW = "slow"
    FREEZE = "freeze"
    SILENT = "silent"
    REFUSE = "refuse"
    CUT = "cut"
    DIE = "die"


class Fault(msgspec.Struct, forbid_unknown_fields=True):
    """The body of ``POST /fault``.

    ``factor`` multiplies durations under SLOW. CUT closes the connection and DIE ends
    the process in the middle of a streamed answer, after ``after_parts`` parts. SILENT
    blocks only the connections that are open when the fault is set.
    """

    kind: FaultKind
    factor: float = 10.0
    after_parts: int = 3


@dataclasses.dataclass(slots=True)
class FaultState:
    """The current fault, all known connections, and the silenced ones."""

    fault: Fault = dataclasses.field(
        default_factory=lambda: Fault(kind=FaultKind.NONE),
    )
    connections: weakref.WeakSet = dataclasses.field(default_factory=weakref.WeakSet)
    silenced: weakref.WeakSet = dataclasses.field(default_factory=weakref.WeakSet)


def create() -> FaultState:
    """Return the state of a stand-in without a fault."""
    return FaultState()


def set_fault(state: FaultState, fault: Fault) -> None:
    """Replace the fault; SILENT silences the connections that are open now."""
    state.fault = fault
    state.silenced.clear()
    if fault.kind is FaultKind.SILENT:
        state.silenced.update(state.connections)


def slowdown(state: FaultState) -> float:
    """Return the factor by which durations are multiplied."""
    return state.fault.factor if state.fault.kind is FaultKind.SLOW else 1.0


def refuses(state: FaultState) -> bool:
    """Return whether new calls are refused."""
    return state.fault.kind is FaultKind.REFUSE


async def wait_while_blocked(
    state: FaultState, transport: asyncio.BaseTransport | None
) -> None:
    """Wait while the stand-in is frozen or this connection is silenced."""
    while state.fault.kind is FaultKind.FREEZE or transport in state.silenced:
        await asyncio.sleep(FROZEN_POLL_S)


def break_stream(state: FaultState, request: web.Request, parts: int) -> None:
    """Cut the connection or end the process if enough ``parts`` have been sent."""
    if parts < state.fault.after_parts:
        return
    if state.fault.kind is FaultKind.CUT and request.transport is not None:
        request.transport.abort()
        raise ConnectionResetError("the fault CUT closed the connection")
    if state.fault.kind is FaultKind.DIE:
        os._exit(EXIT_DIED)


@web.middleware
async def middleware(request: web.Request, handler) -> web.StreamResponse:
    """Register connections, and block requests while frozen or silenced."""
    if request.path == "/fault":
        return await handler(request)
    state = request.app[FAULTS]
    state.connections.add(request.transport)
    await wait_while_blocked(state, request.transport)
    return await handler(request)


async def handle_fault(request: web.Request) -> web.Response:
    """Handle ``POST /fault``."""
    try:
        fault = msgspec.json.decode(await request.read(), type=Fault)
    except msgspec.ValidationError as error:
        return web.json_response({"detail": str(error)}, status=400)
    set_fault(request.app[FAULTS], fault)
    return web.json_response({"fault": fault.kind.value})


FAULTS = web.AppKey("faults", FaultState)
