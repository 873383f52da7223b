"""What the gateway needs from an interface: functions that read and write its headers.

A dialect decides nothing; it turns headers and bodies into these types and back.
"""

import dataclasses
from collections.abc import Callable, Sequence

import result

from bitternlever.batching import tables as batching_tables
from bitternlever.catalog import tables as catalog_tables
from bitternlever.messages import fleet

RawHeaders = Sequence[tuple[bytes, bytes]]


@dataclasses.dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt that other requests may share, and its length in tokens."""

    part: str
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class RequestHead:
    """What the headers of a caller's request say; absent values are None or empty.

    ``pieces`` counts the pieces of each stage, ``piece_key`` is what stages without
    inputs work on.
    """

    request: str
    deadline_s: float | None
    api_key: str | None
    prompt: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    pieces: tuple[int, ...]
    piece_key: str
    last_event: str | None


@dataclasses.dataclass(slots=True, frozen=True)
class Onward:
    """What the gateway adds to a request that it passes on.

    ``body_bytes`` is None where the caller sent no body.
    """

    deadline_s: float
    upstream: str
    workspace: str | None
    priority: int | None
    inputs: tuple[str, ...]
    resume_after: str | None
    body_bytes: int | None


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerHead:
    """What the headers of an upstream's answer say.

    ``signed`` tells whether the upstream's signature is there, ``not_run`` whether
    it says that it did not run the request, ``inputs_lost`` whether because results
    of earlier stages are gone.
    """

    request: str | None
    signed: bool
    not_run: bool
    wrong_instance: bool
    inputs_lost: bool


@dataclasses.dataclass(slots=True, frozen=True)
class StageItem:
    """One piece in a call to a stage upstream."""

    request: str
    stage: int
    piece: fleet.StagePiece
    left_s: float
    key: str


@dataclasses.dataclass(slots=True, frozen=True)
class StageRequest:
    """A call as it is sent: method, target, headers, body."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Dialect:
    """All functions of one interface."""

    read_request: Callable[[RawHeaders], RequestHead]
    onward_headers: Callable[[RawHeaders, Onward], list[tuple[bytes, bytes]]]
    read_answer: Callable[[int, RawHeaders], AnswerHead]
    answer_headers: Callable[[RawHeaders], list[tuple[str, str]]]
    stage_call: Callable[[str, str, list[StageItem]], StageRequest]
    stage_answer: Callable[
        [bytes, int], result.Result[list[batching_tables.ItemDone], str]
    ]
    maker_address: Callable[[str], str]
    stage_free: Callable[[str, list[str]], StageRequest]
    read_catalog: Callable[
        [bytes], result.Result[catalog_tables.Catalog, catalog_tables.CatalogFault]
    ]
