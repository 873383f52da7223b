"""State of one caller's request in an entry host."""

import asyncio
import dataclasses

from bitternlever.catalog import tables as catalog_tables
from bitternlever.gateway import dialect
from bitternlever.messages import fleet
from bitternlever.transport import exchange
from bitternlever.workload import outstanding


@dataclasses.dataclass(slots=True)
class Context:
    """A request, its matched route and its progress.

    ``head`` has the parsed headers. Times are on the boot clock. After
    ``first_event_deadline_s`` the caller no longer waits for the start of an answer.
    ``engine_zone`` is the zone of the upstream that the request will probably be sent
    to, ``results_zone`` the one of the large results of its stages, empty without any.
    ``stage_round`` counts how often the stages were started; ``stage_times`` has
    the numbers and durations of those that ended. ``stages_done_s`` and
    ``first_piece_s`` are when the stages were done and when the first piece of the
    answer arrived. ``sent`` is set once any byte of the request itself was sent to an
    upstream that did not report it as not run, ``sent_to`` is the last upstream to
    which any was sent. ``priority`` is passed on to an engine.
    ``may_have_run_on`` and ``tried`` are upstreams, ``connections`` those on which the
    request was sent. ``fingerprints`` are the names of the request once they are
    needed. ``origin`` is where its stream began, None before that; ``recording`` is
    done once a control process has recorded it. ``reading`` is the prompt of the
    present attempt at an engine.
    """

    arrived_s: float
    deadline_s: float
    first_event_deadline_s: float
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
    results_zone: str = ""
    inputs: tuple[str, ...] = ()
    stage_round: int = 0
    stage_times: list[tuple[int, float]] = dataclasses.field(default_factory=list)
    stages_done_s: float | None = None
    first_piece_s: float | None = None
    sent: bool = False
    sent_to: str = ""
    attempts: int = 0
    may_have_run_on: set[str] = dataclasses.field(default_factory=set)
    tried: set[str] = dataclasses.field(default_factory=set)
    connections: list[exchange.Connection] = dataclasses.field(default_factory=list)
    fingerprints: tuple[str, ...] | None = None
    origin: fleet.StreamOrigin | None = None
    recording: asyncio.Task | None = None
    reading: outstanding.Reading | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """An answer that this host itself produces; with 503 the request has not run.

    ``retry_after_s`` tells the caller when to retry, None if it should not.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class InputsLost:
    """Results of earlier stages are gone; the request itself has not run."""

    reason: str
