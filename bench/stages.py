"""Compare how stage work is ordered and placed, over emulated stage services.

Arguments: --seeds N (3) and --world NAME for one world. The worlds have the shape of
two small deployments and of their days at the worst load.
"""

import argparse
import dataclasses
import json
import statistics

from bench import stage_world
from bitternlever.catalog import tables as catalog_tables

MB = 1_000_000
ZONES = ("a", "b", "c")


def _service(
    name: str,
    batch: int,
    item_ms: float,
    room_mb: float,
) -> catalog_tables.Service:
    stage = catalog_tables.StageCapacity(
        concurrency=1,
        queue=2,
        batch=batch,
        call_s=0.15,
        item_s=item_ms / 1_000,
        room_bytes=room_mb * MB,
        result_s=4.0,
        link_bytes_per_s=1.25e9,
    )
    return catalog_tables.Service(name, "", 360, stage=stage)


def _route(
    name: str,
    objective_ms: float,
    timeout_ms: float,
    priority: int,
    *stages: tuple[str, tuple[int, ...], int],
) -> catalog_tables.Route:
    return catalog_tables.Route(
        name=name,
        host="",
        path_prefix="/",
        repeatability=catalog_tables.Repeatability.STREAM,
        resumable=False,
        timeout_s=timeout_ms / 1_000,
        objective_s=objective_ms / 1_000,
        priority=priority,
        targets=(catalog_tables.Target("engines", 1.0),),
        maximum_attempts=1,
        stages=tuple(
            catalog_tables.Stage(number, service, after, size)
            for number, (service, after, size) in enumerate(stages)
        ),
        public=True,
        by_prefix=True,
        maximum_gap_s=0.3,
    )


def _kinds(
    rates: tuple[float, float, float],
    objectives: tuple[float, float, float],
    chain: int,
) -> tuple[stage_world.Kind, ...]:
    """Return drafts, summaries and notes; ``chain`` is the middle stage's pieces."""
    whole = (
        ("encode", (), 3 * MB),
        ("encode", (), 8_000),
        ("retrieve", (1,), 60_000),
        ("rerank", (2,), 6_000),
    )
    draft = _route("draft", objectives[0], 10_000, 1, whole[0])
    summary = _route(
        "summary",
        objectives[1],
        8_000,
        0,
        ("encode", (), 8_000),
        ("retrieve", (0,), 60_000),
        ("rerank", (1,), 6_000),
    )
    note = _route("note", objectives[2], 12_000, 2, *whole)
    return (
        stage_world.Kind(
            draft, rates[0], 3.3, 0.49, (2.5,), (0.7,), 13_300, 3_720, 118
        ),
        stage_world.Kind(
            summary, rates[1], 2.6, 0.39, (1, chain, 16), (1, 1, 1), 3_780, 2_890, 81
        ),
        stage_world.Kind(
            note,
            rates[2],
            0.31,
            0.046,
            (1.5, 1, chain, 16),
            (0.4, 1, 1, 1),
            140,
            1_110,
            119,
        ),
    )


def _wide_kinds(
    rates: tuple[float, float, float],
    objectives: tuple[float, float, float],
    chain: int,
) -> tuple[stage_world.Kind, ...]:
    """Return the other shape: the long drafts run through the whole chain."""
    note, summary, draft = _kinds(
        (rates[2], rates[1], rates[0]),
        (objectives[2], objectives[1], objectives[0]),
        chain,
    )
    long_draft = dataclasses.replace(
        draft,
        route=dataclasses.replace(draft.route, name="draft", priority=1),
        worth=3.3,
        late_worth=0.49,
        shared_tokens=13_300,
        own_tokens=3_720,
    )
    short_note = dataclasses.replace(
        note,
        route=dataclasses.replace(note.route, name="note", priority=2),
        worth=0.31,
        late_worth=0.046,
        shared_tokens=140,
        own_tokens=1_110,
    )
    return long_draft, summary, short_note


def _bursts(*each: tuple[str, float, float, float]) -> tuple[stage_world.Burst, ...]:
    return tuple(stage_world.Burst(*burst) for burst in each)


