"""State of admission: the stages that wait for an upstream."""

import dataclasses

from bitternlever.pipelines import tables as pipeline_tables

WorkKind = tuple[str, str, str | None]
"""A kind of work: pool, task and model."""


@dataclasses.dataclass(slots=True, order=True)
class QueueEntry:
    """A waiting stage in a lane, ordered by ``rank``; ``number`` breaks ties."""

    rank: tuple[float, ...]
    number: int
    ready: pipeline_tables.ReadyStage = dataclasses.field(compare=False)


@dataclasses.dataclass(slots=True)
class WorkQueue:
    """Waiting stages of one kind of work.

    ``lanes`` contains a heap for each level and workspace. A workspace's virtual time
    in ``workspace_virtual_times`` is its seconds of service divided by its weight;
    ``virtual_time_s`` is the virtual time of the latest launch.
    """

    lanes: dict[tuple[int, str], list[QueueEntry]] = dataclasses.field(
        default_factory=dict
    )
    workspace_virtual_times: dict[str, float] = dataclasses.field(default_factory=dict)
    virtual_time_s: float = 0.0


@dataclasses.dataclass(slots=True)
class AdmissionTables:
    """Waiting stages by request id and stage index, and the queues that order them.

    ``ready_by_request`` contains the indexes of the waiting stages of each request and
    ``waiting_by_workspace`` their number for each workspace. ``valid_entries`` contains
    the number of the one valid entry of each stage; the queues may contain older ones.
    ``unserved_since_s`` is the time since which a kind of work has had no upstream.
    """

    ready: dict[tuple[str, int], pipeline_tables.ReadyStage] = dataclasses.field(
        default_factory=dict,
    )
    valid_entries: dict[tuple[str, int], int] = dataclasses.field(default_factory=dict)
    ready_by_request: dict[str, set[int]] = dataclasses.field(default_factory=dict)
    waiting_by_workspace: dict[str, int] = dataclasses.field(default_factory=dict)
    queues: dict[WorkKind, WorkQueue] = dataclasses.field(default_factory=dict)
    unserved_since_s: dict[WorkKind, float] = dataclasses.field(default_factory=dict)
    last_entry_number: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """A refusal on arrival: no part of the request was or will be run.

    ``status`` is 429 if the workspace has too many waiting stages, 503 for a lack of
    capacity.
    """

    status: int
    detail: str
    retry_after_s: float
