"""Check a manifest: its structure, its names and references, and its numbers."""

import msgspec
import result

from bitternlever.checks import messages, structure, values
from bitternlever.messages import manifest

MAXIMUM_BODY_BYTES = 1_048_576
MAXIMUM_NUMBER = 2**53 - 1
MAXIMUM_DEADLINE_MS = 3_600_000
MAXIMUM_TIMEOUT_MS = 600_000
MAXIMUM_PRIORITY = 9
MAXIMUM_OUTPUT_TOKENS = 1_000_000
MAXIMUM_WAITING = 100_000
MAXIMUM_WEIGHT = 1_000.0
MINIMUM_WEIGHT = 0.001
MAXIMUM_ENGINES = 10_000
MAXIMUM_WEIGHT_BYTES = 2**50
MAXIMUM_PREEMPTIONS = 100
MAXIMUM_LOADS_PER_MINUTE = 10_000

TOO_LARGE = "manifest.E001"
NUMBER_OUT_OF_RANGE = "manifest.E002"
EMPTY_LIST = "manifest.E003"
INVALID_NAME = "manifest.E004"
DUPLICATE_NAME = "manifest.E005"
INVALID_TOKEN_DIGEST = "manifest.E006"
DUPLICATE_TOKEN = "manifest.E007"
OUT_OF_RANGE = "manifest.E008"
UNKNOWN_MODEL = "manifest.E009"
MODEL_MISSING = "manifest.E010"
WRONG_POOL = "manifest.E011"
UNKNOWN_POOL = "manifest.E012"
UNKNOWN_ANSWER_STAGE = "manifest.E013"
BILLING_IDEMPOTENT = "manifest.E014"
UNUSED_MODEL = "manifest.W001"
LONG_TIMEOUT = "manifest.W002"
POOLS_UNDECLARED = "manifest.W003"


def check(body: bytes) -> result.Result[manifest.Manifest, list[messages.Message]]:
    """Return the decoded manifest, or every error found in it."""
    found = collect_messages(body)
    errors = messages.errors(found)
    if errors:
        return result.Err(errors)
    return result.Ok(msgspec.json.decode(body, type=manifest.Manifest))


def collect_messages(body: bytes) -> list[messages.Message]:
    """Return every error and warning.

    Values are checked only if the structure has no errors.
    """
    if len(body) > MAXIMUM_BODY_BYTES:
        detail = f"The manifest has {len(body)} bytes."
        hint = f"At most {MAXIMUM_BODY_BYTES} bytes are taken."
        return [messages.error(TOO_LARGE, "", detail, hint)]
    found = structure.check(body, manifest.Manifest)
    if found:
        return found
    return _check_values(msgspec.json.decode(body, type=manifest.Manifest))


def _check_values(decoded: manifest.Manifest) -> list[messages.Message]:
    found = values.between(
        NUMBER_OUT_OF_RANGE, "number", decoded.number, 1, MAXIMUM_NUMBER
    )
    found += _check_not_empty("workspaces", decoded.workspaces)
    found += _check_not_empty("pipelines", decoded.pipelines)
    found += _check_names("workspaces", decoded.workspaces)
    found += _check_names("pipelines", decoded.pipelines)
    found += _check_names("models", decoded.models)
    found += _check_pools(decoded.pools)
    found += _check_tokens(decoded)
    for number, workspace in enumerate(decoded.workspaces):
        found += _check_workspace(f"workspaces[{number}]", workspace)
    for number, pipeline in enumerate(decoded.pipelines):
        found += _check_pipeline(decoded, f"pipelines[{number}]", pipeline)
    for number, model in enumerate(decoded.models):
        found += _check_model(decoded, f"models[{number}]", model)
    found += _check_limits(decoded.limits)
    return found


def _check_pools(pools: list[str]) -> list[messages.Message]:
    if not pools:
        hint = "List the pools under 'pools', so that a misspelt one is found."
        detail = "No pools are declared."
        return [messages.warning(POOLS_UNDECLARED, "pools", detail, hint)]
    paths = [f"pools[{number}]" for number in range(len(pools))]
    found = values.unique(DUPLICATE_NAME, paths, pools)
    for path, pool in zip(paths, pools, strict=True):
        found += values.name(INVALID_NAME, path, pool)
    return found


