"""Selection of entry hosts for callers."""

from bitternlever.gossip import hosts
from tests.gossip import network


def _preferred_names(net, host="h0", workspace="w", zone=None):
    found = hosts.preferred(net.hosts[host], net.now, workspace, zone)
    return [entry.host for entry in found]


def test_every_host_gives_the_same_order_for_a_workspace():
    net = network.create(9)
    net.run(5.0)

    orders = {tuple(_preferred_names(net, host, "cantref")) for host in net.hosts}

    assert len(orders) == 1
    assert len(orders.pop()) == 9


def test_workspaces_are_spread_over_the_hosts():
    net = network.create(9)
    net.run(5.0)

    firsts = {_preferred_names(net, workspace=f"w{index}")[0] for index in range(100)}

    assert len(firsts) == 9


def test_the_callers_own_zone_comes_first():
    net = network.create(9)
    net.run(5.0)

    first = _preferred_names(net, zone="zone-2")[:3]

    assert sorted(first) == ["h2", "h5", "h8"]


def test_a_draining_host_is_left_out_by_every_host():
    net = network.create(4)
    net.run(3.0)

    net.hosts["h2"].requests.drain_requested_s = net.now
    assert "h2" not in _preferred_names(net, "h2")
    net.run(3.0)

    assert all("h2" not in _preferred_names(net, host) for host in net.hosts)


def test_a_silent_host_is_left_out():
    net = network.create(4)
    net.run(3.0)

    del net.hosts["h3"]
    net.run(5.0)

    assert all("h3" not in _preferred_names(net, host) for host in net.hosts)


def test_an_overloaded_host_comes_last():
    net = network.create(4)
    net.run(3.0)
    first = _preferred_names(net)[0]

    net.hosts[first].requests.requests = {str(index): None for index in range(50)}
    net.run(3.0)

    assert _preferred_names(net)[-1] == first


def test_a_partitioned_cluster_reconnects():
    net = network.create(4)
    net.run(3.0)
    lost = net.hosts.pop("h3")
    net.run(20.0)

    net.hosts["h3"] = lost
    net.run(10.0)

    assert all(len(_preferred_names(net, host)) == 4 for host in net.hosts)


def test_a_host_whose_first_message_was_lost_is_known_in_the_end():
    for seed in range(6):
        net = network.create(2, seed=seed)
        net.loss = 0.9
        net.run(30.0)
        net.loss = 0.0
        net.run(15.0)

        for tables in net.hosts.values():
            rows = list(tables.membership.hosts.values())
            assert [bool(row.link) for row in rows] == [True]
