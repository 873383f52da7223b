"""What control passes on between entry hosts."""

from bitternlever.fleet import feed, tables as fleet_tables
from bitternlever.messages import fleet, frames
from tests.fleet import cluster
from tests.gateway import samples


def leading() -> tuple[cluster.Cluster, fleet_tables.FleetTables]:
    """Return a cluster and the tables of its leader."""
    system = cluster.Cluster()
    system.until(lambda: system.leader() is not None)
    return system, system.nodes[system.leader()].tables


def beat(system, tables, *loads, host="one") -> fleet.HostBeatAnswer:
    """Send a host's heartbeat to a control core and return the answer."""
    word = samples.host_word(host=host, link=f"tcp://{host}:1")
    message = fleet.HostBeat(
        word=word,
        sent_s=0.0,
        catalog_version=None,
        control_run="",
        hosts_revision=-1,
        loads=list(loads),
    )
    outbox = feed.ticks.Outbox()
    feed.host_beat(tables, system.now, outbox, message)
    sent = [
        each.message for each in outbox.messages if isinstance(each, frames.SendPeer)
    ]
    return next(each for each in sent if isinstance(each, fleet.HostBeatAnswer))


def test_a_leader_passes_on_with_its_age_what_a_batching_host_told():
    system, tables = leading()
    beat(system, tables, fleet.ServiceLoad("encode", 2.0, 1.0, 0.5))
    system.now += 0.3

    (load,) = beat(system, tables, host="two").loads

    assert (load.service, load.backlog_s) == ("encode", 2.0)
    assert 0.29 < load.age_s < 0.31


def test_what_no_host_renews_is_passed_on_no_more():
    system, tables = leading()
    beat(system, tables, fleet.ServiceLoad("encode", 2.0, 1.0, 0.5))
    system.now += feed.LOAD_KEPT_S + 0.1

    assert beat(system, tables, host="two").loads == []
    assert tables.loads == {}


def test_only_the_leader_passes_loads_on():
    system, leader = leading()
    other = next(
        node.tables for node in system.nodes.values() if node.tables is not leader
    )

    beat(system, other, fleet.ServiceLoad("encode", 2.0, 1.0, 0.5))

    assert beat(system, other, host="two").loads == []
