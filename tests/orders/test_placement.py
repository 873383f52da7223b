"""Orders to engines: fenced, paced, few."""

import result

from bitternlever.admission import dispatch
from bitternlever.core import ticks
from bitternlever.messages import calls, directory, frames, manifest, requests
from bitternlever.orders import placement
from tests.admission import entries

QUIET_S = 5.0


def _host(models, loads_per_minute=6, stages=()):
    tables = entries.host(upstream_silence_s=1e9)
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
    entries.announce(tables, now, name, sequence=sequence, **(values | changes))


def _step(tables, now, granted=True, fencing=1):
    """Run once; control answers at once. Return the orders that left."""
    outbox = ticks.Outbox()
    placement.run(tables, now, outbox)
    orders = [each for each in outbox.messages if isinstance(each, requests.SendOrder)]
    for message in outbox.messages:
        match message:
            case frames.SendPeer(message=calls.ControlCall() as call):
                pending = tables.control.pending.pop(call.call_id)
                reply = directory.OrderLeaseHeld(holder="other")
                if granted:
                    reply = directory.OrderLeaseGranted("h0", fencing, 5.0, QUIET_S)
                if isinstance(call.command, directory.RecordOrder):
                    reply = directory.OrderRecorded(call.command.upstream)
                outcome = result.Ok(reply)
                pending.on_outcome(tables, now, ticks.Outbox(), outcome)
    return orders


def _run(tables, seconds, begin=0, obey=True, check=None, **changes):
    """Run for a while; return orders by time.

    Engines that obey drop at once what an order leaves out and load the rest in the
    next second.
    """
    sent = []
    loading = {}
    for second in range(begin, begin + seconds):
        for name, models in loading.items():
            _hold(tables, second, name, models)
        loading.clear()
        for message in _step(tables, float(second), **changes):
            sent.append((second, message))
            if obey:
                name, models = message.upstream, message.order.models
                held = tables.membership.upstreams[name].announcement.models
                kept = [each for each in held if each in models]
                _hold(tables, second, name, kept)
                loading[name] = models
        if check is not None:
            check()
    return sent


def _hold(tables, second, name, models):
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


def _holders(tables, model):
    return sorted(
        name
        for name, each in tables.membership.upstreams.items()
        if model in each.announcement.models
    )


def test_missing_models_are_placed_over_the_zones():
    tables = _host([_model("m", minimum_engines=3)], loads_per_minute=600)
    for index in range(6):
        zone = f"zone-{index // 2}"
        _engine(tables, 0.0, f"e{index}", zone=zone)

    _run(tables, 20)

    zones = {
        tables.membership.upstreams[each].announcement.zone
        for each in _holders(tables, "m@1")
    }
    assert len(_holders(tables, "m@1")) == 3
    assert len(zones) == 3


def test_without_the_lease_nothing_is_ordered():
    tables = _host([_model("m")])
    _engine(tables, 0.0, "e0")

    assert _run(tables, 10, granted=False) == []


def test_an_expired_lease_sends_no_more():
    tables = _host([_model("m")], loads_per_minute=600)
    _step(tables, 0.0)
    _engine(tables, 1.0, "e0")

    assert _step(tables, 6.0, granted=False) == []


def test_orders_carry_the_fencing_number_of_the_lease():
    tables = _host([_model("m")])
    _engine(tables, 0.0, "e0")

    orders = _run(tables, 10, fencing=7)

    assert {message.order.fencing for _, message in orders} == {7}


def test_engines_that_ignore_fencing_wait_for_the_quiet_time():
    tables = _host([_model("m")])
    _engine(tables, 0.0, "e0", checks_fencing=False)

    orders = _run(tables, 20)

    assert [second for second, _ in orders] == [int(QUIET_S)]


def test_loads_keep_to_the_weight_stores_rate():
    tables = _host([_model("m", minimum_engines=30)], loads_per_minute=6)
    for index in range(30):
        _engine(tables, 0.0, f"e{index:02}")

    orders = _run(tables, 120)

    assert 11 <= len(orders) <= 14


def test_what_is_as_wanted_is_left_alone():
    tables = _host([_model("m", minimum_engines=2)], loads_per_minute=600)
    for index in range(4):
        _engine(tables, 0.0, f"e{index}")
    _run(tables, 30)

    assert _run(tables, 60, begin=30) == []


def test_an_engine_at_work_on_an_order_gets_no_other():
    tables = _host([_model("m"), _model("n")], loads_per_minute=600)
    _engine(tables, 0.0, "e0")

    assert len(_run(tables, 60, obey=False)) == 1


def test_an_order_without_effect_is_sent_again_in_time():
    tables = _host([_model("m")], loads_per_minute=600)
    _engine(tables, 0.0, "e0")

    orders = _run(tables, int(placement.ORDER_TIMEOUT_S) + 10, obey=False)

    assert len(orders) == 2


def test_a_new_version_never_lowers_the_copies_that_serve():
    tables = _host([_model("m", minimum_engines=2, version="1")], loads_per_minute=600)
    _engine(tables, 0.0, "e0")
    _engine(tables, 0.0, "e1")
    _run(tables, 20)
    newer = [_model("m", minimum_engines=2, version="2")]
    tables.manifest.manifest = manifest.Manifest(
        2, [], [], newer, manifest.Limits(weight_store_loads_per_minute=600)
    )

    def check():
        serving = {*_holders(tables, "m@1"), *_holders(tables, "m@2")}
        assert len(serving) == 2

    _run(tables, 40, begin=20, check=check)

    assert _holders(tables, "m@2") == ["e0", "e1"]
    assert _holders(tables, "m@1") == []


def test_models_that_nobody_names_are_dropped():
    tables = _host([_model("m")], loads_per_minute=600)
    _engine(tables, 0.0, "e0", models=["m@1", "old@3"])

    _run(tables, 10)

    assert _holders(tables, "old@3") == []


def test_load_moves_models_seldom():
    stage = manifest.Stage("write", manifest.Task.GENERATE, "engines", model="m")
    tables = _host([_model("m"), _model("n")], loads_per_minute=600, stages=[stage])
    for index in range(5):
        held = ["m@1"] if index == 0 else ["n@1"]
        _engine(tables, 0.0, f"e{index}", models=held)
    for index in range(500):
        waiting = entries.ready(f"r{index}", stage=stage, deadline_s=1e6)
        dispatch.push(tables, 0.0, waiting)

    orders = _run(tables, 130)

    assert 1 <= len(orders) <= 3
    assert len(_holders(tables, "m@1")) > 1


def test_adapters_come_with_their_model():
    tables = _host([_model("m", adapters=["tone"])], loads_per_minute=600)
    _engine(tables, 0.0, "e0")

    (_, message), *_ = _run(tables, 5)

    assert message.order.adapters == ["tone"]


def test_a_late_answer_to_a_former_order_is_dropped():
    tables = _host([_model("m")], loads_per_minute=600)
    _engine(tables, 0.0, "e0")
    _run(tables, 3, obey=False)

    late = requests.OrderAnswered("o-former", "e0", "")
    placement.answered(tables, 3.0, ticks.Outbox(), late)

    assert not tables.orders.orders["e0"].settled
