"""Which host batches which group of stage upstreams, and which group gets new work.

Every host derives the same owners from the same lists, by rendezvous hashing over the
ready hosts. A host owns a second group only if all others own one: its link carries
the work, the calls and the results of all callers of its group. Where links differ in
rate, hosts with the wider ones are the owners.
"""

import bisect
import collections
import itertools
import math

from bitternlever.batching import batcher, groups
from bitternlever.gateway import state, sync, tables as gateway_tables
from bitternlever.messages import fleet
from bitternlever.routing import affinity
from bitternlever.transport import links

SUSPECT_DURATION_S = 1.5
"""How long an unresponsive host is skipped; control has noticed its loss by then."""

ZONE_WAIT_SHARE = 0.25
"""Part of the time that work has to spare; reports of the waits are upper bounds."""

WIDE_HOSTS = 8
"""Hosts at least whose links count as wide; some services have a few groups each."""

WIDE_SHARE = 0.75
"""Links with this part of the rate of the narrowest of these are as good."""

WHOLE_SERVICE = ""
"""The group of a service that one host batches alone."""


def divided(
    tables: gateway_tables.GatewayTables, now: float, service: str
) -> tuple[groups.Group, ...]:
    """Return the groups of a service's usable upstreams; none if it is not divided.

    It is not while a host is listed that knows no groups, and would fill all upstreams.
    """
    rates = [host.link_bytes_per_s for host in tables.hosts.listed]
    declared = None if tables.catalog is None else tables.catalog.services.get(service)
    if None in rates or not rates or declared is None or declared.stage is None:
        return ()
    zone_by_upstream = {
        upstream.upstream: upstream.zone
        for upstream in sync.usable_upstreams(tables, now, service)
    }
    count = groups.needed(declared.stage, len(zone_by_upstream), wide_rate(rates))
    return groups.divide(zone_by_upstream, count) if count > 1 else ()


def owner(
    gateway: state.Gateway, now: float, service: str, group: str = WHOLE_SERVICE
) -> str:
    """Return the link of the host that batches a group of a service."""
    tables = gateway.tables
    ready = [
        host
        for host in tables.hosts.listed
        if host.state is fleet.HostState.READY
        and not is_suspect(gateway, now, host.link)
        and not _is_cut_off(gateway, host)
    ]
    candidates = {host.link: host.zone for host in ready}
    wide = wide_links({host.link: host.link_bytes_per_s for host in ready})
    if group == WHOLE_SERVICE:
        return affinity.owner(service, wide) or gateway.settings.link
    all_groups = _all_groups(tables, now)
    basis = (candidates, wide, all_groups)
    if tables.group_owners.basis != basis:
        tables.group_owners = gateway_tables.GroupOwners(
            basis=basis, links=assign(all_groups, candidates, wide)
        )
    return (
        tables.group_owners.links.get((service, group))
        or affinity.owner(service, wide)
        or gateway.settings.link
    )


def _all_groups(
    tables: gateway_tables.GatewayTables, now: float
) -> dict[tuple[str, str], frozenset[str]]:
    """Return the zones of all groups by service and name; none of a whole service."""
    services = [] if tables.catalog is None else tables.catalog.services.values()
    zones_by_group = {}
    for declared in services:
        if declared.stage is None:
            continue
        parts = divided(tables, now, declared.name)
        zones_by_group |= {(declared.name, part.name): part.zones for part in parts}
        if not parts:
            zones_by_group[declared.name, WHOLE_SERVICE] = frozenset()
    return zones_by_group


def wide_rate(rates: list[float]) -> float:
    """Return the rate that the links of the hosts with the widest ones have."""
    widest = sorted(rates, reverse=True)
    return widest[min(WIDE_HOSTS, len(widest)) - 1]


def wide_links(rate_by_link: dict[str, float | None]) -> frozenset[str]:
    """Return the hosts with the widest links; all if they are alike or unknown."""
    rates = list(rate_by_link.values())
    if not rates or None in rates:
        return frozenset(rate_by_link)
    bound = WIDE_SHARE * wide_rate(rates)
    return frozenset(link for link, rate in rate_by_link.items() if rate >= bound)


def assign(
    zones_by_group: dict[tuple[str, str], frozenset[str]],
    zone_by_link: dict[str, str],
    wide: frozenset[str],
) -> dict[tuple[str, str], str]:
    """Return the link of the host that batches each group.

    Those in ``wide`` come first, and of these the hosts of the group's zones, so that
    its calls do not cross zones. That of a whole service depends on nothing else, as
    hosts of version 0.9 know no groups.
    """
    whole = {
        group: affinity.owner(group[0], wide)
        for group in zones_by_group
        if group[1] == WHOLE_SERVICE
    }
    assigned = {group: link for group, link in whole.items() if link is not None}
    taken = collections.Counter(assigned.values())
    for group in sorted(zones_by_group.keys() - whole.keys()):
        zones = zones_by_group[group]
        free = _first_free(zone_by_link, zones, wide, taken)
        fewest = min((taken[link] for link in free), default=0)
        link = affinity.owner(
            "/".join(group), [link for link in free if taken[link] == fewest]
        )
        if link is not None:
            assigned[group] = link
            taken[link] += 1
    return assigned


