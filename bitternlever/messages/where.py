"""The question where a request would go, and the answer of an entry host."""

import msgspec

PATH = "/where"
"""The path of the question, on the metrics address of an entry host."""


class Question(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request as its caller would send it; ``tried`` upstreams have refused it."""

    target: str
    host: str
    method: str = "GET"
    headers: list[tuple[str, str]] = []
    body: str = ""
    tried: list[str] = []


class Candidate(msgspec.Struct, frozen=True):
    """An upstream of the service; ``ruled_out`` says why it is not a candidate.

    An engine is predicted to begin its answer after ``predicted_s`` and would read
    ``unread_tokens``; a plain upstream is predicted to answer. Both are None if that is
    not known. ``age_s`` is the age of its last heartbeat, ``load_age_s`` that of what
    control told of the work of all hosts there, None if it told nothing.
    """

    upstream: str
    zone: str
    age_s: float
    running: int
    ruled_out: str = ""
    predicted_s: float | None = None
    unread_tokens: int | None = None
    load_age_s: float | None = None


class StageGroup(msgspec.Struct, frozen=True):
    """A group of a stage's upstreams, and the host that fills it.

    ``share`` is the part of equal work that goes there. ``wait_s`` was reported
    ``age_s`` ago, None if no host has reported.
    """

    group: str
    link: str
    zones: list[str]
    share: float
    wait_s: float
    age_s: float | None


class StageView(msgspec.Struct, frozen=True):
    """A stage: its pieces, the groups that they may go to, the likeliest one first."""

    stage: int
    service: str
    pieces: int
    cost_s: float
    expected_wait_s: float
    backlog_s: float
    groups: list[StageGroup]
    ruled_out: dict[str, str]


class Refused(msgspec.Struct, frozen=True):
    """The answer of this host itself; ``retry_after_s`` is when to come back."""

    status: int
    reason: str
    retry_after_s: float | None = None


class Way(msgspec.Struct, frozen=True):
    """Where a request goes if it is sent to a service of its route.

    ``share`` is the part of the route's requests that are. ``upstream`` is empty if it
    is refused, and ``then`` are those that get it if the ones before refuse it.
    """

    service: str
    share: float
    cause: str
    refused: Refused | None = None
    upstream: str = ""
    zone: str = ""
    then: list[str] = []
    stages: list[StageView] = []
    candidates: list[Candidate] = []
    left_out: int = 0


class Explanation(msgspec.Struct, frozen=True):
    """What the host would do; ``handed_over_to`` is the host that would serve it."""

    request: str
    host: str
    cause: str
    version: int | None = None
    catalog_age_s: float | None = None
    route: str = ""
    evacuated_zones: list[str] = []
    handed_over_to: str = ""
    refused: Refused | None = None
    ways: list[Way] = []
