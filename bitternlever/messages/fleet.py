"""Messages between entry hosts, and between entry hosts and control.

Times named ``sent_s`` are the sender's own clock and come back unchanged.
"""

import enum

import msgspec

from bitternlever.messages import consensus


class HostState(enum.Enum):
    """Whether an entry host takes new callers."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


class HostWord(msgspec.Struct, frozen=True, array_like=True):
    """What an entry host says of itself.

    ``address`` is where callers connect, ``link`` where other hosts do. The start
    (Unix milliseconds) and ``number`` order the words of one host.
    """

    host: str
    address: str
    link: str
    zone: str
    region: str
    started_ms: int
    number: int
    state: HostState


class ServiceLoad(msgspec.Struct, frozen=True, array_like=True):
    """What waits at a stage service, as the host says that batches it.

    ``backlog_s`` is how long all that waits will take, ``on_time_s`` what of it can
    still meet its objective, ``wait_s`` how long work on time has waited lately, with a
    margin. ``age_s`` counts from the telling until the message was sent.
    """

    service: str
    backlog_s: float
    on_time_s: float
    wait_s: float
    age_s: float = 0.0


class HostBeat(msgspec.Struct, tag=True, frozen=True):
    """An entry host's heartbeat to each control process.

    ``catalog_version`` is the version in force there; ``hosts_revision`` is what it has
    from this control process's run. ``loads`` are of the services that it batches.
    """

    word: HostWord
    sent_s: float
    catalog_version: int | None
    control_run: str
    hosts_revision: int
    loads: list[ServiceLoad] = []


class HostBeatAnswer(msgspec.Struct, tag=True, frozen=True):
    """Control's answer; ``current`` is set by a leader that holds its lease.

    Then ``catalog_version`` was the newest acknowledged version after the beat was
    sent. ``hosts`` is left out where the host already has that revision; a leader
    passes on the ``loads`` that batching hosts told.
    """

    sent_s: float
    control_run: str
    current: bool
    catalog_version: int | None
    controls: list[str]
    hosts_revision: int
    hosts: list[HostWord] | None = None
    loads: list[ServiceLoad] = []


class CatalogPushed(msgspec.Struct, tag=True, frozen=True):
    """A committed catalog, as the operator sent it."""

    version: int
    body: bytes


class UpstreamState(enum.Enum):
    """What an upstream says of itself, or what is known of its end."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class UpstreamWord(msgspec.Struct, frozen=True, array_like=True):
    """What an upstream said last; its start and call number order its words.

    ``started_ms`` is 0 where the word does not tell the start. ``age_s`` counts from
    its arrival at control until the message was sent.
    """

    upstream: str
    service: str
    address: str
    zone: str
    slots: int
    state: UpstreamState
    started_ms: int
    number: int
    cold_s: float = 0.0
    age_s: float = 0.0


class UpstreamsTold(msgspec.Struct, tag=True, frozen=True):
    """Upstreams whose word is new, or that were heard again."""

    words: list[UpstreamWord]


class JoinRequest(msgspec.Struct, tag=True, frozen=True):
    """A control replica that is no member asks to take part, by way of any member."""

    replica: consensus.ReplicaId
    zone: str


class StagePiece(msgspec.Struct, frozen=True, array_like=True):
    """One piece of a stage: its number and the results that it reads."""

    number: int
    inputs: list[str]


class StageWork(msgspec.Struct, tag=True, frozen=True):
    """Ask the host that batches a service for the pieces of one stage.

    ``work`` names this piece of work; it is sent again until it is answered. ``depth``
    counts the stages of the request that are done; of ``priority`` the smallest goes
    first.
    ``objective_left_s`` and ``deadline_left_s`` are what the stage may take, with
    what follows it already subtracted. ``feeds_stage`` is set where another stage reads
    the results, ``tell_begin`` where the asker waits for the begin. ``home_zone`` is
    where its inputs lie, or
    where its results will be read; empty where that does not matter.
    """

    work: str
    request: str
    service: str
    stage: int
    key: str
    pieces: list[StagePiece]
    priority: int
    depth: int
    objective_left_s: float
    deadline_left_s: float
    result_bytes: int
    workspace: str
    feeds_stage: bool = False
    tell_begin: bool = False
    home_zone: str = ""


class StageAccepted(msgspec.Struct, tag=True, frozen=True):
    """The work stands in the queue of the host that batches its service.

    Hosts of version 0.2 tell no ``load``.
    """

    work: str
    load: ServiceLoad | None = None


class StageBegun(msgspec.Struct, tag=True, frozen=True):
    """All pieces of the work are in calls to upstreams."""

    work: str


class StageDone(msgspec.Struct, tag=True, frozen=True):
    """The results of all pieces, in the order of the pieces."""

    work: str
    handles: list[str]


class StageRefused(msgspec.Struct, tag=True, frozen=True):
    """The work is given up; ``retry_after_s`` tells when to come back."""

    work: str
    reason: str
    retry_after_s: float
    lost_input: bool = False


class StageCancelled(msgspec.Struct, tag=True, frozen=True):
    """Nobody waits for this work any more."""

    work: str


class StageFreed(msgspec.Struct, tag=True, frozen=True):
    """Results of a service that nobody reads any more."""

    service: str
    handles: list[str]


Message = (
    HostBeat
    | HostBeatAnswer
    | CatalogPushed
    | UpstreamsTold
    | JoinRequest
    | StageWork
    | StageAccepted
    | StageBegun
    | StageDone
    | StageRefused
    | StageCancelled
    | StageFreed
)
