"""Subsets of upstreams: each host uses a few of each kind of work, its own zone first.

Rendezvous hashing (Thaler and Ravishankar, 1998) spreads the hosts over the
upstreams; adding or removing an upstream changes few subsets.
"""

import binascii

from bitternlever.entry import tables as entry_tables
from bitternlever.gossip import tables as gossip_tables
from bitternlever.messages import manifest

SUBSET_SIZE = 16
SUBSET_REFRESH_S = 0.5
VERSION_SEPARATOR = "@"


def subset_for(
    tables: entry_tables.EntryTables, now: float, stage: manifest.Stage
) -> list[str]:
    """Return the names of the upstreams in this host's subset for a stage."""
    membership = tables.membership
    key = (stage.pool, stage.task.value, stage.model)
    cached = membership.subsets.get(key)
    if cached is not None and _is_current(cached, membership, now):
        return cached.names
    names = _select_subset(tables, now, stage)
    membership.subsets[key] = gossip_tables.UpstreamSubset(
        names=names,
        version=membership.version,
        expires_s=now + SUBSET_REFRESH_S,
    )
    return names


def score(host: str, name: str) -> int:
    """Return the rendezvous score of a pair of names."""
    return binascii.crc32(name.encode(), binascii.crc32(host.encode()))


def _is_current(
    cached: gossip_tables.UpstreamSubset,
    membership: gossip_tables.MembershipTables,
    now: float,
) -> bool:
    return cached.version == membership.version and now < cached.expires_s


def _select_subset(
    tables: entry_tables.EntryTables, now: float, stage: manifest.Stage
) -> list[str]:
    candidates = [
        upstream.announcement
        for upstream in tables.membership.upstreams.values()
        if _is_eligible(tables, now, upstream, stage)
    ]
    if len(candidates) <= SUBSET_SIZE:
        return sorted(announcement.name for announcement in candidates)
    zone = tables.settings.zone
    host = tables.settings.host
    candidates.sort(
        key=lambda announcement: (
            announcement.zone != zone,
            -score(host, announcement.name),
        ),
    )
    return [announcement.name for announcement in candidates[:SUBSET_SIZE]]


def _is_eligible(
    tables: entry_tables.EntryTables,
    now: float,
    upstream: gossip_tables.Upstream,
    stage: manifest.Stage,
) -> bool:
    announcement = upstream.announcement
    if announcement.pool != stage.pool or announcement.leaving:
        return False
    if now - upstream.last_seen_s > tables.settings.upstream_silence_s:
        return False
    if stage.task.value not in announcement.tasks:
        return False
    return stage.model is None or _has_model(announcement.models, stage.model)


def _has_model(models: list[str], model: str) -> bool:
    """Return whether a model is loaded; a name without a version matches any."""
    if model in models:
        return True
    return any(name.partition(VERSION_SEPARATOR)[0] == model for name in models)
