"""Words about upstreams: their order, their age, and who still needs them.

Words of one upstream are ordered by incarnation, then sequence. A ``leaving`` word
sticks for its incarnation.
"""

import binascii

import msgspec

from bitternlever.gossip import tables as gossip_tables
from bitternlever.messages import gossip, upstream as upstream_messages

MAXIMUM_UPSTREAMS = 4_000
MAXIMUM_WORDS = 256
MAXIMUM_WHOLE = 32
MAXIMUM_CACHE_EVENTS = 32
FORGET_S = 60.0


def take_announcement(
    membership: gossip_tables.MembershipTables,
    announcement: upstream_messages.Announcement,
    heard_s: float,
) -> bool:
    """Take a whole announcement if it is not older than what is known."""
    known = membership.upstreams.get(announcement.name)
    if known is None and len(membership.upstreams) >= MAXIMUM_UPSTREAMS:
        return False
    if known is not None and not _follows(known, announcement):
        return _take_equal(known, announcement, heard_s)
    announcement = msgspec.structs.replace(
        announcement,
        cache_events=announcement.cache_events[-MAXIMUM_CACHE_EVENTS:],
    )
    entry = gossip_tables.Upstream(
        announcement=announcement,
        heard_s=heard_s,
        form=form(announcement),
    )
    if announcement.load is not None:
        entry.load_s = heard_s - announcement.load.age_s
    if known is not None:
        _carry_over(known, entry)
    if known is None or not _same_standing(known, entry):
        membership.version += 1
    membership.upstreams[announcement.name] = entry
    return True


def take_word(
    membership: gossip_tables.MembershipTables,
    word: gossip.UpstreamWord,
    now: float,
    delay_s: float,
) -> bool:
    """Take the changing part of an announcement; tell whether its form is known."""
    known = membership.upstreams.get(word.name)
    heard_s = now - delay_s - word.age_ms / 1_000
    if known is None:
        return False
    announcement = known.announcement
    if known.form != word.form or announcement.incarnation != word.incarnation:
        newer = (word.incarnation, word.sequence) > version(announcement)
        replaced = word.incarnation > announcement.incarnation
        if newer and (word.leaving or replaced):
            announcement.leaving = True
            membership.version += 1
        return not newer
    if word.sequence < announcement.sequence:
        return True
    known.heard_s = max(known.heard_s, heard_s)
    if word.sequence == announcement.sequence:
        return True
    announcement.sequence = word.sequence
    if word.leaving and not announcement.leaving:
        announcement.leaving = True
        membership.version += 1
    _take_load(known, word, heard_s)
    announcement.cache_events = word.cache_events[-MAXIMUM_CACHE_EVENTS:]
    return True


def words_for(
    membership: gossip_tables.MembershipTables,
    peer: gossip_tables.Peer,
    now: float,
    silence_s: float,
) -> list[gossip.UpstreamWord]:
    """Return the words that the peer may lack; silent upstreams are left out."""
    words = []
    for name, known in membership.upstreams.items():
        announcement = known.announcement
        newest = version(announcement)
        if now - known.heard_s > silence_s and not announcement.leaving:
            continue
        shown = peer.known_upstreams.get(name)
        if shown is not None and shown >= newest and not announcement.leaving:
            continue
        if len(words) == MAXIMUM_WORDS:
            break
        peer.known_upstreams[name] = newest
        words.append(_word(known, now))
    return words


def whole_for(
    membership: gossip_tables.MembershipTables,
    peer: gossip_tables.Peer,
    now: float,
) -> list[gossip.UpstreamSeen]:
    """Return the whole announcements that the peer has asked for."""
    names = sorted(peer.lacks)[:MAXIMUM_WHOLE]
    peer.lacks.difference_update(names)
    return [
        gossip.UpstreamSeen(
            announcement=membership.upstreams[name].announcement,
            age_s=now - membership.upstreams[name].heard_s,
        )
        for name in names
        if name in membership.upstreams
    ]


def forget(membership: gossip_tables.MembershipTables, now: float) -> None:
    """Drop the upstreams that have long been silent."""
    gone = [
        name
        for name, known in membership.upstreams.items()
        if now - known.heard_s > FORGET_S
    ]
    for name in gone:
        del membership.upstreams[name]
        for peer in membership.peers.values():
            peer.known_upstreams.pop(name, None)
    if gone:
        membership.version += 1


def version(announcement: upstream_messages.Announcement) -> tuple[int, int]:
    """Return what orders the words of one upstream."""
    return (announcement.incarnation, announcement.sequence)


def form(announcement: upstream_messages.Announcement) -> int:
    """Return a checksum of the part of an announcement that seldom changes."""
    part = (
        announcement.address,
        announcement.pool,
        announcement.zone,
        announcement.tasks,
        announcement.models,
        announcement.adapters,
        announcement.role,
        announcement.concurrency,
        announcement.checks_fencing,
        announcement.answers_status,
    )
    return binascii.crc32(msgspec.msgpack.encode(part))


def _follows(
    known: gossip_tables.Upstream,
    announcement: upstream_messages.Announcement,
) -> bool:
    return version(announcement) > version(known.announcement)


def _take_equal(
    known: gossip_tables.Upstream,
    announcement: upstream_messages.Announcement,
    heard_s: float,
) -> bool:
    """Learn a later bound of the age from the same word by another way."""
    if version(announcement) != version(known.announcement):
        return False
    known.heard_s = max(known.heard_s, heard_s)
    return False


def _same_standing(
    known: gossip_tables.Upstream,
    entry: gossip_tables.Upstream,
) -> bool:
    return (
        known.form == entry.form
        and known.announcement.leaving == entry.announcement.leaving
    )


def _carry_over(
    known: gossip_tables.Upstream,
    entry: gossip_tables.Upstream,
) -> None:
    if known.announcement.incarnation != entry.announcement.incarnation:
        return
    entry.heard_s = max(entry.heard_s, known.heard_s)
    if known.announcement.leaving:
        entry.announcement.leaving = True
    if entry.load_s is None:
        entry.announcement.load = known.announcement.load
        entry.load_s = known.load_s


def _take_load(
    known: gossip_tables.Upstream,
    word: gossip.UpstreamWord,
    heard_s: float,
) -> None:
    if word.load_age_ms < 0:
        return
    known.load_s = heard_s - word.load_age_ms / 1_000
    known.announcement.load = upstream_messages.LoadReport(
        running=word.running,
        waiting=word.waiting,
        step_ms=word.step_us / 1_000,
    )


def _word(known: gossip_tables.Upstream, now: float) -> gossip.UpstreamWord:
    announcement = known.announcement
    load = announcement.load
    load_age_ms = -1
    if load is not None and known.load_s is not None:
        load_age_ms = max(0, int((known.heard_s - known.load_s) * 1_000))
    return gossip.UpstreamWord(
        name=announcement.name,
        incarnation=announcement.incarnation,
        sequence=announcement.sequence,
        age_ms=int((now - known.heard_s) * 1_000) + 1,
        form=known.form,
        leaving=announcement.leaving,
        running=load.running if load is not None else 0,
        waiting=load.waiting if load is not None else 0,
        step_us=int(load.step_ms * 1_000) if load is not None else 0,
        load_age_ms=load_age_ms,
        cache_events=announcement.cache_events,
    )
