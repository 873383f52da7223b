"""Load the real processes at a bounded rate, with a fault, and check the invariants.

Callers choose hosts as the system tells them, come back after refusals with the same
key, and record what they see; stand-ins record every call. Exit code 1 on a violation.
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
from standins import processes as standin_processes, site

MAXIMUM_RATE = 200.0
MAXIMUM_SECONDS = 90.0
MAXIMUM_OPEN = 2_000
WATCH_INTERVAL_S = 0.5
SHOWN_VIOLATIONS = 10
EXIT_VIOLATED = 1
EXIT_NOT_READY = 3


def run(arguments: list[str]) -> int:
    """Run the experiment; print one JSON object for each kind and a last summary."""
    parser = argparse.ArgumentParser(prog="bench load", description=__doc__)
    parser.add_argument("--rate", type=float, default=20.0, help="requests a second")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--example", default="cantref", choices=sorted(site.ZONES))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--fault",
        default="none",
        type=load_faults.parse,
        help=f"one or more with commas between: {', '.join(load_faults.FAULTS)}",
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
    system = site.create(options.example, folder)
    write = files.open_writer(folder / "records", "callers")
    async with standin_processes.manage(folder) as running:
        missing = await site.start(system, running)
        if missing or not await site.apply(system, running):
            print(f"the system is not ready: {missing}", file=sys.stderr)
            return EXIT_NOT_READY
        ended = await _load(options, system, running, write)
        await site.stop(running)
    run_records = files.read(folder / "records")
    return _report(options, ended, checks.check(run_records), len(run_records))


async def _load(
    options: argparse.Namespace,
    system: site.Site,
    running: standin_processes.Processes,
    write,
) -> list[load_caller.Ended]:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        client = load_caller.Client(
            system=system,
            session=session,
            write=write,
            run=f"load-{options.seed}",
            hosts=list(system.entries),
        )
        watching = asyncio.ensure_future(_watch(client))
        fault = asyncio.ensure_future(_inject(options, system, running, session))
        orders = _orders(options, system.manifest)
        ended = await _send_all(options, client, orders)
        await fault
        watching.cancel()
    return ended


async def _send_all(
    options: argparse.Namespace,
    client: load_caller.Client,
    orders: list[load_caller.Order],
) -> list[load_caller.Ended]:
    """Send at random times of the given rate, whether or not answers come back."""
    chance = random.Random(options.seed)
    open_limit = asyncio.Semaphore(MAXIMUM_OPEN)
    tasks = []

    async def live(order: load_caller.Order) -> load_caller.Ended:
        async with open_limit:
            return await load_caller.live(client, order)

    due_s = time.monotonic()
    for order in orders:
        due_s += chance.expovariate(options.rate)
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        tasks.append(asyncio.ensure_future(live(order)))
    return await asyncio.gather(*tasks)


def _orders(
    options: argparse.Namespace,
    whole: manifest.Manifest,
) -> list[load_caller.Order]:
    chance = random.Random(options.seed)
    choices = [
        (pipeline, kind) for pipeline in whole.pipelines for kind in pipeline.kinds
    ]
    workspaces = [workspace.name for workspace in whole.workspaces]
    weights = [workspace.weight for workspace in whole.workspaces]
    orders = []
    for number in range(int(options.rate * options.seconds)):
        pipeline, kind = chance.choice(choices)
        workspace = chance.choices(workspaces, weights)[0]
        orders.append(load_caller.Order(number, workspace, pipeline, kind))
    return orders


async def _inject(
    options: argparse.Namespace,
    system: site.Site,
    running: standin_processes.Processes,
    session: aiohttp.ClientSession,
) -> None:
    await asyncio.sleep(options.seconds / 3)
    await asyncio.gather(
        *(
            load_faults.FAULTS[name](system, running, session)
            for name in options.fault.split(",")
        ),
    )


async def _watch(client: load_caller.Client) -> None:
    """Keep the list of hosts fresh, and record which manifest each has in force."""
    timeout = aiohttp.ClientTimeout(total=WATCH_INTERVAL_S)
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
        await asyncio.sleep(WATCH_INTERVAL_S)


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
    ended: list[load_caller.Ended],
    violations: list[checks.Violation],
    count: int,
) -> int:
    by_kind = collections.defaultdict(list)
    for each in ended:
        by_kind[each.order.kind.name].append(each)
    for name, group in sorted(by_kind.items()):
        print(json.dumps({"kind": name, **_summary(group)}))
    for violation in violations[:SHOWN_VIOLATIONS]:
        print(json.dumps({"violation": violation.invariant, "of": violation.detail}))
    summary = {
        "example": options.example,
        "fault": options.fault,
        "rate_per_s": options.rate,
        "seed": options.seed,
        **_summary(ended),
        "cost_ms_by_stage": _costs(ended),
        "records": count,
        "violations": len(violations),
    }
    print(json.dumps(summary), flush=True)
    return EXIT_VIOLATED if violations else 0


def _summary(group: list[load_caller.Ended]) -> dict:
    outcomes = collections.Counter(each.outcome for each in group)
    whole = sorted(each.took_s for each in group if each.outcome.startswith("whole"))
    took = {}
    if whole:
        took = {
            "median_ms": round(statistics.median(whole) * 1_000, 1),
            "p95_ms": round(whole[len(whole) * 95 // 100] * 1_000, 1),
        }
    return {
        "sent": len(group),
        "attainment": round(outcomes["whole in time"] / max(1, len(group)), 4),
        "outcomes": dict(outcomes),
        "exchanges": sum(each.exchanges for each in group),
        **took,
    }


def _costs(ended: list[load_caller.Ended]) -> dict[str, float]:
    costs: dict[str, float] = collections.defaultdict(float)
    for each in ended:
        for stage, cost_ms in each.cost_ms.items():
            costs[stage] += cost_ms
    return {stage: round(cost_ms, 1) for stage, cost_ms in sorted(costs.items())}
