"""Admission control: refuse requests that cannot be answered within their deadline."""

import result

from bitternlever.admission import backlog, tables as admission_tables
from bitternlever.entry import tables as entry_tables
from bitternlever.messages import manifest
from bitternlever.routing import policies

FULL_RETRY_AFTER_S = 1.0
UNSERVED_RETRY_AFTER_S = 1.0
SHORTEST_RETRY_AFTER_S = 0.5
LONGEST_RETRY_AFTER_S = 60.0


def admit(
    tables: entry_tables.EntryTables,
    now: float,
    workspace: str,
    pipeline: manifest.Pipeline,
    kind: manifest.Kind,
    deadline_s: float,
    prompt_tokens: int,
) -> result.Result[None, admission_tables.Refusal]:
    """Admit a new request, or refuse it with a delay before the next attempt.

    Requests of durable kinds are refused only if this host is at its request limit.
    """
    if len(tables.requests.requests) >= tables.settings.maximum_requests:
        return _refuse(
            503,
            "this host has too many requests in flight",
            FULL_RETRY_AFTER_S,
        )
    if kind.durable:
        return result.Ok(None)
    configured = tables.manifest.workspaces.get(workspace)
    waiting = tables.admission.waiting_by_workspace.get(workspace, 0)
    if configured is not None and waiting >= configured.maximum_waiting:
        wait_s = _total_wait_s(tables, now, pipeline, kind) or FULL_RETRY_AFTER_S
        detail = f"workspace {workspace} has {waiting} stages waiting on this host"
        return _refuse(429, detail, wait_s)
    if tables.settings.policy != policies.PREDICTED:
        return result.Ok(None)
    return _check_deadline(tables, now, pipeline, kind, deadline_s, prompt_tokens)


def _check_deadline(
    tables: entry_tables.EntryTables,
    now: float,
    pipeline: manifest.Pipeline,
    kind: manifest.Kind,
    deadline_s: float,
    prompt_tokens: int,
) -> result.Result[None, admission_tables.Refusal]:
    wait_s = _total_wait_s(tables, now, pipeline, kind)
    if wait_s is None:
        detail = f"a stage of pipeline {pipeline.name} has no upstream"
        return _refuse(503, detail, UNSERVED_RETRY_AFTER_S)
    service_s = sum(
        backlog.service_s(tables, kind.name, stage, prompt_tokens)
        for stage in pipeline.stages
    )
    late_s = now + wait_s + service_s - deadline_s
    if wait_s == 0.0 or late_s <= 0.0:
        return result.Ok(None)
    detail = f"the answer would come {late_s:.1f} s after its deadline"
    return _refuse(503, detail, late_s)


def _total_wait_s(
    tables: entry_tables.EntryTables,
    now: float,
    pipeline: manifest.Pipeline,
    kind: manifest.Kind,
) -> float | None:
    """Return the total queueing delay of all stages; ``None`` if one is unserved."""
    total_s = 0.0
    for stage in pipeline.stages:
        wait_s = backlog.wait_s(tables, now, stage, kind.priority)
        if wait_s is None:
            return None
        total_s += wait_s
    return total_s


def _refuse(
    status: int,
    detail: str,
    retry_after_s: float,
) -> result.Err[admission_tables.Refusal]:
    bounded_s = max(SHORTEST_RETRY_AFTER_S, retry_after_s)
    return result.Err(
        admission_tables.Refusal(
            status=status,
            detail=detail,
            retry_after_s=min(bounded_s, LONGEST_RETRY_AFTER_S),
        ),
    )
