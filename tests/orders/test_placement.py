"""Orders to engines: fencing, rate limit, and no more orders than needed."""

import result

from bitternlever.admission import dispatch
from bitternlever.core import ticks
from bitternlever.messages import calls, directory, frames, manifest, requests
from bitternlever.orders import placement
from tests.admission import entry_hosts

QUIET_S = 5.0


def _lease_holder(models, loads_per_minute=6, stages=()):
    tables = entry_hosts.host(upstream_silence_s=1e9)
    object.__setattr__(tables.settings, "control_nodes", {"control": ""})
    pipelines = []
    if stages:
        kinds = [manifest.Kind("kind-2", 2, 20_000, durable=True)]
        pipelines = [manifest.Pipeline("p", list(stages), kinds)]
    tables.manifest.manifest = manifest.Manifest(
        1,
        [],
        pipelines,
        models,
        manifest.Limits(weight_store_loads_per_minute=loads_per_minute),
    )
    tables.lease.epoch = 1
    tables.lease.valid_until_s = 1e9
    return tables


def _model(name, minimum_engines=1, version="1", adapters=()):
    return manifest.Model(name, version, "engines", 1, minimum_engines, list(adapters))


def _engine(tables, now, name, sequence=1, models=(), **changes):
    values = {"checks_fencing": True, "models": list(models)}
    entry_hosts.announce(tables, now, name, sequence=sequence, **(values | changes))


def _step(tables, now, granted=True, fencing=1):
    """Run once with immediate replies of control; return the sent orders."""
    outbox = ticks.Outbox()
    placement.run(tables, now, outbox)
    orders = [sent for sent in outbox.messages if isinstance(sent, requests.SendOrder)]
    for message in outbox.messages:
        match message:
            case frames.SendToPeer(message=calls.ControlCall() as call):
                pending = tables.control.pending.pop(call.call_id)
                reply = directory.OrderLeaseHeld(holder="other")
                if granted:
                    reply = directory.OrderLeaseGranted("h0", fencing, 5.0, QUIET_S)
                if isinstance(call.command, directory.RecordOrder):
                    reply = directory.OrderRecorded(call.command.upstream)
                outcome = result.Ok(reply)
                pending.on_outcome(tables, now, ticks.Outbox(), outcome)
    return orders


def _simulate(tables, seconds, start=0, execute_orders=True, check=None, **changes):
    """Run for some seconds; return the orders with their times.

    With ``execute_orders`` engines drop models missing from an order at once and load
    the others in the next second.
    """
    sent = []
    loading = {}
    for second in range(start, start + seconds):
        for name, models in loading.items():
            _announce_models(tables, second, name, models)
        loading.clear()
        for message in _step(tables, float(second), **changes):
            sent.append((second, message))
            if execute_orders:
                name, models = message.upstream, message.order.models
                held = tables.membership.upstreams[name].announcement.models
                kept = [model for model in held if model in models]
                _announce_models(tables, second, name, kept)
                loading[name] = models
        if check is not None:
            check()
    return sent


def _announce_models(tables, second, name, models):
    known = tables.membership.upstreams[name].announcement
    _engine(
        tables,
        float(second),
        name,
        sequence=known.sequence + 1,
        models=models,
        zone=known.zone,
        checks_fencing=known.checks_fencing,
    )


def _engines_with_model(tables, model):
    return sorted(
        name
        for name, engine in tables.membership.upstreams.items()
        if model in engine.announcement.models
    )


def test_missing_models_are_placed_over_the_zones():
    tables = _lease_holder([_model("m", minimum_engines=3)], loads_per_minute=600)
    for index in range(6):
        zone = f"zone-{index // 2}"
        _engine(tables, 0.0, f"e{index}", zone=zone)

    _simulate(tables, 20)

    zones = {
        tables.membership.upstreams[engine].announcement.zone
        for engine in _engines_with_model(tables, "m@1")
    }
    assert len(_engines_with_model(tables, "m@1")) == 3
    assert len(zones) == 3


def test_without_the_lease_nothing_is_ordered():
    tables = _lease_holder([_model("m")])
    _engine(tables, 0.0, "e0")

    assert _simulate(tables, 10, granted=False) == []


def test_an_expired_lease_sends_no_more():
    tables = _lease_holder([_model("m")], loads_per_minute=600)
    _step(tables, 0.0)
    _engine(tables, 1.0, "e0")

    assert _step(tables, 6.0, granted=False) == []


