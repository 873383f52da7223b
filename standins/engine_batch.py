"""The batch of a simulated engine: advances it in real time and wakes its calls."""

import asyncio
import dataclasses
import random
import time

from bitternlever.messages import upstream
from standins import engine_model, faults, settings as standin_settings

CHARACTERS_PER_TOKEN = 4
REPORT_LAG_S = 1.0
CACHE_EVENT_LAG_S = 1.5
CACHE_EVENT_LOSS = 0.1
MAXIMUM_DELAYED_EVENTS = 1_000
MAXIMUM_KEPT_KV = 64
WORD_TOLERANCE = 1e-6


@dataclasses.dataclass(slots=True)
class Generation:
    """The text of one call.

    ``words`` is the complete text, of which the caller already has the first
    ``resumed_words``. ``changed`` wakes the call.
    """

    words: list[str]
    resumed_words: int
    job: engine_model.Job
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def text(self) -> str:
        """Return the complete text."""
        return "".join(self.words)

    @property
    def ready_words(self) -> int:
        """Return how many words are available, including the resumed ones."""
        return min(
            self.resumed_words + int(self.job.produced_tokens + WORD_TOLERANCE),
            len(self.words),
        )


@dataclasses.dataclass(slots=True)
class Batch:
    """The engine model, its generations, and delayed load reports and cache events."""

    model: engine_model.Engine
    faults: faults.FaultState
    random: random.Random
    generations: dict[str, Generation] = dataclasses.field(default_factory=dict)
    kept_kv: dict[str, int] = dataclasses.field(default_factory=dict)
    reports: list[tuple[float, upstream.LoadReport]] = dataclasses.field(
        default_factory=list,
    )
    delayed_events: list[tuple[float, upstream.CacheEvent]] = dataclasses.field(
        default_factory=list,
    )
    submitted: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


def create(
    settings: standin_settings.Settings,
    fault_state: faults.FaultState,
) -> Batch:
    """Return a simulated batch without running calls."""
    model_settings = engine_model.EngineSettings(
        maximum_running=settings.concurrency,
        step_s=settings.step_ms / 1_000,
        cached_prefixes=settings.cache_prefixes,
    )
    return Batch(
        model=engine_model.create(model_settings, now=time.monotonic()),
        faults=fault_state,
        random=random.Random(settings.seed),
    )


def submit(
    batch: Batch,
    call: upstream.StageCall,
    words: list[str],
    resumed_words: int,
    prompt: bytes,
) -> Generation | None:
    """Queue a call for the batch; return None if too many are waiting."""
    now = time.monotonic()
    advance(batch, now)
    prompt_tokens = len(prompt) // CHARACTERS_PER_TOKEN + resumed_words + 1
    kept = batch.kept_kv.pop(call.binding.request, 0)
    job = engine_model.Job(
        name=call.binding.attempt,
        prompt_tokens=max(1, prompt_tokens - kept),
        output_tokens=len(words) - resumed_words,
        priority=call.priority,
        prefix=call.prefix,
        prefix_tokens=prompt_tokens // 2,
    )
    if not engine_model.submit(batch.model, now, job):
        return None
    generation = Generation(words=words, resumed_words=resumed_words, job=job)
    batch.generations[job.name] = generation
    batch.submitted.set()
    return generation


def remove(batch: Batch, call: upstream.StageCall, generation: Generation) -> None:
    """Remove a call from the batch; keep the KV cache of an unfinished one."""
    batch.generations.pop(call.binding.attempt, None)
    now = time.monotonic()
    advance(batch, now)
    job = engine_model.cancel(batch.model, now, call.binding.attempt)
    if job is not None and job.produced_tokens > 0:
        keep_kv(
            batch, call.binding.request, job.prompt_tokens + int(job.produced_tokens)
        )


def keep_kv(batch: Batch, request_id: str, tokens: int) -> None:
    """Keep the KV cache of a request that may be resumed; evict the oldest if full."""
    batch.kept_kv.pop(request_id, None)
    batch.kept_kv[request_id] = tokens
    while len(batch.kept_kv) > MAXIMUM_KEPT_KV:
        del batch.kept_kv[next(iter(batch.kept_kv))]


async def run(batch: Batch) -> None:
    """Advance the batch step by step while it has work."""
    while True:
        if not batch.model.running:
            batch.submitted.clear()
            await batch.submitted.wait()
        batch.model.slowdown = faults.slowdown(batch.faults)
        await asyncio.sleep(engine_model.step_s(batch.model))
        advance(batch, time.monotonic())


def advance(batch: Batch, now: float) -> None:
    """Advance the model to ``now`` and wake every call."""
    engine_model.advance(batch.model, now)
    for change in engine_model.take_changes(batch.model):
        _queue_cache_event(batch, now, change)
    for generation in batch.generations.values():
        generation.changed.set()


def _queue_cache_event(
    batch: Batch,
    now: float,
    change: engine_model.CacheChange,
) -> None:
    """Queue a cache event for delayed delivery; drop some, which leaves gaps."""
    if batch.random.random() < CACHE_EVENT_LOSS:
        return
    if len(batch.delayed_events) >= MAXIMUM_DELAYED_EVENTS:
        return
    event = upstream.CacheEvent(
        number=change.number,
        prefix=change.prefix,
        stored=change.stored,
    )
    batch.delayed_events.append((now + CACHE_EVENT_LAG_S, event))


def cache_events(batch: Batch, now: float, maximum: int) -> list[upstream.CacheEvent]:
    """Remove and return the cache events that are due, at most ``maximum``."""
    due = [event for due_s, event in batch.delayed_events[:maximum] if due_s <= now]
    del batch.delayed_events[: len(due)]
    return due


def report(batch: Batch, now: float) -> upstream.LoadReport:
    """Return the load as it was ``REPORT_LAG_S`` ago, with its age."""
    batch.reports.append((now, _load(batch)))
    while len(batch.reports) > 1 and batch.reports[1][0] <= now - REPORT_LAG_S:
        del batch.reports[0]
    sampled_s, oldest = batch.reports[0]
    oldest.age_s = now - sampled_s
    return oldest


def _load(batch: Batch) -> upstream.LoadReport:
    return upstream.LoadReport(
        running=len(batch.model.running),
        waiting=len(batch.model.waiting),
        step_ms=engine_model.step_s(batch.model) * 1_000,
        cached_prefixes=len(batch.model.cache),
    )
