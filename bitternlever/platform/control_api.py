"""The HTTP routes of control: heartbeats of upstreams and the operator's orders."""

import logging
import urllib.parse
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from bitternlever.fleet import shell as fleet_shell, tables as fleet_tables
from bitternlever.platform import catalog, operator_calls, upstreams
from bitternlever.telemetry import events

INSTANCES = "/api/instances/"
CONFIG = "/api/config"
EVACUATED_BY_METHOD = {"POST": True, "DELETE": False}
MAXIMUM_CATALOG_BYTES = 16_000_000
RETRY_AFTER_S = "0.2"

logger = logging.getLogger(__name__)

Handler = Callable[[web.BaseRequest], Awaitable[web.Response]]


def handler(shell: fleet_shell.Shell) -> Handler:
    """Return the handler of all requests to control."""

    async def handle(request: web.BaseRequest) -> web.Response:
        path = request.raw_path.partition("?")[0]
        if path.startswith(INSTANCES):
            return await _update_upstream(shell, request, path[len(INSTANCES) :])
        if path == CONFIG and request.method == "PUT":
            return await _put_config(shell, request)
        if path == CONFIG and request.method == "GET":
            return await _get_config(shell)
        if (request.method, path) == operator_calls.evacuation_status():
            return _get_evacuation(shell)
        if path.startswith(operator_calls.EVACUATE):
            return await _order_zone(shell, request, path)
        return _json(404, b'{"error":"no such call"}')

    return handle


async def _update_upstream(
    shell: fleet_shell.Shell,
    request: web.BaseRequest,
    quoted: str,
) -> web.Response:
    name = urllib.parse.unquote(quoted)
    body = await _read_body(request, upstreams.MAXIMUM_BYTES)
    if body is None:
        return _refuse(shell, request, "a heartbeat that is too large", 413)
    if request.method == "PUT":
        decoded = upstreams.decode_heartbeat(name, body)
    elif request.method == "DELETE":
        decoded = upstreams.decode_leave(name, body)
    else:
        return _json(405, b'{"error":"PUT or DELETE"}')
    if decoded.is_err():
        return _refuse(shell, request, decoded.err(), 400)
    fleet_shell.submit_upstream_status(shell, decoded.ok())
    return _json(200, b"{}")


async def _put_config(
    shell: fleet_shell.Shell, request: web.BaseRequest
) -> web.Response:
    body = await _read_body(request, MAXIMUM_CATALOG_BYTES)
    if body is None:
        return _refuse(shell, request, "a config that is too large", 413)
    decoded = catalog.decode(body)
    if decoded.is_err():
        return _refuse(shell, request, str(decoded.err()), 400)
    outcome = await fleet_shell.put_catalog(shell, decoded.ok().version, body)
    if isinstance(outcome, fleet_tables.Completed):
        return _json(200, b"{}")
    return _redirect_to_leader(shell, outcome, CONFIG)


async def _order_zone(
    shell: fleet_shell.Shell, request: web.BaseRequest, path: str
) -> web.Response:
    evacuated = EVACUATED_BY_METHOD.get(request.method)
    if evacuated is None:
        return _json(405, b'{"error":"POST or DELETE"}')
    if await _read_body(request, 0) is None:
        return _refuse(shell, request, "an order with a body: send none", 400)
    zone = urllib.parse.unquote(path.removeprefix(operator_calls.EVACUATE))
    zones = sorted(shell.settings.region_of_zone)
    if zone not in zones:
        reason = f"no zone {zone!r}: name one of {', '.join(zones)}"
        return _refuse(shell, request, reason, 404)
    outcome = await fleet_shell.order_zone(shell, zone, evacuated=evacuated)
    if isinstance(outcome, fleet_tables.Completed):
        return _json(200, b"{}")
    return _redirect_to_leader(shell, outcome, path)


async def _get_config(shell: fleet_shell.Shell) -> web.Response:
    outcome = await fleet_shell.read_catalog(shell)
    if not isinstance(outcome, fleet_tables.Completed):
        return _redirect_to_leader(shell, outcome, CONFIG)
    if outcome.version is None:
        return _json(503, b'{"error":"no config yet"}')
    return _json(200, outcome.body)


def _get_evacuation(shell: fleet_shell.Shell) -> web.Response:
    """Return the evacuated zones as this process knows them; it may lag the leader."""
    applied = shell.tables.catalog
    status = operator_calls.Evacuation(
        applied.evacuation_revision, sorted(applied.evacuated_zones)
    )
    return _json(200, msgspec.json.encode(status))


def _redirect_to_leader(
    shell: fleet_shell.Shell,
    outcome: fleet_tables.NotLeader | None,
    path: str,
) -> web.Response:
    """Redirect the caller to the leader; all hosts use the same port for control."""
    if outcome is None or outcome.leader is None:
        response = _json(503, b'{"error":"no leader is known"}')
        response.headers["Retry-After"] = RETRY_AFTER_S
        return response
    host = outcome.leader.removeprefix("tcp://").rpartition(":")[0]
    port = shell.settings.control_address.rpartition(":")[2]
    response = _json(307, b'{"error":"another node leads"}')
    response.headers["Location"] = f"http://{host}:{port}{path}"
    return response


def _refuse(
    shell: fleet_shell.Shell,
    request: web.BaseRequest,
    reason: str,
    status: int,
) -> web.Response:
    events.CALL_REFUSED.log(
        logger,
        method=request.method,
        path=request.raw_path,
        status=status,
        reason=reason,
    )
    return web.json_response({"error": reason}, status=status)


async def _read_body(request: web.BaseRequest, maximum_bytes: int) -> bytes | None:
    body = bytearray()
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > maximum_bytes:
            return None
    return bytes(body)


def _json(status: int, body: bytes) -> web.Response:
    return web.Response(status=status, body=body, content_type="application/json")
