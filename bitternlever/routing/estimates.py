"""Estimates of the duration of a stage on an upstream, learnt from ended attempts.

Work is counted in units: an output token for a generation, a whole call otherwise. The
time of a unit is learnt per kind of work, the latency ratio to it per upstream.
"""

from bitternlever.entry import tables as entry_tables
from bitternlever.messages import manifest, upstream as upstream_messages
from bitternlever.pipelines import tables as pipeline_tables
from bitternlever.routing import tables as routing_tables

PROMPT_TOKEN_UNITS = 0.006
SLOWDOWN_PER_CONCURRENT_CALL = 0.08
BUSY_CONCURRENCY = 8.0
FIRST_BYTE_UNITS = 4.0
INITIAL_TOKEN_S = 0.01
INITIAL_CALL_S = 0.02
UNIT_TIME_EWMA_WEIGHT = 0.05
WARM_UP_SAMPLES = 10
LATENCY_RATIO_EWMA_WEIGHT = 0.2
OUTPUT_TOKENS_EWMA_WEIGHT = 0.05
CACHED_SHARE_EWMA_WEIGHT = 0.05
MAXIMUM_LATENCY_RATIO = 20.0
MAXIMUM_UPDATE_RATIO = 2.0
MINIMUM_LATENCY_RATIO = 0.1
DEFAULT_OUTPUT_TOKENS = 64
CHARACTERS_PER_TOKEN = 4


def units(
    tables: entry_tables.EntryTables,
    ready: pipeline_tables.ReadyStage,
    cached: bool = False,
) -> float:
    """Return the expected units of work in a ready stage."""
    if ready.stage.task is not manifest.Task.GENERATE:
        return 1.0
    resumed = len(ready.resume_output) // CHARACTERS_PER_TOKEN
    expected = expected_output(tables, ready.kind, ready.stage)
    prompt = float(ready.prompt_tokens)
    if cached:
        prompt *= 1.0 - tables.routing.cached_share
    remaining = max(expected - resumed, expected * 0.1, 1.0)
    return (prompt + resumed) * PROMPT_TOKEN_UNITS + remaining


def expected_output(
    tables: entry_tables.EntryTables, kind: str, stage: manifest.Stage
) -> float:
    """Return the expected output tokens of a generating stage of this kind."""
    mean_tokens = tables.routing.mean_output_tokens.get((kind, stage.name))
    if mean_tokens is not None:
        return mean_tokens
    return (stage.maximum_output_tokens or DEFAULT_OUTPUT_TOKENS) / 2


def unit_s(tables: entry_tables.EntryTables, stage: manifest.Stage) -> float:
    """Return the seconds per unit on an idle upstream of normal speed."""
    return _cost_model(tables, stage).unit_s


def busy_service_s(
    tables: entry_tables.EntryTables, ready: pipeline_tables.ReadyStage
) -> float:
    """Return the expected seconds of a stage on a busy upstream."""
    return (
        units(tables, ready)
        * unit_s(tables, ready.stage)
        * sharing_slowdown(BUSY_CONCURRENCY)
    )


def first_byte_s(
    tables: entry_tables.EntryTables, attempt: pipeline_tables.Attempt
) -> float:
    """Return the expected seconds to the first byte of a stream on a busy upstream."""
    prompt = attempt.prompt_tokens + attempt.resume_length // CHARACTERS_PER_TOKEN
    units_before = FIRST_BYTE_UNITS + prompt * PROMPT_TOKEN_UNITS
    return (
        units_before
        * unit_s(tables, attempt.stage)
        * sharing_slowdown(BUSY_CONCURRENCY)
    )


def sharing_slowdown(running: float) -> float:
    """Return the slowdown of an upstream that runs this many calls at once."""
    return 1.0 + SLOWDOWN_PER_CONCURRENT_CALL * max(0.0, running - 1.0)


def learn(
    tables: entry_tables.EntryTables,
    now: float,
    attempt: pipeline_tables.Attempt,
    usage: upstream_messages.Usage,
    running: float,
) -> float:
    """Learn from an ended attempt; return the ratio of its duration to the expected."""
    model = _cost_model(tables, attempt.stage)
    completed = _completed_units(attempt, usage) * sharing_slowdown(running)
    duration_s = max(now - attempt.started_s, 1e-6)
    ratio = duration_s / (completed * model.unit_s)
    model.samples += 1
    weight = max(UNIT_TIME_EWMA_WEIGHT, 1.0 / model.samples)
    if model.samples > WARM_UP_SAMPLES:
        ratio = min(max(ratio, MINIMUM_LATENCY_RATIO), MAXIMUM_LATENCY_RATIO)
        median_ratio = tables.routing.median_ratios.get(attempt.stage.pool, 1.0)
        bound = max(MAXIMUM_UPDATE_RATIO, median_ratio * MAXIMUM_UPDATE_RATIO)
        model.unit_s *= 1.0 + weight * (min(ratio, bound) - 1.0)
    else:
        model.unit_s *= 1.0 + weight * (ratio - 1.0)
    return ratio


def learn_output(
    tables: entry_tables.EntryTables, kind: str, stage: manifest.Stage, tokens: int
) -> None:
    """Learn the output tokens of a stage of this kind."""
    mean_tokens = expected_output(tables, kind, stage)
    key = (kind, stage.name)
    tables.routing.mean_output_tokens[key] = mean_tokens + OUTPUT_TOKENS_EWMA_WEIGHT * (
        tokens - mean_tokens
    )


def _cost_model(
    tables: entry_tables.EntryTables, stage: manifest.Stage
) -> routing_tables.CostModel:
    key = (stage.pool, stage.task.value, stage.model)
    model = tables.routing.cost_models.get(key)
    if model is None:
        generates = stage.task is manifest.Task.GENERATE
        model = routing_tables.CostModel(
            INITIAL_TOKEN_S if generates else INITIAL_CALL_S
        )
        tables.routing.cost_models[key] = model
    return model


def _completed_units(
    attempt: pipeline_tables.Attempt,
    usage: upstream_messages.Usage,
) -> float:
    if attempt.stage.task is not manifest.Task.GENERATE:
        return 1.0
    prompt = max(
        0, (usage.prompt_tokens or attempt.prompt_tokens) - usage.cached_tokens
    )
    output_tokens = (
        len(attempt.output) - attempt.resume_length
    ) // CHARACTERS_PER_TOKEN
    output = usage.output_tokens or max(output_tokens, 1)
    return prompt * PROMPT_TOKEN_UNITS + output
