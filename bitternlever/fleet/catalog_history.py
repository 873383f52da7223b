"""Recent catalogs, and what has changed from each of them to the newest."""

import dataclasses

from bitternlever.catalog import changes
from bitternlever.messages import fleet

MAXIMUM_VERSIONS = 16
"""More changes than are made in the time that a host may be behind."""

MAXIMUM_BYTES = 8_000_000
"""Bounds the bodies that are kept; the newest one is, whatever its size."""


@dataclasses.dataclass(slots=True)
class History:
    """The bodies of recent catalogs by version, the newest last.

    ``changes_to_newest`` are those computed so far, by the version they start from;
    None stands for an empty body.
    """

    bodies: dict[int, bytes] = dataclasses.field(default_factory=dict)
    changes_to_newest: dict[int | None, fleet.CatalogChanged] = dataclasses.field(
        default_factory=dict
    )


def record(history: History, version: int, body: bytes) -> None:
    """Add the newest catalog if it is not known yet; drop the oldest at the bounds."""
    if version in history.bodies:
        return
    history.bodies[version] = body
    history.changes_to_newest.clear()
    size = sum(map(len, history.bodies.values()))
    for oldest in list(history.bodies)[:-1]:
        if len(history.bodies) <= MAXIMUM_VERSIONS and size <= MAXIMUM_BYTES:
            return
        size -= len(history.bodies.pop(oldest))


def change(history: History, base_version: int | None) -> fleet.CatalogChanged:
    """Return the change to the newest catalog; all of it from an unknown base."""
    if base_version not in history.bodies:
        base_version = None
    known = history.changes_to_newest.get(base_version)
    if known is not None:
        return known
    version, body = next(reversed(history.bodies.items()))
    base = b"" if base_version is None else history.bodies[base_version]
    computed = fleet.CatalogChanged(
        version=version,
        base_version=base_version,
        change=changes.encode(base, body),
        digest=changes.digest(body),
    )
    history.changes_to_newest[base_version] = computed
    return computed
