"""What the answers of upstreams may make a process hold, all connections together.

The load: upstreams that send without end, each within the bounds of its connection, to
many requests at once. At the bound the connection that holds the most is ended, so that
sound answers, which hold little, go on.
"""

import dataclasses
from collections.abc import Hashable

DEFAULT_MEMORY_BYTES = 128_000_000
"""Of a process whose settings state no limit."""

MEMORY_SHARE = 0.125
"""The callers' connections have twice as much; the rest is the process's own."""

MINIMUM_BYTES = 12_000_000
"""The largest answer that is relayed fits once, beside others."""

MAXIMUM_UNCOUNTED_BYTES = 4_096
"""A connection that holds less is not counted: most answers are as small."""


@dataclasses.dataclass(slots=True)
class Held:
    """The bytes that connections hold; those that hold little are left out."""

    maximum_bytes: int
    sizes: dict[Hashable, int] = dataclasses.field(default_factory=dict)
    total_bytes: int = 0


def create(memory_bytes: int = DEFAULT_MEMORY_BYTES) -> Held:
    """Return the state for a process with a limit on its memory."""
    return Held(max(MINIMUM_BYTES, int(memory_bytes * MEMORY_SHARE)))


def hold(held: Held, connection: Hashable, size: int) -> Hashable | None:
    """Record what a connection holds; return one to end if all hold too much."""
    held.total_bytes -= held.sizes.pop(connection, 0)
    if size <= MAXIMUM_UNCOUNTED_BYTES:
        return None
    held.sizes[connection] = size
    held.total_bytes += size
    if held.total_bytes <= held.maximum_bytes:
        return None
    return max(held.sizes, key=held.sizes.__getitem__)
