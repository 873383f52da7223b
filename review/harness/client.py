"""Clients: ask the directory where to connect and send plain requests."""

import asyncio
import dataclasses
import json
import random
import secrets

from review.harness import http

HOST = "pule25.example"
KEY = "key-1"


@dataclasses.dataclass(slots=True)
class Try:
    """One client attempt and how it ended: a status, 0 without a whole answer."""

    at_s: float
    identity: str
    address: str
    status: int
    took_s: float
    path: str = ""


async def resolve(directories: list[str]) -> list[str]:
    """Return the addresses that the directory names, none without an answer."""
    path = f"/api/resolve?name={HOST}&region=caerdydd&zone=hall-a"
    for address in random.sample(directories, len(directories)):
        status, body, _ = await http.call("GET", address, path)
        if status == 200:
            return json.loads(body)["addrs"]
    return []


async def send(
    address: str,
    path: str,
    deadline_s: float,
    now: float,
    method: str = "GET",
    more: dict[str, str] | None = None,
) -> Try:
    """Send one request on a new channel; ``more`` are further headers."""
    identity = secrets.token_hex(8)
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    host, _, port = address.rpartition(":")
    status = 0
    writer = None
    headers = {
        "Host": HOST,
        "X-Bitternlever-Request-Id": identity,
        "X-Bitternlever-Deadline-Ms": str(round(deadline_s * 1_000)),
        "Authorization": f"Bearer {KEY}",
        **(more or {}),
    }
    try:
        async with asyncio.timeout(deadline_s + 0.5):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(http.encode(f"{method} {path} HTTP/1.1", headers))
            answer = await http.read_head(reader)
            answer.body = await http.read_body(reader, answer)
            status = answer.status
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return Try(now, identity, address, status, loop.time() - started_s)
