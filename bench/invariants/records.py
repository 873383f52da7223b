"""Records of stand-ins, callers and operators, the only material of the checks.

Each process writes one file of JSON lines, one record a line, appended and flushed
before the recorded event has its effect: a stand-in records a call before it runs it.
Times are seconds of the machine's monotonic clock, which its processes share.

One logical request is known by the SHA-256 of its input, so each logical request of a
run carries an input of its own, and a caller that sends it again keeps the input.
"""

import enum
import hashlib
from typing import Any

import msgspec


class Ending(enum.Enum):
    """How a stage call ended on its stand-in."""

    WHOLE = "whole"
    CANCELLED = "cancelled"
    FAILED = "failed"


class StageCalled(msgspec.Struct, tag=True, frozen=True):
    """A stand-in takes a stage call and runs it; a refused call is not recorded.

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
    """A stage call ended; ``output_digest`` is that of its whole output.

    A stream's whole output is the text with what it was resumed from, and its digest
    is that of the text's bytes.
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
    """An engine took an order, or refused it for its fencing number.

    ``holder`` is the host that sent it, empty where the engine cannot tell.
    """

    upstream: str
    fencing: int
    models: list[str]
    taken: bool
    time_s: float
    holder: str = ""


class LeavingAnnounced(msgspec.Struct, tag=True, frozen=True):
    """An entry host took the upstream's word that it leaves."""

    upstream: str
    time_s: float


class ServingAnnounced(msgspec.Struct, tag=True, frozen=True):
    """A new run of the upstream announces itself; ends an earlier leaving."""

    upstream: str
    time_s: float


class RequestSent(msgspec.Struct, tag=True, frozen=True):
    """A caller sends a request; ``exchange`` is unique in the whole run.

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
    """A caller learns that its request is accepted, by its id or its first piece."""

    exchange: str
    request_id: str
    time_s: float


class Piece(msgspec.Struct, frozen=True, array_like=True):
    """One received piece of a stream: its first character and its length."""

    offset: int
    length: int


class AnswerReceived(msgspec.Struct, tag=True, frozen=True):
    """A caller holds a whole answer.

    ``output_digest`` is the digest of the output as received: :func:`digest` of a
    whole output, :func:`text_digest` of a stream's text. A stream also has its
    ``pieces``, and the length and digest that its end mark claims.
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
    """A caller gets a problem answer; ``ran`` is what the system says of it."""

    exchange: str
    request_id: str | None
    status: int
    ran: str
    time_s: float


class AnswerCut(msgspec.Struct, tag=True, frozen=True):
    """A caller's connection ended before the answer was whole."""

    exchange: str
    time_s: float


class RequestCancelled(msgspec.Struct, tag=True, frozen=True):
    """A caller asks to cancel the request of an earlier exchange."""

    exchange: str
    time_s: float


class ManifestAccepted(msgspec.Struct, tag=True, frozen=True):
    """An operator was told that a manifest is accepted."""

    operator: str
    number: int
    digest: str
    time_s: float


class ManifestSeen(msgspec.Struct, tag=True, frozen=True):
    """A host showed which manifest it has in force; ``host`` names one run of it."""

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
