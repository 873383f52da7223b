"""The operator of a run: writes and reads configs, and sends heartbeats."""

import asyncio
import dataclasses
import json
import random

import aiohttp

from soak import http, plan, records as soak_records, upstreams as soak_upstreams
from standins import fleet as standin_fleet

INTERVAL_S = (0.3, 1.2)
"""Short enough that most faults see several calls."""

CALL_TIMEOUT_S = 4.0
"""Above the time within which control answers."""

HEARTBEAT_TIMEOUT_S = 1.0
HEARTBEAT_RETRY_S = 0.2
"""Below the heartbeat interval, so that a failed heartbeat is retried within it."""

CONFIG_PATH = "/api/config"

ORDER_RETRY_S = 0.3
"""Orders are sent again until they are acknowledged, as the operators do."""


@dataclasses.dataclass(slots=True)
class Operator:
    """The operator; configs no longer contain the keys in ``revoked_keys``."""

    fleet: standin_fleet.Fleet
    records: soak_records.Records
    source: random.Random
    session: aiohttp.ClientSession
    stopping: asyncio.Event
    version: int = 0
    revoked_keys: set[str] = dataclasses.field(default_factory=set)


async def run(operator: Operator) -> None:
    """Write or read the config at random until ``operator.stopping`` is set."""
    while not operator.stopping.is_set():
        if operator.source.random() < 0.5:
            await write_config(operator)
        else:
            await _read_config(operator)
        await asyncio.sleep(operator.source.uniform(*INTERVAL_S))


async def write_config(operator: Operator) -> bool:
    """Write the next config; return whether it was acknowledged."""
    operator.version += 1
    version = operator.version
    revoked_keys = set(operator.revoked_keys)
    sent_s = _now()
    data = _config_body(version, revoked_keys)
    if await _call(operator, "PUT", CONFIG_PATH, CALL_TIMEOUT_S, data) is None:
        return False
    operator.records.config_writes.append(
        soak_records.ConfigWrite(version, sent_s, _now())
    )
    for key in revoked_keys:
        operator.records.revoked_keys.setdefault(key, _now())
    return True


async def evacuate(operator: Operator, evacuation: plan.Evacuation) -> None:
    """Evacuate a zone for a while, then take it back.

    An evacuation that is not acknowledged in this time is given up.
    """
    record = soak_records.Evacuation(evacuation.zone, _now())
    operator.records.evacuations.append(record)
    until_s = _now() + evacuation.for_s
    while record.acknowledged_s is None and _now() < until_s:
        if await _order(operator, "POST", record):
            record.acknowledged_s = _now()
    await asyncio.sleep(max(0.0, until_s - _now()))
    record.restoring_s = _now()
    while not await _order(operator, "DELETE", record):
        pass
    record.restored_s = _now()


async def _order(
    operator: Operator, method: str, record: soak_records.Evacuation
) -> bool:
    """Send an order about a zone; return whether it was acknowledged."""
    path = f"/api/evacuate/{record.zone}"
    status, _ = await http.send(
        operator.session, method, _control_url(operator, path), CALL_TIMEOUT_S
    )
    operator.records.order_answers.append(
        soak_records.OrderAnswer(record.zone, method, status)
    )
    if status == http.STATUS_OK:
        return True
    record.unclear |= method == "POST"
    await asyncio.sleep(ORDER_RETRY_S)
    return False


async def run_heartbeats(operator: Operator, upstream: soak_upstreams.Upstream) -> None:
    """Send an upstream's heartbeats until ``operator.stopping`` is set."""
    while not operator.stopping.is_set():
        is_restarting = upstream.fault is plan.Kind.UPSTREAM_RESTARTS
        if not is_restarting and not await send_heartbeat(operator, upstream):
            await asyncio.sleep(HEARTBEAT_RETRY_S)
            continue
        await asyncio.sleep(soak_upstreams.HEARTBEAT_INTERVAL_S)


async def send_heartbeat(operator: Operator, upstream: soak_upstreams.Upstream) -> bool:
    """Send one heartbeat to a random control process; return if it was accepted."""
    path = f"/api/instances/{upstream.name}"
    body = soak_upstreams.next_heartbeat(upstream)
    return await _call(operator, "PUT", path, HEARTBEAT_TIMEOUT_S, body) is not None


async def _read_config(operator: Operator) -> None:
    sent_s = _now()
    body = await _call(operator, "GET", CONFIG_PATH, CALL_TIMEOUT_S)
    if body is not None:
        version = json.loads(body)["version"]
        operator.records.config_reads.append(
            soak_records.ConfigRead(version, sent_s, _now())
        )


async def _call(
    operator: Operator,
    method: str,
    path: str,
    timeout_s: float,
    data: bytes | None = None,
) -> bytes | None:
    """Call a random control process; return the body of a 200, else None."""
    url = _control_url(operator, path)
    return await http.fetch(operator.session, method, url, timeout_s, data=data)


def _control_url(operator: Operator, path: str) -> str:
    name = operator.source.choice(plan.CONTROLS)
    return f"http://{operator.fleet.address(name, 0)}{path}"


def _config_body(version: int, revoked_keys: set[str]) -> bytes:
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
    keys = [key for key in ("key-1", "key-2") if key not in revoked_keys]
    return standin_fleet.config(
        version,
        routes=routes,
        services=[{"name": "plain", "max_conns": 200}],
        tenants=[{"name": "w", "api_keys": keys}],
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
