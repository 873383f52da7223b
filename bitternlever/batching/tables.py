"""The queue of one stage service on the host that batches it."""

import dataclasses
import math

from bitternlever.batching import estimates
from bitternlever.catalog import tables as catalog_tables
from bitternlever.messages import fleet


@dataclasses.dataclass(slots=True)
class Work:
    """A work item: all pieces of one stage of one request, with their results.

    Times are on this host's clock. ``waiting`` has the indexes of the pieces that are
    in no call. ``late`` is set once the item was found too late for its objective while
    a call was filled. Of its calls, ``lost_calls`` lost their upstream, ``lost_alone``
    of these without other work, and ``timed_out_calls`` were not answered in time.
    """

    message: fleet.StageWork
    link: str
    arrived_s: float
    objective_s: float
    deadline_s: float
    waiting: list[int]
    late: bool = False
    handles: dict[int, str] = dataclasses.field(default_factory=dict)
    failures: int = 0
    lost_calls: int = 0
    lost_alone: int = 0
    timed_out_calls: int = 0


@dataclasses.dataclass(slots=True)
class Result:
    """Memory that a result occupies on its upstream until it is freed or expires.

    ``late`` is set if its work had missed its objective when the call was sent and
    feeds another stage.
    """

    size_bytes: int
    call_sent_s: float
    expires_s: float
    late: bool = False


@dataclasses.dataclass(slots=True)
class Upstream:
    """An upstream of the service as seen by this host.

    ``slowness`` is the ratio of actual to declared call duration, ``overhead_s`` the
    mean difference of both: what a call spends on its way and waiting for its inputs.
    ``foreign_bytes`` is memory occupied by results unknown to this host, as estimated
    at ``foreign_estimated_s``. Until ``requested_pause_until_s`` it takes no call,
    because it asked for a pause or because of its rate limit, which allows
    ``calls_per_s``. ``recent_handles`` are those of its last answers in their order,
    with the piece that each was produced for. ``started_ms`` tells starts under one id
    apart.
    """

    upstream_id: str
    address: str
    zone: str
    calls: int = 0
    busy_until_s: float = 0.0
    paused_until_s: float = 0.0
    requested_pause_until_s: float = 0.0
    calls_per_s: float = math.inf
    slowness: float = 1.0
    overhead_s: float = 0.0
    failures: int = 0
    reserved_bytes: int = 0
    reserved_late_bytes: int = 0
    foreign_bytes: float = 0.0
    foreign_estimated_s: float = 0.0
    results: dict[str, Result] = dataclasses.field(default_factory=dict)
    recent_handles: dict[str, str] = dataclasses.field(default_factory=dict)
    started_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class PieceRef:
    """One piece in a call: the id of its work item and its index there."""

    work: str
    index: int


@dataclasses.dataclass(slots=True)
class Call:
    """A call to an upstream with pieces of one or more work items.

    ``pieces`` has a name for the piece of each item, which is the same if it is run
    again. The upstream is expected to begin with it at ``begins_s``; it has not begun
    if ``behind_failed``, as the call before it was lost or not answered.
    """

    number: int
    upstream: Upstream
    items: list[PieceRef]
    sent_s: float
    expected_s: float
    begins_s: float = 0.0
    behind_failed: bool = False
    pieces: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Batcher:
    """The queue of one group of a service's upstreams; of all if it has no name.

    ``abandoned_handles`` lists results that nothing will read, by the address of their
    producer. ``mean_result_retention_s`` is the moving average of the time from the
    start of a call until its results are freed, ``on_time_share`` the mean part of a
    full call that on-time work takes, ``wait_estimate`` the wait of work that was on
    time when it arrived. ``travel_s`` is what calls and their answers take on this
    host's link.
    """

    service: str
    capacity: catalog_tables.StageCapacity
    works: dict[str, Work] = dataclasses.field(default_factory=dict)
    upstreams: dict[str, Upstream] = dataclasses.field(default_factory=dict)
    calls: dict[int, Call] = dataclasses.field(default_factory=dict)
    next_call: int = 0
    mean_result_retention_s: float = 0.5
    on_time_share: float = 0.0
    wait_estimate: estimates.Estimate = dataclasses.field(
        default_factory=lambda: estimates.Estimate(0.0),
    )
    abandoned_handles: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    group: str = ""
    travel_s: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class ItemOutcome:
    """An upstream's outcome for one piece: a result, or the reason for its absence."""

    handle: str | None
    reason: str = ""
    lost_input: bool = False
    memory_full: bool = False
    too_late: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Finished:
    """A work item that has ended: its results, or a refusal."""

    work: Work
    refusal: fleet.StageRefused | None = None
