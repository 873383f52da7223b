"""Callers of requests that another host owns: poll the journal for the answer."""

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
UNREACHABLE_LIMIT_S = 8.0
HINT_INTERVAL_S = 1.0
OPEN_RETRY_AFTER_S = 1.0


def add_caller(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    request_id: str,
    workspace: str,
    caller: pipeline_tables.Caller,
) -> None:
    """Let a caller follow a request by polling the journal."""
    if not delivery.has_capacity(tables, caller):
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
    watch.callers[caller.caller_id] = caller
    tables.requests.callers[caller.caller_id] = request_id
    _poll(tables, now, outbox, watch)


def remove_caller(
    tables: entry_tables.EntryTables, watch: pipeline_tables.Watch, caller: int
) -> None:
    """Remove a caller from a watch."""
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
            _handle_unreachable(tables, now, outbox, watch)
            return
        watch.unreachable_since_s = None
        _handle_reply(tables, now, outbox, watch, outcome.ok())

    group = groups.group_of(tables, watch.request_id)
    control_client.call(tables, now, outbox, group, command, on_outcome)


def _handle_reply(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    watch: pipeline_tables.Watch,
    reply: journal.Reply,
) -> None:
    match reply:
        case journal.Answered():
            del tables.requests.watches[watch.request_id]
            delivery.send_answer(tables, outbox, watch.callers, reply)
        case journal.RequestOpen():
            _handle_open(tables, now, outbox, watch, reply)
        case _:
            del tables.requests.watches[watch.request_id]
            _handle_missing(tables, now, outbox, watch)


def _handle_open(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    watch: pipeline_tables.Watch,
    reply: journal.Reply,
) -> None:
    if watch.generation not in (None, reply.generation):
        delivery.invalidate_sent_text(tables, outbox, watch.request_id, watch.callers)
    watch.generation = reply.generation
    delivery.send_pieces(
        outbox,
        watch.request_id,
        watch.callers,
        reply.progress,
        start=reply.offset,
    )
    for caller in [waiting for waiting in watch.callers.values() if waiting.state_only]:
        del watch.callers[caller.caller_id]
        delivery.send_state(
            tables,
            outbox,
            caller.caller_id,
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
    """Hint to the owner that callers here still wait for the request."""
    host = tables.membership.hosts.get(owner)
    if host is None or now < watch.next_hint_s:
        return
    watch.next_hint_s = now + HINT_INTERVAL_S
    hint = calls.WatchedHint(request_id=watch.request_id)
    outbox.send(
        frames.SendToPeer(node=f"entry-{host.host}", message=hint, link=host.link),
    )


def _poll_later(
    tables: entry_tables.EntryTables, now: float, watch: pipeline_tables.Watch
) -> None:
    def poll(tables, now, outbox) -> None:
        _poll(tables, now, outbox, watch)

    timers.schedule(tables, now + watch.interval_s, poll)
    watch.interval_s = min(MAXIMUM_INTERVAL_S, watch.interval_s * INTERVAL_GROWTH)


def _handle_unreachable(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    watch: pipeline_tables.Watch,
) -> None:
    """Poll on for UNREACHABLE_LIMIT_S, then report an unknown outcome."""
    if watch.unreachable_since_s is None:
        watch.unreachable_since_s = now
    may_retry = now - watch.unreachable_since_s < UNREACHABLE_LIMIT_S
    if may_retry and not any(caller.state_only for caller in watch.callers.values()):
        _poll_later(tables, now, watch)
        return
    del tables.requests.watches[watch.request_id]
    problem = refusals.make_problem(
        tables,
        status=503,
        title="Journal unreachable",
        detail="no leader of the request's journal group answered",
        ran=problems.Ran.UNKNOWN,
        request_id=watch.request_id,
        retry_after_s=refusals.RETRY_AFTER_S,
    )
    delivery.send_problem(tables, outbox, watch.callers, problem)


def _handle_missing(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    watch: pipeline_tables.Watch,
) -> None:
    """Call ``on_missing`` for callers that have it; refuse the others."""
    callers = list(watch.callers.values())
    watch.callers.clear()
    for caller in callers:
        if caller.on_missing is not None:
            caller.on_missing(tables, now, outbox, caller)
            continue
        delivery.send_problem(
            tables,
            outbox,
            {caller.caller_id: caller},
            request_unknown(tables, watch.request_id),
        )


def request_unknown(
    tables: entry_tables.EntryTables, request_id: str
) -> problems.Problem:
    """Return the problem for a request that this host and the journal do not know."""
    return refusals.make_problem(
        tables,
        status=404,
        title="Request unknown",
        detail="no journal holds this request of this workspace",
        ran=problems.Ran.UNKNOWN,
        request_id=request_id,
    )
