"""Stand-ins as processes: announcements, leaving, a crash in the middle of a stream."""

import asyncio
import contextlib
import signal

import aiohttp
import msgspec
import pytest
from aiohttp import test_utils, web

from bitternlever.messages import upstream
from standins import faults, processes as standin_processes

TIMEOUT_S = 20.0
TOKEN = "upstream-token"
UNREACHABLE_ENTRY = "http://127.0.0.1:1"


class EntryHost:
    """An entry host that records the announcements it receives."""

    def __init__(self) -> None:
        self.announcements = []
        self.changed = asyncio.Event()
        app = web.Application()
        app.router.add_post("/v1/upstreams", self.announce)
        self.server = test_utils.TestServer(app)

    async def announce(self, request: web.Request) -> web.Response:
        """Record one announcement."""
        assert request.headers["Authorization"] == f"Bearer {TOKEN}"
        body = await request.read()
        self.announcements.append(msgspec.json.decode(body, type=upstream.Announcement))
        self.changed.set()
        return web.json_response({})

    async def wait(self, count: int) -> None:
        """Wait until ``count`` announcements have been received."""
        while len(self.announcements) < count:
            self.changed.clear()
            await self.changed.wait()


@contextlib.asynccontextmanager
async def engine(tmp_path):
    """Run an engine that announces itself; the first entry host is down."""
    host = EntryHost()
    await host.server.start_server()
    port = standin_processes.free_ports(1)[0]
    entry = str(host.server.make_url("/")).rstrip("/")
    command = standin_processes.Command(
        name="engine",
        arguments=[
            "standins",
            "engine",
            "--name=engine",
            f"--listen=127.0.0.1:{port}",
            f"--entries={UNREACHABLE_ENTRY},{entry}",
            f"--token={TOKEN}",
            "--models=draft",
            "--step-ms=1",
        ],
    )
    async with standin_processes.manage(tmp_path) as processes:
        await standin_processes.start(processes, command)
        async with asyncio.timeout(TIMEOUT_S):
            await host.wait(1)
            yield host, processes.by_name["engine"], f"http://127.0.0.1:{port}"
    await host.server.close()


def stream(session: aiohttp.ClientSession, address: str, words: int):
    """Start a streamed call that generates ``words`` words."""
    call = upstream.StageCall(
        binding=upstream.Binding("r-1", "draft", "r-1-1", 1),
        input="hello",
        model="draft",
        stream=True,
        maximum_output_tokens=words,
    )
    url = f"{address}/v1/stages/generate"
    return session.post(url, data=msgspec.json.encode(call))


async def test_announcements_are_sent_in_sequence_to_a_reachable_host(tmp_path):
    async with engine(tmp_path) as (host, _, address):
        await host.wait(2)

    first, second = host.announcements[:2]
    assert (first.address, first.models, first.tasks) == (
        address,
        ["draft"],
        ["generate"],
    )
    assert second.incarnation == first.incarnation
    assert second.sequence == first.sequence + 1
    assert second.load is not None


async def test_a_leaving_stand_in_announces_it_and_finishes_running_calls(tmp_path):
    async with engine(tmp_path) as (host, process, address):
        async with (
            aiohttp.ClientSession() as session,
            stream(session, address, words=300) as response,
        ):
            await response.content.readline()
            process.send_signal(signal.SIGTERM)
            lines = (await response.read()).splitlines()
        code = await process.wait()

    assert b"digest" in lines[-1]
    assert host.announcements[-1].leaving
    assert [message.leaving for message in host.announcements[:-1]] == [False] * (
        len(host.announcements) - 1
    )
    assert code == 0


async def test_the_die_fault_ends_the_process_in_the_middle_of_a_stream(tmp_path):
    async with engine(tmp_path) as (_, process, address):
        async with aiohttp.ClientSession() as session:
            fault = {"kind": "die", "after_parts": 2}
            async with session.post(f"{address}/fault", json=fault) as response:
                assert response.status == 200
            with pytest.raises(aiohttp.ClientError):
                async with stream(session, address, words=50) as response:
                    await response.read()
        code = await process.wait()

    assert code == faults.EXIT_DIED
