"""The hosts that callers should use, in order of preference."""

import statistics

from bitternlever.entry import tables as entry_tables
from bitternlever.gossip import peers, subsets, tables as gossip_tables

OVERLOAD_FACTOR = 1.5
OVERLOAD_MARGIN = 8


def preferred(
    tables: entry_tables.EntryTables,
    now: float,
    workspace: str,
    zone: str | None,
) -> list[gossip_tables.Host]:
    """Return the hosts for a caller: its zone, not overloaded, its workspace's hash.

    Draining and silent hosts are left out.
    """
    candidates = [peers.own(tables, now), *tables.membership.hosts.values()]
    hosts = [
        host
        for host in candidates
        if not host.draining and now - host.heard_s <= peers.HOST_SILENCE_S
    ]
    if not hosts:
        return []
    usual = statistics.median(host.in_flight for host in hosts)
    bound = usual * OVERLOAD_FACTOR + OVERLOAD_MARGIN
    return sorted(
        hosts,
        key=lambda host: (
            host.in_flight > bound,
            zone is not None and host.zone != zone,
            -subsets.score(workspace, host.host),
            host.host,
        ),
    )
