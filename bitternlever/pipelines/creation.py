"""The entity of a request: its id, its first state, its deadline."""

import hashlib
from typing import Any

import msgspec

from bitternlever.entry import tables as entry_tables
from bitternlever.messages import manifest, requests
from bitternlever.pipelines import stages, tables as pipeline_tables, timers

KEYED_PREFIX = "k-"
KEYED_ID_DIGITS = 40
DEADLINE_CHECK_S = 30.0


class SubmittedBody(msgspec.Struct):
    """The part of a caller's JSON body that the stages get."""

    input: Any = None


def identify(
    tables: entry_tables.EntryTables, message: requests.RequestSubmitted
) -> str:
    """Return the request's id: from its key, or made by this host."""
    if message.key is not None:
        text = f"{message.workspace}\0{message.key}"
        digest = hashlib.sha256(text.encode()).hexdigest()
        return KEYED_PREFIX + digest[:KEYED_ID_DIGITS]
    tables.requests.next_request += 1
    settings = tables.settings
    return f"r-{settings.host}-{tables.lease.epoch}-{tables.requests.next_request}"


def make_request(
    tables: entry_tables.EntryTables,
    now: float,
    request_id: str,
    workspace: str,
    pipeline: manifest.Pipeline,
    kind: manifest.Kind,
    body: bytes,
    digest: str,
    deadline_s: float,
    keyed: bool,
) -> pipeline_tables.Request:
    """Make the entity of a request in its first phase."""
    once_only = any(not stage.idempotent for stage in pipeline.stages)
    return pipeline_tables.Request(
        request_id=request_id,
        workspace=workspace,
        pipeline=pipeline,
        kind=kind,
        digest=digest,
        body=body,
        input=msgspec.json.decode(body, type=SubmittedBody).input,
        journaled=keyed or once_only or kind.durable,
        arrived_s=now,
        deadline_s=deadline_s,
        phase=pipeline_tables.Phase.CLAIMING,
        epoch=tables.lease.epoch,
        keyed=keyed,
    )


def watch_deadline(
    tables: entry_tables.EntryTables, now: float, request: pipeline_tables.Request
) -> None:
    """Let a request that is not durable end at its deadline."""
    if request.kind.durable:
        return

    def check(tables, now, outbox) -> None:
        if tables.requests.requests.get(request.request_id) is not request:
            return
        if now < request.deadline_s:
            watch_deadline(tables, now, request)
            return
        stages.expire(tables, now, outbox, request)

    timers.at(tables, min(request.deadline_s, now + DEADLINE_CHECK_S), check)
