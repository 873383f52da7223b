"""Gossip of entry hosts and upstreams, with ages instead of timestamps.

Each host sends new information to a few others at each interval. An age grows by the
time spent at each host and by an upper bound of the transit time on each link, so
information is never considered fresher than it is, however late it arrives. Each
message has a stamp of its sender's clock and echoes the newest stamp received from its
target. The time since the echoed stamp, less the time that the sender kept it, bounds
the transit time.
"""

from collections.abc import Iterator

from bitternlever.core import ticks
from bitternlever.entry import tables as entry_tables
from bitternlever.gossip import peers, subsets, tables as gossip_tables, upstreams
from bitternlever.messages import frames, gossip, manifest, requests
from bitternlever.pipelines import crashes

GOSSIP_INTERVAL_S = 0.25
HEARTBEAT_INTERVAL_S = 1.0
FORGET_INTERVAL_S = 5.0
# Maximum relative rate error of two clocks.
CLOCK_RATE_ERROR = 0.01
MAXIMUM_PEERS = 2_000


def handle_announcement(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    message: requests.UpstreamAnnounced,
) -> None:
    """Merge an announcement received directly from an upstream."""
    upstreams.merge_announcement(tables.membership, message.announcement, now)


def handle_gossip(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    message: gossip.Gossip,
) -> None:
    """Merge a gossip message; older information never replaces newer information.

    Upstream information is used only if the message has an echo, which bounds its age.
    """
    membership = tables.membership
    peer = _peer(tables, message)
    if peer is None:
        tables.count("gossip_refused")
        return
    _record_stamp(peer, now, message)
    peer.requested_announcements.update(
        message.wanted[: upstreams.MAXIMUM_ANNOUNCEMENTS_IN_MESSAGE]
    )
    delay_bound_s = _delay_bound_s(tables, now, message)
    for known_host in message.hosts[: peers.MAXIMUM_HOSTS_IN_MESSAGE]:
        peers.merge_host(tables, now, known_host, delay_bound_s or 0.0)
        peer.known_hosts[known_host.host] = (
            known_host.incarnation,
            known_host.heartbeat,
        )
    if delay_bound_s is None:
        peer.reply_due = True
        return
    for known_upstream in message.upstreams[
        : upstreams.MAXIMUM_ANNOUNCEMENTS_IN_MESSAGE
    ]:
        seen_s = now - delay_bound_s - known_upstream.age_s
        upstreams.merge_announcement(membership, known_upstream.announcement, seen_s)
        membership.missing_announcements.pop(known_upstream.announcement.name, None)
    for update in message.updates[: upstreams.MAXIMUM_UPDATES_IN_MESSAGE]:
        if not upstreams.merge_update(membership, update, now, delay_bound_s):
            membership.missing_announcements[update.name] = message.sender
            peer.reply_due = True
        _record_peer_version(peer, update)
    if message.wanted:
        peer.reply_due = True


def run(tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox) -> None:
    """Send a round of gossip when it is due; otherwise send pending replies."""
    membership = tables.membership
    if now >= membership.next_heartbeat_s:
        membership.heartbeat += 1
        membership.next_heartbeat_s = now + HEARTBEAT_INTERVAL_S
    if now >= membership.next_forget_s:
        upstreams.forget(membership, now)
        peers.forget(tables, now)
        membership.missing_announcements.clear()
        membership.next_forget_s = now + FORGET_INTERVAL_S
    if now >= membership.next_gossip_s:
        membership.next_gossip_s = now + GOSSIP_INTERVAL_S
        for target in peers.targets(tables, now):
            _send(tables, now, outbox, target)
    else:
        _send_replies(tables, now, outbox)
    outbox.wake(membership.next_gossip_s)


def serving_upstreams(
    tables: entry_tables.EntryTables,
    now: float,
    stage: manifest.Stage,
) -> Iterator[gossip_tables.Upstream]:
    """Yield the upstreams in this host's subset that may get new work of a stage."""
    upstreams_by_name = tables.membership.upstreams
    oldest_s = now - tables.settings.upstream_silence_s
    for name in subsets.subset_for(tables, now, stage):
        upstream = upstreams_by_name.get(name)
        if upstream is None or upstream.last_seen_s < oldest_s:
            continue
        if not upstream.announcement.leaving:
            yield upstream


def _peer(
    tables: entry_tables.EntryTables, message: gossip.Gossip
) -> gossip_tables.Peer | None:
    peers_by_host = tables.membership.peers
    if message.sender in ("", tables.settings.host):
        return None
    if message.sender not in peers_by_host and len(peers_by_host) >= MAXIMUM_PEERS:
        return None
    return peers_by_host.setdefault(message.sender, gossip_tables.Peer())


def _record_stamp(
    peer: gossip_tables.Peer,
    now: float,
    message: gossip.Gossip,
) -> None:
    if peer.incarnation != message.incarnation:
        peer.incarnation = message.incarnation
        peer.stamp_s = message.stamp_s
        peer.stamp_received_s = now
        peer.known_upstreams.clear()
        peer.known_hosts.clear()
        return
    if message.stamp_s > peer.stamp_s:
        peer.stamp_s = message.stamp_s
        peer.stamp_received_s = now


def _delay_bound_s(
    tables: entry_tables.EntryTables, now: float, message: gossip.Gossip
) -> float | None:
    """Return an upper bound of the message's transit time; None without an echo."""
    echo = message.echo
    if echo is None or echo.incarnation != tables.settings.incarnation:
        return None
    clock_error_s = echo.held_s * CLOCK_RATE_ERROR
    return max(0.0, now - echo.stamp_s - echo.held_s) + clock_error_s


def _record_peer_version(
    peer: gossip_tables.Peer, update: gossip.UpstreamUpdate
) -> None:
    version = (update.incarnation, update.sequence)
    if version > peer.known_upstreams.get(update.name, (0, 0)):
        peer.known_upstreams[update.name] = version


def _send_replies(
    tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox
) -> None:
    membership = tables.membership
    for host, peer in membership.peers.items():
        if peer.reply_due and host in membership.hosts:
            link = membership.hosts[host].link
            target = frames.SendToPeer(
                node=peers.node_name(host), message=None, link=link
            )
            _send(tables, now, outbox, target)


def _send(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    target: frames.SendToPeer,
) -> None:
    membership = tables.membership
    host = target.node.removeprefix("entry-")
    peer = membership.peers.get(host, gossip_tables.Peer())
    peer.reply_due = False
    echo = None
    if peer.incarnation:
        echo = gossip.Echo(
            incarnation=peer.incarnation,
            stamp_s=peer.stamp_s,
            held_s=now - peer.stamp_received_s,
        )
    wanted = sorted(
        name
        for name, source in membership.missing_announcements.items()
        if source == host
    )
    for name in wanted:
        del membership.missing_announcements[name]
    target.message = gossip.Gossip(
        hosts=peers.host_entries_for(tables, peer, now),
        upstreams=upstreams.announcements_for(membership, peer, now),
        updates=upstreams.updates_for(
            membership,
            peer,
            now,
            tables.settings.upstream_silence_s,
        ),
        wanted=wanted[: upstreams.MAXIMUM_ANNOUNCEMENTS_IN_MESSAGE],
        sender=tables.settings.host,
        incarnation=tables.settings.incarnation,
        stamp_s=now,
        echo=echo,
        crashes=crashes.reports(tables, now),
        quarantine=crashes.records(tables, now),
    )
    outbox.send(target)
