"""Measure the latency added by the system, its throughput and its idle cost.

Direct calls and calls through the system alternate in one run and reach the same
stand-in.
"""

import argparse
import asyncio
import dataclasses
import json
import os
import pathlib
import statistics
import sys
import tempfile
import time
from typing import Any

import aiohttp
import msgspec

from bench import process_cost
from bitternlever.messages import manifest, upstream
from standins import local_system, processes as standin_processes

TOKEN = "cantref-caerdydd-example-token"
POOL = "panel"
SERVICE_MS = 1.0
WARM_UP_CALLS = 50
IDLE_S = 5.0
PERCENTILE = 95
ADDED_TARGET_MS = 3.0
CONTROL_MEMORY_TARGET_MB = 64.0
IDLE_CPU_TARGET = 0.01


@dataclasses.dataclass(slots=True, frozen=True)
class Shape:
    """A pipeline of the experiment: its number of stages and whether it is durable."""

    name: str
    stages: int
    durable: bool


SHAPES = (
    Shape(name="one", stages=1, durable=False),
    Shape(name="four", stages=4, durable=False),
    Shape(name="one-journaled", stages=1, durable=True),
    Shape(name="four-journaled", stages=4, durable=True),
)


def run(arguments: list[str]) -> int:
    """Run the experiment and print one JSON object for each measurement."""
    parser = argparse.ArgumentParser(prog="bench path", description=__doc__)
    parser.add_argument("--calls", type=int, default=400, help="calls of each shape")
    parser.add_argument("--seconds", type=float, default=5.0, help="time under load")
    parser.add_argument("--callers", type=int, default=16, help="callers under load")
    parser.add_argument("--traced", action="store_true", help="write spans to files")
    options = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory(prefix="bitternlever-path-") as folder:
        return asyncio.run(_run(options, pathlib.Path(folder)))


async def _run(options: argparse.Namespace, folder: pathlib.Path) -> int:
    system = local_system.create("cantref", folder, own_manifest=bench_manifest())
    system.service_ms = SERVICE_MS
    system.traced = options.traced
    async with standin_processes.manage(folder) as processes:
        missing = await local_system.start(system, processes)
        if missing or not await local_system.apply_manifest(system, processes):
            print(f"the system is not ready, missing: {missing}", file=sys.stderr)
            return 1
        emit(
            "conditions",
            {"load_average": os.getloadavg()[0]},
            cores=os.cpu_count(),
            traced=options.traced,
        )
        connector = aiohttp.TCPConnector(limit=0)
        await _measure_idle(processes, after="the start")
        async with aiohttp.ClientSession(connector=connector) as session:
            await _measure_added(system, session, options.calls)
            await _measure_rate(system, session, processes, options)
        await _measure_idle(processes, after="the load of this run")
        await local_system.stop(processes)
    return 0


def bench_manifest() -> manifest.Manifest:
    """Return the example's manifest with the pipelines of this experiment."""
    base = local_system.load_manifest("cantref")
    return msgspec.structs.replace(
        base,
        pipelines=[_pipeline(shape) for shape in SHAPES],
        models=[],
        pools=[POOL],
    )


def _pipeline(shape: Shape) -> manifest.Pipeline:
    stages = [
        manifest.Stage(name=f"stage-{number}", task=manifest.Task.CALL, pool=POOL)
        for number in range(shape.stages)
    ]
    kind = manifest.Kind(
        name=shape.name,
        priority=0,
        deadline_ms=10_000,
        durable=shape.durable,
    )
    return manifest.Pipeline(name=shape.name, stages=stages, kinds=[kind])


async def _measure_added(
    system: local_system.LocalSystem,
    session: aiohttp.ClientSession,
    calls: int,
) -> None:
    """Alternate direct calls and calls of every shape; print the added latency."""
    direct_ms: list[float] = []
    system_ms: dict[str, list[float]] = {shape.name: [] for shape in SHAPES}
    for number in range(calls + WARM_UP_CALLS):
        sample = await _measure_ms(_call_directly(system, session, number))
        samples = {
            shape.name: await _measure_ms(
                _call_system(system, session, shape.name, number)
            )
            for shape in SHAPES
        }
        if number >= WARM_UP_CALLS:
            direct_ms.append(sample)
            for name, latency_ms in samples.items():
                system_ms[name].append(latency_ms)
    base_ms = statistics.median(direct_ms)
    emit("direct call", _percentiles(direct_ms), samples=calls)
    for shape in SHAPES:
        latencies_ms = system_ms[shape.name]
        added_ms = statistics.median(latencies_ms) - base_ms * shape.stages
        emit(
            f"added to a request of shape {shape.name}",
            {"median_ms": round(added_ms, 3)},
            added_per_stage_ms=round(added_ms / shape.stages, 3),
            whole=_percentiles(latencies_ms),
            aim_ms=ADDED_TARGET_MS if shape.name == "one" else None,
            samples=calls,
        )