def _first_free(
    zone_by_link: dict[str, str],
    zones: frozenset[str],
    wide: frozenset[str],
    taken: collections.Counter,
) -> list[str]:
    """Return the hosts for a group: wide and near ones without a group, or others."""
    free_wide = [link for link in zone_by_link if link in wide and not taken[link]]
    free_near = [
        link for link, zone in zone_by_link.items() if zone in zones and not taken[link]
    ]
    both = [link for link in free_near if link in wide]
    return both or free_wide or free_near or list(zone_by_link)


def choose_group(
    tables: gateway_tables.GatewayTables,
    now: float,
    work: fleet.StageWork,
    draw: float,
) -> str:
    """Return the group that gets new work: its preferred zone's, or a short queue.

    Reports of the queues are some 0.3 s old, and all hosts read the same ones: a random
    queue, the shorter the likelier, keeps hosts from choosing the same one together.
    ``draw`` from 0 to 1 selects it.
    """
    parts = divided(tables, now, work.service)
    if not parts:
        return WHOLE_SERVICE
    drawn = _drawn(tables, now, work.service, parts, draw)
    near = groups.of_zone(parts, work.preferred_zone)
    if not near:
        return drawn.name
    home = min(
        near, key=lambda part: reported_wait_s(tables, now, work.service, part.name)
    )
    home_wait_s = reported_wait_s(tables, now, work.service, home.name)
    wait_s = reported_wait_s(tables, now, work.service, drawn.name)
    if home_wait_s - wait_s > _bearable_wait_s(tables, work):
        return drawn.name
    return home.name


def _drawn(
    tables: gateway_tables.GatewayTables,
    now: float,
    service: str,
    parts: tuple[groups.Group, ...],
    draw: float,
) -> groups.Group:
    """Return the group drawn; each full call that one waits longer makes it rarer."""
    declared = tables.catalog.services[service].stage
    waits_s = [reported_wait_s(tables, now, service, part.name) for part in parts]
    call_s = max(batcher.MINIMUM_CALL_S, batcher.full_call_s(declared))
    shortest_s = min(waits_s)
    weights = [
        len(part.upstreams) * math.exp((shortest_s - wait_s) / call_s)
        for part, wait_s in zip(parts, waits_s, strict=True)
    ]
    bounds = list(itertools.accumulate(weights))
    return parts[min(bisect.bisect(bounds, draw * bounds[-1]), len(parts) - 1)]


def _bearable_wait_s(
    tables: gateway_tables.GatewayTables, work: fleet.StageWork
) -> float:
    """Return how much longer work may wait for its results to stay in their zone."""
    declared = tables.catalog.services[work.service].stage
    items = min(len(work.pieces), declared.batch)
    spare_s = work.objective_left_s - declared.call_s - declared.item_s * items
    if spare_s < 0:
        return batcher.LATE_ZONE_WAIT_S
    return ZONE_WAIT_SHARE * spare_s


def reported_wait_s(
    tables: gateway_tables.GatewayTables, now: float, service: str, group: str
) -> float:
    """Return the expected wait at a group, as its host reported it."""
    reported = tables.loads.get((service, group))
    return 0.0 if reported is None else gateway_tables.expected_wait_s(reported, now)


def mark_suspect(gateway: state.Gateway, now: float, link: str) -> None:
    """Skip an unresponsive host for a while."""
    if link != gateway.settings.link:
        gateway.tables.suspects[link] = now + SUSPECT_DURATION_S


def is_suspect(gateway: state.Gateway, now: float, link: str) -> bool:
    """Return whether a host is skipped: one that is heard of again is not."""
    until_s = gateway.tables.suspects.get(link)
    if until_s is None or until_s <= now:
        return False
    return not heard_since(gateway, now, link, until_s - SUSPECT_DURATION_S)


def heard_since(gateway: state.Gateway, now: float, link: str, since_s: float) -> bool:
    """Return whether a host has sent anything to this one since a time."""
    silent_s = links.silent_s(gateway.links, link, now)
    return silent_s is not None and now - silent_s > since_s


def knows_groups(tables: gateway_tables.GatewayTables, link: str) -> bool:
    """Return whether a host understands work with a group and with shared inputs."""
    return any(
        host.link == link and host.link_bytes_per_s is not None
        for host in tables.hosts.listed
    )


def _is_cut_off(gateway: state.Gateway, host: fleet.HostAnnouncement) -> bool:
    if host.link == gateway.settings.link:
        return gateway.tables.reachability.cut_off
    return host.cut_off
