"""The HTTP server of an entry host: its routes and its limits."""

import logging

from aiohttp import web

from bitternlever.entry import lease
from bitternlever.http import bodies, callers, operators, responses, state, upstreams
from bitternlever.messages import problems
from bitternlever.telemetry import events
from bitternlever.transport import listeners

MAXIMUM_HEADER_BYTES = 8_190
SHUTDOWN_TIMEOUT_S = 2.0

logger = logging.getLogger(__name__)


async def start(shared: state.State) -> listeners.Listener:
    """Start the server for callers, operators and upstreams.

    Raise OSError if the address cannot be bound.
    """
    app = web.Application(middlewares=[_problem_middleware])
    app[state.KEY] = shared
    app.add_routes(_routes())
    runner = web.AppRunner(
        app,
        handler_cancellation=True,
        access_log=None,
        max_line_size=MAXIMUM_HEADER_BYTES,
        max_field_size=MAXIMUM_HEADER_BYTES,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    host, port = shared.configuration.http_listen
    return await listeners.listen(runner, host, port)


def _routes() -> list[web.RouteDef]:
    return [
        web.post("/v1/pipelines/{pipeline}/requests", callers.submit),
        web.get("/v1/requests/{request_id}", callers.fetch),
        web.delete("/v1/requests/{request_id}", callers.cancel),
        web.post("/v1/requests/{request_id}/acknowledgement", callers.acknowledge),
        web.get("/v1/hosts", callers.list_hosts),
        web.get("/v1/manifest", operators.get_manifest),
        web.put("/v1/manifest", operators.put_manifest),
        web.get("/v1/status", operators.status),
        web.get("/v1/upstreams", operators.upstreams),
        web.post("/v1/upstreams", upstreams.announce),
        web.post("/v1/drain", operators.drain),
        web.post("/v1/control/replace", operators.replace),
        web.get("/healthz", _healthz),
        web.get("/readyz", _readyz),
    ]


async def _healthz(request: web.Request) -> web.Response:
    """Respond with the state of this host; 200 as long as the process runs."""
    return responses.json(operators.local_host_view(request.app[state.KEY]))


async def _readyz(request: web.Request) -> web.Response:
    """Respond with 200 while this host accepts new work, else with 503."""
    shared = request.app[state.KEY]
    ready = lease.accepts_work(shared.tables, shared.clock())
    draining = shared.tables.requests.drain_requested_s is not None
    return responses.json(
        operators.local_host_view(shared),
        status=200 if ready and not draining else 503,
    )


@web.middleware
async def _problem_middleware(request: web.Request, handler) -> web.StreamResponse:
    """Turn errors of the HTTP library and of handlers into problem responses."""
    try:
        response = await handler(request)
    except web.HTTPException as error:
        problem = bodies.refusal(
            error.status,
            "http-error",
            error.reason,
            f"{request.method} {request.path} is not part of this interface",
        )
        response = responses.problem(problem)
    except Exception:
        logger.exception("unhandled exception in an HTTP handler")
        problem = problems.Problem(
            type="internal-error",
            title="The host failed while it answered",
            status=500,
            detail="ask for the request by its id or send it again with the same key",
            ran=problems.Ran.UNKNOWN,
        )
        response = responses.problem(problem)
    if response.status >= 400:
        events.CALL_REFUSED.log(logger, path=request.path, status=response.status)
    return response
