"""Fencing of ended host epochs in the journal groups."""

from bitternlever.messages import directory, journal
from tests.consensus import harness

HOST = directory.AcquireHostLease("x", "run-1", "127.0.0.1:1", "tcp://x", "hall-a")


def claim(epoch):
    return journal.Claim(
        request_id="r-1",
        workspace="w",
        pipeline="p",
        kind="k",
        digest="d",
        body=b"{}",
        priority=0,
        durable=True,
        time_left_ms=1_000,
        host="x",
        epoch=epoch,
    )


def test_a_silent_hosts_epoch_is_fenced_in_the_journal():
    cluster = harness.Cluster(nodes=3, journal_groups=1)
    cluster.run(3.0)
    epoch = cluster.ask(HOST).epoch

    assert cluster.ask(claim(epoch), group=1) == journal.Claimed("r-1")
    cluster.run(5.0)

    start = journal.StartStage("r-1", "s", "a-1", "x", epoch)
    assert cluster.ask(start, group=1) == journal.Fenced("r-1")


def test_a_new_run_of_a_host_fences_the_former():
    cluster = harness.Cluster(nodes=3, journal_groups=1)
    cluster.run(3.0)
    epoch = cluster.ask(HOST).epoch
    cluster.ask(claim(epoch), group=1)

    second = directory.AcquireHostLease("x", "run-2", "127.0.0.1:1", "tcp://x", "")
    assert cluster.ask(second).epoch > epoch
    cluster.run(1.0)

    start = journal.StartStage("r-1", "s", "a-1", "x", epoch)
    assert cluster.ask(start, group=1) == journal.Fenced("r-1")
