"""Gossip peers: targets of each round, and which host entries each one needs."""

import msgspec

from bitternlever.entry import tables as entry_tables
from bitternlever.gossip import tables as gossip_tables
from bitternlever.messages import frames, gossip

FANOUT = 2
MAXIMUM_HOSTS = 2_000
MAXIMUM_HOSTS_IN_MESSAGE = 64
HOST_SILENCE_S = 3.0
HOST_FORGET_AFTER_S = 300.0
RECONNECT_PROBABILITY = 0.1
FULL_ENTRY_INTERVAL_HEARTBEATS = 8
FULL_MESH_MAXIMUM_HOSTS = 9


def node_name(host: str) -> str:
    """Return the node name of an entry host."""
    return f"entry-{host}"


def local_host(tables: entry_tables.EntryTables, now: float) -> gossip_tables.Host:
    """Return the current entry of this host."""
    settings = tables.settings
    return gossip_tables.Host(
        host=settings.host,
        incarnation=settings.incarnation,
        heartbeat=tables.membership.heartbeat,
        address=settings.address,
        link=settings.link,
        zone=settings.zone,
        draining=tables.requests.drain_requested_s is not None,
        in_flight=len(tables.requests.requests),
        last_seen_s=now,
    )


def merge_host(
    tables: entry_tables.EntryTables,
    now: float,
    entry: gossip.KnownHost,
    delay_bound_s: float,
) -> None:
    """Merge a host entry from a peer if it is newer than the known one."""
    if entry.host == tables.settings.host:
        return
    hosts = tables.membership.hosts
    known = hosts.get(entry.host)
    if not entry.link:
        if known is None or known.incarnation != entry.incarnation:
            return
        entry = _with_known_addresses(entry, known)
    seen_s = now - entry.age_s - delay_bound_s
    if known is None and len(hosts) >= MAXIMUM_HOSTS:
        return
    if known is not None:
        if known.incarnation == entry.incarnation:
            if entry.heartbeat <= known.heartbeat:
                return
        elif seen_s <= known.last_seen_s:
            return
    hosts[entry.host] = gossip_tables.Host(
        host=entry.host,
        incarnation=entry.incarnation,
        heartbeat=entry.heartbeat,
        address=entry.address,
        link=entry.link,
        zone=entry.zone,
        draining=entry.draining,
        in_flight=entry.in_flight,
        last_seen_s=seen_s,
    )


def targets(tables: entry_tables.EntryTables, now: float) -> list[frames.SendToPeer]:
    """Return the peers of this round, without messages yet.

    Silent hosts and seeds are contacted at random intervals, so that a partitioned
    cluster reconnects.
    """
    membership = tables.membership
    chosen = {
        host
        for host, peer in membership.peers.items()
        if peer.reply_due and host in membership.hosts
    }
    partners = _partners(tables, now)
    count = min(FANOUT, len(partners))
    chosen.update(tables.random.sample(partners, count))
    messages = [
        frames.SendToPeer(
            node=node_name(host),
            message=None,
            link=membership.hosts[host].link,
        )
        for host in sorted(chosen)
    ]
    if not partners or tables.random.random() < RECONNECT_PROBABILITY:
        messages.extend(_reconnect_attempts(tables, now))
    return messages


def host_entries_for(
    tables: entry_tables.EntryTables,
    peer: gossip_tables.Peer,
    now: float,
) -> list[gossip.KnownHost]:
    """Return the host entries that the peer may not have, this host's first."""
    local = local_host(tables, now)
    entries = [_host_entry(local, now, _can_omit_addresses(peer, local))]
    peer.known_hosts[local.host] = (local.incarnation, local.heartbeat)
    for host in tables.membership.hosts.values():
        if now - host.last_seen_s > HOST_SILENCE_S:
            continue
        version = (host.incarnation, host.heartbeat)
        if peer.known_hosts.get(host.host) == version:
            continue
        if len(entries) == MAXIMUM_HOSTS_IN_MESSAGE:
            break
        entries.append(_host_entry(host, now, _can_omit_addresses(peer, host)))
        peer.known_hosts[host.host] = version
    return entries


def forget(tables: entry_tables.EntryTables, now: float) -> None:
    """Drop hosts that have been silent for the retention time."""
    membership = tables.membership
    expired = [
        name
        for name, host in membership.hosts.items()
        if now - host.last_seen_s > HOST_FORGET_AFTER_S
    ]
    for name in expired:
        del membership.hosts[name]
        membership.peers.pop(name, None)


def _partners(tables: entry_tables.EntryTables, now: float) -> list[str]:
    """Return the live hosts to gossip with: all in a small cluster, otherwise a few.

    In a large cluster each host selects the hosts at distances of powers of two on the
    ring of sorted names: few links, and few hops between any two hosts.
    """
    live_hosts = sorted(
        host.host
        for host in tables.membership.hosts.values()
        if now - host.last_seen_s <= HOST_SILENCE_S
    )
    if len(live_hosts) <= FULL_MESH_MAXIMUM_HOSTS:
        return live_hosts
    ring = sorted([*live_hosts, tables.settings.host])
    position = ring.index(tables.settings.host)
    distances = (2**power for power in range(len(ring).bit_length()))
    partners = {ring[(position + distance) % len(ring)] for distance in distances}
    return sorted(partners - {tables.settings.host})


def _reconnect_attempts(
    tables: entry_tables.EntryTables, now: float
) -> list[frames.SendToPeer]:
    hosts = tables.membership.hosts
    links = {host.link for host in hosts.values()} | {tables.settings.link}
    candidates = [
        frames.SendToPeer(node=link, message=None, link=link)
        for link in tables.settings.seed_links
        if link not in links
    ]
    candidates.extend(
        frames.SendToPeer(node=node_name(host.host), message=None, link=host.link)
        for host in hosts.values()
        if now - host.last_seen_s > HOST_SILENCE_S
    )
    if not candidates:
        return []
    return tables.random.sample(candidates, min(FANOUT, len(candidates)))


def _can_omit_addresses(peer: gossip_tables.Peer, host: gossip_tables.Host) -> bool:
    """Return whether the peer was sent the addresses of this incarnation of the host.

    They are repeated at intervals, since messages get lost.
    """
    known_version = peer.known_hosts.get(host.host)
    if known_version is None or known_version[0] != host.incarnation:
        return False
    return host.heartbeat % FULL_ENTRY_INTERVAL_HEARTBEATS != 0


def _host_entry(
    host: gossip_tables.Host, now: float, omit_addresses: bool
) -> gossip.KnownHost:
    return gossip.KnownHost(
        host=host.host,
        incarnation=host.incarnation,
        heartbeat=host.heartbeat,
        address="" if omit_addresses else host.address,
        link="" if omit_addresses else host.link,
        zone="" if omit_addresses else host.zone,
        draining=host.draining,
        in_flight=host.in_flight,
        age_s=round(now - host.last_seen_s, 3),
    )


def _with_known_addresses(
    entry: gossip.KnownHost,
    known: gossip_tables.Host,
) -> gossip.KnownHost:
    return msgspec.structs.replace(
        entry,
        address=known.address,
        link=known.link,
        zone=known.zone,
    )
