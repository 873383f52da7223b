"""One caller's request on its way through an entry host."""

import dataclasses

from bitternlever.catalog import tables as catalog_tables
from bitternlever.gateway import dialect


@dataclasses.dataclass(slots=True)
class Context:
    """A request, what it was matched with, and what has become of it.

    Times are of the boot clock. Past ``first_event_s`` the caller no longer waits for
    the beginning of an answer. ``engine_zone`` is the zone of the upstream that will
    probably take it. ``stage_round`` counts how often the stages were begun;
    ``stage_times`` are the numbers and durations of those that ended,
    ``staged_s`` and ``first_piece_s`` are when they were done and when the first piece
    of the answer came. ``sent`` is set once any byte of the request itself has left
    for an upstream that did not say otherwise. ``priority`` is what an engine is told.
    """

    arrived_s: float
    deadline_s: float
    first_event_s: float
    head: dialect.RequestHead
    raw_headers: dialect.RawHeaders
    method: bytes
    target: bytes
    body: bytes
    route: catalog_tables.Route
    service: str
    workspace: catalog_tables.Workspace | None
    priority: int
    catalog: catalog_tables.Catalog
    engine_zone: str = ""
    inputs: tuple[str, ...] = ()
    stage_round: int = 0
    stage_times: list[tuple[int, float]] = dataclasses.field(default_factory=list)
    staged_s: float | None = None
    first_piece_s: float | None = None
    sent: bool = False
    attempts: int = 0
    ran_at: set[str] = dataclasses.field(default_factory=set)
    tried: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """An answer of this host's own; with 503 the request has not run.

    ``retry_after_s`` tells the caller when to come back, None where not to.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class InputsLost:
    """Results of earlier stages are gone; the request itself has not run."""

    reason: str
