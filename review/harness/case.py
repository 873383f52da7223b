"""One run of a case: its record, its traffic, the check of ends, and the exit code."""

import asyncio
import json
import os
import pathlib
import random
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable

from review.harness import client, operator, platform, server

BROKEN = 1
HELD = 0
NOT_RUN = 2
FIRST_ACK_S = 20.0
ENDS_IN_A_DAY = 3
PLAIN = {"health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": False}


class Record:
    """What was sent, answered and run, one JSON line each."""

    def __init__(self, path: pathlib.Path):
        self.file = path.open("w")
        self.now: Callable[[], float] = lambda: 0.0

    def write(self, what: str, **fields) -> None:
        """Add a line with the present time."""
        line = {"at_s": round(self.now(), 3), "what": what, **fields}
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()


Case = Callable[["Run"], Awaitable[bool]]


class Run:
    """A deployment with servers and clients; a case adds its disruption."""

    def __init__(self, at: platform.Platform, record: Record):
        self.platform = at
        self.record = record
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.servers: list[server.Server] = []
        self.tries: list[client.Try] = []
        self.tasks: list[asyncio.Task] = []

    async def start_servers(
        self,
        service: str,
        count: int,
        kind: type[server.Server] = server.Server,
        version: str = "v1",
    ) -> None:
        """Start some servers of a service."""
        for _ in range(count):
            number = len(self.servers) + 1
            ip = f"127.{self.platform.network}.2.{number}"
            zone = platform.ZONES[number % len(platform.ZONES)]
            controls = self.platform.controls()
            started = kind(service, controls, ip, zone, now=self.platform.now)
            started.version = version
            await started.start()
            self.servers.append(started)
            self.record.write("server", name=started.name, address=started.address)

    async def put_config(self, body: dict, within_s: float) -> float | None:
        """Send a config until it is acknowledged; return the time that took."""
        took_s = await operator.put(self.platform.controls(), body, within_s)
        self.record.write("config", version=body["version"], acknowledged_s=took_s)
        return took_s

    def start_clients(
        self,
        path: str,
        per_s: float,
        deadline_s: float = 2.0,
        method: str = "GET",
        kept_s: float = 1.0,
        more: dict[str, str] | None = None,
    ) -> None:
        """Send requests at a rate until the end of the run, from one client.

        It keeps a response of the directory for ``kept_s``.
        """

        async def send(address: str) -> None:
            now = self.platform.now()
            attempt = await client.send(address, path, deadline_s, now, method, more)
            self._record(attempt, path)

        self.tasks.append(
            asyncio.ensure_future(self._send_requests(send, per_s, kept_s))
        )

    async def _send_requests(
        self, send: Callable[[str], Awaitable[None]], per_s: float, kept_s: float
    ) -> None:
        entries = self.platform.of_role("entry")
        directories = [self.platform.address(name, "directory") for name in entries]
        addresses: list[str] = []
        looked_up_s = -kept_s
        sending = set()
        await asyncio.sleep(random.random() * kept_s)
        while True:
            now = self.platform.now()
            if now - looked_up_s > kept_s:
                looked_up_s = now
                addresses = await client.resolve(directories) or addresses
            if addresses:
                one = asyncio.ensure_future(send(random.choice(addresses)))
                sending.add(one)
                one.add_done_callback(sending.discard)
            await asyncio.sleep(1.0 / per_s)

    def _record(self, attempt: client.Try, path: str) -> None:
        attempt.path = path
        self.tries.append(attempt)
        ran_at = [at.name for at in self.servers if attempt.identity in at.runs]
        self.record.write(
            "request",
            id=attempt.identity,
            path=path,
            to=attempt.address,
            sent_s=round(attempt.at_s, 3),
            took_s=round(attempt.took_s, 3),
            status=attempt.status,
            ran_at=ran_at,
        )

    def served(self, path: str, since_s: float) -> tuple[int, int]:
        """Return how many requests got a success since a time, and how many ended."""
        ended = [at for at in self.tries if at.path == path and at.at_s >= since_s]
        return sum(at.status == 200 for at in ended), len(ended)

    def ends_by_machine(self) -> dict[str, int]:
        """Return how often the processes of each machine ended by themselves."""
        counts = dict.fromkeys(self.platform.machines, 0)
        for end in self.platform.ends:
            counts[end.machine] += 1
        return counts

    def is_fault(self) -> bool:
        """Return whether processes ended by themselves as often as the rule forbids.

        That is three times in the day, on half of the core or on a tenth of the
        machines in use, two at least.
        """
        often = [
            name
            for name, count in self.ends_by_machine().items()
            if count >= ENDS_IN_A_DAY
        ]
        core = self.platform.of_role("control")
        of_core = sum(name in core for name in often)
        tenth = max(2, len(self.platform.machines) / 10)
        return 2 * of_core >= len(core) or len(often) >= tenth

    async def close(self) -> None:
        """End all tasks, servers and processes; record how the processes ended."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for end in self.platform.ends:
            self.record.write(
                "process ended by itself",
                machine=end.machine,
                ended_s=round(end.at_s, 3),
                exit_code=end.code,
                ran_s=round(end.ran_s, 3),
            )
        for started in self.servers:
            await started.close()
        await self.platform.close()


async def _run(case: Case, folder: pathlib.Path, record: Record, entries: int) -> int:
    at = platform.Platform(folder, entries=entries)
    record.now = at.now
    run = Run(at, record)
    try:
        await at.start_all()
        is_broken = await case(run)
    finally:
        await run.close()
    record.write("result", trouble=run.trouble, broken=is_broken)
    return BROKEN if is_broken else HELD


def main(case: Case, file: str, entries: int = 3) -> None:
    """Run a case and exit with its result."""
    record = Record(pathlib.Path(file).parent / "record.txt")
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        try:
            code = asyncio.run(_run(case, pathlib.Path(folder), record, entries))
        except Exception:
            traceback.print_exc()
            code = NOT_RUN
    sys.exit(code)


class CannotRunError(Exception):
    """The deployment did not get into the state in which the case begins."""
