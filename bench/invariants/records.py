"""Records of stand-ins, callers and operators, the only input of the checks.

Each process writes one file of JSON lines, one record per line, appended and flushed
before the recorded event takes effect: a stand-in records a call before it runs it.
Times are seconds of the machine's monotonic clock, which its processes share.

A logical request is identified by the SHA-256 of its input. Each logical request of a
run therefore has a unique input, and a caller that retries it sends the same input.
"""

import enum
import hashlib
from typing import Any

import msgspec


class Ending(enum.Enum):
    """The outcome of a stage call on its stand-in."""

    WHOLE = "whole"
    CANCELLED = "cancelled"
    FAILED = "failed"


class StageCalled(msgspec.Struct, tag=True, frozen=True):
    """A stand-in accepted a stage call and runs it; refused calls are not recorded.

    ``input_digest`` is :func:`digest` of the call's ``input``.
    """

    upstream: str
    request: str
    stage: str
    attempt: str
    epoch: int
    idempotent: bool
    input_digest: str
    time_s: float


class CallEnded(msgspec.Struct, tag=True, frozen=True):
    """A stage call ended; ``output_digest`` is the digest of its complete output.

    The complete output of a stream includes the text that it was resumed from, and
    its digest is the :func:`text_digest` of the text.
    """

    upstream: str
    request: str
    stage: str
    attempt: str
    input_digest: str
    ending: Ending
    output_digest: str
    time_s: float


class OrderReceived(msgspec.Struct, tag=True, frozen=True):
    """An engine accepted an order (``taken``) or refused it for its fencing number.

    ``holder`` is the host that sent the order, or empty if the engine does not know.
    """

    upstream: str
    fencing: int
    models: list[str]
    taken: bool
    time_s: float
    holder: str = ""


class LeavingAnnounced(msgspec.Struct, tag=True, frozen=True):
    """An entry host received the upstream's announcement that it is leaving."""

    upstream: str
    time_s: float


class ServingAnnounced(msgspec.Struct, tag=True, frozen=True):
    """A new incarnation of the upstream was announced; an earlier leaving is over."""

    upstream: str
    time_s: float


class RequestSent(msgspec.Struct, tag=True, frozen=True):
    """A caller sent a request; ``exchange`` is unique in the run.

    ``input_digest`` is :func:`digest` of the request's input.
    """

    exchange: str
    host: str
    workspace: str
    kind: str
    input_digest: str
    durable: bool
    time_s: float
    key: str | None = None


class RequestAccepted(msgspec.Struct, tag=True, frozen=True):
    """A caller received the id or the first piece of its request: it is accepted."""

    exchange: str
    request_id: str
    time_s: float


class Piece(msgspec.Struct, frozen=True, array_like=True):
    """A received piece of a stream: offset and length of its text, in characters."""

    offset: int
    length: int


class AnswerReceived(msgspec.Struct, tag=True, frozen=True):
    """A caller received a complete answer.

    ``output_digest`` is the digest of the output as received: :func:`text_digest` of
    a stream's text, :func:`digest` of any other output. A stream also has ``pieces``,
    and the length and digest given by its end event.
    """

    exchange: str
    request_id: str
    body_digest: str
    output_digest: str
    time_s: float
    pieces: list[Piece] = []
    claimed_length: int = 0
    claimed_digest: str = ""


class RefusalReceived(msgspec.Struct, tag=True, frozen=True):
    """A caller received a problem response; ``ran`` is the value in its body."""

    exchange: str
    request_id: str | None
    status: int
    ran: str
    time_s: float


class AnswerCut(msgspec.Struct, tag=True, frozen=True):
    """A caller's connection ended before the answer was complete."""

    exchange: str
    time_s: float


class RequestCancelled(msgspec.Struct, tag=True, frozen=True):
    """A caller asked to cancel the request of an earlier exchange."""

    exchange: str
    time_s: float


class ManifestAccepted(msgspec.Struct, tag=True, frozen=True):
    """An operator received the reply that a manifest is accepted."""

    operator: str
    number: int
    digest: str
    time_s: float


class ManifestSeen(msgspec.Struct, tag=True, frozen=True):
    """A host reported its manifest in force; ``host`` names one incarnation of it."""

    host: str
    number: int
    digest: str
    time_s: float


Record = (
    StageCalled
    | CallEnded
    | OrderReceived
    | LeavingAnnounced
    | ServingAnnounced
    | RequestSent
    | RequestAccepted
    | AnswerReceived
    | RefusalReceived
    | AnswerCut
    | RequestCancelled
    | ManifestAccepted
    | ManifestSeen
)


def digest(value: Any) -> str:
    """Return the SHA-256 of a value's JSON with sorted keys, in hexadecimal."""
    encoded = msgspec.json.encode(value, order="deterministic")
    return hashlib.sha256(encoded).hexdigest()


def text_digest(text: str) -> str:
    """Return the SHA-256 of a text's UTF-8 bytes, in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()
