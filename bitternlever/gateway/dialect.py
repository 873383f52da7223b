"""Functions that read and write the headers and bodies of one external interface.

A dialect makes no decisions; it converts headers and bodies to these types and back.
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
    """A part of a prompt that other requests may share, with its length in tokens."""

    part: str
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class RequestHead:
    """The parsed headers of a caller's request; absent values are None or empty.

    ``pieces`` is the number of pieces of each stage, ``piece_key`` the data that stages
    without inputs work on. A request that takes up a stream after ``last_event`` names
    in ``resumes`` the request that brought the stream's first event. One that another
    host has ``handed_over`` stays here.
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
    resumes: str = ""
    handed_over: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class ForwardedFields:
    """The fields that the gateway sets on a request that it forwards.

    ``body_bytes`` is None if the caller sent no body.
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
    """The parsed headers of an upstream's answer.

    ``signed`` is set if the upstream's signature is present, ``not_run`` if the
    upstream reports that it did not run the request, ``inputs_lost`` if it did not
    because results of earlier stages are gone. ``leaving`` is set if the upstream that
    answered will end soon and wants no new work; ``instance`` is its id if the answer
    names it. ``rate_limit`` is the number of requests per second that the upstream
    takes from all hosts together, None if it names none. An upstream that falls over
    if it rejects more requests in a second than ``rejection_limit`` names that.
    ``rate_limit_fault`` shows a value that cannot be read. The upstream stays cold for
    ``cold_s``, None if it does not say.
    """

    request: str | None
    signed: bool
    not_run: bool
    wrong_instance: bool
    inputs_lost: bool
    leaving: bool = False
    instance: str | None = None
    rate_limit: float | None = None
    rejection_limit: float | None = None
    rate_limit_fault: str = ""
    cold_s: float | None = None


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
    """An encoded HTTP request to a stage upstream."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Dialect:
    """The functions of one interface."""

    read_request: Callable[[RawHeaders], RequestHead]
    forwarded_headers: Callable[
        [RawHeaders, ForwardedFields], list[tuple[bytes, bytes]]
    ]
    handover_headers: Callable[
        [RawHeaders, float, int | None], list[tuple[bytes, bytes]]
    ]
    read_answer: Callable[[int, RawHeaders], AnswerHead]
    answer_headers: Callable[[RawHeaders], list[tuple[str, str]]]
    stage_call: Callable[[str, str, list[StageItem]], StageRequest]
    stage_answer: Callable[
        [bytes, int], result.Result[list[batching_tables.ItemOutcome], str]
    ]
    producer_address: Callable[[str], str]
    stage_free: Callable[[str, list[str]], StageRequest]
    read_catalog: Callable[
        [bytes], result.Result[catalog_tables.Catalog, catalog_tables.CatalogFault]
    ]
