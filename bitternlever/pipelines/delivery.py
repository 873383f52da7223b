"""Messages to callers: pieces of streamed text, whole answers and problems."""

import msgspec

from bitternlever.core import ticks
from bitternlever.entry import tables as entry_tables
from bitternlever.messages import journal, problems, requests
from bitternlever.pipelines import refusals, tables as pipeline_tables

FIRST_PROBLEM_STATUS = 400
GONE_STATUS = 410
# Bounds the callers that join or follow a request, which admission does not count.
CALLERS_PER_REQUEST = 2

Callers = dict[int, pipeline_tables.Caller]


def has_capacity(
    tables: entry_tables.EntryTables, caller: pipeline_tables.Caller
) -> bool:
    """Return whether a caller may wait on this host, or already does."""
    if caller.caller_id in tables.requests.callers:
        return True
    maximum = tables.settings.maximum_requests * CALLERS_PER_REQUEST
    return len(tables.requests.callers) < maximum


def refuse_caller(
    tables: entry_tables.EntryTables,
    outbox: ticks.Outbox,
    request_id: str,
    caller: pipeline_tables.Caller,
) -> None:
    """Refuse a caller because too many wait here; its request may still run."""
    problem = refusals.make_problem(
        tables,
        status=503,
        title="Too many callers",
        detail=f"{len(tables.requests.callers)} callers wait on this host",
        ran=problems.Ran.UNKNOWN,
        request_id=request_id,
        retry_after_s=refusals.RETRY_AFTER_S,
    )
    send_problem(tables, outbox, {caller.caller_id: caller}, problem)


def send_accepted(
    outbox: ticks.Outbox,
    request_id: str,
    callers: dict[int, pipeline_tables.Caller],
) -> None:
    """Send streaming callers the id of their request before any text."""
    for caller in callers.values():
        if caller.stream:
            outbox.send(
                requests.RequestAccepted(
                    caller=caller.caller_id, request_id=request_id
                ),
            )


def send_pieces(
    outbox: ticks.Outbox,
    request_id: str,
    callers: Callers,
    text: str,
    start: int = 0,
) -> None:
    """Send streaming callers the rest of ``text``, whose first offset is ``start``."""
    end = start + len(text)
    for caller in callers.values():
        if not caller.stream or not start <= caller.offset < end:
            continue
        piece = requests.StreamPiece(
            caller=caller.caller_id,
            request_id=request_id,
            offset=caller.offset,
            text=text[caller.offset - start :],
        )
        outbox.send(piece)
        caller.offset = end


def send_answer(
    tables: entry_tables.EntryTables,
    outbox: ticks.Outbox,
    callers: Callers,
    answered: journal.Answered,
) -> None:
    """End each caller's exchange with the final answer, which may be a problem."""
    if answered.acknowledged:
        send_problem(tables, outbox, callers, _answer_acknowledged(tables, answered))
        return
    if answered.status >= FIRST_PROBLEM_STATUS:
        recorded_problem = msgspec.json.decode(answered.body, type=problems.Problem)
        send_problem(tables, outbox, callers, recorded_problem)
        return
    if any(caller.stream for caller in callers.values()) and answered.length:
        send_pieces(outbox, answered.request_id, callers, _text(answered))
    for caller in callers.values():
        tables.requests.callers.pop(caller.caller_id, None)
        whole_answer = requests.WholeAnswer(
            caller=caller.caller_id,
            request_id=answered.request_id,
            body=answered.body,
            length=answered.length,
            output_digest=answered.output_digest,
        )
        outbox.send(whole_answer)
    callers.clear()


def send_problem(
    tables: entry_tables.EntryTables,
    outbox: ticks.Outbox,
    callers: Callers,
    problem: problems.Problem,
) -> None:
    """End each caller's exchange with a problem."""
    for caller in callers.values():
        tables.requests.callers.pop(caller.caller_id, None)
        outbox.send(requests.ProblemAnswer(caller=caller.caller_id, problem=problem))
    callers.clear()


def invalidate_sent_text(
    tables: entry_tables.EntryTables,
    outbox: ticks.Outbox,
    request_id: str,
    callers: Callers,
) -> None:
    """Tell streaming callers that the text they received is not the answer's."""
    streaming = {
        caller_id: caller
        for caller_id, caller in callers.items()
        if caller.stream and caller.offset > 0
    }
    for caller_id in streaming:
        del callers[caller_id]
    send_problem(tables, outbox, streaming, refusals.stream_garbled(tables, request_id))


def send_state(
    tables: entry_tables.EntryTables,
    outbox: ticks.Outbox,
    caller: int,
    request_id: str,
    state: str,
    retry_after_s: float = 0.0,
) -> None:
    """End a caller's exchange with the state of a request."""
    tables.requests.callers.pop(caller, None)
    message = requests.RequestState(
        caller=caller,
        request_id=request_id,
        state=state,
        retry_after_s=retry_after_s,
    )
    outbox.send(message)


def _text(answered: journal.Answered) -> str:
    output = msgspec.json.decode(answered.body)["output"]
    return output if isinstance(output, str) else ""


def _answer_acknowledged(
    tables: entry_tables.EntryTables, answered: journal.Answered
) -> problems.Problem:
    return refusals.make_problem(
        tables,
        status=GONE_STATUS,
        title="Answer acknowledged",
        detail="the answer was acknowledged and its body dropped",
        ran=problems.Ran.YES,
        request_id=answered.request_id,
    )
