"""A caller that sends one request and checks that its answer is complete."""

import dataclasses
import json
from collections.abc import Callable
from typing import Any

import aiohttp
import msgspec

from bench.invariants import records
from standins import words

OK = 200
FIRST_ERROR_STATUS = 400
CALL_TIMEOUT_S = 60.0
MAXIMUM_LINE_BYTES = 2**20
END_EVENT = "end"
PIECE_EVENT = "piece"


@dataclasses.dataclass(slots=True)
class ReceivedAnswer:
    """The answer to one request; ``faults`` is empty if the answer is complete.

    ``cost_ms`` is the time that upstreams spent, by stage. ``claimed_length`` and
    ``claimed_digest`` are those of a stream's end event.
    """

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
    def is_complete(self) -> bool:
        """Return True if a complete answer was received."""
        return self.status == OK and not self.faults


class AnswerBody(msgspec.Struct):
    """The body of a complete answer."""

    request_id: str
    output: Any
    cost_ms: dict[str, float] = {}


class EndBody(msgspec.Struct):
    """The data of the end event of a streamed answer."""

    length: int
    digest: str
    answer: msgspec.Raw


class ProblemBody(msgspec.Struct):
    """The members of a problem response that a caller uses."""

    title: str = ""
    detail: str = ""
    ran: str = "unknown"


def ignore(request_id: str) -> None:
    """Do nothing when a request is accepted."""


async def send(
    session: aiohttp.ClientSession,
    entry: str,
    token: str,
    pipeline: str,
    body: dict[str, Any],
    headers: dict[str, str],
    on_accepted: Callable[[str], None] = ignore,
    timeout_s: float = CALL_TIMEOUT_S,
) -> ReceivedAnswer:
    """Send one request and read its complete answer, streamed if the body asks for it.

    ``on_accepted`` is called with the request id as soon as the request is accepted.
    Raise TimeoutError if the answer is not complete after ``timeout_s``.
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
) -> ReceivedAnswer:
    request_id = response.headers.get("Bitternlever-Request-Id", "")
    received = ReceivedAnswer(status=response.status, request_id=request_id)
    if response.status >= FIRST_ERROR_STATUS:
        _read_refusal(received, response, await response.read())
        return received
    on_accepted(request_id)
    if response.status != OK:
        received.faults.append("not answered yet")
    elif response.content_type == "text/event-stream":
        await _read_events(response, received)
    else:
        _read_answer(received, await response.read())
    return received


def _read_refusal(
    received: ReceivedAnswer,
    response: aiohttp.ClientResponse,
    body: bytes,
) -> None:
    received.retry_after_s = float(response.headers.get("Retry-After", "0"))
    _read_problem(received, body)


def _read_problem(received: ReceivedAnswer, body: bytes) -> None:
    problem = msgspec.json.decode(body, type=ProblemBody)
    received.ran = problem.ran
    received.faults.append(f"{problem.title}: {problem.detail}")


async def _read_events(
    response: aiohttp.ClientResponse, received: ReceivedAnswer
) -> None:
    text = ""
    name = ""
    async for line in response.content:
        if line.startswith(b"event: "):
            name = line[7:].strip().decode()
        elif line.startswith(b"data: ") and name == PIECE_EVENT:
            text += _add_piece(received, text, json.loads(line[6:]))
        elif line.startswith(b"data: ") and name == END_EVENT:
            _read_end(received, text, msgspec.json.decode(line[6:], type=EndBody))
            return
        elif line.startswith(b"data: "):
            _read_problem(received, line[6:])
            return
    raise ConnectionResetError("the stream ended without an end event")


def _add_piece(received: ReceivedAnswer, text: str, piece: dict[str, Any]) -> str:
    length = len(piece["text"])
    received.pieces.append(records.Piece(offset=piece["offset"], length=length))
    if piece["offset"] != len(text):
        received.faults.append(f"a gap at character {len(text)}")
    return piece["text"]


def _read_end(received: ReceivedAnswer, text: str, end: EndBody) -> None:
    received.claimed_length = end.length
    received.claimed_digest = end.digest
    if end.length != len(text) or end.digest != words.text_digest(text):
        received.faults.append("the end event does not match the streamed text")
    _read_answer(received, bytes(end.answer))
    if received.output != text:
        received.faults.append("the streamed text differs from the answer's output")


def _read_answer(received: ReceivedAnswer, body: bytes) -> None:
    """Read an answer and check that its output carries the hash of this request."""
    answer = msgspec.json.decode(body, type=AnswerBody)
    received.body = body
    received.output = answer.output
    received.cost_ms = answer.cost_ms
    if answer.request_id != received.request_id:
        received.faults.append("the answer's request id differs from the header's")
    request_hash = words.short_hash(received.request_id)
    if isinstance(answer.output, str):
        received.faults += _text_faults(answer.output, request_hash)
    elif answer.output.get("request") != request_hash:
        received.faults.append("the output belongs to another request")


def output_digest(output: Any) -> str:
    """Return the digest of an output, as the stand-ins write it to their records."""
    if isinstance(output, str):
        return records.text_digest(output)
    return records.digest(output)


def _text_faults(text: str, request_hash: str) -> list[str]:
    for number, word in enumerate(text.split(" ")):
        if not word.endswith(f"-{request_hash}-{number}"):
            return [f"word {number} is {word!r}: wrong request or position"]
    return []
