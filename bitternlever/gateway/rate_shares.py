"""This host's share of the rate limits that upstreams name.

A limit holds for all hosts together. Each host derives the same division from the limit
and the list of ready hosts, so no message precedes a request: of as many hosts as the
limit allows requests at once, each has a token bucket with an equal part of the rate.
Calls to a stage service come from the one host that batches them, which has a bucket
for the whole limit. A change of the list moves shares from host to host; a host that
gains one from another begins with an empty bucket, and the share of one that is no
longer listed is not used for some time: the list of a control process that has just
started is short.

An upstream that falls over after a few rejections is divided in the same way: each host
has a part of its slots, and a smaller one for some time after a rejection.

An upstream that is cold falls over if all hosts together send it more than a few
requests in a second. Until it is warm it has a limit whose rate and burst together stay
below that.

Load pattern: any number of hosts, and limits of far less or more than one request per
second for each of them; a whole zone of cold upstreams at once.
"""

import dataclasses
import math
from collections.abc import Callable

from bitternlever.catalog import routes
from bitternlever.fleet import rate_limits, upstreams as fleet_upstreams
from bitternlever.gateway import tables as gateway_tables
from bitternlever.messages import fleet
from bitternlever.routing import affinity

BURST_REQUESTS = 4.0
"""All hosts together may send these at once, besides those of one second."""

CALL_BURST = 1.0
CALL_BURST_S = 0.5
"""The same for calls; smaller, as two hosts batch a service while one takes over."""

MINIMUM_PER_S = 0.02
"""A limit of zero is probed at this rate: only an answer shows that it has ended.

So is an upstream that takes nothing while it is cold, which ends by itself.
"""

MIXED_PART = 0.5
"""Part of a limit for each, if an upstream gets both requests and stage calls."""

COLD_RATE_SHARE = 0.4
"""Part of what a cold upstream takes in a second that is its rate; the rest at once."""

COLD_CALL_SHARE = 0.5
"""The same for calls, of which two hosts may send some while one takes over."""

HOST_RETENTION_S = 5.0
"""Control lists all hosts within a second after its start, with time to elect."""

HOSTS_INTERVAL_S = 0.25
"""Hosts that are no longer listed are dropped with this delay."""

ROOM_AFTER_REJECTION = 0.7
"""Part of the running requests that remains the bound after a rejection."""

ROOM_GROWTH_FACTOR = 2.0
"""The bounds of all hosts together grow by half of the rejections that are borne."""

MINIMUM_BORNE_PER_S = 0.5
"""An upstream that bears none is treated as if it bore one in two seconds."""

MAXIMUM_CLOSED_S = 2.0
"""Requests that run at an upstream have made room by then."""

MINIMUM_TAKES_S = 0.05
"""A request takes at least this long, for what is expected of running ones."""

MAXIMUM_RETURN_S = 30.0
"""Hardly any caller waits longer, and the limits may have ended by then."""


@dataclasses.dataclass(slots=True, frozen=True)
class Limit:
    """What all hosts together may send: at a rate, and at once besides.

    ``call_burst`` is the number of stage calls at once.
    """

    per_s: float
    burst: float
    call_burst: float


@dataclasses.dataclass(slots=True, frozen=True)
class Share:
    """Rate and depth of a host's token bucket, and its level if the limit is new."""

    per_s: float
    depth: float
    first_level: float


NO_SHARE = Share(0.0, 0.0, 0.0)


def request_opens_s(
    tables: gateway_tables.GatewayTables, now: float, upstream: fleet.UpstreamStatus
) -> float | None:
    """Return when this host may send a request, None if there is no limit.

    Infinity if other hosts have all shares.
    """
    bucket = _request_bucket(tables, now, upstream)
    return None if bucket is None else _opens_s(bucket, now)


def request_tokens(
    tables: gateway_tables.GatewayTables,
    now: float,
    upstream: fleet.UpstreamStatus,
    at_s: float,
) -> float | None:
    """Return how many requests may be sent at a time, None if there is no limit."""
    bucket = _request_bucket(tables, now, upstream)
    left = _room(tables, now, upstream, at_s - now)
    if bucket is None:
        return left
    tokens = min(bucket.depth, bucket.level + bucket.per_s * (at_s - now))
    return tokens if left is None else min(tokens, left)