def test_orders_carry_the_fencing_number_of_the_lease():
    tables = _lease_holder([_model("m")])
    _engine(tables, 0.0, "e0")

    orders = _simulate(tables, 10, fencing=7)

    assert {message.order.fencing for _, message in orders} == {7}


def test_engines_that_ignore_fencing_wait_for_the_quiet_time():
    tables = _lease_holder([_model("m")])
    _engine(tables, 0.0, "e0", checks_fencing=False)

    orders = _simulate(tables, 20)

    assert [second for second, _ in orders] == [int(QUIET_S)]


def test_loads_respect_the_weight_store_rate():
    tables = _lease_holder([_model("m", minimum_engines=30)], loads_per_minute=6)
    for index in range(30):
        _engine(tables, 0.0, f"e{index:02}")

    orders = _simulate(tables, 120)

    assert 11 <= len(orders) <= 14


def test_no_orders_are_sent_once_the_desired_state_is_reached():
    tables = _lease_holder([_model("m", minimum_engines=2)], loads_per_minute=600)
    for index in range(4):
        _engine(tables, 0.0, f"e{index}")
    _simulate(tables, 30)

    assert _simulate(tables, 60, start=30) == []


def test_an_engine_with_a_pending_order_gets_no_other():
    tables = _lease_holder([_model("m"), _model("n")], loads_per_minute=600)
    _engine(tables, 0.0, "e0")

    assert len(_simulate(tables, 60, execute_orders=False)) == 1


def test_an_order_without_effect_is_sent_again_after_the_timeout():
    tables = _lease_holder([_model("m")], loads_per_minute=600)
    _engine(tables, 0.0, "e0")

    orders = _simulate(
        tables, int(placement.ORDER_TIMEOUT_S) + 10, execute_orders=False
    )

    assert len(orders) == 2


def test_an_update_never_lowers_the_number_of_serving_copies():
    tables = _lease_holder(
        [_model("m", minimum_engines=2, version="1")], loads_per_minute=600
    )
    _engine(tables, 0.0, "e0")
    _engine(tables, 0.0, "e1")
    _simulate(tables, 20)
    newer = [_model("m", minimum_engines=2, version="2")]
    tables.manifest.manifest = manifest.Manifest(
        2, [], [], newer, manifest.Limits(weight_store_loads_per_minute=600)
    )

    def check():
        serving = {
            *_engines_with_model(tables, "m@1"),
            *_engines_with_model(tables, "m@2"),
        }
        assert len(serving) == 2

    _simulate(tables, 40, start=20, check=check)

    assert _engines_with_model(tables, "m@2") == ["e0", "e1"]
    assert _engines_with_model(tables, "m@1") == []


def test_models_that_are_not_in_the_manifest_are_dropped():
    tables = _lease_holder([_model("m")], loads_per_minute=600)
    _engine(tables, 0.0, "e0", models=["m@1", "old@3"])

    _simulate(tables, 10)

    assert _engines_with_model(tables, "old@3") == []


def test_overload_adds_few_copies():
    stage = manifest.Stage("write", manifest.Task.GENERATE, "engines", model="m")
    tables = _lease_holder(
        [_model("m"), _model("n")], loads_per_minute=600, stages=[stage]
    )
    for index in range(5):
        held = ["m@1"] if index == 0 else ["n@1"]
        _engine(tables, 0.0, f"e{index}", models=held)
    for index in range(500):
        waiting = entry_hosts.ready(f"r{index}", stage=stage, deadline_s=1e6)
        dispatch.push(tables, 0.0, waiting)

    orders = _simulate(tables, 130)

    assert 1 <= len(orders) <= 3
    assert len(_engines_with_model(tables, "m@1")) > 1


def test_adapters_are_ordered_with_their_model():
    tables = _lease_holder([_model("m", adapters=["tone"])], loads_per_minute=600)
    _engine(tables, 0.0, "e0")

    (_, message), *_ = _simulate(tables, 5)

    assert message.order.adapters == ["tone"]


def test_a_late_answer_to_a_previous_order_is_dropped():
    tables = _lease_holder([_model("m")], loads_per_minute=600)
    _engine(tables, 0.0, "e0")
    _simulate(tables, 3, execute_orders=False)

    late = requests.OrderAnswered("o-former", "e0", "")
    placement.handle_order_answered(tables, 3.0, ticks.Outbox(), late)

    assert not tables.orders.orders["e0"].is_answered
