"""How full an upstream is: own attempts, and others' from reports that come late.

A report counts all hosts' calls at its time; this host's own calls at that time are
taken off. The rest fades with age towards what hosts that do as this one would hold.
"""

import math

from bitternlever.entry import tables as entry_tables
from bitternlever.gossip import peers, tables as gossip_tables
from bitternlever.routing import tables as routing_tables

REPORT_FADES_S = 2.0
COUNT_INTERVAL_S = 0.25


def load_of(tables: entry_tables.EntryTables, name: str) -> routing_tables.UpstreamLoad:
    """Return this host's view of an upstream."""
    loads = tables.routing.loads
    load = loads.get(name)
    if load is None:
        load = loads[name] = routing_tables.UpstreamLoad()
    return load


def host_count(tables: entry_tables.EntryTables, now: float) -> int:
    """Return how many entry hosts live, this one included; counted now and then."""
    routing = tables.routing
    if now >= routing.next_count_s:
        routing.next_count_s = now + COUNT_INTERVAL_S
        oldest_s = now - peers.HOST_SILENCE_S
        rows = tables.membership.hosts.values()
        routing.live_hosts = 1 + sum(row.heard_s >= oldest_s for row in rows)
    return routing.live_hosts


def others(
    now: float,
    upstream: gossip_tables.Upstream,
    load: routing_tables.UpstreamLoad,
    usual: float,
) -> float:
    """Estimate other hosts' calls; ``usual`` is the guess without a report."""
    if upstream.load_s is None:
        return usual
    report = upstream.announcement.load
    then = own_at(load, upstream.load_s)
    reported = report.running + report.waiting - then
    if reported < 0:
        reported = 0
    trust = math.exp((upstream.load_s - now) / REPORT_FADES_S)
    return trust * reported + (1.0 - trust) * usual


def own_at(load: routing_tables.UpstreamLoad, at_s: float) -> int:
    """Return how many calls this host had there at an earlier time."""
    if not load.samples:
        return len(load.in_flight)
    newest_s, count = load.samples[-1]
    if newest_s <= at_s:
        return count
    for sampled_s, count in reversed(load.samples):
        if sampled_s <= at_s:
            return count
    return load.samples[0][1]


def sample(load: routing_tables.UpstreamLoad, now: float) -> None:
    """Remember this host's present calls for reports that come later."""
    load.samples.append((now, len(load.in_flight)))