def has_room(
    tables: gateway_tables.GatewayTables, now: float, upstream: fleet.UpstreamStatus
) -> bool:
    """Return whether this host may send a request without the risk of a rejection."""
    left = _room(tables, now, upstream)
    return left is None or left >= 1.0


def _room(
    tables: gateway_tables.GatewayTables,
    now: float,
    upstream: fleet.UpstreamStatus,
    in_s: float = 0.0,
) -> float | None:
    """Return how many more requests this host may have at an upstream, None if any.

    An upstream that falls over after a few rejections gets no more at a time than it
    has slots, divided among the hosts: how many may wait there changes unannounced.
    Of those that are running, some end within ``in_s``.
    """
    borne_per_s = _rejections_per_s(tables, now, upstream)
    if borne_per_s is None:
        return None
    hosts = _hosts(tables, now)
    bound = _room_share(tables, upstream, hosts)
    learned = tables.rate_shares.rooms.get(upstream.upstream)
    if learned is not None and learned.started_ms == upstream.started_ms:
        if now + in_s < learned.closed_until_s:
            return 0.0
        growth_s = (
            ROOM_GROWTH_FACTOR * len(hosts) / max(MINIMUM_BORNE_PER_S, borne_per_s)
        )
        bound = min(bound, learned.bound + (now - learned.bounded_s) // growth_s)
    health = tables.health.get(upstream.upstream)
    if health is None:
        return bound
    ends = min(1.0, in_s / max(MINIMUM_TAKES_S, health.latency_s))
    return max(0.0, bound - health.running * (1.0 - ends))


def record_rejection(
    tables: gateway_tables.GatewayTables, now: float, upstream: fleet.UpstreamStatus
) -> None:
    """Record that an upstream had no room; one that bears few rejections gets less."""
    borne_per_s = _rejections_per_s(tables, now, upstream)
    if borne_per_s is None:
        return
    health = tables.health.get(upstream.upstream)
    accepted = 0 if health is None else max(0, health.running - 1)
    closed_s = len(_hosts(tables, now)) / max(MINIMUM_BORNE_PER_S, borne_per_s)
    tables.rate_shares.rooms[upstream.upstream] = gateway_tables.Room(
        started_ms=upstream.started_ms,
        bound=max(1.0, math.floor(ROOM_AFTER_REJECTION * accepted)),
        bounded_s=now,
        closed_until_s=now + min(MAXIMUM_CLOSED_S, closed_s),
    )


def is_due(
    tables: gateway_tables.GatewayTables, now: float, upstream: fleet.UpstreamStatus
) -> bool:
    """Return whether a part of the limit is lost without a request from this host."""
    bucket = _request_bucket(tables, now, upstream)
    return bucket is not None and 0 < bucket.depth <= bucket.level


def take_request(
    tables: gateway_tables.GatewayTables, now: float, upstream: fleet.UpstreamStatus
) -> None:
    """Count a request that is sent to an upstream."""
    bucket = _request_bucket(tables, now, upstream)
    if bucket is not None:
        bucket.level -= 1.0


def call_opens_s(
    tables: gateway_tables.GatewayTables, now: float, upstream: fleet.UpstreamStatus
) -> float | None:
    """Return when this host may send a stage call, None if there is no limit."""
    bucket = _call_bucket(tables, now, upstream)
    return None if bucket is None else _opens_s(bucket, now)


def calls_per_s(
    tables: gateway_tables.GatewayTables, now: float, upstream: fleet.UpstreamStatus
) -> float:
    """Return the rate at which this host may send stage calls."""
    bucket = _call_bucket(tables, now, upstream)
    return math.inf if bucket is None else bucket.per_s


def take_call(
    tables: gateway_tables.GatewayTables, now: float, upstream: fleet.UpstreamStatus
) -> None:
    """Count a stage call that is sent to an upstream."""
    bucket = _call_bucket(tables, now, upstream)
    if bucket is not None:
        bucket.level -= 1.0


def _rejections_per_s(
    tables: gateway_tables.GatewayTables, now: float, upstream: fleet.UpstreamStatus
) -> float | None:
    if not tables.rate_limits:
        return None
    return rate_limits.rejections_per_s(
        tables.rate_limits, now, tables.upstreams, upstream
    )


def _room_share(
    tables: gateway_tables.GatewayTables,
    upstream: fleet.UpstreamStatus,
    hosts: tuple[str, ...],
) -> int:
    """Return this host's part of an upstream's slots; the first hosts get one more."""
    own_link = tables.announcement.link
    if tables.announcement.state is not fleet.HostState.READY or own_link not in hosts:
        return 0
    part, rest = divmod(upstream.slots, len(hosts))
    position = affinity.ranked(upstream.upstream, hosts).index(own_link)
    return part + (position < rest)


def remove_ended(tables: gateway_tables.GatewayTables, now: float) -> None:
    """Drop limits of upstreams that have ended, and the buckets without a limit."""
    rate_limits.remove_ended(tables.rate_limits, now, tables.upstreams)
    shares = tables.rate_shares
    cold = {
        name for name in shares.requests | shares.calls if _is_cold(tables, now, name)
    }
    for buckets in (shares.requests, shares.calls, shares.rooms):
        for name in buckets.keys() - tables.rate_limits.keys() - cold:
            del buckets[name]


def return_after_s(
    tables: gateway_tables.GatewayTables,
    now: float,
    service: str,
    upstreams: list[fleet.UpstreamStatus],
) -> float:
    """Return after which time a caller may return who is refused for their limits.

    This host's callers return one after the other, at this host's part of the rate of
    all limits. They may return at any host, so the part of each is the same.
    """
    fleet_per_s = sum(_taken_per_s(tables, now, upstream) for upstream in upstreams)
    first_s = min(
        (request_opens_s(tables, now, upstream) or now for upstream in upstreams),
        default=now,
    )
    first_s = min(first_s, now + 1.0 / fleet_per_s)
    returns_s = tables.rate_shares.returns_s
    return_s = max(first_s, returns_s.get(service, now))
    return_s = min(return_s, now + MAXIMUM_RETURN_S)
    interval_s = max(1, len(_hosts(tables, now))) / fleet_per_s
    returns_s[service] = return_s + interval_s
    return return_s - now


def _taken_per_s(
    tables: gateway_tables.GatewayTables, now: float, upstream: fleet.UpstreamStatus
) -> float:
    """Return the requests a second that an upstream takes, by its limit or slots."""
    limit = _limit(tables, now, upstream)
    if limit is not None:
        return limit.per_s
    health = tables.health.get(upstream.upstream)
    takes_s = 0.0 if health is None else health.latency_s
    return upstream.slots / max(MINIMUM_TAKES_S, takes_s)


def _opens_s(bucket: gateway_tables.TokenBucket, now: float) -> float:
    if bucket.level >= 1.0:
        return now
    if bucket.per_s <= 0:
        return math.inf
    return now + (1.0 - bucket.level) / bucket.per_s


def _request_bucket(
    tables: gateway_tables.GatewayTables, now: float, upstream: fleet.UpstreamStatus
) -> gateway_tables.TokenBucket | None:
    buckets = tables.rate_shares.requests
    return _bucket(tables, now, upstream, buckets, _request_share)


def _call_bucket(
    tables: gateway_tables.GatewayTables, now: float, upstream: fleet.UpstreamStatus
) -> gateway_tables.TokenBucket | None:
    buckets = tables.rate_shares.calls
    return _bucket(tables, now, upstream, buckets, _call_share)


def _bucket(
    tables: gateway_tables.GatewayTables,
    now: float,
    upstream: fleet.UpstreamStatus,
    buckets: dict[str, gateway_tables.TokenBucket],
    share_of: Callable[
        [gateway_tables.GatewayTables, fleet.UpstreamStatus, Limit, tuple[str, ...]],
        Share,
    ],
) -> gateway_tables.TokenBucket | None:
    """Return the refilled bucket for an upstream, None if it has no limit."""
    name = upstream.upstream
    limit = _limit(tables, now, upstream)
    if limit is None:
        return None
    bucket = buckets.get(name)
    if bucket is not None:
        _refill(bucket, now)
    hosts = _hosts(tables, now)
    basis = (
        limit,
        upstream.service,
        hosts,
        tables.announcement.state,
        None if tables.catalog is None else tables.catalog.version,
    )
    if bucket is None or bucket.started_ms != upstream.started_ms:
        share = share_of(tables, upstream, limit, hosts)
        bucket = gateway_tables.TokenBucket(
            started_ms=upstream.started_ms, level=share.first_level, refilled_s=now
        )
        buckets[name] = bucket
        _apply(bucket, share, basis)
    elif bucket.basis != basis:
        _apply(bucket, share_of(tables, upstream, limit, hosts), basis)
    return bucket


def _limit(
    tables: gateway_tables.GatewayTables, now: float, upstream: fleet.UpstreamStatus
) -> Limit | None:
    """Return the limit of an upstream that names one or is cold, the lower of both."""
    named_per_s = rate_limits.per_s(
        tables.rate_limits, upstream.upstream, upstream.started_ms
    )
    slack = tables.cold_slack
    if slack is None or not fleet_upstreams.is_cold(tables.upstreams, now, upstream):
        return None if named_per_s is None else _named_limit(named_per_s)
    per_s = max(MINIMUM_PER_S, COLD_RATE_SHARE * slack)
    burst = max(0.0, slack - per_s)
    call_burst = max(CALL_BURST, COLD_CALL_SHARE * burst)
    if named_per_s is None:
        return Limit(per_s, burst, call_burst)
    named = _named_limit(named_per_s)
    return Limit(
        min(per_s, named.per_s),
        min(burst, named.burst),
        min(call_burst, named.call_burst),
    )


def _named_limit(per_s: float) -> Limit:
    per_s = max(MINIMUM_PER_S, per_s)
    return Limit(per_s, BURST_REQUESTS + per_s, CALL_BURST + CALL_BURST_S * per_s)


def _is_cold(tables: gateway_tables.GatewayTables, now: float, name: str) -> bool:
    entry = tables.upstreams.entries.get(name)
    return entry is not None and fleet_upstreams.is_cold(
        tables.upstreams, now, entry.status
    )


def _refill(bucket: gateway_tables.TokenBucket, now: float) -> None:
    added = bucket.per_s * max(0.0, now - bucket.refilled_s)
    bucket.level = min(bucket.depth, bucket.level + added)
    bucket.refilled_s = now


def _apply(bucket: gateway_tables.TokenBucket, share: Share, basis: tuple) -> None:
    bucket.per_s = share.per_s
    bucket.depth = share.depth
    bucket.level = min(bucket.level, share.depth)
    bucket.basis = basis


def _hosts(tables: gateway_tables.GatewayTables, now: float) -> tuple[str, ...]:
    """Return the links of the hosts that are ready, or were so recently."""
    shares = tables.rate_shares
    listed = tables.hosts.listed
    if listed is shares.listed and now < shares.next_hosts_s:
        return shares.hosts
    shares.listed = listed
    shares.next_hosts_s = now + HOSTS_INTERVAL_S
    for host in listed:
        if host.state is fleet.HostState.READY and not host.cut_off:
            shares.ready_s[host.link] = now
    for link, ready_s in list(shares.ready_s.items()):
        if now - ready_s > HOST_RETENTION_S:
            del shares.ready_s[link]
    shares.hosts = tuple(sorted(shares.ready_s))
    return shares.hosts


def _request_share(
    tables: gateway_tables.GatewayTables,
    upstream: fleet.UpstreamStatus,
    limit: Limit,
    hosts: tuple[str, ...],
) -> Share:
    """Return this host's share of a limit on requests, which some hosts divide."""
    own_link = tables.announcement.link
    sharing = affinity.ranked(upstream.upstream, hosts)[: max(1, int(limit.burst))]
    stops = tables.announcement.state is not fleet.HostState.READY
    if stops or own_link not in sharing:
        return NO_SHARE
    count = len(sharing)
    part = MIXED_PART if _gets_calls(tables, upstream.service) else 1.0
    depth = max(1.0, limit.burst / count)
    # The last tokens come at a different time on each host.
    missing = (sharing.index(own_link) + 0.5) / count
    return Share(part * limit.per_s / count, depth, depth - missing)


def _call_share(
    tables: gateway_tables.GatewayTables,
    upstream: fleet.UpstreamStatus,
    limit: Limit,
    hosts: tuple[str, ...],
) -> Share:
    """Return the share of a limit on stage calls, which come from one host."""
    catalog = tables.catalog
    is_mixed = catalog is not None and routes.has_target(catalog, upstream.service)
    return Share(
        per_s=(MIXED_PART if is_mixed else 1.0) * limit.per_s,
        depth=limit.call_burst,
        first_level=CALL_BURST,
    )


def _gets_calls(tables: gateway_tables.GatewayTables, service: str) -> bool:
    catalog = tables.catalog
    declared = None if catalog is None else catalog.services.get(service)
    return declared is not None and declared.stage is not None