def _check_tokens(decoded: manifest.Manifest) -> list[messages.Message]:
    found = []
    paths = []
    digests = []
    for number, workspace in enumerate(decoded.workspaces):
        for position, digest in enumerate(workspace.token_sha256):
            path = f"workspaces[{number}].token_sha256[{position}]"
            paths.append(path)
            digests.append(digest)
            if not values.DIGEST_PATTERN.fullmatch(digest):
                hint = "Give the SHA-256 of the token as 64 digits of 0-9 and a-f."
                detail = "This is no SHA-256 digest."
                found.append(messages.error(INVALID_TOKEN_DIGEST, path, detail, hint))
    return found + values.unique(DUPLICATE_TOKEN, paths, digests)


def _check_workspace(
    path: str,
    workspace: manifest.Workspace,
) -> list[messages.Message]:
    found = _check_not_empty(f"{path}.token_sha256", workspace.token_sha256)
    found += _check_range(
        f"{path}.weight", workspace.weight, MINIMUM_WEIGHT, MAXIMUM_WEIGHT
    )
    waiting = workspace.maximum_waiting
    found += _check_range(f"{path}.maximum_waiting", waiting, 1, MAXIMUM_WAITING)
    return found


def _check_pipeline(
    decoded: manifest.Manifest,
    path: str,
    pipeline: manifest.Pipeline,
) -> list[messages.Message]:
    found = _check_not_empty(f"{path}.stages", pipeline.stages)
    found += _check_not_empty(f"{path}.kinds", pipeline.kinds)
    found += _check_names(f"{path}.stages", pipeline.stages)
    found += _check_names(f"{path}.kinds", pipeline.kinds)
    if pipeline.answer_stage is not None:
        names = [stage.name for stage in pipeline.stages]
        answer_path = f"{path}.answer_stage"
        found += values.known(
            UNKNOWN_ANSWER_STAGE, answer_path, pipeline.answer_stage, names
        )
    for number, kind in enumerate(pipeline.kinds):
        kind_path = f"{path}.kinds[{number}]"
        found += _check_range(
            f"{kind_path}.priority", kind.priority, 0, MAXIMUM_PRIORITY
        )
        deadline = kind.deadline_ms
        found += _check_range(
            f"{kind_path}.deadline_ms", deadline, 1, MAXIMUM_DEADLINE_MS
        )
    for number, stage in enumerate(pipeline.stages):
        found += _check_stage(decoded, pipeline, f"{path}.stages[{number}]", stage)
    return found


def _check_stage(
    decoded: manifest.Manifest,
    pipeline: manifest.Pipeline,
    path: str,
    stage: manifest.Stage,
) -> list[messages.Message]:
    found = _check_stage_model(decoded, path, stage)
    found += _check_pool_name(decoded, f"{path}.pool", stage.pool)
    if stage.billing and stage.idempotent:
        detail = f"The billing stage {stage.name!r} is declared idempotent."
        hint = "Set 'idempotent' to false: a billing step runs at most once."
        idempotent_path = f"{path}.idempotent"
        found.append(messages.error(BILLING_IDEMPOTENT, idempotent_path, detail, hint))
    weight = stage.deadline_weight
    found += _check_range(
        f"{path}.deadline_weight", weight, MINIMUM_WEIGHT, MAXIMUM_WEIGHT
    )
    tokens = stage.maximum_output_tokens
    tokens_path = f"{path}.maximum_output_tokens"
    found += _check_range(tokens_path, tokens, 0, MAXIMUM_OUTPUT_TOKENS)
    for name in ("first_byte_timeout_ms", "between_bytes_timeout_ms"):
        found += _check_timeout(pipeline, f"{path}.{name}", getattr(stage, name))
    return found


