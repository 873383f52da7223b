"""Records of callers, upstreams and the operator of a run; times in seconds."""

import dataclasses
import hashlib


@dataclasses.dataclass(slots=True)
class Call:
    """A caller's request to a host and its answer; ``key`` is the API key.

    ``status`` is 0 if no complete answer was received. ``sealed`` is set if the
    answer has the seal header of an upstream.
    """

    request: str
    kind: str
    host: str
    key: str
    sent_s: float
    status: int = 0
    body: bytes = b""
    sealed: bool = False
    ended_s: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Execution:
    """An upstream ran a request."""

    request: str
    upstream: str
    at_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class LimitedArrival:
    """A request arrived at a start of an upstream that names a rate limit."""

    start: str
    at_s: float
    limit_per_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """A request arrived at an upstream, which may not run or answer it."""

    request: str
    upstream: str
    at_s: float


@dataclasses.dataclass(slots=True)
class Evacuation:
    """A zone was evacuated and taken back; times are None until they are known.

    ``ordered_s`` is when its first order was sent, and ``restoring_s`` when the first
    order was sent that takes the zone back. ``unclear`` is set if an order to evacuate
    had no answer: it may take effect late, even after the zone was taken back.
    """

    zone: str
    ordered_s: float
    acknowledged_s: float | None = None
    restoring_s: float | None = None
    restored_s: float | None = None
    unclear: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class OrderAnswer:
    """The answer of control to an order about a zone; status 0 is none."""

    zone: str
    method: str
    status: int


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigWrite:
    """A config of the operator was acknowledged."""

    version: int
    sent_s: float
    acknowledged_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigRead:
    """The operator read a config."""

    version: int
    sent_s: float
    answered_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Exit:
    """A process exited; if a fault requested it, ``duration_s`` after that."""

    process: str
    code: int
    requested: bool
    duration_s: float


@dataclasses.dataclass(slots=True)
class Records:
    """All records of a run.

    Periods are pairs of start and end. ``fault_periods`` are listed by host and
    ``drain_periods`` by upstream, from the acknowledgement of its drain to its restart.
    ``soak_pauses`` are periods in which the soak's own process did not run, and with it
    the callers, relays and upstreams. ``revoked_keys`` has the time at which the
    revocation of an API key was acknowledged; ``recovered_s`` is the end of the
    recovery period, None if the fleet was not ready by then.
    """

    calls: list[Call] = dataclasses.field(default_factory=list)
    executions: list[Execution] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    limited_arrivals: list[LimitedArrival] = dataclasses.field(default_factory=list)
    evacuations: list[Evacuation] = dataclasses.field(default_factory=list)
    order_answers: list[OrderAnswer] = dataclasses.field(default_factory=list)
    config_writes: list[ConfigWrite] = dataclasses.field(default_factory=list)
    config_reads: list[ConfigRead] = dataclasses.field(default_factory=list)
    exits: list[Exit] = dataclasses.field(default_factory=list)
    revoked_keys: dict[str, float] = dataclasses.field(default_factory=dict)
    drain_periods: list[tuple[str, float, float]] = dataclasses.field(
        default_factory=list
    )
    fault_periods: list[tuple[str, float, float]] = dataclasses.field(
        default_factory=list
    )
    soak_pauses: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    recovered_s: float | None = None


def body_of(request: str) -> bytes:
    """Return the body that an upstream answers to a request."""
    return hashlib.sha256(request.encode()).hexdigest().encode() * 8
