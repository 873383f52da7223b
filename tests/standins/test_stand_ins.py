"""The stand-ins over HTTP: outputs, streams, resumption, cancellation, faults."""

import asyncio
import contextlib

import aiohttp
import msgspec
import pytest
from aiohttp import test_utils

from bench.invariants import files, records
from bitternlever.messages import upstream
from standins import engine, plain, settings as standin_settings, words


def create(kind, tmp_path, **values):
    """Return a stand-in, which writes records to ``tmp_path``, and its application."""
    settings = standin_settings.Settings(
        kind=kind,
        name="stand-in",
        records=str(tmp_path),
        service_ms=1.0,
        step_ms=1.0,
        **values,
    )
    is_engine = kind is standin_settings.StandInKind.ENGINE
    return engine.create(settings) if is_engine else plain.create(settings)


@contextlib.asynccontextmanager
async def client_of(created):
    """Serve a stand-in on a free port."""
    test_server = test_utils.TestServer(created[1])
    async with test_utils.TestClient(test_server) as client:
        yield client


def call(request="r-1", **values):
    """Return a stage call."""
    binding = upstream.Binding(request, "draft", f"{request}/draft/1", 1)
    return upstream.StageCall(binding=binding, input={"text": "hello"}, **values)


async def streamed(client, message):
    """Send a streamed call and return its parts and its end line."""
    response = await client.post(
        "/v1/stages/generate",
        data=msgspec.json.encode(message),
    )
    lines = (await response.read()).splitlines()
    parts = [msgspec.json.decode(line, type=upstream.StreamPart) for line in lines[:-1]]
    return parts, msgspec.json.decode(lines[-1], type=upstream.StreamEnd)


async def test_a_resumed_stream_yields_the_same_text(tmp_path):
    stand_in = create(standin_settings.StandInKind.ENGINE, tmp_path)
    async with client_of(stand_in) as client:
        parts, end = await streamed(client, call(stream=True))
        text = "".join(part.text for part in parts)
        head = "".join(part.text for part in parts[:7])
        rest, resumed = await streamed(client, call(stream=True, resume_output=head))

    assert words.text_digest(text) == end.digest == resumed.digest
    assert rest[0].offset == len(head)
    assert head + "".join(part.text for part in rest) == text
    assert end.length == resumed.length == len(text)


async def test_every_word_contains_the_hash_of_its_request(tmp_path):
    stand_in = create(standin_settings.StandInKind.ENGINE, tmp_path)
    async with client_of(stand_in) as client:
        mine, other = await asyncio.gather(
            streamed(client, call("r-1", stream=True)),
            streamed(client, call("r-2", stream=True)),
        )

    for request, (parts, _) in (("r-1", mine), ("r-2", other)):
        assert all(words.short_hash(request) in part.text for part in parts)


async def test_a_reply_has_the_digest_of_its_output_and_the_binding(tmp_path):
    stand_in = create(standin_settings.StandInKind.SERVICE, tmp_path)
    async with client_of(stand_in) as client:
        message = call()
        response = await client.post(
            "/v1/stages/call",
            data=msgspec.json.encode(message),
        )
        reply = msgspec.json.decode(await response.read(), type=upstream.StageReply)

    assert reply.binding == message.binding
    assert reply.digest == words.digest(reply.output)
    found = files.read(tmp_path)
    assert [type(record) for record in found] == [
        records.StageCalled,
        records.CallEnded,
    ]
    assert found[1].output_digest == records.digest(reply.output)


async def test_a_cancelled_call_ends_without_an_end_line(tmp_path):
    stand_in = create(standin_settings.StandInKind.ENGINE, tmp_path)
    async with client_of(stand_in) as client:
        message = call(stream=True, maximum_output_tokens=5_000)
        response = await client.post(
            "/v1/stages/generate",
            data=msgspec.json.encode(message),
        )
        await response.content.readline()
        await client.delete("/v1/calls/" + message.binding.attempt.replace("/", "%2F"))
        rest = await response.read()

    assert b"digest" not in rest
    assert files.read(tmp_path)[-1].ending is records.Ending.CANCELLED


async def test_a_silent_fault_blocks_open_connections_but_not_new_ones(tmp_path):
    stand_in = create(standin_settings.StandInKind.SERVICE, tmp_path)
    timeout = aiohttp.ClientTimeout(total=0.3)
    async with client_of(stand_in) as client:
        body = msgspec.json.encode(call())
        await (await client.post("/v1/stages/call", data=body)).read()
        url = client.make_url("/fault")
        async with aiohttp.ClientSession() as other:
            await other.post(url, json={"kind": "silent"})
            with pytest.raises(TimeoutError):
                await client.post("/v1/stages/call", data=body, timeout=timeout)
            fresh = await other.post(client.make_url("/v1/stages/call"), data=body)

    assert fresh.status == 200


async def test_a_stream_under_the_cut_fault_breaks_without_an_end(tmp_path):
    stand_in = create(standin_settings.StandInKind.ENGINE, tmp_path)
    async with client_of(stand_in) as client:
        await client.post("/fault", json={"kind": "cut", "after_parts": 2})
        with pytest.raises(aiohttp.ClientError):
            await streamed(client, call(stream=True))

    assert files.read(tmp_path)[-1].ending is records.Ending.FAILED


async def test_a_refused_call_is_not_recorded(tmp_path):
    stand_in = create(standin_settings.StandInKind.SERVICE, tmp_path)
    async with client_of(stand_in) as client:
        await client.post("/fault", json={"kind": "refuse"})
        response = await client.post(
            "/v1/stages/call",
            data=msgspec.json.encode(call()),
        )
        problem = await response.json()

    assert (response.status, problem["ran"]) == (503, "no")
    assert "Retry-After" in response.headers
    assert files.read(tmp_path) == []
