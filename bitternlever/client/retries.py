"""What a failure means for a request: whether, when and how to send it again."""

import dataclasses

from bitternlever.client import tables as client_tables
from bitternlever.messages import problems

FIRST_PAUSE_S = 0.1
MAXIMUM_PAUSE_S = 3.0
PAUSE_SPREAD = 0.3
MAXIMUM_DOUBLINGS = 10


def doubt(state: client_tables.Run) -> None:
    """Without a key, what may have run is asked for by its id and not sent again."""
    state.in_doubt = True
    if state.submission.key is None and state.request_id is not None:
        state.ask_by_id = True


def may_repeat(state: client_tables.Run, failure: client_tables.Failure) -> bool:
    """Tell whether sending again cannot run the request twice, and may help."""
    if failure.final:
        return False
    return state.submission.key is not None or state.ask_by_id or not state.in_doubt


def failed(state: client_tables.Run, detail: str) -> client_tables.Failure:
    """Return the failure of a try that brought no problem of the system's own."""
    return client_tables.Failure(
        ran=problems.Ran.UNKNOWN if state.in_doubt else problems.Ran.NO,
        detail=detail,
        request_id=state.request_id,
    )


def doubtful(
    state: client_tables.Run,
    failure: client_tables.Failure,
) -> client_tables.Failure:
    """Return the failure of the whole request.

    An earlier try that may have run outweighs a last one that did not.
    """
    if not state.in_doubt or failure.ran is not problems.Ran.NO:
        return failure
    return dataclasses.replace(failure, ran=problems.Ran.UNKNOWN)


def pause_s(
    client: client_tables.Client,
    retry_after_s: float | None,
    tries: int,
) -> float:
    """Wait as long as asked, else a little longer each time; spread over callers."""
    wanted_s = retry_after_s or FIRST_PAUSE_S * 2 ** min(tries, MAXIMUM_DOUBLINGS)
    spread = 1.0 + client.random.random() * PAUSE_SPREAD
    if retry_after_s:
        return retry_after_s * spread
    return min(MAXIMUM_PAUSE_S, wanted_s) * spread
