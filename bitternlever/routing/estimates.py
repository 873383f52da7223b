"""How long a stage takes on an upstream, learnt from ended attempts.

Work is counted in units: an output token of a generation, a whole call elsewhere.
A unit's time is learnt by kind of work, an upstream's pace against it by upstream.
"""

from bitternlever.entry import tables as entry_tables
from bitternlever.messages import manifest, upstream as upstream_messages
from bitternlever.pipelines import tables as pipeline_tables
from bitternlever.routing import tables as routing_tables

PROMPT_TOKEN_UNITS = 0.006
SHARING_COST = 0.08
BUSY_CALLS = 8.0
FIRST_BYTE_UNITS = 4.0
FIRST_TOKEN_S = 0.01
FIRST_CALL_S = 0.02
MODEL_WEIGHT = 0.05
FIRST_SAMPLES = 10
PACE_WEIGHT = 0.2
OUTPUT_WEIGHT = 0.05
CACHED_WEIGHT = 0.05
SLOWEST_PACE = 20.0
HIGHEST_RATIO = 2.0
FASTEST_PACE = 0.1
DEFAULT_OUTPUT_TOKENS = 64
CHARACTERS_PER_TOKEN = 4


def units(
    tables: entry_tables.EntryTables,
    ready: pipeline_tables.ReadyStage,
    cached: bool = False,
) -> float:
    """Return the units of work in a waiting stage."""
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
    """Return the tokens that a generating stage of this kind usually brings."""
    known = tables.routing.outputs.get((kind, stage.name))
    if known is not None:
        return known
    return (stage.maximum_output_tokens or DEFAULT_OUTPUT_TOKENS) / 2


def unit_s(tables: entry_tables.EntryTables, stage: manifest.Stage) -> float:
    """Return the seconds of one unit on an idle upstream of usual pace."""
    return _model(tables, stage).unit_s


def busy_service_s(
    tables: entry_tables.EntryTables, ready: pipeline_tables.ReadyStage
) -> float:
    """Return how long a stage usually takes on a busy upstream."""
    return units(tables, ready) * unit_s(tables, ready.stage) * sharing(BUSY_CALLS)


def first_byte_s(
    tables: entry_tables.EntryTables, attempt: pipeline_tables.Attempt
) -> float:
    """Return when a streamed attempt's output usually begins on a busy upstream."""
    prompt = attempt.prompt_tokens + attempt.resume_length // CHARACTERS_PER_TOKEN
    units_before = FIRST_BYTE_UNITS + prompt * PROMPT_TOKEN_UNITS
    return units_before * unit_s(tables, attempt.stage) * sharing(BUSY_CALLS)


def sharing(running: float) -> float:
    """Return how much longer a step takes with this many calls at once."""
    return 1.0 + SHARING_COST * max(0.0, running - 1.0)


def learn(
    tables: entry_tables.EntryTables,
    now: float,
    attempt: pipeline_tables.Attempt,
    usage: upstream_messages.Usage,
    running: float,
) -> float:
    """Learn from an ended attempt; return its time over the expected one."""
    model = _model(tables, attempt.stage)
    done = _done_units(attempt, usage) * sharing(running)
    duration_s = max(now - attempt.started_s, 1e-6)
    ratio = duration_s / (done * model.unit_s)
    model.samples += 1
    weight = max(MODEL_WEIGHT, 1.0 / model.samples)
    if model.samples > FIRST_SAMPLES:
        ratio = min(max(ratio, FASTEST_PACE), SLOWEST_PACE)
        middle = tables.routing.middles.get(attempt.stage.pool, 1.0)
        bound = max(HIGHEST_RATIO, middle * HIGHEST_RATIO)
        model.unit_s *= 1.0 + weight * (min(ratio, bound) - 1.0)
    else:
        model.unit_s *= 1.0 + weight * (ratio - 1.0)
    return ratio


def learn_output(
    tables: entry_tables.EntryTables, kind: str, stage: manifest.Stage, tokens: int
) -> None:
    """Learn how many tokens a stage of this kind brings."""
    known = expected_output(tables, kind, stage)
    key = (kind, stage.name)
    tables.routing.outputs[key] = known + OUTPUT_WEIGHT * (tokens - known)


def _model(
    tables: entry_tables.EntryTables, stage: manifest.Stage
) -> routing_tables.PoolModel:
    key = (stage.pool, stage.task.value, stage.model)
    model = tables.routing.models.get(key)
    if model is None:
        generates = stage.task is manifest.Task.GENERATE
        model = routing_tables.PoolModel(FIRST_TOKEN_S if generates else FIRST_CALL_S)
        tables.routing.models[key] = model
    return model


def _done_units(
    attempt: pipeline_tables.Attempt,
    usage: upstream_messages.Usage,
) -> float:
    if attempt.stage.task is not manifest.Task.GENERATE:
        return 1.0
    prompt = max(
        0, (usage.prompt_tokens or attempt.prompt_tokens) - usage.cached_tokens
    )
    shown = (len(attempt.output) - attempt.resume_length) // CHARACTERS_PER_TOKEN
    output = usage.output_tokens or max(shown, 1)
    return prompt * PROMPT_TOKEN_UNITS + output
