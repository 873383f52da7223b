"""Commands through the replicated log."""

from bitternlever.messages import directory
from tests.consensus import harness


def test_a_group_bootstraps_and_elects_one_leader():
    cluster = harness.Cluster(nodes=3)

    cluster.run(3.0)

    leader = cluster.leader()
    voters = cluster.replica(leader).membership.voters
    assert [voter.node for voter in voters] == cluster.names


def test_a_manifest_is_accepted_and_read_back():
    cluster = harness.Cluster(nodes=3)
    cluster.run(3.0)

    accepted = cluster.ask(harness.manifest(1))
    read = cluster.ask(directory.GetManifest())

    assert accepted == directory.ManifestAccepted(1, harness.manifest(1).digest)
    assert (read.number, read.body) == (1, b"{}")


def test_a_manifest_survives_the_end_of_all_processes():
    cluster = harness.Cluster(nodes=3)
    cluster.run(3.0)
    cluster.ask(harness.manifest(1))

    for name in cluster.names:
        cluster.kill(name)
    for name in cluster.names:
        cluster.start(name)
    cluster.run(3.0)

    assert cluster.ask(directory.GetManifest()).number == 1
