"""Callers of requests that another host owns: follow the journal until the answer."""

from bitternlever.core import ticks
from bitternlever.entry import control_client, tables as entry_tables
from bitternlever.messages import calls, frames, journal, problems
from bitternlever.pipelines import (
    delivery,
    groups,
    refusals,
    tables as pipeline_tables,
    timers,
)

FIRST_INTERVAL_S = 0.05
STREAM_INTERVAL_S = 0.1
MAXIMUM_INTERVAL_S = 0.5
INTERVAL_GROWTH = 1.5
UNHEARD_LIMIT_S = 8.0
HINT_INTERVAL_S = 1.0
OPEN_RETRY_AFTER_S = 1.0


def add(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request_id: str,
    workspace: str,
    caller: pipeline_tables.Caller,
) -> None:
    """Let a caller follow a request through the journal."""
    if not delivery.has_room(tables, caller):
        delivery.refuse_caller(tables, outbox, request_id, caller)
        return
    watch = tables.requests.watches.get(request_id)
    if watch is None:
        watch = pipeline_tables.Watch(
            request_id=request_id,
            workspace=workspace,
            interval_s=FIRST_INTERVAL_S,
        )
        tables.requests.watches[request_id] = watch
    watch.callers[caller.caller] = caller
    tables.requests.callers[caller.caller] = request_id
    _poll(tables, now, outbox, watch)


def leave(
    tables: entry_tables.EntryTables, watch: pipeline_tables.Watch, caller: int
) -> None:
    """Take a caller out of a watch."""
    watch.callers.pop(caller, None)
    if not watch.callers:
        tables.requests.watches.pop(watch.request_id, None)


def _poll(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    watch: pipeline_tables.Watch,
) -> None:
    if watch.polling or tables.requests.watches.get(watch.request_id) is not watch:
        return
    watch.polling = True
    offsets = [caller.offset for caller in watch.callers.values() if caller.stream]
    command = journal.GetRequest(
        request_id=watch.request_id,
        workspace=watch.workspace,
        offset=min(offsets, default=0),
    )

    def on_outcome(tables, now, outbox, outcome) -> None:
        watch.polling = False
        if tables.requests.watches.get(watch.request_id) is not watch:
            return
        if outcome.is_err():
            _unheard(tables, now, outbox, watch)
            return
        watch.unheard_since_s = None
        _heard(tables, now, outbox, watch, outcome.ok())

    group = groups.group_of(tables, watch.request_id)
    control_client.call(tables, now, outbox, group, command, on_outcome)


def _heard(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    watch: pipeline_tables.Watch,
    reply: journal.Reply,
) -> None:
    match reply:
        case journal.Answered():
            del tables.requests.watches[watch.request_id]
            delivery.answer(tables, outbox, watch.callers, reply)
        case journal.RequestOpen():
            _open(tables, now, outbox, watch, reply)
        case _:
            del tables.requests.watches[watch.request_id]
            _missing(tables, now, outbox, watch)


def _open(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    watch: pipeline_tables.Watch,
    reply: journal.Reply,
) -> None:
    if watch.generation not in (None, reply.generation):
        delivery.drop_text(tables, outbox, watch.request_id, watch.callers)
    watch.generation = reply.generation
    delivery.pieces(
        outbox,
        watch.request_id,
        watch.callers,
        reply.progress,
        start=reply.offset,
    )
    for caller in [each for each in watch.callers.values() if each.once]:
        del watch.callers[caller.caller]
        delivery.state(
            tables,
            outbox,
            caller.caller,
            watch.request_id,
            "open",
            OPEN_RETRY_AFTER_S,
        )
    if not watch.callers:
        del tables.requests.watches[watch.request_id]
        return
    _hint_owner(tables, now, outbox, watch, reply.host)
    if reply.progress:
        watch.interval_s = STREAM_INTERVAL_S
    _poll_later(tables, now, watch)


def _hint_owner(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    watch: pipeline_tables.Watch,
    owner: str,
) -> None:
    """Let the owner know that somebody still waits for the request."""
    host = tables.membership.hosts.get(owner)
    if host is None or now < watch.next_hint_s:
        return
    watch.next_hint_s = now + HINT_INTERVAL_S
    hint = calls.WatchedHint(request_id=watch.request_id)
    outbox.send(
        frames.SendPeer(node=f"entry-{host.host}", message=hint, link=host.link),
    )


def _poll_later(
    tables: entry_tables.EntryTables, now: float, watch: pipeline_tables.Watch
) -> None:
    def again(tables, now, outbox) -> None:
        _poll(tables, now, outbox, watch)

    timers.at(tables, now + watch.interval_s, again)
    watch.interval_s = min(MAXIMUM_INTERVAL_S, watch.interval_s * INTERVAL_GROWTH)


def _unheard(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    watch: pipeline_tables.Watch,
) -> None:
    """Go on asking for a while; then say that the outcome is not known here."""
    if watch.unheard_since_s is None:
        watch.unheard_since_s = now
    patient = now - watch.unheard_since_s < UNHEARD_LIMIT_S
    if patient and not any(caller.once for caller in watch.callers.values()):
        _poll_later(tables, now, watch)
        return
    del tables.requests.watches[watch.request_id]
    stated = refusals.problem(
        tables,
        status=503,
        title="Journal unreachable",
        detail="no leader of the request's journal group answered",
        ran=problems.Ran.UNKNOWN,
        request_id=watch.request_id,
        retry_after_s=refusals.RETRY_AFTER_S,
    )
    delivery.problem(tables, outbox, watch.callers, stated)


def _missing(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    watch: pipeline_tables.Watch,
) -> None:
    """The journal holds no such request: callers that brought one have it handled."""
    callers = list(watch.callers.values())
    watch.callers.clear()
    for caller in callers:
        if caller.on_missing is not None:
            caller.on_missing(tables, now, outbox, caller)
            continue
        delivery.problem(
            tables,
            outbox,
            {caller.caller: caller},
            unknown(tables, watch.request_id),
        )


def unknown(tables: entry_tables.EntryTables, request_id: str) -> problems.Problem:
    """Return the problem of a request that no table and no journal holds."""
    return refusals.problem(
        tables,
        status=404,
        title="Request unknown",
        detail="no journal holds this request of this workspace",
        ran=problems.Ran.UNKNOWN,
        request_id=request_id,
    )
