"""The operator of a run: sends configs in turn, reads them, and relays heartbeats."""

import asyncio
import dataclasses
import json
import random

import aiohttp

from soak import plan, records as soak_records, upstreams as soak_upstreams
from standins import fleet as standin_fleet

INTERVAL_S = (0.3, 1.2)
CALL_WITHIN_S = aiohttp.ClientTimeout(total=4.0)
"""Above the time in which control answers."""

BEAT_WITHIN_S = aiohttp.ClientTimeout(total=1.0)
BEAT_AGAIN_S = 0.2
ROUTE_TIMEOUT_MS = 4_000
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
    body = _config(version, ended)
    sent_s = _now()
    try:
        async with operator.session.put(
            _control(operator), data=body, timeout=CALL_WITHIN_S
        ) as answer:
            status = answer.status
    except (OSError, aiohttp.ClientError, TimeoutError):
        return False
    if status != 200:
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
    address = _control(operator, f"/api/instances/{upstream.name}")
    word = json.dumps(soak_upstreams.heartbeat(upstream)).encode()
    try:
        async with operator.session.put(
            address, data=word, timeout=BEAT_WITHIN_S
        ) as answer:
            return answer.status == 200
    except (OSError, aiohttp.ClientError, TimeoutError):
        return False


async def _read(operator: Operator) -> None:
    sent_s = _now()
    try:
        async with operator.session.get(
            _control(operator), timeout=CALL_WITHIN_S
        ) as answer:
            body = await answer.read()
            status = answer.status
    except (OSError, aiohttp.ClientError, TimeoutError):
        return
    if status != 200:
        return
    version = json.loads(body)["version"]
    operator.records.reads.append(soak_records.Read(version, sent_s, _now()))


def _control(operator: Operator, path: str = CONFIG_PATH) -> str:
    name = operator.source.choice(plan.CONTROLS)
    return f"http://{operator.fleet.address(name, 0)}{path}"


def _config(version: int, ended: set[str]) -> bytes:
    routes = [
        {
            "name": kind,
            "host": "h.example",
            "path_prefix": prefix,
            "kind": kind,
            "timeout_ms": ROUTE_TIMEOUT_MS,
            "goal_ms": 500,
            "priority": 1,
            "service": "plain",
            "max_attempts": attempts,
        }
        for kind, prefix, attempts in (
            ("idempotent", "/read/", 2),
            ("non_idempotent", "/write/", 1),
        )
    ]
    keys = [key for key in ("key-1", "key-2") if key not in ended]
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": [{"name": "plain", "max_conns": 200}],
            "limits": {},
            "tenants": [{"name": "w", "api_keys": keys}],
        }
    ).encode()


def _now() -> float:
    return asyncio.get_running_loop().time()
