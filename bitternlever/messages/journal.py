"""Commands and replies of the journal groups.

Each command may be sent again after a lost reply: the second reply says the same.
Writes carry the host and its epoch; a fenced epoch is refused.
"""

import msgspec

from bitternlever.messages import upstream

FIRST_GROUP = 1


class Claim(msgspec.Struct, tag=True, frozen=True):
    """Claim a request for this host, or learn who has it.

    ``time_left_ms`` is what is left of the deadline when the claim is sent.
    ``answer_stage`` is the stage whose progress callers may follow.
    """

    request_id: str
    workspace: str
    pipeline: str
    kind: str
    digest: str
    body: bytes
    priority: int
    durable: bool
    time_left_ms: int
    host: str
    epoch: int
    answer_stage: str = ""


class Claimed(msgspec.Struct, tag=True, frozen=True):
    """This host and epoch own the request."""

    request_id: str


class OwnedElsewhere(msgspec.Struct, tag=True, frozen=True):
    """Another host and epoch own the request; it is running."""

    request_id: str
    host: str
    epoch: int


class DigestConflict(msgspec.Struct, tag=True, frozen=True):
    """The id belongs to a request with another body."""

    request_id: str


class JournalFull(msgspec.Struct, tag=True, frozen=True):
    """The journal has no room; nothing was written."""

    retry_after_s: float


class Fenced(msgspec.Struct, tag=True, frozen=True):
    """The writer does not own the request or its epoch is fenced; not written."""

    request_id: str


class StartStage(msgspec.Struct, tag=True, frozen=True):
    """Record, before sending it, that a stage that is not idempotent starts.

    ``replaces`` names an earlier attempt of the same owner that provably never left.
    """

    request_id: str
    stage: str
    attempt: str
    host: str
    epoch: int
    replaces: str | None = None


class StageStarted(msgspec.Struct, tag=True, frozen=True):
    """The start is committed: the owner may send this attempt, once."""

    request_id: str
    stage: str
    attempt: str


class StageStartedBefore(msgspec.Struct, tag=True, frozen=True):
    """Another attempt of this stage was started: it may never be sent again."""

    request_id: str
    stage: str
    attempt: str


class RecordProgress(msgspec.Struct, tag=True, frozen=True):
    """Record a piece of a streamed output before the caller sees it.

    A higher ``generation`` drops what was recorded: the output began anew, since its
    first text proved to be garbled.
    """

    request_id: str
    stage: str
    offset: int
    text: str
    host: str
    epoch: int
    generation: int = 0


class ProgressRecorded(msgspec.Struct, tag=True, frozen=True):
    """The streamed output is committed up to ``length`` characters."""

    request_id: str
    stage: str
    length: int


class RecordResult(msgspec.Struct, tag=True, frozen=True):
    """Record a stage's whole result as JSON bytes.

    With ``progress_digest`` the output is the recorded progress of that SHA-256
    digest, so that a streamed text passes the log once; ``output`` is empty then.
    """

    request_id: str
    stage: str
    attempt: str
    output: bytes
    usage: upstream.Usage
    host: str
    epoch: int
    progress_digest: str | None = None


class ResultRecorded(msgspec.Struct, tag=True, frozen=True):
    """The stage's result is committed."""

    request_id: str
    stage: str


class RecordAnswer(msgspec.Struct, tag=True, frozen=True):
    """Record the final answer, whole or a problem; ``status`` is its HTTP status.

    With ``progress_stage`` the body is ``body``, the JSON string of that stage's
    progress, whose digest must be ``output_digest``, and ``body_end``.
    """

    request_id: str
    status: int
    body: bytes
    host: str
    epoch: int
    length: int = 0
    output_digest: str = ""
    progress_stage: str | None = None
    body_end: bytes = b""


class AnswerRecorded(msgspec.Struct, tag=True, frozen=True):
    """The answer is committed and stays until acknowledged or expired."""

    request_id: str


class Answered(msgspec.Struct, tag=True, frozen=True):
    """The request's final answer, the same bytes on every host."""

    request_id: str
    status: int
    body: bytes
    length: int = 0
    output_digest: str = ""
    acknowledged: bool = False


class ProgressMissing(msgspec.Struct, tag=True, frozen=True):
    """The write refers to progress that is not committed; send the text itself."""

    request_id: str
    length: int


class Acknowledge(msgspec.Struct, tag=True, frozen=True):
    """The caller holds the answer: its body may be dropped before its key."""

    request_id: str
    workspace: str


class Acknowledged(msgspec.Struct, tag=True, frozen=True):
    """The acknowledgement is committed."""

    request_id: str


class CancelRequest(msgspec.Struct, tag=True, frozen=True):
    """Cancel a request by name: stages not yet started must not start."""

    request_id: str
    workspace: str


