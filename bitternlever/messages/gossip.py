"""What entry hosts tell each other: membership, upstreams, load, cache events.

Ages instead of times travel, since no two hosts share a clock. An echo lets the
receiver bound how long a message was on its way: the round trip from its own stamp,
less the time for which the other side held the stamp.
"""

import msgspec

from bitternlever.messages import upstream


class HostSeen(msgspec.Struct, frozen=True, array_like=True):
    """One entry host as the sender knows it, with the age of that knowledge.

    ``address``, ``link`` and ``zone`` are empty where the receiver was told them.
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


class UpstreamSeen(msgspec.Struct, frozen=True):
    """One upstream's last announcement, with its age at the sending."""

    announcement: upstream.Announcement
    age_s: float


class UpstreamWord(msgspec.Struct, frozen=True, array_like=True):
    """The changing part of an announcement; ``form`` is a checksum of the rest.

    A receiver that holds no announcement of this form asks for it by name.
    """

    name: str
    incarnation: int
    sequence: int
    age_ms: int
    form: int
    leaving: bool = False
    running: int = 0
    waiting: int = 0
    step_us: int = 0
    load_age_ms: int = -1
    cache_events: list[upstream.CacheEvent] = []


class Echo(msgspec.Struct, frozen=True, array_like=True):
    """The receiver's own last stamp, and for how long the sender held it."""

    incarnation: str
    stamp_s: float
    held_s: float


class Gossip(msgspec.Struct, tag=True, frozen=True):
    """One round of gossip: the newest news, bounded in number.

    ``stamp_s`` is the sender's monotonic time and means something to it alone.
    ``wanted`` names the upstreams whose whole announcement the sender lacks.
    """

    hosts: list[HostSeen]
    upstreams: list[UpstreamSeen]
    words: list[UpstreamWord] = []
    wanted: list[str] = []
    sender: str = ""
    incarnation: str = ""
    stamp_s: float = 0.0
    echo: Echo | None = None
