"""The gate: refuse at once what cannot be answered within its deadline."""

import result

from bitternlever.admission import tables as admission_tables
from bitternlever.messages import manifest

RETRY_AFTER_S = 1.0


def admit(
    tables,
    now: float,
    workspace: str,
    pipeline: manifest.Pipeline,
    kind: manifest.Kind,
    deadline_s: float,
    prompt_tokens: int,
) -> result.Result[None, admission_tables.Refusal]:
    """Admit a new request, or refuse it with a time to come back.

    Durable kinds are refused only when the tables are full.
    """
    if len(tables.requests.requests) < tables.settings.maximum_requests:
        return result.Ok(None)
    return result.Err(
        admission_tables.Refusal(
            status=503,
            detail="this host has too many requests in flight",
            retry_after_s=RETRY_AFTER_S,
        ),
    )
