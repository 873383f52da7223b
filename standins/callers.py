"""A caller that sends one request and checks that its answer is whole."""

import dataclasses
import json
from collections.abc import Callable
from typing import Any

import aiohttp
import msgspec

from bench.invariants import records
from standins import words

OK = 200
FIRST_REFUSAL = 400
CALL_TIMEOUT_S = 60.0
MAXIMUM_LINE_BYTES = 2**20
END_EVENT = "end"
PIECE_EVENT = "piece"


@dataclasses.dataclass(slots=True)
class Received:
    """What a caller got for one request; ``faults`` is empty for a whole answer."""

    status: int
    request_id: str
    body: bytes = b""
    output: Any = None
    cost_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    pieces: list[records.Piece] = dataclasses.field(default_factory=list)
    claimed_length: int = 0
    claimed_digest: str = ""
    ran: str = "unknown"
    retry_after_s: float = 0.0
    faults: list[str] = dataclasses.field(default_factory=list)

    @property
    def whole(self) -> bool:
        """Tell whether a whole answer was received."""
        return self.status == OK and not self.faults


class AnswerBody(msgspec.Struct):
    """The members of a whole answer."""

    request_id: str
    output: Any
    cost_ms: dict[str, float] = {}


class EndBody(msgspec.Struct):
    """The end mark of a streamed answer."""

    length: int
    digest: str
    answer: msgspec.Raw


class ProblemBody(msgspec.Struct):
    """The members of a problem answer that a caller needs."""

    title: str = ""
    detail: str = ""
    ran: str = "unknown"


def ignore(request_id: str) -> None:
    """Take no note of an accepted request."""


async def send(
    session: aiohttp.ClientSession,
    entry: str,
    token: str,
    pipeline: str,
    body: dict[str, Any],
    headers: dict[str, str],
    on_accepted: Callable[[str], None] = ignore,
    timeout_s: float = CALL_TIMEOUT_S,
) -> Received:
    """Send one request and read its whole answer, streamed if the body says so.

    ``on_accepted`` is told the request's id as soon as the system takes it. Raise
    TimeoutError when the answer is not whole after ``timeout_s``.
    """
    async with session.post(
        f"{entry}/v1/pipelines/{pipeline}/requests",
        json=body,
        headers={"Authorization": f"Bearer {token}", **headers},
        timeout=aiohttp.ClientTimeout(total=timeout_s),
        read_bufsize=MAXIMUM_LINE_BYTES,
    ) as response:
        return await _receive(response, on_accepted)


async def _receive(
    response: aiohttp.ClientResponse,
    on_accepted: Callable[[str], None],
) -> Received:
    request_id = response.headers.get("Bitternlever-Request-Id", "")
    received = Received(status=response.status, request_id=request_id)
    if response.status >= FIRST_REFUSAL:
        _refused(received, response, await response.read())
        return received
    on_accepted(request_id)
    if response.status != OK:
        received.faults.append("not answered yet")
    elif response.content_type == "text/event-stream":
        await _read_events(response, received)
    else:
        _take(received, await response.read())
    return received


def _refused(
    received: Received,
    response: aiohttp.ClientResponse,
    body: bytes,
) -> None:
    received.retry_after_s = float(response.headers.get("Retry-After", "0"))
    _problem(received, body)


def _problem(received: Received, body: bytes) -> None:
    problem = msgspec.json.decode(body, type=ProblemBody)
    received.ran = problem.ran
    received.faults.append(f"{problem.title}: {problem.detail}")


async def _read_events(response: aiohttp.ClientResponse, received: Received) -> None:
    text = ""
    name = ""
    async for line in response.content:
        if line.startswith(b"event: "):
            name = line[7:].strip().decode()
        elif line.startswith(b"data: ") and name == PIECE_EVENT:
            text += _piece(received, text, json.loads(line[6:]))
        elif line.startswith(b"data: ") and name == END_EVENT:
            _end(received, text, msgspec.json.decode(line[6:], type=EndBody))
            return
        elif line.startswith(b"data: "):
            _problem(received, line[6:])
            return
    raise ConnectionResetError("the stream ended without its end mark")


def _piece(received: Received, text: str, piece: dict[str, Any]) -> str:
    length = len(piece["text"])
    received.pieces.append(records.Piece(offset=piece["offset"], length=length))
    if piece["offset"] != len(text):
        received.faults.append(f"a gap at character {len(text)}")
    return piece["text"]


def _end(received: Received, text: str, end: EndBody) -> None:
    received.claimed_length = end.length
    received.claimed_digest = end.digest
    if end.length != len(text) or end.digest != words.text_digest(text):
        received.faults.append("the end mark does not fit the streamed text")
    _take(received, bytes(end.answer))
    if received.output != text:
        received.faults.append("the streamed text is not the answer's output")


def _take(received: Received, body: bytes) -> None:
    """Take an answer; what the stand-ins marked must be this request's."""
    answer = msgspec.json.decode(body, type=AnswerBody)
    received.body = body
    received.output = answer.output
    received.cost_ms = answer.cost_ms
    if answer.request_id != received.request_id:
        received.faults.append("the answer's request id is not the header's")
    mark = words.short_hash(received.request_id)
    if isinstance(answer.output, str):
        received.faults += _text_faults(answer.output, mark)
    elif answer.output.get("request") != mark:
        received.faults.append("the output belongs to another request")


def output_digest(output: Any) -> str:
    """Return the digest of an output as the stand-ins record it."""
    if isinstance(output, str):
        return records.text_digest(output)
    return records.digest(output)


def _text_faults(text: str, mark: str) -> list[str]:
    for number, word in enumerate(text.split(" ")):
        if not word.endswith(f"-{mark}-{number}"):
            return [f"word {number} is {word!r}, of another request or place"]
    return []
