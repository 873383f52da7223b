"""New requests: join a request with the same key, admit, claim if journaled."""

import msgspec
import result

from bitternlever.admission import admission_control
from bitternlever.core import ticks
from bitternlever.entry import lease, tables as entry_tables
from bitternlever.messages import manifest, problems, requests
from bitternlever.pipelines import (
    claims,
    crashes,
    creation,
    delivery,
    refusals,
    stages,
    tables as pipeline_tables,
    watch,
)

CHARACTERS_PER_TOKEN = 4


def submit(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    message: requests.RequestSubmitted,
) -> None:
    """Handle a submission: join a running request, refuse or accept it."""
    caller = pipeline_tables.Caller(
        caller_id=message.caller,
        stream=message.stream,
        offset=message.resume_offset,
    )
    request_id = creation.make_request_id(tables, message)
    if request_id in tables.requests.requests:
        _join(tables, outbox, message, request_id, caller)
        return
    checked = _check(tables, now, message, request_id)
    if checked.is_err():
        _refuse(tables, now, outbox, message, request_id, caller, checked.err())
        return
    _accept(tables, now, outbox, message, checked.ok(), caller)


def _check(
    tables: entry_tables.EntryTables,
    now: float,
    message: requests.RequestSubmitted,
    request_id: str,
) -> result.Result[pipeline_tables.Request, problems.Problem]:
    """Check a submission against the manifest and the admission gate."""
    not_ready_reason = _not_ready_reason(tables, now)
    if not_ready_reason is not None:
        return _refusal(
            tables, 503, "Not ready", not_ready_reason, refusals.RETRY_AFTER_S
        )
    pipeline = tables.manifest.pipelines.get(message.pipeline)
    workspace = tables.manifest.workspaces.get(message.workspace)
    kind = None if pipeline is None else _kind(pipeline, message.kind)
    if kind is None or workspace is None:
        detail = (
            f"workspace {message.workspace!r}, pipeline {message.pipeline!r} and kind "
            f"{message.kind!r} are not together in manifest {tables.manifest.number}"
        )
        return _refusal(tables, 404, "No such kind", detail)
    deadline_ms = min(message.deadline_ms or kind.deadline_ms, kind.deadline_ms)
    try:
        request = creation.make_request(
            tables,
            now,
            request_id,
            message.workspace,
            pipeline,
            kind,
            message.body,
            message.digest,
            deadline_s=now + deadline_ms / 1_000,
            keyed=message.key is not None,
        )
    except msgspec.DecodeError as error:
        return _refusal(
            tables, 400, "Body not readable", f"send a JSON object: {error}"
        )
    request.traceparent = message.traceparent
    refused_s = crashes.refused_for_s(tables, now, request)
    if refused_s is not None:
        detail = "upstreams that began to run this request have crashed"
        return _refusal(tables, 503, "Crashes upstreams", detail, refused_s)
    admitted = admission_control.admit(
        tables,
        now,
        message.workspace,
        pipeline,
        kind,
        request.deadline_s,
        len(message.body) // CHARACTERS_PER_TOKEN,
    )
    if admitted.is_err():
        refused = admitted.err()
        return _refusal(
            tables,
            refused.status,
            "Refused",
            refused.detail,
            refused.retry_after_s,
        )
    return result.Ok(request)


def _refusal(
    tables: entry_tables.EntryTables,
    status: int,
    title: str,
    detail: str,
    retry_after_s: float | None = None,
) -> result.Err[problems.Problem]:
    return result.Err(
        refusals.make_problem(
            tables,
            status=status,
            title=title,
            detail=detail,
            ran=problems.Ran.NO,
            retry_after_s=retry_after_s,
        ),
    )


def _not_ready_reason(tables: entry_tables.EntryTables, now: float) -> str | None:
    expires_s = tables.requests.drain_host_lists_expire_s
    if tables.requests.drain_forced or (expires_s is not None and now >= expires_s):
        return "this host is draining"
    if not lease.accepts_work(tables, now):
        return "this host cannot prove that its manifest is current"
    return None


def _kind(pipeline: manifest.Pipeline, name: str) -> manifest.Kind | None:
    for kind in pipeline.kinds:
        if kind.name == name:
            return kind
    return None


def _join(
    tables: entry_tables.EntryTables,
    outbox: ticks.Outbox,
    message: requests.RequestSubmitted,
    request_id: str,
    caller: pipeline_tables.Caller,
) -> None:
    """Attach a caller to the request with the same idempotency key on this host."""
    request = tables.requests.requests[request_id]
    if request.digest != message.digest:
        problem = claims.key_conflict(tables, request_id)
        delivery.send_problem(tables, outbox, {caller.caller_id: caller}, problem)
        return
    if not delivery.has_capacity(tables, caller):
        delivery.refuse_caller(tables, outbox, request_id, caller)
        return
    stages.attach_caller(tables, outbox, request, caller)


def _refuse(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    message: requests.RequestSubmitted,
    request_id: str,
    caller: pipeline_tables.Caller,
    problem: problems.Problem,
) -> None:
    """Refuse a submission, with ``ran`` only as far as it is certain.

    A request with this key may have run before on any host, so the journal is asked
    first. Without a lease the refusal states that it is unknown whether it ran.
    """
    problem.request_id = request_id
    if message.key is None or problem.retry_after_s is None:
        delivery.send_problem(tables, outbox, {caller.caller_id: caller}, problem)
        return
    if not lease.is_held(tables, now):
        problem.ran = problems.Ran.UNKNOWN
        delivery.send_problem(tables, outbox, {caller.caller_id: caller}, problem)
        return

    def on_missing(tables, now, outbox, caller) -> None:
        delivery.send_problem(tables, outbox, {caller.caller_id: caller}, problem)

    caller.on_missing = on_missing
    watch.add_caller(tables, now, outbox, request_id, message.workspace, caller)


def _accept(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    message: requests.RequestSubmitted,
    request: pipeline_tables.Request,
    caller: pipeline_tables.Caller,
) -> None:
    tables.requests.requests[request.request_id] = request
    tables.requests.callers[caller.caller_id] = request.request_id
    request.callers[caller.caller_id] = caller
    creation.schedule_deadline_check(tables, now, request)
    if not request.journaled:
        stages.advance(tables, now, outbox, request)
        return
    if request.keyed:
        caller.on_missing = _resubmit(message)
    claims.claim(tables, now, outbox, request)


def _resubmit(message: requests.RequestSubmitted):
    """Return a callback that submits again if the journal no longer has the key."""

    def on_missing(tables, now, outbox, caller) -> None:
        message.stream = caller.stream
        message.resume_offset = caller.offset
        submit(tables, now, outbox, message)

    return on_missing