def _check_stage_model(
    decoded: manifest.Manifest,
    path: str,
    stage: manifest.Stage,
) -> list[messages.Message]:
    model_path = f"{path}.model"
    if stage.model is None:
        if stage.task is not manifest.Task.GENERATE:
            return []
        detail = f"The stage {stage.name!r} generates and names no model."
        return [
            messages.error(MODEL_MISSING, model_path, detail, "Name a declared model.")
        ]
    models = {model.name: model for model in decoded.models}
    found = values.known(UNKNOWN_MODEL, model_path, stage.model, sorted(models))
    if not found and models[stage.model].pool != stage.pool:
        pool = models[stage.model].pool
        detail = f"The model {stage.model!r} is held by the pool {pool!r}."
        hint = f"Use the pool {pool!r}, or another model."
        found.append(messages.error(WRONG_POOL, f"{path}.pool", detail, hint))
    return found


def _check_timeout(
    pipeline: manifest.Pipeline,
    path: str,
    timeout_ms: int,
) -> list[messages.Message]:
    found = _check_range(path, timeout_ms, 1, MAXIMUM_TIMEOUT_MS)
    deadlines = [kind.deadline_ms for kind in pipeline.kinds if kind.deadline_ms > 0]
    shortest = min(deadlines, default=timeout_ms)
    if timeout_ms > shortest:
        detail = f"{timeout_ms} ms is longer than the deadline of {shortest} ms."
        hint = "A shorter timeout leaves time for another attempt."
        found.append(messages.warning(LONG_TIMEOUT, path, detail, hint))
    return found


def _check_model(
    decoded: manifest.Manifest,
    path: str,
    model: manifest.Model,
) -> list[messages.Message]:
    found = _check_pool_name(decoded, f"{path}.pool", model.pool)
    found += values.name(INVALID_NAME, f"{path}.version", model.version)
    found += _check_range(
        f"{path}.weight_bytes", model.weight_bytes, 1, MAXIMUM_WEIGHT_BYTES
    )
    engines = model.minimum_engines
    found += _check_range(f"{path}.minimum_engines", engines, 0, MAXIMUM_ENGINES)
    paths = [f"{path}.adapters[{number}]" for number in range(len(model.adapters))]
    found += values.unique(DUPLICATE_NAME, paths, model.adapters)
    for adapter_path, adapter in zip(paths, model.adapters, strict=True):
        found += values.name(INVALID_NAME, adapter_path, adapter)
    used = {stage.model for pipeline in decoded.pipelines for stage in pipeline.stages}
    if model.name not in used:
        detail = f"No stage uses the model {model.name!r}."
        found.append(messages.warning(UNUSED_MODEL, path, detail, "Remove it."))
    return found


def _check_limits(limits: manifest.Limits) -> list[messages.Message]:
    found = []
    bounds = {
        "urgent_priority": (0, MAXIMUM_PRIORITY),
        "urgent_share": (0.0, 0.9),
        "retry_ratio": (0.0, 1.0),
        "hedge_ratio": (0.0, 1.0),
        "maximum_preemptions": (0, MAXIMUM_PREEMPTIONS),
        "weight_store_loads_per_minute": (1, MAXIMUM_LOADS_PER_MINUTE),
    }
    for name, (low, high) in bounds.items():
        found += _check_range(f"limits.{name}", getattr(limits, name), low, high)
    return found


def _check_not_empty(path: str, items: list) -> list[messages.Message]:
    if items:
        return []
    detail = "This list is empty."
    return [messages.error(EMPTY_LIST, path, detail, "Give at least one item.")]


def _check_names(path: str, items: list) -> list[messages.Message]:
    paths = [f"{path}[{number}].name" for number in range(len(items))]
    names = [item.name for item in items]
    found = values.unique(DUPLICATE_NAME, paths, names)
    for name_path, name in zip(paths, names, strict=True):
        found += values.name(INVALID_NAME, name_path, name)
    return found


def _check_pool_name(
    decoded: manifest.Manifest, path: str, pool: str
) -> list[messages.Message]:
    if decoded.pools:
        return values.known(UNKNOWN_POOL, path, pool, decoded.pools)
    return values.name(INVALID_NAME, path, pool)


def _check_range(
    path: str, value: float, low: float, high: float
) -> list[messages.Message]:
    return values.between(OUT_OF_RANGE, path, value, low, high)
