"""Takeover of requests whose host ended, with reuse of their recorded results.

Such requests are orphans: open in the journal, without an owner.
"""

import msgspec

from bitternlever.core import ticks
from bitternlever.entry import control_client, lease, tables as entry_tables
from bitternlever.messages import journal, manifest, problems
from bitternlever.pipelines import (
    creation,
    finish,
    refusals,
    stages,
    tables as pipeline_tables,
    timers,
)

MAXIMUM_REQUESTS_PER_TAKEOVER = 16
RETRY_PAUSE_S = 0.3
RECONCILE_INTERVAL_S = 10.0
RECONCILE_MINIMUM_AGE_MS = 5_000
MILLISECONDS_PER_SECOND = 1_000


def run(tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox) -> None:
    """Reconcile ownership at intervals; take over orphaned requests after a hint."""
    state = tables.requests
    if lease.is_held(tables, now) and now >= state.next_reconcile_s:
        state.next_reconcile_s = now + RECONCILE_INTERVAL_S
        for group in range(tables.settings.journal_groups):
            _reconcile(tables, now, outbox, journal.FIRST_GROUP + group)
    if not tables.orphans_hint or state.takeover_in_flight:
        return
    if state.drain_requested_s is not None or not lease.accepts_work(tables, now):
        return
    if (
        len(state.requests) + MAXIMUM_REQUESTS_PER_TAKEOVER
        > tables.settings.maximum_requests
    ):
        return
    tables.orphans_hint = False
    state.takeover_in_flight = True
    for group in range(tables.settings.journal_groups):
        _take_over(tables, now, outbox, journal.FIRST_GROUP + group)


def adopt_state(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    open_request: journal.OpenRequest,
) -> None:
    """Continue a request from the records of its previous owner.

    A non-idempotent stage that was started and has no result is never sent again: the
    request ends with an unknown outcome.
    """
    request.any_stage_sent = True
    records_by_stage = {record.stage: record for record in open_request.stages}
    for index, stage in enumerate(request.pipeline.stages):
        record = records_by_stage.get(stage.name)
        if record is None:
            continue
        request.non_idempotent_started |= record.started_attempt is not None
        if record.progress:
            request.texts[stage.name] = record.progress
            request.committed_lengths[stage.name] = len(record.progress)
            request.written_lengths[stage.name] = len(record.progress)
        request.generations[stage.name] = record.generation
        if record.output is not None:
            request.results[stage.name] = msgspec.json.decode(record.output)
            request.cost_ms[stage.name] = record.busy_ms
            request.stage_index = index + 1
            request.non_idempotent_completed |= not stage.idempotent
        elif record.started_attempt is not None and not stage.idempotent:
            tables.count("outcome_unknown")
            problem = refusals.outcome_unknown(tables, request, stage.name)
            finish.with_problem(tables, now, outbox, request, problem)
            return
    stages.advance(tables, now, outbox, request)


def _reconcile(
    tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox, group: int
) -> None:
    """Release requests that two rounds in a row found owned but not known here.

    Such a request was claimed or taken over by a call whose reply was lost.
    """
    epoch = tables.lease.epoch
    command = journal.GetOwned(
        host=tables.settings.host,
        epoch=epoch,
        age_ms=RECONCILE_MINIMUM_AGE_MS,
    )

    def on_outcome(tables, now, outbox, outcome) -> None:
        state = tables.requests
        if outcome.is_err() or epoch != tables.lease.epoch:
            return
        unknown = set(outcome.ok().request_ids) - set(state.requests)
        unknown_twice = sorted(unknown & state.unknown_owned.get(group, set()))
        state.unknown_owned[group] = unknown
        if unknown_twice:
            tables.count("owned_unknown", len(unknown_twice))
            _release(tables, now, outbox, group, unknown_twice)

    control_client.call(tables, now, outbox, group, command, on_outcome)


