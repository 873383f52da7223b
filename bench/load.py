"""Load the real processes at a limited rate, with faults, and check the invariants.

Callers use the hosts that the system lists, retry refused requests with the same key
and record all responses; stand-ins record every call. Exit code 1 on a violation.
"""

import argparse
import asyncio
import collections
import json
import pathlib
import random
import statistics
import sys
import tempfile
import time

import aiohttp

from bench import load_caller, load_faults
from bench.invariants import checks, files, records
from bitternlever.messages import manifest
from standins import local_system, processes as standin_processes

MAXIMUM_RATE = 200.0
MAXIMUM_SECONDS = 90.0
MAXIMUM_OPEN_REQUESTS = 2_000
POLL_INTERVAL_S = 0.5
SHOWN_VIOLATIONS = 10
EXIT_VIOLATED = 1
EXIT_NOT_READY = 3


def run(arguments: list[str]) -> int:
    """Run the experiment and print one JSON object for each kind and a summary."""
    parser = argparse.ArgumentParser(prog="bench load", description=__doc__)
    parser.add_argument("--rate", type=float, default=20.0, help="requests a second")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument(
        "--example", default="cantref", choices=sorted(local_system.ZONES)
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--fault",
        default="none",
        type=load_faults.parse,
        help=f"one or more, separated by commas: {', '.join(load_faults.FAULTS)}",
    )
    parser.add_argument("--keep", help="keep logs and records in this folder")
    options = parser.parse_args(arguments)
    options.rate = min(options.rate, MAXIMUM_RATE)
    options.seconds = min(options.seconds, MAXIMUM_SECONDS)
    if options.keep:
        pathlib.Path(options.keep).mkdir(parents=True, exist_ok=True)
        return asyncio.run(_run(options, pathlib.Path(options.keep)))
    with tempfile.TemporaryDirectory(prefix="bitternlever-load-") as folder:
        return asyncio.run(_run(options, pathlib.Path(folder)))


async def _run(options: argparse.Namespace, folder: pathlib.Path) -> int:
    system = local_system.create(options.example, folder)
    write = files.open_writer(folder / "records", "callers")
    async with standin_processes.manage(folder) as processes:
        missing = await local_system.start(system, processes)
        if missing or not await local_system.apply_manifest(system, processes):
            print(f"the system is not ready, missing: {missing}", file=sys.stderr)
            return EXIT_NOT_READY
        results = await _run_load(options, system, processes, write)
        await local_system.stop(processes)
    run_records = files.read(folder / "records")
    return _report(options, results, checks.check(run_records), len(run_records))


async def _run_load(
    options: argparse.Namespace,
    system: local_system.LocalSystem,
    processes: standin_processes.Processes,
    write,
) -> list[load_caller.RequestResult]:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        client = load_caller.Client(
            system=system,
            session=session,
            write=write,
            run_name=f"load-{options.seed}",
            hosts=list(system.entries),
        )
        polling = asyncio.ensure_future(_poll_hosts(client))
        fault = asyncio.ensure_future(
            _inject_faults(options, system, processes, session)
        )
        planned_requests = _plan_requests(options, system.manifest)
        results = await _send_all(options, client, planned_requests)
        await fault
        polling.cancel()
    return results


async def _send_all(
    options: argparse.Namespace,
    client: load_caller.Client,
    planned_requests: list[load_caller.PlannedRequest],
) -> list[load_caller.RequestResult]:
    """Send requests with exponential gaps at the given rate, without waiting."""
    rng = random.Random(options.seed)
    open_limit = asyncio.Semaphore(MAXIMUM_OPEN_REQUESTS)
    tasks = []

    async def send(planned: load_caller.PlannedRequest) -> load_caller.RequestResult:
        async with open_limit:
            return await load_caller.send_until_answered(client, planned)

    due_s = time.monotonic()
    for planned in planned_requests:
        due_s += rng.expovariate(options.rate)
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        tasks.append(asyncio.ensure_future(send(planned)))
    return await asyncio.gather(*tasks)


