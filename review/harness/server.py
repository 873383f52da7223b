"""A sound server of the platform: announces itself and answers plain requests."""

import asyncio
import dataclasses
import itertools
import secrets
import time
from collections.abc import Callable

from review.harness import http

BEAT_INTERVAL_S = 1.2
SLOTS = 6
_numbers = itertools.count(1)


@dataclasses.dataclass(slots=True)
class Server:
    """One server; ``runs`` counts how often it ran each request."""

    service: str
    controls: list[str]
    ip: str
    zone: str = "hall-a"
    work_s: float = 0.02
    slots: int = SLOTS
    version: str = "v1"
    name: str = ""
    born: int = 0
    call_seq: int = 0
    address: str = ""
    unacknowledged: int = 0
    runs: dict[str, int] = dataclasses.field(default_factory=dict)
    listener: asyncio.Server | None = None
    beating: asyncio.Task | None = None
    now: Callable[[], float] = time.monotonic

    async def start(self) -> None:
        """Listen at a free port and begin to send heartbeats."""
        self.name = f"i-{secrets.token_hex(4)}"
        self.born = int(time.time() * 1_000)
        self.listener = await asyncio.start_server(self._serve, self.ip, 0)
        port = self.listener.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"
        self.beating = asyncio.ensure_future(self._beat())

    async def close(self) -> None:
        """Stop without a word."""
        self.beating.cancel()
        self.listener.close()

    def heartbeat(self) -> dict:
        """Return the next heartbeat."""
        self.call_seq += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slot_count": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "born": self.born,
            "call_seq": self.call_seq,
        }

    async def _beat(self) -> None:
        first = next(_numbers)
        while True:
            for attempt in range(len(self.controls)):
                control = self.controls[(first + attempt) % len(self.controls)]
                status, _, _ = await http.call(
                    "PUT", control, f"/api/instances/{self.name}", self.heartbeat()
                )
                if 200 <= status < 300:
                    break
            else:
                self.unacknowledged += 1
            await asyncio.sleep(BEAT_INTERVAL_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await http.read_head(reader)
                request.body = await http.read_body(reader, request)
                await self.answer(request, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, request: http.Message, writer: asyncio.StreamWriter) -> None:
        """Run a plain request and write its answer."""
        identity = request.headers.get("x-bitternlever-request-id", "")
        headers = {
            "X-Bitternlever-Request-Id": identity,
            "X-Bitternlever-Instance-Id": self.name,
        }
        expected = request.headers.get("x-bitternlever-expect-instance", self.name)
        if expected != self.name:
            headers["X-Bitternlever-Not-Run"] = "1"
            writer.write(http.encode("HTTP/1.1 421 Misdirected Request", headers))
            return
        self.runs[identity] = self.runs.get(identity, 0) + 1
        await asyncio.sleep(self.work_s)
        headers["X-Bitternlever-Response-Seal"] = f"{identity}.{self.name}"
        body = f"answer to {identity}".encode()
        writer.write(http.encode("HTTP/1.1 200 OK", headers, body))
