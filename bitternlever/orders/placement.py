"""Placement: the engines hold the models that the manifest wants, by orders.

Only the holder of the order lease sends orders; each states the wanted result, so
that it may come twice. Engines that ignore fencing numbers get no order before the
former holder's orders can have arrived.
"""

from bitternlever.admission import backlog
from bitternlever.core import ticks
from bitternlever.entry import control_client, lease, tables as entry_tables
from bitternlever.gossip import tables as gossip_tables
from bitternlever.messages import directory, manifest, requests, upstream
from bitternlever.orders import tables as order_tables, wanted

LOOK_INTERVAL_S = 1.0
ASK_INTERVAL_S = 1.5
ASK_TIMEOUT_S = 1.0
CLOCK_RATE_ERROR = 0.01
ORDER_TIMEOUT_S = 120.0
REFUSED_PAUSE_S = 10.0
BURST_LOADS = 2.0
MINUTE_S = 60.0
PRESSED_WAIT_S = 2.0
PRESSED_FOR_S = 10.0
MOVE_PAUSE_S = 60.0


def run(tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox) -> None:
    """Compare what engines hold with what is wanted; send orders that are due."""
    in_force = tables.manifest.manifest
    if in_force is None or not in_force.models or not lease.holds(tables, now):
        return
    if tables.lease.released:
        return
    state = tables.orders
    if not state.asking and now >= state.next_ask_s:
        _ask(tables, now, outbox)
    if now >= state.valid_until_s:
        state.orders.clear()
    elif now >= state.next_look_s:
        state.next_look_s = now + LOOK_INTERVAL_S
        _fill_tokens(state, now, in_force)
        for pool in sorted({model.pool for model in in_force.models}):
            _look(tables, now, outbox, pool, in_force)
    outbox.wake(now + LOOK_INTERVAL_S)


def answered(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    message: requests.OrderAnswered,
) -> None:
    """Take an engine's answer to an order."""
    order = tables.orders.orders.get(message.upstream)
    if order is None or order.order_id != message.order_id:
        tables.count("order_answer_late")
        return
    order.settled = True
    order.refused = bool(message.error)
    state = "refused" if order.refused else "taken"
    _record(tables, now, outbox, message.upstream, order, state, message.error)


def _ask(tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox) -> None:
    """Take or keep the order lease, which counts from the asking."""
    state = tables.orders
    state.asking = True

    def on_outcome(tables, answered_s, outbox, outcome) -> None:
        state.asking = False
        state.next_ask_s = answered_s + ASK_INTERVAL_S
        reply = outcome.ok() if outcome.is_ok() else None
        if not isinstance(reply, directory.OrderLeaseGranted):
            return
        if reply.fencing != state.fencing:
            state.fencing = reply.fencing
            state.orders.clear()
            state.quiet_until_s = answered_s + reply.quiet_s
        usable_s = reply.duration_s * (1.0 - CLOCK_RATE_ERROR)
        state.valid_until_s = now + usable_s

    command = directory.AcquireOrderLease(
        host=tables.settings.host,
        epoch=tables.lease.epoch,
    )
    control_client.call(
        tables,
        now,
        outbox,
        directory.GROUP,
        command,
        on_outcome,
        timeout_s=ASK_TIMEOUT_S,
    )


def _fill_tokens(
    state: order_tables.OrderTables,
    now: float,
    in_force: manifest.Manifest,
) -> None:
    rate = in_force.limits.weight_store_loads_per_minute / MINUTE_S
    if state.tokens_s is None:
        state.tokens_s = now
        state.tokens = 1.0
    earned = (now - state.tokens_s) * rate
    state.tokens = min(BURST_LOADS, state.tokens + earned)
    state.tokens_s = now


def _look(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    pool: str,
    in_force: manifest.Manifest,
) -> None:
    """Send the next order of a pool if one is due and the weight store has room."""
    state = tables.orders
    models = [model for model in in_force.models if model.pool == pool]
    engines = _engines(tables, now, pool)
    targets = {
        model.name: _target(tables, now, in_force, model, engines) for model in models
    }
    ordered = {
        each.announcement.name: state.orders[each.announcement.name].models
        for each in engines
        if _under_way(state, now, each)
    }
    change = wanted.next_change(engines, models, targets, ordered)
    if change is None or change.loads > state.tokens:
        return
    state.tokens -= change.loads
    _send(tables, now, outbox, change)


