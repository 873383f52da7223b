"""Compare journaled with plain requests, kill owners and restart all entry hosts.

The shapes of requests (see ``bench.requests_load``) alternate in one run; all of them
call the same stand-in.
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
from standins import local_system, processes as standin_processes

SERVICE_MS = 1.0
MODEL = "draft-model"
DRAFT_TOKENS = 150
STAGED_TOKENS = 30
FIRST_STAGES = {
    "encoders": manifest.Task.ENCODE,
    "retrievers": manifest.Task.RETRIEVE,
    "rerankers": manifest.Task.RERANK,
}
WARM_UP_CALLS = 30
REQUESTS_PER_SHAPE = 40
ADDED_TARGET_MS = 15.0
JOURNAL_GROUP = 1
EXIT_VIOLATED = 1
EXIT_NOT_READY = 3
MAXIMUM_SECONDS = 60.0
PLAIN = "plain"
SHAPES = (PLAIN, "keyed", "durable", "once", "once-keyed")


def run(arguments: list[str]) -> int:
    """Run the experiment and print one JSON object for each measurement."""
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
    system = local_system.create("cantref", folder, own_manifest=bench_manifest())
    system.service_ms = SERVICE_MS
    async with standin_processes.manage(folder) as processes:
        missing = await local_system.start(system, processes)
        if missing or not await local_system.apply_manifest(system, processes):
            print(f"the system is not ready, missing: {missing}", file=sys.stderr)
            return EXIT_NOT_READY
        client = requests_load.open_client(system)
        try:
            await _measure_bytes(system, client)
            await _measure_latency(system, client, options.calls)
            await _measure_rate(system, client, options)
            experiment = requests_faults.Experiment(system, processes, client, emit)
            await requests_faults.measure_owner_kills(experiment, options.deaths)
            violations = await requests_faults.measure_restart(experiment, options.rate)
        finally:
            await calls.close(client)
        await local_system.stop(processes)
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
        minimum_engines=local_system.ENGINES_PER_POOL,
    )
    return msgspec.structs.replace(
        local_system.load_manifest("cantref"),
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
    system: local_system.LocalSystem,
    client: client_tables.Client,
    count: int,
) -> None:
    """Alternate calls of all shapes; print latencies and those added by the journal."""
    latencies_ms: dict[str, list[float]] = {shape: [] for shape in SHAPES}
    for number in range(count + WARM_UP_CALLS):
        for shape in SHAPES:
            started_s = time.perf_counter()
            await requests_load.send_one(client, shape, f"latency-{shape}-{number}")
            if number >= WARM_UP_CALLS:
                latencies_ms[shape].append((time.perf_counter() - started_s) * 1_000)
    base_ms = statistics.median(latencies_ms[PLAIN])
    for shape in SHAPES:
        added_ms = statistics.median(latencies_ms[shape]) - base_ms
        emit(
            f"latency of shape {shape}",
            requests_load.percentiles(latencies_ms[shape]),
            added_median_ms=round(added_ms, 3),
            aim_added_ms=None if shape == PLAIN else ADDED_TARGET_MS,
            samples=count,
        )


async def _measure_bytes(
    system: local_system.LocalSystem, client: client_tables.Client
) -> None:
    """Send each journaled shape alone and print the bytes written to one disk.

    This must run first, before a snapshot truncates the log.
    """
    for shape in (*SHAPES[1:], "staged"):
        before = journal_bytes(system)
        started_s = time.perf_counter()
        for number in range(REQUESTS_PER_SHAPE):
            await requests_load.send_one(client, shape, f"bytes-{shape}-{number}")
        took_ms = (time.perf_counter() - started_s) * 1_000
        emit(
            f"journal bytes on one disk for a request of shape {shape}",
            {"bytes": round((journal_bytes(system) - before) / REQUESTS_PER_SHAPE)},
            mean_ms=round(took_ms / REQUESTS_PER_SHAPE, 3),
            samples=REQUESTS_PER_SHAPE,
        )


async def _measure_rate(
    system: local_system.LocalSystem,
    client: client_tables.Client,
    options: argparse.Namespace,
) -> None:
    """Load all entry hosts with each shape in turn, for a limited time."""
    for shape in (PLAIN, "durable", "once"):
        numbers = itertools.count()
        end_s = time.monotonic() + options.seconds
        latencies_ms: list[float] = []

        async def caller(
            shape=shape, numbers=numbers, end_s=end_s, latencies_ms=latencies_ms
        ):
            while time.monotonic() < end_s:
                started_s = time.perf_counter()
                name = f"rate-{shape}-{next(numbers)}"
                await requests_load.send_one(client, shape, name)
                latencies_ms.append((time.perf_counter() - started_s) * 1_000)

        await asyncio.gather(*(caller() for _ in range(options.callers)))
        emit(
            f"requests a second, shape {shape}",
            {"requests_per_s": round(len(latencies_ms) / options.seconds, 1)},
            latency=requests_load.percentiles(latencies_ms),
            callers=options.callers,
        )


def journal_bytes(system: local_system.LocalSystem) -> int:
    """Return the size of the journal group's files on the first control host."""
    data = system.folder / "control-a"
    folder = storage_files.group_folder(data, JOURNAL_GROUP)
    return sum(path.stat().st_size for path in folder.iterdir())


def emit(measurement: str, values: dict[str, Any], **details: Any) -> None:
    """Print one measurement as a line of JSON, without details that are None."""
    present = {name: value for name, value in details.items() if value is not None}
    print(json.dumps({"measure": measurement, **values, **present}), flush=True)
