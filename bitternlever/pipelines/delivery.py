"""What callers get: pieces of streamed text, whole answers and problems."""

import msgspec

from bitternlever.core import ticks
from bitternlever.entry import tables as entry_tables
from bitternlever.messages import journal, problems, requests
from bitternlever.pipelines import refusals, tables as pipeline_tables

FIRST_PROBLEM_STATUS = 400
GONE_STATUS = 410
CALLERS_PER_REQUEST = 2

Callers = dict[int, pipeline_tables.Caller]


def has_room(tables: entry_tables.EntryTables, caller: pipeline_tables.Caller) -> bool:
    """Tell whether a caller may wait on this host; who waits already may go on."""
    if caller.caller in tables.requests.callers:
        return True
    maximum = tables.settings.maximum_requests * CALLERS_PER_REQUEST
    return len(tables.requests.callers) < maximum


def refuse_caller(
    tables: entry_tables.EntryTables,
    outbox: ticks.Outbox,
    request_id: str,
    caller: pipeline_tables.Caller,
) -> None:
    """Tell a caller that too many wait here; of its request nothing is said."""
    stated = refusals.problem(
        tables,
        status=503,
        title="Too many callers",
        detail=f"{len(tables.requests.callers)} callers wait on this host",
        ran=problems.Ran.UNKNOWN,
        request_id=request_id,
        retry_after_s=refusals.RETRY_AFTER_S,
    )
    problem(tables, outbox, {caller.caller: caller}, stated)


def accepted(
    outbox: ticks.Outbox,
    request_id: str,
    callers: dict[int, pipeline_tables.Caller],
) -> None:
    """Tell the callers of a stream at once under which id their answer will come."""
    for caller in callers.values():
        if caller.stream:
            outbox.send(
                requests.RequestAccepted(caller=caller.caller, request_id=request_id),
            )


def pieces(
    outbox: ticks.Outbox,
    request_id: str,
    callers: Callers,
    text: str,
    start: int = 0,
) -> None:
    """Send streaming callers what they lack of ``text``, which begins at ``start``."""
    end = start + len(text)
    for caller in callers.values():
        if not caller.stream or not start <= caller.offset < end:
            continue
        piece = requests.StreamPiece(
            caller=caller.caller,
            request_id=request_id,
            offset=caller.offset,
            text=text[caller.offset - start :],
        )
        outbox.send(piece)
        caller.offset = end


def answer(
    tables: entry_tables.EntryTables,
    outbox: ticks.Outbox,
    callers: Callers,
    answered: journal.Answered,
) -> None:
    """End each caller's exchange with the final answer, whole or a problem."""
    if answered.acknowledged:
        problem(tables, outbox, callers, _acknowledged(tables, answered))
        return
    if answered.status >= FIRST_PROBLEM_STATUS:
        stored = msgspec.json.decode(answered.body, type=problems.Problem)
        problem(tables, outbox, callers, stored)
        return
    if any(caller.stream for caller in callers.values()) and answered.length:
        pieces(outbox, answered.request_id, callers, _text(answered))
    for caller in callers.values():
        tables.requests.callers.pop(caller.caller, None)
        whole = requests.WholeAnswer(
            caller=caller.caller,
            request_id=answered.request_id,
            body=answered.body,
            length=answered.length,
            output_digest=answered.output_digest,
        )
        outbox.send(whole)
    callers.clear()


def problem(
    tables: entry_tables.EntryTables,
    outbox: ticks.Outbox,
    callers: Callers,
    stated: problems.Problem,
) -> None:
    """End each caller's exchange with a problem."""
    for caller in callers.values():
        tables.requests.callers.pop(caller.caller, None)
        outbox.send(requests.ProblemAnswer(caller=caller.caller, problem=stated))
    callers.clear()


def drop_text(
    tables: entry_tables.EntryTables,
    outbox: ticks.Outbox,
    request_id: str,
    callers: Callers,
) -> None:
    """Tell streaming callers who hold text that it is not that of the answer."""
    streaming = {
        number: caller
        for number, caller in callers.items()
        if caller.stream and caller.offset > 0
    }
    for number in streaming:
        del callers[number]
    problem(tables, outbox, streaming, refusals.garbled(tables, request_id))


def state(
    tables: entry_tables.EntryTables,
    outbox: ticks.Outbox,
    caller: int,
    request_id: str,
    name: str,
    retry_after_s: float = 0.0,
) -> None:
    """End a caller's exchange with the state of a request."""
    tables.requests.callers.pop(caller, None)
    told = requests.RequestState(
        caller=caller,
        request_id=request_id,
        state=name,
        retry_after_s=retry_after_s,
    )
    outbox.send(told)


def _text(answered: journal.Answered) -> str:
    output = msgspec.json.decode(answered.body)["output"]
    return output if isinstance(output, str) else ""


def _acknowledged(
    tables: entry_tables.EntryTables, answered: journal.Answered
) -> problems.Problem:
    return refusals.problem(
        tables,
        status=GONE_STATUS,
        title="Answer acknowledged",
        detail="the answer was acknowledged and its body dropped",
        ran=problems.Ran.YES,
        request_id=answered.request_id,
    )
