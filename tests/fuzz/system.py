"""A control process and an entry host in virtual time, to be fed hostile input."""

from bitternlever.messages import requests
from tests.scenarios import cluster as clusters, manifests, simulation

SEED = 11
SETTLE_S = 2.0


def create() -> clusters.Cluster:
    """Return a cluster with a manifest in force and one upstream in each pool."""
    cluster = clusters.create(SEED)
    cluster.control = ["control-1"]
    cluster.entry = ["entry-1"]
    for name in cluster.control + cluster.entry:
        clusters.start(cluster, name)
    simulation.pass_time(cluster.sim, SETTLE_S)
    clusters.send_operator_command(
        cluster, "operator", "entry-1", manifests.put_manifest_command(1)
    )
    for pool in manifests.TASKS:
        clusters.add_upstream(cluster, f"{pool}-1", pool)
    simulation.pass_time(cluster.sim, SETTLE_S)
    return cluster


def deliver(cluster: clusters.Cluster, message, duration_s: float = 1.0) -> None:
    """Deliver a message to the entry host and let some virtual time pass."""
    simulation.deliver(cluster.sim, cluster.sim.processes["entry-1"], message)
    simulation.pass_time(cluster.sim, duration_s)


def is_serving(cluster: clusters.Cluster) -> bool:
    """Return whether the entry host still answers a request."""
    answers = []
    process = cluster.sim.processes["entry-1"]
    original_send = process.send

    def send(sender, message) -> None:
        if type(message).__name__ == "WholeAnswer":
            answers.append(message)
            return
        original_send(sender, message)

    process.send = send
    deliver(cluster, submission(b'{"kind":"reading","input":1}', "reading"))
    return len(answers) == 1


def submission(body: bytes, kind: str, **fields):
    """Return a request of a caller with this body."""

    return requests.RequestSubmitted(
        caller=9_001,
        workspace="cantref",
        pipeline=manifests.PIPELINE_OF.get(kind, kind),
        kind=kind,
        body=body,
        digest="d",
        **fields,
    )
