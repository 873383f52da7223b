"""Fake callers, which follow the rules for clients and record their replies."""

import dataclasses
import hashlib
import itertools
from typing import Any

import msgspec

from bench.invariants import records
from bitternlever.messages import problems, requests
from tests.scenarios import network, simulation

SILENCE_TIMEOUT_S = 8.0
RECONNECT_S = 0.2
MAXIMUM_EXCHANGES = 60
GARBLED_TYPE = "stream-garbled"


@dataclasses.dataclass(slots=True, eq=False)
class Caller:
    """One caller with one request, from its first exchange to its outcome.

    A caller with a key resends to other hosts until it gets an answer or a problem
    without a retry time. One without a key sends once.
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
    open_exchange: int = 0
    exchange_count: int = 0
    host: simulation.Process | None = None
    last_received_s: float = 0.0
    answer: Any = None
    problem: problems.Problem | None = None
    sent_s: float = 0.0
    answered_s: float | None = None
    done: bool = False


@dataclasses.dataclass(slots=True, repr=False)
class CallerTable:
    """All callers by name and by the number of their open exchange."""

    sim: simulation.Simulation
    net: network.Network
    by_name: dict[str, Caller] = dataclasses.field(default_factory=dict)
    by_exchange: dict[int, Caller] = dataclasses.field(default_factory=dict)
    exchange_numbers: itertools.count = dataclasses.field(
        default_factory=lambda: itertools.count(1),
    )


def send(callers: CallerTable, caller: Caller, query_by_id: bool = False) -> None:
    """Open an exchange with the caller's next host to submit or query its request."""
    if caller.done or caller.exchange_count >= MAXIMUM_EXCHANGES:
        return
    name = caller.hosts[caller.exchange_count % len(caller.hosts)]
    caller.exchange_count += 1
    caller.sent_s = caller.sent_s or callers.sim.now
    process = callers.sim.processes.get(name)
    if process is None or not process.alive:
        simulation.schedule(
            callers.sim, RECONNECT_S, lambda: send(callers, caller, query_by_id)
        )
        return
    caller.open_exchange = next(callers.exchange_numbers)
    caller.host = process
    caller.last_received_s = callers.sim.now
    callers.by_exchange[caller.open_exchange] = caller
    _record_sent(callers, caller)
    message = _query(caller) if query_by_id else _submission(caller)
    _deliver(callers, caller.host, message)
    _watch_host(callers, caller, caller.open_exchange)


def receive(callers: CallerTable, process: simulation.Process, message: Any) -> None:
    """Handle a message of a host on an open exchange; ignore it on a closed one."""
    caller = callers.by_exchange.get(message.caller)
    if caller is None or caller.open_exchange != message.caller:
        return
    if (process.name, "callers") not in callers.net.cut:
        caller.last_received_s = callers.sim.now
        HANDLERS[type(message)](callers, caller, message)


def cancel(callers: CallerTable, caller: Caller, process: simulation.Process) -> None:
    """Cancel a caller's request by its id, on any host."""
    _record(callers, records.RequestCancelled(_exchange_id(caller), callers.sim.now))
    message = requests.RequestCancelled(
        caller=next(callers.exchange_numbers),
        workspace=caller.workspace,
        request_id=caller.request_id or _keyed_id(caller),
    )
    _deliver(callers, process, message)


def disconnect(callers: CallerTable, caller: Caller) -> None:
    """Close a caller's open exchange."""
    callers.by_exchange.pop(caller.open_exchange, None)
    _deliver(
        callers, caller.host, requests.CallerDisconnected(caller=caller.open_exchange)
    )
    caller.open_exchange = 0


def _handle_piece(
    callers: CallerTable, caller: Caller, message: requests.StreamPiece
) -> None:
    caller.pieces.append(records.Piece(message.offset, len(message.text)))
    caller.text += message.text
    _record_accepted(callers, caller, message.request_id)


def _handle_answer(
    callers: CallerTable, caller: Caller, message: requests.WholeAnswer
) -> None:
    body = msgspec.json.decode(message.body)
    output = caller.text if message.output_digest and caller.stream else body["output"]
    is_text = isinstance(output, str)
    record = records.AnswerReceived(
        exchange=_exchange_id(caller),
        request_id=message.request_id,
        body_digest=records.text_digest(message.body.decode()),
        output_digest=records.text_digest(output)
        if is_text
        else records.digest(output),
        time_s=callers.sim.now,
        pieces=caller.pieces if message.output_digest and caller.stream else [],
        claimed_length=message.length,
        claimed_digest=message.output_digest,
    )
    _record(callers, record)
    caller.answer = output
    caller.request_id = message.request_id
    caller.answered_s = callers.sim.now
    caller.done = True
    acknowledgement = requests.AnswerAcknowledged(
        caller=next(callers.exchange_numbers),
        workspace=caller.workspace,
        request_id=message.request_id,
    )
    if caller.key is not None or caller.durable:
        _deliver(callers, caller.host, acknowledgement)


