"""What engines should hold: enough copies of each model, changed one at a time.

A model that the manifest names is dropped only where another engine holds enough
copies, so an update to a new version never lowers the number of copies that serve.
"""

from bitternlever.gossip import tables as gossip_tables
from bitternlever.messages import manifest
from bitternlever.orders import tables as order_tables

MAXIMUM_MODELS = 2
VERSION_MARK = "@"


def versioned(model: manifest.Model) -> str:
    """Return a model's name with its version, as orders state it."""
    return f"{model.name}{VERSION_MARK}{model.version}"


def holds(held: list[str], model: manifest.Model) -> bool:
    """Tell whether models in an announcement include this one in its version.

    A name without a version stands for any.
    """
    return model.name in held or versioned(model) in held


def next_change(
    engines: list[gossip_tables.Upstream],
    models: list[manifest.Model],
    targets: dict[str, int],
    ordered: dict[str, list[str]],
) -> order_tables.Wanted | None:
    """Return the next order for a pool, or ``None`` when all is as wanted.

    ``ordered`` holds the models of orders that are still under way, by engine; such
    engines get no other order meanwhile.
    """
    free = [each for each in engines if each.announcement.name not in ordered]
    for model in sorted(models, key=lambda each: each.name):
        present = [each for each in engines if holds(_soon(each, ordered), model)]
        if len(present) >= targets[model.name]:
            continue
        chosen = _for_copy(free, present, models, model, targets, engines)
        if chosen is not None:
            return chosen
    return _tidy(free, models)


def _soon(
    engine: gossip_tables.Upstream,
    ordered: dict[str, list[str]],
) -> list[str]:
    announcement = engine.announcement
    return ordered.get(announcement.name, announcement.models)


def _for_copy(
    free: list[gossip_tables.Upstream],
    present: list[gossip_tables.Upstream],
    models: list[manifest.Model],
    model: manifest.Model,
    targets: dict[str, int],
    engines: list[gossip_tables.Upstream],
) -> order_tables.Wanted | None:
    """Choose the engine for one more copy: few models, a zone with few copies."""
    zones = [each.announcement.zone for each in present]
    candidates = []
    for engine in free:
        if engine in present:
            continue
        kept = _kept(engine, models, model, targets, engines)
        if kept is None:
            continue
        announcement = engine.announcement
        rank = (len(kept), zones.count(announcement.zone), announcement.name)
        candidates.append((rank, engine, kept))
    if not candidates:
        return None
    _, engine, kept = min(candidates, key=lambda each: each[0])
    return _make(engine, [*kept, versioned(model)], models)


def _kept(
    engine: gossip_tables.Upstream,
    models: list[manifest.Model],
    model: manifest.Model,
    targets: dict[str, int],
    engines: list[gossip_tables.Upstream],
) -> list[str] | None:
    """Return what an engine keeps beside a new model; ``None`` if it has no room."""
    held = engine.announcement.models
    kept = [name for name in held if any(_is_named(name, each) for each in models)]
    old = [name for name in kept if name.partition(VERSION_MARK)[0] == model.name]
    others = [name for name in kept if name not in old]
    if len(others) + 1 <= MAXIMUM_MODELS:
        return kept
    spare = [name for name in others if _spare(name, models, targets, engines)]
    if not spare:
        return None
    return [name for name in kept if name != spare[0]]


def _spare(
    name: str,
    models: list[manifest.Model],
    targets: dict[str, int],
    engines: list[gossip_tables.Upstream],
) -> bool:
    """Tell whether a copy can go: the model has more copies than wanted."""
    for model in models:
        if _is_named(name, model):
            copies = sum(holds(each.announcement.models, model) for each in engines)
            return copies > targets[model.name]
    return True


def _tidy(
    free: list[gossip_tables.Upstream],
    models: list[manifest.Model],
) -> order_tables.Wanted | None:
    """Drop models that the manifest no longer names, and versions replaced."""
    for engine in sorted(free, key=lambda each: each.announcement.name):
        held = engine.announcement.models
        kept = [name for name in held if not _is_old(name, held, models)]
        if len(kept) < len(held):
            return _make(engine, kept, models)
    return None


def _is_old(name: str, held: list[str], models: list[manifest.Model]) -> bool:
    for model in models:
        if name.partition(VERSION_MARK)[0] != model.name:
            continue
        current = versioned(model)
        return name != current and current in held
    return True


def _is_named(name: str, model: manifest.Model) -> bool:
    return name.partition(VERSION_MARK)[0] == model.name


def _make(
    engine: gossip_tables.Upstream,
    names: list[str],
    models: list[manifest.Model],
) -> order_tables.Wanted:
    adapters = sorted(
        {
            adapter
            for model in models
            if any(_is_named(name, model) for name in names)
            for adapter in model.adapters
        },
    )
    return order_tables.Wanted(
        upstream=engine.announcement.name,
        models=names,
        adapters=adapters,
        loads=len(set(names) - set(engine.announcement.models)),
    )
