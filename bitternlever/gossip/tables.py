"""Entry hosts, upstreams and gossip peers as known to this host."""

import dataclasses

from bitternlever.messages import upstream as upstream_messages


@dataclasses.dataclass(slots=True)
class Host:
    """An entry host; its newest entry was sent at ``last_seen_s`` or later.

    Callers use its ``address``, other processes its ``link``.
    """

    host: str
    incarnation: str
    heartbeat: int
    address: str
    link: str
    zone: str
    draining: bool
    in_flight: int
    last_seen_s: float


@dataclasses.dataclass(slots=True)
class Upstream:
    """An upstream with its newest announcement.

    ``last_seen_s`` is a lower bound of the time at which the upstream sent it: never
    later than the true time. ``static_checksum`` covers the part of the announcement
    that seldom changes. ``load_reported_s`` is the time that the newest load report
    describes, None before the first.
    """

    announcement: upstream_messages.Announcement
    last_seen_s: float
    static_checksum: int = 0
    load_reported_s: float | None = None


@dataclasses.dataclass(slots=True)
class Peer:
    """Gossip state of one other host.

    ``stamp_s`` is the peer's newest stamp, received at ``stamp_received_s`` local time.
    ``known_upstreams`` and ``known_hosts`` hold the newest versions that the peer was
    sent or has sent itself, so that nothing is sent twice. ``requested_announcements``
    are the upstreams whose full announcements it asked for. ``reply_due`` is set if it
    gets a message without waiting for the next round.
    """

    incarnation: str = ""
    stamp_s: float = 0.0
    stamp_received_s: float = 0.0
    echoed: bool = False
    known_upstreams: dict[str, tuple[int, int]] = dataclasses.field(
        default_factory=dict,
    )
    known_hosts: dict[str, tuple[str, int]] = dataclasses.field(default_factory=dict)
    requested_announcements: set[str] = dataclasses.field(default_factory=set)
    reply_due: bool = False


@dataclasses.dataclass(slots=True)
class UpstreamSubset:
    """The cached subset of upstreams that this host uses for one kind of work.

    It was computed from the set of upstreams with this ``version``.
    """

    names: list[str]
    version: int
    expires_s: float


@dataclasses.dataclass(slots=True)
class MembershipTables:
    """Entry hosts and upstreams by name.

    ``missing_announcements`` maps upstreams without a known announcement to the host
    to request it from. ``version`` counts changes of the set of upstreams.
    """

    hosts: dict[str, Host] = dataclasses.field(default_factory=dict)
    upstreams: dict[str, Upstream] = dataclasses.field(default_factory=dict)
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)
    missing_announcements: dict[str, str] = dataclasses.field(default_factory=dict)
    subsets: dict[tuple[str, str, str | None], UpstreamSubset] = dataclasses.field(
        default_factory=dict,
    )
    version: int = 0
    heartbeat: int = 0
    next_gossip_s: float = 0.0
    next_heartbeat_s: float = 0.0
    next_forget_s: float = 0.0
