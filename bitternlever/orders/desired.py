"""Desired models of engines: enough copies of each model, changed one at a time.

A version of a model in the manifest is dropped only from engines that have its new
version, or when other engines have enough copies, so an update never lowers the number
of serving copies.
"""

from bitternlever.gossip import tables as gossip_tables
from bitternlever.messages import manifest
from bitternlever.orders import tables as order_tables

MAXIMUM_MODELS_PER_ENGINE = 2
VERSION_SEPARATOR = "@"


def versioned_name(model: manifest.Model) -> str:
    """Return a model's name with its version, as written in orders."""
    return f"{model.name}{VERSION_SEPARATOR}{model.version}"


def has_model(names: list[str], model: manifest.Model) -> bool:
    """Return whether an engine's model names include this model in its version.

    The names are those that the engine announces or is ordered to load. A name without
    a version matches any version.
    """
    return model.name in names or versioned_name(model) in names


def next_change(
    engines: list[gossip_tables.Upstream],
    models: list[manifest.Model],
    targets: dict[str, int],
    pending: dict[str, list[str]],
) -> order_tables.DesiredModels | None:
    """Return the next order for a pool, or None if no change is needed.

    ``pending`` maps engines to the models of their pending order; these engines get no
    other order until it ends.
    """
    free = [engine for engine in engines if engine.announcement.name not in pending]
    for model in sorted(models, key=lambda candidate: candidate.name):
        engines_with_model = [
            engine
            for engine in engines
            if has_model(_models_after_order(engine, pending), model)
        ]
        if len(engines_with_model) >= targets[model.name]:
            continue
        chosen = _choose_engine_for_copy(
            free, engines_with_model, models, model, targets, engines
        )
        if chosen is not None:
            return chosen
    return _drop_unneeded(free, models)


def _models_after_order(
    engine: gossip_tables.Upstream,
    pending: dict[str, list[str]],
) -> list[str]:
    announcement = engine.announcement
    return pending.get(announcement.name, announcement.models)


def _choose_engine_for_copy(
    free: list[gossip_tables.Upstream],
    engines_with_model: list[gossip_tables.Upstream],
    models: list[manifest.Model],
    model: manifest.Model,
    targets: dict[str, int],
    engines: list[gossip_tables.Upstream],
) -> order_tables.DesiredModels | None:
    """Choose an engine for another copy: few models, in a zone with few copies."""
    zones = [other.announcement.zone for other in engines_with_model]
    candidates = []
    for engine in free:
        if engine in engines_with_model:
            continue
        kept = _models_to_keep(engine, models, model, targets, engines)
        if kept is None:
            continue
        announcement = engine.announcement
        rank = (len(kept), zones.count(announcement.zone), announcement.name)
        candidates.append((rank, engine, kept))
    if not candidates:
        return None
    _, engine, kept = min(candidates, key=lambda candidate: candidate[0])
    return _desired_models(engine, [*kept, versioned_name(model)], models)


def _models_to_keep(
    engine: gossip_tables.Upstream,
    models: list[manifest.Model],
    model: manifest.Model,
    targets: dict[str, int],
    engines: list[gossip_tables.Upstream],
) -> list[str] | None:
    """Return the models an engine keeps beside a new one; None if it is full."""
    loaded = engine.announcement.models
    kept = [
        name
        for name in loaded
        if any(_is_version_of(name, wanted_model) for wanted_model in models)
    ]
    old_versions = [
        name for name in kept if name.partition(VERSION_SEPARATOR)[0] == model.name
    ]
    others = [name for name in kept if name not in old_versions]
    if len(others) + 1 <= MAXIMUM_MODELS_PER_ENGINE:
        return kept
    surplus = [name for name in others if _is_surplus(name, models, targets, engines)]
    if not surplus:
        return None
    return [name for name in kept if name != surplus[0]]


def _is_surplus(
    name: str,
    models: list[manifest.Model],
    targets: dict[str, int],
    engines: list[gossip_tables.Upstream],
) -> bool:
    """Return whether a copy can be dropped: its model has more copies than desired."""
    for model in models:
        if _is_version_of(name, model):
            copies = sum(
                has_model(engine.announcement.models, model) for engine in engines
            )
            return copies > targets[model.name]
    return True


def _drop_unneeded(
    free: list[gossip_tables.Upstream],
    models: list[manifest.Model],
) -> order_tables.DesiredModels | None:
    """Drop models that are no longer in the manifest, and replaced versions."""
    for engine in sorted(free, key=lambda candidate: candidate.announcement.name):
        loaded = engine.announcement.models
        kept = [name for name in loaded if not _is_unneeded(name, loaded, models)]
        if len(kept) < len(loaded):
            return _desired_models(engine, kept, models)
    return None


def _is_unneeded(name: str, loaded: list[str], models: list[manifest.Model]) -> bool:
    for model in models:
        if name.partition(VERSION_SEPARATOR)[0] != model.name:
            continue
        current = versioned_name(model)
        return name != current and current in loaded
    return True


def _is_version_of(name: str, model: manifest.Model) -> bool:
    return name.partition(VERSION_SEPARATOR)[0] == model.name


def _desired_models(
    engine: gossip_tables.Upstream,
    names: list[str],
    models: list[manifest.Model],
) -> order_tables.DesiredModels:
    adapters = sorted(
        {
            adapter
            for model in models
            if any(_is_version_of(name, model) for name in names)
            for adapter in model.adapters
        },
    )
    return order_tables.DesiredModels(
        upstream=engine.announcement.name,
        models=names,
        adapters=adapters,
        loads=len(set(names) - set(engine.announcement.models)),
    )
