"""Leader leases on clocks whose rates differ within the assumed bound."""

import pytest

from bitternlever.consensus import tables as consensus_tables
from tests.consensus import harness

CUTS = 10


@pytest.mark.parametrize("seed", range(6))
def test_leases_do_not_overlap_while_clocks_differ_by_the_bound(seed):
    """Each leader is isolated in turn while one clock is slow and the others fast."""
    cluster = harness.Cluster(nodes=3, seed=seed)
    half = consensus_tables.CLOCK_RATE_ERROR / 2.0
    for name, node in cluster.nodes.items():
        node.clock_rate = 1.0 - half if name == "control-a" else 1.0 + half
    cluster.run(4.0)
    led = set()
    for _ in range(CUTS):
        leader = cluster.leader()
        led.add(leader)
        cluster.isolate(leader)
        cluster.run(4.0)
        cluster.heal()
        cluster.run(3.0)

    assert "control-a" in led
