"""Manifests: compare-and-set, resends, races, and no reversion."""

from bitternlever.messages import calls, directory
from tests.consensus import harness


def started(**settings):
    cluster = harness.Cluster(nodes=3, **settings)
    cluster.run(3.0)
    return cluster


def test_of_two_manifests_with_one_number_exactly_one_is_accepted():
    cluster = started()
    first = cluster.call(harness.manifest(1, b"{1}"))
    second = cluster.call(harness.manifest(1, b"{2}"))

    cluster.run(1.0)

    replies = [cluster.replies[first], cluster.replies[second]]
    kinds = sorted(type(reply).__name__ for reply in replies)
    assert kinds == ["ManifestAccepted", "ManifestConflict"]


def test_a_resend_gets_the_first_result_even_after_later_changes():
    cluster = started()
    first = cluster.ask(harness.manifest(1, b"{1}"))
    cluster.ask(harness.manifest(2, b"{2}"))

    assert cluster.ask(harness.manifest(1, b"{1}")) == first
    assert cluster.ask(directory.GetManifest()).number == 2


def test_a_number_that_does_not_follow_is_a_conflict():
    cluster = started()
    cluster.ask(harness.manifest(1, b"{1}"))

    conflict = cluster.ask(harness.manifest(3, b"{3}"))

    assert conflict == directory.ManifestConflict(
        number_in_force=1,
        digest_in_force=harness.manifest(1, b"{1}").digest,
    )


def test_a_body_that_does_not_have_its_digest_is_a_conflict():
    cluster = started()
    command = directory.PutManifest(number=1, digest="0" * 64, body=b"{}")

    assert isinstance(cluster.ask(command), directory.ManifestConflict)


def test_entry_hosts_are_told_of_a_new_manifest():
    cluster = started()
    cluster.ask(directory.AcquireHostLease("x", "run-1", "address", "tcp://x", ""))

    cluster.ask(harness.manifest(1))

    hints = [
        peer
        for _, _, peer in cluster.entry_messages
        if isinstance(peer.message, calls.ManifestChanged)
    ]
    assert [(hint.node, hint.link) for hint in hints] == [("entry-x", "tcp://x")]


def test_a_manifest_never_reverts_over_hundreds_of_changes_and_lost_disks():
    cluster = started(snapshot_after_entries=40)
    for number in range(1, 301):
        cluster.call(harness.manifest(number, b"%d" % number))
        cluster.run(0.02)
        if number % 100 == 0:
            cluster.run(1.0)
            for name in cluster.names:
                cluster.kill(name)
            for name in cluster.names:
                cluster.start(name)
            cluster.run(3.0)
    cluster.lose_disk(cluster.leader())
    cluster.run(4.0)

    assert cluster.ask(directory.GetManifest()).number == 300
    cluster.check_acknowledged()
