"""Measure the processor time of an entry host of a fleet for each request.

Real programs on loopback: three control processes, two entry hosts, one upstream in
this process. Callers keep their connections.
"""

import argparse
import asyncio
import itertools
import json
import pathlib
import tempfile

from bench import process_cost
from standins import fleet as fleet_processes, scripted_upstream

NETWORK = 59
PLAIN_BYTES = 800
PROMPT_BYTES = 18_000
EVENTS = 13
CALLERS = 8
HOST = "entry-a"
HEARTBEAT_INTERVAL_S = 1.2


def routes() -> list[dict]:
    """Return a plain route and a streaming one."""
    stream = fleet_processes.route(
        name="s", path_prefix="/s/", kind="streaming", service="engines"
    )
    return [fleet_processes.route(), stream]


def request(path: str, identity: str, body: bytes) -> bytes:
    """Return a request of a caller."""
    method = "POST" if body else "GET"
    return (
        f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key\r\n"
        f"X-Bitternlever-Request-Id: {identity}\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


async def read_answer(reader: asyncio.StreamReader) -> int:
    """Read one answer with a length or in chunks; return its status."""
    head = await reader.readuntil(b"\r\n\r\n")
    if b"chunked" in head.lower():
        await reader.readuntil(b"\r\n0\r\n\r\n")
    else:
        length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
        await reader.readexactly(int(length))
    return int(head.split()[1])


async def call_often(address: str, path: str, body: bytes, count: int) -> int:
    """Send requests one after the other; return how many were served."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    served = 0
    for number in range(count):
        writer.write(request(path, f"{id(writer)}-{number}", body))
        served += await read_answer(reader) == 200
    writer.close()
    return served


async def measure(fleet: fleet_processes.Fleet, count: int) -> None:
    """Print the processor time of the entry host for each request of both routes."""
    pid = fleet.processes[HOST].pid
    shapes = (("plain", "/a/x", b""), ("stream", "/s/x", b"x" * PROMPT_BYTES))
    for name, path, body in shapes:
        before_s = process_cost.cpu_s(pid)
        served = await asyncio.gather(
            *(
                call_often(fleet.address(HOST, 1), path, body, count // CALLERS)
                for _ in range(CALLERS)
            )
        )
        used_ms = 1_000 * (process_cost.cpu_s(pid) - before_s)
        per_request_ms = round(used_ms / max(1, sum(served)), 4)
        figures = {"shape": name, "served": sum(served), "cpu_ms": per_request_ms}
        print(json.dumps(figures), flush=True)


async def run_upstreams(fleet: fleet_processes.Fleet) -> None:
    """Start an upstream of each service and send its heartbeats until cancelled."""
    event = b"id: 1\ndata: " + b"x" * 50 + b"\n\n"
    plain = await scripted_upstream.start(
        "u1", scripted_upstream.answer(body=b"x" * PLAIN_BYTES)
    )
    engine = await scripted_upstream.start(
        "e1", scripted_upstream.stream(*[event] * EVENTS, gap_s=0.001)
    )
    servers = ((plain, "plain"), (engine, "engines"))
    address = fleet.address("control-a", 0)
    for number in itertools.count(1):
        for server, service in servers:
            body = fleet_processes.heartbeat(
                server.address, service=service, slot_count=64, call_seq=number
            )
            path = f"/api/instances/{server.name}"
            await asyncio.to_thread(
                fleet_processes.send_request, "PUT", address, path, body
            )
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)


async def _run(folder: pathlib.Path, count: int) -> None:
    services = [{"name": "plain"}, {"name": "engines"}]
    config = fleet_processes.config(1, routes=routes(), services=services)
    with fleet_processes.running(folder, network=NETWORK) as fleet:
        address = fleet.address("control-a", 0)

        def put() -> bool:
            answer = fleet_processes.send_request("PUT", address, "/api/config", config)
            return answer[0] == 200

        def is_ready() -> bool:
            ready = fleet.address(HOST, 2)
            return fleet_processes.send_request("GET", ready, "/api/ready")[0] == 200

        await fleet_processes.wait_until(put)
        await fleet_processes.wait_until(is_ready)
        heartbeats = asyncio.ensure_future(run_upstreams(fleet))
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)
        await measure(fleet, count)
        heartbeats.cancel()


def run(arguments: list[str]) -> int:
    """Run the experiment and print one JSON object for each kind of request."""
    parser = argparse.ArgumentParser(prog="bench gateway_cost", description=__doc__)
    parser.add_argument("--requests", type=int, default=2_000)
    options = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory(prefix="bitternlever-cost-") as folder:
        asyncio.run(_run(pathlib.Path(folder), options.requests))
    return 0
