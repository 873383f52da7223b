"""A fleet of four hosts and three control processes, with upstreams of one service."""

import asyncio
import contextlib
import dataclasses
import itertools
import time

from standins import fleet as fleet_processes, scripted_upstream
from tests.gateway import entry_host
from tests.platform import test_processes as processes

HOSTS = tuple(f"entry-{letter}" for letter in "abcd")
CONTROLS = tuple(f"control-{zone}" for zone in fleet_processes.ZONES)
HEARTBEAT_S = 0.5
"""Interval of the upstreams' heartbeats."""


async def announce(fleet, upstream, service) -> None:
    """Send heartbeats of an upstream to a control process that takes them."""
    for number in itertools.count(1):
        body = fleet_processes.heartbeat(
            upstream.server.address,
            service=service,
            call_seq=number,
            slot_count=upstream.slot_count,
            version=upstream.version,
        )
        path = f"/api/instances/{upstream.name}"
        for control in CONTROLS:
            address = fleet.address(control, 0)
            status, _ = await asyncio.to_thread(
                fleet_processes.send_request, "PUT", address, path, body
            )
            if status == 200:
                break
        await asyncio.sleep(HEARTBEAT_S)


@dataclasses.dataclass(slots=True, frozen=True)
class Outcome:
    """The answer to one request, and when it was sent and answered."""

    sent_s: float
    took_s: float
    status: int
    retry_after_s: float | None


@dataclasses.dataclass(slots=True)
class System:
    """A fleet, its upstreams and the outcomes of the requests."""

    fleet: fleet_processes.Fleet
    upstreams: list
    outcomes: list[Outcome] = dataclasses.field(default_factory=list)
    tasks: set[asyncio.Task] = dataclasses.field(default_factory=set)

    def start(self, coroutine):
        """Run a coroutine until the end of the test."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        return task

    async def send(
        self, per_s: float, for_s: float, hosts=HOSTS, method="GET", **headers
    ) -> None:
        """Send requests to the hosts in turn at a fixed rate.

        With POST each has a body of its own.
        """
        ends_s = time.monotonic() + for_s
        for number in itertools.count():
            if time.monotonic() >= ends_s:
                break
            self.start(self._ask(hosts[number % len(hosts)], method, **headers))
            await asyncio.sleep(1.0 / per_s)

    async def call(self, host, data) -> entry_host.Answer | None:
        """Send a request to a host; return None if no answer began in time."""
        address, _, port = self.fleet.address(host, 1).rpartition(":")
        try:
            return await entry_host.call(int(port), data, 4.0, address)
        except (OSError, IndexError, TimeoutError):
            return None

    async def _ask(self, host, method, **headers) -> None:
        sent_s = time.monotonic()
        fields = {"X_Bitternlever_Deadline_Ms": "3000", **headers}
        identity = f"n{sent_s}"
        body = identity.encode() if method == "POST" else b""
        data = entry_host.request(method, body=body, identity=identity, **fields)
        answer = await self.call(host, data)
        if answer is None:
            return
        retry_after = answer.headers.get("retry-after")
        self.outcomes.append(
            Outcome(
                sent_s,
                time.monotonic() - sent_s,
                answer.status,
                None if retry_after is None else float(retry_after),
            )
        )


@contextlib.asynccontextmanager
async def running(tmp_path, network, upstreams, service="plain", **config):
    """Run four hosts, three control processes and upstreams of one service."""
    fleet = fleet_processes.create(tmp_path, network)
    system = System(fleet, upstreams)
    try:
        for name in (*CONTROLS, *HOSTS):
            fleet.start(name)
        await fleet_processes.wait_until(processes.put(fleet, 1, **config))
        for upstream in upstreams:
            upstream.server = await scripted_upstream.start(
                upstream.name, upstream.behave
            )
            system.start(announce(fleet, upstream, service))
        for host in HOSTS:
            await fleet_processes.wait_until(processes.ready(fleet, host))
        await asyncio.sleep(1.0)
        yield system
    finally:
        for task in system.tasks:
            task.cancel()
        await asyncio.gather(*system.tasks, return_exceptions=True)
        fleet_processes.end(fleet)
