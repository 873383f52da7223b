"""Find the route of a request, and the service that takes it."""

from bitternlever.catalog import tables

LEAST_PATIENCE_S = 2.0
PATIENCE_OBJECTIVES = 4.0
PATIENCE_GAPS = 8.0
"""Callers abandon a stream without an event after the longest of these."""

PRIORITY_LEVELS = 10
"""Priorities are 0 to 9, as an engine takes them."""


def match(catalog: tables.Catalog, host: str, path: str) -> tables.Route | None:
    """Return the route of ``host`` with the longest prefix that begins ``path``.

    ``path`` is without its query. Routes of a host stand longest prefix first.
    """
    for route in catalog.routes.get(host, ()):
        if path.startswith(route.path_prefix):
            return route
    return None


def choose_service(route: tables.Route, draw: float) -> str:
    """Return a service by weight; ``draw`` is uniform in [0, 1)."""
    total = sum(target.weight for target in route.targets)
    point = draw * total
    for target in route.targets:
        point -= target.weight
        if point < 0:
            return target.service
    return route.targets[-1].service


def final_stages(route: tables.Route) -> list[tables.Stage]:
    """Return the stages that no other stage of the route follows."""
    followed = {number for stage in route.stages for number in stage.after}
    return [stage for stage in route.stages if stage.number not in followed]


def effective_priority(route: tables.Route, workspace: tables.Workspace | None) -> int:
    """Return the rank of a request; 0 is the most urgent."""
    if workspace is not None and workspace.priority is not None:
        return workspace.priority
    return route.priority


def rank(route: tables.Route, workspace: tables.Workspace | None) -> int:
    """Return a request's place in the order of scarce work; smaller goes first.

    The workspace's priority comes before the route's, which decides among equals.
    """
    least = PRIORITY_LEVELS - 1
    return effective_priority(route, workspace) * PRIORITY_LEVELS + min(
        route.priority, least
    )


def patience_s(route: tables.Route) -> float:
    """Return how long a caller waits for an answer, or for a stream's first event."""
    if route.repeatability is not tables.Repeatability.STREAM:
        return route.timeout_s
    return min(
        route.timeout_s,
        max(
            LEAST_PATIENCE_S,
            PATIENCE_OBJECTIVES * route.objective_s,
            PATIENCE_GAPS * route.maximum_gap_s,
        ),
    )
