"""Tables of requests, their ready stages and their attempts on upstreams."""

import dataclasses
import enum
from collections.abc import Callable
from typing import Any

from bitternlever.messages import journal, manifest


class Phase(enum.Enum):
    """Where a request stands in its life on this host."""

    CLAIMING = "claiming"
    READY = "ready"
    STARTING = "starting"
    RUNNING = "running"
    ANSWERING = "answering"


@dataclasses.dataclass(slots=True)
class Caller:
    """An open exchange that waits for an answer.

    ``offset`` is the character up to which it has the streamed text. ``once`` asks for
    the state alone and does not wait. ``on_missing`` handles a request that the
    journal does not hold.
    """

    caller: int
    stream: bool = False
    offset: int = 0
    once: bool = False
    on_missing: Callable[[Any, float, Any, "Caller"], None] | None = None


@dataclasses.dataclass(slots=True)
class Request:
    """One request on this host.

    ``results`` are whole stage outputs by stage name, ``texts`` the streamed output of
    each stage so far, ``recorded`` how much of it was sent to the journal and
    ``committed`` how much it holds; a text that began anew has a higher number in
    ``generations``. ``epoch`` is the lease epoch
    under which this host owns it. ``unsent`` names the last attempt of a stage that
    provably never left. ``watched_s`` is when another host last said that callers
    follow the request there.
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
    epoch: int = 0
    keyed: bool = False
    stage_index: int = 0
    results: dict[str, Any] = dataclasses.field(default_factory=dict)
    callers: dict[int, Caller] = dataclasses.field(default_factory=dict)
    cancellers: list[int] = dataclasses.field(default_factory=list)
    unsent: dict[str, str] = dataclasses.field(default_factory=dict)
    texts: dict[str, str] = dataclasses.field(default_factory=dict)
    committed: dict[str, int] = dataclasses.field(default_factory=dict)
    recorded: dict[str, int] = dataclasses.field(default_factory=dict)
    generations: dict[str, int] = dataclasses.field(default_factory=dict)
    recording: bool = False
    next_record_s: float = 0.0
    attempts: set[str] = dataclasses.field(default_factory=set)
    failures: int = 0
    cancelled: bool = False
    sent_any: bool = False
    claim_in_doubt: bool = False
    once_only_started: bool = False
    completed_once_only: bool = False
    watched_s: float = float("-inf")
    traceparent: str | None = None
    cost_ms: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Watch:
    """Callers on this host of a request that another host owns."""

    request_id: str
    workspace: str
    callers: dict[int, Caller] = dataclasses.field(default_factory=dict)
    polling: bool = False
    interval_s: float = 0.0
    next_hint_s: float = 0.0
    generation: int | None = None
    unheard_since_s: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class FinalAnswer:
    """A final answer on its way to the journal and the callers.

    ``body`` is whole. With ``progress_stage`` the journal may be sent the parts
    around the text that it holds already: ``head`` and ``tail``.
    """

    status: int
    body: bytes
    length: int = 0
    output_digest: str = ""
    progress_stage: str | None = None
    head: bytes = b""
    tail: bytes = b""

    def reply(self, request_id: str) -> journal.Answered:
        """Return the answer in the form in which the journal gives it."""
        return journal.Answered(
            request_id=request_id,
            status=self.status,
            body=self.body,
            length=self.length,
            output_digest=self.output_digest,
        )


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
    epoch: int = 0
    sent: bool = False


@dataclasses.dataclass(slots=True, order=True)
class Timer:
    """An action that is due at a time; ``number`` keeps equal times in order."""

    due_s: float
    number: int
    action: Callable[[Any, float, Any], None] = dataclasses.field(compare=False)


@dataclasses.dataclass(slots=True)
class RequestTables:
    """Requests by id, attempts by id, and open callers with their request."""

    requests: dict[str, Request] = dataclasses.field(default_factory=dict)
    attempts: dict[str, Attempt] = dataclasses.field(default_factory=dict)
    callers: dict[int, str] = dataclasses.field(default_factory=dict)
    watches: dict[str, Watch] = dataclasses.field(default_factory=dict)
    timers: list[Timer] = dataclasses.field(default_factory=list)
    parked: list[ReadyStage] = dataclasses.field(default_factory=list)
    next_request: int = 0
    next_attempt: int = 0
    next_timer: int = 0
    epoch_seen: int = 0
    lapsed_since_s: float | None = None
    takeover_sequence: int = 0
    takeover_in_flight: bool = False
    next_reconcile_s: float = 0.0
    unknown_owned: dict[int, set[str]] = dataclasses.field(default_factory=dict)
    drain_requested_s: float | None = None
    drain_answer_expires_s: float | None = None
    drain_forced: bool = False
    drain_releasing: bool = False
    drain_ended: bool = False
