"""The operator of a run: sends configs in turn, reads them, and relays heartbeats."""

import asyncio
import dataclasses
import json
import random

import aiohttp

from soak import http, plan, records as soak_records, upstreams as soak_upstreams
from standins import fleet as standin_fleet

INTERVAL_S = (0.3, 1.2)
"""Several calls fall into each fault."""

CALL_WITHIN_S = 4.0
"""Above the time in which control answers."""

BEAT_WITHIN_S = 1.0
BEAT_AGAIN_S = 0.2
"""Below an upstream's interval, so that the next one is tried within it."""

CONFIG_PATH = "/api/config"


@dataclasses.dataclass(slots=True)
class Operator:
    """The one who sends configs; keys in ``ended`` are in none from then on."""

    fleet: standin_fleet.Fleet
    records: soak_records.Records
    source: random.Random
    session: aiohttp.ClientSession
    stopping: asyncio.Event
    version: int = 0
    ended: set[str] = dataclasses.field(default_factory=set)


async def run(operator: Operator) -> None:
    """Send and read configs at random until told to stop."""
    while not operator.stopping.is_set():
        if operator.source.random() < 0.5:
            await put(operator)
        else:
            await _read(operator)
        await asyncio.sleep(operator.source.uniform(*INTERVAL_S))


async def put(operator: Operator) -> bool:
    """Send the next config; return whether it was acknowledged."""
    operator.version += 1
    version = operator.version
    ended = set(operator.ended)
    sent_s = _now()
    data = _config(version, ended)
    if await _call(operator, "PUT", CONFIG_PATH, CALL_WITHIN_S, data) is None:
        return False
    operator.records.puts.append(soak_records.Put(version, sent_s, _now()))
    for key in ended:
        operator.records.revoked.setdefault(key, _now())
    return True


async def beat(operator: Operator, upstream: soak_upstreams.Upstream) -> None:
    """Send an upstream's heartbeats until told to stop."""
    while not operator.stopping.is_set():
        restarting = upstream.fault is plan.Kind.UPSTREAM_RESTARTS
        if not restarting and not await tell(operator, upstream):
            await asyncio.sleep(BEAT_AGAIN_S)
            continue
        await asyncio.sleep(soak_upstreams.BEAT_INTERVAL_S)


async def tell(operator: Operator, upstream: soak_upstreams.Upstream) -> bool:
    """Send one heartbeat to some control process; return whether it was taken."""
    path = f"/api/instances/{upstream.name}"
    word = soak_upstreams.heartbeat(upstream)
    return await _call(operator, "PUT", path, BEAT_WITHIN_S, word) is not None


async def _read(operator: Operator) -> None:
    sent_s = _now()
    body = await _call(operator, "GET", CONFIG_PATH, CALL_WITHIN_S)
    if body is not None:
        version = json.loads(body)["version"]
        operator.records.reads.append(soak_records.Read(version, sent_s, _now()))


async def _call(
    operator: Operator,
    method: str,
    path: str,
    within_s: float,
    data: bytes | None = None,
) -> bytes | None:
    """Call some control process; return the body of a 200, None without one."""
    name = operator.source.choice(plan.CONTROLS)
    url = f"http://{operator.fleet.address(name, 0)}{path}"
    return await http.ask(operator.session, method, url, within_s, data=data)


def _config(version: int, ended: set[str]) -> bytes:
    routes = [
        standin_fleet.route(
            name=kind,
            path_prefix=prefix,
            kind=kind,
            max_attempts=attempts,
        )
        for kind, prefix, attempts in (
            ("idempotent", "/read/", 2),
            ("non_idempotent", "/write/", 1),
        )
    ]
    keys = [key for key in ("key-1", "key-2") if key not in ended]
    return standin_fleet.config(
        version,
        routes=routes,
        services=[{"name": "plain", "max_conns": 200}],
        tenants=[{"name": "w", "api_keys": keys}],
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
