"""Tables of entry hosts and upstreams, as this host knows them."""

import dataclasses

from bitternlever.messages import upstream as upstream_messages


@dataclasses.dataclass(slots=True)
class Host:
    """One entry host; ``heard_s`` is when its newest word left it, as far as known."""

    host: str
    incarnation: str
    heartbeat: int
    address: str
    link: str
    zone: str
    draining: bool
    in_flight: int
    heard_s: float


@dataclasses.dataclass(slots=True)
class Upstream:
    """One upstream; ``heard_s`` is when its newest word left it, as far as known."""

    announcement: upstream_messages.Announcement
    heard_s: float


@dataclasses.dataclass(slots=True)
class MembershipTables:
    """Entry hosts and upstreams by name."""

    hosts: dict[str, Host] = dataclasses.field(default_factory=dict)
    upstreams: dict[str, Upstream] = dataclasses.field(default_factory=dict)
    heartbeat: int = 0
    next_gossip_s: float = 0.0
