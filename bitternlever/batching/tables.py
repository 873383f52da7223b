"""The queue of one stage service on the host that batches it."""

import dataclasses

from bitternlever.batching import estimates
from bitternlever.catalog import tables as catalog_tables
from bitternlever.messages import fleet


@dataclasses.dataclass(slots=True)
class Work:
    """All pieces of one stage of one request, and what became of them.

    Times are of this host's clock. ``waiting`` numbers the pieces that no call
    carries at present. ``late`` is set once it was begun past its objective.
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


@dataclasses.dataclass(slots=True)
class Result:
    """Room that a result takes up at its maker until it is freed or expires.

    ``began_s`` is when its call was sent; ``late`` whether its work had missed its
    objective by then.
    """

    size: int
    began_s: float
    expires_s: float
    late: bool = False


@dataclasses.dataclass(slots=True)
class Server:
    """An upstream of the service as this host sees it.

    ``unknown_bytes`` is room taken by results that this host has not made, as it was
    estimated at ``unknown_since_s``.
    """

    upstream: str
    address: str
    zone: str
    calls: int = 0
    busy_until_s: float = 0.0
    resume_s: float = 0.0
    slowness: float = 1.0
    failures: int = 0
    reserved: int = 0
    reserved_late: int = 0
    unknown_bytes: float = 0.0
    unknown_since_s: float = 0.0
    results: dict[str, Result] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class Item:
    """One piece in a call: the work's name and the index of the piece in it."""

    work: str
    index: int


@dataclasses.dataclass(slots=True)
class Call:
    """A call to an upstream that carries pieces of several works."""

    number: int
    server: Server
    items: list[Item]
    sent_s: float
    expected_s: float


@dataclasses.dataclass(slots=True)
class Batcher:
    """The queue of one service.

    ``unread`` lists results that nobody will read, by the address of their maker.
    ``held_s`` is the mean time from the begin of a call to the end of its results,
    ``on_time_share`` the mean part of a full call that work on time takes, ``wait``
    the wait of work that was on time when it came.
    """

    service: str
    capacity: catalog_tables.StageCapacity
    works: dict[str, Work] = dataclasses.field(default_factory=dict)
    servers: dict[str, Server] = dataclasses.field(default_factory=dict)
    calls: dict[int, Call] = dataclasses.field(default_factory=dict)
    next_call: int = 0
    held_s: float = 0.5
    on_time_share: float = 0.0
    wait: estimates.Estimate = dataclasses.field(
        default_factory=lambda: estimates.Estimate(0.0),
    )
    unread: dict[str, list[str]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class ItemDone:
    """What an upstream says of one piece: a result, or why there is none."""

    handle: str | None
    reason: str = ""
    lost_input: bool = False
    no_room: bool = False
    too_late: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Finished:
    """A work that has ended: its results, or a refusal."""

    work: Work
    refusal: fleet.StageRefused | None = None
