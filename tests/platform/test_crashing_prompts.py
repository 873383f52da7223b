"""A prompt part that crashes upstreams reaches few of them, and sound work goes on."""

import asyncio
import contextlib
import dataclasses
import itertools
import shutil
import time

import pytest

from standins import fleet as fleet_processes, scripted_upstream
from tests.gateway import entry_host
from tests.platform import test_processes as processes

CONTACT_S = 3.0
"""The time within which hosts in touch know what the fleet knows."""

ALLOWED = 3
"""Requests that may reach upstreams afterwards."""

CRASHES = 5
UPSTREAMS = 6
DOWN_S = 0.5
DEADLY = "deadbeef"
SHARED = "5c1e07a2"
HOSTS = ("entry-a", "entry-b")
CONTROLS = tuple(f"control-{zone}" for zone in fleet_processes.ZONES)


@dataclasses.dataclass(slots=True)
class Upstreams:
    """Upstreams that crash on one part and come back as new starts."""

    fleet: fleet_processes.Fleet
    numbers: itertools.count = dataclasses.field(default_factory=itertools.count)
    arrivals_s: list[float] = dataclasses.field(default_factory=list)
    crashes_s: list[float] = dataclasses.field(default_factory=list)


async def run_upstream(upstreams: Upstreams) -> None:
    """Announce an upstream until it crashes, then its successor."""
    while True:
        name = f"u{next(upstreams.numbers)}"
        crashed = asyncio.Event()
        server = await scripted_upstream.start(name, behaviour(upstreams, crashed))
        for number in itertools.count(1):
            await asyncio.to_thread(announce, upstreams.fleet, name, server, number)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.5):
                    await crashed.wait()
            if crashed.is_set():
                break
        await asyncio.sleep(DOWN_S)


def behaviour(upstreams: Upstreams, crashed: asyncio.Event):
    """Return the answers of one start: a stream, or the crash of all connections."""
    writers = set()

    async def behave(server, received, writer):
        writers.add(writer)
        parts = received.headers["x-bitternlever-prompt-prefix"].split(",")[:-1]
        kind = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        writer.write(
            scripted_upstream.head(200, received, scripted_upstream.SEAL, *kind)
        )
        await asyncio.sleep(0.05)
        if any(part.startswith(DEADLY) for part in parts):
            upstreams.arrivals_s.append(time.monotonic())
            if not crashed.is_set():
                upstreams.crashes_s.append(time.monotonic())
                crashed.set()
            scripted_upstream.stop(server)
            for open_writer in writers:
                scripted_upstream.abort(open_writer)
            raise ConnectionResetError
        for number in range(4):
            writer.write(b"f\r\nid: %d\ndata: x\n\n\r\n" % number)
            await asyncio.sleep(0.03)
        writer.write(b"0\r\n\r\n")
        writers.discard(writer)

    return behave


def announce(fleet, name, server, number):
    """Send a heartbeat to the first control process that takes it."""
    body = fleet_processes.heartbeat(server.address, call_seq=number, born=0)
    for control in CONTROLS:
        status, _ = fleet_processes.send_request(
            "PUT", fleet.address(control, 0), f"/api/instances/{name}", body
        )
        if status == 200:
            return


async def ask(fleet, host, number, part=None) -> bool:
    """Send a request with shared parts and perhaps another; return whether served."""
    parts = [SHARED, f"d0c{number % 7}", *([part] if part else []), f"own{number}"]
    data = entry_host.request(
        method="POST",
        identity=f"n{number}",
        X_Bitternlever_Prompt_Prefix=",".join(f"{name}:100" for name in parts),
        X_Bitternlever_Token_Count="400,20",
        X_Bitternlever_Deadline_Ms="3000",
    )
    address, _, port = fleet.address(host, 1).rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(address, int(port))
        writer.write(data)
        async with asyncio.timeout(4.0):
            answer = await entry_host.read_answer(reader)
        writer.close()
    except (OSError, IndexError, TimeoutError):
        return False
    return answer.status == 200 and answer.whole


