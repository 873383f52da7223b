"""Messages between entry hosts, and between entry hosts and control.

``sent_s`` is a reading of the sender's clock, which the receiver returns unchanged.
"""

import enum

import msgspec

from bitternlever.messages import consensus


class HostState(enum.Enum):
    """Whether an entry host accepts new callers."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


class HostAnnouncement(msgspec.Struct, frozen=True, array_like=True):
    """An entry host's announcement of itself.

    Callers connect to ``address``, other hosts to ``link``. Announcements of one host
    are ordered by its start time in Unix milliseconds, then by ``sequence``. One
    that is ``cut_off`` reaches no upstream. ``link_bytes_per_s`` is the rate of its
    network link; None in version 0.9, which knows neither groups of upstreams nor the
    inputs of :class:`StageWork`. A host that ``accepts`` no new connections of callers
    at present is not named to them; version 0.11 does not say so.
    """

    host: str
    address: str
    link: str
    zone: str
    region: str
    started_ms: int
    sequence: int
    state: HostState
    cut_off: bool = False
    link_bytes_per_s: float | None = None
    accepts: bool = True


class ServiceLoad(msgspec.Struct, frozen=True, array_like=True):
    """Backlog of a stage service, reported by the host that batches its calls.

    ``backlog_s`` is the time needed for all waiting work, ``on_time_backlog_s`` the
    time needed for the part that can still meet its objective. ``wait_s`` is the recent
    wait of such work, plus a margin. ``age_s`` is the report's age when the message was
    sent. ``group`` names the upstreams of the service that the host fills; empty for
    all of them.
    """

    service: str
    backlog_s: float
    on_time_backlog_s: float
    wait_s: float
    age_s: float = 0.0
    group: str = ""


class UpstreamState(enum.Enum):
    """State that an upstream announced; GONE also if its end is known otherwise."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class UpstreamStatus(msgspec.Struct, frozen=True, array_like=True):
    """Latest status of an upstream.

    Statuses of one upstream are ordered by ``started_ms``, then by ``sequence``, the
    number of the upstream's call. ``started_ms`` is 0 if the upstream did not send its
    start time. ``age_s`` is the time from the arrival at control until the message was
    sent. ``software_version`` is empty if the upstream named none.
    """

    upstream: str
    service: str
    address: str
    zone: str
    slots: int
    state: UpstreamState
    started_ms: int
    sequence: int
    cold_s: float = 0.0
    age_s: float = 0.0
    software_version: str = ""


class UpstreamPause(msgspec.Struct, frozen=True, array_like=True):
    """A start of an upstream that asked a host to send it nothing for some time.

    ``left_s`` is the rest of that time and ``age_s`` the time since it was asked for,
    both when the message was sent.
    """

    upstream: str
    started_ms: int
    left_s: float
    age_s: float


class UpstreamRateLimit(msgspec.Struct, frozen=True, array_like=True):
    """The requests per second that a start of an upstream takes from all hosts.

    ``per_s`` is None if it no longer names a limit. ``age_s`` is the time since it last
    said so, when the message was sent. An upstream that falls over if it rejects more
    requests in a second names that number, too: ``rejections_per_s``.
    """

    upstream: str
    started_ms: int
    per_s: float | None
    age_s: float
    rejections_per_s: float | None = None


class EngineWork(msgspec.Struct, frozen=True, array_like=True):
    """What a host has sent to a start of an engine and not seen end.

    Of its prompts, ``unread_tokens`` had no event yet; all its running requests may
    occupy ``memory_tokens``. Since its last report, ``sample_tokens`` were read there
    in ``sample_s``.
    """

    upstream: str
    started_ms: int
    unread_tokens: int
    memory_tokens: int
    sample_tokens: int = 0
    sample_s: float = 0.0


class EngineLoad(msgspec.Struct, frozen=True, array_like=True):
    """What all hosts together have at a start of an engine.

    It takes ``pace_us`` microseconds to read a token at present, 0 if that is unknown.
    """

    upstream: str
    started_ms: int
    unread_tokens: int
    memory_tokens: int
    pace_us: float


class Evacuation(msgspec.Struct, frozen=True, array_like=True):
    """The availability zones whose upstreams get no new work.

    The highest ``revision`` counts.
    """

    revision: int = 0
    zones: frozenset[str] = frozenset()


