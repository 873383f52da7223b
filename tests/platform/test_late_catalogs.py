"""Large catalogs that change in quick succession, at a host with a narrow link."""

import asyncio
import json
import time

from standins import fleet as fleet_processes, relay as standins_relay

CONTROLS = ("control-a", "control-b", "control-c")
HOST = "entry-a"
LINK_BYTES_PER_S = 470_000.0
"""That of a host with 3.75 Mbit/s."""

ROUTES = 1_500
CHANGES = 20
CHANGE_INTERVAL_S = 0.1
IN_FORCE_S = 2.5
"""A change is in force this long after its confirmation."""


def config(version: int, added: int) -> bytes:
    """Return a config with many routes and, of each change, one route more."""
    routes = [
        fleet_processes.route(
            name=f"r-{number:06x}",
            host=f"host-{number * 7919 % 10_007:05d}.example",
            path_prefix=f"/{number * 104_729 % 1_000_003:06x}/",
        )
        for number in range(ROUTES)
    ]
    routes += [
        fleet_processes.route(name=f"added-{number}", path_prefix=f"/added-{number}/")
        for number in range(added + 1)
    ]
    return fleet_processes.config(version, routes=routes)


async def put(fleet, body: bytes) -> float:
    """Send a config until it is confirmed; return when it was."""

    def confirmed() -> bool:
        return any(
            fleet_processes.send_request(
                "PUT", fleet.address(name, 0), "/api/config", body
            )[0]
            == 200
            for name in CONTROLS
        )

    await fleet_processes.wait_until(confirmed)
    return time.monotonic()


async def status_of(fleet, added: int) -> int:
    """Return the status that the host answers on an added route; no upstream runs."""
    status, _ = await asyncio.to_thread(
        fleet_processes.send_request,
        "GET",
        fleet.address(HOST, 1),
        f"/added-{added}/x",
        Host="h.example",
        Authorization="Bearer key",
        X_Bitternlever_Request_Id="1",
    )
    return status


async def start_relays(fleet) -> list[standins_relay.Relay]:
    """Relay the links of all processes; that to the host is narrow."""
    relays = []
    for name in (*CONTROLS, HOST):
        host, _, port = (
            fleet.link_bind_address(name).removeprefix("tcp://").rpartition(":")
        )
        listening = fleet.link(name).removeprefix("tcp://").rpartition(":")
        relay = await standins_relay.listen(
            (host, int(port)), listening[0], int(listening[2])
        )
        if name == HOST:
            relay.bytes_per_s = LINK_BYTES_PER_S
        relays.append(relay)
    return relays


async def test_large_catalogs_changed_in_a_row_are_in_force_in_time(tmp_path):
    fleet = fleet_processes.create(tmp_path, network=38, relayed=True)
    relays = await start_relays(fleet)
    try:
        for name in (*CONTROLS, HOST):
            fleet.start(name)
        await put(fleet, fleet_processes.config(1))
        await fleet_processes.wait_until(
            lambda: "host-ready" in fleet.log(HOST), within_s=15.0
        )
        confirmed_s = {0: await put(fleet, config(2, 0))}
        for change in range(1, CHANGES + 1):
            confirmed_s[change] = await put(fleet, config(2 + change, change))
            await asyncio.sleep(CHANGE_INTERVAL_S)

        late = {}
        for change in (0, CHANGES):
            due_s = confirmed_s[change] + IN_FORCE_S
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            status = await status_of(fleet, change)
            if status != 503:
                late[change] = status
        assert late == {}, "a confirmed route is answered as an older catalog says"
        in_force = [
            json.loads(line)
            for line in fleet.log(HOST).splitlines()
            if "catalog-in-force" in line
        ]
        assert in_force[-1]["version"] == 2 + CHANGES
    finally:
        fleet_processes.end(fleet)
        for relay in relays:
            standins_relay.close(relay)
