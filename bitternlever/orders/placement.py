"""Placement of models: orders to engines to load the models that the manifest requires.

Only the holder of the order lease sends orders. An order states the desired result, so
it may arrive twice. Engines that don't check fencing numbers get no order until the
orders of the previous holder can no longer arrive.
"""

from bitternlever.admission import backlog
from bitternlever.core import ticks
from bitternlever.entry import control_client, lease, tables as entry_tables
from bitternlever.gossip import tables as gossip_tables
from bitternlever.messages import directory, manifest, requests, upstream
from bitternlever.orders import desired, tables as order_tables

RECONCILE_INTERVAL_S = 1.0
LEASE_RENEWAL_INTERVAL_S = 1.5
LEASE_CALL_TIMEOUT_S = 1.0
# Maximum relative rate error of two clocks.
CLOCK_RATE_ERROR = 0.01
ORDER_TIMEOUT_S = 120.0
REFUSED_RETRY_S = 10.0
# Capacity of the token bucket for model loads; a load takes one token.
MODEL_LOAD_BURST = 2.0
SECONDS_PER_MINUTE = 60.0
OVERLOAD_WAIT_S = 2.0
OVERLOAD_DURATION_S = 10.0
SCALE_UP_INTERVAL_S = 60.0


def run(tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox) -> None:
    """Renew the order lease and send orders for models that differ from the desired."""
    in_force = tables.manifest.manifest
    if in_force is None or not in_force.models or not lease.is_held(tables, now):
        return
    if tables.lease.released:
        return
    state = tables.orders
    if not state.renewing and now >= state.next_renewal_s:
        _renew_lease(tables, now, outbox)
    if now >= state.valid_until_s:
        state.orders.clear()
    elif now >= state.next_reconcile_s:
        state.next_reconcile_s = now + RECONCILE_INTERVAL_S
        _refill_load_tokens(state, now, in_force)
        for pool in sorted({model.pool for model in in_force.models}):
            _reconcile_pool(tables, now, outbox, pool, in_force)
    outbox.wake(now + RECONCILE_INTERVAL_S)


def handle_order_answered(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    message: requests.OrderAnswered,
) -> None:
    """Record an engine's answer to an order."""
    order = tables.orders.orders.get(message.upstream)
    if order is None or order.order_id != message.order_id:
        tables.count("order_answer_late")
        return
    order.is_answered = True
    order.refused = bool(message.error)
    state = "refused" if order.refused else "taken"
    _record_order(tables, now, outbox, message.upstream, order, state, message.error)


def _renew_lease(
    tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox
) -> None:
    """Acquire or renew the order lease, whose duration counts from the request."""
    state = tables.orders
    state.renewing = True

    def on_outcome(tables, answered_s, outbox, outcome) -> None:
        state.renewing = False
        state.next_renewal_s = answered_s + LEASE_RENEWAL_INTERVAL_S
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
        timeout_s=LEASE_CALL_TIMEOUT_S,
    )


def _refill_load_tokens(
    state: order_tables.OrderTables,
    now: float,
    in_force: manifest.Manifest,
) -> None:
    rate = in_force.limits.weight_store_loads_per_minute / SECONDS_PER_MINUTE
    if state.load_tokens_updated_s is None:
        state.load_tokens_updated_s = now
        state.load_tokens = 1.0
    earned = (now - state.load_tokens_updated_s) * rate
    state.load_tokens = min(MODEL_LOAD_BURST, state.load_tokens + earned)
    state.load_tokens_updated_s = now


def _reconcile_pool(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    pool: str,
    in_force: manifest.Manifest,
) -> None:
    """Send the next order of a pool if one is due and the load rate allows it."""
    state = tables.orders
    models = [model for model in in_force.models if model.pool == pool]
    engines = _orderable_engines(tables, now, pool)
    targets = {
        model.name: _desired_copies(tables, now, in_force, model, engines)
        for model in models
    }
    pending = {
        engine.announcement.name: state.orders[engine.announcement.name].models
        for engine in engines
        if _is_order_pending(state, now, engine)
    }
    change = desired.next_change(engines, models, targets, pending)
    if change is None or change.loads > state.load_tokens:
        return
    state.load_tokens -= change.loads
    _send(tables, now, outbox, change)


def _orderable_engines(
    tables: entry_tables.EntryTables, now: float, pool: str
) -> list[gossip_tables.Upstream]:
    """Return the live engines of a pool that may get orders now."""
    oldest_s = now - tables.settings.upstream_silence_s
    return [
        engine
        for _, engine in sorted(tables.membership.upstreams.items())
        if engine.announcement.pool == pool
        and engine.last_seen_s >= oldest_s
        and not engine.announcement.leaving
        and (engine.announcement.checks_fencing or now >= tables.orders.quiet_until_s)
    ]


def _desired_copies(
    tables: entry_tables.EntryTables,
    now: float,
    in_force: manifest.Manifest,
    model: manifest.Model,
    engines: list[gossip_tables.Upstream],
) -> int:
    """Return the desired copies of a model: one more after a long overload."""
    state = tables.orders
    copies = sum(
        desired.has_model(engine.announcement.models, model) for engine in engines
    )
    minimum = max(model.minimum_engines, 0)
    if not _is_overloaded(tables, now, in_force, model):
        state.overloaded_since_s.pop(model.name, None)
        return minimum
    since_s = state.overloaded_since_s.setdefault(model.name, now)
    if now - since_s < OVERLOAD_DURATION_S or now < state.next_scale_up_s.get(
        model.pool, 0.0
    ):
        return minimum
    state.next_scale_up_s[model.pool] = now + SCALE_UP_INTERVAL_S
    return max(minimum, copies + 1)


def _is_overloaded(
    tables: entry_tables.EntryTables,
    now: float,
    in_force: manifest.Manifest,
    model: manifest.Model,
) -> bool:
    least_urgent = max(
        (kind.priority for pipeline in in_force.pipelines for kind in pipeline.kinds),
        default=0,
    )
    stages = {
        stage.name: stage
        for pipeline in in_force.pipelines
        for stage in pipeline.stages
        if stage.model == model.name and stage.pool == model.pool
    }
    return any(
        (backlog.wait_s(tables, now, stage, least_urgent) or 0.0) > OVERLOAD_WAIT_S
        for stage in stages.values()
    )


def _is_order_pending(
    state: order_tables.OrderTables,
    now: float,
    engine: gossip_tables.Upstream,
) -> bool:
    """Return whether an engine is still executing its last order."""
    announcement = engine.announcement
    order = state.orders.get(announcement.name)
    if order is None or order.incarnation != announcement.incarnation:
        return False
    if order.refused:
        return now - order.sent_s < REFUSED_RETRY_S
    complete = set(order.models) == set(announcement.models)
    return not complete and now - order.sent_s < ORDER_TIMEOUT_S


def _send(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    change: order_tables.DesiredModels,
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
    _record_order(tables, now, outbox, change.upstream, order, "sent", "")


def _record_order(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    name: str,
    order: order_tables.Order,
    order_state: str,
    detail: str,
) -> None:
    command = directory.RecordOrder(
        fencing=tables.orders.fencing,
        upstream=name,
        models=order.models,
        adapters=order.adapters,
        role=order.role,
        state=order_state,
        detail=detail,
    )

    def on_outcome(tables, now, outbox, outcome) -> None:
        if outcome.is_ok() and isinstance(outcome.ok(), directory.OrderRefused):
            tables.count("order_lease_lost")
            tables.orders.valid_until_s = 0.0

    control_client.call(tables, now, outbox, directory.GROUP, command, on_outcome)