class PromptPart(msgspec.Struct, frozen=True, array_like=True):
    """Whether requests with a part in their prompt are refused.

    They are with an odd ``revision``. ``left_s`` is the time until the record lapses
    unless such requests come, ``seen_age_s`` the time since one came to the sender.
    """

    part: str
    revision: int
    left_s: float
    seen_age_s: float | None = None


class PromptCrash(msgspec.Struct, frozen=True, array_like=True):
    """A request that lost its upstream before its answer had really begun.

    ``parts`` are those of its prompt that others may share, in order, each with the
    time since the sender last saw an answer to a prompt with it.
    """

    request: str
    upstream: str
    started_ms: int
    parts: list[tuple[str, float | None]]
    age_s: float


class SoundPart(msgspec.Struct, frozen=True, array_like=True):
    """A suspected part of a prompt, and the time since an answer to such a prompt."""

    part: str
    age_s: float


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """Where the stream of a request began: at which service and software version.

    ``left_s`` is how long it may still be taken up when the message is sent.
    """

    request: str
    service: str
    software_version: str
    left_s: float


class CatalogProgress(msgspec.Struct, frozen=True, array_like=True):
    """The version of the newest catalog that a host has received, in force or not.

    With ``wanted`` it asks for what has changed since then.
    """

    received: int | None
    wanted: bool = False


class HostHeartbeat(msgspec.Struct, tag="HostBeat", frozen=True):
    """Heartbeat of an entry host, sent to each control process.

    ``catalog_version`` is the version in force on the host. ``hosts_revision`` is the
    revision of the newest host list that it received from the control process
    incarnation ``control_incarnation``. ``loads`` covers the services whose calls it
    batches. ``ended`` lists upstreams that this incarnation of control may not know to
    have ended, ``pauses`` those that asked this host for a pause. ``crashes`` are new
    to this incarnation of control; ``sound`` answers its list of suspects.
    ``rate_limits`` are those of upstreams that have changed since it last replied, and
    ``streams`` those that began since then. ``engine_work`` is all of the host's.
    ``catalog_progress`` is None in version 0.11, which reads no
    :class:`CatalogChanged`.
    """

    announcement: HostAnnouncement = msgspec.field(name="word")
    sent_s: float
    catalog_version: int | None
    control_incarnation: str = msgspec.field(name="control_run")
    hosts_revision: int
    loads: list[ServiceLoad] = []
    ended: list[UpstreamStatus] = []
    pauses: list[UpstreamPause] = []
    crashes: list[PromptCrash] = []
    quarantine: list[PromptPart] = []
    sound: list[SoundPart] = []
    rate_limits: list[UpstreamRateLimit] = []
    streams: list[StreamOrigin] = []
    engine_work: list[EngineWork] = []
    catalog_progress: CatalogProgress | None = None


class HostHeartbeatReply(msgspec.Struct, tag="HostBeatAnswer", frozen=True):
    """Reply of a control process to a host's heartbeat.

    ``current`` is set by a leader with a valid leader lease: ``catalog_version`` was
    then the newest acknowledged version at a time after the heartbeat was sent.
    ``hosts`` is omitted if the host already has that revision. A leader also forwards
    the ``loads`` that batching hosts reported and the ``pauses`` that hosts were asked
    for. ``suspects`` are the prompt parts of which the host should report answers,
    ``trials`` those with which it may let one request pass. ``rate_limits`` are all
    that the control process knows, ``evacuation`` what it has applied from the log.
    At intervals a leader sends the ``engine_loads`` of all hosts together.
    """

    sent_s: float
    control_incarnation: str = msgspec.field(name="control_run")
    current: bool
    catalog_version: int | None
    controls: list[str]
    hosts_revision: int
    hosts: list[HostAnnouncement] | None = None
    loads: list[ServiceLoad] = []
    pauses: list[UpstreamPause] = []
    quarantine: list[PromptPart] = []
    suspects: list[str] = []
    trials: list[str] = []
    rate_limits: list[UpstreamRateLimit] = []
    evacuation: Evacuation = Evacuation()
    engine_loads: list[EngineLoad] = []


class CatalogPushed(msgspec.Struct, tag=True, frozen=True):
    """A committed catalog, as the operator sent it."""

    version: int
    body: bytes


