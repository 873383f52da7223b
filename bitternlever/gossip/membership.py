"""Membership of entry hosts and upstreams, spread by gossip with ages.

Each host sends its news to a few others at each interval. An age grows by the time
at each host and by a bound of the time on each link, so a word is never taken for
younger than it is, however late it comes.
"""

from collections.abc import Iterator

from bitternlever.core import ticks
from bitternlever.entry import tables as entry_tables
from bitternlever.gossip import peers, subsets, tables as gossip_tables, upstreams
from bitternlever.messages import frames, gossip, manifest, requests

GOSSIP_INTERVAL_S = 0.25
HEARTBEAT_INTERVAL_S = 1.0
FORGET_INTERVAL_S = 5.0
CLOCK_RATE_ERROR = 0.01
MAXIMUM_PEERS = 2_000


def announced(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    message: requests.UpstreamAnnounced,
) -> None:
    """Take an upstream's own word."""
    upstreams.take_announcement(tables.membership, message.announcement, now)


def receive(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    message: gossip.Gossip,
) -> None:
    """Take another host's news; an older word never replaces a newer one.

    News of upstreams counts only with an echo, which bounds its age.
    """
    membership = tables.membership
    peer = _peer(tables, message)
    if peer is None:
        tables.count("gossip_refused")
        return
    _take_stamp(peer, now, message)
    peer.lacks.update(message.wanted[: upstreams.MAXIMUM_WHOLE])
    delay_s = _delay(tables, now, message)
    for seen in message.hosts[: peers.MAXIMUM_HOSTS_IN_MESSAGE]:
        peers.take(tables, now, seen, delay_s or 0.0)
        peer.known_hosts[seen.host] = (seen.incarnation, seen.heartbeat)
    if delay_s is None:
        peer.reply_due = True
        return
    for seen in message.upstreams[: upstreams.MAXIMUM_WHOLE]:
        heard_s = now - delay_s - seen.age_s
        upstreams.take_announcement(membership, seen.announcement, heard_s)
        membership.wanted.pop(seen.announcement.name, None)
    for word in message.words[: upstreams.MAXIMUM_WORDS]:
        if not upstreams.take_word(membership, word, now, delay_s):
            membership.wanted[word.name] = message.sender
            peer.reply_due = True
        _note_known(peer, word)
    if message.wanted:
        peer.reply_due = True


def run(tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox) -> None:
    """Send a round of gossip when it is due."""
    membership = tables.membership
    if now >= membership.next_heartbeat_s:
        membership.heartbeat += 1
        membership.next_heartbeat_s = now + HEARTBEAT_INTERVAL_S
    if now >= membership.next_forget_s:
        upstreams.forget(membership, now)
        peers.forget(tables, now)
        membership.wanted.clear()
        membership.next_forget_s = now + FORGET_INTERVAL_S
    if now >= membership.next_gossip_s:
        membership.next_gossip_s = now + GOSSIP_INTERVAL_S
        for target in peers.targets(tables, now):
            _send(tables, now, outbox, target)
    else:
        _send_replies(tables, now, outbox)
    outbox.wake(membership.next_gossip_s)


def serving(
    tables: entry_tables.EntryTables,
    now: float,
    stage: manifest.Stage,
) -> Iterator[gossip_tables.Upstream]:
    """Yield the followed upstreams that may get new work of this stage."""
    known = tables.membership.upstreams
    oldest_s = now - tables.settings.upstream_silence_s
    for name in subsets.followed(tables, now, stage):
        upstream = known.get(name)
        if upstream is None or upstream.heard_s < oldest_s:
            continue
        if not upstream.announcement.leaving:
            yield upstream


def _peer(
    tables: entry_tables.EntryTables, message: gossip.Gossip
) -> gossip_tables.Peer | None:
    known = tables.membership.peers
    if message.sender in ("", tables.settings.host):
        return None
    if message.sender not in known and len(known) >= MAXIMUM_PEERS:
        return None
    return known.setdefault(message.sender, gossip_tables.Peer())


def _take_stamp(
    peer: gossip_tables.Peer,
    now: float,
    message: gossip.Gossip,
) -> None:
    if peer.incarnation != message.incarnation:
        peer.incarnation = message.incarnation
        peer.stamp_s = message.stamp_s
        peer.stamp_heard_s = now
        peer.known_upstreams.clear()
        peer.known_hosts.clear()
        return
    if message.stamp_s > peer.stamp_s:
        peer.stamp_s = message.stamp_s
        peer.stamp_heard_s = now


def _delay(
    tables: entry_tables.EntryTables, now: float, message: gossip.Gossip
) -> float | None:
    """Return a bound of the time that the message was on its way."""
    echo = message.echo
    if echo is None or echo.incarnation != tables.settings.incarnation:
        return None
    doubt_s = echo.held_s * CLOCK_RATE_ERROR
    return max(0.0, now - echo.stamp_s - echo.held_s) + doubt_s


def _note_known(peer: gossip_tables.Peer, word: gossip.UpstreamWord) -> None:
    shown = (word.incarnation, word.sequence)
    if shown > peer.known_upstreams.get(word.name, (0, 0)):
        peer.known_upstreams[word.name] = shown


def _send_replies(
    tables: entry_tables.EntryTables, now: float, outbox: ticks.Outbox
) -> None:
    membership = tables.membership
    for host, peer in membership.peers.items():
        if peer.reply_due and host in membership.hosts:
            link = membership.hosts[host].link
            target = frames.SendPeer(node=peers.node(host), message=None, link=link)
            _send(tables, now, outbox, target)


def _send(
    tables: entry_tables.EntryTables,
    now: float,
    outbox: ticks.Outbox,
    target: frames.SendPeer,
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
            held_s=now - peer.stamp_heard_s,
        )
    wanted = sorted(
        name for name, source in membership.wanted.items() if source == host
    )
    for name in wanted:
        del membership.wanted[name]
    target.message = gossip.Gossip(
        hosts=peers.seen_for(tables, peer, now),
        upstreams=upstreams.whole_for(membership, peer, now),
        words=upstreams.words_for(
            membership,
            peer,
            now,
            tables.settings.upstream_silence_s,
        ),
        wanted=wanted[: upstreams.MAXIMUM_WHOLE],
        sender=tables.settings.host,
        incarnation=tables.settings.incarnation,
        stamp_s=now,
        echo=echo,
    )
    outbox.send(target)
