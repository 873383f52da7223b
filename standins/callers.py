"""A caller that sends one request and checks that its answer is whole."""

import dataclasses
import json
from typing import Any

import aiohttp
import msgspec

from standins import words

CALL_TIMEOUT_S = 60.0
MAXIMUM_LINE_BYTES = 2**20
END_EVENT = "end"
PIECE_EVENT = "piece"


@dataclasses.dataclass(slots=True)
class Received:
    """What a caller got for one request; ``faults`` is empty for a whole answer."""

    status: int
    request_id: str
    output: Any = None
    cost_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    pieces: int = 0
    faults: list[str] = dataclasses.field(default_factory=list)


class AnswerBody(msgspec.Struct):
    """The members of a whole answer."""

    request_id: str
    output: Any
    cost_ms: dict[str, float] = {}


class EndBody(msgspec.Struct):
    """The end mark of a streamed answer."""

    length: int
    digest: str
    answer: AnswerBody


async def send(
    session: aiohttp.ClientSession,
    entry: str,
    token: str,
    pipeline: str,
    body: dict[str, Any],
    headers: dict[str, str],
) -> Received:
    """Send one request and read its whole answer, streamed if the body says so."""
    async with session.post(
        f"{entry}/v1/pipelines/{pipeline}/requests",
        json=body,
        headers={"Authorization": f"Bearer {token}", **headers},
        timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
        read_bufsize=MAXIMUM_LINE_BYTES,
    ) as response:
        request_id = response.headers.get("Bitternlever-Request-Id", "")
        received = Received(status=response.status, request_id=request_id)
        if response.status != 200:
            received.faults.append((await response.text()).strip())
        elif response.content_type == "text/event-stream":
            await _read_events(response, received)
        else:
            answer = msgspec.json.decode(await response.read(), type=AnswerBody)
            _take(received, answer)
    return received


async def _read_events(response: aiohttp.ClientResponse, received: Received) -> None:
    text = ""
    name = ""
    async for line in response.content:
        if line.startswith(b"event: "):
            name = line[7:].strip().decode()
        elif line.startswith(b"data: ") and name == PIECE_EVENT:
            piece = json.loads(line[6:])
            if piece["offset"] != len(text):
                received.faults.append(f"a gap at character {len(text)}")
            text += piece["text"]
            received.pieces += 1
        elif line.startswith(b"data: ") and name == END_EVENT:
            _end(received, text, msgspec.json.decode(line[6:], type=EndBody))
            return
        elif line.startswith(b"data: "):
            received.faults.append(line[6:].decode().strip())
            return
    received.faults.append("the stream ended without its end mark")


def _end(received: Received, text: str, end: EndBody) -> None:
    if end.length != len(text) or end.digest != words.text_digest(text):
        received.faults.append("the end mark does not fit the streamed text")
    _take(received, end.answer)
    if received.output != text:
        received.faults.append("the streamed text is not the answer's output")


def _take(received: Received, answer: AnswerBody) -> None:
    """Take an answer; what the stand-ins marked must be this request's."""
    received.output = answer.output
    received.cost_ms = answer.cost_ms
    if answer.request_id != received.request_id:
        received.faults.append("the answer's request id is not the header's")
    mark = words.short_hash(received.request_id)
    if isinstance(answer.output, str):
        received.faults += _text_faults(answer.output, mark)
    elif answer.output.get("request") != mark:
        received.faults.append("the output belongs to another request")


def _text_faults(text: str, mark: str) -> list[str]:
    for number, word in enumerate(text.split(" ")):
        if not word.endswith(f"-{mark}-{number}"):
            return [f"word {number} is {word!r}, of another request or place"]
    return []
