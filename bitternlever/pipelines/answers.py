"""What callers ask by a request's id: its state, its answer, its acknowledgement."""

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
    """Answer a query from this host's run or from the journal."""
    request = own(tables, message.request_id, message.workspace)
    caller = pipeline_tables.Caller(
        caller=message.caller,
        stream=message.stream,
        offset=message.resume_offset,
        once=not message.stream,
    )
    if request is None:
        watch.add(tables, now, outbox, message.request_id, message.workspace, caller)
    elif message.stream:
        stages.attach(tables, outbox, request, caller)
    else:
        delivery.state(
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
    """Commit that the caller holds the answer."""
    tables.requests.callers[message.caller] = message.request_id
    command = journal.Acknowledge(
        request_id=message.request_id,
        workspace=message.workspace,
    )

    def on_outcome(tables, now, outbox, outcome) -> None:
        if outcome.is_err():
            tell_uncertain(tables, outbox, message, outcome.err())
            return
        match outcome.ok():
            case journal.Acknowledged():
                name = "acknowledged"
            case journal.RequestOpen():
                name = "open"
            case _:
                stated = watch.unknown(tables, message.request_id)
                tell(tables, outbox, message.caller, stated)
                return
        delivery.state(tables, outbox, message.caller, message.request_id, name)

    group = groups.group_of(tables, message.request_id)
    control_client.call(tables, now, outbox, group, command, on_outcome)


def own(
    tables: entry_tables.EntryTables, request_id: str, workspace: str
) -> pipeline_tables.Request | None:
    """Return this host's run of a workspace's request, if there is one."""
    request = tables.requests.requests.get(request_id)
    if request is None or request.workspace != workspace:
        return None
    return request


def tell(
    tables: entry_tables.EntryTables,
    outbox: ticks.Outbox,
    caller: int,
    stated: problems.Problem,
) -> None:
    """End the exchange of one caller with a problem."""
    exchange = pipeline_tables.Caller(caller=caller)
    delivery.problem(tables, outbox, {caller: exchange}, stated)


def tell_uncertain(
    tables: entry_tables.EntryTables,
    outbox: ticks.Outbox,
    message: requests.RequestCancelled | requests.AnswerAcknowledged,
    failure: entry_tables.CallFailed,
) -> None:
    """Tell a caller that the journal did not answer, so that nothing is known."""
    stated = refusals.problem(
        tables,
        status=503,
        title="Journal unreachable",
        detail=failure.reason,
        ran=problems.Ran.UNKNOWN,
        request_id=message.request_id,
        retry_after_s=failure.retry_after_s,
    )
    tell(tables, outbox, message.caller, stated)
