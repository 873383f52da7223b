"""Tables of requests, their ready stages and their attempts on upstreams."""

import dataclasses
import enum
from typing import Any

from bitternlever.messages import manifest


class Phase(enum.Enum):
    """Where a request stands in its life on this host."""

    CLAIMING = "claiming"
    READY = "ready"
    STARTING = "starting"
    RUNNING = "running"
    ANSWERING = "answering"
    WATCHING = "watching"


@dataclasses.dataclass(slots=True)
class Request:
    """One request on this host.

    ``callers`` are the open exchanges that wait for its answer, each with the offset
    up to which it was streamed. ``results`` are whole stage outputs by stage name.
    """

    request_id: str
    workspace: str
    pipeline: manifest.Pipeline
    kind: manifest.Kind
    digest: str
    body: bytes
    input: Any
    journaled: bool
    arrived_s: float
    deadline_s: float
    phase: Phase
    stage_index: int = 0
    results: dict[str, Any] = dataclasses.field(default_factory=dict)
    callers: dict[int, int] = dataclasses.field(default_factory=dict)
    started_stages: set[str] = dataclasses.field(default_factory=set)
    streamed: str = ""
    committed_length: int = 0
    attempts: set[str] = dataclasses.field(default_factory=set)
    attempt_count: int = 0
    preemptions: int = 0
    cancelled: bool = False
    sent_any: bool = False
    traceparent: str | None = None
    cost_ms: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class ReadyStage:
    """A stage of a request that waits for an upstream.

    ``excluded`` names upstreams that failed this stage before. ``stage_deadline_s``
    is this stage's share of what is left of the request's deadline.
    """

    request_id: str
    workspace: str
    weight: float
    kind: str
    priority: int
    stage_index: int
    stage: manifest.Stage
    enqueued_s: float
    deadline_s: float
    stage_deadline_s: float
    durable: bool
    prefix: str
    prompt_tokens: int
    resume_output: str = ""
    excluded: frozenset[str] = frozenset()
    preemptions: int = 0
    hedge: bool = False


@dataclasses.dataclass(slots=True)
class Attempt:
    """One call of one stage on one upstream, from the choice to its end."""

    attempt: str
    request_id: str
    workspace: str
    stage_index: int
    stage: manifest.Stage
    upstream: str
    address: str
    priority: int
    started_s: float
    deadline_s: float
    predicted_s: float
    prompt_tokens: int
    prefix: str
    hedge: bool = False
    first_byte_s: float | None = None
    output: str = ""
    resume_length: int = 0
    preemptions: int = 0


@dataclasses.dataclass(slots=True)
class RequestTables:
    """Requests by id, attempts by id, and open callers with their request."""

    requests: dict[str, Request] = dataclasses.field(default_factory=dict)
    attempts: dict[str, Attempt] = dataclasses.field(default_factory=dict)
    callers: dict[int, str] = dataclasses.field(default_factory=dict)
    next_request: int = 0
    next_attempt: int = 0
    drain_requested_s: float | None = None
    drain_answer_expires_s: float | None = None
    drain_forced: bool = False
