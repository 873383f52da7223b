"""Disks of control processes that are full for seconds, one after another."""

import asyncio
import itertools
import resource
import time

import pytest

from standins import fleet as fleet_processes

CONTROLS = ("control-a", "control-b", "control-c")
ROUNDS = 2
FULL_S = 2.5
BETWEEN_S = 0.3
RECOVERY_S = 6.0
"""Time after the last disk has room again, from when each change must be confirmed."""

ACKNOWLEDGED_S = 4.0
"""Within this a change must be confirmed."""


def set_room(fleet, name: str, room: int | None) -> None:
    """Limit the files of a process to some bytes more than its log; None ends it."""
    limit = resource.RLIM_INFINITY
    if room is not None:
        segments = (fleet.folder / name).glob("group-*/*.seg*")
        limit = max(path.stat().st_size for path in segments) + room
    process = fleet.processes[name].pid
    resource.prlimit(process, resource.RLIMIT_FSIZE, (limit, resource.RLIM_INFINITY))


async def put(fleet, version: int, within_s: float, names=CONTROLS) -> bool:
    """Send a config to one process after the other until it is confirmed."""
    ends_s = time.monotonic() + within_s
    rotation = itertools.cycle(names)
    while time.monotonic() < ends_s:
        name = next(rotation)
        status, _ = await asyncio.to_thread(
            fleet_processes.send_request,
            "PUT",
            fleet.address(name, 0),
            "/api/config",
            fleet_processes.config(version),
        )
        if status == 200:
            return True
        await asyncio.sleep(0.1)
    return False


@pytest.mark.parametrize("room", [0, 9, 400])
async def test_changes_are_confirmed_after_each_disk_was_full_for_a_while(
    tmp_path, room
):
    """Without room for a whole write, a disk takes its first bytes."""
    fleet = fleet_processes.create(tmp_path, network=58, logged=False)
    versions = itertools.count(2)
    try:
        for name in CONTROLS:
            fleet.start(name)
        assert await put(fleet, 1, 15.0)
        for name in CONTROLS * ROUNDS:
            set_room(fleet, name, room)
            ends_s = time.monotonic() + FULL_S
            while time.monotonic() < ends_s:
                await put(fleet, next(versions), 0.5)
            set_room(fleet, name, None)
            await asyncio.sleep(BETWEEN_S)
        await asyncio.sleep(RECOVERY_S)
        confirmed = [await put(fleet, next(versions), ACKNOWLEDGED_S) for _ in range(3)]
        running = [fleet.processes[name].poll() for name in CONTROLS]
        # Each of two must write for a quorum.
        fleet.kill("control-a")
        after_loss = await put(fleet, next(versions), 8.0, CONTROLS[1:])
    finally:
        fleet_processes.end(fleet)

    assert confirmed == [True] * 3
    assert running == [None] * 3
    assert after_loss
