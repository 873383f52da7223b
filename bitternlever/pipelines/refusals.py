"""Problem answers (RFC 9457): the cause, whether the request ran, when to retry."""

from bitternlever.entry import tables as entry_tables
from bitternlever.messages import problems
from bitternlever.pipelines import tables as pipeline_tables

RETRY_AFTER_S = 1.0
MAXIMUM_HOSTS = 4
CANCELLED_STATUS = 409


def make_problem(
    tables: entry_tables.EntryTables,
    status: int,
    title: str,
    detail: str,
    ran: problems.Ran,
    request_id: str | None = None,
    retry_after_s: float | None = None,
) -> problems.Problem:
    """Return a problem; one with ``retry_after_s`` also names other hosts."""
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
    """Return the addresses of other hosts that accept new work."""
    hosts = [
        host.address
        for host in tables.membership.hosts.values()
        if host.host != tables.settings.host and not host.draining
    ]
    return sorted(hosts)[:MAXIMUM_HOSTS]


def ran_state(request: pipeline_tables.Request) -> problems.Ran:
    """Return what is certain about whether a request that ends on this host ran.

    A request taken over counts as sent, since its previous owner may have sent it.
    """
    if request.non_idempotent_completed:
        return problems.Ran.YES
    if request.any_stage_sent:
        return problems.Ran.UNKNOWN
    return problems.Ran.NO


def crashes_upstreams(
    tables: entry_tables.EntryTables, request: pipeline_tables.Request
) -> problems.Problem:
    """Return the final problem for a request that crashes each upstream it runs on."""
    return make_problem(
        tables,
        status=502,
        title="Crashes upstreams",
        detail="upstreams that began to run this request have crashed",
        ran=ran_state(request),
        request_id=request.request_id,
    )


def deadline_passed(
    tables: entry_tables.EntryTables, request: pipeline_tables.Request
) -> problems.Problem:
    """Return the problem for a request whose deadline has passed."""
    return make_problem(
        tables,
        status=504,
        title="Deadline passed",
        detail=f"kind {request.kind.name} had {request.kind.deadline_ms} ms",
        ran=ran_state(request),
        request_id=request.request_id,
        retry_after_s=RETRY_AFTER_S,
    )


def cancelled(
    tables: entry_tables.EntryTables, request: pipeline_tables.Request
) -> problems.Problem:
    """Return the problem for a request that its caller cancelled."""
    return make_problem(
        tables,
        status=CANCELLED_STATUS,
        title="Cancelled",
        detail="the request was cancelled by its caller",
        ran=ran_state(request),
        request_id=request.request_id,
    )


def stream_garbled(
    tables: entry_tables.EntryTables, request_id: str
) -> problems.Problem:
    """Return the problem for a corrupted stream, to be fetched from offset 0."""
    return make_problem(
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
    """Return the problem for a non-idempotent stage that may have run."""
    return make_problem(
        tables,
        status=502,
        title="Outcome unknown",
        detail=f"stage {stage} was started, has no result and is never sent again",
        ran=problems.Ran.UNKNOWN,
        request_id=request.request_id,
    )
