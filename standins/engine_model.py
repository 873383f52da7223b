"""A model of a continuously batching engine, driven by any clock.

Running jobs share steps: a step takes longer with each decoding job and with the
prompt tokens prefilled in it. Between two events all rates are constant, so the
model advances from event to event. Prompts are prefilled one at a time, the most
urgent first; an LRU cache keeps prompt prefixes.
"""

import collections
import dataclasses

EPSILON = 1e-9


@dataclasses.dataclass(slots=True, frozen=True)
class EngineSettings:
    """The speed and the limits of an engine; times in seconds."""

    maximum_running: int = 8
    maximum_waiting: int = 64
    step_s: float = 0.006
    step_per_job_s: float = 0.000_5
    prefill_s_per_token: float = 0.000_04
    prefill_tokens_per_step: int = 256
    cached_prefixes: int = 32


@dataclasses.dataclass(slots=True)
class Job:
    """One stage call on the engine; progress is counted in tokens.

    The first ``prefix_tokens`` of the prompt are shared by all jobs with the same
    ``prefix``.
    """

    name: str
    prompt_tokens: int
    output_tokens: int
    priority: int = 1
    prefix: str = ""
    prefix_tokens: int = 0
    arrived_s: float = 0.0
    cached_tokens: int = 0
    tokens_to_prefill: float = 0.0
    produced_tokens: float = 0.0
    busy_s: float = 0.0
    awaits_first_token: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class FirstToken:
    """A job's prompt has been prefilled and its output begins."""

    name: str
    at_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Finished:
    """A job has produced its complete output."""

    name: str
    at_s: float
    job: Job


@dataclasses.dataclass(slots=True, frozen=True)
class CacheChange:
    """A prefix was added to the cache or evicted; numbers are consecutive."""

    number: int
    prefix: str
    stored: bool


@dataclasses.dataclass(slots=True)
class Engine:
    """An engine's jobs and cache at ``now_s``; ``slowdown`` multiplies step times."""

    settings: EngineSettings
    now_s: float = 0.0
    slowdown: float = 1.0
    running: dict[str, Job] = dataclasses.field(default_factory=dict)
    waiting: dict[str, Job] = dataclasses.field(default_factory=dict)
    cache: collections.OrderedDict[str, int] = dataclasses.field(
        default_factory=collections.OrderedDict,
    )
    changes: list[CacheChange] = dataclasses.field(default_factory=list)
    next_change: int = 1
    busy_s: float = 0.0


def create(settings: EngineSettings, now: float = 0.0) -> Engine:
    """Return an idle engine."""
    return Engine(settings=settings, now_s=now)


def submit(engine: Engine, now: float, job: Job) -> bool:
    """Queue a job; return False if too many are waiting. Advance the engine first."""
    if len(engine.waiting) >= engine.settings.maximum_waiting:
        return False
    job.arrived_s = now
    engine.waiting[job.name] = job
    _start_waiting_jobs(engine)
    return True


def cancel(engine: Engine, now: float, name: str) -> Job | None:
    """Remove a job and return it with its progress. Advance the engine first."""
    job = engine.waiting.pop(name, None) or engine.running.pop(name, None)
    _start_waiting_jobs(engine)
    return job


def advance(engine: Engine, now: float) -> list[FirstToken | Finished]:
    """Advance the engine to ``now`` and return the events in order."""
    events = []
    while engine.running:
        elapsed_s = _time_to_next_event_s(engine)
        if engine.now_s + elapsed_s > now + EPSILON:
            break
        _elapse(engine, elapsed_s)
        _collect_events(engine, events)
    if now > engine.now_s:
        _elapse(engine, now - engine.now_s)
    return events


def next_event_s(engine: Engine) -> float | None:
    """Return when the next event is due if no job is added or removed."""
    if not engine.running:
        return None
    return engine.now_s + _time_to_next_event_s(engine)


