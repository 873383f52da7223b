"""Journaled beside unjournaled requests, an owner's death, a rolling restart.

Latencies alternate between the shapes in one run; each shape calls the same stand-in.
"""

import argparse
import asyncio
import itertools
import json
import pathlib
import statistics
import sys
import tempfile
import time
from typing import Any

import msgspec

from bench import requests_faults, requests_load
from bitternlever.client import calls, tables as client_tables
from bitternlever.messages import manifest
from bitternlever.storage import files as storage_files
from standins import processes as standin_processes, site

SERVICE_MS = 1.0
MODEL = "draft-model"
DRAFT_TOKENS = 150
STAGED_TOKENS = 30
FIRST_STAGES = {
    "encoders": manifest.Task.ENCODE,
    "retrievers": manifest.Task.RETRIEVE,
    "rerankers": manifest.Task.RERANK,
}
WARM_UP = 30
BYTES_SAMPLES = 40
ADDED_AIM_MS = 15.0
JOURNAL_GROUP = 1
EXIT_VIOLATED = 1
EXIT_NOT_READY = 3
MAXIMUM_SECONDS = 60.0
PLAIN = "plain"
SHAPES = (PLAIN, "keyed", "durable", "once", "once-keyed")


def run(arguments: list[str]) -> int:
    """Run the experiment; print one JSON object for each measure."""
    parser = argparse.ArgumentParser(prog="bench requests", description=__doc__)
    parser.add_argument("--calls", type=int, default=200, help="calls of each shape")
    parser.add_argument("--seconds", type=float, default=3.0, help="time under load")
    parser.add_argument("--callers", type=int, default=16, help="callers under load")
    parser.add_argument("--deaths", type=int, default=2, help="hosts killed in turn")
    parser.add_argument("--rate", type=float, default=30.0, help="requests/s, restarts")
    options = parser.parse_args(arguments)
    options.seconds = min(options.seconds, MAXIMUM_SECONDS)
    with tempfile.TemporaryDirectory(prefix="bitternlever-requests-") as folder:
        return asyncio.run(_run(options, pathlib.Path(folder)))


async def _run(options: argparse.Namespace, folder: pathlib.Path) -> int:
    system = site.create("cantref", folder, own_manifest=bench_manifest())
    system.service_ms = SERVICE_MS
    async with standin_processes.manage(folder) as running:
        missing = await site.start(system, running)
        if missing or not await site.apply(system, running):
            print(f"the system is not ready: {missing}", file=sys.stderr)
            return EXIT_NOT_READY
        client = requests_load.open_client(system)
        try:
            await _measure_bytes(system, client)
            await _measure_latency(system, client, options.calls)
            await _measure_rate(system, client, options)
            bench = requests_faults.Bench(system, running, client, emit)
            await requests_faults.measure_deaths(bench, options.deaths)
            violations = await requests_faults.measure_restart(bench, options.rate)
        finally:
            await calls.close(client)
        await site.stop(running)
    return EXIT_VIOLATED if violations else 0


def bench_manifest() -> manifest.Manifest:
    """Return the example's manifest with the pipelines of this experiment."""
    call = manifest.Task.CALL
    stage = manifest.Stage(name="call", task=call, pool="panel")
    once = manifest.Stage(name="bill", task=call, pool="billing", idempotent=False)
    draft = manifest.Stage(
        name="draft",
        task=manifest.Task.GENERATE,
        pool="engines",
        model=MODEL,
        maximum_output_tokens=DRAFT_TOKENS,
    )
    model = manifest.Model(
        name=MODEL,
        version="1",
        pool="engines",
        weight_bytes=1_000,
        minimum_engines=site.ENGINES,
    )
    return msgspec.structs.replace(
        site.load("cantref"),
        pipelines=[
            _pipeline("plain", [stage]),
            _pipeline("durable", [stage], durable=True),
            _pipeline("once", [once]),
            _pipeline("draft", [stage, draft], durable=True),
            _pipeline("staged", _four_stages(), durable=True),
        ],
        models=[model],
        pools=["panel", "billing", "engines", *FIRST_STAGES],
    )


