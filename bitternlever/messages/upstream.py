"""What upstreams announce and report, and the calls that entry hosts send them.

Calls travel as JSON over HTTP: ``POST {address}/v1/stages/{task}`` carries a
:class:`StageCall`. The answer is one :class:`StageReply`, or for a streamed call
lines of JSON, each a :class:`StreamPart` but the last, which is a
:class:`StreamEnd`. Cancelling is ``DELETE {address}/v1/calls/{attempt}``.
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
    """An upstream's own view of its load, as old as ``age_s`` says."""

    running: int = 0
    waiting: int = 0
    step_ms: float = 0.0
    cached_prefixes: int = 0
    age_s: float = 0.0


class CacheEvent(msgspec.Struct, frozen=True):
    """One change of a prefix cache; numbers without gaps unless events were lost."""

    number: int
    prefix: str
    stored: bool


class Announcement(msgspec.Struct):
    """An upstream's word about itself, repeated every second."""

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
    """What a stage attempt cost the upstream."""

    busy_ms: float = 0.0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0


class StageReply(msgspec.Struct):
    """The whole output of a stage; ``digest`` is the SHA-256 of its JSON bytes."""

    binding: Binding
    output: Any
    digest: str
    usage: Usage = Usage()


class StreamPart(msgspec.Struct, frozen=True):
    """A piece of streamed output that begins at character ``offset``."""

    offset: int
    text: str


class StreamEnd(msgspec.Struct):
    """The end of a streamed output: its whole length and SHA-256 digest."""

    binding: Binding
    length: int
    digest: str
    usage: Usage = Usage()


class StreamLine(msgspec.Struct, frozen=True):
    """Any line of a streamed reply as read: the one with a binding is the end."""

    offset: int = 0
    text: str = ""
    binding: Binding | None = None
    length: int = 0
    digest: str = ""
    usage: Usage = Usage()


class Refusal(msgspec.Struct, frozen=True):
    """An upstream's refusal; ``ran`` is "no" when it did nothing with the call."""

    detail: str = ""
    ran: str = "unknown"


class EngineOrder(msgspec.Struct, frozen=True):
    """An order that states the wanted result; ``PUT {address}/v1/engine``."""

    fencing: int
    models: list[str]
    adapters: list[str]
    role: str
