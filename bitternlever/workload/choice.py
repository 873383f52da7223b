"""Which engine gets a prompt: the one that will probably answer it first.

The engine that requests with the same first parts are usually sent to has read those
already, so a prompt stays there unless another engine, which has to read it whole, is
predicted to answer clearly earlier. Hosts read the same totals: each prompt has an
order of its own, of which only the first few engines are considered, so that hosts do
not all choose one engine and few engines read the same prompt.

Load pattern: engines that differ in speed or slow down, prompts that differ in length
by a hundred times, hot prompt parts, and 50 to 200 hosts that each send an engine less
than a request a second. All functions are pure.
"""

import dataclasses
import statistics
from collections.abc import Iterable, Sequence

from bitternlever.routing import affinity

NEAR_SHARE = 0.25
NEAR_S = 0.05
"""Predictions within this part of the earliest, and this time, count as equal."""

ENGINES_OF_A_PROMPT = 4
"""More would each read the prompt again; of these hardly ever all are slow."""

READ_AGAIN_FACTOR = 3.0
"""What is read again also delays all other requests at that engine."""

MEMORY_SHARE = 0.9
"""Beyond this part of an engine's memory, requests wait or displace others."""

MEMORY_WAIT_S = 1.0
"""About the time until a running request ends and frees its memory."""

CROSS_ZONE_S = 0.25
"""Wait that is borne to keep large results of stages within their zone."""

PAUSED_WAIT_S = 2.0
"""An engine that asked some host for a pause will probably refuse others, too."""

PAUSED_LOAD = affinity.LOAD_ALLOWANCE_REQUESTS + 1.0
"""Added to the requests of such an engine while no pace is known.

Above the allowance, so that its prompts move on all hosts to the same other engine,
which reads them once, instead of on each host after a refusal.
"""


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """An engine, and what is known of it.

    This host has ``running`` requests there. ``pace_us`` is None if it is not known.
    ``memory_tokens`` are occupied, of ``capacity_tokens``; a capacity of 0 is unknown.
    ``paused`` is set if it asked some other host for a pause.
    """

    name: str
    running: int
    unread_tokens: float
    memory_tokens: float
    capacity_tokens: int
    pace_us: float | None
    paused: bool = False
    zone: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Prompt:
    """A prompt: what engines remember it by, its tokens, and those of its own part.

    Large results that the engine reads besides are in ``results_zone``, if there are.
    """

    key: str
    tokens: int
    own_tokens: int
    memory_tokens: int
    results_zone: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Prediction:
    """When an engine is predicted to begin its answer, and what it has to read."""

    name: str
    first_event_s: float
    unread_tokens: int


def considered(prompt: Prompt, names: Iterable[str]) -> list[str]:
    """Return the first engines in the order of a prompt, its home first."""
    return affinity.ranked(prompt.key, names)[:ENGINES_OF_A_PROMPT]


def ranked(prompt: Prompt, candidates: Sequence[Candidate]) -> list[Prediction]:
    """Return the predictions for the engines considered, the one to choose first.

    ``candidates`` are in the order of :func:`considered`. Without any pace, which
    control tells, there are no predictions.
    """
    known = [each.pace_us for each in candidates if each.pace_us is not None]
    if not known:
        return []
    typical_us = statistics.median(known)
    predictions = [
        _predict(prompt, each, typical_us, is_home=each is candidates[0])
        for each in candidates
    ]
    earliest_s = min(each.first_event_s for each in predictions)
    bound_s = earliest_s * (1.0 + NEAR_SHARE) + NEAR_S
    return sorted(predictions, key=lambda each: each.first_event_s > bound_s)


def ranked_by_requests(prompt: Prompt, candidates: Sequence[Candidate]) -> list[str]:
    """Return all engines in the order of a prompt, within a bound on own requests."""
    loads = {each.name: each.running + PAUSED_LOAD * each.paused for each in candidates}
    return affinity.ranked_within_load_bound(prompt.key, loads)


def _predict(
    prompt: Prompt, candidate: Candidate, typical_us: float, *, is_home: bool
) -> Prediction:
    pace_s = (candidate.pace_us or typical_us) / 1e6
    own = prompt.own_tokens if is_home else prompt.tokens
    again = own - prompt.own_tokens
    waited = candidate.unread_tokens + prompt.own_tokens + READ_AGAIN_FACTOR * again
    first_event_s = waited * pace_s
    if _overfills(prompt, candidate):
        first_event_s += MEMORY_WAIT_S
    if prompt.results_zone not in ("", candidate.zone):
        first_event_s += CROSS_ZONE_S
    if candidate.paused:
        first_event_s += PAUSED_WAIT_S
    return Prediction(candidate.name, first_event_s, own)


def _overfills(prompt: Prompt, candidate: Candidate) -> bool:
    if candidate.capacity_tokens <= 0:
        return False
    needed = candidate.memory_tokens + prompt.memory_tokens
    return needed > MEMORY_SHARE * candidate.capacity_tokens
