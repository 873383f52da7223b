"""Operators' commands: forwarded to the control groups, with replies returned."""

import result

from bitternlever.core import ticks
from bitternlever.entry import control_client, tables as entry_tables
from bitternlever.messages import problems, requests

UNAVAILABLE_STATUS = 503


def handle_command(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    message: requests.OperatorCalled,
) -> None:
    """Forward an operator's command and answer with the reply or a problem."""
    control_client.call(
        tables,
        now,
        outbox,
        message.group,
        message.command,
        _on_outcome(caller=message.caller),
    )


def _on_outcome(caller: int) -> entry_tables.OnOutcome:
    def on_outcome(tables, now, outbox, outcome) -> None:
        match outcome:
            case result.Ok(reply):
                outbox.send(requests.OperatorAnswered(caller=caller, reply=reply))
            case result.Err(failure):
                problem = _problem(failure)
                outbox.send(requests.ProblemAnswer(caller=caller, problem=problem))

    return on_outcome


def _problem(failure: entry_tables.CallFailed) -> problems.Problem:
    not_sent = failure.sent is requests.Sent.NO
    return problems.Problem(
        type="control-unavailable",
        title="The control processes did not answer",
        status=UNAVAILABLE_STATUS,
        detail=f"{failure.reason}; the same command may be sent again",
        ran=problems.Ran.NO if not_sent else problems.Ran.UNKNOWN,
        retry_after_s=failure.retry_after_s,
    )
