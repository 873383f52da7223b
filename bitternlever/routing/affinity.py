"""Rendezvous hashing: the same key finds the same place on every host.

Load: a few long prompt parts are shared by many requests, and an engine that has read
a part need not read it again. All hosts send requests with the same shared parts to
the same engine, without a word between them; a bound on the load lets a hot part
spill to the next engine in the key's own order.
"""

import hashlib
from collections.abc import Iterable, Mapping

HASH_BYTES = 8

LOAD_FACTOR = 1.5
"""An engine may carry this much more than the mean before a key moves on."""

LOAD_ALLOWANCE = 3.0
"""Requests above the mean that an engine may always carry; keeps low loads sticky."""


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in this key's own order."""
    return sorted(names, key=lambda name: _weight(key, name), reverse=True)


def owner(key: str, names: Iterable[str]) -> str | None:
    """Return the first name in this key's order, None without names."""
    return max(names, key=lambda name: _weight(key, name), default=None)


def bounded(key: str, loads: Mapping[str, float]) -> list[str]:
    """Return the names in the key's order, those above the load bound last."""
    order = ranked(key, loads)
    if not order:
        return order
    bound = LOAD_FACTOR * sum(loads.values()) / len(loads) + LOAD_ALLOWANCE
    return sorted(order, key=lambda name: loads[name] > bound)


def _weight(key: str, name: str) -> bytes:
    digest = hashlib.blake2b(digest_size=HASH_BYTES)
    digest.update(key.encode())
    digest.update(b"\0")
    digest.update(name.encode())
    return digest.digest()
