"""New requests: join a run of the same key, admit, claim where journaled."""

import msgspec
import result

from bitternlever.admission import gate
from bitternlever.core import ticks
from bitternlever.entry import lease, tables as entry_tables
from bitternlever.messages import manifest, problems, requests
from bitternlever.pipelines import (
    claims,
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
    """Take a new request: join, refuse or accept it."""
    caller = pipeline_tables.Caller(
        caller=message.caller,
        stream=message.stream,
        offset=message.resume_offset,
    )
    request_id = creation.identify(tables, message)
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
    """Check a submission against the manifest and the gate."""
    unready = _unready(tables, now)
    if unready is not None:
        return _refusal(tables, 503, "Not ready", unready, refusals.RETRY_AFTER_S)
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
    admitted = gate.admit(
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
        refusals.problem(
            tables,
            status=status,
            title=title,
            detail=detail,
            ran=problems.Ran.NO,
            retry_after_s=retry_after_s,
        ),
    )


def _unready(tables: entry_tables.EntryTables, now: float) -> str | None:
    expires_s = tables.requests.drain_answer_expires_s
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
    """Attach a caller to the run of the same key on this host."""
    request = tables.requests.requests[request_id]
    if request.digest != message.digest:
        stated = claims.other_body(tables, request_id)
        delivery.problem(tables, outbox, {caller.caller: caller}, stated)
        return
    if not delivery.has_room(tables, caller):
        delivery.refuse_caller(tables, outbox, request_id, caller)
        return
    stages.attach(tables, outbox, request, caller)


def _refuse(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    message: requests.RequestSubmitted,
    request_id: str,
    caller: pipeline_tables.Caller,
    stated: problems.Problem,
) -> None:
    """Refuse a submission at once, without saying more than is known.

    A key may have run before, on any host: the journal is asked first. Where it
    cannot be asked, the refusal says that it is unknown whether the key ran.
    """
    stated.request_id = request_id
    if message.key is None or stated.retry_after_s is None:
        delivery.problem(tables, outbox, {caller.caller: caller}, stated)
        return
    if not lease.holds(tables, now):
        stated.ran = problems.Ran.UNKNOWN
        delivery.problem(tables, outbox, {caller.caller: caller}, stated)
        return

    def on_missing(tables, now, outbox, caller) -> None:
        delivery.problem(tables, outbox, {caller.caller: caller}, stated)

    caller.on_missing = on_missing
    watch.add(tables, now, outbox, request_id, message.workspace, caller)


def _accept(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    message: requests.RequestSubmitted,
    request: pipeline_tables.Request,
    caller: pipeline_tables.Caller,
) -> None:
    tables.requests.requests[request.request_id] = request
    tables.requests.callers[caller.caller] = request.request_id
    request.callers[caller.caller] = caller
    creation.watch_deadline(tables, now, request)
    if not request.journaled:
        stages.advance(tables, now, outbox, request)
        return
    if request.keyed:
        caller.on_missing = _resubmit(message)
    claims.claim(tables, now, outbox, request)


def _resubmit(message: requests.RequestSubmitted):
    """Return what runs a submission anew when the journal has forgotten its key."""

    def on_missing(tables, now, outbox, caller) -> None:
        message.stream = caller.stream
        message.resume_offset = caller.offset
        submit(tables, now, outbox, message)

    return on_missing
