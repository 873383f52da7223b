"""Route matching: find the route of a request, its service and its priority."""

from bitternlever.catalog import tables

MINIMUM_CALLER_WAIT_S = 2.0
CALLER_WAIT_OBJECTIVES = 4.0
CALLER_WAIT_GAPS = 8.0
"""Callers abandon a stream without events after the longest of these three times."""

PRIORITY_LEVELS = 10
"""Priorities are 0 to 9, the range that engines accept."""


def match(catalog: tables.Catalog, host: str, path: str) -> tables.Route | None:
    """Return the route of ``host`` with the longest prefix that matches ``path``.

    ``path`` has no query string. A host's routes are sorted by descending length of
    their prefixes.
    """
    for route in catalog.routes.get(host, ()):
        if path.startswith(route.path_prefix):
            return route
    return None


def choose_service(route: tables.Route, draw: float) -> str:
    """Return a service chosen by weight; ``draw`` is uniform in [0, 1)."""
    total = sum(target.weight for target in route.targets)
    point = draw * total
    for target in route.targets:
        point -= target.weight
        if point < 0:
            return target.service
    return route.targets[-1].service


def has_target(catalog: tables.Catalog, service: str) -> bool:
    """Return whether requests of some route go to a service."""
    return any(
        target.service == service
        for host_routes in catalog.routes.values()
        for route in host_routes
        for target in route.targets
    )


def final_stages(route: tables.Route) -> list[tables.Stage]:
    """Return the stages whose results no other stage of the route needs."""
    followed = {number for stage in route.stages for number in stage.after}
    return [stage for stage in route.stages if stage.number not in followed]


def effective_priority(route: tables.Route, workspace: tables.Workspace | None) -> int:
    """Return the priority of a request; 0 is the most urgent."""
    if workspace is not None and workspace.priority is not None:
        return workspace.priority
    return route.priority


def rank(route: tables.Route, workspace: tables.Workspace | None) -> int:
    """Return a request's scheduling rank under scarce capacity; lower runs first.

    Requests are ordered by effective priority, then by the priority of their route.
    """
    lowest = PRIORITY_LEVELS - 1
    return effective_priority(route, workspace) * PRIORITY_LEVELS + min(
        route.priority, lowest
    )


def caller_wait_limit_s(route: tables.Route) -> float:
    """Return how long callers wait for an answer, or for a stream's first event."""
    if route.repeatability is not tables.Repeatability.STREAM:
        return route.timeout_s
    return min(
        route.timeout_s,
        max(
            MINIMUM_CALLER_WAIT_S,
            CALLER_WAIT_OBJECTIVES * route.objective_s,
            CALLER_WAIT_GAPS * route.maximum_gap_s,
        ),
    )
