"""Types of a decoded and validated catalog."""

import dataclasses
import enum


class Repeatability(enum.Enum):
    """Whether a request of a route may run more than once."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(slots=True, frozen=True)
class StageCapacity:
    """Capacity of one upstream of a stage service.

    ``concurrency`` is the number of calls that run at once, ``queue`` the number that
    may wait. The declared duration of a call is ``call_s`` plus ``item_s`` for each of
    its items, at most ``batch``. Stored results use at most ``result_memory_bytes`` and
    expire ``result_ttl_s`` after their call.
    """

    concurrency: int
    queue: int
    batch: int
    call_s: float
    item_s: float
    result_memory_bytes: float
    result_ttl_s: float
    link_bytes_per_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class EngineCapacity:
    """Capacity of one model engine: concurrent requests and tokens in memory."""

    concurrency: int
    memory_tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """A set of interchangeable upstreams."""

    name: str
    health_path: str
    maximum_connections: int
    stage: StageCapacity | None = None
    engine: EngineCapacity | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Stage:
    """Work that must be done before a request of a route can run.

    ``after`` lists the numbers of the stages whose results it needs.
    """

    number: int
    service: str
    after: tuple[int, ...]
    result_bytes: int


@dataclasses.dataclass(slots=True, frozen=True)
class Target:
    """A service of a route, with its share of the traffic as a relative weight."""

    service: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Destination and handling of requests for one host and path prefix.

    ``timeout_s`` is the maximum time for which a request is kept. ``objective_s`` is
    the time within which callers expect an answer or a stream's first event. Priority
    0 is the most urgent. Requests to a ``public`` route need no API key. A stream of a
    ``resumable`` route can be continued after its last whole event.
    """

    name: str
    host: str
    path_prefix: str
    repeatability: Repeatability
    resumable: bool
    timeout_s: float
    objective_s: float
    priority: int
    targets: tuple[Target, ...]
    maximum_attempts: int
    stages: tuple[Stage, ...]
    public: bool
    by_prefix: bool
    maximum_gap_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class ClientLimits:
    """Limits on the size of callers' requests and on slow or idle connections."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Workspace:
    """A workspace; its priority, if set, overrides the route's."""

    name: str
    priority: int | None


@dataclasses.dataclass(slots=True)
class Catalog:
    """One version of the configuration.

    ``workspaces`` is keyed by API key; None means that no API key is required.
    """

    version: int
    routes: dict[str, list[Route]]
    services: dict[str, Service]
    limits: ClientLimits
    workspaces: dict[str, Workspace] | None


@dataclasses.dataclass(slots=True, frozen=True)
class CatalogFault:
    """An error in a refused configuration: the path to it and the reason."""

    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}"
