"""What callers, upstreams and the operator have seen in a run; times in seconds."""

import dataclasses
import hashlib


@dataclasses.dataclass(slots=True)
class Call:
    """A caller's request: which host, which key, and what came back when.

    ``status`` is 0 where no whole answer came.
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
class Run:
    """An upstream ran a request."""

    request: str
    upstream: str
    at_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Put:
    """The operator's config was acknowledged."""

    version: int
    sent_s: float
    acknowledged_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Read:
    """The operator read a version."""

    version: int
    sent_s: float
    answered_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Exit:
    """A process ended: at which code, and whether a fault had asked for it."""

    process: str
    code: int
    asked: bool
    took_s: float


@dataclasses.dataclass(slots=True)
class Records:
    """Everything that was seen; ``disturbed`` are spans by host, ``revoked`` by key.

    ``drained`` tells when an upstream's word of its drain was acknowledged, and until
    when it held. ``stalls`` are spans in which the soak itself did not run, and with it
    callers, relays and upstreams.
    """

    calls: list[Call] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    puts: list[Put] = dataclasses.field(default_factory=list)
    reads: list[Read] = dataclasses.field(default_factory=list)
    exits: list[Exit] = dataclasses.field(default_factory=list)
    revoked: dict[str, float] = dataclasses.field(default_factory=dict)
    drained: list[tuple[str, float, float]] = dataclasses.field(default_factory=list)
    disturbed: list[tuple[str, float, float]] = dataclasses.field(default_factory=list)
    stalls: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    quiet_since_s: float | None = None


def body_of(request: str) -> bytes:
    """Return what an upstream answers to a request."""
    return hashlib.sha256(request.encode()).hexdigest().encode() * 8
