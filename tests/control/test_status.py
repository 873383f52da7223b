"""The status report for operators: hosts, replicas and warnings."""

from bitternlever.messages import directory
from tests.consensus import harness


def started():
    cluster = harness.Cluster(nodes=3)
    cluster.run(3.0)
    return cluster


def test_status_lists_hosts_and_replicas():
    cluster = started()
    lease = directory.AcquireHostLease("x", "run-1", "address", "tcp://x", "hall-a")
    epoch = cluster.ask(lease).epoch
    cluster.ask(directory.RenewHostLease("x", epoch, 7, draining=True))

    status = cluster.ask(directory.GetStatus())

    [host] = status.hosts
    assert (host.manifest_number, host.draining) == (7, True)
    assert 0.0 < host.lease_left_s <= 3.0
    assert [replica.zone for replica in status.replicas] == [
        "hall-a",
        "hall-b",
        "hall-c",
    ]
    assert status.leader == cluster.leader()
    assert status.warnings == []


def test_status_warns_where_one_zone_holds_a_quorum():
    cluster = started()
    leader = cluster.nodes[cluster.leader()]
    leader.tables.zones = {"control-a": "one", "control-b": "one", "control-c": "two"}

    warnings = cluster.ask(directory.GetStatus()).warnings

    assert any("zone one holds a quorum" in warning for warning in warnings)


def test_status_warns_of_a_silent_replica():
    cluster = started()
    silent = next(name for name in cluster.names if name != cluster.leader())
    cluster.kill(silent)
    cluster.run(3.0)

    warnings = cluster.ask(directory.GetStatus()).warnings

    assert any(f"{silent} is silent" in warning for warning in warnings)
    assert any("one more host would lose the quorum" in warning for warning in warnings)


def test_status_says_which_hosts_have_ended():
    cluster = started()
    for name in ("x", "y"):
        lease = directory.AcquireHostLease(name, "run-1", name, f"tcp://{name}", "z")
        epoch = cluster.ask(lease).epoch
    cluster.ask(directory.ReleaseHostLease("y", epoch))

    hosts = cluster.ask(directory.GetStatus()).hosts

    assert {host.host: host.ended for host in hosts} == {"x": False, "y": True}
