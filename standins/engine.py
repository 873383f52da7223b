"""The model engine: continuous batching, streaming, resumption, KV transfer."""

import dataclasses
import time

import msgspec
from aiohttp import web

from bench.invariants import records
from bitternlever.messages import upstream
from standins import (
    engine_batch,
    engine_orders,
    faults,
    server,
    settings as standin_settings,
    words,
)

MAXIMUM_CACHE_EVENTS = 64


class KeptKv(msgspec.Struct, forbid_unknown_fields=True):
    """The exported KV cache of one request; only its length in tokens is modelled."""

    tokens: int


@dataclasses.dataclass(slots=True)
class Engine:
    """An engine stand-in: its batch, and the state that orders control."""

    batch: engine_batch.Batch
    orders: engine_orders.Orders


ENGINE = web.AppKey("engine", Engine)


def create(
    settings: standin_settings.Settings,
) -> tuple[server.StandIn, web.Application]:
    """Return an engine stand-in and its HTTP application."""
    stand_in = server.create(settings, run)
    app = server.create_app(stand_in)
    app[ENGINE] = Engine(
        batch=engine_batch.create(settings, stand_in.faults),
        orders=engine_orders.create(settings),
    )
    app.router.add_put("/v1/engine", _handle_order)
    app.router.add_get("/v1/kv/{request}", _export_kv)
    app.router.add_put("/v1/kv/{request}", _import_kv)
    app.cleanup_ctx.append(_run_background_tasks)
    return stand_in, app


def describe(engine: Engine, message: upstream.Announcement) -> None:
    """Add models, role, load and cache events to an announcement."""
    now = time.monotonic()
    message.models = sorted(engine.orders.models)
    message.adapters = sorted(engine.orders.adapters)
    message.role = engine.orders.role
    message.load = engine_batch.report(engine.batch, now)
    message.cache_events = engine_batch.cache_events(
        engine.batch,
        now,
        MAXIMUM_CACHE_EVENTS,
    )


async def run(
    stand_in: server.StandIn,
    request: web.Request,
    call: upstream.StageCall,
) -> web.StreamResponse:
    """Generate the text of one call, streamed if the call asks for it."""
    engine = request.app[ENGINE]
    if not engine_orders.is_loaded(engine.orders, call.model):
        return server.refusal(503, f"the model {call.model!r} is not loaded here")
    inputs = [call.input, call.previous]
    all_words = words.generated_words(
        call.model,
        call.binding.request,
        inputs,
        call.maximum_output_tokens,
    )
    resumed_words = count_resumed_words(all_words, call.resume_output)
    if resumed_words is None:
        return server.refusal(400, "resume_output is no beginning of the output")
    prompt = msgspec.json.encode(inputs)
    generation = engine_batch.submit(
        engine.batch, call, all_words, resumed_words, prompt
    )
    if generation is None:
        return server.refusal(503, "too many calls wait here")
    stand_in.recorder.record_call(call)
    try:
        if call.stream:
            return await _send_stream(stand_in, request, call, generation)
        return await _send_complete(stand_in, request, call, generation)
    finally:
        engine_batch.remove(engine.batch, call, generation)


def count_resumed_words(all_words: list[str], resume_output: str) -> int | None:
    """Return how many words ``resume_output`` has, None if it is another text."""
    resumed_words = 0
    length = 0
    while length < len(resume_output) and resumed_words < len(all_words):
        length += len(all_words[resumed_words])
        resumed_words += 1
    return (
        resumed_words if "".join(all_words[:resumed_words]) == resume_output else None
    )


async def _send_complete(
    stand_in: server.StandIn,
    request: web.Request,
    call: upstream.StageCall,
    generation: engine_batch.Generation,
) -> web.Response:
    while generation.ready_words < len(generation.words):
        await _wait_for_words(generation)
    await faults.wait_while_blocked(stand_in.faults, request.transport)
    faults.break_stream(stand_in.faults, request, stand_in.faults.fault.after_parts)
    text = generation.text
    stand_in.recorder.record_end(call, records.Ending.WHOLE, words.text_digest(text))
    reply = upstream.StageReply(
        binding=call.binding,
        output=text,
        digest=words.digest(text),
        usage=_usage(generation),
    )
    return web.Response(
        body=msgspec.json.encode(reply),
        content_type="application/json",
    )


async def _send_stream(
    stand_in: server.StandIn,
    request: web.Request,
    call: upstream.StageCall,
    generation: engine_batch.Generation,
) -> web.StreamResponse:
    response = web.StreamResponse()
    response.content_type = "application/x-ndjson"
    request[server.STREAM] = response
    await response.prepare(request)
    offset = len(call.resume_output)
    for number, word in enumerate(generation.words[generation.resumed_words :]):
        while generation.ready_words <= generation.resumed_words + number:
            await _wait_for_words(generation)
        await faults.wait_while_blocked(stand_in.faults, request.transport)
        faults.break_stream(stand_in.faults, request, number)
        await _write_line(response, upstream.StreamPart(offset=offset, text=word))
        offset += len(word)
    digest = words.text_digest(generation.text)
    stand_in.recorder.record_end(call, records.Ending.WHOLE, digest)
    end = upstream.StreamEnd(
        binding=call.binding,
        length=offset,
        digest=digest,
        usage=_usage(generation),
    )
    await _write_line(response, end)
    await response.write_eof()
    return response


async def _write_line(response: web.StreamResponse, message: msgspec.Struct) -> None:
    await response.write(msgspec.json.encode(message) + b"\n")


async def _wait_for_words(generation: engine_batch.Generation) -> None:
    generation.changed.clear()
    await generation.changed.wait()


def _usage(generation: engine_batch.Generation) -> upstream.Usage:
    return upstream.Usage(
        busy_ms=generation.job.busy_s * 1_000,
        prompt_tokens=generation.job.prompt_tokens,
        cached_tokens=generation.job.cached_tokens,
        output_tokens=len(generation.words) - generation.resumed_words,
    )


async def _handle_order(request: web.Request) -> web.Response:
    stand_in = request.app[server.STAND_IN]
    try:
        order = msgspec.json.decode(await request.read(), type=upstream.EngineOrder)
    except msgspec.MsgspecError as error:
        return server.refusal(400, str(error))
    orders = request.app[ENGINE].orders
    accepted = engine_orders.accept(orders, order)
    stand_in.recorder.record_order(order, accepted)
    if not accepted:
        body = {"detail": "an old fencing number", "fencing_in_force": orders.fencing}
        return web.json_response(body, status=409)
    return web.json_response({"fencing": order.fencing})


async def _export_kv(request: web.Request) -> web.Response:
    kept = request.app[ENGINE].batch.kept_kv
    tokens = kept.pop(request.match_info["request"], None)
    if tokens is None:
        return server.refusal(404, "no KV of this request is kept here")
    return web.json_response({"tokens": tokens})


async def _import_kv(request: web.Request) -> web.Response:
    try:
        body = msgspec.json.decode(await request.read(), type=KeptKv)
    except msgspec.MsgspecError as error:
        return server.refusal(400, str(error))
    batch = request.app[ENGINE].batch
    engine_batch.keep_kv(batch, request.match_info["request"], body.tokens)
    return web.json_response({"tokens": body.tokens})


async def _run_background_tasks(app: web.Application):
    """Run the steps of the batch and the loading of models as background tasks."""
    engine = app[ENGINE]
    tasks = [
        server.spawn(engine_batch.run(engine.batch)),
        server.spawn(engine_orders.run(engine.orders)),
    ]
    yield
    for task in tasks:
        task.cancel()
