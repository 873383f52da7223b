"""The operator: sends configs to any control machine, follows 307, tries again."""

import asyncio

from review.harness import http

REDIRECTS = 2
PAUSE_S = 0.3


def config(version: int, *routes: dict, services: list[dict]) -> dict:
    """Return a config with one tenant."""
    return {
        "version": version,
        "routes": list(routes),
        "services": services,
        "limits": {
            "header_bytes": 16384,
            "body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "bozi300", "api_keys": ["key-1"], "priority": 1}],
    }


def route(name: str, service: str, **changes) -> dict:
    """Return a route of plain idempotent requests."""
    fields = {
        "name": name,
        "host": "pule25.example",
        "path_prefix": f"/{name}/",
        "kind": "idempotent",
        "timeout_ms": 2000,
        "goal_ms": 125,
        "priority": 2,
        "service": service,
        "max_attempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
    }
    return {**fields, **changes}


async def put(controls: list[str], body: dict, within_s: float) -> float | None:
    """Send a config until it is acknowledged; return the time that took, or None."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    number = 0
    while loop.time() - started_s < within_s:
        address = controls[number % len(controls)]
        number += 1
        for _ in range(REDIRECTS + 1):
            status, _, headers = await http.call("PUT", address, "/api/config", body)
            location = headers.get("location", "")
            if status != 307 or not location:
                break
            address = location.removeprefix("http://").partition("/")[0]
        if status == 200:
            return loop.time() - started_s
        await asyncio.sleep(PAUSE_S)
    return None
