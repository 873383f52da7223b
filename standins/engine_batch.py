"""The engine's batch in real time: the model's steps, and who waits for its words."""

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
MAXIMUM_LATE_EVENTS = 1_000
MAXIMUM_KEPT_KV = 64
ROUNDING = 1e-6


@dataclasses.dataclass(slots=True)
class Generation:
    """One call's text: all its words, those done before, and what wakes its call."""

    words: list[str]
    done: int
    job: engine_model.Job
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def text(self) -> str:
        """Return the whole text."""
        return "".join(self.words)

    @property
    def ready(self) -> int:
        """Return how many words the batch has produced, with those done before."""
        return min(self.done + int(self.job.produced + ROUNDING), len(self.words))


@dataclasses.dataclass(slots=True)
class Batch:
    """The model, the generations on it, and its late reports and cache events."""

    model: engine_model.Engine
    faults: faults.FaultState
    random: random.Random
    generations: dict[str, Generation] = dataclasses.field(default_factory=dict)
    kept_kv: dict[str, int] = dataclasses.field(default_factory=dict)
    reports: list[tuple[float, upstream.LoadReport]] = dataclasses.field(
        default_factory=list,
    )
    late_events: list[tuple[float, upstream.CacheEvent]] = dataclasses.field(
        default_factory=list,
    )
    submitted: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


def create(
    settings: standin_settings.Settings,
    state: faults.FaultState,
) -> Batch:
    """Make an idle batch."""
    model_settings = engine_model.EngineSettings(
        maximum_running=settings.concurrency,
        step_s=settings.step_ms / 1_000,
        cached_prefixes=settings.cache_prefixes,
    )
    return Batch(
        model=engine_model.create(model_settings, now=time.monotonic()),
        faults=state,
        random=random.Random(settings.seed),
    )


def submit(
    batch: Batch,
    call: upstream.StageCall,
    words: list[str],
    done: int,
    prompt: bytes,
) -> Generation | None:
    """Queue a call for the batch; None where too many wait."""
    now = time.monotonic()
    advance(batch, now)
    prompt_tokens = len(prompt) // CHARACTERS_PER_TOKEN + done + 1
    kept = batch.kept_kv.pop(call.binding.request, 0)
    job = engine_model.Job(
        name=call.binding.attempt,
        prompt_tokens=max(1, prompt_tokens - kept),
        output_tokens=len(words) - done,
        priority=call.priority,
        prefix=call.prefix,
        prefix_tokens=prompt_tokens // 2,
    )
    if not engine_model.submit(batch.model, now, job):
        return None
    generation = Generation(words=words, done=done, job=job)
    batch.generations[job.name] = generation
    batch.submitted.set()
    return generation


def withdraw(batch: Batch, call: upstream.StageCall, generation: Generation) -> None:
    """Take a call off the batch; the KV of one that was cut short is kept."""
    batch.generations.pop(call.binding.attempt, None)
    now = time.monotonic()
    advance(batch, now)
    left = engine_model.cancel(batch.model, now, call.binding.attempt)
    if left is not None and left.produced > 0:
        keep_kv(batch, call.binding.request, left.prompt_tokens + int(left.produced))


def keep_kv(batch: Batch, request_id: str, tokens: int) -> None:
    """Keep the KV of a request that may be resumed, the newest of a bounded few."""
    batch.kept_kv.pop(request_id, None)
    batch.kept_kv[request_id] = tokens
    while len(batch.kept_kv) > MAXIMUM_KEPT_KV:
        del batch.kept_kv[next(iter(batch.kept_kv))]


async def run(batch: Batch) -> None:
    """Step the batch while it has work; each step wakes the calls it served."""
    while True:
        if not batch.model.running:
            batch.submitted.clear()
            await batch.submitted.wait()
        batch.model.slowdown = faults.factor(batch.faults)
        await asyncio.sleep(engine_model.step_s(batch.model))
        advance(batch, time.monotonic())


def advance(batch: Batch, now: float) -> None:
    """Let the model reach the present and wake every call."""
    engine_model.advance(batch.model, now)
    for change in engine_model.take_changes(batch.model):
        _publish_late(batch, now, change)
    for generation in batch.generations.values():
        generation.changed.set()


def _publish_late(
    batch: Batch,
    now: float,
    change: engine_model.CacheChange,
) -> None:
    """Queue a cache event for later; some are lost, which leaves a gap."""
    if batch.random.random() < CACHE_EVENT_LOSS:
        return
    if len(batch.late_events) >= MAXIMUM_LATE_EVENTS:
        return
    event = upstream.CacheEvent(
        number=change.number,
        prefix=change.prefix,
        stored=change.stored,
    )
    batch.late_events.append((now + CACHE_EVENT_LAG_S, event))


def cache_events(batch: Batch, now: float, maximum: int) -> list[upstream.CacheEvent]:
    """Return the cache events that are due."""
    due = [event for at_s, event in batch.late_events[:maximum] if at_s <= now]
    del batch.late_events[: len(due)]
    return due


def report(batch: Batch, now: float) -> upstream.LoadReport:
    """Return the load as it was a second ago, with its age."""
    batch.reports.append((now, _load(batch)))
    while len(batch.reports) > 1 and batch.reports[1][0] <= now - REPORT_LAG_S:
        del batch.reports[0]
    at_s, oldest = batch.reports[0]
    oldest.age_s = now - at_s
    return oldest


def _load(batch: Batch) -> upstream.LoadReport:
    return upstream.LoadReport(
        running=len(batch.model.running),
        waiting=len(batch.model.waiting),
        step_ms=engine_model.step_s(batch.model) * 1_000,
        cached_prefixes=len(batch.model.cache),
    )
