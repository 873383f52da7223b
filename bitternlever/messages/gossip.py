"""Gossip between entry hosts: membership, upstreams, load, cache events.

Messages carry ages instead of timestamps, since hosts do not share a clock. An echo
lets the receiver bound the transit time of a message: the round trip since its own
timestamp, minus the time for which the peer held that timestamp.
"""

import msgspec

from bitternlever.messages import fleet, upstream


class KnownHost(msgspec.Struct, frozen=True, array_like=True):
    """One entry host as known to the sender, with the age of that information.

    ``address``, ``link`` and ``zone`` are empty if the receiver already has them.
    """

    host: str
    incarnation: str
    heartbeat: int
    address: str
    link: str
    zone: str
    draining: bool
    in_flight: int
    age_s: float


class KnownUpstream(msgspec.Struct, frozen=True):
    """An upstream's latest announcement, with its age when the message was sent."""

    announcement: upstream.Announcement
    age_s: float


class UpstreamUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The variable fields of an announcement.

    ``static_checksum`` is a checksum of the announcement's fields that are not part of
    the update.

    A receiver without an announcement that matches the checksum requests the full
    announcement by the upstream's name.
    """

    name: str
    incarnation: int
    sequence: int
    age_ms: int
    static_checksum: int
    leaving: bool = False
    running: int = 0
    waiting: int = 0
    step_us: int = 0
    load_age_ms: int = -1
    cache_events: list[upstream.CacheEvent] = []


class Echo(msgspec.Struct, frozen=True, array_like=True):
    """The receiver's latest timestamp, and how long the sender has held it."""

    incarnation: str
    stamp_s: float
    held_s: float


class Gossip(msgspec.Struct, tag=True, frozen=True):
    """One round of gossip: the newest updates, bounded in number.

    ``stamp_s`` is the sender's monotonic time, meaningful to the sender only.
    ``wanted`` names the upstreams whose full announcement the sender requests.
    ``crashes`` and ``quarantine`` are about requests that crash upstreams.
    """

    hosts: list[KnownHost]
    upstreams: list[KnownUpstream]
    updates: list[UpstreamUpdate] = msgspec.field(name="words", default_factory=list)
    wanted: list[str] = []
    sender: str = ""
    incarnation: str = ""
    stamp_s: float = 0.0
    echo: Echo | None = None
    crashes: list[fleet.PromptCrash] = []
    quarantine: list[fleet.PromptPart] = []
