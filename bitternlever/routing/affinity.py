"""Rendezvous hashing: every host maps a key to the same target without coordination.

Many requests share a few long prompt parts, and an engine that has processed a part
has it cached. All hosts send requests with the same shared parts to the same engine;
a bound on the load moves the excess of a hot key to the next engine in its order.
"""

import hashlib
from collections.abc import Iterable, Mapping

HASH_BYTES = 8

LOAD_FACTOR = 1.5
"""Load bound as a multiple of the mean load, beyond which a key spills over."""

LOAD_ALLOWANCE_REQUESTS = 3.0
"""Added to the load bound; keeps keys on their engine at low load."""


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in the rendezvous order of a key."""
    return sorted(names, key=lambda name: _rendezvous_score(key, name), reverse=True)


def owner(key: str, names: Iterable[str]) -> str | None:
    """Return the first name in the rendezvous order of a key, None without names."""
    return max(names, key=lambda name: _rendezvous_score(key, name), default=None)


def ranked_within_load_bound(key: str, loads: Mapping[str, float]) -> list[str]:
    """Return the names in the rendezvous order, those above the load bound last."""
    order = ranked(key, loads)
    if not order:
        return order
    bound = LOAD_FACTOR * sum(loads.values()) / len(loads) + LOAD_ALLOWANCE_REQUESTS
    return sorted(order, key=lambda name: loads[name] > bound)


def _rendezvous_score(key: str, name: str) -> bytes:
    digest = hashlib.blake2b(digest_size=HASH_BYTES)
    digest.update(key.encode())
    digest.update(b"\0")
    digest.update(name.encode())
    return digest.digest()
