"""Tests of route matching, priorities and versions of the catalog."""

import pytest

from bitternlever.catalog import machine, routes, tables
from tests.gateway import samples


def make_catalog(*routes_served: tables.Route) -> tables.Catalog:
    by_host: dict[str, list[tables.Route]] = {}
    for route in routes_served:
        by_host.setdefault(route.host, []).append(route)
    for host_routes in by_host.values():
        host_routes.sort(key=lambda route: -len(route.path_prefix))
    return samples.catalog(routes=by_host)


def test_the_longest_prefix_that_begins_the_path_wins():
    catalog = make_catalog(
        samples.route(name="short", path_prefix="/a/"),
        samples.route(name="long", path_prefix="/a/b/"),
    )

    assert routes.match(catalog, "h.example", "/a/b/c").name == "long"
    assert routes.match(catalog, "h.example", "/a/c").name == "short"


@pytest.mark.parametrize(
    ("host", "path"),
    [("other.example", "/a/b"), ("h.example", "/b/a/"), ("h.example", "/a")],
)
def test_no_route_of_another_host_or_path_is_found(host, path):
    catalog = make_catalog(samples.route(path_prefix="/a/"))

    assert routes.match(catalog, host, path) is None


def test_services_are_chosen_by_weight():
    route = samples.route(
        targets=(tables.Target("one", 90), tables.Target("two", 10)),
    )

    assert routes.choose_service(route, 0.0) == "one"
    assert routes.choose_service(route, 0.899) == "one"
    assert routes.choose_service(route, 0.901) == "two"
    assert routes.choose_service(route, 0.999) == "two"


def test_a_service_without_weight_is_never_chosen():
    route = samples.route(targets=(tables.Target("none", 0), tables.Target("all", 1)))

    assert {routes.choose_service(route, n / 100) for n in range(100)} == {"all"}


def test_a_workspaces_priority_goes_before_the_routes():
    route = samples.route(priority=2)

    assert routes.effective_priority(route, None) == 2
    assert routes.effective_priority(route, tables.Workspace("w", None)) == 2
    assert routes.effective_priority(route, tables.Workspace("w", 0)) == 0


@pytest.mark.parametrize(
    ("objective_s", "gap_s", "timeout_s", "expected_s"),
    [(0.2, 0.1, 9.0, 2.0), (1.0, 0.3, 9.0, 4.0), (0.2, 0.5, 9.0, 4.0), (2, 1, 3, 3)],
)
def test_callers_wait_the_longest_of_three_times_within_the_timeout(
    objective_s, gap_s, timeout_s, expected_s
):
    route = samples.route(
        repeatability=tables.Repeatability.STREAM,
        objective_s=objective_s,
        maximum_gap_s=gap_s,
        timeout_s=timeout_s,
    )

    assert routes.caller_wait_limit_s(route) == expected_s


def test_only_a_higher_version_replaces_the_current_one():
    state = machine.CatalogState()

    assert machine.apply(state, machine.PutCatalog(3, b"three")).changed
    assert not machine.apply(state, machine.PutCatalog(3, b"other")).changed
    assert not machine.apply(state, machine.PutCatalog(2, b"two")).changed
    assert (state.version, state.body) == (3, b"three")
    assert machine.apply(state, machine.PutCatalog(4, b"four")).version == 4


def test_a_snapshot_restores_version_and_bytes():
    state = machine.CatalogState()
    state_machine = machine.create(state)
    state_machine.apply(machine.encode_command(machine.PutCatalog(7, b"\x00\xff")))
    other = machine.CatalogState()

    machine.create(other).restore(state_machine.snapshot())

    assert (other.version, other.body) == (7, b"\x00\xff")


def test_among_requests_of_equal_workspaces_the_routes_priority_decides():
    urgent, calm = samples.route(priority=0), samples.route(priority=2)
    first, second = tables.Workspace("f", 0), tables.Workspace("s", 1)

    ranks = [
        routes.rank(urgent, first),
        routes.rank(calm, first),
        routes.rank(urgent, second),
        routes.rank(calm, second),
    ]

    assert ranks == sorted(set(ranks))
    assert routes.rank(urgent, None) < routes.rank(calm, None)
