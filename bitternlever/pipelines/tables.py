"""Tables of requests, their ready stages and their attempts on upstreams."""

import collections
import dataclasses
import enum
from collections.abc import Callable
from typing import Any

from bitternlever.fleet import crash_suspects, quarantine
from bitternlever.messages import fleet, journal, manifest


class Phase(enum.Enum):
    """The lifecycle phase of a request on this host."""

    CLAIMING = "claiming"
    READY = "ready"
    STARTING = "starting"
    RUNNING = "running"
    ANSWERING = "answering"


@dataclasses.dataclass(slots=True)
class Caller:
    """An open exchange that waits for an answer.

    ``offset`` is the character up to which the caller has the streamed text. With
    ``state_only`` the exchange ends with the current state instead of waiting.
    ``on_missing`` is called if the journal has no record of the request.
    """

    caller_id: int
    stream: bool = False
    offset: int = 0
    state_only: bool = False
    on_missing: Callable[[Any, float, Any, "Caller"], None] | None = None


@dataclasses.dataclass(slots=True)
class Request:
    """One request on this host.

    By stage name: ``results`` are complete outputs and ``texts`` the streamed output
    so far. ``written_lengths`` is how much of the text was sent to the journal,
    ``committed_lengths`` how much of it the journal has committed. ``generations`` is
    incremented whenever a text restarts from its beginning. ``unsent_attempts`` has
    the last attempt that was certainly never sent. ``recording`` is set while a write
    of text is in flight or scheduled. ``cost_ms`` is the time that upstreams report to
    have worked on each stage.

    ``epoch`` is the lease epoch under which this host owns the request.
    ``claim_in_doubt`` is set once a claim may have committed although no reply came.
    ``last_watched_s`` is when another host last reported that callers follow the
    request there.
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
    unsent_attempts: dict[str, str] = dataclasses.field(default_factory=dict)
    texts: dict[str, str] = dataclasses.field(default_factory=dict)
    committed_lengths: dict[str, int] = dataclasses.field(default_factory=dict)
    written_lengths: dict[str, int] = dataclasses.field(default_factory=dict)
    generations: dict[str, int] = dataclasses.field(default_factory=dict)
    recording: bool = False
    next_record_s: float = 0.0
    attempts: set[str] = dataclasses.field(default_factory=set)
    failures: int = 0
    cancelled: bool = False
    any_stage_sent: bool = False
    claim_in_doubt: bool = False
    non_idempotent_started: bool = False
    non_idempotent_completed: bool = False
    last_watched_s: float = float("-inf")
    traceparent: str | None = None
    cost_ms: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Watch:
    """Callers on this host of a request that another host owns.

    ``generation`` is that of the text that the journal returned last. Callers that
    received text of another generation must drop it.
    """

    request_id: str
    workspace: str
    callers: dict[int, Caller] = dataclasses.field(default_factory=dict)
    polling: bool = False
    interval_s: float = 0.0
    next_hint_s: float = 0.0
    generation: int | None = None
    unreachable_since_s: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class FinalAnswer:
    """A final answer that is not recorded in the journal yet.

    ``body`` is the complete body. If ``progress_stage`` is set, the journal already
    has that stage's text and may be sent only ``head`` and ``tail``, the parts of the
    body before and after it.
    """

    status: int
    body: bytes
    length: int = 0
    output_digest: str = ""
    progress_stage: str | None = None
    head: bytes = b""
    tail: bytes = b""

    def reply(self, request_id: str) -> journal.Answered:
        """Return the answer as the reply that the journal would give."""
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

    ``excluded`` names upstreams where this stage failed before. ``stage_deadline_s``
    ends this stage's share of the time left until the request's deadline.
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
    """One call of a stage on an upstream, from choosing the upstream to its end.

    ``output`` begins with the text that the attempt resumes from, which has
    ``resume_length`` characters. ``hedge`` marks a second attempt beside a running one.
    """

    attempt_id: str
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
    """A scheduled action; ``number`` keeps actions due at the same time in order."""

    due_s: float
    number: int
    action: Callable[[Any, float, Any], None] = dataclasses.field(compare=False)


@dataclasses.dataclass(slots=True)
class Crashes:
    """What this host knows of requests that crash upstreams.

    ``recent`` are reports with the time at which they became known here; ``sound`` are
    the times of the last answers by the name of the request, the latest last.
    """

    evidence: crash_suspects.Evidence = dataclasses.field(
        default_factory=crash_suspects.Evidence
    )
    records: quarantine.Records = dataclasses.field(default_factory=dict)
    recent: collections.deque[tuple[float, fleet.PromptCrash]] = dataclasses.field(
        default_factory=collections.deque
    )
    sound: collections.OrderedDict[str, float] = dataclasses.field(
        default_factory=collections.OrderedDict
    )


@dataclasses.dataclass(slots=True)
class RequestTables:
    """Requests and attempts by id, and the request id of each open caller.

    ``awaiting_lease`` has stages that may only start once this host has a lease.
    ``unknown_owned`` has, by journal group, the ids of requests that the journal
    assigns to this host but that it does not know.
    """

    requests: dict[str, Request] = dataclasses.field(default_factory=dict)
    attempts: dict[str, Attempt] = dataclasses.field(default_factory=dict)
    callers: dict[int, str] = dataclasses.field(default_factory=dict)
    watches: dict[str, Watch] = dataclasses.field(default_factory=dict)
    crashes: Crashes = dataclasses.field(default_factory=Crashes)
    timers: list[Timer] = dataclasses.field(default_factory=list)
    awaiting_lease: list[ReadyStage] = dataclasses.field(default_factory=list)
    next_request: int = 0
    next_attempt: int = 0
    next_timer: int = 0
    last_epoch: int = 0
    lease_lost_since_s: float | None = None
    takeover_sequence: int = 0
    takeover_in_flight: bool = False
    next_reconcile_s: float = 0.0
    unknown_owned: dict[int, set[str]] = dataclasses.field(default_factory=dict)
    drain_requested_s: float | None = None
    drain_host_lists_expire_s: float | None = None
    drain_forced: bool = False
    drain_releasing: bool = False
    drain_ended: bool = False
