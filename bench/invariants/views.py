"""Indexes over the records of a run."""

import collections
import dataclasses

from bench.invariants import records


@dataclasses.dataclass(slots=True)
class LogicalRequest:
    """All exchanges with one input, which form one logical request."""

    input_digest: str
    sent: list[records.RequestSent] = dataclasses.field(default_factory=list)
    accepted: list[records.RequestAccepted] = dataclasses.field(default_factory=list)
    answers: list[records.AnswerReceived] = dataclasses.field(default_factory=list)
    refusals: list[records.RefusalReceived] = dataclasses.field(default_factory=list)
    cancelled: bool = False


@dataclasses.dataclass(slots=True)
class View:
    """The records of a run with the indexes used by the invariants.

    ``outputs`` maps the digest of an input to the digests of the complete outputs of
    the calls with that input.
    """

    run_records: list[records.Record]
    requests_by_input: dict[str, LogicalRequest]
    calls: list[records.StageCalled]
    calls_by_input: dict[str, list[records.StageCalled]]
    inputs_by_request: dict[str, set[str]]
    outputs: dict[str, set[str]]


def create(run_records: list[records.Record]) -> View:
    """Index the records of a run, ordered by time."""
    calls = [
        record for record in run_records if isinstance(record, records.StageCalled)
    ]
    calls_by_input = collections.defaultdict(list)
    inputs_by_request = collections.defaultdict(set)
    for call in calls:
        calls_by_input[call.input_digest].append(call)
        inputs_by_request[call.request].add(call.input_digest)
    outputs = collections.defaultdict(set)
    for record in run_records:
        if _has_complete_output(record):
            outputs[record.input_digest].add(record.output_digest)
    return View(
        run_records=run_records,
        requests_by_input=_index_requests(run_records),
        calls=calls,
        calls_by_input=calls_by_input,
        inputs_by_request=inputs_by_request,
        outputs=outputs,
    )


def label(request: LogicalRequest) -> str:
    """Return the kind of a logical request and the start of its input digest."""
    return f"{request.sent[0].kind} {request.input_digest[:12]}"


def describe(call: records.StageCalled) -> str:
    """Return the text that describes a stage call in a violation."""
    return f"{call.upstream} got attempt {call.attempt} of stage {call.stage}"


def _has_complete_output(record: records.Record) -> bool:
    is_end = isinstance(record, records.CallEnded)
    return is_end and record.ending == records.Ending.WHOLE


def _index_requests(run_records: list[records.Record]) -> dict[str, LogicalRequest]:
    requests_by_input: dict[str, LogicalRequest] = {}
    by_exchange: dict[str, LogicalRequest] = {}
    for record in run_records:
        if isinstance(record, records.RequestSent):
            digest = record.input_digest
            request = requests_by_input.setdefault(
                digest, LogicalRequest(input_digest=digest)
            )
            by_exchange[record.exchange] = request
            request.sent.append(record)
    for record in run_records:
        match record:
            case records.RequestAccepted():
                by_exchange[record.exchange].accepted.append(record)
            case records.AnswerReceived():
                by_exchange[record.exchange].answers.append(record)
            case records.RefusalReceived():
                by_exchange[record.exchange].refusals.append(record)
            case records.RequestCancelled():
                by_exchange[record.exchange].cancelled = True
    return requests_by_input
