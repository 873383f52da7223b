"""A planned stop of one entry host loses none of the requests that it passed on."""

import asyncio
import dataclasses
import itertools
import signal
import time

import pytest

from standins import fleet as fleet_processes, scripted_upstream
from tests.gateway import entry_host
from tests.gateway.test_requests import stage_answers
from tests.platform import system as fleet_system

STOPPED = "entry-b"
INTERVAL_S = 0.1
LATE_S = 3.0
"""Callers may not know before then that a host has left the directory."""

LAST_SHARE = 5 / 6
"""A request that was sent before ``LATE_S`` may be cut in the rest of the grace."""

STAGES = [
    {"service": "encode", "after": [], "bytes": 1_000},
    {"service": "rerank", "after": [0], "bytes": 1_000},
]
PIECES = {
    "slot_count": 1,
    "queue": 2,
    "batch": 8,
    "call_ms": 300.0,
    "item_ms": 5.0,
    "room_mb": 20.0,
    "handle_s": 4.0,
    "link_mbps": 10_000,
}
PROMPT = {
    "X_Bitternlever_Pieces": "2,3",
    "X_Bitternlever_Piece_Key": "thing",
    "X_Bitternlever_Prompt_Prefix": "aa:100,bb:20",
    "X_Bitternlever_Token_Count": "120,20",
}


@dataclasses.dataclass(slots=True)
class Upstream:
    """An upstream that answers, or streams, for a time."""

    name: str
    work_s: float
    streams: bool = False
    slot_count: int = 200
    version: str = "v1"
    server: scripted_upstream.ScriptedUpstream | None = None

    async def behave(self, server, received, writer):
        """Answer a request."""
        if received.line.startswith("POST /api/stage"):
            await asyncio.sleep(self.work_s)
            await stage_answers()(server, received, writer)
            return
        if not self.streams:
            answer = scripted_upstream.answer(200, b"done", self.work_s)
            await answer(server, received, writer)
            return
        events = [b"id: %d\ndata: x\n\n" % number for number in range(5)]
        stream = scripted_upstream.stream(*events, gap_s=self.work_s / len(events))
        await stream(server, received, writer)


@dataclasses.dataclass(slots=True)
class Sent:
    """A request, when it was sent and how its connection ended."""

    identity: str
    sent_s: float
    ended_s: float = 0.0
    answer: entry_host.Answer | None = None

    @property
    def whole(self) -> bool:
        return self.answer is not None and self.answer.whole


async def ask(system, sent: Sent, deadline_ms: int, prompt: dict) -> None:
    host, _, port = system.fleet.address(STOPPED, 1).rpartition(":")
    data = entry_host.request(
        "POST",
        identity=sent.identity,
        X_Bitternlever_Deadline_Ms=str(deadline_ms),
        **prompt,
    )
    try:
        sent.answer = await entry_host.call(int(port), data, 9.0, host)
    except (OSError, IndexError, TimeoutError):
        sent.answer = None
    sent.ended_s = time.monotonic()


async def send_until_stopped(system, deadline_ms, prompt) -> tuple[list[Sent], float]:
    """Stop a host, send it requests until its process has ended; return them."""
    process = system.fleet.processes[STOPPED]
    process.send_signal(signal.SIGTERM)
    stopped_s = time.monotonic()
    requests, tasks = [], []
    for number in itertools.count():
        if process.poll() is not None:
            break
        requests.append(Sent(f"late-{number}", time.monotonic()))
        tasks.append(
            asyncio.ensure_future(ask(system, requests[-1], deadline_ms, prompt))
        )
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)
    return requests, stopped_s


def lost(requests, stopped_s, deadline_s, upstreams) -> list[str]:
    """Return the requests that reached an upstream and got no whole answer.

    One whose deadline was reached is not lost by the stop.
    """
    reached = {
        received.headers.get("x-bitternlever-request-id")
        for upstream in upstreams
        for received in upstream.server.received
    }
    last_s = stopped_s + LAST_SHARE * fleet_processes.GRACE_S
    return [
        f"{sent.identity} sent {sent.sent_s - stopped_s:.2f} s after the signal,"
        f" ended at {sent.ended_s - stopped_s:.2f} s"
        for sent in requests
        if sent.identity in reached
        and not sent.whole
        and sent.ended_s - sent.sent_s < deadline_s
        and not (sent.sent_s <= stopped_s + LATE_S and sent.ended_s >= last_s)
    ]


@pytest.mark.parametrize(
    ("work_s", "deadline_ms"), [(0.4, 1_500), (1.5, 4_000), (3.0, 4_000)]
)
@pytest.mark.parametrize("kind", ["non_idempotent", "streaming", "staged"])
async def test_requests_late_in_the_grace_are_answered_or_refused(
    tmp_path, kind, work_s, deadline_ms
):
    upstream = Upstream("u1", work_s, streams=kind != "non_idempotent")
    staged = kind == "staged"
    route = fleet_processes.route(
        kind="non_idempotent" if kind == "non_idempotent" else "streaming",
        timeout_ms=deadline_ms,
        max_attempts=1,
        gap_aim_ms=1_000,
        stages=STAGES if staged else [],
        sticky=staged,
    )
    engine = {"engine": {"slot_count": 64, "kv_capacity": 100_000}} if staged else {}
    services = [
        {"name": "plain", "max_conns": 500, **engine},
        {"name": "encode", "max_conns": 100, "pieces": PIECES},
        {"name": "rerank", "max_conns": 100, "pieces": PIECES},
    ]
    stages = [Upstream(name, 0.3, slot_count=1) for name in ("encode", "rerank")]
    async with fleet_system.running(
        tmp_path, 57, [upstream], routes=[route], services=services
    ) as system:
        for each in stages if staged else []:
            each.server = await scripted_upstream.start(each.name, each.behave)
            system.start(fleet_system.announce(system.fleet, each, each.name))
        await asyncio.sleep(1.5 if staged else 0.0)
        prompt = PROMPT if staged else {}
        requests, stopped_s = await send_until_stopped(system, deadline_ms, prompt)

    served = [sent for sent in requests if sent.whole and sent.answer.status == 200]
    assert lost(requests, stopped_s, deadline_ms / 1_000, [upstream]) == []
    assert served
