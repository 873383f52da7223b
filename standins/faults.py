"""Faults on demand: what ``POST /fault`` switches on in a stand-in."""

import asyncio
import dataclasses
import enum
import os
import weakref

import msgspec
from aiohttp import web

FROZEN_CHECK_S = 0.05
EXIT_DIED = 70


class FaultKind(enum.Enum):
    """The ways in which a stand-in misbehaves."""

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
    holds only the connections that are open when the fault is set.
    """

    kind: FaultKind
    factor: float = 10.0
    after_parts: int = 3


@dataclasses.dataclass(slots=True)
class FaultState:
    """The fault that is set, and the connections that are seen and silenced."""

    fault: Fault = dataclasses.field(
        default_factory=lambda: Fault(kind=FaultKind.NONE),
    )
    connections: weakref.WeakSet = dataclasses.field(default_factory=weakref.WeakSet)
    silenced: weakref.WeakSet = dataclasses.field(default_factory=weakref.WeakSet)


def create() -> FaultState:
    """Make the state of a stand-in without a fault."""
    return FaultState()


def set_fault(state: FaultState, fault: Fault) -> None:
    """Replace the fault; SILENT takes hold of the connections open now."""
    state.fault = fault
    state.silenced.clear()
    if fault.kind is FaultKind.SILENT:
        state.silenced.update(state.connections)


def factor(state: FaultState) -> float:
    """Return by what durations are multiplied."""
    return state.fault.factor if state.fault.kind is FaultKind.SLOW else 1.0


def refuses(state: FaultState) -> bool:
    """Tell whether new calls are refused."""
    return state.fault.kind is FaultKind.REFUSE


async def hold(state: FaultState, transport: asyncio.BaseTransport | None) -> None:
    """Wait while the stand-in is frozen or this connection is silenced."""
    while state.fault.kind is FaultKind.FREEZE or transport in state.silenced:
        await asyncio.sleep(FROZEN_CHECK_S)


def break_stream(state: FaultState, request: web.Request, parts: int) -> None:
    """Cut the connection or end the process when ``parts`` were sent."""
    if parts < state.fault.after_parts:
        return
    if state.fault.kind is FaultKind.CUT and request.transport is not None:
        request.transport.abort()
        raise ConnectionResetError("the fault CUT closed the connection")
    if state.fault.kind is FaultKind.DIE:
        os._exit(EXIT_DIED)


@web.middleware
async def middleware(request: web.Request, handler) -> web.StreamResponse:
    """Notice connections, and answer nothing on silenced ones."""
    if request.path == "/fault":
        return await handler(request)
    state = request.app[FAULTS]
    state.connections.add(request.transport)
    await hold(state, request.transport)
    return await handler(request)


async def put(request: web.Request) -> web.Response:
    """Take ``POST /fault``."""
    try:
        fault = msgspec.json.decode(await request.read(), type=Fault)
    except msgspec.ValidationError as error:
        return web.json_response({"detail": str(error)}, status=400)
    set_fault(request.app[FAULTS], fault)
    return web.json_response({"fault": fault.kind.value})


FAULTS = web.AppKey("faults", FaultState)
