"""Problem answers: what went wrong, whether the request ran, when to come back."""

from bitternlever.entry import tables as entry_tables
from bitternlever.messages import problems
from bitternlever.pipelines import tables as pipeline_tables

RETRY_AFTER_S = 1.0
MAXIMUM_HOSTS = 4
CANCELLED_STATUS = 409


def problem(
    tables: entry_tables.EntryTables,
    status: int,
    title: str,
    detail: str,
    ran: problems.Ran,
    request_id: str | None = None,
    retry_after_s: float | None = None,
) -> problems.Problem:
    """Make a problem; one with a time to come back names other hosts as well."""
    return problems.Problem(
        type=title.lower().replace(" ", "-"),
        title=title,
        status=status,
        detail=detail,
        ran=ran,
        request_id=request_id,
        retry_after_s=retry_after_s,
        hosts=[] if retry_after_s is None else other_hosts(tables),
    )


def other_hosts(tables: entry_tables.EntryTables) -> list[str]:
    """Return addresses of other hosts that take new work."""
    hosts = [
        host.address
        for host in tables.membership.hosts.values()
        if host.host != tables.settings.host and not host.draining
    ]
    return sorted(hosts)[:MAXIMUM_HOSTS]


def ran(request: pipeline_tables.Request) -> problems.Ran:
    """Tell what is certain about a request that this host owns and gives up.

    A request taken over counts as sent, since its former owner may have sent it.
    """
    if request.completed_once_only:
        return problems.Ran.YES
    if request.sent_any:
        return problems.Ran.UNKNOWN
    return problems.Ran.NO


def late(
    tables: entry_tables.EntryTables, request: pipeline_tables.Request
) -> problems.Problem:
    """Return the problem of a request whose deadline has passed."""
    return problem(
        tables,
        status=504,
        title="Deadline passed",
        detail=f"kind {request.kind.name} had {request.kind.deadline_ms} ms",
        ran=ran(request),
        request_id=request.request_id,
        retry_after_s=RETRY_AFTER_S,
    )


def cancelled(
    tables: entry_tables.EntryTables, request: pipeline_tables.Request
) -> problems.Problem:
    """Return the problem of a request that its caller cancelled."""
    return problem(
        tables,
        status=CANCELLED_STATUS,
        title="Cancelled",
        detail="the request was cancelled by its caller",
        ran=ran(request),
        request_id=request.request_id,
    )


def garbled(tables: entry_tables.EntryTables, request_id: str) -> problems.Problem:
    """Return the problem of a streamed text that must be fetched from its beginning."""
    return problem(
        tables,
        status=502,
        title="Stream garbled",
        detail="the text so far is wrong: drop it and fetch it again from offset 0",
        ran=problems.Ran.UNKNOWN,
        request_id=request_id,
        retry_after_s=RETRY_AFTER_S,
    )


def outcome_unknown(
    tables: entry_tables.EntryTables,
    request: pipeline_tables.Request,
    stage: str,
) -> problems.Problem:
    """Return the problem of a stage that may have run and may not be repeated."""
    return problem(
        tables,
        status=502,
        title="Outcome unknown",
        detail=f"stage {stage} was started, has no result and is never sent again",
        ran=problems.Ran.UNKNOWN,
        request_id=request.request_id,
    )
