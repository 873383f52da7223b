"""Steps about orders to engines and the lease to send them."""

from pytest_bdd import parsers, then, when

from bench.invariants import records
from bitternlever.messages import manifest
from bitternlever.transport import upstream_client
from tests.scenarios import (
    cluster as clusters,
    manifests,
    network,
    simulation,
    steps_hosts,
    steps_requests,
)

MODEL = manifest.Model(name="", version="1", pool="engines", weight_bytes=1)
POLL_INTERVAL_S = 0.02
MAXIMUM_POLLS = 5_000


def holder(cluster):
    """Return the only entry host whose order lease is valid by its own view."""
    found = [
        name
        for name in cluster.entry
        if cluster.sim.processes[name].tables.orders.valid_until_s > cluster.sim.now
    ]
    assert len(found) == 1, found
    return found[0]


@when(parsers.parse('manifest {number:d} wants model "{name}"'))
def want_model(cluster, number, name):
    wanted = [manifest.Model(name, MODEL.version, MODEL.pool, MODEL.weight_bytes)]
    host = next(entry for entry in cluster.entry if _reaches_control(cluster, entry))
    put = manifests.put_manifest_command(number, models=wanted)
    clusters.send_operator_command(cluster, "operator", host, put)


def _reaches_control(cluster, name):
    cut = any((name, node) in cluster.net.cut for node in cluster.control)
    return simulation.is_running(cluster.sim, name) and not cut


@when(
    parsers.re(
        r'engine "(?P<name>[^"]+)" that (?P<checks>checks|ignores) fencing numbers '
        r"joins",
    ),
)
def join(cluster, name, checks):
    clusters.add_upstream(cluster, name, "engines")
    announcement = cluster.fleet.by_name[name].announcement
    announcement.checks_fencing = checks == "checks"


@when("orders of the holder take as long as they may")
def orders_take_longest(cluster):
    longest_s = upstream_client.ORDER_TIMEOUT_S
    cluster.order_delivery.delays_s[holder(cluster)] = longest_s


@when(parsers.parse("orders of the holder take {duration:g} seconds"))
def orders_take(cluster, duration):
    cluster.order_delivery.delays_s[holder(cluster)] = duration


@when("the holder of the order lease is cut off from control")
def cut_off_holder(cluster):
    steps_hosts.cut_off(cluster, holder(cluster), " from control")


@when("the holder of the order lease is cut off from control as it asks for it again")
def cut_off_asking_holder(cluster):
    name = holder(cluster)
    pass_until_sent(cluster, name, "AcquireOrderLease")
    steps_hosts.cut_off(cluster, name, " from control")


@when("the holder of the order lease is drained and has just ended its lease")
def drain_holder(cluster):
    name = holder(cluster)
    steps_requests.drain(cluster, name)
    pass_until_sent(cluster, name, "ReleaseHostLease")


@when(
    parsers.parse(
        "the holder of the order lease is drained and ends its lease in "
        "{duration:g} seconds",
    ),
)
def drain_holder_until(cluster, duration):
    name = holder(cluster)
    steps_requests.drain(cluster, name)
    tables = cluster.sim.processes[name].tables
    simulation.pass_time(cluster.sim, tables.settings.host_list_max_age_s - duration)


def pass_until_sent(cluster, name, wanted):
    """Let time pass until a host sends the wanted message."""

    def trigger(process, way, message):
        sent = (process.name, way) == (name, "sends")
        return sent and wanted in network.message_names(message)

    cluster.sim.triggers.append(trigger)
    for _ in range(MAXIMUM_POLLS):
        simulation.pass_time(cluster.sim, POLL_INTERVAL_S)
        if trigger not in cluster.sim.triggers:
            return
    raise AssertionError(f"{name} does not send {wanted}")


@when("the holder of the order lease is frozen before it sends an order")
def freeze_holder(cluster):
    name = holder(cluster)
    steps_hosts.fail_host_at_message(
        cluster, name, "frozen", "before", "sends", "SendOrder"
    )


def received(cluster, name):
    return [
        record
        for record in cluster.sim.recorded
        if isinstance(record, records.OrderReceived) and record.upstream == name
    ]


@then(parsers.parse('engine "{name}" holds "{model}"'))
def engine_holds(cluster, name, model):
    assert cluster.fleet.by_name[name].announcement.models == [model]


@then(parsers.parse('engine "{name}" took orders of {count:d} hosts'))
def took_orders(cluster, name, count):
    taken = [record for record in received(cluster, name) if record.taken]
    assert len({record.holder for record in taken}) == count, taken


@then(parsers.parse('engine "{name}" refused {count:d} orders'))
def refused_orders(cluster, name, count):
    refused = [record for record in received(cluster, name) if not record.taken]
    assert len(refused) == count, received(cluster, name)
