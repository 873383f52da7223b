"""Entry hosts that are linked to each other, with two stages, on loopback."""

import contextlib
import dataclasses
import socket

from bitternlever.catalog import tables as catalog_tables
from bitternlever.core import clocks
from bitternlever.gateway import shell as gateway_shell
from bitternlever.messages import fleet
from bitternlever.transport import links
from standins import scripted_upstream
from tests.gateway import entry_host, samples
from tests.gateway.test_requests import stage_answers

ZONES = ("a", "b")
UPSTREAMS = 16
PIECES = 16
LINK_BYTES_PER_S = 625_000.0
"""5 Mbit/s: full calls to all upstreams are more than one host can send."""


def staged_catalog() -> catalog_tables.Catalog:
    """Return a catalog with one route: eight results, which 16 pieces read."""
    stages = (
        catalog_tables.Stage(0, "encode", (), 1_000),
        catalog_tables.Stage(1, "rerank", (0,), 1_000),
    )
    route = samples.route(
        repeatability=catalog_tables.Repeatability.STREAM,
        stages=stages,
        targets=(catalog_tables.Target("engines", 1.0),),
        by_prefix=True,
        timeout_s=5.0,
        objective_s=3.0,
    )
    services = {
        "encode": samples.stage_service("encode", batch=16),
        "rerank": samples.stage_service("rerank", batch=32, item_s=0.004),
        "engines": catalog_tables.Service(
            "engines", "", 100, engine=catalog_tables.EngineCapacity(64, 100_000)
        ),
    }
    return samples.catalog(routes={"h.example": [route]}, services=services)


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


@contextlib.asynccontextmanager
async def running(count: int, statuses: list[fleet.UpstreamStatus]):
    """Run hosts that are linked to each other; yield them with their ports."""
    async with contextlib.AsyncExitStack() as stack:
        hosts = []
        for _ in range(count):
            host = entry_host.running(staged_catalog(), *statuses)
            hosts.append(await stack.enter_async_context(host))
        announcements = [
            samples.host_announcement(
                f"host-{number}",
                link=f"tcp://127.0.0.1:{free_port()}",
                zone=ZONES[number % len(ZONES)],
                link_bytes_per_s=LINK_BYTES_PER_S,
            )
            for number in range(count)
        ]
        for (gateway, _), own in zip(hosts, announcements, strict=True):
            open_links(gateway, own)
            gateway.tables.hosts.listed = tuple(announcements)
            gateway.tables.catalog_current_s = clocks.boot_time() + 60.0
            gateway_shell._expire(gateway)
        try:
            yield hosts
        finally:
            for gateway, _ in hosts:
                gateway.closing = True
                links.close(gateway.links)


def open_links(gateway, own: fleet.HostAnnouncement) -> None:
    gateway.settings = dataclasses.replace(
        gateway.settings, host=own.host, link=own.link
    )
    gateway.tables.announcement = own
    gateway.links = links.listen(
        node=own.link,
        link=own.link,
        incarnation=own.host,
        cluster_key="fleet",
        clock=clocks.boot_time,
        on_message=lambda received: gateway_shell._receive(gateway, received),
    )


async def start_upstreams() -> list[fleet.UpstreamStatus]:
    """Start the upstreams of two stage services and an engine in two zones."""
    statuses = []
    for service in ("encode", "rerank"):
        for number in range(UPSTREAMS):
            name = f"{service}-{number}"
            server = await scripted_upstream.start(name, stage_answers())
            status = samples.upstream_status(
                name,
                address=server.address,
                service=service,
                zone=ZONES[number % len(ZONES)],
            )
            statuses.append(status)
    engine = await scripted_upstream.start(
        "engine", scripted_upstream.stream(b"id: 1\n\n")
    )
    return [
        *statuses,
        samples.upstream_status("engine", address=engine.address, service="engines"),
    ]


async def ask(port: int, identity: str, pieces: int = PIECES):
    data = entry_host.request(
        "POST",
        identity=identity,
        X_Bitternlever_Pieces=f"8,{pieces}",
        X_Bitternlever_Piece_Key="thing",
        X_Bitternlever_Prompt_Prefix="aa:100,bb:20",
    )
    return await entry_host.call(port, data)
