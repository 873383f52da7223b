"""An entry host on loopback without control, and a caller that writes raw HTTP."""

import asyncio
import contextlib
import dataclasses

from bitternlever.catalog import tables as catalog_tables
from bitternlever.conf import fleet as fleet_settings
from bitternlever.core import clocks
from bitternlever.gateway import (
    shell as gateway_shell,
    state,
    sync,
    tables as gateway_tables,
)
from bitternlever.messages import fleet
from bitternlever.platform import entry_api
from bitternlever.transport import exchange
from tests.gateway import samples

BOUNDS = fleet_settings.Bounds(
    drain_s=2.0,
    grace_s=8.0,
    revoke_s=5.0,
    strict_revoke=True,
    retry_ratio=0.2,
    retry_window_s=10.0,
    retry_slack=50,
    directory_ttl_s=1.0,
)


@dataclasses.dataclass(slots=True)
class Answer:
    """An answer as received; ``whole`` unless it was cut off."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


def configuration() -> fleet_settings.FleetConfiguration:
    """Return the settings of a host that opens no sockets by itself."""
    return fleet_settings.FleetConfiguration(
        host="one",
        zone="a",
        region="r",
        link="tcp://one:1",
        seeds=(),
        tolerated_losses=1,
        link_bind_address="tcp://one:1",
        may_bootstrap=False,
        callers_address="",
        readiness_address="",
        control_address="",
        directory_address="",
        metrics_address="",
        data_folder=None,
        region_of_zone={"a": "r"},
        bounds=BOUNDS,
        descriptors=1_000,
        link_bytes_per_s=125_000_000,
    )


@contextlib.asynccontextmanager
async def running(catalog: catalog_tables.Catalog, *upstreams: fleet.UpstreamStatus):
    """Run an entry host with a catalog and upstreams; yield it and its port."""
    tables = gateway_tables.GatewayTables(
        announcement=samples.host_announcement(), seeds=()
    )
    tables.catalog = catalog
    tables.catalog_current_s = clocks.boot_time()
    tables.hosts.listed = (samples.host_announcement(link="tcp://one:1"),)
    sync.merge_upstream_statuses(
        tables, clocks.boot_time(), fleet.UpstreamStatusUpdate(statuses=list(upstreams))
    )
    gateway = state.Gateway(
        settings=configuration(),
        tables=tables,
        dialect=entry_api.DIALECT,
        pool=exchange.Pool(clock=clocks.boot_time),
        stopped=asyncio.get_running_loop().create_future(),
        deliver=gateway_shell._dispatch,
        started_s=clocks.boot_time(),
        host_pool=exchange.Pool(clock=clocks.boot_time),
        announce=lambda gateway: None,
    )
    gateway.state = fleet.HostState.READY
    runner = await gateway_shell._serve("127.0.0.1:0", entry_api.callers(gateway))
    port = runner.addresses[0][1]
    try:
        yield gateway, port
    finally:
        for task in list(gateway.tasks):
            task.cancel()
        await runner.cleanup()


def request(
    method="GET",
    target="/a/x",
    host="h.example",
    body=b"",
    key="key",
    identity="id-1",
    **headers: str,
) -> bytes:
    """Return a caller's request as bytes."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines.append(f"X-Bitternlever-Request-Id: {identity}")
    if key is not None:
        lines.append(f"Authorization: Bearer {key}")
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(
    port: int, data: bytes, within_s: float = 5.0, address: str = "127.0.0.1"
) -> Answer:
    """Send a request on a new connection and read the complete answer."""
    reader, writer = await asyncio.open_connection(address, port)
    writer.write(data)
    try:
        async with asyncio.timeout(within_s):
            return await read_answer(reader)
    finally:
        writer.close()


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer."""
    status = int((await reader.readline()).split()[1])
    headers = {}
    while True:
        line = (await reader.readline()).decode("latin-1").rstrip("\r\n")
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    if headers.get("transfer-encoding") == "chunked":
        body, whole = await _read_chunks(reader)
        return Answer(status, headers, body, whole)
    length = int(headers.get("content-length", "0"))
    try:
        return Answer(status, headers, await reader.readexactly(length), True)
    except asyncio.IncompleteReadError as error:
        return Answer(status, headers, error.partial, False)


async def _read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    body = b""
    while True:
        line = await reader.readline()
        if not line.strip():
            return body, False
        size = int(line, 16)
        try:
            data = await reader.readexactly(size + 2)
        except (asyncio.IncompleteReadError, ConnectionError):
            return body, False
        if size == 0:
            return body, True
        body += data[:-2]
