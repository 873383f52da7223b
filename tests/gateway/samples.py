"""Sample catalogs, routes, contexts and announcements for tests."""

import dataclasses

from bitternlever.catalog import tables
from bitternlever.gateway import context as gateway_context, dialect
from bitternlever.messages import fleet

LIMITS = tables.ClientLimits(16_384, 4_194_304, 3.0, 15.0)


def route(**changes) -> tables.Route:
    """Return a plain idempotent route with the given fields changed."""
    plain = tables.Route(
        name="r",
        host="h.example",
        path_prefix="/a/",
        repeatability=tables.Repeatability.IDEMPOTENT,
        resumable=False,
        timeout_s=2.0,
        objective_s=0.5,
        priority=1,
        targets=(tables.Target("plain", 1.0),),
        maximum_attempts=2,
        stages=(),
        public=False,
        by_prefix=False,
        maximum_gap_s=0.3,
    )
    return dataclasses.replace(plain, **changes)


def stage_service(name="encode", **changes) -> tables.Service:
    """Return a stage service of one call at a time."""
    capacity = tables.StageCapacity(
        concurrency=1,
        queue=2,
        batch=4,
        call_s=0.15,
        item_s=0.03,
        result_memory_bytes=20_000_000,
        result_ttl_s=4.0,
        link_bytes_per_s=1e9,
    )
    return tables.Service(name, "", 100, stage=dataclasses.replace(capacity, **changes))


def catalog(**changes) -> tables.Catalog:
    """Return a catalog with one plain route and the workspace of ``key``."""
    fields = {
        "version": 1,
        "routes": {"h.example": [route()]},
        "services": {"plain": tables.Service("plain", "", 100)},
        "limits": LIMITS,
        "workspaces": {"key": tables.Workspace("w", None)},
    }
    fields.update(changes)
    return tables.Catalog(**fields)


def head(**changes) -> dialect.RequestHead:
    """Return the head of a request without a prompt."""
    plain = dialect.RequestHead(
        request="id",
        deadline_s=None,
        api_key="key",
        prompt=(),
        prompt_tokens=0,
        output_tokens=0,
        pieces=(),
        piece_key="",
        last_event=None,
    )
    return dataclasses.replace(plain, **changes)


def context(of_route=None, arrived_s=100.0, **changes) -> gateway_context.Context:
    """Return the context of a request that arrived at the given time."""
    of_route = of_route or route()
    fields = {
        "arrived_s": arrived_s,
        "deadline_s": arrived_s + of_route.timeout_s,
        "first_event_deadline_s": arrived_s + of_route.timeout_s,
        "head": head(),
        "raw_headers": (),
        "method": b"GET",
        "target": b"/a/x",
        "body": b"",
        "route": of_route,
        "service": "plain",
        "workspace": None,
        "priority": of_route.priority,
        "catalog": catalog(),
    }
    fields.update(changes)
    return gateway_context.Context(**fields)


def host_announcement(name="one", **changes) -> fleet.HostAnnouncement:
    """Return the announcement of a ready entry host."""
    fields = {
        "host": name,
        "address": f"{name}:80",
        "link": f"tcp://{name}:1",
        "zone": "a",
        "region": "r",
        "started_ms": 1_000,
        "sequence": 1,
        "state": fleet.HostState.READY,
    }
    fields.update(changes)
    return fleet.HostAnnouncement(**fields)


def upstream_status(name="u1", **changes) -> fleet.UpstreamStatus:
    """Return the status of a ready upstream."""
    fields = {
        "upstream": name,
        "service": "plain",
        "address": f"{name}:80",
        "zone": "a",
        "slots": 2,
        "state": fleet.UpstreamState.READY,
        "started_ms": 1_000,
        "sequence": 1,
        "software_version": "v1",
    }
    fields.update(changes)
    return fleet.UpstreamStatus(**fields)