class Cancelled(msgspec.Struct, tag=True, frozen=True):
    """The cancellation is committed as the final answer; ``host`` was the owner."""

    request_id: str
    ran: str
    host: str = ""


class TakeOver(msgspec.Struct, tag=True, frozen=True):
    """Own up to ``maximum`` requests without an owner, earliest deadline first.

    Requests of fenced hosts and released ones have no owner. ``sequence`` numbers the
    takeovers of one host and epoch: the same number gets the same requests again, an
    older one none.
    """

    host: str
    epoch: int
    maximum: int
    sequence: int = 0


class StageRecord(msgspec.Struct, frozen=True):
    """What the journal knows of one stage of an open request."""

    stage: str
    started_attempt: str | None
    output: bytes | None
    progress: str
    busy_ms: float = 0.0
    generation: int = 0


class OpenRequest(msgspec.Struct, frozen=True):
    """An open request with all that a new owner needs to finish it."""

    request_id: str
    workspace: str
    pipeline: str
    kind: str
    digest: str
    body: bytes
    priority: int
    durable: bool
    time_left_ms: int
    cancelled: bool
    stages: list[StageRecord]


class TakenOver(msgspec.Struct, tag=True, frozen=True):
    """The requests that this host owns now."""

    requests: list[OpenRequest]


class ReleaseRequests(msgspec.Struct, tag=True, frozen=True):
    """Give up the ownership of requests, so that another host takes them over."""

    request_ids: list[str]
    host: str
    epoch: int


class RequestsReleased(msgspec.Struct, tag=True, frozen=True):
    """The ownership has ended."""

    request_ids: list[str]


class GetRequest(msgspec.Struct, tag=True, frozen=True):
    """Read the state of a request, and its streamed progress from ``offset`` on."""

    request_id: str
    workspace: str
    offset: int = 0


class RequestOpen(msgspec.Struct, tag=True, frozen=True):
    """The request is open; ``host`` is empty while no host owns it.

    ``progress`` begins at ``offset``; ``length`` is the whole committed length. A
    higher ``generation`` is a text that began anew.
    """

    request_id: str
    host: str
    epoch: int
    cancelled: bool
    stage: str
    progress: str
    offset: int = 0
    length: int = 0
    generation: int = 0


class RequestUnknown(msgspec.Struct, tag=True, frozen=True):
    """The journal holds no such request of this workspace."""

    request_id: str


class GetOwned(msgspec.Struct, tag=True, frozen=True):
    """Read which open requests a host owns that were claimed before ``age_ms``."""

    host: str
    epoch: int
    age_ms: int


class Owned(msgspec.Struct, tag=True, frozen=True):
    """The open requests that the host owns, the oldest first, bounded in number."""

    request_ids: list[str]


class WithdrawRequest(msgspec.Struct, tag=True, frozen=True):
    """Forget an open request whose callers left, unless a started stage binds it."""

    request_id: str
    host: str
    epoch: int


class RequestWithdrawn(msgspec.Struct, tag=True, frozen=True):
    """The journal holds the request no longer; the same key would run anew."""

    request_id: str


class FenceHost(msgspec.Struct, tag=True, frozen=True):
    """Refuse all writes of this host with an epoch below ``epoch``."""

    host: str
    epoch: int


class HostFenced(msgspec.Struct, tag=True, frozen=True):
    """The fence is committed; ``orphans`` counts the requests left open."""

    host: str
    epoch: int
    orphans: int


class ExpireRequests(msgspec.Struct, tag=True, frozen=True):
    """Drop answered requests past their retention; proposed by the leader alone.

    ``elapsed_ms`` advances the journal's clock by what the leader measured.
    """

    request_ids: list[str]
    elapsed_ms: int = 0


class RequestsExpired(msgspec.Struct, tag=True, frozen=True):
    """The listed requests are gone."""

    count: int


Command = (
    Claim
    | StartStage
    | RecordProgress
    | RecordResult
    | RecordAnswer
    | Acknowledge
    | CancelRequest
    | TakeOver
    | ReleaseRequests
    | GetRequest
    | GetOwned
    | WithdrawRequest
    | FenceHost
    | ExpireRequests
)

Reply = (
    Claimed
    | OwnedElsewhere
    | DigestConflict
    | JournalFull
    | Fenced
    | StageStarted
    | StageStartedBefore
    | ProgressRecorded
    | ResultRecorded
    | AnswerRecorded
    | Answered
    | ProgressMissing
    | Acknowledged
    | Cancelled
    | TakenOver
    | RequestsReleased
    | RequestOpen
    | RequestUnknown
    | Owned
    | RequestWithdrawn
    | HostFenced
    | RequestsExpired
)
