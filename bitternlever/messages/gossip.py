"""What entry hosts tell each other: membership, upstreams, load, cache events."""

import msgspec

from bitternlever.messages import upstream


class HostSeen(msgspec.Struct, frozen=True):
    """One entry host as the sender knows it, with the age of that knowledge."""

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


class Gossip(msgspec.Struct, tag=True, frozen=True):
    """One round of gossip: the newest news, bounded in number."""

    hosts: list[HostSeen]
    upstreams: list[UpstreamSeen]
