"""What the client knows and returns."""

import dataclasses
import random
from collections.abc import Callable
from typing import Any

import aiohttp
import msgspec

from bitternlever.messages import problems

CONNECT_TIMEOUT_S = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class ClientSettings:
    """Settings of a client; durations in seconds.

    ``addresses`` are entry hosts to ask first. ``patience_s`` bounds one request with
    all its retries, ``exchange_s`` one exchange without a byte, ``silence_s`` a stream
    without a sign of life.
    """

    addresses: list[str]
    token: str
    zone: str | None = None
    patience_s: float = 60.0
    exchange_s: float = 30.0
    silence_s: float = 4.0


@dataclasses.dataclass(slots=True)
class Client:
    """An open client: its connections and the host list it may still use."""

    settings: ClientSettings
    session: aiohttp.ClientSession
    clock: Callable[[], float]
    random: random.Random
    hosts: list[str] = dataclasses.field(default_factory=list)
    hosts_expire_s: float = 0.0
    next_host: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Submission:
    """A request to send; with a ``key`` it may be sent again without running twice."""

    pipeline: str
    kind: str
    input: Any
    key: str | None = None
    stream: bool = False
    deadline_ms: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """A whole answer; ``body`` are the bytes that every replay returns."""

    request_id: str
    body: bytes
    text: str = ""

    def decode(self) -> Any:
        """Return the body's JSON value."""
        return msgspec.json.decode(self.body)


@dataclasses.dataclass(slots=True, frozen=True)
class Failure:
    """No answer: the last problem, and what is certain about the request.

    ``request_id`` names the request, so that it can be asked for later. A ``final``
    failure does not pass by sending again.
    """

    ran: problems.Ran
    detail: str
    status: int | None = None
    request_id: str | None = None
    final: bool = False


@dataclasses.dataclass(slots=True)
class Run:
    """One request on its way: what was received so far, and by when it must end."""

    submission: Submission
    body: bytes
    ends_s: float
    on_piece: Callable[[str], None] | None = None
    request_id: str | None = None
    text: str = ""
    shown: int = 0
    in_doubt: bool = False
    ask_by_id: bool = False


class HostAddress(msgspec.Struct):
    """One host of a host list."""

    address: str
    zone: str = ""


class HostList(msgspec.Struct):
    """The answer of ``GET /v1/hosts``."""

    hosts: list[HostAddress]
    max_age_s: float
