"""Which upstream takes a request.

Load: an engine that has read a prompt's shared parts starts at once, so engines are
chosen by those parts within a bound on their load. Plain upstreams are alike until one
turns slow or fails part of its calls: the one with the least predicted delay takes the
request, and one that fails more often than its peers rests, doubling each time.
"""

from bitternlever.gateway import dialect, tables as gateway_tables
from bitternlever.messages import fleet
from bitternlever.routing import affinity

REST_S = 0.4
"""First pause of an upstream after failures; longer than a lost packet's resend."""

MAXIMUM_REST_S = 4.0
"""Below the time in which a restarted upstream should be used again."""

MAXIMUM_DOUBLINGS = 10
"""More change nothing, since the rest has its own bound."""

REST_AFTER_FAILURES = 2
"""One failure may be the request's own fault."""

LATENCY_WEIGHT = 0.2
"""Weight of the newest answer in an upstream's mean latency."""

MINIMUM_LATENCY_S = 0.005
"""Below this, differences of latency are those of single requests."""


def health(tables: gateway_tables.GatewayTables, name: str) -> gateway_tables.Health:
    """Return what is known of an upstream, empty for a new one."""
    held = tables.health.get(name)
    if held is None:
        held = gateway_tables.Health()
        tables.health[name] = held
    return held


def choose(
    tables: gateway_tables.GatewayTables,
    now: float,
    present: list[fleet.UpstreamWord],
    tried: set[str],
    prompt_key: str | None,
) -> fleet.UpstreamWord | None:
    """Return the upstream for a request, None where all were tried."""
    left = [word for word in present if word.upstream not in tried]
    awake = [word for word in left if health(tables, word.upstream).resume_s <= now]
    candidates = {word.upstream: word for word in awake or left}
    if not candidates:
        return None
    if prompt_key is not None:
        loads = {name: _engine_load(tables, name) for name in candidates}
        return candidates[affinity.bounded(prompt_key, loads)[0]]
    name = min(candidates, key=lambda each: _predicted_s(tables, candidates[each]))
    return candidates[name]


def prompt_key(head: dialect.RequestHead) -> str:
    """Return what requests with the same shared prompt parts have in common."""
    shared = head.prompt[:-1] or head.prompt
    return ",".join(part.part for part in shared) or head.request


def started(held: gateway_tables.Health, tokens: int) -> None:
    """Count a request that an upstream has got."""
    held.running += 1
    held.running_tokens += tokens


def ended(held: gateway_tables.Health, tokens: int) -> None:
    """Count the end of a request."""
    held.running -= 1
    held.running_tokens -= tokens


def succeeded(held: gateway_tables.Health, latency_s: float) -> None:
    """Take a good answer and the time to it."""
    held.failures = 0
    held.resume_s = 0.0
    if held.latency_s == 0.0:
        held.latency_s = latency_s
        return
    held.latency_s += LATENCY_WEIGHT * (latency_s - held.latency_s)


def failed(held: gateway_tables.Health, now: float) -> None:
    """Take a failure; several in a row give the upstream a rest."""
    held.failures += 1
    over = held.failures - REST_AFTER_FAILURES
    if over >= 0:
        held.resume_s = now + min(
            MAXIMUM_REST_S, REST_S * 2 ** min(over, MAXIMUM_DOUBLINGS)
        )


def _engine_load(tables: gateway_tables.GatewayTables, name: str) -> float:
    return float(health(tables, name).running)


def _predicted_s(
    tables: gateway_tables.GatewayTables,
    word: fleet.UpstreamWord,
) -> tuple[float, str]:
    held = health(tables, word.upstream)
    latency_s = max(MINIMUM_LATENCY_S, held.latency_s)
    queued = max(0, held.running + 1 - word.slots)
    delay_s = latency_s * (1 + held.running / max(1, word.slots) + queued)
    return delay_s * (1 + held.failures), word.upstream
