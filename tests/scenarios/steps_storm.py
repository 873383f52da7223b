"""A step that injects random failures, one after the other and overlapping."""

from pytest_bdd import parsers, when

from tests.scenarios import cluster as clusters, manifests, network, world
from tests.scenarios.steps_requests import send

RECOVERY_S = 30.0
LONGEST_FAULT_S = 8.0
UPSTREAM_FAULTS = ["silent", "failing", "late", "twice", "crossed", "cut", "gapped"]
LOST_MESSAGES = ["ControlCall", "ControlReply", "AppendRequest", "Gossip"]
KINDS = sorted(manifests.PIPELINE_OF)


@when(parsers.parse("{count:d} random failures strike {callers:d} callers"))
def storm(cluster, count, callers):
    random = cluster.here.random
    sent_requests = 0
    for number in range(count):
        end_fault = random.choice(FAULTS)(cluster)
        world.after(cluster.here, random.uniform(0.5, LONGEST_FAULT_S), end_fault)
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
            world.pass_time(cluster.here, random.uniform(0.0, 0.5))
    world.pass_time(cluster.here, LONGEST_FAULT_S)
    network.heal(cluster.net)
    world.pass_time(cluster.here, RECOVERY_S)


def kill(cluster, names=None):
    """Kill a host, and start it again later."""
    name = cluster.here.random.choice(names or cluster.entry)
    if not world.is_running(cluster.here, name):
        return lambda: None
    world.kill(cluster.here, name)
    return lambda: clusters.start(cluster, name)


def kill_control(cluster):
    """Kill a control host, unless another one is down."""
    down = [
        name for name in cluster.control if not world.is_running(cluster.here, name)
    ]
    return (lambda: None) if down else kill(cluster, cluster.control)


def freeze(cluster):
    """Freeze a host, and wake it later."""
    name = cluster.here.random.choice(cluster.entry + cluster.control)
    if not world.is_running(cluster.here, name):
        return lambda: None
    world.freeze(cluster.here, name)
    return lambda: world.thaw(cluster.here, name)


def isolate(cluster):
    """Isolate a host, and heal the network later."""
    name = cluster.here.random.choice(cluster.entry + cluster.control)
    others = cluster.control + cluster.entry
    if cluster.here.random.random() < 0.5:
        others = [*others, *cluster.fleet.by_name, "callers"]
    network.isolate(cluster.net, name, others)
    return lambda: network.heal(cluster.net)


def lose_messages(cluster):
    """Lose 30 % of the messages of one type, and reorder messages, for a while."""
    cluster.net.loss_share[cluster.here.random.choice(LOST_MESSAGES)] = 0.3
    cluster.net.reordering_s = 0.02
    return lambda: network.heal(cluster.net)


def add_upstream_fault(cluster):
    """Add a fault to an upstream for a while."""
    fake = cluster.fleet.by_name[
        cluster.here.random.choice(sorted(cluster.fleet.by_name))
    ]
    fake.faults.add(cluster.here.random.choice(UPSTREAM_FAULTS))
    return fake.faults.clear


def apply_manifest(cluster):
    """Let an operator apply the next manifest."""
    live = [name for name in cluster.entry if world.is_running(cluster.here, name)]
    if live:
        number = max(cluster.manifest_numbers.values()) + 1
        clusters.apply(cluster, "storm", live[0], manifests.put(number))
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
