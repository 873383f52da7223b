"""Decode the operator's config into a catalog and check it."""

import msgspec
import result

from bitternlever.catalog import tables
from bitternlever.messages import integers

MILLISECONDS_PER_SECOND = 1_000
BYTES_PER_MB = 1_000_000
BITS_PER_BYTE = 8
MAXIMUM_PRIORITY = 1_000_000
"""Keeps ranks that are computed from priorities within 64 bits."""

REPEATABILITY_BY_KIND = {
    "idempotent": tables.Repeatability.IDEMPOTENT,
    "non_idempotent": tables.Repeatability.ONCE,
    "streaming": tables.Repeatability.STREAM,
}


class _Backend(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Stage(msgspec.Struct):
    service: str
    after: list[int] = []
    bytes: float = 0.0


class _Route(msgspec.Struct):
    """``goal_ms`` is the objective; ``sticky`` marks routes that share prompt parts."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    goal_ms: float = 0.0
    priority: int = 5
    service: str | None = None
    backends: list[_Backend] = []
    max_attempts: int = 1
    stages: list[_Stage] = []
    public: bool = False
    sticky: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0.0


class _Engine(msgspec.Struct):
    slot_count: int = 1
    kv_capacity: int = 0


class _Pieces(msgspec.Struct):
    """The capacity of an upstream that runs pieces of stages.

    ``room_mb`` is its memory for results; ``handle_s`` is how long a result is kept
    after its call.
    """

    slot_count: int = 1
    queue: int = 0
    batch: int = 1
    call_ms: float = 0.0
    item_ms: float = 0.0
    room_mb: float = 0.0
    handle_s: float = 1.0
    link_mbps: float = 1_000.0


class _Service(msgspec.Struct):
    name: str
    health_path: str = ""
    max_conns: int = 100
    engine: _Engine | None = None
    pieces: _Pieces | None = None


class _ClientLimits(msgspec.Struct):
    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _ClientLimits = msgspec.field(default_factory=_ClientLimits)
    tenants: list[_Tenant] | None = None


Decoded = result.Result[tables.Catalog, tables.CatalogFault]

_decoder = msgspec.json.Decoder(_Config)


def decode(body: bytes) -> Decoded:
    """Decode and check a config; a fault carries the path of the invalid value."""
    try:
        config = _decoder.decode(body)
    except msgspec.ValidationError as error:
        reason, _, path = str(error).partition(" - at `")
        return result.Err(tables.CatalogFault(path.rstrip("`") or "$", reason))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return result.Err(tables.CatalogFault("$", f"not JSON: {error}"))
    fault = _config_fault(config)
    if fault is not None:
        return result.Err(fault)
    return result.Ok(_catalog(config))


def _config_fault(config: _Config) -> tables.CatalogFault | None:
    if not integers.fits(config.version):
        reason = (
            f"version {config.version} must be from {integers.MINIMUM}"
            f" to {integers.MAXIMUM}"
        )
        return tables.CatalogFault("$.version", reason)
    service_names = {service.name for service in config.services}
    matched: set[tuple[str, str]] = set()
    for number, route in enumerate(config.routes):
        reason = _route_fault(route, service_names)
        match = (route.host, route.path_prefix)
        if reason is None and match in matched:
            reason = f"host {route.host} and prefix {route.path_prefix} stand twice"
        if reason is not None:
            return tables.CatalogFault(f"$.routes[{number}]", reason)
        matched.add(match)
    return _key_fault(config.tenants or [])


def _route_fault(route: _Route, services: set[str]) -> str | None:
    if route.timeout_ms <= 0:
        return f"timeout {route.timeout_ms} ms must be above 0"
    if route.kind not in REPEATABILITY_BY_KIND:
        return f"kind {route.kind!r} is unknown"
    targets = _targets(route)
    if not targets:
        return "no service is named"
    weights = [target.weight for target in targets]
    if min(weights) < 0 or sum(weights) <= 0:
        return f"weights {weights} must be 0 or more and not all 0"
    used = [target.service for target in targets]
    used += [stage.service for stage in route.stages]
    unknown = [name for name in used if name not in services]
    if unknown:
        return f"service {unknown[0]!r} is unknown"
    return _stages_fault(route.stages)


def _stages_fault(stages: list[_Stage]) -> str | None:
    """Return the fault of stages that wait for a missing stage or for each other."""
    placed: set[int] = set()
    waiting = dict(enumerate(stages))
    while waiting:
        ready = [n for n, stage in waiting.items() if placed.issuperset(stage.after)]
        if not ready:
            return f"stages {sorted(waiting)} wait for stages that cannot come first"
        placed.update(ready)
        for number in ready:
            del waiting[number]
    return None


def _key_fault(tenants: list[_Tenant]) -> tables.CatalogFault | None:
    tenant_by_key: dict[str, str] = {}
    for number, tenant in enumerate(tenants):
        for key in tenant.api_keys:
            if tenant_by_key.setdefault(key, tenant.name) != tenant.name:
                reason = f"tenants {tenant_by_key[key]} and {tenant.name} share a key"
                return tables.CatalogFault(f"$.tenants[{number}]", reason)
    return None


def _targets(route: _Route) -> list[_Backend]:
    if route.service is not None:
        return [_Backend(service=route.service)]
    return route.backends


def _catalog(config: _Config) -> tables.Catalog:
    routes: dict[str, list[tables.Route]] = {}
    for route in config.routes:
        routes.setdefault(route.host, []).append(_route(route))
    for host_routes in routes.values():
        host_routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
    limits = config.limits
    return tables.Catalog(
        version=config.version,
        routes=routes,
        services={service.name: _service(service) for service in config.services},
        limits=tables.ClientLimits(
            header_bytes=integers.clamp(limits.header_bytes),
            body_bytes=integers.clamp(limits.body_bytes),
            header_timeout_s=limits.header_timeout_ms / MILLISECONDS_PER_SECOND,
            idle_timeout_s=limits.idle_timeout_ms / MILLISECONDS_PER_SECOND,
        ),
        workspaces=_workspaces(config.tenants),
    )


def _workspaces(tenants: list[_Tenant] | None) -> dict[str, tables.Workspace] | None:
    if tenants is None:
        return None
    return {
        key: tables.Workspace(
            name=tenant.name,
            priority=None if tenant.priority is None else _priority(tenant.priority),
        )
        for tenant in tenants
        for key in tenant.api_keys
    }


def _priority(value: int) -> int:
    return integers.clamp(value, -MAXIMUM_PRIORITY, MAXIMUM_PRIORITY)


def _route(route: _Route) -> tables.Route:
    return tables.Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        repeatability=REPEATABILITY_BY_KIND[route.kind],
        resumable=route.resumable,
        timeout_s=route.timeout_ms / MILLISECONDS_PER_SECOND,
        objective_s=(route.goal_ms or route.timeout_ms) / MILLISECONDS_PER_SECOND,
        priority=_priority(route.priority),
        targets=tuple(
            tables.Target(service=target.service, weight=target.weight)
            for target in _targets(route)
        ),
        maximum_attempts=integers.clamp(route.max_attempts, minimum=1),
        stages=tuple(
            tables.Stage(
                number=number,
                service=stage.service,
                after=tuple(stage.after),
                result_bytes=integers.clamp(stage.bytes),
            )
            for number, stage in enumerate(route.stages)
        ),
        public=route.public,
        by_prefix=route.sticky,
        maximum_gap_s=route.gap_aim_ms / MILLISECONDS_PER_SECOND,
    )


def _service(service: _Service) -> tables.Service:
    return tables.Service(
        name=service.name,
        health_path=service.health_path,
        maximum_connections=integers.clamp(service.max_conns),
        stage=None if service.pieces is None else _stage_capacity(service.pieces),
        engine=None
        if service.engine is None
        else tables.EngineCapacity(
            concurrency=integers.clamp(service.engine.slot_count),
            memory_tokens=integers.clamp(service.engine.kv_capacity),
        ),
    )


def _stage_capacity(pieces: _Pieces) -> tables.StageCapacity:
    return tables.StageCapacity(
        concurrency=integers.clamp(pieces.slot_count, minimum=1),
        queue=integers.clamp(pieces.queue),
        batch=integers.clamp(pieces.batch, minimum=1),
        call_s=pieces.call_ms / MILLISECONDS_PER_SECOND,
        item_s=pieces.item_ms / MILLISECONDS_PER_SECOND,
        result_memory_bytes=pieces.room_mb * BYTES_PER_MB,
        result_ttl_s=pieces.handle_s,
        link_bytes_per_s=pieces.link_mbps * BYTES_PER_MB / BITS_PER_BYTE,
    )
