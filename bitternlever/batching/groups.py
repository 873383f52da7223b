"""Groups of a service's upstreams, each of which one host fills.

The traffic of a host that batches stage work grows with the upstreams that it fills. A
service with more than a host's link can carry is therefore divided, along availability
zones. No service is divided further than needed, since work waits for an idle upstream
of its own group. All hosts derive the same groups from the same upstreams. All
functions are pure.
"""

import dataclasses
import math

from bitternlever.catalog import tables as catalog_tables

ITEM_BYTES = 300
"""A piece in a call: its ids, and eight inputs of some 28 bytes."""

LINK_SHARE = 0.4
"""Part of a host's link for calls; as much again carries work, answers and callers."""

MINIMUM_UPSTREAMS = 3
"""Fewer leave work waiting while other groups are idle."""


@dataclasses.dataclass(slots=True, frozen=True)
class Group:
    """The upstreams of a service that one host fills, and their zones."""

    name: str
    zones: frozenset[str]
    upstreams: frozenset[str]


def needed(
    capacity: catalog_tables.StageCapacity, upstreams: int, link_bytes_per_s: float
) -> int:
    """Return into how many groups a service is divided.

    The links of so many hosts carry full calls to all its upstreams.
    """
    full_call_s = capacity.call_s + capacity.item_s * capacity.batch
    if full_call_s <= 0 or link_bytes_per_s <= 0:
        return 1
    bytes_per_s = ITEM_BYTES * capacity.batch * capacity.concurrency / full_call_s
    count = math.ceil(upstreams * bytes_per_s / (LINK_SHARE * link_bytes_per_s))
    return max(1, min(count, upstreams // MINIMUM_UPSTREAMS))


def divide(zone_by_upstream: dict[str, str], count: int) -> tuple[Group, ...]:
    """Divide the upstreams of a service into groups of equal size, in a fixed order."""
    ordered = sorted(zone_by_upstream, key=lambda each: (zone_by_upstream[each], each))
    parts = [
        ordered[len(ordered) * number // count : len(ordered) * (number + 1) // count]
        for number in range(count)
    ]
    return tuple(
        Group(
            name=str(number),
            zones=frozenset(zone_by_upstream[upstream] for upstream in part),
            upstreams=frozenset(part),
        )
        for number, part in enumerate(parts)
        if part
    )


def find(groups: tuple[Group, ...], name: str) -> Group | None:
    """Return a group by its name, the last one if there are fewer groups now."""
    named = (group for group in groups if group.name == name)
    return next(named, groups[-1] if groups else None)


def of_zone(groups: tuple[Group, ...], zone: str) -> list[Group]:
    """Return the groups that have upstreams in a zone."""
    return [group for group in groups if zone in group.zones]
