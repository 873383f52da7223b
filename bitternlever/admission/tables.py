"""Tables of admission: the stages that wait for an upstream."""

import dataclasses

from bitternlever.pipelines import tables as pipeline_tables

Kind = tuple[str, str, str | None]
"""A kind of work: pool, task and model."""


@dataclasses.dataclass(slots=True, order=True)
class Entry:
    """A waiting stage in its lane; ``rank`` orders it, ``number`` breaks ties."""

    rank: tuple[float, ...]
    number: int
    ready: pipeline_tables.ReadyStage = dataclasses.field(compare=False)


@dataclasses.dataclass(slots=True)
class WorkQueue:
    """Stages that wait for one kind of work.

    ``lanes`` are heaps by level and workspace; ``turns`` is each workspace's virtual
    time, in seconds of service over its weight; ``clock_s`` is the virtual time of the
    last launch.
    """

    lanes: dict[tuple[int, str], list[Entry]] = dataclasses.field(default_factory=dict)
    turns: dict[str, float] = dataclasses.field(default_factory=dict)
    clock_s: float = 0.0


@dataclasses.dataclass(slots=True)
class AdmissionTables:
    """Ready stages by request id and stage index, and the queues that order them.

    ``stages`` names the waiting stages of each request, ``waiting`` counts them by
    workspace. ``entries`` holds the number of each stage's one valid entry,
    ``unserved`` since when a kind of work has had no upstream.
    """

    ready: dict[tuple[str, int], pipeline_tables.ReadyStage] = dataclasses.field(
        default_factory=dict,
    )
    entries: dict[tuple[str, int], int] = dataclasses.field(default_factory=dict)
    stages: dict[str, set[int]] = dataclasses.field(default_factory=dict)
    waiting: dict[str, int] = dataclasses.field(default_factory=dict)
    queues: dict[Kind, WorkQueue] = dataclasses.field(default_factory=dict)
    unserved: dict[Kind, float] = dataclasses.field(default_factory=dict)
    next_entry: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """A refusal at once: nothing was run and nothing will be.

    ``status`` is 429 for a workspace above its share and 503 for a lack of capacity.
    """

    status: int
    detail: str
    retry_after_s: float
