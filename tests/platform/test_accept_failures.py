"""A host that can accept no connection, while those that are open are served."""

import asyncio
import http.client
import os
import resource
import socket
import time

from standins import fleet as fleet_processes

HOSTS = ("entry-a", "entry-b")
SPARE_DESCRIPTORS = 8
CLIENTS = 40
WITHIN_S = 2.5


def ready(connection: http.client.HTTPConnection) -> int:
    """Ask on an open connection whether its host is ready."""
    connection.request("GET", "/api/ready")
    answer = connection.getresponse()
    answer.read()
    return answer.status


def directory(fleet, name: str) -> str:
    """Return the addresses that a host names to callers."""
    _, body = fleet_processes.send_request(
        "GET", fleet.address(name, 3), "/api/resolve?zone=a&region=r"
    )
    return body.decode()


def limit_descriptors(fleet, name: str) -> None:
    """Leave a process few descriptors beside those that it has open."""
    process = fleet.processes[name].pid
    used = len(os.listdir(f"/proc/{process}/fd"))
    _, hard = resource.prlimit(process, resource.RLIMIT_NOFILE)
    limits = (used + SPARE_DESCRIPTORS, hard)
    resource.prlimit(process, resource.RLIMIT_NOFILE, limits)


def connect(fleet, name: str) -> list[socket.socket]:
    """Open more connections than the process has descriptors for."""
    host, _, port = fleet.address(name, 1).rpartition(":")
    return [
        socket.create_connection((host, int(port)), timeout=2.0) for _ in range(CLIENTS)
    ]


async def test_a_host_without_descriptors_is_neither_ready_nor_named(tmp_path):
    with fleet_processes.running(tmp_path, network=40) as fleet:
        put = fleet_processes.config(1)
        await fleet_processes.wait_until(
            lambda: (
                fleet_processes.send_request(
                    "PUT", fleet.address("control-a", 0), "/api/config", put
                )[0]
                == 200
            )
        )
        await fleet_processes.wait_until(
            lambda: all(
                fleet.address(name, 1) in directory(fleet, "entry-b") for name in HOSTS
            )
        )
        full = fleet.address("entry-a", 1)
        host, _, port = fleet.address("entry-a", 2).rpartition(":")
        check = http.client.HTTPConnection(host, int(port), timeout=2.0)
        assert ready(check) == 200

        limit_descriptors(fleet, "entry-a")
        clients = connect(fleet, "entry-a")
        ends_s = time.monotonic() + WITHIN_S
        while time.monotonic() < ends_s and ready(check) == 200:
            await asyncio.sleep(0.1)
        assert ready(check) == 503
        await fleet_processes.wait_until(
            lambda: full not in directory(fleet, "entry-b"), within_s=WITHIN_S
        )
        assert fleet.address("entry-b", 1) in directory(fleet, "entry-b")

        for client in clients:
            client.close()
        await fleet_processes.wait_until(
            lambda: full in directory(fleet, "entry-b") and ready(check) == 200,
            within_s=2 * WITHIN_S,
        )
