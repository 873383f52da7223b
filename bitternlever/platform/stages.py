"""Calls to stage servers."""

import math

import msgspec
import result

from bitternlever.batching import tables
from bitternlever.gateway import dialect

MILLISECONDS = 1_000
LATE = "late"
GONE = "gone"
ROOM = "room"


class _Item(msgspec.Struct, omit_defaults=True):
    """``left_ms`` is what is left of the time; ``key`` or ``inputs`` is given."""

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
_outcomes = msgspec.json.Decoder(_Outcomes)


def call(
    address: str,
    upstream: str,
    items: list[dialect.StageItem],
) -> dialect.StageRequest:
    """Encode a call for pieces."""
    body = _encode(_Items(items=[_item(each) for each in items]))
    headers = _headers(address, body)
    headers.append((b"X-Bitternlever-Expect-Instance", upstream.encode()))
    return dialect.StageRequest(b"POST", b"/api/stage-run", headers, body)


def answer(body: bytes, count: int) -> result.Result[list[tables.ItemDone], str]:
    """Decode the answer to a call for ``count`` pieces."""
    try:
        items = _outcomes.decode(body).items
    except (msgspec.DecodeError, RecursionError) as error:
        return result.Err(f"an answer that cannot be read: {error}")
    if len(items) != count:
        return result.Err(f"{len(items)} results for {count} pieces")
    return result.Ok([_done(each) for each in items])


def free(address: str, handles: list[str]) -> dialect.StageRequest:
    """Encode a call that gives results up."""
    body = _encode(_Handles(handles=handles))
    headers = _headers(address, body)
    return dialect.StageRequest(b"POST", b"/api/stage-free", headers, body)


def maker_address(handle: str) -> str:
    """Return the address of the server that holds a result: it begins the handle."""
    return handle.partition("/")[0]


def _item(item: dialect.StageItem) -> _Item:
    inputs = item.piece.inputs
    return _Item(
        id=item.request,
        stage=item.stage,
        piece=item.piece.number,
        left_ms=max(1, math.floor(item.left_s * MILLISECONDS)),
        key="" if inputs else item.key,
        inputs=inputs,
    )


def _done(outcome: _Outcome) -> tables.ItemDone:
    return tables.ItemDone(
        handle=outcome.handle or None,
        reason=outcome.reason,
        lost_input=outcome.reason == GONE,
        no_room=outcome.reason == ROOM,
        too_late=outcome.reason == LATE,
    )


def _headers(address: str, body: bytes) -> list[tuple[bytes, bytes]]:
    return [
        (b"Host", address.encode()),
        (b"Content-Type", b"application/json"),
        (b"Content-Length", b"%d" % len(body)),
    ]
