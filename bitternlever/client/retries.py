"""The retry policy: whether, when and how to send a request again after a failure."""

import dataclasses

from bitternlever.client import tables as client_tables
from bitternlever.messages import problems

INITIAL_PAUSE_S = 0.1
MAXIMUM_PAUSE_S = 3.0
PAUSE_JITTER = 0.3
MAXIMUM_DOUBLINGS = 10


def mark_may_have_run(pending: client_tables.PendingRequest) -> None:
    """Record that a request may have run.

    One without a key is then queried by its id and not sent again.
    """
    pending.may_have_run = True
    if pending.submission.key is None and pending.request_id is not None:
        pending.query_by_id = True


def may_retry(
    pending: client_tables.PendingRequest, failure: client_tables.Failure
) -> bool:
    """Return whether a retry may help and cannot run the request twice."""
    if failure.final:
        return False
    return (
        pending.submission.key is not None
        or pending.query_by_id
        or not pending.may_have_run
    )


def attempt_failure(
    pending: client_tables.PendingRequest, detail: str
) -> client_tables.Failure:
    """Return the failure of an attempt to which the system sent no problem."""
    return client_tables.Failure(
        ran=problems.Ran.UNKNOWN if pending.may_have_run else problems.Ran.NO,
        detail=detail,
        request_id=pending.request_id,
    )


def overall_failure(
    pending: client_tables.PendingRequest,
    failure: client_tables.Failure,
) -> client_tables.Failure:
    """Return the failure of the whole request.

    It may have run in an earlier attempt even if it did not run in the last one.
    """
    if not pending.may_have_run or failure.ran is not problems.Ran.NO:
        return failure
    return dataclasses.replace(failure, ran=problems.Ran.UNKNOWN)


def pause_s(
    client: client_tables.Client,
    retry_after_s: float | None,
    attempts: int,
) -> float:
    """Return the pause before a retry: as asked, else exponential; with jitter."""
    backoff_s = retry_after_s or INITIAL_PAUSE_S * 2 ** min(attempts, MAXIMUM_DOUBLINGS)
    jitter = 1.0 + client.random.random() * PAUSE_JITTER
    if retry_after_s:
        return retry_after_s * jitter
    return min(MAXIMUM_PAUSE_S, backoff_s) * jitter
