"""This host's share of the rate limits that upstreams name.

A limit holds for all hosts together. Each host derives the same division from the limit
and the list of ready hosts, so no message precedes a request: of as many hosts as the
limit allows requests at once, each has a token bucket with an equal part of the rate.
Calls to a stage service come from the one host that batches them, which has a bucket
for the whole limit. A change of the list moves shares from host to host; a host that
gains one from another begins with an empty bucket, and the share of one that is no
longer listed is not used for some time: the list of a control process that has just
started is short.

Load pattern: any number of hosts, and limits of far less or more than one request per
second for each of them.
"""

import dataclasses
import math
from collections.abc import Callable

from bitternlever.catalog import routes
from bitternlever.fleet import rate_limits
from bitternlever.gateway import tables as gateway_tables
from bitternlever.messages import fleet
from bitternlever.routing import affinity

BURST_REQUESTS = 4.0
"""All hosts together may send these at once, besides those of one second."""

CALL_BURST = 1.0
CALL_BURST_S = 0.5
"""The same for calls; smaller, as two hosts batch a service while one takes over."""

MINIMUM_PER_S = 0.02
"""A limit of zero is probed at this rate: only an answer shows that it has ended."""

MIXED_PART = 0.5
"""Part of a limit for each, if an upstream gets both requests and stage calls."""

HOST_RETENTION_S = 5.0
"""Control lists all hosts within a second after its start, with time to elect."""

HOSTS_INTERVAL_S = 0.25
"""Hosts that are no longer listed are dropped with this delay."""

MAXIMUM_RETURN_S = 30.0
"""Hardly any caller waits longer, and the limits may have ended by then."""


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
    if bucket is None:
        return None
    return min(bucket.depth, bucket.level + bucket.per_s * (at_s - now))


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


def remove_ended(tables: gateway_tables.GatewayTables, now: float) -> None:
    """Drop limits of upstreams that have ended, and the buckets without a limit."""
    rate_limits.remove_ended(tables.rate_limits, now, tables.upstreams)
    shares = tables.rate_shares
    for buckets in (shares.requests, shares.calls):
        for name in buckets.keys() - tables.rate_limits.keys():
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
    limits = [
        rate_limits.per_s(tables.rate_limits, upstream.upstream, upstream.started_ms)
        for upstream in upstreams
    ]
    fleet_per_s = sum(
        max(MINIMUM_PER_S, limit) for limit in limits if limit is not None
    )
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
        [gateway_tables.GatewayTables, fleet.UpstreamStatus, float, tuple[str, ...]],
        Share,
    ],
) -> gateway_tables.TokenBucket | None:
    """Return the refilled bucket for an upstream, None if it names no limit."""
    name = upstream.upstream
    limit_per_s = rate_limits.per_s(tables.rate_limits, name, upstream.started_ms)
    if limit_per_s is None:
        return None
    bucket = buckets.get(name)
    if bucket is not None:
        _refill(bucket, now)
    hosts = _hosts(tables, now)
    basis = (
        limit_per_s,
        upstream.service,
        hosts,
        tables.announcement.state,
        None if tables.catalog is None else tables.catalog.version,
    )
    if bucket is None or bucket.started_ms != upstream.started_ms:
        share = share_of(tables, upstream, limit_per_s, hosts)
        bucket = gateway_tables.TokenBucket(
            started_ms=upstream.started_ms, level=share.first_level, refilled_s=now
        )
        buckets[name] = bucket
        _apply(bucket, share, basis)
    elif bucket.basis != basis:
        _apply(bucket, share_of(tables, upstream, limit_per_s, hosts), basis)
    return bucket


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
    limit_per_s: float,
    hosts: tuple[str, ...],
) -> Share:
    """Return this host's share of a limit on requests, which some hosts divide."""
    own_link = tables.announcement.link
    limit_per_s = max(MINIMUM_PER_S, limit_per_s)
    burst = BURST_REQUESTS + limit_per_s
    sharing = affinity.ranked(upstream.upstream, hosts)[: int(burst)]
    stops = tables.announcement.state is not fleet.HostState.READY
    if stops or own_link not in sharing:
        return NO_SHARE
    count = len(sharing)
    part = MIXED_PART if _gets_calls(tables, upstream.service) else 1.0
    depth = max(1.0, burst / count)
    # The last tokens come at a different time on each host.
    missing = (sharing.index(own_link) + 0.5) / count
    return Share(part * limit_per_s / count, depth, depth - missing)


def _call_share(
    tables: gateway_tables.GatewayTables,
    upstream: fleet.UpstreamStatus,
    limit_per_s: float,
    hosts: tuple[str, ...],
) -> Share:
    """Return the share of a limit on stage calls, which come from one host."""
    limit_per_s = max(MINIMUM_PER_S, limit_per_s)
    catalog = tables.catalog
    is_mixed = catalog is not None and routes.has_target(catalog, upstream.service)
    return Share(
        per_s=(MIXED_PART if is_mixed else 1.0) * limit_per_s,
        depth=CALL_BURST + CALL_BURST_S * limit_per_s,
        first_level=CALL_BURST,
    )


def _gets_calls(tables: gateway_tables.GatewayTables, service: str) -> bool:
    catalog = tables.catalog
    declared = None if catalog is None else catalog.services.get(service)
    return declared is not None and declared.stage is not None
