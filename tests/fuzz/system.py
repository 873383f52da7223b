"""One control and one entry host under virtual time, ready for hostile input."""

from bitternlever.messages import requests
from tests.scenarios import cluster as clusters, manifests, world

SEED = 11
SETTLE_S = 2.0


def ready() -> clusters.Cluster:
    """Return a system with a manifest in force and one upstream in each pool."""
    cluster = clusters.create(SEED)
    cluster.control = ["control-1"]
    cluster.entry = ["entry-1"]
    for name in cluster.control + cluster.entry:
        clusters.start(cluster, name)
    world.pass_time(cluster.here, SETTLE_S)
    clusters.apply(cluster, "operator", "entry-1", manifests.put(1))
    for pool in manifests.TASKS:
        clusters.add_upstream(cluster, f"{pool}-1", pool)
    world.pass_time(cluster.here, SETTLE_S)
    return cluster


def take(cluster: clusters.Cluster, message, duration_s: float = 1.0) -> None:
    """Give the entry host a message and let a while pass."""
    world.deliver(cluster.here, cluster.here.processes["entry-1"], message)
    world.pass_time(cluster.here, duration_s)


def serves(cluster: clusters.Cluster) -> bool:
    """Tell whether the entry host still answers a request."""
    sent = []
    process = cluster.here.processes["entry-1"]
    former = process.send

    def send(sender, message) -> None:
        if type(message).__name__ == "WholeAnswer":
            sent.append(message)
            return
        former(sender, message)

    process.send = send
    take(cluster, submission(b'{"kind":"reading","input":1}', "reading"))
    return len(sent) == 1


def submission(body: bytes, kind: str, **fields):
    """Return a caller's request with this body."""

    return requests.RequestSubmitted(
        caller=9_001,
        workspace="cantref",
        pipeline=manifests.PIPELINE_OF.get(kind, kind),
        kind=kind,
        body=body,
        digest="d",
        **fields,
    )