@dataclasses.dataclass(slots=True)
class Traffic:
    """Sound requests, and those with the deadly part, at all hosts in turn."""

    fleet: fleet_processes.Fleet
    sound: list[tuple[float, bool]] = dataclasses.field(default_factory=list)
    deadly: int = 0
    tasks: set[asyncio.Task] = dataclasses.field(default_factory=set)

    def start(self, coroutine):
        """Run a coroutine until the end of the test."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)

    async def send_sound(self, gap_s=0.08):
        """Send sound requests at a fixed rate."""
        for number in itertools.count():
            self.start(self._sound(HOSTS[number % 2], number))
            await asyncio.sleep(gap_s)

    async def _sound(self, host, number):
        sent_s = time.monotonic()
        served = await ask(self.fleet, host, 100_000 + number)
        self.sound.append((sent_s, served))

    async def send_deadly(self, gap_s=0.4):
        """Send requests with the deadly part at a fixed rate, none like another."""
        for number in itertools.count():
            self.deadly += 1
            self.start(ask(self.fleet, HOSTS[number % 2], number, DEADLY))
            await asyncio.sleep(gap_s)


@contextlib.asynccontextmanager
async def running(tmp_path, network):
    """Run a fleet with upstreams and sound traffic; yield the three."""
    route = fleet_processes.route(kind="streaming", max_attempts=1)
    with fleet_processes.running(tmp_path, network=network) as fleet:
        await fleet_processes.wait_until(processes.put(fleet, 1, routes=[route]))
        upstreams, traffic = Upstreams(fleet), Traffic(fleet)
        for _ in range(UPSTREAMS):
            traffic.start(run_upstream(upstreams))
        for host in HOSTS:
            await fleet_processes.wait_until(processes.ready(fleet, host))
        await asyncio.sleep(1.0)
        traffic.start(traffic.send_sound())
        await asyncio.sleep(1.0)
        try:
            yield fleet, upstreams, traffic
        finally:
            for task in traffic.tasks:
                task.cancel()
            await asyncio.gather(*traffic.tasks, return_exceptions=True)


def late_arrivals(upstreams) -> int:
    """Return the deadly arrivals after the bound on the fifth crash."""
    if len(upstreams.crashes_s) < CRASHES:
        return 0
    allowed_until_s = upstreams.crashes_s[CRASHES - 1] + CONTACT_S
    return sum(arrived_s > allowed_until_s for arrived_s in upstreams.arrivals_s)


async def test_a_prompt_part_that_crashes_upstreams_reaches_few_of_them(tmp_path):
    async with running(tmp_path, 41) as (_, upstreams, traffic):
        traffic.start(traffic.send_deadly())
        await asyncio.sleep(13.0)
        last_s = upstreams.crashes_s[:CRASHES][-1]
        late = [
            served
            for sent_s, served in traffic.sound
            if sent_s > last_s + 2 * CONTACT_S
        ]

    assert late_arrivals(upstreams) <= ALLOWED
    assert len(late) >= 20
    assert sum(late) >= len(late) / 2


async def crash_until_known(traffic) -> None:
    """Send deadly requests until all hosts must know, then wait for their ends."""
    deadly = asyncio.ensure_future(traffic.send_deadly())
    await asyncio.sleep(CRASHES * 0.4 + CONTACT_S + 1.0)
    deadly.cancel()
    await asyncio.sleep(1.0)


async def restart(fleet, names) -> None:
    """Kill processes at once and start them; return when the hosts are in touch."""
    for name in names:
        fleet.kill(name)
    for name in names:
        fleet.start(name, bootstrap=False)
    for host in HOSTS:
        await fleet_processes.wait_until(processes.ready(fleet, host))
    await asyncio.sleep(2.0)


async def new_arrivals(upstreams, traffic) -> int:
    """Return how many of some more deadly requests reach an upstream."""
    before = len(upstreams.arrivals_s)
    traffic.start(traffic.send_deadly(gap_s=0.2))
    await asyncio.sleep(3.0)
    return len(upstreams.arrivals_s) - before


@pytest.mark.parametrize(
    "restarted",
    [("entry-a",), CONTROLS, (*CONTROLS, *HOSTS)],
    ids=["host", "control", "everything"],
)
async def test_a_prompt_part_that_crashed_upstreams_is_known_after_restarts(
    tmp_path, restarted
):
    async with running(tmp_path, 42) as (fleet, upstreams, traffic):
        await crash_until_known(traffic)
        await restart(fleet, restarted)

        assert await new_arrivals(upstreams, traffic) == 0


async def test_a_new_disk_and_new_hosts_learn_which_parts_crash_upstreams(tmp_path):
    """The file on the new disk is written from what hosts know."""
    async with running(tmp_path, 43) as (fleet, upstreams, traffic):
        await crash_until_known(traffic)
        fleet.kill("control-a")
        shutil.rmtree(tmp_path / "control-a")
        fleet.start("control-a", bootstrap=False)
        await asyncio.sleep(2.0)
        await restart(fleet, ("control-b", "control-c", *HOSTS))

        assert await new_arrivals(upstreams, traffic) == 0
