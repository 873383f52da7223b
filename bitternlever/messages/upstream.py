"""Announcements and load reports of upstreams, and calls from entry hosts to them.

Calls are JSON over HTTP. The body of ``POST {address}/v1/stages/{task}`` is a
:class:`StageCall`. The response is one :class:`StageReply` or, for a streamed call,
JSON lines: :class:`StreamPart` objects followed by one :class:`StreamEnd`.
``DELETE {address}/v1/calls/{attempt}`` cancels a call.
"""

from typing import Any

import msgspec


class Binding(msgspec.Struct, frozen=True):
    """The identity of one stage attempt; an answer must echo it unchanged."""

    request: str
    stage: str
    attempt: str
    epoch: int


class LoadReport(msgspec.Struct):
    """Load as measured by the upstream itself, ``age_s`` seconds ago."""

    running: int = 0
    waiting: int = 0
    step_ms: float = 0.0
    cached_prefixes: int = 0
    age_s: float = 0.0


class CacheEvent(msgspec.Struct, frozen=True):
    """One change to a prefix cache; a gap in the numbers means lost events."""

    number: int
    prefix: str
    stored: bool


class Announcement(msgspec.Struct):
    """An upstream's announcement of itself, repeated every second."""

    name: str
    incarnation: int
    sequence: int
    address: str
    pool: str
    zone: str
    tasks: list[str]
    models: list[str] = []
    adapters: list[str] = []
    role: str = "mixed"
    concurrency: int = 8
    checks_fencing: bool = False
    answers_status: bool = False
    leaving: bool = False
    load: LoadReport | None = None
    cache_events: list[CacheEvent] = []


class StageCall(msgspec.Struct):
    """A call to an upstream for one stage of a request."""

    binding: Binding
    input: Any
    previous: Any = None
    model: str | None = None
    priority: int = 0
    time_left_ms: int = 0
    maximum_output_tokens: int = 0
    stream: bool = False
    resume_output: str = ""
    prefix: str = ""


class Usage(msgspec.Struct, frozen=True):
    """Resources that a stage attempt used on the upstream."""

    busy_ms: float = 0.0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0


class StageReply(msgspec.Struct):
    """The complete output of a stage; ``digest`` is the SHA-256 of its JSON bytes."""

    binding: Binding
    output: Any
    digest: str
    usage: Usage = Usage()


class StreamPart(msgspec.Struct, frozen=True):
    """A piece of streamed output that begins at character ``offset``."""

    offset: int
    text: str


class StreamEnd(msgspec.Struct):
    """The end of a streamed output: its total length and SHA-256 digest."""

    binding: Binding
    length: int
    digest: str
    usage: Usage = Usage()


class StreamLine(msgspec.Struct, frozen=True):
    """Any line of a streamed reply; only the last line has a binding."""

    offset: int = 0
    text: str = ""
    binding: Binding | None = None
    length: int = 0
    digest: str = ""
    usage: Usage = Usage()


class Refusal(msgspec.Struct, frozen=True):
    """An upstream's refusal; ``ran`` is "no" if it did not process the call at all."""

    detail: str = ""
    ran: str = "unknown"


class EngineOrder(msgspec.Struct, frozen=True):
    """The desired state of an engine; body of ``PUT {address}/v1/engine``."""

    fencing: int
    models: list[str]
    adapters: list[str]
    role: str
