"""Loads of services that the leader forwards between entry hosts."""

from bitternlever.fleet import feed, tables as fleet_tables
from bitternlever.messages import fleet, frames
from tests.fleet import cluster
from tests.gateway import samples


def cluster_with_leader() -> tuple[cluster.Cluster, fleet_tables.FleetTables]:
    """Return a cluster and the tables of its leader."""
    system = cluster.Cluster()
    system.until(lambda: system.leader() is not None)
    return system, system.nodes[system.leader()].tables


def send_heartbeat(system, tables, *loads, host="one") -> fleet.HostHeartbeatReply:
    """Send a host's heartbeat to a control core and return the answer."""
    announcement = samples.host_announcement(host=host, link=f"tcp://{host}:1")
    message = fleet.HostHeartbeat(
        announcement=announcement,
        sent_s=0.0,
        catalog_version=None,
        control_incarnation="",
        hosts_revision=-1,
        loads=list(loads),
    )
    outbox = feed.ticks.Outbox()
    feed.handle_host_heartbeat(tables, system.now, outbox, message)
    sent = [
        send.message for send in outbox.messages if isinstance(send, frames.SendToPeer)
    ]
    return next(reply for reply in sent if isinstance(reply, fleet.HostHeartbeatReply))


def test_a_leader_forwards_reported_loads_with_their_age():
    system, tables = cluster_with_leader()
    send_heartbeat(system, tables, fleet.ServiceLoad("encode", 2.0, 1.0, 0.5))
    system.now += 0.3

    (load,) = send_heartbeat(system, tables, host="two").loads

    assert (load.service, load.backlog_s) == ("encode", 2.0)
    assert 0.29 < load.age_s < 0.31


def test_expired_loads_are_not_forwarded():
    system, tables = cluster_with_leader()
    send_heartbeat(system, tables, fleet.ServiceLoad("encode", 2.0, 1.0, 0.5))
    system.now += feed.SERVICE_LOAD_EXPIRY_S + 0.1

    assert send_heartbeat(system, tables, host="two").loads == []
    assert tables.loads == {}


def test_only_the_leader_forwards_loads():
    system, leader = cluster_with_leader()
    other = next(
        node.tables for node in system.nodes.values() if node.tables is not leader
    )

    send_heartbeat(system, other, fleet.ServiceLoad("encode", 2.0, 1.0, 0.5))

    assert send_heartbeat(system, other, host="two").loads == []