class CatalogChanged(msgspec.Struct, tag=True, frozen=True):
    """What has changed from one committed catalog to another, see ``catalog.changes``.

    The change starts from an empty body if ``base_version`` is None. ``digest`` is that
    of the body it leads to.
    """

    version: int
    base_version: int | None
    change: bytes
    digest: bytes


class UpstreamStatusUpdate(msgspec.Struct, tag="UpstreamsTold", frozen=True):
    """Statuses of upstreams that changed or were reported again."""

    statuses: list[UpstreamStatus] = msgspec.field(name="words")


class StreamBegun(msgspec.Struct, tag=True, frozen=True):
    """Request to a control process to record where a stream began."""

    call: int
    origin: StreamOrigin


class StreamRecorded(msgspec.Struct, tag=True, frozen=True):
    """Reply to :class:`StreamBegun`: the control process has the record in memory."""

    call: int


class StreamOriginRequested(msgspec.Struct, tag=True, frozen=True):
    """Request to a control process: where did the stream of a request begin?"""

    call: int
    request: str


class StreamOriginReply(msgspec.Struct, tag=True, frozen=True):
    """Reply to :class:`StreamOriginRequested`; None if the process does not know."""

    call: int
    origin: StreamOrigin | None = None


class JoinRequest(msgspec.Struct, tag=True, frozen=True):
    """Request of a control replica to join the group, sent to any member."""

    replica: consensus.ReplicaId
    zone: str


class StagePiece(msgspec.Struct, frozen=True, array_like=True):
    """One piece of a stage: its number and the handles of the results that it reads."""

    number: int
    inputs: list[str]


class StageWork(msgspec.Struct, tag=True, frozen=True):
    """Request to the host that batches a service: run the pieces of one stage.

    ``work`` identifies the request, which is resent until it is answered. ``depth`` is
    the number of completed stages of the caller's request. Lower values of ``priority``
    run first.

    ``objective_left_s`` and ``deadline_left_s`` are the time left for this stage, after
    subtracting the time for the stages that follow. ``feeds_stage`` is set if another
    stage reads the results, ``notify_start`` if the sender waits for a
    :class:`StageWorkStarted`. ``preferred_zone`` is the zone where the inputs are
    stored or the results will be read; empty if the zone does not matter.
    ``fingerprints`` name the whole request, as in :class:`PromptCrash`. ``group`` names
    the upstreams that run it, empty for all of the service. ``inputs`` are read by each
    piece, in addition to its own; empty for hosts that do not know groups.
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
    notify_start: bool = msgspec.field(name="tell_begin", default=False)
    preferred_zone: str = msgspec.field(name="home_zone", default="")
    fingerprints: list[str] = []
    group: str = ""
    inputs: list[str] = []


class StageAccepted(msgspec.Struct, tag=True, frozen=True):
    """The work was queued on the host that batches its service.

    Hosts of version 0.2 do not send ``load``.
    """

    work: str
    load: ServiceLoad | None = None


class StageWorkStarted(msgspec.Struct, tag="StageBegun", frozen=True):
    """All pieces of the work have been sent to upstreams."""

    work: str


class StageDone(msgspec.Struct, tag=True, frozen=True):
    """The results of all pieces, in the order of the pieces."""

    work: str
    handles: list[str]


class StageRefused(msgspec.Struct, tag=True, frozen=True):
    """The work was refused or abandoned; retry after ``retry_after_s``."""

    work: str
    reason: str
    retry_after_s: float
    lost_input: bool = False


class StageCancelled(msgspec.Struct, tag=True, frozen=True):
    """The results of this work are no longer needed; stop working on it."""

    work: str


class StageResultsFreed(msgspec.Struct, tag="StageFreed", frozen=True):
    """Results stored by a service that are no longer needed."""

    service: str
    handles: list[str]


Message = (
    HostHeartbeat
    | HostHeartbeatReply
    | CatalogPushed
    | CatalogChanged
    | UpstreamStatusUpdate
    | StreamBegun
    | StreamRecorded
    | StreamOriginRequested
    | StreamOriginReply
    | JoinRequest
    | StageWork
    | StageAccepted
    | StageWorkStarted
    | StageDone
    | StageRefused
    | StageCancelled
    | StageResultsFreed
)
