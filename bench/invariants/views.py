"""Indexes over the records of a run."""

import collections
import dataclasses

from bench.invariants import records


@dataclasses.dataclass(slots=True)
class Logical:
    """All exchanges about one input, which is one logical request."""

    input_digest: str
    sent: list[records.RequestSent] = dataclasses.field(default_factory=list)
    accepted: list[records.RequestAccepted] = dataclasses.field(default_factory=list)
    answers: list[records.AnswerReceived] = dataclasses.field(default_factory=list)
    refusals: list[records.RefusalReceived] = dataclasses.field(default_factory=list)
    cancelled: bool = False


@dataclasses.dataclass(slots=True)
class View:
    """The records of a run with the indexes that the invariants need.

    ``outputs`` are the digests of whole outputs that calls with an input made.
    """

    run: list[records.Record]
    logical: dict[str, Logical]
    calls: list[records.StageCalled]
    calls_by_input: dict[str, list[records.StageCalled]]
    inputs_by_request: dict[str, set[str]]
    outputs: dict[str, set[str]]


def create(run: list[records.Record]) -> View:
    """Index the records of a run, which are ordered by time."""
    calls = [record for record in run if isinstance(record, records.StageCalled)]
    calls_by_input = collections.defaultdict(list)
    inputs_by_request = collections.defaultdict(set)
    for call in calls:
        calls_by_input[call.input_digest].append(call)
        inputs_by_request[call.request].add(call.input_digest)
    outputs = collections.defaultdict(set)
    for record in run:
        if _made_output(record):
            outputs[record.input_digest].add(record.output_digest)
    return View(
        run=run,
        logical=_logical(run),
        calls=calls,
        calls_by_input=calls_by_input,
        inputs_by_request=inputs_by_request,
        outputs=outputs,
    )


def name(logical: Logical) -> str:
    """Name a logical request by its kind and the start of its digest."""
    return f"{logical.sent[0].kind} {logical.input_digest[:12]}"


def describe(call: records.StageCalled) -> str:
    """Describe a stage call in a violation."""
    return f"{call.upstream} got attempt {call.attempt} of stage {call.stage}"


def _made_output(record: records.Record) -> bool:
    ended = isinstance(record, records.CallEnded)
    return ended and record.ending == records.Ending.WHOLE


def _logical(run: list[records.Record]) -> dict[str, Logical]:
    found: dict[str, Logical] = {}
    by_exchange: dict[str, Logical] = {}
    for record in run:
        if isinstance(record, records.RequestSent):
            digest = record.input_digest
            logical = found.setdefault(digest, Logical(input_digest=digest))
            by_exchange[record.exchange] = logical
            logical.sent.append(record)
    for record in run:
        match record:
            case records.RequestAccepted():
                by_exchange[record.exchange].accepted.append(record)
            case records.AnswerReceived():
                by_exchange[record.exchange].answers.append(record)
            case records.RefusalReceived():
                by_exchange[record.exchange].refusals.append(record)
            case records.RequestCancelled():
                by_exchange[record.exchange].cancelled = True
    return found
