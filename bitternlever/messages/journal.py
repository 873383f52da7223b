"""Commands and replies of the journal groups.

A command may be resent after a lost reply and then gets an equivalent reply.
Writes carry the host and its epoch; writes of a fenced epoch are refused.

The host that claims a request owns it. An open request without an owner is an orphan,
which another host can take over.
"""

import msgspec

from bitternlever.messages import upstream

FIRST_GROUP = 1


class Claim(msgspec.Struct, tag=True, frozen=True):
    """Claim a request for this host, or find out which host owns it.

    ``time_left_ms`` is the time until the deadline when the claim is sent.
    ``answer_stage`` is the stage whose progress is streamed to callers.
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
    """The journal has reached its size limit; nothing was written."""

    retry_after_s: float


class Fenced(msgspec.Struct, tag=True, frozen=True):
    """The writer does not own the request or its epoch is fenced; nothing written."""

    request_id: str


class StartStage(msgspec.Struct, tag=True, frozen=True):
    """Record the start of a non-idempotent stage before the attempt is sent.

    ``replaces`` names an earlier attempt of the same owner that was provably never
    sent.
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
    """Another attempt of this stage was started: the stage must not be sent again."""

    request_id: str
    stage: str
    attempt: str


class RecordProgress(msgspec.Struct, tag=True, frozen=True):
    """Record a piece of a streamed output before the caller sees it.

    A higher ``generation`` discards the recorded text: the output restarted because
    the earlier text turned out to be corrupt.
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
    """Record a stage's complete result as JSON bytes.

    With ``progress_digest`` the output is the recorded progress with that SHA-256
    digest and ``output`` is empty, so that a streamed text is logged only once.
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
    """Record the final answer, an output or a problem; ``status`` is the HTTP status.

    With ``progress_stage`` the answer's body is the concatenation of ``body``, that
    stage's progress as a JSON string, and ``body_end``; the digest of the progress must
    be ``output_digest``.
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
    """The answer is committed and kept until it is acknowledged or expires."""

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
    """The write refers to progress that is not committed; resend it with the text."""

    request_id: str
    length: int


class Acknowledge(msgspec.Struct, tag=True, frozen=True):
    """The caller has received the answer: its body may be dropped before its key."""

    request_id: str
    workspace: str


class Acknowledged(msgspec.Struct, tag=True, frozen=True):
    """The acknowledgement is committed."""

    request_id: str


class CancelRequest(msgspec.Struct, tag=True, frozen=True):
    """Cancel a request by its id: stages not yet started must not start."""

    request_id: str
    workspace: str


class Cancelled(msgspec.Struct, tag=True, frozen=True):
    """The cancellation is committed as the final answer; ``host`` is the last owner."""

    request_id: str
    ran: str
    host: str = ""


class TakeOver(msgspec.Struct, tag=True, frozen=True):
    """Take over up to ``maximum`` requests without an owner, earliest deadline first.

    Released requests and requests of fenced hosts have no owner. ``sequence`` numbers
    the takeovers of one host and epoch: the same number returns the same requests
    again, an older number returns none.
    """

    host: str
    epoch: int
    maximum: int
    sequence: int = 0


class StageRecord(msgspec.Struct, frozen=True):
    """The journal's record of one stage of an open request."""

    stage: str
    started_attempt: str | None
    output: bytes | None
    progress: str
    busy_ms: float = 0.0
    generation: int = 0


class OpenRequest(msgspec.Struct, frozen=True):
    """An open request with all data that a new owner needs to finish it."""

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
    """The requests that this host now owns."""

    requests: list[OpenRequest]


class ReleaseRequests(msgspec.Struct, tag=True, frozen=True):
    """Give up ownership of requests, so that another host can take them over."""

    request_ids: list[str]
    host: str
    epoch: int


class RequestsReleased(msgspec.Struct, tag=True, frozen=True):
    """The host no longer owns these requests."""

    request_ids: list[str]


class GetRequest(msgspec.Struct, tag=True, frozen=True):
    """Read the state of a request and its streamed progress from ``offset``."""

    request_id: str
    workspace: str
    offset: int = 0


class RequestOpen(msgspec.Struct, tag=True, frozen=True):
    """The request is open; ``host`` is empty while no host owns it.

    ``progress`` starts at ``offset``; ``length`` is the total committed length. A
    higher ``generation`` means that the text restarted.
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
    """The journal contains no such request of this workspace."""

    request_id: str


class GetOwned(msgspec.Struct, tag=True, frozen=True):
    """Read which open requests of a host were claimed ``age_ms`` ago or earlier."""

    host: str
    epoch: int
    age_ms: int


class Owned(msgspec.Struct, tag=True, frozen=True):
    """The open requests that the host owns, oldest first, bounded in number."""

    request_ids: list[str]


class WithdrawRequest(msgspec.Struct, tag=True, frozen=True):
    """Delete an open request whose callers left, unless a stage start is recorded."""

    request_id: str
    host: str
    epoch: int


class RequestWithdrawn(msgspec.Struct, tag=True, frozen=True):
    """The request has been deleted; its key would start a new request."""

    request_id: str


class FenceHost(msgspec.Struct, tag=True, frozen=True):
    """Refuse all writes of this host with an epoch below ``epoch``."""

    host: str
    epoch: int


class HostFenced(msgspec.Struct, tag=True, frozen=True):
    """The fence is committed; ``orphans`` counts the open requests without an owner."""

    host: str
    epoch: int
    orphans: int


class ExpireRequests(msgspec.Struct, tag=True, frozen=True):
    """Delete answered requests past their retention; proposed only by the leader.

    ``elapsed_ms``, as measured by the leader, advances the journal's clock.
    """

    request_ids: list[str]
    elapsed_ms: int = 0


class RequestsExpired(msgspec.Struct, tag=True, frozen=True):
    """The listed requests have been deleted."""

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
