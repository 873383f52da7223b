"""Types of the client: settings, state and results."""

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

    ``addresses`` are the entry hosts to ask first. ``patience_s`` bounds a request with
    all its retries. ``exchange_s`` is the read timeout of an exchange; ``silence_s`` is
    the time without a byte after which a stream counts as broken.
    """

    addresses: list[str]
    token: str
    zone: str | None = None
    patience_s: float = 60.0
    exchange_s: float = 30.0
    silence_s: float = 4.0


@dataclasses.dataclass(slots=True)
class Client:
    """An open client: its connections and its cached host list."""

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
    """A whole answer; ``body`` has the same bytes on every replay."""

    request_id: str
    body: bytes
    text: str = ""

    def decode(self) -> Any:
        """Return the body's JSON value."""
        return msgspec.json.decode(self.body)


@dataclasses.dataclass(slots=True, frozen=True)
class Failure:
    """A request without an answer: the last problem, and whether the request ran.

    The request can be queried later by its ``request_id``. Sending it again does not
    help if the failure is ``final``.
    """

    ran: problems.Ran
    detail: str
    status: int | None = None
    request_id: str | None = None
    final: bool = False


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A request in progress: its deadline and what was received so far.

    ``reported_length`` counts the characters of ``text`` passed to ``on_piece``.
    """

    submission: Submission
    body: bytes
    deadline_s: float
    on_piece: Callable[[str], None] | None = None
    request_id: str | None = None
    text: str = ""
    reported_length: int = 0
    may_have_run: bool = False
    query_by_id: bool = False


class HostAddress(msgspec.Struct):
    """One host of a host list."""

    address: str
    zone: str = ""


class HostList(msgspec.Struct):
    """The answer of ``GET /v1/hosts``."""

    hosts: list[HostAddress]
    max_age_s: float
