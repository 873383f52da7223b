"""Encoders, retrievers, rerankers and services: one unstreamed answer to each call."""

import asyncio

import msgspec
from aiohttp import web

from bench.invariants import records
from bitternlever.messages import upstream
from standins import faults, server, settings as standin_settings, words


def create(
    settings: standin_settings.Settings,
) -> tuple[server.StandIn, web.Application]:
    """Return a stand-in without streaming and its HTTP application."""
    stand_in = server.create(settings, run)
    return stand_in, server.create_app(stand_in)


async def run(
    stand_in: server.StandIn,
    request: web.Request,
    call: upstream.StageCall,
) -> web.Response:
    """Answer one call after the service time."""
    stand_in.recorder.record_call(call)
    busy_ms = stand_in.settings.service_ms * faults.slowdown(stand_in.faults)
    async with stand_in.slots:
        await asyncio.sleep(busy_ms / 1_000)
    output = words.structured_output(
        request.match_info["task"],
        call.binding.request,
        call.binding.stage,
        call.input,
        call.previous,
    )
    await faults.wait_while_blocked(stand_in.faults, request.transport)
    faults.break_stream(stand_in.faults, request, stand_in.faults.fault.after_parts)
    stand_in.recorder.record_end(call, records.Ending.WHOLE, records.digest(output))
    reply = upstream.StageReply(
        binding=call.binding,
        output=output,
        digest=words.digest(output),
        usage=upstream.Usage(busy_ms=busy_ms),
    )
    return web.Response(
        body=msgspec.json.encode(reply),
        content_type="application/json",
    )
