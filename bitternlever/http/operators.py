"""HTTP handlers for operators: manifest, status, upstreams, drain, replicas."""

import asyncio
import hashlib

import msgspec
from aiohttp import web

from bitternlever.checks import manifest as manifest_checks
from bitternlever.entry import lease
from bitternlever.http import authentication, bodies, exchanges, responses, state
from bitternlever.messages import calls, directory, problems, requests, upstream

MAXIMUM_MANIFEST_BYTES = 4_000_000


class ManifestFault(msgspec.Struct):
    """One fault of a refused manifest."""

    id: str
    path: str
    text: str
    hint: str


class ManifestRefused(msgspec.Struct):
    """A problem answer that lists every fault of a manifest."""

    type: str
    title: str
    status: int
    detail: str
    ran: problems.Ran
    faults: list[ManifestFault]


class ManifestNumber(msgspec.Struct):
    """Number and digest of the committed manifest."""

    number: int
    digest: str


class UpstreamView(msgspec.Struct):
    """An upstream as this host knows it; ``age_s`` is the age of its announcement."""

    announcement: upstream.Announcement
    age_s: float
    serving: bool
    in_flight: int
    limit: float


class UpstreamList(msgspec.Struct):
    """All upstreams that this host knows, and the orders to engines."""

    upstreams: list[UpstreamView]
    orders: list[directory.OrderStatus]


class LocalHostView(msgspec.Struct):
    """The state of this host, which the directory does not have."""

    host: str
    epoch: int
    lease_left_s: float
    accepts_work: bool
    manifest_number: int
    manifest_digest: str
    requests: int
    draining: bool
    counters: dict[str, int]


class StatusView(msgspec.Struct):
    """The answer of ``GET /v1/status``."""

    this_host: LocalHostView
    directory: directory.Status


async def get_manifest(request: web.Request) -> web.StreamResponse:
    """Return the committed manifest's bytes: ``GET /v1/manifest``."""
    return await _run_command(request, directory.GROUP, directory.GetManifest())


async def put_manifest(request: web.Request) -> web.StreamResponse:
    """Apply a manifest: ``PUT /v1/manifest``; respond once it is committed."""
    shared = request.app[state.KEY]
    allowed = authentication.check_token(request, shared.configuration.operator_token)
    if allowed.is_err():
        return responses.problem(allowed.err())
    body = await bodies.read(request, MAXIMUM_MANIFEST_BYTES)
    if body.is_err():
        return responses.problem(body.err())
    checked = manifest_checks.check(body.ok())
    if checked.is_err():
        return _manifest_refused(checked.err())
    command = directory.PutManifest(
        number=checked.ok().number,
        digest=hashlib.sha256(body.ok()).hexdigest(),
        body=body.ok(),
    )
    return await _run_command(request, directory.GROUP, command)


async def status(request: web.Request) -> web.StreamResponse:
    """Return hosts, replicas and orders: ``GET /v1/status``."""
    return await _run_command(request, directory.GROUP, directory.GetStatus())


async def upstreams(request: web.Request) -> web.StreamResponse:
    """Return the upstreams that this host knows: ``GET /v1/upstreams``."""
    return await _run_command(request, directory.GROUP, directory.GetStatus())


async def drain(request: web.Request) -> web.StreamResponse:
    """Start draining this host: ``POST /v1/drain``."""
    shared = request.app[state.KEY]
    allowed = authentication.check_token(request, shared.configuration.operator_token)
    if allowed.is_err():
        return responses.problem(allowed.err())
    shared.on_event(requests.DrainRequested())
    return responses.json(local_host_view(shared), status=202)


async def replace(request: web.Request) -> web.StreamResponse:
    """Replace a replica: ``POST /v1/control/replace``; may be repeated."""
    shared = request.app[state.KEY]
    allowed = authentication.check_token(request, shared.configuration.operator_token)
    if allowed.is_err():
        return responses.problem(allowed.err())
    body = await bodies.read(request, shared.configuration.maximum_body_bytes)
    if body.is_err():
        return responses.problem(body.err())
    decoded = bodies.decode(
        body.ok(),
        bodies.ReplaceReplica,
        shared.configuration.maximum_json_depth,
    )
    if decoded.is_err():
        return responses.problem(decoded.err())
    command = directory.ReplaceReplica(
        old_node=decoded.ok().old_node,
        old_disk=decoded.ok().old_disk,
        new_node=decoded.ok().new_node,
    )
    return await _run_command(request, directory.GROUP, command)


