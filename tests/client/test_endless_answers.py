"""Hosts that send answers without end fill neither a client nor the operator's tool."""

import asyncio

import aiohttp
import pytest

from bitternlever.client import calls, hosts, streams, tables as client_tables
from bitternlever.commands import operator_client
from tests import observing

KINDS = ("chunked body", "unframed body", "long body")
CONNECTIONS = 8


async def observed(work) -> observing.Observed:
    """Run some work several times at once and observe the memory that it takes."""
    seen = observing.start()
    task = asyncio.ensure_future(observing.observe(seen))
    try:
        async with asyncio.timeout(10.0):
            await asyncio.gather(*(work(number) for number in range(CONNECTIONS)))
    finally:
        observing.stop()
        task.cancel()
    return seen


@pytest.mark.parametrize("kind", KINDS)
async def test_a_host_list_without_end_is_dropped(endless, kind):
    settings = client_tables.ClientSettings(addresses=["http://x"], token="t")
    client = calls.create(settings)

    async def fetch(number):
        address = f"http://{endless[kind][number]}"
        assert await hosts._fetch(client, address) is None

    try:
        seen = await observed(fetch)
    finally:
        await calls.close(client)
    assert seen.growth_bytes < observing.MAXIMUM_GROWTH_BYTES


@pytest.mark.parametrize("kind", KINDS)
async def test_an_answer_without_end_fails_at_its_bound(endless, kind):
    async def submit(number):
        settings = client_tables.ClientSettings(
            addresses=[f"http://{endless[kind][number]}"], token="t", patience_s=0.5
        )
        client = calls.create(settings)
        client.hosts_expire_s = client.clock() + 60.0
        submission = client_tables.Submission("audits", "audit", "rain", key="k")
        try:
            assert (await calls.run(client, submission)).is_err()
        finally:
            await calls.close(client)

    seen = await observed(submit)

    assert seen.growth_bytes < CONNECTIONS * 2 * calls.MAXIMUM_ANSWER_BYTES


@pytest.mark.parametrize("kind", KINDS)
async def test_the_operators_tool_ends_at_an_answer_without_end(endless, kind):
    address = f"http://{endless[kind][0]}"
    async with aiohttp.ClientSession() as session:
        async with asyncio.timeout(10.0):
            outcome = await operator_client._call_one(
                session, address, "GET", "/v1/x", None, redirected=False
            )

    assert "above" in outcome.err().text


def test_a_text_without_end_breaks_its_stream():
    pending = client_tables.PendingRequest(
        client_tables.Submission("p", "k", "x"), b"", 0.0
    )
    pending.text = "x" * streams.MAXIMUM_TEXT_CHARACTERS

    with pytest.raises(streams.BrokenStreamError):
        streams._append_piece(pending, streams.Piece(len(pending.text), "y"))
