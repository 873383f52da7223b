"""A request that crashes upstreams reaches few of them, and sound work goes on."""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import time

import pytest

from standins import fleet as fleet_processes, scripted_upstream
from tests.gateway import entry_host
from tests.platform import test_crashing_prompts, test_processes as processes

CRASHES = 3
ALLOWED = 3
"""Retries that may reach upstreams later than that after these crashes."""

UPSTREAMS = 4
DOWN_S = 1.0
PATH = "/a/x"
DEADLY = b"deadly"
DEADLY_KEY = "d00d"
CONTACT_S = test_crashing_prompts.CONTACT_S
HOSTS = test_crashing_prompts.HOSTS
CONTROLS = test_crashing_prompts.CONTROLS
SILENT = "silent"
"""An upstream that stops answering, rather than its connections being lost."""


@dataclasses.dataclass(slots=True)
class Upstreams:
    """Upstreams of a service that crash on one body or piece, as new starts each time.

    Times are of the arrivals of what crashes them, and of the crashes.
    """

    fleet: fleet_processes.Fleet
    service: str
    how: str = "lost"
    numbers: itertools.count = dataclasses.field(default_factory=itertools.count)
    arrivals_s: list[float] = dataclasses.field(default_factory=list)
    crashes_s: list[float] = dataclasses.field(default_factory=list)

    async def run(self) -> None:
        """Announce an upstream until it crashes, then its successor."""
        while True:
            name = f"{self.service}-{next(self.numbers)}"
            crashed = asyncio.Event()
            server = await scripted_upstream.start(name, self._behaviour(crashed))
            for number in itertools.count(1):
                await asyncio.to_thread(self._announce, server, number)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.5):
                        await crashed.wait()
                if crashed.is_set():
                    break
            await asyncio.sleep(DOWN_S)

    def _announce(self, server, number) -> None:
        body = fleet_processes.heartbeat(
            server.address, service=self.service, call_seq=number, born=0
        )
        for control in CONTROLS:
            address = self.fleet.address(control, 0)
            path = f"/api/instances/{server.name}"
            if fleet_processes.send_request("PUT", address, path, body)[0] == 200:
                return

    def _behaviour(self, crashed: asyncio.Event):
        writers = set()

        async def behave(server, received, writer):
            writers.add(writer)
            await asyncio.sleep(0.02)
            reaches = not (self.how == SILENT and crashed.is_set())
            if is_deadly(received) and reaches:
                self.arrivals_s.append(time.monotonic())
                if not crashed.is_set():
                    self.crashes_s.append(time.monotonic())
                    crashed.set()
                if self.how != SILENT:
                    scripted_upstream.stop(server)
                    for open_writer in writers:
                        scripted_upstream.abort(open_writer)
                    raise ConnectionResetError
            if crashed.is_set():
                await asyncio.sleep(60.0)
            body = b"done"
            if received.line.startswith("POST /api/stage-run"):
                items = json.loads(received.body)["items"]
                made = [{"handle": f"{server.address}/{item['id']}"} for item in items]
                body = json.dumps({"items": made}).encode()
            await scripted_upstream.answer(200, body)(server, received, writer)
            writers.discard(writer)

        return behave


def is_deadly(received) -> bool:
    """Return whether an upstream crashes on a request or on a piece of a call."""
    if received.line.startswith("POST /api/stage-run"):
        items = json.loads(received.body)["items"]
        return any(item.get("key") == DEADLY_KEY for item in items)
    return received.body == DEADLY


