"""Upstreams that fall over when they turn away too many requests stay up."""

import asyncio
import dataclasses
import time

import pytest

from standins import scripted_upstream
from tests.platform import system as fleet_system

CONTACT_S = 3.0
UPSTREAMS = 3
ALLOWED_FALLS = 2 + 0.1 * UPSTREAMS
SLOTS = 2
TAKES_S = 0.2
DOWN_S = 2.0
CAPACITY_PER_S = UPSTREAMS * SLOTS / TAKES_S


@dataclasses.dataclass(slots=True)
class Upstream:
    """An upstream that falls over after more than ``brittle`` rejections in a second.

    ``queue`` requests may wait for a slot; when it changes, nobody is told.
    """

    name: str
    brittle: int
    queue: int
    version: str = "v1"
    slot_count: int = SLOTS
    taken: int = 0
    falls: int = 0
    served: int = 0
    down_until_s: float = 0.0
    rejected_s: list[float] = dataclasses.field(default_factory=list)
    slots: asyncio.Semaphore = dataclasses.field(
        default_factory=lambda: asyncio.Semaphore(SLOTS)
    )
    server: scripted_upstream.ScriptedUpstream | None = None

    async def behave(self, server, received, writer):
        """Answer a request, or reject it, or fall over."""
        now = time.monotonic()
        if now < self.down_until_s:
            scripted_upstream.abort(writer)
            raise ConnectionResetError
        line = f"Server-Brittle: {self.brittle}"
        if self.taken >= SLOTS + self.queue:
            await self._reject(now, line, server, received, writer)
            return
        self.taken += 1
        try:
            async with self.slots:
                await asyncio.sleep(TAKES_S)
            if time.monotonic() < self.down_until_s:
                scripted_upstream.abort(writer)
                raise ConnectionResetError
            self.served += 1
            lines = (scripted_upstream.SEAL, line)
            await scripted_upstream.answer(lines=lines)(server, received, writer)
        finally:
            self.taken -= 1

    async def _reject(self, now, line, server, received, writer):
        self.rejected_s = [at_s for at_s in self.rejected_s if now - at_s < 1.0] + [now]
        if len(self.rejected_s) > self.brittle:
            self.falls += 1
            self.rejected_s = []
            self.down_until_s = now + DOWN_S
        lines = (scripted_upstream.NOT_RUN, line)
        await scripted_upstream.answer(503, b"", lines=lines)(server, received, writer)


@pytest.mark.parametrize("queue", [3, 1], ids=["short queue", "shorter later"])
async def test_brittle_upstreams_stay_up_under_twice_their_load(tmp_path, queue):
    upstreams = [Upstream(f"u{number}", 2, 3) for number in range(UPSTREAMS)]
    async with fleet_system.running(tmp_path, 56, upstreams) as system:
        sending = system.start(
            system.send(per_s=2 * CAPACITY_PER_S, for_s=13.0, method="POST")
        )
        await asyncio.sleep(CONTACT_S)
        falls = sum(upstream.falls for upstream in upstreams)
        served = sum(upstream.served for upstream in upstreams)
        for upstream in upstreams:
            upstream.queue = queue
        await sending
        falls = sum(upstream.falls for upstream in upstreams) - falls
        served = sum(upstream.served for upstream in upstreams) - served

    assert falls <= ALLOWED_FALLS
    assert served >= 0.5 * CAPACITY_PER_S * (13.0 - CONTACT_S)