def _engines(
    tables: entry_tables.EntryTables, now: float, pool: str
) -> list[gossip_tables.Upstream]:
    """Return the live engines of a pool that may get an order now."""
    oldest_s = now - tables.settings.upstream_silence_s
    return [
        each
        for _, each in sorted(tables.membership.upstreams.items())
        if each.announcement.pool == pool
        and each.heard_s >= oldest_s
        and not each.announcement.leaving
        and (each.announcement.checks_fencing or now >= tables.orders.quiet_until_s)
    ]


def _target(
    tables: entry_tables.EntryTables,
    now: float,
    in_force: manifest.Manifest,
    model: manifest.Model,
    engines: list[gossip_tables.Upstream],
) -> int:
    """Return the wanted copies: one more where work has long waited for the model."""
    state = tables.orders
    copies = sum(wanted.holds(each.announcement.models, model) for each in engines)
    least = max(model.minimum_engines, 0)
    if not _is_pressed(tables, now, in_force, model):
        state.pressed_since.pop(model.name, None)
        return least
    since_s = state.pressed_since.setdefault(model.name, now)
    if now - since_s < PRESSED_FOR_S or now < state.next_move_s.get(model.pool, 0.0):
        return least
    state.next_move_s[model.pool] = now + MOVE_PAUSE_S
    return max(least, copies + 1)


def _is_pressed(
    tables: entry_tables.EntryTables,
    now: float,
    in_force: manifest.Manifest,
    model: manifest.Model,
) -> bool:
    lowest = max(
        (kind.priority for each in in_force.pipelines for kind in each.kinds),
        default=0,
    )
    stages = {
        stage.name: stage
        for each in in_force.pipelines
        for stage in each.stages
        if stage.model == model.name and stage.pool == model.pool
    }
    return any(
        (backlog.wait_s(tables, now, stage, lowest) or 0.0) > PRESSED_WAIT_S
        for stage in stages.values()
    )


def _under_way(
    state: order_tables.OrderTables,
    now: float,
    engine: gossip_tables.Upstream,
) -> bool:
    """Tell whether an engine still works on its last order."""
    announcement = engine.announcement
    order = state.orders.get(announcement.name)
    if order is None or order.incarnation != announcement.incarnation:
        return False
    if order.refused:
        return now - order.sent_s < REFUSED_PAUSE_S
    done = set(order.models) == set(announcement.models)
    return not done and now - order.sent_s < ORDER_TIMEOUT_S


def _send(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    change: order_tables.Wanted,
) -> None:
    state = tables.orders
    state.next_order += 1
    announcement = tables.membership.upstreams[change.upstream].announcement
    order = order_tables.Order(
        order_id=f"o-{tables.settings.host}-{state.fencing}-{state.next_order}",
        incarnation=announcement.incarnation,
        models=change.models,
        adapters=change.adapters,
        role=announcement.role,
        sent_s=now,
    )
    state.orders[change.upstream] = order
    outbox.send(
        requests.SendOrder(
            order_id=order.order_id,
            upstream=change.upstream,
            address=announcement.address,
            order=upstream.EngineOrder(
                fencing=state.fencing,
                models=change.models,
                adapters=change.adapters,
                role=announcement.role,
            ),
            must_not_start_after=min(state.valid_until_s, tables.lease.valid_until_s),
        ),
    )
    _record(tables, now, outbox, change.upstream, order, "sent", "")


def _record(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    name: str,
    order: order_tables.Order,
    state: str,
    detail: str,
) -> None:
    command = directory.RecordOrder(
        fencing=tables.orders.fencing,
        upstream=name,
        models=order.models,
        adapters=order.adapters,
        role=order.role,
        state=state,
        detail=detail,
    )

    def on_outcome(tables, now, outbox, outcome) -> None:
        if outcome.is_ok() and isinstance(outcome.ok(), directory.OrderRefused):
            tables.count("order_lease_lost")
            tables.orders.valid_until_s = 0.0

    control_client.call(tables, now, outbox, directory.GROUP, command, on_outcome)