def _plan_requests(
    options: argparse.Namespace,
    loaded: manifest.Manifest,
) -> list[load_caller.PlannedRequest]:
    rng = random.Random(options.seed)
    choices = [
        (pipeline, kind) for pipeline in loaded.pipelines for kind in pipeline.kinds
    ]
    workspaces = [workspace.name for workspace in loaded.workspaces]
    weights = [workspace.weight for workspace in loaded.workspaces]
    planned_requests = []
    for number in range(int(options.rate * options.seconds)):
        pipeline, kind = rng.choice(choices)
        workspace = rng.choices(workspaces, weights)[0]
        planned_requests.append(
            load_caller.PlannedRequest(number, workspace, pipeline, kind)
        )
    return planned_requests


async def _inject_faults(
    options: argparse.Namespace,
    system: local_system.LocalSystem,
    processes: standin_processes.Processes,
    session: aiohttp.ClientSession,
) -> None:
    await asyncio.sleep(options.seconds / 3)
    await asyncio.gather(
        *(
            load_faults.FAULTS[name](system, processes, session)
            for name in options.fault.split(",")
        ),
    )


async def _poll_hosts(client: load_caller.Client) -> None:
    """Poll the list of hosts and record the manifest in force on each."""
    timeout = aiohttp.ClientTimeout(total=POLL_INTERVAL_S)
    while True:
        for address in client.system.entries:
            try:
                async with client.session.get(
                    f"{address}/healthz",
                    timeout=timeout,
                ) as response:
                    state = await response.json()
                await _refresh_hosts(client, address, timeout)
            except (aiohttp.ClientError, TimeoutError):
                continue
            _record_manifest(client, state)
        await asyncio.sleep(POLL_INTERVAL_S)


async def _refresh_hosts(
    client: load_caller.Client,
    address: str,
    timeout: aiohttp.ClientTimeout,
) -> None:
    workspace = client.system.manifest.workspaces[0].name
    headers = {"Authorization": f"Bearer {workspace}{load_caller.TOKEN_SUFFIX}"}
    async with client.session.get(
        f"{address}/v1/hosts",
        headers=headers,
        timeout=timeout,
    ) as response:
        if response.status != 200:
            return
        hosts = [host["address"] for host in (await response.json())["hosts"]]
    client.hosts = hosts or client.hosts


def _record_manifest(client: load_caller.Client, state: dict) -> None:
    if state["manifest_number"]:
        client.write(
            records.ManifestSeen(
                host=f"{state['host']}/{state['epoch']}",
                number=state["manifest_number"],
                digest=state["manifest_digest"],
                time_s=time.monotonic(),
            ),
        )


def _report(
    options: argparse.Namespace,
    results: list[load_caller.RequestResult],
    violations: list[checks.Violation],
    count: int,
) -> int:
    by_kind = collections.defaultdict(list)
    for result in results:
        by_kind[result.planned.kind.name].append(result)
    for name, group in sorted(by_kind.items()):
        print(json.dumps({"kind": name, **_summary(group)}))
    for violation in violations[:SHOWN_VIOLATIONS]:
        print(json.dumps({"violation": violation.invariant, "of": violation.detail}))
    summary = {
        "example": options.example,
        "fault": options.fault,
        "rate_per_s": options.rate,
        "seed": options.seed,
        **_summary(results),
        "cost_ms_by_stage": _cost_ms_by_stage(results),
        "records": count,
        "violations": len(violations),
    }
    print(json.dumps(summary), flush=True)
    return EXIT_VIOLATED if violations else 0


def _summary(group: list[load_caller.RequestResult]) -> dict:
    outcomes = collections.Counter(result.outcome for result in group)
    complete_s = sorted(
        result.took_s for result in group if result.outcome.startswith("whole")
    )
    latencies = {}
    if complete_s:
        latencies = {
            "median_ms": round(statistics.median(complete_s) * 1_000, 1),
            "p95_ms": round(complete_s[len(complete_s) * 95 // 100] * 1_000, 1),
        }
    return {
        "sent": len(group),
        "attainment": round(outcomes["whole in time"] / max(1, len(group)), 4),
        "outcomes": dict(outcomes),
        "exchanges": sum(result.exchanges for result in group),
        **latencies,
    }


def _cost_ms_by_stage(results: list[load_caller.RequestResult]) -> dict[str, float]:
    costs: dict[str, float] = collections.defaultdict(float)
    for result in results:
        for stage, cost_ms in result.cost_ms.items():
            costs[stage] += cost_ms
    return {stage: round(cost_ms, 1) for stage, cost_ms in sorted(costs.items())}
