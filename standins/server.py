"""The HTTP application of all upstream stand-ins: stage calls, cancels, faults."""

import asyncio
import dataclasses
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import msgspec
from aiohttp import web

from bench.invariants import records
from bitternlever.messages import upstream
from standins import faults, records as standin_records, settings as standin_settings

MAXIMUM_BODY_BYTES = 8 * 2**20
MAXIMUM_CALLS = 2_000
RETRY_AFTER_S = 0.2

logger = logging.getLogger(__name__)

CallHandler = Callable[["StandIn", web.Request, upstream.StageCall], Awaitable[Any]]


@dataclasses.dataclass(slots=True)
class StandIn:
    """One stand-in: its settings, fault state and running calls by attempt."""

    settings: standin_settings.Settings
    recorder: standin_records.Recorder
    faults: faults.FaultState
    handle_call: CallHandler
    calls: dict[str, asyncio.Task] = dataclasses.field(default_factory=dict)
    slots: asyncio.Semaphore | None = None


STAND_IN = web.AppKey("stand_in", StandIn)
STREAM = web.RequestKey("stream", web.StreamResponse)


def create(settings: standin_settings.Settings, handle_call: CallHandler) -> StandIn:
    """Return a stand-in; ``handle_call`` answers one stage call."""
    return StandIn(
        settings=settings,
        recorder=standin_records.Recorder(settings),
        faults=faults.create(),
        handle_call=handle_call,
        slots=asyncio.Semaphore(settings.concurrency),
    )


def create_app(stand_in: StandIn) -> web.Application:
    """Return the HTTP application of a stand-in."""
    app = web.Application(
        client_max_size=MAXIMUM_BODY_BYTES,
        middlewares=[faults.middleware],
    )
    app[STAND_IN] = stand_in
    app[faults.FAULTS] = stand_in.faults
    app.router.add_post("/v1/stages/{task}", _handle_stage_call)
    app.router.add_delete("/v1/calls/{attempt}", _handle_cancel)
    app.router.add_get("/v1/state", _handle_state)
    app.router.add_post("/fault", faults.handle_fault)
    return app


def spawn(coroutine: Coroutine[Any, Any, None]) -> asyncio.Task:
    """Start a background task; its failure is logged and stops the event loop."""
    task = asyncio.ensure_future(coroutine)
    task.add_done_callback(_stop_on_failure)
    return task


def _stop_on_failure(task: asyncio.Task) -> None:
    if not task.cancelled() and task.exception() is not None:
        logger.error("a background task failed", exc_info=task.exception())
        asyncio.get_running_loop().stop()


def refusal(status: int, detail: str) -> web.Response:
    """Return the response to a call that was not run."""
    headers = {"Retry-After": str(RETRY_AFTER_S)} if status in (429, 503) else None
    body = {"detail": detail, "ran": "no"}
    return web.json_response(body, status=status, headers=headers)


async def _handle_stage_call(request: web.Request) -> web.StreamResponse:
    stand_in = request.app[STAND_IN]
    if request.match_info["task"] not in stand_in.settings.tasks:
        return refusal(404, f"{stand_in.settings.name} does not serve this task")
    if faults.refuses(stand_in.faults) or len(stand_in.calls) >= MAXIMUM_CALLS:
        return refusal(503, f"{stand_in.settings.name} takes no calls now")
    try:
        call = msgspec.json.decode(await request.read(), type=upstream.StageCall)
    except msgspec.MsgspecError as error:
        return refusal(400, str(error))
    attempt = call.binding.attempt
    if attempt in stand_in.calls:
        return refusal(409, f"attempt {attempt!r} is running")
    return await _run_call(stand_in, request, call)


async def _run_call(
    stand_in: StandIn,
    request: web.Request,
    call: upstream.StageCall,
) -> web.StreamResponse:
    attempt = call.binding.attempt
    task = asyncio.ensure_future(_run_recorded(stand_in, request, call))
    stand_in.calls[attempt] = task
    task.add_done_callback(lambda _: stand_in.calls.pop(attempt, None))
    await asyncio.wait([task])
    if not task.cancelled():
        return task.result()
    started = request.get(STREAM)
    if started is not None:
        return started
    return web.json_response({"detail": "cancelled", "ran": "unknown"}, status=499)


async def _run_recorded(
    stand_in: StandIn,
    request: web.Request,
    call: upstream.StageCall,
) -> web.StreamResponse:
    """Run a call; record its end if it was cancelled or failed."""
    try:
        return await stand_in.handle_call(stand_in, request, call)
    except asyncio.CancelledError:
        stand_in.recorder.record_end(call, records.Ending.CANCELLED)
        raise
    except ConnectionError:
        stand_in.recorder.record_end(call, records.Ending.FAILED)
        raise


async def _handle_cancel(request: web.Request) -> web.Response:
    stand_in = request.app[STAND_IN]
    task = stand_in.calls.get(request.match_info["attempt"])
    if task is None:
        return web.json_response({"cancelled": False}, status=404)
    task.cancel()
    return web.json_response({"cancelled": True})


async def _handle_state(request: web.Request) -> web.Response:
    stand_in = request.app[STAND_IN]
    return web.json_response(
        {
            "name": stand_in.settings.name,
            "running": len(stand_in.calls),
            "fault": stand_in.faults.fault.kind.value,
            "records": stand_in.recorder.count,
        },
    )
