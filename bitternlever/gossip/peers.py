"""The other entry hosts: who gets the next round, and what they know of hosts."""

import msgspec

from bitternlever.entry import tables as entry_tables
from bitternlever.gossip import tables as gossip_tables
from bitternlever.messages import frames, gossip

FANOUT = 2
MAXIMUM_HOSTS = 2_000
MAXIMUM_HOSTS_IN_MESSAGE = 64
HOST_SILENCE_S = 3.0
HOST_FORGET_S = 300.0
RECONNECT_CHANCE = 0.1
WHOLE_EVERY_HEARTBEATS = 8
ALL_PARTNERS_UP_TO = 9


def node(host: str) -> str:
    """Return the node name of an entry host."""
    return f"entry-{host}"


def own(tables: entry_tables.EntryTables, now: float) -> gossip_tables.Host:
    """Return this host as it stands now."""
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
        heard_s=now,
    )


def take(
    tables: entry_tables.EntryTables, now: float, seen: gossip.HostSeen, delay_s: float
) -> None:
    """Take another host's news of a host, if it is newer than what is known."""
    if seen.host == tables.settings.host:
        return
    hosts = tables.membership.hosts
    known = hosts.get(seen.host)
    if not seen.link:
        if known is None or known.incarnation != seen.incarnation:
            return
        seen = _completed(seen, known)
    heard_s = now - seen.age_s - delay_s
    if known is None and len(hosts) >= MAXIMUM_HOSTS:
        return
    if known is not None:
        if known.incarnation == seen.incarnation:
            if seen.heartbeat <= known.heartbeat:
                return
        elif heard_s <= known.heard_s:
            return
    hosts[seen.host] = gossip_tables.Host(
        host=seen.host,
        incarnation=seen.incarnation,
        heartbeat=seen.heartbeat,
        address=seen.address,
        link=seen.link,
        zone=seen.zone,
        draining=seen.draining,
        in_flight=seen.in_flight,
        heard_s=heard_s,
    )


def targets(tables: entry_tables.EntryTables, now: float) -> list[frames.SendPeer]:
    """Return the peers of this round, without messages yet.

    Silent hosts and the seeds are tried now and then, so that a parted cluster joins
    again.
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
    sends = [
        frames.SendPeer(
            node=node(host),
            message=None,
            link=membership.hosts[host].link,
        )
        for host in sorted(chosen)
    ]
    if not partners or tables.random.random() < RECONNECT_CHANCE:
        sends.extend(_reconnects(tables, now))
    return sends


def seen_for(
    tables: entry_tables.EntryTables,
    peer: gossip_tables.Peer,
    now: float,
) -> list[gossip.HostSeen]:
    """Return the news of hosts that the peer may lack, this host first."""
    myself = own(tables, now)
    news = [_seen(myself, now, _is_brief(peer, myself))]
    peer.known_hosts[myself.host] = (myself.incarnation, myself.heartbeat)
    for host in tables.membership.hosts.values():
        if now - host.heard_s > HOST_SILENCE_S:
            continue
        version = (host.incarnation, host.heartbeat)
        if peer.known_hosts.get(host.host) == version:
            continue
        if len(news) == MAXIMUM_HOSTS_IN_MESSAGE:
            break
        news.append(_seen(host, now, _is_brief(peer, host)))
        peer.known_hosts[host.host] = version
    return news


def forget(tables: entry_tables.EntryTables, now: float) -> None:
    """Drop the hosts that have long been silent."""
    membership = tables.membership
    gone = [
        name
        for name, host in membership.hosts.items()
        if now - host.heard_s > HOST_FORGET_S
    ]
    for name in gone:
        del membership.hosts[name]
        membership.peers.pop(name, None)


def _partners(tables: entry_tables.EntryTables, now: float) -> list[str]:
    """Return the live hosts to gossip with: all, or few at size.

    At size each host keeps the hosts at distances of powers of two on the ring of
    names: few links, and each host a few hops from each other.
    """
    alive = sorted(
        host.host
        for host in tables.membership.hosts.values()
        if now - host.heard_s <= HOST_SILENCE_S
    )
    if len(alive) <= ALL_PARTNERS_UP_TO:
        return alive
    ring = sorted([*alive, tables.settings.host])
    position = ring.index(tables.settings.host)
    distances = (2**power for power in range(len(ring).bit_length()))
    partners = {ring[(position + distance) % len(ring)] for distance in distances}
    return sorted(partners - {tables.settings.host})


def _reconnects(tables: entry_tables.EntryTables, now: float) -> list[frames.SendPeer]:
    hosts = tables.membership.hosts
    links = {host.link for host in hosts.values()} | {tables.settings.link}
    candidates = [
        frames.SendPeer(node=link, message=None, link=link)
        for link in tables.settings.seed_links
        if link not in links
    ]
    candidates.extend(
        frames.SendPeer(node=node(host.host), message=None, link=host.link)
        for host in hosts.values()
        if now - host.heard_s > HOST_SILENCE_S
    )
    if not candidates:
        return []
    return tables.random.sample(candidates, min(FANOUT, len(candidates)))


def _is_brief(peer: gossip_tables.Peer, host: gossip_tables.Host) -> bool:
    """Tell whether the peer was told where this run of the host listens.

    Now and then it is told again, since messages get lost.
    """
    told = peer.known_hosts.get(host.host)
    if told is None or told[0] != host.incarnation:
        return False
    return host.heartbeat % WHOLE_EVERY_HEARTBEATS != 0


def _seen(host: gossip_tables.Host, now: float, brief: bool) -> gossip.HostSeen:
    return gossip.HostSeen(
        host=host.host,
        incarnation=host.incarnation,
        heartbeat=host.heartbeat,
        address="" if brief else host.address,
        link="" if brief else host.link,
        zone="" if brief else host.zone,
        draining=host.draining,
        in_flight=host.in_flight,
        age_s=round(now - host.heard_s, 3),
    )


def _completed(
    seen: gossip.HostSeen,
    known: gossip_tables.Host,
) -> gossip.HostSeen:
    return msgspec.structs.replace(
        seen,
        address=known.address,
        link=known.link,
        zone=known.zone,
    )
