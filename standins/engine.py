"""The model engine: continuous batching, streams, resumption and cancelling."""

import asyncio
import dataclasses

import msgspec
from aiohttp import web

from bench.invariants import records
from bitternlever.messages import upstream
from standins import faults, server, words


@dataclasses.dataclass(slots=True)
class Generation:
    """One call's text: all its words and how many were there before it."""

    words: list[str]
    done: int
    busy_ms: float = 0.0

    @property
    def text(self) -> str:
        """Return the whole text."""
        return "".join(self.words)


def begin(call: upstream.StageCall) -> Generation | None:
    """Return the generation that goes on from ``resume_output``, if one can."""
    all_words = words.tokens_of(
        call.model,
        call.binding.request,
        [call.input, call.previous],
        call.maximum_output_tokens,
    )
    done = 0
    length = 0
    while length < len(call.resume_output) and done < len(all_words):
        length += len(all_words[done])
        done += 1
    if "".join(all_words[:done]) != call.resume_output:
        return None
    return Generation(words=all_words, done=done)


async def run(
    stand_in: server.StandIn,
    request: web.Request,
    call: upstream.StageCall,
) -> web.StreamResponse:
    """Generate the text of one call, streamed where the call asks for it."""
    generation = begin(call)
    if generation is None:
        return server.refusal(400, "resume_output is no beginning of the output")
    stand_in.recorder.called(call)
    async with stand_in.slots:
        if call.stream:
            return await _stream(stand_in, request, call, generation)
        return await _whole(stand_in, request, call, generation)


async def _whole(
    stand_in: server.StandIn,
    request: web.Request,
    call: upstream.StageCall,
    generation: Generation,
) -> web.Response:
    for _ in generation.words[generation.done :]:
        await _step(stand_in, generation)
    await faults.hold(stand_in.faults, request.transport)
    faults.break_stream(stand_in.faults, request, stand_in.faults.fault.after_parts)
    text = generation.text
    stand_in.recorder.ended(call, records.Ending.WHOLE, words.text_digest(text))
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


async def _stream(
    stand_in: server.StandIn,
    request: web.Request,
    call: upstream.StageCall,
    generation: Generation,
) -> web.StreamResponse:
    response = web.StreamResponse()
    response.content_type = "application/x-ndjson"
    request[server.STREAM] = response
    await response.prepare(request)
    offset = len(call.resume_output)
    for number, word in enumerate(generation.words[generation.done :]):
        await _step(stand_in, generation)
        await faults.hold(stand_in.faults, request.transport)
        faults.break_stream(stand_in.faults, request, number)
        await _line(response, upstream.StreamPart(offset=offset, text=word))
        offset += len(word)
    digest = words.text_digest(generation.text)
    stand_in.recorder.ended(call, records.Ending.WHOLE, digest)
    end = upstream.StreamEnd(
        binding=call.binding,
        length=offset,
        digest=digest,
        usage=_usage(generation),
    )
    await _line(response, end)
    await response.write_eof()
    return response


async def _line(response: web.StreamResponse, message: msgspec.Struct) -> None:
    await response.write(msgspec.json.encode(message) + b"\n")


async def _step(stand_in: server.StandIn, generation: Generation) -> None:
    step_ms = stand_in.settings.step_ms * faults.factor(stand_in.faults)
    await asyncio.sleep(step_ms / 1_000)
    generation.busy_ms += step_ms


def _usage(generation: Generation) -> upstream.Usage:
    return upstream.Usage(
        busy_ms=generation.busy_ms,
        output_tokens=len(generation.words) - generation.done,
    )