def step_s(engine: Engine) -> float:
    """Return the current duration of a step."""
    settings = engine.settings
    decoding = sum(job.tokens_to_prefill <= 0 for job in engine.running.values())
    duration_s = settings.step_s + decoding * settings.step_per_job_s
    if decoding < len(engine.running):
        tokens = settings.prefill_tokens_per_step
        duration_s += tokens * settings.prefill_s_per_token
    return duration_s * engine.slowdown


def take_changes(engine: Engine) -> list[CacheChange]:
    """Return the cache changes since the last call."""
    changes = engine.changes
    engine.changes = []
    return changes


def _start_waiting_jobs(engine: Engine) -> None:
    while engine.waiting and len(engine.running) < engine.settings.maximum_running:
        job = min(
            engine.waiting.values(),
            key=lambda waiting: (waiting.priority, waiting.arrived_s, waiting.name),
        )
        del engine.waiting[job.name]
        _start_job(engine, job)


def _start_job(engine: Engine, job: Job) -> None:
    job.cached_tokens = min(engine.cache.get(job.prefix, 0), job.prompt_tokens)
    job.tokens_to_prefill = max(1.0, float(job.prompt_tokens - job.cached_tokens))
    job.awaits_first_token = True
    engine.running[job.name] = job


def _prefilling_job(engine: Engine) -> Job | None:
    """Return the job whose prompt is being prefilled."""
    jobs = [job for job in engine.running.values() if job.tokens_to_prefill > 0]
    if not jobs:
        return None
    return min(jobs, key=lambda job: (job.priority, job.arrived_s, job.name))


def _time_to_next_event_s(engine: Engine) -> float:
    duration_s = step_s(engine)
    times_s = []
    prefilling = _prefilling_job(engine)
    if prefilling is not None:
        steps = prefilling.tokens_to_prefill / engine.settings.prefill_tokens_per_step
        times_s.append(steps * duration_s)
    times_s.extend(
        (job.output_tokens - job.produced_tokens) * duration_s
        for job in engine.running.values()
        if job.tokens_to_prefill <= 0
    )
    return max(0.0, min(times_s))


def _elapse(engine: Engine, elapsed_s: float) -> None:
    engine.now_s += elapsed_s
    if not engine.running:
        return
    engine.busy_s += elapsed_s
    steps = elapsed_s / step_s(engine)
    prefilling = _prefilling_job(engine)
    share_s = elapsed_s / len(engine.running)
    for job in engine.running.values():
        job.busy_s += share_s
        if job.tokens_to_prefill <= 0:
            job.produced_tokens += steps
    if prefilling is not None:
        prefilling.tokens_to_prefill -= steps * engine.settings.prefill_tokens_per_step
        if prefilling.tokens_to_prefill < EPSILON:
            prefilling.tokens_to_prefill = 0.0


def _collect_events(engine: Engine, events: list[FirstToken | Finished]) -> None:
    for job in list(engine.running.values()):
        if job.tokens_to_prefill > 0:
            continue
        if job.awaits_first_token:
            job.awaits_first_token = False
            _cache_prefix(engine, job)
            events.append(FirstToken(name=job.name, at_s=engine.now_s))
        if job.output_tokens - job.produced_tokens <= 1e-6:
            job.produced_tokens = float(job.output_tokens)
            del engine.running[job.name]
            events.append(Finished(name=job.name, at_s=engine.now_s, job=job))
    _start_waiting_jobs(engine)


def _cache_prefix(engine: Engine, job: Job) -> None:
    if not job.prefix:
        return
    if job.prefix not in engine.cache:
        _add_change(engine, job.prefix, stored=True)
    engine.cache[job.prefix] = job.prefix_tokens
    engine.cache.move_to_end(job.prefix)
    while len(engine.cache) > engine.settings.cached_prefixes:
        prefix, _ = engine.cache.popitem(last=False)
        _add_change(engine, prefix, stored=False)


def _add_change(engine: Engine, prefix: str, stored: bool) -> None:
    change = CacheChange(number=engine.next_change, prefix=prefix, stored=stored)
    engine.changes.append(change)
    engine.next_change += 1