def _release(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    group: int,
    unknown_twice: list[str],
) -> None:
    command = journal.ReleaseRequests(
        request_ids=unknown_twice,
        host=tables.settings.host,
        epoch=tables.lease.epoch,
    )

    def on_outcome(tables, now, outbox, outcome) -> None:
        """Ignore the outcome: the next round releases again after a failure."""

    control_client.call(tables, now, outbox, group, command, on_outcome)


def _take_over(
    tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox, group: int
) -> None:
    tables.requests.takeover_sequence += 1
    command = journal.TakeOver(
        host=tables.settings.host,
        epoch=tables.lease.epoch,
        maximum=MAXIMUM_REQUESTS_PER_TAKEOVER,
        sequence=tables.requests.takeover_sequence,
    )
    _send_until_answered(tables, now, outbox, group, command)


def _send_until_answered(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    group: int,
    command: journal.Command,
) -> None:
    """Send a takeover until answered; this host may already own its requests."""

    def retry(tables, now, outbox) -> None:
        if command.epoch == tables.lease.epoch:
            _send_until_answered(tables, now, outbox, group, command)
            return
        tables.requests.takeover_in_flight = False

    def on_outcome(tables, now, outbox, outcome) -> None:
        if outcome.is_err():
            timers.schedule(tables, now + RETRY_PAUSE_S, retry)
            return
        tables.requests.takeover_in_flight = False
        reply = outcome.ok()
        if not isinstance(reply, journal.TakenOver):
            return
        if command.epoch != tables.lease.epoch:
            return
        for open_request in reply.requests:
            _adopt_request(tables, now, outbox, open_request)
        if len(reply.requests) == command.maximum:
            tables.orphans_hint = True
            outbox.wake(now)

    control_client.call(tables, now, outbox, group, command, on_outcome)


def _adopt_request(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    open_request: journal.OpenRequest,
) -> None:
    if open_request.request_id in tables.requests.requests:
        tables.count("takeover_of_own_request")
        return
    tables.count("request_taken_over")
    pipeline = tables.manifest.pipelines.get(open_request.pipeline)
    kind = _kind(pipeline, open_request)
    request = creation.make_request(
        tables,
        now,
        open_request.request_id,
        open_request.workspace,
        pipeline
        or manifest.Pipeline(name=open_request.pipeline, stages=[], kinds=[kind]),
        kind,
        open_request.body,
        open_request.digest,
        deadline_s=now + open_request.time_left_ms / MILLISECONDS_PER_SECOND,
        keyed=open_request.request_id.startswith(creation.KEYED_PREFIX),
    )
    request.journaled = True
    tables.requests.requests[open_request.request_id] = request
    _attach_watchers(tables, outbox, request)
    creation.schedule_deadline_check(tables, now, request)
    if pipeline is None:
        problem = _pipeline_removed(tables, request)
        finish.with_problem(tables, now, outbox, request, problem)
        return
    adopt_state(tables, now, outbox, request, open_request)


def _attach_watchers(
    tables: entry_tables.EntryTables,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
) -> None:
    """Attach callers that watched the request through the journal."""
    watch = tables.requests.watches.pop(request.request_id, None)
    if watch is None:
        return
    for caller in watch.callers.values():
        stages.attach_caller(tables, outbox, request, caller)


def _kind(
    pipeline: manifest.Pipeline | None,
    open_request: journal.OpenRequest,
) -> manifest.Kind:
    for kind in [] if pipeline is None else pipeline.kinds:
        if kind.name == open_request.kind:
            return kind
    return manifest.Kind(
        name=open_request.kind,
        priority=open_request.priority,
        deadline_ms=open_request.time_left_ms,
        durable=open_request.durable,
    )


def _pipeline_removed(
    tables: entry_tables.EntryTables, request: pipeline_tables.Request
) -> problems.Problem:
    return refusals.make_problem(
        tables,
        status=410,
        title="Pipeline gone",
        detail=f"pipeline {request.pipeline.name!r} is not in the manifest any more",
        ran=problems.Ran.UNKNOWN,
        request_id=request.request_id,
    )