def local_host_view(shared: state.State) -> LocalHostView:
    """Return the current state of this host."""
    tables = shared.tables
    now = shared.clock()
    return LocalHostView(
        host=shared.configuration.host,
        epoch=tables.lease.epoch,
        lease_left_s=max(0.0, tables.lease.valid_until_s - now),
        accepts_work=lease.accepts_work(tables, now),
        manifest_number=tables.manifest.number,
        manifest_digest=tables.manifest.digest,
        requests=len(tables.requests.requests),
        draining=tables.requests.drain_requested_s is not None,
        counters=dict(tables.counters),
    )


async def _run_command(
    request: web.Request,
    group: int,
    command: calls.Command,
) -> web.StreamResponse:
    """Send a command through the core and respond with its reply."""
    shared = request.app[state.KEY]
    allowed = authentication.check_token(request, shared.configuration.operator_token)
    if allowed.is_err():
        return responses.problem(allowed.err())
    with exchanges.open_exchange(shared.exchanges) as exchange:
        shared.on_event(
            requests.OperatorCalled(
                caller=exchange.caller,
                group=group,
                command=command,
            ),
        )
        try:
            answer = await exchanges.receive(exchange)
        except asyncio.CancelledError:
            shared.on_event(requests.CallerDisconnected(caller=exchange.caller))
            raise
    if isinstance(answer, requests.ProblemAnswer):
        return responses.problem(answer.problem)
    return _respond(request, shared, answer.reply)


def _respond(
    request: web.Request,
    shared: state.State,
    reply: calls.Reply,
) -> web.StreamResponse:
    match reply:
        case directory.ManifestInForce():
            return _manifest_response(reply)
        case directory.ManifestAccepted():
            return responses.json(
                ManifestNumber(number=reply.number, digest=reply.digest),
            )
        case directory.ManifestConflict():
            return responses.problem(_manifest_conflict(reply))
        case directory.Status():
            return _status_response(request, shared, reply)
        case directory.ReplaceProgress():
            return responses.json(reply, status=200 if reply.step == "done" else 202)
        case directory.ReplaceRefused():
            return responses.problem(
                bodies.refusal(
                    409,
                    "replacement-refused",
                    "The replacement would risk the quorum",
                    reply.reason,
                ),
            )
    raise TypeError(f"no response for {type(reply).__name__}")


def _status_response(
    request: web.Request,
    shared: state.State,
    reply: directory.Status,
) -> web.StreamResponse:
    if request.path != "/v1/upstreams":
        view = StatusView(this_host=local_host_view(shared), directory=reply)
        return responses.json(view)
    return responses.json(
        UpstreamList(upstreams=_upstream_views(shared), orders=reply.orders),
    )


def _upstream_views(shared: state.State) -> list[UpstreamView]:
    now = shared.clock()
    tables = shared.tables
    views = []
    for name, row in sorted(tables.membership.upstreams.items()):
        load = tables.routing.loads.get(name)
        age_s = max(0.0, now - row.last_seen_s)
        silent = age_s > shared.configuration.upstream_silence_s
        views.append(
            UpstreamView(
                announcement=row.announcement,
                age_s=age_s,
                serving=not silent and not row.announcement.leaving,
                in_flight=len(load.in_flight) if load else 0,
                limit=load.limit if load else 0.0,
            ),
        )
    return views


def _manifest_response(reply: directory.ManifestInForce) -> web.StreamResponse:
    if reply.number == 0:
        return responses.problem(
            bodies.refusal(
                404,
                "no-manifest",
                "No manifest is in force",
                "apply the first one with 'bitternlever manifest apply'",
            ),
        )
    return web.Response(
        body=reply.body,
        content_type="application/json",
        headers={
            "Bitternlever-Manifest-Number": str(reply.number),
            "Bitternlever-Manifest-Digest": reply.digest,
        },
    )


def _manifest_refused(messages: list) -> web.StreamResponse:
    refused = ManifestRefused(
        type=responses.PROBLEM_TYPE_PREFIX + "manifest-faulty",
        title="The manifest has faults",
        status=422,
        detail=f"{len(messages)} faults; none of it is applied",
        ran=problems.Ran.NO,
        faults=[
            ManifestFault(
                id=message.id, path=message.path, text=message.text, hint=message.hint
            )
            for message in messages
        ],
    )
    return web.Response(
        status=422,
        body=msgspec.json.encode(refused),
        content_type=responses.PROBLEM_TYPE,
    )


def _manifest_conflict(reply: directory.ManifestConflict) -> problems.Problem:
    return bodies.refusal(
        409,
        "manifest-conflict",
        "The manifest's number does not follow the one in force",
        f"number {reply.number_in_force} with digest {reply.digest_in_force} is in"
        " force; make the next manifest from it",
    )