def _handle_problem(
    callers: CallerTable, caller: Caller, message: requests.ProblemAnswer
) -> None:
    problem = message.problem
    caller.problem = problem
    record = records.RefusalReceived(
        exchange=_exchange_id(caller),
        request_id=problem.request_id,
        status=problem.status,
        ran=problem.ran.value,
        time_s=callers.sim.now,
    )
    _record(callers, record)
    callers.by_exchange.pop(caller.open_exchange, None)
    caller.open_exchange = 0
    if problem.type == GARBLED_TYPE:
        caller.text = ""
        caller.pieces = []
    if caller.key is None or problem.retry_after_s is None:
        caller.done = True
        return
    simulation.schedule(
        callers.sim, problem.retry_after_s, lambda: send(callers, caller)
    )


def _handle_state(
    callers: CallerTable, caller: Caller, message: requests.RequestState
) -> None:
    _record_accepted(callers, caller, message.request_id)
    callers.by_exchange.pop(caller.open_exchange, None)
    caller.open_exchange = 0
    simulation.schedule(
        callers.sim,
        message.retry_after_s,
        lambda: send(callers, caller, query_by_id=True),
    )


def _handle_accepted(
    callers: CallerTable,
    caller: Caller,
    message: requests.RequestAccepted,
) -> None:
    _record_accepted(callers, caller, message.request_id)


HANDLERS = {
    requests.RequestAccepted: _handle_accepted,
    requests.StreamPiece: _handle_piece,
    requests.WholeAnswer: _handle_answer,
    requests.ProblemAnswer: _handle_problem,
    requests.RequestState: _handle_state,
}


def _watch_host(callers: CallerTable, caller: Caller, exchange: int) -> None:
    """Close the exchange if its host ended or sends nothing for too long."""

    def check() -> None:
        if caller.done or caller.open_exchange != exchange:
            return
        silent_s = callers.sim.now - caller.last_received_s
        if caller.host.alive and silent_s < SILENCE_TIMEOUT_S:
            simulation.schedule(callers.sim, RECONNECT_S, check)
            return
        _record(callers, records.AnswerCut(_exchange_id(caller), callers.sim.now))
        disconnect(callers, caller)
        if caller.key is not None:
            send(callers, caller)
            return
        caller.done = True

    simulation.schedule(callers.sim, RECONNECT_S, check)


def _submission(caller: Caller) -> requests.RequestSubmitted:
    submission = {"kind": caller.kind, "input": caller.input, "stream": caller.stream}
    body = msgspec.json.encode(submission)
    return requests.RequestSubmitted(
        caller=caller.open_exchange,
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
        caller=caller.open_exchange,
        workspace=caller.workspace,
        request_id=caller.request_id,
        stream=caller.stream,
        resume_offset=len(caller.text),
    )


def _keyed_id(caller: Caller) -> str:
    text = f"{caller.workspace}\0{caller.key}"
    return "k-" + hashlib.sha256(text.encode()).hexdigest()[:40]


def _deliver(callers: CallerTable, process: simulation.Process, message: Any) -> None:
    if ("callers", process.name) in callers.net.cut:
        return
    arrive = lambda: simulation.deliver(callers.sim, process, message)  # noqa: E731
    simulation.schedule(callers.sim, network.LATENCY_S, arrive)


def _record_accepted(callers: CallerTable, caller: Caller, request_id: str) -> None:
    if caller.durable and caller.request_id is None:
        record = records.RequestAccepted(
            _exchange_id(caller),
            request_id,
            callers.sim.now,
        )
        _record(callers, record)
    caller.request_id = request_id


def _record_sent(callers: CallerTable, caller: Caller) -> None:
    record = records.RequestSent(
        exchange=_exchange_id(caller),
        host=caller.host.name,
        workspace=caller.workspace,
        kind=caller.kind,
        input_digest=records.digest(caller.input),
        durable=caller.durable,
        time_s=callers.sim.now,
        key=caller.key,
    )
    _record(callers, record)


def _record(callers: CallerTable, record: records.Record) -> None:
    callers.sim.recorded.append(record)


def _exchange_id(caller: Caller) -> str:
    return f"{caller.name}-{caller.open_exchange}"
