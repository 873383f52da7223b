"""The types of a catalog: what an operator has configured, decoded and checked."""

import dataclasses
import enum


class Repeatability(enum.Enum):
    """Whether a request of a route may run more than once."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(slots=True, frozen=True)
class StageCapacity:
    """What one upstream of a stage service takes.

    ``concurrency`` counts calls at work, ``queue`` calls that may wait behind them.
    A call costs ``call_s`` and ``item_s`` for each of its at most ``batch`` items.
    Results take up at most ``room_bytes`` and expire ``result_s`` after their call.
    """

    concurrency: int
    queue: int
    batch: int
    call_s: float
    item_s: float
    room_bytes: float
    result_s: float
    link_bytes_per_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class EngineCapacity:
    """What one model engine takes: requests at once and tokens in memory."""

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

    ``after`` numbers the stages whose results it needs.
    """

    number: int
    service: str
    after: tuple[int, ...]
    result_bytes: int


@dataclasses.dataclass(slots=True, frozen=True)
class Target:
    """A service of a route, with its share of the traffic."""

    service: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Where requests of one host and path prefix go, and how they are treated.

    ``timeout_s`` bounds how long a request is kept, ``objective_s`` is the time to
    an answer, or to a stream's first event, that callers expect. Priority 0 is the
    most urgent.
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
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Workspace:
    """A workspace; its priority, where set, goes before the route's."""

    name: str
    priority: int | None


@dataclasses.dataclass(slots=True)
class Catalog:
    """One version of the configuration.

    ``workspaces`` maps each API key; None means that no keys are asked for.
    """

    version: int
    routes: dict[str, list[Route]]
    services: dict[str, Service]
    limits: ClientLimits
    workspaces: dict[str, Workspace] | None


@dataclasses.dataclass(slots=True, frozen=True)
class CatalogFault:
    """Why a configuration is refused: the path of the fault and the reason."""

    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}"
