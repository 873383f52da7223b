"""Operations by request id: querying the state or answer, acknowledging the answer."""

from bitternlever.core import ticks
from bitternlever.entry import control_client, tables as entry_tables
from bitternlever.messages import journal, problems, requests
from bitternlever.pipelines import (
    delivery,
    groups,
    refusals,
    stages,
    tables as pipeline_tables,
    watch,
)


def query(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    message: requests.RequestQueried,
) -> None:
    """Answer a query from the request on this host or from the journal."""
    request = find_local(tables, message.request_id, message.workspace)
    caller = pipeline_tables.Caller(
        caller_id=message.caller,
        stream=message.stream,
        offset=message.resume_offset,
        state_only=not message.stream,
    )
    if request is None:
        watch.add_caller(
            tables, now, outbox, message.request_id, message.workspace, caller
        )
    elif message.stream:
        stages.attach_caller(tables, outbox, request, caller)
    else:
        delivery.send_state(
            tables,
            outbox,
            message.caller,
            message.request_id,
            "open",
            watch.OPEN_RETRY_AFTER_S,
        )


def acknowledge(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    message: requests.AnswerAcknowledged,
) -> None:
    """Record in the journal that the caller has received the answer."""
    tables.requests.callers[message.caller] = message.request_id
    command = journal.Acknowledge(
        request_id=message.request_id,
        workspace=message.workspace,
    )

    def on_outcome(tables, now, outbox, outcome) -> None:
        if outcome.is_err():
            send_uncertain(tables, outbox, message, outcome.err())
            return
        match outcome.ok():
            case journal.Acknowledged():
                state = "acknowledged"
            case journal.RequestOpen():
                state = "open"
            case _:
                problem = watch.request_unknown(tables, message.request_id)
                send_problem(tables, outbox, message.caller, problem)
                return
        delivery.send_state(tables, outbox, message.caller, message.request_id, state)

    group = groups.group_of(tables, message.request_id)
    control_client.call(tables, now, outbox, group, command, on_outcome)


def find_local(
    tables: entry_tables.EntryTables, request_id: str, workspace: str
) -> pipeline_tables.Request | None:
    """Return a workspace's request if it runs on this host."""
    request = tables.requests.requests.get(request_id)
    if request is None or request.workspace != workspace:
        return None
    return request


def send_problem(
    tables: entry_tables.EntryTables,
    outbox: ticks.Outbox,
    caller: int,
    problem: problems.Problem,
) -> None:
    """End the exchange of one caller with a problem."""
    exchange = pipeline_tables.Caller(caller_id=caller)
    delivery.send_problem(tables, outbox, {caller: exchange}, problem)


def send_uncertain(
    tables: entry_tables.EntryTables,
    outbox: ticks.Outbox,
    message: requests.RequestCancelled | requests.AnswerAcknowledged,
    failure: entry_tables.CallFailed,
) -> None:
    """Tell a caller that the journal did not answer and the outcome is unknown."""
    problem = refusals.make_problem(
        tables,
        status=503,
        title="Journal unreachable",
        detail=failure.reason,
        ran=problems.Ran.UNKNOWN,
        request_id=message.request_id,
        retry_after_s=failure.retry_after_s,
    )
    send_problem(tables, outbox, message.caller, problem)
