"""Occupancy of upstreams: own calls, and other hosts' calls from delayed reports.

A report counts all hosts' calls at its time; this host's calls at that time are
subtracted. With age the rest decays towards the number expected if every host sent as
many calls as this one.
"""

import math

from bitternlever.entry import tables as entry_tables
from bitternlever.gossip import peers, tables as gossip_tables
from bitternlever.routing import tables as routing_tables

REPORT_DECAY_S = 2.0
HOST_COUNT_INTERVAL_S = 0.25


def load_of(tables: entry_tables.EntryTables, name: str) -> routing_tables.UpstreamLoad:
    """Return this host's state of an upstream, created on first use."""
    loads = tables.routing.loads
    load = loads.get(name)
    if load is None:
        load = loads[name] = routing_tables.UpstreamLoad()
    return load


def host_count(tables: entry_tables.EntryTables, now: float) -> int:
    """Return the number of live entry hosts, this one included; cached."""
    routing = tables.routing
    if now >= routing.next_host_count_s:
        routing.next_host_count_s = now + HOST_COUNT_INTERVAL_S
        oldest_s = now - peers.HOST_SILENCE_S
        rows = tables.membership.hosts.values()
        routing.live_hosts = 1 + sum(row.last_seen_s >= oldest_s for row in rows)
    return routing.live_hosts


def other_calls(
    now: float,
    upstream: gossip_tables.Upstream,
    load: routing_tables.UpstreamLoad,
    expected: float,
) -> float:
    """Estimate other hosts' calls; ``expected`` is the estimate without a report."""
    if upstream.load_reported_s is None:
        return expected
    report = upstream.announcement.load
    own_calls = own_calls_at(load, upstream.load_reported_s)
    reported = report.running + report.waiting - own_calls
    if reported < 0:
        reported = 0
    freshness = math.exp((upstream.load_reported_s - now) / REPORT_DECAY_S)
    return freshness * reported + (1.0 - freshness) * expected


def own_calls_at(load: routing_tables.UpstreamLoad, at_s: float) -> int:
    """Return the number of this host's calls on an upstream at an earlier time."""
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
    """Record this host's current calls to compare with later reports."""
    load.samples.append((now, len(load.in_flight)))
