"""Messages between the entry core and its shell: callers, upstreams, timers.

``caller`` is the shell's number for one open HTTP exchange. Messages named with a past
participle are events for the core; messages with an imperative name are its output.
"""

import enum
from typing import Any

import msgspec

from bitternlever.messages import calls, problems, upstream


class RequestSubmitted(msgspec.Struct, tag=True):
    """A caller's new request; ``digest`` is the SHA-256 of its body."""

    caller: int
    workspace: str
    pipeline: str
    kind: str
    body: bytes
    digest: str
    key: str | None = None
    stream: bool = False
    resume_offset: int = 0
    deadline_ms: int | None = None
    traceparent: str | None = None


class RequestQueried(msgspec.Struct, tag=True):
    """A caller asked for the state or the answer of a request by its id."""

    caller: int
    workspace: str
    request_id: str
    stream: bool = False
    resume_offset: int = 0


class RequestCancelled(msgspec.Struct, tag=True):
    """A caller cancelled a request by its id."""

    caller: int
    workspace: str
    request_id: str


class AnswerAcknowledged(msgspec.Struct, tag=True):
    """A caller confirmed that it received the complete answer of a request."""

    caller: int
    workspace: str
    request_id: str


class CallerDisconnected(msgspec.Struct, tag=True):
    """A caller's connection closed before its answer was complete."""

    caller: int


class RequestAccepted(msgspec.Struct, tag=True):
    """The claim is committed: a streamed answer will follow under this id."""

    caller: int
    request_id: str


class StreamPiece(msgspec.Struct, tag=True):
    """A piece of streamed output for a caller, beginning at ``offset``."""

    caller: int
    request_id: str
    offset: int
    text: str


class WholeAnswer(msgspec.Struct, tag=True):
    """The complete answer for a caller: JSON bytes, equal on every replay.

    ``length`` and ``output_digest`` end a streamed answer: the streamed text's length
    in characters and its SHA-256 digest.
    """

    caller: int
    request_id: str
    body: bytes
    length: int = 0
    output_digest: str = ""


class ProblemAnswer(msgspec.Struct, tag=True):
    """A refusal or failure for a caller, sent at once."""

    caller: int
    problem: problems.Problem


class RequestState(msgspec.Struct, tag=True):
    """The state of a request that is not yet answered, for a caller that asked."""

    caller: int
    request_id: str
    state: str
    retry_after_s: float


class CallUpstream(msgspec.Struct, tag=True):
    """Send a stage call to an upstream; each attempt is sent at most once.

    ``must_not_start_after`` is the monotonic time, in seconds, after which the shell
    drops the call and reports it as not sent. For a stage that is not idempotent it is
    the end of the host lease.
    """

    attempt: str
    upstream: str
    address: str
    task: str
    call: upstream.StageCall
    idempotent: bool
    first_byte_timeout_s: float
    between_bytes_timeout_s: float
    must_not_start_after: float
    traceparent: str | None = None


class CancelUpstream(msgspec.Struct, tag=True):
    """Cancel a stage call and discard any output that still arrives for it."""

    attempt: str
    upstream: str
    address: str


class Sent(enum.Enum):
    """Whether a failed call may have reached the upstream."""

    NO = "no"
    UNKNOWN = "unknown"


class UpstreamPart(msgspec.Struct, tag=True):
    """A piece of a streamed stage output."""

    attempt: str
    offset: int
    text: str


class UpstreamFinished(msgspec.Struct, tag=True):
    """The end of a stage call: its complete output, or the end of its stream.

    A streamed call has no ``output``; any other call has no ``length``. The shell does
    not check the binding and the digest; the core must.
    """

    attempt: str
    binding: upstream.Binding
    digest: str
    output: Any = None
    length: int | None = None
    usage: upstream.Usage = upstream.Usage()


class UpstreamFailed(msgspec.Struct, tag=True):
    """A stage call that ended without a complete answer.

    ``status`` is the upstream's HTTP status, absent if none was received. A refusal
    with status 429 or 503 and ``ran: no`` is reported with ``sent`` NO. ``lost`` is set
    if the upstream ended the connection, as it does when it crashes.
    """

    attempt: str
    sent: Sent
    reason: str
    status: int | None = None
    retry_after_s: float | None = None
    lost: bool = False


class UpstreamAnnounced(msgspec.Struct, tag=True):
    """An announcement that an upstream sent to this host."""

    announcement: upstream.Announcement


class SendOrder(msgspec.Struct, tag=True):
    """Send an order to an engine, unless its lease has ended by then.

    ``must_not_start_after`` is the monotonic time, in seconds, after which the shell
    must not send it.
    """

    order_id: str
    upstream: str
    address: str
    order: upstream.EngineOrder
    must_not_start_after: float


class OrderAnswered(msgspec.Struct, tag=True):
    """An engine's answer to an order; ``error`` is empty if it accepted the order."""

    order_id: str
    upstream: str
    error: str = ""


class OperatorCalled(msgspec.Struct, tag=True):
    """An operator's command for the directory or a journal group."""

    caller: int
    group: int
    command: calls.Command


class OperatorAnswered(msgspec.Struct, tag=True):
    """The group's reply to an operator's command."""

    caller: int
    reply: calls.Reply


class DrainRequested(msgspec.Struct, tag=True):
    """SIGTERM or an operator's drain request; a second one ends the process sooner."""

    forced: bool = False


class ProcessEnd(msgspec.Struct, tag=True):
    """The core's last message: the process may exit."""

    cut_off: list[str] = []
