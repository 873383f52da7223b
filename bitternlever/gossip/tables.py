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
    """One upstream; ``heard_s`` is when its newest word left it, as far as known.

    ``heard_s`` is never later than the true moment. ``form`` is the checksum of the
    part of the announcement that seldom changes. ``load_s`` is when the newest load
    report was true, absent before the first.
    """

    announcement: upstream_messages.Announcement
    heard_s: float
    form: int = 0
    load_s: float | None = None


@dataclasses.dataclass(slots=True)
class Peer:
    """What gossip remembers of one other host.

    ``stamp_s`` is the peer's newest stamp, taken at ``stamp_heard_s`` here.
    ``known_upstreams`` and ``known_hosts`` hold the newest version that the peer was
    sent or has shown, so that nothing travels twice.
    """

    incarnation: str = ""
    stamp_s: float = 0.0
    stamp_heard_s: float = 0.0
    echoed: bool = False
    known_upstreams: dict[str, tuple[int, int]] = dataclasses.field(
        default_factory=dict,
    )
    known_hosts: dict[str, tuple[str, int]] = dataclasses.field(default_factory=dict)
    lacks: set[str] = dataclasses.field(default_factory=set)
    reply_due: bool = False


@dataclasses.dataclass(slots=True)
class Followed:
    """The upstreams that this host follows for one kind of work, for a while."""

    names: list[str]
    version: int
    expires_s: float


@dataclasses.dataclass(slots=True)
class MembershipTables:
    """Entry hosts and upstreams by name; ``version`` counts changes of their set."""

    hosts: dict[str, Host] = dataclasses.field(default_factory=dict)
    upstreams: dict[str, Upstream] = dataclasses.field(default_factory=dict)
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)
    wanted: dict[str, str] = dataclasses.field(default_factory=dict)
    followed: dict[tuple[str, str, str | None], Followed] = dataclasses.field(
        default_factory=dict,
    )
    version: int = 0
    heartbeat: int = 0
    next_gossip_s: float = 0.0
    next_heartbeat_s: float = 0.0
    next_forget_s: float = 0.0
