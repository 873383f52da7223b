"""Numbers beyond 64 bits in heartbeats and configs cost no process."""

import asyncio
import json

import pytest

from standins import fleet as fleet_processes, scripted_upstream
from tests.platform import test_processes as processes

CONTROLS = tuple(f"control-{zone}" for zone in fleet_processes.ZONES)
NETWORK = 58
BEYOND_64_BITS = 2**127
SETTLE_S = 0.5
"""Several ticks of all processes."""


def put_foreign(fleet, control, **changes):
    """Send a heartbeat of another writer to a control process; return the status."""
    body = fleet_processes.heartbeat(
        f"127.{NETWORK}.9.1:9100", service="inventory", **changes
    )
    path = "/api/instances/inventory-1"
    address = fleet.address(control, 0)
    return fleet_processes.send_request("PUT", address, path, body)[0]


def end_foreign(fleet, control, **changes):
    """Send a notice of an upstream's end to a control process; return the status."""
    body = json.dumps(changes).encode()
    path = "/api/instances/inventory-1"
    address = fleet.address(control, 0)
    return fleet_processes.send_request("DELETE", address, path, body)[0]


@pytest.mark.parametrize("field", ["call_seq", "born", "slot_count"])
async def test_a_heartbeat_with_a_number_beyond_64_bits_ends_no_process(
    tmp_path, field
):
    """Each control process that acknowledged such a heartbeat ended with code 70."""
    server = await scripted_upstream.start("u1")
    with fleet_processes.running(tmp_path, network=NETWORK) as fleet:
        await fleet_processes.wait_until(processes.put(fleet, 1))
        await fleet_processes.wait_until(processes.ready(fleet, "entry-a"))

        for control in CONTROLS:
            change = {field: BEYOND_64_BITS}
            status = await asyncio.to_thread(put_foreign, fleet, control, **change)
            assert status == 400
            if field != "slot_count":
                status = await asyncio.to_thread(end_foreign, fleet, control, **change)
                assert status == 400
        assert await asyncio.to_thread(processes.announce, fleet, server) == 200

        await fleet_processes.wait_until(processes.served(fleet, "entry-a"))
        await asyncio.sleep(SETTLE_S)
        ended = [
            name
            for name, process in fleet.processes.items()
            if process.poll() is not None
        ]
        assert ended == []


async def test_a_config_with_a_version_beyond_64_bits_is_refused(tmp_path):
    """The leader ended each time that it took such a config."""
    with fleet_processes.running(tmp_path, network=NETWORK) as fleet:
        await fleet_processes.wait_until(processes.put(fleet, 1))
        await fleet_processes.wait_until(processes.ready(fleet, "entry-a"))

        for control in CONTROLS:
            status, body = await asyncio.to_thread(
                fleet_processes.send_request,
                "PUT",
                fleet.address(control, 0),
                processes.CONFIG,
                fleet_processes.config(20261205040712345678),
            )
            assert (status, b"version" in body) == (400, True)

        await fleet_processes.wait_until(processes.put(fleet, 2))
        assert all(process.poll() is None for process in fleet.processes.values())