def _four_stages() -> list[manifest.Stage]:
    first = [
        manifest.Stage(name=task.value, task=task, pool=pool)
        for pool, task in FIRST_STAGES.items()
    ]
    last = manifest.Stage(
        name="draft",
        task=manifest.Task.GENERATE,
        pool="engines",
        model=MODEL,
        maximum_output_tokens=STAGED_TOKENS,
    )
    return [*first, last]


def _pipeline(
    name: str,
    stages: list[manifest.Stage],
    durable: bool = False,
) -> manifest.Pipeline:
    kind = manifest.Kind(name=name, priority=1, deadline_ms=20_000, durable=durable)
    return manifest.Pipeline(name=name, stages=stages, kinds=[kind])


async def _measure_latency(
    system: site.Site,
    client: client_tables.Client,
    count: int,
) -> None:
    """Alternate calls of all shapes; print each, and what the journal added."""
    taken_ms: dict[str, list[float]] = {shape: [] for shape in SHAPES}
    for number in range(count + WARM_UP):
        for shape in SHAPES:
            begin_s = time.perf_counter()
            await requests_load.one(client, shape, f"latency-{shape}-{number}")
            if number >= WARM_UP:
                taken_ms[shape].append((time.perf_counter() - begin_s) * 1_000)
    base_ms = statistics.median(taken_ms[PLAIN])
    for shape in SHAPES:
        added_ms = statistics.median(taken_ms[shape]) - base_ms
        emit(
            f"latency of shape {shape}",
            requests_load.spread(taken_ms[shape]),
            added_median_ms=round(added_ms, 3),
            aim_added_ms=None if shape == PLAIN else ADDED_AIM_MS,
            samples=count,
        )


async def _measure_bytes(system: site.Site, client: client_tables.Client) -> None:
    """Send each journaled shape alone and print what it left on one disk.

    This comes first, before a snapshot cuts the log.
    """
    for shape in (*SHAPES[1:], "staged"):
        before = journal_bytes(system)
        begin_s = time.perf_counter()
        for number in range(BYTES_SAMPLES):
            await requests_load.one(client, shape, f"bytes-{shape}-{number}")
        took_ms = (time.perf_counter() - begin_s) * 1_000
        emit(
            f"journal bytes on one disk for a request of shape {shape}",
            {"bytes": round((journal_bytes(system) - before) / BYTES_SAMPLES)},
            mean_ms=round(took_ms / BYTES_SAMPLES, 3),
            samples=BYTES_SAMPLES,
        )


async def _measure_rate(
    system: site.Site,
    client: client_tables.Client,
    options: argparse.Namespace,
) -> None:
    """Load all entry hosts with each shape in turn, for a bounded time."""
    for shape in (PLAIN, "durable", "once"):
        numbers = itertools.count()
        end_s = time.monotonic() + options.seconds
        taken_ms: list[float] = []

        async def caller(shape=shape, numbers=numbers, end_s=end_s, taken_ms=taken_ms):
            while time.monotonic() < end_s:
                begin_s = time.perf_counter()
                name = f"rate-{shape}-{next(numbers)}"
                await requests_load.one(client, shape, name)
                taken_ms.append((time.perf_counter() - begin_s) * 1_000)

        await asyncio.gather(*(caller() for _ in range(options.callers)))
        emit(
            f"requests a second, shape {shape}",
            {"requests_per_s": round(len(taken_ms) / options.seconds, 1)},
            latency=requests_load.spread(taken_ms),
            callers=options.callers,
        )


def journal_bytes(system: site.Site) -> int:
    """Return the size of the journal group's files on the first control host."""
    data = system.folder / "control-a"
    folder = storage_files.group_folder(data, JOURNAL_GROUP)
    return sum(path.stat().st_size for path in folder.iterdir())


def emit(measure: str, values: dict[str, Any], **details: Any) -> None:
    """Print one measure as a line of JSON."""
    known = {name: value for name, value in details.items() if value is not None}
    print(json.dumps({"measure": measure, **values, **known}), flush=True)
