"""Selection of entry hosts for callers, in order of preference."""

import statistics

from bitternlever.entry import tables as entry_tables
from bitternlever.gossip import peers, subsets, tables as gossip_tables

OVERLOAD_FACTOR = 1.5
OVERLOAD_MARGIN_REQUESTS = 8


def preferred(
    tables: entry_tables.EntryTables,
    now: float,
    workspace: str,
    zone: str | None,
) -> list[gossip_tables.Host]:
    """Return the hosts for a caller, best first.

    The order is: hosts that aren't overloaded, the caller's zone, the rendezvous score
    of the workspace. Draining and silent hosts are left out.
    """
    candidates = [peers.local_host(tables, now), *tables.membership.hosts.values()]
    hosts = [
        host
        for host in candidates
        if not host.draining and now - host.last_seen_s <= peers.HOST_SILENCE_S
    ]
    if not hosts:
        return []
    median_in_flight = statistics.median(host.in_flight for host in hosts)
    overload_bound = median_in_flight * OVERLOAD_FACTOR + OVERLOAD_MARGIN_REQUESTS
    return sorted(
        hosts,
        key=lambda host: (
            host.in_flight > overload_bound,
            zone is not None and host.zone != zone,
            -subsets.score(workspace, host.host),
            host.host,
        ),
    )
