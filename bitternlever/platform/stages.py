"""Encode and decode calls to the upstreams of stage services."""

import math

import msgspec
import result

from bitternlever.batching import tables
from bitternlever.gateway import dialect

MILLISECONDS_PER_SECOND = 1_000
REASON_LATE = "late"
REASON_GONE = "gone"
REASON_ROOM = "room"


class _Item(msgspec.Struct, omit_defaults=True):
    """``left_ms`` is the time until the deadline; ``key`` or ``inputs`` is given."""

    id: str
    stage: int
    piece: int
    left_ms: int = 0
    key: str = ""
    inputs: list[str] = []


class _Items(msgspec.Struct):
    items: list[_Item]


class _Handles(msgspec.Struct):
    handles: list[str]


class _Outcome(msgspec.Struct):
    handle: str | None = None
    reason: str = ""


class _Outcomes(msgspec.Struct):
    items: list[_Outcome]


_encode = msgspec.json.Encoder().encode
_outcomes_decoder = msgspec.json.Decoder(_Outcomes)


def encode_call(
    address: str,
    upstream: str,
    items: list[dialect.StageItem],
) -> dialect.StageRequest:
    """Encode a call that runs pieces of stages on an upstream."""
    body = _encode(_Items(items=[_encode_item(item) for item in items]))
    headers = _headers(address, body)
    headers.append((b"X-Bitternlever-Expect-Instance", upstream.encode()))
    return dialect.StageRequest(b"POST", b"/api/stage-run", headers, body)


def decode_answer(
    body: bytes, count: int
) -> result.Result[list[tables.ItemOutcome], str]:
    """Decode the answer to a call that runs ``count`` pieces."""
    try:
        items = _outcomes_decoder.decode(body).items
    except (msgspec.DecodeError, RecursionError) as error:
        return result.Err(f"an answer that cannot be read: {error}")
    if len(items) != count:
        return result.Err(f"{len(items)} results for {count} pieces")
    return result.Ok([_decode_outcome(outcome) for outcome in items])


def encode_free(address: str, handles: list[str]) -> dialect.StageRequest:
    """Encode a call that frees the results with these handles."""
    body = _encode(_Handles(handles=handles))
    headers = _headers(address, body)
    return dialect.StageRequest(b"POST", b"/api/stage-free", headers, body)


def producer_address(handle: str) -> str:
    """Return the address of a result's upstream, the first part of its handle."""
    return handle.partition("/")[0]


def _encode_item(item: dialect.StageItem) -> _Item:
    inputs = item.piece.inputs
    return _Item(
        id=item.request,
        stage=item.stage,
        piece=item.piece.number,
        left_ms=max(1, math.floor(item.left_s * MILLISECONDS_PER_SECOND)),
        key="" if inputs else item.key,
        inputs=inputs,
    )


def _decode_outcome(outcome: _Outcome) -> tables.ItemOutcome:
    return tables.ItemOutcome(
        handle=outcome.handle or None,
        reason=outcome.reason,
        lost_input=outcome.reason == REASON_GONE,
        memory_full=outcome.reason == REASON_ROOM,
        too_late=outcome.reason == REASON_LATE,
    )


def _headers(address: str, body: bytes) -> list[tuple[bytes, bytes]]:
    return [
        (b"Host", address.encode()),
        (b"Content-Type", b"application/json"),
        (b"Content-Length", b"%d" % len(body)),
    ]
