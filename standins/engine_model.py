"""A model of a continuously batching engine, under any clock.

Running jobs share steps: a step takes longer with each decoding job and with the
prompt tokens prefilled in it. Between two events all rates are constant, so the
model advances from event to event. Prompts are prefilled one at a time, the most
urgent first; a bounded cache keeps the prefixes used last.
"""

import collections
import dataclasses

EPSILON = 1e-9


@dataclasses.dataclass(slots=True, frozen=True)
class EngineSettings:
    """The speed and the bounds of an engine; ``slowdown`` makes a straggler."""

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

    ``prefix_tokens`` of the prompt are shared by all jobs of the same ``prefix``.
    """

    name: str
    prompt_tokens: int
    output_tokens: int
    priority: int = 1
    prefix: str = ""
    prefix_tokens: int = 0
    arrived_s: float = 0.0
    cached_tokens: int = 0
    to_prefill: float = 0.0
    produced: float = 0.0
    busy_s: float = 0.0
    started: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class FirstToken:
    """A job's prompt is prefilled; its output begins."""

    name: str
    at_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Finished:
    """A job has produced its whole output."""

    name: str
    at_s: float
    job: Job


@dataclasses.dataclass(slots=True, frozen=True)
class CacheChange:
    """A prefix entered or left the cache; numbers have no gaps."""

    number: int
    prefix: str
    stored: bool


@dataclasses.dataclass(slots=True)
class Engine:
    """An engine's jobs and cache at ``now_s``; ``slowdown`` stretches its steps."""

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
    """Make an idle engine."""
    return Engine(settings=settings, now_s=now)


def submit(engine: Engine, now: float, job: Job) -> bool:
    """Queue a job; ``False`` where too many wait. Advance the engine first."""
    if len(engine.waiting) >= engine.settings.maximum_waiting:
        return False
    job.arrived_s = now
    engine.waiting[job.name] = job
    _fill(engine)
    return True


def cancel(engine: Engine, now: float, name: str) -> Job | None:
    """Drop a job and return it as far as it came. Advance the engine first."""
    job = engine.waiting.pop(name, None) or engine.running.pop(name, None)
    _fill(engine)
    return job


def advance(engine: Engine, now: float) -> list[FirstToken | Finished]:
    """Let time pass until ``now`` and return what happened, in order."""
    happened = []
    while engine.running:
        span_s = _until_next(engine)
        if engine.now_s + span_s > now + EPSILON:
            break
        _pass(engine, span_s)
        _settle(engine, happened)
    if now > engine.now_s:
        _pass(engine, now - engine.now_s)
    return happened


def next_event_s(engine: Engine) -> float | None:
    """Return when the next job begins its output or ends, if nothing changes."""
    if not engine.running:
        return None
    return engine.now_s + _until_next(engine)


def step_s(engine: Engine) -> float:
    """Return how long a step takes now."""
    settings = engine.settings
    decoding = sum(job.to_prefill <= 0 for job in engine.running.values())
    duration_s = settings.step_s + decoding * settings.step_per_job_s
    if decoding < len(engine.running):
        tokens = settings.prefill_tokens_per_step
        duration_s += tokens * settings.prefill_s_per_token
    return duration_s * engine.slowdown


def take_changes(engine: Engine) -> list[CacheChange]:
    """Return the changes of the cache since the last call."""
    changes = engine.changes
    engine.changes = []
    return changes


def _fill(engine: Engine) -> None:
    while engine.waiting and len(engine.running) < engine.settings.maximum_running:
        job = min(
            engine.waiting.values(),
            key=lambda each: (each.priority, each.arrived_s, each.name),
        )
        del engine.waiting[job.name]
        _start(engine, job)


def _start(engine: Engine, job: Job) -> None:
    job.cached_tokens = min(engine.cache.get(job.prefix, 0), job.prompt_tokens)
    job.to_prefill = max(1.0, float(job.prompt_tokens - job.cached_tokens))
    job.started = True
    engine.running[job.name] = job


def _prefilling(engine: Engine) -> Job | None:
    """Return the one job whose prompt is being prefilled."""
    jobs = [job for job in engine.running.values() if job.to_prefill > 0]
    if not jobs:
        return None
    return min(jobs, key=lambda each: (each.priority, each.arrived_s, each.name))


def _until_next(engine: Engine) -> float:
    duration_s = step_s(engine)
    spans = []
    prefilling = _prefilling(engine)
    if prefilling is not None:
        steps = prefilling.to_prefill / engine.settings.prefill_tokens_per_step
        spans.append(steps * duration_s)
    spans.extend(
        (job.output_tokens - job.produced) * duration_s
        for job in engine.running.values()
        if job.to_prefill <= 0
    )
    return max(0.0, min(spans))


def _pass(engine: Engine, span_s: float) -> None:
    engine.now_s += span_s
    if not engine.running:
        return
    engine.busy_s += span_s
    steps = span_s / step_s(engine)
    prefilling = _prefilling(engine)
    share_s = span_s / len(engine.running)
    for job in engine.running.values():
        job.busy_s += share_s
        if job.to_prefill <= 0:
            job.produced += steps
    if prefilling is not None:
        prefilling.to_prefill -= steps * engine.settings.prefill_tokens_per_step
        if prefilling.to_prefill < EPSILON:
            prefilling.to_prefill = 0.0


def _settle(engine: Engine, happened: list[FirstToken | Finished]) -> None:
    for job in list(engine.running.values()):
        if job.to_prefill > 0:
            continue
        if job.started:
            job.started = False
            _store(engine, job)
            happened.append(FirstToken(name=job.name, at_s=engine.now_s))
        if job.output_tokens - job.produced <= 1e-6:
            job.produced = float(job.output_tokens)
            del engine.running[job.name]
            happened.append(Finished(name=job.name, at_s=engine.now_s, job=job))
    _fill(engine)


def _store(engine: Engine, job: Job) -> None:
    if not job.prefix:
        return
    if job.prefix not in engine.cache:
        _change(engine, job.prefix, stored=True)
    engine.cache[job.prefix] = job.prefix_tokens
    engine.cache.move_to_end(job.prefix)
    while len(engine.cache) > engine.settings.cached_prefixes:
        prefix, _ = engine.cache.popitem(last=False)
        _change(engine, prefix, stored=False)


def _change(engine: Engine, prefix: str, stored: bool) -> None:
    change = CacheChange(number=engine.next_change, prefix=prefix, stored=stored)
    engine.changes.append(change)
    engine.next_change += 1