async def _measure_rate(
    system: local_system.LocalSystem,
    session: aiohttp.ClientSession,
    processes: standin_processes.Processes,
    options: argparse.Namespace,
) -> None:
    """Load one entry process for a limited time; print its rate and CPU time."""
    pid = processes.by_name["entry-a"].pid
    for shape in ("one", "one-journaled"):
        before_s = process_cost.cpu_s(pid)
        started_s = time.monotonic()
        counts = await asyncio.gather(
            *(
                _caller(system, session, shape, f"{shape}-{number}", options.seconds)
                for number in range(options.callers)
            ),
        )
        took_s = time.monotonic() - started_s
        used_s = process_cost.cpu_s(pid) - before_s
        done = sum(counts)
        emit(
            f"requests a second of one entry process, shape {shape}",
            {"requests_per_s": round(done / took_s, 1)},
            cpu_ms_per_request=round(1_000 * used_s / max(1, done), 3),
            entry_core_used=round(used_s / took_s, 2),
            callers=options.callers,
        )


async def _measure_idle(processes: standin_processes.Processes, after: str) -> None:
    """Print memory and CPU time of the idle entry and control processes."""
    pids = {
        name: process.pid
        for name, process in processes.by_name.items()
        if name.startswith(("control-", "entry-"))
    }
    before = {name: process_cost.cpu_s(pid) for name, pid in pids.items()}
    await asyncio.sleep(IDLE_S)
    for name, pid in sorted(pids.items()):
        core_share = (process_cost.cpu_s(pid) - before[name]) / IDLE_S
        is_control = name.startswith("control-")
        emit(
            f"idle {name}",
            {"resident_mb": round(process_cost.resident_mb(pid), 1)},
            core_share=round(core_share, 4),
            aim_resident_mb=CONTROL_MEMORY_TARGET_MB if is_control else None,
            aim_core_share=IDLE_CPU_TARGET,
            after=after,
        )


async def _caller(
    system: local_system.LocalSystem,
    session: aiohttp.ClientSession,
    shape: str,
    name: str,
    seconds: float,
) -> int:
    end_s = time.monotonic() + seconds
    count = 0
    while time.monotonic() < end_s:
        await _call_system(system, session, shape, f"{name}-{count}")
        count += 1
    return count


async def _call_directly(
    system: local_system.LocalSystem,
    session: aiohttp.ClientSession,
    number: int,
) -> None:
    binding = upstream.Binding(f"direct-{number}", "stage-0", f"direct-{number}", 0)
    call = upstream.StageCall(binding=binding, input={"text": f"call {number}"})
    url = f"{system.stand_ins[f'{POOL}-1']}/v1/stages/call"
    await _post(session, url, msgspec.json.encode(call), {})


async def _call_system(
    system: local_system.LocalSystem,
    session: aiohttp.ClientSession,
    shape: str,
    number: Any,
) -> None:
    body = {"kind": shape, "input": {"text": f"call {number}"}}
    url = f"{system.entries[0]}/v1/pipelines/{shape}/requests"
    headers = {"Authorization": f"Bearer {TOKEN}"}
    await _post(session, url, msgspec.json.encode(body), headers)


async def _post(
    session: aiohttp.ClientSession,
    url: str,
    body: bytes,
    headers: dict[str, str],
) -> None:
    async with session.post(url, data=body, headers=headers) as response:
        data = await response.read()
        if response.status != 200:
            raise RuntimeError(f"{url}: {response.status} {data[:200]!r}")


async def _measure_ms(call: Any) -> float:
    started_s = time.perf_counter()
    await call
    return (time.perf_counter() - started_s) * 1_000


def _percentiles(samples: list[float]) -> dict[str, float]:
    ordered = sorted(samples)
    return {
        "median_ms": round(statistics.median(ordered), 3),
        f"p{PERCENTILE}_ms": round(ordered[len(ordered) * PERCENTILE // 100], 3),
    }


def emit(measurement: str, values: dict[str, float], **details: Any) -> None:
    """Print one measurement as a line of JSON, without details that are None."""
    present = {name: value for name, value in details.items() if value is not None}
    print(json.dumps({"measure": measurement, **values, **present}), flush=True)
