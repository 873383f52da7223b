"""Selection of the upstream for a request.

An engine that has cached the shared parts of a prompt starts at once; which engine
answers a prompt first is predicted in ``workload.choice``. Plain upstreams are
equivalent until one becomes slow or fails some of its calls: the one with the lowest
predicted delay gets the request, and one that keeps failing is paused, twice as long
each time. One with a rate limit gets its share even if another is a little faster:
only its answers show when the limit ends.
"""

import math

from bitternlever.fleet import pauses as fleet_pauses
from bitternlever.gateway import dialect, rate_shares, tables as gateway_tables
from bitternlever.messages import fleet
from bitternlever.routing import affinity
from bitternlever.workload import choice, cost, outstanding

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
    prompt: choice.Prompt | None,
) -> fleet.UpstreamStatus | None:
    """Return the upstream for a request, or None if all were tried.

    ``prompt`` is that of a request to an engine.
    """
    candidates = {
        each.upstream: each for each in considered(tables, now, usable, tried)
    }
    if not candidates:
        return None
    if prompt is not None:
        ranked = predictions(tables, now, list(candidates.values()), prompt)
        return candidates[ranked[0].name]
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


def considered(
    tables: gateway_tables.GatewayTables,
    now: float,
    usable: list[fleet.UpstreamStatus],
    tried: set[str],
) -> list[fleet.UpstreamStatus]:
    """Return the upstreams to choose from: those that do not keep failing, if any."""
    untried = [upstream for upstream in usable if upstream.upstream not in tried]
    available = [
        upstream
        for upstream in untried
        if health(tables, upstream.upstream).paused_until_s <= now
    ]
    return available or untried


def predictions(
    tables: gateway_tables.GatewayTables,
    now: float,
    candidates: list[fleet.UpstreamStatus],
    prompt: choice.Prompt | None,
) -> list[choice.Prediction]:
    """Return when each would answer; engines in the order in which they are chosen.

    Of these, only the first in the order of the prompt are considered, unless control
    has told no pace: then all are, by the requests of this host.
    """
    if prompt is not None:
        return _engine_predictions(tables, now, candidates, prompt)
    return [
        choice.Prediction(each.upstream, _predicted_s(tables, now, each)[0], 0)
        for each in candidates
    ]


def _engine_predictions(
    tables: gateway_tables.GatewayTables,
    now: float,
    candidates: list[fleet.UpstreamStatus],
    prompt: choice.Prompt,
) -> list[choice.Prediction]:
    by_name = {upstream.upstream: upstream for upstream in candidates}
    engines = [
        _engine(tables, now, by_name[name])
        for name in choice.considered(prompt, by_name)
    ]
    predicted = choice.ranked(prompt, engines)
    if predicted:
        return predicted
    engines = [_engine(tables, now, each) for each in candidates]
    return [
        choice.Prediction(name, math.nan, prompt.tokens)
        for name in choice.ranked_by_requests(prompt, engines)
    ]


def prompt(head: dialect.RequestHead, results_zone: str = "") -> choice.Prompt:
    """Return a request's prompt; its key is the same for the same shared parts.

    ``results_zone`` has the large results of its stages.
    """
    shared = head.prompt[:-1] or head.prompt
    return choice.Prompt(
        key=",".join(part.part for part in shared) or head.request,
        tokens=cost.prompt_tokens(head),
        own_tokens=cost.own_tokens(head),
        memory_tokens=cost.memory_tokens(head),
        results_zone=results_zone,
    )


def begin_reading(
    tables: gateway_tables.GatewayTables,
    now: float,
    upstream: fleet.UpstreamStatus,
    head: dialect.RequestHead,
    usable: list[fleet.UpstreamStatus],
) -> outstanding.Reading:
    """Count a prompt that is sent to an engine, with what that will have to read."""
    sent = prompt(head)
    home = affinity.owner(sent.key, [each.upstream for each in usable])
    unread = sent.own_tokens if upstream.upstream == home else sent.tokens
    return outstanding.begin(tables.outstanding, now, upstream, head, unread)


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


def _engine(
    tables: gateway_tables.GatewayTables, now: float, upstream: fleet.UpstreamStatus
) -> choice.Candidate:
    """Return what is known of an engine."""
    known = tables.outstanding
    declared = None
    if tables.catalog is not None:
        declared = tables.catalog.services.get(upstream.service)
    capacity = None if declared is None else declared.engine
    return choice.Candidate(
        name=upstream.upstream,
        running=health(tables, upstream.upstream).running,
        unread_tokens=outstanding.unread(known, now, upstream),
        memory_tokens=outstanding.memory(known, now, upstream),
        capacity_tokens=0 if capacity is None else capacity.memory_tokens,
        pace_us=outstanding.pace_us(known, now, upstream),
        paused=_paused_elsewhere(tables, now, upstream),
        zone=upstream.zone,
    )


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