@dataclasses.dataclass(slots=True)
class Traffic:
    """Sound requests and the deadly one, at all hosts in turn."""

    fleet: fleet_processes.Fleet
    staged: bool = False
    sound: list[tuple[float, bool]] = dataclasses.field(default_factory=list)
    tasks: set[asyncio.Task] = dataclasses.field(default_factory=set)
    numbers: itertools.count = dataclasses.field(default_factory=itertools.count)

    def start(self, coroutine):
        """Run a coroutine until the end of the test."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        return task

    async def send_sound(self, gap_s=0.1) -> None:
        """Send sound requests: of the same path and caller, and of the same body."""
        for number in itertools.count():
            path, key, body = (
                (PATH, "key", b"sound"),
                (PATH, "key", b"sound %d" % number),
                (PATH, "another", b"sound"),
            )[number % 3]
            self.start(self._sound(HOSTS[number % 2], path, key, body))
            await asyncio.sleep(gap_s)

    async def _sound(self, host, *request) -> None:
        sent_s = time.monotonic()
        served = await self.ask(host, *request)
        self.sound.append((sent_s, served))

    async def send_deadly(self, gap_s=0.6) -> None:
        """Send the deadly request again and again."""
        for number in itertools.count():
            host = HOSTS[number % 2]
            body = b"sound" if self.staged else DEADLY
            path = PATH + "/deadly" if self.staged else PATH
            self.start(self.ask(host, path, "key", body, DEADLY_KEY))
            await asyncio.sleep(gap_s)

    async def ask(self, host, path, key, body, piece_key="50d0") -> bool:
        """Send a request and return whether it was served."""
        headers = {"X_Bitternlever_Deadline_Ms": "1500"}
        if self.staged:
            headers["X_Bitternlever_Pieces"] = "2"
            headers["X_Bitternlever_Piece_Key"] = piece_key
        data = entry_host.request(
            method="POST",
            target=path,
            key=key,
            body=body,
            identity=f"n{next(self.numbers)}",
            **headers,
        )
        address, _, port = self.fleet.address(host, 1).rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(address, int(port))
            writer.write(data)
            async with asyncio.timeout(2.0):
                answer = await entry_host.read_answer(reader)
            writer.close()
        except (OSError, IndexError, TimeoutError):
            return False
        return answer.status == 200 and answer.whole


STAGE = {
    "slot_count": 1,
    "queue": 2,
    "batch": 6,
    "call_ms": 60,
    "item_ms": 5,
    "room_mb": 10,
    "handle_s": 4.0,
    "link_mbps": 1_000,
}


@contextlib.asynccontextmanager
async def running(tmp_path, network, how="lost", staged=False):
    """Run a fleet, upstreams and sound traffic; yield fleet, upstreams and traffic."""
    stages = [{"service": "encode", "after": [], "bytes": 1_000}] if staged else []
    config = {
        "routes": [fleet_processes.route(stages=stages)],
        "services": [
            {"name": "plain", "max_conns": 100},
            {"name": "encode", "max_conns": 100, "pieces": STAGE},
        ],
        "tenants": [
            {"name": "w", "api_keys": ["key"]},
            {"name": "v", "api_keys": ["another"]},
        ],
    }
    with fleet_processes.running(tmp_path, network=network) as fleet:
        await fleet_processes.wait_until(processes.put(fleet, 1, **config))
        traffic = Traffic(fleet, staged)
        upstreams = Upstreams(fleet, "encode" if staged else "plain", how)
        for _ in range(UPSTREAMS):
            traffic.start(upstreams.run())
        if staged:
            traffic.start(Upstreams(fleet, "plain").run())
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
    """Return the deadly arrivals after the bound on the third crash."""
    if len(upstreams.crashes_s) < CRASHES:
        return 0
    allowed_until_s = upstreams.crashes_s[CRASHES - 1] + CONTACT_S
    return sum(arrived_s > allowed_until_s for arrived_s in upstreams.arrivals_s)


def late_sound(traffic, for_s) -> list[bool]:
    """Return which sound requests of the last seconds were served."""
    sent_last_s = traffic.sound[-1][0]
    return [served for sent_s, served in traffic.sound if sent_s > sent_last_s - for_s]


@pytest.mark.parametrize(
    ("how", "staged", "seconds"),
    [
        ("lost", False, 11.0),
        ("lost", True, 12.0),
        (SILENT, False, 20.0),
        (SILENT, True, 20.0),
    ],
    ids=["lost", "stage", "silent", "silent-stage"],
)
async def test_a_request_that_crashes_upstreams_reaches_few_of_them(
    tmp_path, how, staged, seconds
):
    async with running(tmp_path, 49, how, staged) as (_, upstreams, traffic):
        traffic.start(traffic.send_deadly())
        await asyncio.sleep(seconds)

    assert len(upstreams.crashes_s) >= CRASHES
    assert late_arrivals(upstreams) <= ALLOWED
    served = late_sound(traffic, for_s=3.0)
    assert len(served) >= 20
    assert sum(served) >= 0.9 * len(served)


async def crash_until_known(traffic) -> None:
    """Send the deadly request until all hosts must know it, then await its ends."""
    deadly = asyncio.ensure_future(traffic.send_deadly())
    await asyncio.sleep(CRASHES * 0.6 + CONTACT_S + 1.0)
    deadly.cancel()
    await asyncio.sleep(1.0)


@pytest.mark.parametrize(
    "restarted", [HOSTS, (*CONTROLS, *HOSTS)], ids=["hosts", "everything"]
)
async def test_a_request_that_crashed_upstreams_is_known_after_restarts(
    tmp_path, restarted
):
    async with running(tmp_path, 50) as (fleet, upstreams, traffic):
        await crash_until_known(traffic)
        await test_crashing_prompts.restart(fleet, restarted)
        before = len(upstreams.arrivals_s)
        traffic.start(traffic.send_deadly(gap_s=0.2))
        await asyncio.sleep(3.0)

    assert before >= CRASHES
    assert len(upstreams.arrivals_s) == before
