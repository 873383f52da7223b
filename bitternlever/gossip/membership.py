"""Membership of entry hosts and upstreams, spread by gossip with ages."""

from collections.abc import Iterator

from bitternlever.core import ticks
from bitternlever.gossip import tables as gossip_tables
from bitternlever.messages import gossip, manifest, requests


def announced(
    tables,
    now: float,
    outbox: ticks.Outbox,
    message: requests.UpstreamAnnounced,
) -> None:
    """Take an upstream's own word."""
    announcement = message.announcement
    tables.membership.upstreams[announcement.name] = gossip_tables.Upstream(
        announcement=announcement,
        heard_s=now,
    )


def receive(
    tables,
    now: float,
    outbox: ticks.Outbox,
    message: gossip.Gossip,
) -> None:
    """Take another host's news; an older word never replaces a newer one."""


def run(tables, now: float, outbox: ticks.Outbox) -> None:
    """Send a round of gossip when it is due."""


def serving(
    tables,
    now: float,
    stage: manifest.Stage,
) -> Iterator[gossip_tables.Upstream]:
    """Yield the upstreams that may get new work of this stage."""
    for upstream in tables.membership.upstreams.values():
        announcement = upstream.announcement
        silent = now - upstream.heard_s > tables.settings.upstream_silence_s
        if silent or announcement.leaving or announcement.pool != stage.pool:
            continue
        if stage.task.value not in announcement.tasks:
            continue
        if stage.model is not None and stage.model not in announcement.models:
            continue
        yield upstream