CLOSING = _bursts(
    ("draft", 2.4, 3.0, 9.0),
    ("summary", 2.4, 15.0, 20.5),
    ("draft", 1.7, 26.0, 30.0),
    ("summary", 1.7, 26.0, 30.0),
    ("note", 1.7, 26.0, 30.0),
)


def worlds() -> dict[str, stage_world.World]:
    """Return the emulated deployments by name."""
    narrow_services = (
        _service("encode", 4, 32.0, 21.5),
        _service("retrieve", 15, 8.52, 2.5),
        _service("rerank", 28, 4.614, 0.502),
    )
    wide_services = (
        _service("encode", 5, 25.6, 36.9),
        _service("retrieve", 12, 10.73, 2.143),
        _service("rerank", 32, 4.04, 0.564),
    )
    narrow = stage_world.World(
        services=narrow_services,
        upstreams={service.name: ZONES for service in narrow_services},
        engines=ZONES * 2,
        kinds=_kinds((4.99, 2.29, 7.58), (1_000, 1_600, 1_500), 8),
        bursts=CLOSING,
        length_s=34.0,
    )
    wide = stage_world.World(
        services=wide_services,
        upstreams={service.name: ZONES for service in wide_services},
        engines=ZONES * 3,
        kinds=_wide_kinds((7.51, 3.43, 11.4), (1_700, 1_600, 800), 6),
        bursts=CLOSING,
        length_s=34.0,
    )
    lost = {"retrieve": ("a", "b"), "encode": ZONES, "rerank": ZONES}
    short = {"rerank": ("a", "b"), "encode": ZONES, "retrieve": ZONES}
    one = {"retrieve": ("a",), "encode": ZONES, "rerank": ZONES}
    return {
        "narrow": narrow,
        "narrow-lost": dataclasses.replace(narrow, upstreams=lost),
        "narrow-slow": dataclasses.replace(narrow, slow={"encode-1": 3.0}),
        "wide": wide,
        "wide-lost": dataclasses.replace(wide, upstreams=short),
        "wide-short": dataclasses.replace(wide, upstreams=one),
        "wide-slow": dataclasses.replace(wide, slow={"retrieve-1": 3.0}),
    }


def figures(emulation: stage_world.Emulation) -> dict[str, float]:
    """Return the shares of worth and requests of one run."""
    flights = emulation.flights
    owed = sum(flight.kind.worth for flight in flights)
    earned = sum(stage_world.credit(flight) for flight in flights)
    refused = [flight for flight in flights if flight.outcome == "refused"]
    held = sum(
        flight.kind.worth
        for flight in refused
        if flight.refused_after_s > flight.kind.route.objective_s / 2
    )
    left = [flight for flight in flights if flight.outcome in ("left", "")]
    result = {
        "worth": earned / owed,
        "refused": len(refused) / len(flights),
        "held": held / owed,
        "left": len(left) / len(flights),
        "crossed_gb": emulation.crossed_bytes / 1e9,
        "no_room": emulation.no_room,
        "unused": emulation.unused,
    }
    for kind in emulation.world.kinds:
        of_kind = [flight for flight in flights if flight.kind is kind]
        on_time = sum(stage_world.credit(flight) == kind.worth for flight in of_kind)
        result[kind.route.name] = on_time / max(1, len(of_kind))
    return result


def run(arguments: list[str]) -> int:
    """Print the means of each world over some seeds."""
    parser = argparse.ArgumentParser(prog="stages")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--world", default=None)
    options = parser.parse_args(arguments)
    means = []
    for name, world in worlds().items():
        if options.world not in (None, name):
            continue
        rows = [figures(stage_world.run(world, seed)) for seed in range(options.seeds)]
        mean = {
            key: round(statistics.fmean(row[key] for row in rows), 3) for key in rows[0]
        }
        means.append(mean["worth"])
        print(json.dumps({"world": name, **mean}))
    print(json.dumps({"mean_worth": round(statistics.fmean(means), 4)}))
    return 0
