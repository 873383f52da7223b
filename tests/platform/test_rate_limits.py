"""All hosts together keep the rate limit that an upstream names in its answers."""

import asyncio
import dataclasses
import json
import signal
import time

import pytest

from standins import fleet as fleet_processes, scripted_upstream
from tests.platform import system as fleet_system

CONTACT_S = 3.0
"""The time within which hosts in touch know what the fleet knows."""

WINDOW_S = 4.0
RATIO = 1.5
SLACK = 5
"""A limited upstream gets no more than this in any window."""


@dataclasses.dataclass(slots=True)
class Upstream:
    """An upstream that names ``limit`` in its answers, and when requests arrived."""

    name: str
    limit: float | None = None
    version: str = "v1"
    slot_count: int = 20
    arrivals_s: list[float] = dataclasses.field(default_factory=list)
    server: scripted_upstream.ScriptedUpstream | None = None

    async def behave(self, server, received, writer):
        """Answer a request or a stage call."""
        self.arrivals_s.append(time.monotonic())
        lines = [scripted_upstream.SEAL]
        if self.limit is not None:
            lines.append(f"Server-Limit: {self.limit}")
        body = b"done"
        if received.line.startswith("POST /api/stage-run"):
            items = json.loads(received.body)["items"]
            made = [{"handle": f"{server.address}/{item['id']}"} for item in items]
            body = json.dumps({"items": made}).encode()
        answer = scripted_upstream.answer(200, body, 0.01, tuple(lines))
        await answer(server, received, writer)


def worst_window(upstream: Upstream, from_s: float) -> int:
    """Return the most arrivals in any window that begins after a time."""
    arrivals = [arrived_s for arrived_s in upstream.arrivals_s if arrived_s >= from_s]
    return max(
        (
            sum(start_s <= other_s < start_s + WINDOW_S for other_s in arrivals)
            for start_s in arrivals
        ),
        default=0,
    )


def allowed(limit: float) -> float:
    return RATIO * WINDOW_S * limit + SLACK


@pytest.mark.parametrize("limit", [0.25, 1.0, 4.0])
async def test_hosts_together_keep_the_limit_of_an_upstream(tmp_path, limit):
    limited, other = Upstream("u1", limit), Upstream("u2")
    async with fleet_system.running(tmp_path, 44, [limited, other]) as system:
        started_s = time.monotonic()
        await system.send(per_s=16.0, for_s=13.0)
        await asyncio.sleep(0.5)

    assert worst_window(limited, started_s + CONTACT_S) <= allowed(limit)
    assert len(system.outcomes) > 150
    assert {outcome.status for outcome in system.outcomes} == {200}


async def test_callers_are_refused_at_once_while_all_upstreams_are_at_their_limits(
    tmp_path,
):
    limits = (1.0, 2.0)
    upstreams = [Upstream(f"u{limit}", limit) for limit in limits]
    async with fleet_system.running(tmp_path, 45, upstreams) as system:
        started_s = time.monotonic()
        await system.send(per_s=24.0, for_s=13.0)
        await asyncio.sleep(0.5)

    for upstream in upstreams:
        assert worst_window(upstream, started_s + CONTACT_S) <= allowed(upstream.limit)
    late = [
        outcome for outcome in system.outcomes if outcome.sent_s > started_s + CONTACT_S
    ]
    refused = [outcome for outcome in late if outcome.status == 503]
    served = [outcome for outcome in late if outcome.status == 200]
    assert len(refused) + len(served) == len(late)
    assert all(outcome.took_s < 0.5 for outcome in refused)
    assert all(outcome.retry_after_s > 0 for outcome in refused)
    assert len(served) >= 0.5 * sum(limits) * (13.0 - CONTACT_S)


def kill_control(fleet) -> None:
    for name in fleet_system.CONTROLS:
        fleet.kill(name)


def start_control(fleet) -> None:
    for name in fleet_system.CONTROLS:
        fleet.start(name, bootstrap=False)


def restart_host(fleet) -> None:
    fleet.kill(fleet_system.HOSTS[1])
    fleet.start(fleet_system.HOSTS[1], bootstrap=False)


def freeze_host(fleet) -> None:
    fleet.processes[fleet_system.HOSTS[1]].send_signal(signal.SIGSTOP)


def thaw_host(fleet) -> None:
    fleet.processes[fleet_system.HOSTS[1]].send_signal(signal.SIGCONT)


@pytest.mark.parametrize(
    ("disturb", "heal"),
    [
        (kill_control, start_control),
        (restart_host, restart_host),
        (freeze_host, thaw_host),
    ],
    ids=["control", "restart", "freeze"],
)
async def test_a_limit_is_kept_while_processes_fail(tmp_path, disturb, heal):
    limited, other = Upstream("u1", 1.0), Upstream("u2")
    async with fleet_system.running(tmp_path, 47, [limited, other]) as system:
        started_s = time.monotonic()
        sending = system.start(system.send(per_s=16.0, for_s=17.0))
        await asyncio.sleep(5.0)
        await asyncio.to_thread(disturb, system.fleet)
        await asyncio.sleep(3.0)
        await asyncio.to_thread(heal, system.fleet)
        await sending

    assert worst_window(limited, started_s + CONTACT_S) <= allowed(limited.limit)
    assert len(limited.arrivals_s) >= 5


async def test_a_limit_that_has_ended_ends_on_all_hosts(tmp_path):
    limited = Upstream("u1", 0.5)
    async with fleet_system.running(tmp_path, 48, [limited]) as system:
        sending = system.start(system.send(per_s=16.0, for_s=16.0))
        await asyncio.sleep(6.0)
        limited.limit = None
        # A host with a share learns it with its next request, the others from control.
        await asyncio.sleep(7.0)
        ended_s = time.monotonic()
        await sending
        await asyncio.sleep(0.5)

    late = [outcome for outcome in system.outcomes if outcome.sent_s > ended_s]
    assert len(late) >= 40
    assert {outcome.status for outcome in late} == {200}


async def test_calls_to_a_stage_upstream_keep_its_limit(tmp_path):
    limited = Upstream("s1", 1.0)
    capacity = {
        "slot_count": 1,
        "queue": 2,
        "batch": 2,
        "call_ms": 20,
        "item_ms": 1,
        "room_mb": 10,
        "handle_s": 4.0,
        "link_mbps": 1_000,
    }
    stage = {"service": "encode", "after": [], "bytes": 1_000}
    config = {
        "routes": [fleet_processes.route(stages=[stage])],
        "services": [
            {"name": "plain", "max_conns": 100},
            {"name": "encode", "max_conns": 100, "pieces": capacity},
        ],
    }
    async with fleet_system.running(
        tmp_path, 46, [limited], "encode", **config
    ) as system:
        plain = Upstream("u1", server=await scripted_upstream.start("u1"))
        system.start(fleet_system.announce(system.fleet, plain, "plain"))
        await asyncio.sleep(1.0)
        started_s = time.monotonic()
        headers = {"X_Bitternlever_Pieces": "1", "X_Bitternlever_Piece_Key": "k"}
        await system.send(per_s=8.0, for_s=11.0, **headers)
        await asyncio.sleep(0.5)

    assert worst_window(limited, started_s + CONTACT_S) <= allowed(limited.limit)
    assert sum(outcome.status == 200 for outcome in system.outcomes) >= 8
