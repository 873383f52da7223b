"""Selection of the upstream for a request.

An engine that has cached the shared parts of a prompt starts at once, so engines are
selected by those parts within a bound on their load. Plain upstreams are equivalent
until one becomes slow or fails some of its calls: the one with the lowest predicted
delay gets the request, and one that keeps failing is paused, twice as long each time.
One with a rate limit gets its share even if another is a little faster: only its
answers show when the limit ends.
"""

from bitternlever.fleet import pauses as fleet_pauses
from bitternlever.gateway import dialect, rate_shares, tables as gateway_tables
from bitternlever.messages import fleet
from bitternlever.routing import affinity

PAUSE_S = 0.4
"""First pause after failures; longer than the retransmission of a lost packet."""

MAXIMUM_PAUSE_S = 4.0
"""Below the time within which a restarted upstream should be used again."""

MAXIMUM_DOUBLINGS = 10
"""More have no effect, since the pause has its own bound."""

PAUSE_AFTER_FAILURES = 2
"""A single failure may be caused by the request itself."""

LATENCY_WEIGHT = 0.2
"""Weight of the newest sample in an upstream's mean latency."""

DUE_FACTOR = 2.0
"""A limited upstream gets its share unless it is predicted to be this much slower."""

MINIMUM_LATENCY_S = 0.005
"""Differences in latency below this are due to the requests, not to the upstreams."""


PAUSED_ELSEWHERE_LOAD = affinity.LOAD_ALLOWANCE_REQUESTS + 1.0
"""Added to the load of an engine that asked another host for a pause, in requests.

Above the allowance, so that its prompts move on all hosts to the same other engine,
which reads them once, instead of on each host after a refusal.
"""


def health(tables: gateway_tables.GatewayTables, name: str) -> gateway_tables.Health:
    """Return the health of an upstream; create an empty record for a new one."""
    record = tables.health.get(name)
    if record is None:
        record = gateway_tables.Health()
        tables.health[name] = record
    return record


def choose(
    tables: gateway_tables.GatewayTables,
    now: float,
    usable: list[fleet.UpstreamStatus],
    tried: set[str],
    prompt_key: str | None,
) -> fleet.UpstreamStatus | None:
    """Return the upstream for a request, or None if all were tried."""
    untried = [upstream for upstream in usable if upstream.upstream not in tried]
    available = [
        upstream
        for upstream in untried
        if health(tables, upstream.upstream).paused_until_s <= now
    ]
    candidates = {upstream.upstream: upstream for upstream in available or untried}
    if not candidates:
        return None
    if prompt_key is not None:
        loads = {
            name: _engine_load(tables, now, upstream)
            for name, upstream in candidates.items()
        }
        return candidates[affinity.ranked_within_load_bound(prompt_key, loads)[0]]
    predicted = {
        name: _predicted_s(tables, now, upstream)
        for name, upstream in candidates.items()
    }
    bound_s = DUE_FACTOR * min(predicted.values())[0]
    due = {
        name
        for name, upstream in candidates.items()
        if predicted[name][0] <= bound_s and rate_shares.is_due(tables, now, upstream)
    }
    return candidates[min(due or candidates, key=predicted.__getitem__)]


def prompt_key(head: dialect.RequestHead) -> str:
    """Return a key that requests with the same shared prompt parts have in common."""
    shared = head.prompt[:-1] or head.prompt
    return ",".join(part.part for part in shared) or head.request


def record_start(record: gateway_tables.Health, tokens: int) -> None:
    """Count a request that was sent to an upstream."""
    record.running += 1
    record.running_tokens += tokens


def record_end(record: gateway_tables.Health, tokens: int) -> None:
    """Count a request that ended."""
    record.running -= 1
    record.running_tokens -= tokens


def record_success(record: gateway_tables.Health, latency_s: float) -> None:
    """Record a successful answer and its latency."""
    record.failures = 0
    record.paused_until_s = 0.0
    if record.latency_s == 0.0:
        record.latency_s = latency_s
        return
    record.latency_s += LATENCY_WEIGHT * (latency_s - record.latency_s)


def record_failure(record: gateway_tables.Health, now: float) -> None:
    """Record a failure; several in a row pause the upstream."""
    record.failures += 1
    excess = record.failures - PAUSE_AFTER_FAILURES
    if excess >= 0:
        record.paused_until_s = now + min(
            MAXIMUM_PAUSE_S, PAUSE_S * 2 ** min(excess, MAXIMUM_DOUBLINGS)
        )


def _engine_load(
    tables: gateway_tables.GatewayTables, now: float, upstream: fleet.UpstreamStatus
) -> float:
    load = float(health(tables, upstream.upstream).running)
    if _paused_elsewhere(tables, now, upstream):
        load += PAUSED_ELSEWHERE_LOAD
    return load


def _paused_elsewhere(
    tables: gateway_tables.GatewayTables, now: float, upstream: fleet.UpstreamStatus
) -> bool:
    """Return whether an upstream recently asked some other host for a pause."""
    return (
        fleet_pauses.ends_s(
            tables.pause_hints, now, upstream.upstream, upstream.started_ms
        )
        is not None
    )


def _predicted_s(
    tables: gateway_tables.GatewayTables,
    now: float,
    upstream: fleet.UpstreamStatus,
) -> tuple[float, str]:
    record = health(tables, upstream.upstream)
    latency_s = max(MINIMUM_LATENCY_S, record.latency_s)
    queued = max(0, record.running + 1 - upstream.slots)
    delay_s = latency_s * (1 + record.running / max(1, upstream.slots) + queued)
    failures = record.failures + _paused_elsewhere(tables, now, upstream)
    return delay_s * (1 + failures), upstream.upstream
