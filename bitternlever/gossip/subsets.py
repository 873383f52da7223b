"""The upstreams that a host follows: enough of each kind of work, own zone first.

Rendezvous hashing (Thaler and Ravishankar, 1998) spreads the hosts over the
upstreams; a change of the set moves few of them.
"""

import binascii

from bitternlever.entry import tables as entry_tables
from bitternlever.gossip import tables as gossip_tables
from bitternlever.messages import manifest

FOLLOWED_PER_KIND = 16
REFRESH_S = 0.5
VERSION_MARK = "@"


def followed(
    tables: entry_tables.EntryTables, now: float, stage: manifest.Stage
) -> list[str]:
    """Return the names of the upstreams that this host follows for a stage."""
    membership = tables.membership
    key = (stage.pool, stage.task.value, stage.model)
    cached = membership.followed.get(key)
    if cached is not None and _is_current(cached, membership, now):
        return cached.names
    names = _choose(tables, now, stage)
    membership.followed[key] = gossip_tables.Followed(
        names=names,
        version=membership.version,
        expires_s=now + REFRESH_S,
    )
    return names


def score(host: str, name: str) -> int:
    """Return the rendezvous score of a pair of names."""
    return binascii.crc32(name.encode(), binascii.crc32(host.encode()))


def _is_current(
    cached: gossip_tables.Followed,
    membership: gossip_tables.MembershipTables,
    now: float,
) -> bool:
    return cached.version == membership.version and now < cached.expires_s


def _choose(
    tables: entry_tables.EntryTables, now: float, stage: manifest.Stage
) -> list[str]:
    candidates = [
        upstream.announcement
        for upstream in tables.membership.upstreams.values()
        if _fits(tables, now, upstream, stage)
    ]
    if len(candidates) <= FOLLOWED_PER_KIND:
        return sorted(announcement.name for announcement in candidates)
    zone = tables.settings.zone
    host = tables.settings.host
    candidates.sort(
        key=lambda each: (each.zone != zone, -score(host, each.name)),
    )
    return [announcement.name for announcement in candidates[:FOLLOWED_PER_KIND]]


def _fits(
    tables: entry_tables.EntryTables,
    now: float,
    upstream: gossip_tables.Upstream,
    stage: manifest.Stage,
) -> bool:
    announcement = upstream.announcement
    if announcement.pool != stage.pool or announcement.leaving:
        return False
    if now - upstream.heard_s > tables.settings.upstream_silence_s:
        return False
    if stage.task.value not in announcement.tasks:
        return False
    return stage.model is None or _holds_model(announcement.models, stage.model)


def _holds_model(held: list[str], model: str) -> bool:
    """Tell whether a model is held, in any version where none is named."""
    if model in held:
        return True
    return any(name.partition(VERSION_MARK)[0] == model for name in held)
