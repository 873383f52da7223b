"""Fake callers, who follow the rules for clients and record what they get."""

import dataclasses
import hashlib
import itertools
from typing import Any

import msgspec

from bench.invariants import records
from bitternlever.messages import problems, requests
from tests.scenarios import network, world

PATIENCE_S = 8.0
RECONNECT_S = 0.2
MAXIMUM_EXCHANGES = 60
GARBLED_TYPE = "stream-garbled"


@dataclasses.dataclass(slots=True, eq=False)
class Caller:
    """One caller with one request, from its first exchange to its outcome.

    A caller with a key sends again elsewhere until it holds an answer or a problem
    without a time to come back. One without a key sends once.
    """

    name: str
    workspace: str
    pipeline: str
    kind: str
    durable: bool
    key: str | None
    stream: bool
    hosts: list[str]
    input: Any
    text: str = ""
    request_id: str | None = None
    pieces: list[records.Piece] = dataclasses.field(default_factory=list)
    exchange: int = 0
    exchanges: int = 0
    host: world.Process | None = None
    heard_s: float = 0.0
    answer: Any = None
    problem: problems.Problem | None = None
    sent_s: float = 0.0
    answered_s: float | None = None
    done: bool = False


@dataclasses.dataclass(slots=True, repr=False)
class Crowd:
    """All callers by name, and by the number of their open exchange."""

    here: world.World
    wires: network.Network
    by_name: dict[str, Caller] = dataclasses.field(default_factory=dict)
    by_exchange: dict[int, Caller] = dataclasses.field(default_factory=dict)
    numbers: itertools.count = dataclasses.field(
        default_factory=lambda: itertools.count(1),
    )


def send(crowd: Crowd, caller: Caller, again_by_id: bool = False) -> None:
    """Open an exchange on the caller's next host, to submit or to ask by id."""
    if caller.done or caller.exchanges >= MAXIMUM_EXCHANGES:
        return
    name = caller.hosts[caller.exchanges % len(caller.hosts)]
    caller.exchanges += 1
    caller.sent_s = caller.sent_s or crowd.here.now
    process = crowd.here.processes.get(name)
    if process is None or not process.alive:
        world.after(crowd.here, RECONNECT_S, lambda: send(crowd, caller, again_by_id))
        return
    caller.exchange = next(crowd.numbers)
    caller.host = process
    caller.heard_s = crowd.here.now
    crowd.by_exchange[caller.exchange] = caller
    _record_sent(crowd, caller)
    message = _query(caller) if again_by_id else _submission(caller)
    _reach(crowd, caller.host, message)
    _watch(crowd, caller, caller.exchange)


def receive(crowd: Crowd, process: world.Process, message: Any) -> None:
    """Take what a host sends on an exchange; a closed one takes nothing."""
    caller = crowd.by_exchange.get(message.caller)
    if caller is None or caller.exchange != message.caller:
        return
    if (process.name, "callers") not in crowd.wires.cut:
        caller.heard_s = crowd.here.now
        RECEIVERS[type(message)](crowd, caller, message)


def cancel(crowd: Crowd, caller: Caller, process: world.Process) -> None:
    """Cancel a caller's request by its id, on any host."""
    _record(crowd, records.RequestCancelled(_exchange(caller), crowd.here.now))
    message = requests.RequestCancelled(
        caller=next(crowd.numbers),
        workspace=caller.workspace,
        request_id=caller.request_id or _keyed_id(caller),
    )
    _reach(crowd, process, message)


def hang_up(crowd: Crowd, caller: Caller) -> None:
    """Close a caller's open exchange."""
    crowd.by_exchange.pop(caller.exchange, None)
    _reach(crowd, caller.host, requests.CallerGone(caller=caller.exchange))
    caller.exchange = 0


def _take_piece(crowd: Crowd, caller: Caller, message: requests.StreamPiece) -> None:
    caller.pieces.append(records.Piece(message.offset, len(message.text)))
    caller.text += message.text
    _accepted(crowd, caller, message.request_id)


def _take_answer(crowd: Crowd, caller: Caller, message: requests.WholeAnswer) -> None:
    body = msgspec.json.decode(message.body)
    output = caller.text if message.output_digest and caller.stream else body["output"]
    is_text = isinstance(output, str)
    record = records.AnswerReceived(
        exchange=_exchange(caller),
        request_id=message.request_id,
        body_digest=records.text_digest(message.body.decode()),
        output_digest=records.text_digest(output)
        if is_text
        else records.digest(output),
        time_s=crowd.here.now,
        pieces=caller.pieces if message.output_digest and caller.stream else [],
        claimed_length=message.length,
        claimed_digest=message.output_digest,
    )
    _record(crowd, record)
    caller.answer = output
    caller.request_id = message.request_id
    caller.answered_s = crowd.here.now
    caller.done = True
    acknowledgement = requests.AnswerAcknowledged(
        caller=next(crowd.numbers),
        workspace=caller.workspace,
        request_id=message.request_id,
    )
    if caller.key is not None or caller.durable:
        _reach(crowd, caller.host, acknowledgement)


