"""A step that injects random failures, one after the other and overlapping."""

from pytest_bdd import parsers, when

from tests.scenarios import cluster as clusters, manifests, network, simulation
from tests.scenarios.steps_requests import send

RECOVERY_S = 30.0
LONGEST_FAULT_S = 8.0
UPSTREAM_FAULTS = ["silent", "failing", "late", "twice", "crossed", "cut", "gapped"]
LOST_MESSAGES = ["ControlCall", "ControlReply", "AppendRequest", "Gossip"]
KINDS = sorted(manifests.PIPELINE_OF)


@when(parsers.parse("{count:d} random failures strike {callers:d} callers"))
def storm(cluster, count, callers):
    random = cluster.sim.random
    sent_requests = 0
    for number in range(count):
        end_fault = random.choice(FAULTS)(cluster)
        simulation.schedule(
            cluster.sim, random.uniform(0.5, LONGEST_FAULT_S), end_fault
        )
        while sent_requests * count < callers * (number + 1):
            host = random.choice(cluster.entry)
            kind = random.choice(KINDS)
            stream = random.choice([None, " as a stream"])
            send(
                cluster,
                f"caller{sent_requests}",
                kind,
                host,
                stream,
                f"key{sent_requests}",
                None,
            )
            sent_requests += 1
            simulation.pass_time(cluster.sim, random.uniform(0.0, 0.5))
    simulation.pass_time(cluster.sim, LONGEST_FAULT_S)
    network.heal(cluster.net)
    simulation.pass_time(cluster.sim, RECOVERY_S)


def kill(cluster, names=None):
    """Kill a host, and start it again later."""
    name = cluster.sim.random.choice(names or cluster.entry)
    if not simulation.is_running(cluster.sim, name):
        return lambda: None
    simulation.kill(cluster.sim, name)
    return lambda: clusters.start(cluster, name)


def kill_control(cluster):
    """Kill a control host, unless another one is down."""
    down = [
        name for name in cluster.control if not simulation.is_running(cluster.sim, name)
    ]
    return (lambda: None) if down else kill(cluster, cluster.control)


def freeze(cluster):
    """Freeze a host, and wake it later."""
    name = cluster.sim.random.choice(cluster.entry + cluster.control)
    if not simulation.is_running(cluster.sim, name):
        return lambda: None
    simulation.freeze(cluster.sim, name)
    return lambda: simulation.thaw(cluster.sim, name)


def isolate(cluster):
    """Isolate a host, and heal the network later."""
    name = cluster.sim.random.choice(cluster.entry + cluster.control)
    others = cluster.control + cluster.entry
    if cluster.sim.random.random() < 0.5:
        others = [*others, *cluster.fleet.by_name, "callers"]
    network.isolate(cluster.net, name, others)
    return lambda: network.heal(cluster.net)


def lose_messages(cluster):
    """Lose 30 % of the messages of one type, and reorder messages, for a while."""
    cluster.net.loss_share[cluster.sim.random.choice(LOST_MESSAGES)] = 0.3
    cluster.net.reordering_s = 0.02
    return lambda: network.heal(cluster.net)


def add_upstream_fault(cluster):
    """Add a fault to an upstream for a while."""
    fake = cluster.fleet.by_name[
        cluster.sim.random.choice(sorted(cluster.fleet.by_name))
    ]
    fake.faults.add(cluster.sim.random.choice(UPSTREAM_FAULTS))
    return fake.faults.clear


def apply_manifest(cluster):
    """Let an operator apply the next manifest."""
    live = [name for name in cluster.entry if simulation.is_running(cluster.sim, name)]
    if live:
        number = max(cluster.manifest_numbers.values()) + 1
        clusters.send_operator_command(
            cluster, "storm", live[0], manifests.put_manifest_command(number)
        )
    return lambda: None


FAULTS = [
    kill,
    kill_control,
    freeze,
    isolate,
    lose_messages,
    add_upstream_fault,
    apply_manifest,
]
