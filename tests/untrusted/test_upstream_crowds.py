"""Upstreams that send without end to many requests at once fill no host."""

import asyncio
import contextlib
import itertools

import pytest

from standins import fleet as fleet_processes, scripted_upstream
from tests.gateway import entry_host
from tests.platform import test_processes as processes
from tests.untrusted import crowds

MEMORY_MB = 128
LIMITS = {"memory_mb": MEMORY_MB, "max_fds": 3_000}
MEGABYTE = 1_000_000
REQUESTS = 300
TIMEOUT_S = 2.0
HEARTBEAT_S = 0.5
SAMPLE_S = 0.05
SOUND_S = 0.05
BODIES = ("chunked body", "tiny chunks", "unframed body", "long body")
HOST = "entry-a"
NETWORK = 39


def config(version: int) -> bytes:
    """Return a config with a route to sound upstreams and one to endless ones."""
    endless = fleet_processes.route(
        name="endless",
        path_prefix="/endless/",
        kind="streaming",
        timeout_ms=round(TIMEOUT_S * 1_000),
        service="endless",
        max_attempts=1,
    )
    return fleet_processes.config(
        version,
        routes=[fleet_processes.route(), endless],
        services=[
            {"name": name, "max_conns": 2 * REQUESTS} for name in ("plain", "endless")
        ],
    )


async def announce(fleet, addresses: dict[str, tuple[str, str]]) -> None:
    """Send heartbeats of upstreams, by name their services and addresses."""
    for number in itertools.count(1):
        for name, (service, address) in addresses.items():
            body = fleet_processes.heartbeat(
                address, service=service, call_seq=number, slot_count=REQUESTS
            )
            await asyncio.to_thread(
                fleet_processes.send_request,
                "PUT",
                fleet.address("control-a", 0),
                f"/api/instances/{name}",
                body,
            )
        await asyncio.sleep(HEARTBEAT_S)


async def ask_endless(fleet, number: int, *, reads: bool) -> None:
    """Send a request to an endless upstream; drop what comes, or read it late."""
    host, _, port = fleet.address(HOST, 1).rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        entry_host.request(
            target="/endless/x", identity=f"e{number}", Connection="close"
        )
    )
    if not reads:
        writer.transport.pause_reading()
        await asyncio.sleep(TIMEOUT_S)
        writer.transport.resume_reading()
    with contextlib.suppress(ConnectionError, TimeoutError):
        async with asyncio.timeout(3 * TIMEOUT_S):
            while await reader.read(65_536):
                pass
    writer.close()


async def ask_sound(fleet, statuses: list[int]) -> None:
    """Send requests to the sound upstream, one after the other."""
    host, _, port = fleet.address(HOST, 1).rpartition(":")
    while True:
        answer = await entry_host.call(int(port), entry_host.request(), address=host)
        statuses.append(answer.status)
        await asyncio.sleep(SOUND_S)


async def watch(fleet, resident: list[int]) -> None:
    """Record the memory that the host occupies."""
    while True:
        resident.append(crowds.usage(fleet.processes[HOST].pid).resident_bytes)
        await asyncio.sleep(SAMPLE_S)


@contextlib.asynccontextmanager
async def serving(folder, endless: list[str]):
    """Run a fleet until its host serves both kinds of upstreams."""
    sound = await scripted_upstream.start("u1")
    addresses = {"u1": ("plain", sound.address)}
    for number, address in enumerate(endless):
        addresses[f"e{number}"] = ("endless", address)
    fleet = fleet_processes.create(folder, NETWORK, limits=LIMITS)
    announcing = None
    try:
        for zone in fleet_processes.ZONES:
            fleet.start(f"control-{zone}")
        fleet.start(HOST)

        def put() -> bool:
            return (
                fleet_processes.send_request(
                    "PUT", fleet.address("control-a", 0), "/api/config", config(1)
                )[0]
                == 200
            )

        await fleet_processes.wait_until(put, within_s=30)
        announcing = asyncio.ensure_future(announce(fleet, addresses))
        await fleet_processes.wait_until(processes.served(fleet, HOST), within_s=30)
        yield fleet
    finally:
        if announcing is not None:
            announcing.cancel()
        fleet_processes.end(fleet)


@pytest.mark.parametrize("kind", BODIES)
async def test_endless_answers_that_are_read_late_stay_within_the_memory(
    tmp_path, endless, kind
):
    await play(tmp_path, endless[kind], reads=False)


@pytest.mark.parametrize("kind", (*BODIES, "one header", "bytes of an event"))
async def test_endless_answers_to_many_requests_stay_within_the_memory(
    tmp_path, endless, kind
):
    await play(tmp_path, endless[kind], reads=True)


async def play(folder, endless: list[str], *, reads: bool) -> None:
    """Let a crowd ask endless upstreams; check the host and the sound requests."""
    statuses: list[int] = []
    resident: list[int] = []
    async with serving(folder, endless) as fleet:
        tasks = [
            asyncio.ensure_future(ask_sound(fleet, statuses)),
            asyncio.ensure_future(watch(fleet, resident)),
        ]
        await asyncio.gather(
            *(ask_endless(fleet, number, reads=reads) for number in range(REQUESTS))
        )
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert fleet.processes[HOST].poll() is None
    assert max(resident) <= MEMORY_MB * MEGABYTE
    assert statuses
    assert set(statuses) == {200}