def _take_problem(
    crowd: Crowd, caller: Caller, message: requests.ProblemAnswer
) -> None:
    problem = message.problem
    caller.problem = problem
    record = records.RefusalReceived(
        exchange=_exchange(caller),
        request_id=problem.request_id,
        status=problem.status,
        ran=problem.ran.value,
        time_s=crowd.here.now,
    )
    _record(crowd, record)
    crowd.by_exchange.pop(caller.exchange, None)
    caller.exchange = 0
    if problem.type == GARBLED_TYPE:
        caller.text = ""
        caller.pieces = []
    if caller.key is None or problem.retry_after_s is None:
        caller.done = True
        return
    world.after(crowd.here, problem.retry_after_s, lambda: send(crowd, caller))


def _take_state(crowd: Crowd, caller: Caller, message: requests.RequestState) -> None:
    _accepted(crowd, caller, message.request_id)
    crowd.by_exchange.pop(caller.exchange, None)
    caller.exchange = 0
    world.after(
        crowd.here,
        message.retry_after_s,
        lambda: send(crowd, caller, again_by_id=True),
    )


def _take_accepted(
    crowd: Crowd,
    caller: Caller,
    message: requests.RequestAccepted,
) -> None:
    _accepted(crowd, caller, message.request_id)


RECEIVERS = {
    requests.RequestAccepted: _take_accepted,
    requests.StreamPiece: _take_piece,
    requests.WholeAnswer: _take_answer,
    requests.ProblemAnswer: _take_problem,
    requests.RequestState: _take_state,
}


def _watch(crowd: Crowd, caller: Caller, exchange: int) -> None:
    """Notice a host that ended, and lose patience with one that says nothing."""

    def look() -> None:
        if caller.done or caller.exchange != exchange:
            return
        silent_s = crowd.here.now - caller.heard_s
        if caller.host.alive and silent_s < PATIENCE_S:
            world.after(crowd.here, RECONNECT_S, look)
            return
        _record(crowd, records.AnswerCut(_exchange(caller), crowd.here.now))
        hang_up(crowd, caller)
        if caller.key is not None:
            send(crowd, caller)
            return
        caller.done = True

    world.after(crowd.here, RECONNECT_S, look)


def _submission(caller: Caller) -> requests.RequestSubmitted:
    submission = {"kind": caller.kind, "input": caller.input, "stream": caller.stream}
    body = msgspec.json.encode(submission)
    return requests.RequestSubmitted(
        caller=caller.exchange,
        workspace=caller.workspace,
        pipeline=caller.pipeline,
        kind=caller.kind,
        body=body,
        digest=records.text_digest(body.decode()),
        key=caller.key,
        stream=caller.stream,
        resume_offset=len(caller.text),
    )


def _query(caller: Caller) -> requests.RequestQueried:
    return requests.RequestQueried(
        caller=caller.exchange,
        workspace=caller.workspace,
        request_id=caller.request_id,
        stream=caller.stream,
        resume_offset=len(caller.text),
    )


def _keyed_id(caller: Caller) -> str:
    text = f"{caller.workspace}\0{caller.key}"
    return "k-" + hashlib.sha256(text.encode()).hexdigest()[:40]


def _reach(crowd: Crowd, process: world.Process, message: Any) -> None:
    if ("callers", process.name) in crowd.wires.cut:
        return
    arrive = lambda: world.deliver(crowd.here, process, message)  # noqa: E731
    world.after(crowd.here, network.LATENCY_S, arrive)


def _accepted(crowd: Crowd, caller: Caller, request_id: str) -> None:
    if caller.durable and caller.request_id is None:
        record = records.RequestAccepted(
            _exchange(caller),
            request_id,
            crowd.here.now,
        )
        _record(crowd, record)
    caller.request_id = request_id


def _record_sent(crowd: Crowd, caller: Caller) -> None:
    record = records.RequestSent(
        exchange=_exchange(caller),
        host=caller.host.name,
        workspace=caller.workspace,
        kind=caller.kind,
        input_digest=records.digest(caller.input),
        durable=caller.durable,
        time_s=crowd.here.now,
        key=caller.key,
    )
    _record(crowd, record)


def _record(crowd: Crowd, record: records.Record) -> None:
    crowd.here.recorded.append(record)


def _exchange(caller: Caller) -> str:
    return f"{caller.name}-{caller.exchange}"
