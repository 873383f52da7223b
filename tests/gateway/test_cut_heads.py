"""Upstreams and hosts that close their connection within the head of an answer."""

import asyncio
import json

import pytest

from bitternlever.catalog import tables as catalog_tables
from bitternlever.messages import fleet
from standins import scripted_upstream
from tests.gateway import entry_host, samples
from tests.gateway.test_requests import run_staged, stage_answers, upstream_status

STREAM = catalog_tables.Repeatability.STREAM
KIND = "Content-Type: text/event-stream"
WHOLE_HEADS = {
    "a length": ("", "Content-Length: 0"),
    "chunks": ("", "Transfer-Encoding: chunked"),
    "neither": ("", KIND),
    "an interim answer": ("HTTP/1.1 103 Early\r\nLink: x\r\n\r\n", "Content-Length: 0"),
}


def cut_within(share: float, interim: str, *lines: str):
    """Send an interim answer and a part of the final head, then close."""

    async def behave(upstream, received, writer):
        head = scripted_upstream.head(200, received, scripted_upstream.SEAL, *lines)
        # All of the head but the blank line may have been sent.
        writer.write(interim.encode() + head[: round((len(head) - 1) * share)])
        await writer.drain()
        writer.close()
        raise ConnectionResetError

    return behave


@pytest.mark.parametrize("share", [0.0, 0.02, 0.1, 0.3, 0.6, 0.9, 0.99, 1.0])
@pytest.mark.parametrize("framing", WHOLE_HEADS)
@pytest.mark.parametrize("kind", catalog_tables.Repeatability)
async def test_a_head_that_is_cut_off_is_never_passed_on_as_an_answer(
    kind, framing, share
):
    interim, line = WHOLE_HEADS[framing]
    server = await scripted_upstream.start("u1", cut_within(share, interim, line))
    route = samples.route(repeatability=kind, maximum_attempts=1)
    catalog = samples.catalog(routes={"h.example": [route]})
    async with entry_host.running(catalog, upstream_status(server)) as (_, port):
        answer = await entry_host.call(port, entry_host.request("POST"))

    assert answer.status == 502
    assert "x-bitternlever-response-seal" not in answer.headers


@pytest.mark.parametrize("cut", [b"0\r\n", b"0\r\nX-T", b"0\r\nX-Trailer: a\r\n"])
async def test_trailers_that_are_cut_off_do_not_end_a_stream_as_complete(cut):
    async def behave(upstream, received, writer):
        lines = (scripted_upstream.SEAL, KIND, "Transfer-Encoding: chunked")
        writer.write(scripted_upstream.head(200, received, *lines))
        writer.write(b"7\r\nid: 1\n\n\r\n" + cut)
        await writer.drain()
        writer.close()
        raise ConnectionResetError

    server = await scripted_upstream.start("u1", behave)
    route = samples.route(repeatability=STREAM, maximum_attempts=1)
    catalog = samples.catalog(routes={"h.example": [route]})
    async with entry_host.running(catalog, upstream_status(server)) as (_, port):
        answer = await entry_host.call(port, entry_host.request("POST"))

    assert not answer.whole


@pytest.mark.parametrize("share", [0.02, 0.5, 1.0])
async def test_a_stage_call_whose_answer_ends_in_its_head_is_made_again(share):
    cut = cut_within(share, "", "Content-Length: 0")
    encode = await scripted_upstream.start("s1", cut, stage_answers())
    rerank = await scripted_upstream.start("s2", cut, stage_answers())
    engine = await scripted_upstream.start("e1", scripted_upstream.stream(b"id: 1\n\n"))

    answer = await run_staged(encode, rerank, engine)

    assert answer.body == b"id: 1\n\n"
    assert answer.whole
    calls = [json.loads(call.body) for call in rerank.received]
    assert all(len(item["inputs"]) == 2 for item in calls[-2].get("items", []))


@pytest.mark.parametrize("share", [0.02, 0.5, 1.0])
async def test_a_cut_head_of_a_host_that_serves_in_place_of_another_is_no_answer(share):
    cut = cut_within(share, "", "Content-Length: 0")
    helper = await scripted_upstream.start("helper", cut)
    server = await scripted_upstream.start("u1")
    status = upstream_status(server)
    async with entry_host.running(samples.catalog(), status) as (gateway, port):
        other = samples.host_announcement("two", address=helper.address)
        gateway.tables.hosts.listed = (*gateway.tables.hosts.listed, other)
        gateway.tables.reachability.cut_off = True
        answer = await entry_host.call(port, entry_host.request("POST"))
        await asyncio.sleep(0)

    assert answer.status == 502
    assert gateway.tables.announcement.state is fleet.HostState.READY
