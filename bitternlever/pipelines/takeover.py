"""Requests of ended hosts: own them, reuse their results, finish them here."""

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

MAXIMUM_TAKEN = 16
RETRY_PAUSE_S = 0.3
RECONCILE_INTERVAL_S = 10.0
RECONCILE_AGE_MS = 5_000
MILLISECONDS = 1_000


def run(tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox) -> None:
    """Take over waiting requests after a hint, one call at a time."""
    state = tables.requests
    if lease.holds(tables, now) and now >= state.next_reconcile_s:
        state.next_reconcile_s = now + RECONCILE_INTERVAL_S
        for group in range(tables.settings.journal_groups):
            _reconcile(tables, now, outbox, journal.FIRST_GROUP + group)
    if not tables.orphans_hint or state.takeover_in_flight:
        return
    if state.drain_requested_s is not None or not lease.accepts_work(tables, now):
        return
    if len(state.requests) + MAXIMUM_TAKEN > tables.settings.maximum_requests:
        return
    tables.orphans_hint = False
    state.takeover_in_flight = True
    for group in range(tables.settings.journal_groups):
        _take(tables, now, outbox, journal.FIRST_GROUP + group)


def adopt_state(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
    taken: journal.OpenRequest,
) -> None:
    """Go on with a request from what its former owner recorded.

    A started stage that is not idempotent and has no result is never sent again: the
    request ends with an unknown outcome.
    """
    request.sent_any = True
    by_name = {record.stage: record for record in taken.stages}
    for index, stage in enumerate(request.pipeline.stages):
        record = by_name.get(stage.name)
        if record is None:
            continue
        request.once_only_started |= record.started_attempt is not None
        if record.progress:
            request.texts[stage.name] = record.progress
            request.committed[stage.name] = len(record.progress)
            request.recorded[stage.name] = len(record.progress)
        request.generations[stage.name] = record.generation
        if record.output is not None:
            request.results[stage.name] = msgspec.json.decode(record.output)
            request.cost_ms[stage.name] = record.busy_ms
            request.stage_index = index + 1
            request.completed_once_only |= not stage.idempotent
        elif record.started_attempt is not None and not stage.idempotent:
            tables.count("outcome_unknown")
            stated = refusals.outcome_unknown(tables, request, stage.name)
            finish.problem(tables, now, outbox, request, stated)
            return
    stages.advance(tables, now, outbox, request)


def _reconcile(
    tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox, group: int
) -> None:
    """Release requests that this host owns without knowing them, twice in a row.

    Such a request was claimed or taken over by a call whose reply never came.
    """
    epoch = tables.lease.epoch
    command = journal.GetOwned(
        host=tables.settings.host,
        epoch=epoch,
        age_ms=RECONCILE_AGE_MS,
    )

    def on_outcome(tables, now, outbox, outcome) -> None:
        state = tables.requests
        if outcome.is_err() or epoch != tables.lease.epoch:
            return
        unknown = set(outcome.ok().request_ids) - set(state.requests)
        lost = sorted(unknown & state.unknown_owned.get(group, set()))
        state.unknown_owned[group] = unknown
        if lost:
            tables.count("owned_unknown", len(lost))
            _release(tables, now, outbox, group, lost)

    control_client.call(tables, now, outbox, group, command, on_outcome)


def _release(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    group: int,
    lost: list[str],
) -> None:
    command = journal.ReleaseRequests(
        request_ids=lost,
        host=tables.settings.host,
        epoch=tables.lease.epoch,
    )

    def on_outcome(tables, now, outbox, outcome) -> None:
        """A lost reply is made good by the next round."""

    control_client.call(tables, now, outbox, group, command, on_outcome)


def _take(
    tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox, group: int
) -> None:
    tables.requests.takeover_sequence += 1
    command = journal.TakeOver(
        host=tables.settings.host,
        epoch=tables.lease.epoch,
        maximum=MAXIMUM_TAKEN,
        sequence=tables.requests.takeover_sequence,
    )
    _call(tables, now, outbox, group, command)


def _call(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    group: int,
    command: journal.Command,
) -> None:
    """Send one takeover until it is answered: its requests may be this host's."""

    def again(tables, now, outbox) -> None:
        if command.epoch == tables.lease.epoch:
            _call(tables, now, outbox, group, command)
            return
        tables.requests.takeover_in_flight = False

    def on_outcome(tables, now, outbox, outcome) -> None:
        if outcome.is_err():
            timers.at(tables, now + RETRY_PAUSE_S, again)
            return
        tables.requests.takeover_in_flight = False
        reply = outcome.ok()
        if not isinstance(reply, journal.TakenOver):
            return
        if command.epoch != tables.lease.epoch:
            return
        for taken in reply.requests:
            _adopt(tables, now, outbox, taken)
        if len(reply.requests) == command.maximum:
            tables.orphans_hint = True
            outbox.wake(now)

    control_client.call(tables, now, outbox, group, command, on_outcome)


def _adopt(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    taken: journal.OpenRequest,
) -> None:
    if taken.request_id in tables.requests.requests:
        tables.count("takeover_of_own_request")
        return
    tables.count("request_taken_over")
    pipeline = tables.manifest.pipelines.get(taken.pipeline)
    kind = _kind(pipeline, taken)
    request = creation.make_request(
        tables,
        now,
        taken.request_id,
        taken.workspace,
        pipeline or manifest.Pipeline(name=taken.pipeline, stages=[], kinds=[kind]),
        kind,
        taken.body,
        taken.digest,
        deadline_s=now + taken.time_left_ms / MILLISECONDS,
        keyed=taken.request_id.startswith(creation.KEYED_PREFIX),
    )
    request.journaled = True
    tables.requests.requests[taken.request_id] = request
    _bring_callers(tables, outbox, request)
    creation.watch_deadline(tables, now, request)
    if pipeline is None:
        stated = _pipeline_gone(tables, request)
        finish.problem(tables, now, outbox, request, stated)
        return
    adopt_state(tables, now, outbox, request, taken)


def _bring_callers(
    tables: entry_tables.EntryTables,
    outbox: ticks.Outbox,
    request: pipeline_tables.Request,
) -> None:
    """Callers who followed the request through the journal join the run."""
    watched = tables.requests.watches.pop(request.request_id, None)
    if watched is None:
        return
    for caller in watched.callers.values():
        stages.attach(tables, outbox, request, caller)


def _kind(
    pipeline: manifest.Pipeline | None,
    taken: journal.OpenRequest,
) -> manifest.Kind:
    for kind in [] if pipeline is None else pipeline.kinds:
        if kind.name == taken.kind:
            return kind
    return manifest.Kind(
        name=taken.kind,
        priority=taken.priority,
        deadline_ms=taken.time_left_ms,
        durable=taken.durable,
    )


def _pipeline_gone(
    tables: entry_tables.EntryTables, request: pipeline_tables.Request
) -> problems.Problem:
    return refusals.problem(
        tables,
        status=410,
        title="Pipeline gone",
        detail=f"pipeline {request.pipeline.name!r} is not in the manifest any more",
        ran=problems.Ran.UNKNOWN,
        request_id=request.request_id,
    )
