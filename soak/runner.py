"""One run: starts processes, relays and callers, and applies the faults of its plan."""

import asyncio
import dataclasses
import json
import pathlib
import random
import shutil
import signal
import time

import aiohttp

from soak import (
    callers,
    http,
    operator as soak_operator,
    plan,
    records as soak_records,
    upstreams as soak_upstreams,
)
from standins import fleet as standin_fleet, relay as standin_relay

CALLERS = 6
"""Two for each host on average, so that connections are shared unevenly."""

READY_TIMEOUT_S = 20.0
"""Ten times the duration of a start on an idle machine."""

RECOVERY_S = 12.0
"""The recovery time that the platform's operators require after the last fault."""

VERIFICATION_S = 3.0
"""Long enough for a dozen requests of each caller, all of which must be served."""

EXIT_TIMEOUT_S = 15.0
"""Above the grace period; a process that is still running then is killed."""

WATCH_INTERVAL_S = 0.1
"""The longest time until the end of a process is noticed."""

REQUEST_TIMEOUT_S = 1.0
"""The same as the connect timeout of callers."""

MINIMUM_PAUSE_S = 0.3
"""Several times the soak's own work, and less than the margin of the checks."""

DELAY_S = 0.15
"""The delay in each direction; a round trip stays below an election timeout."""

CLOSE_DELAY_S = 0.3
"""The time until the ends of all connections are noticed."""


@dataclasses.dataclass(slots=True)
class Environment:
    """The processes, relays and tasks of one run.

    ``limit`` is the upstream that names a rate limit, with that limit. ``stopped`` has
    the names of the processes that a fault has ended.
    """

    fleet: standin_fleet.Fleet
    records: soak_records.Records
    source: random.Random
    stopping: asyncio.Event
    session: aiohttp.ClientSession
    limit: tuple[str, float] | None = None
    evacuations: list[plan.Evacuation] = dataclasses.field(default_factory=list)
    operator: soak_operator.Operator | None = None
    relays: dict[str, standin_relay.Relay] = dataclasses.field(default_factory=dict)
    upstreams: dict[str, soak_upstreams.Upstream] = dataclasses.field(
        default_factory=dict,
    )
    stopped: set[str] = dataclasses.field(default_factory=set)
    caller_tasks: list[asyncio.Task] = dataclasses.field(default_factory=list)
    tasks: list[asyncio.Task] = dataclasses.field(default_factory=list)


async def run(seed: int, folder: pathlib.Path, network: int) -> soak_records.Records:
    """Run one seed and return its records; parallel runs need different networks."""
    fleet = standin_fleet.create(
        folder,
        network,
        tolerated_losses=plan.TOLERATED_LOSSES,
        relayed=True,
    )
    async with aiohttp.ClientSession() as session:
        env = Environment(
            fleet=fleet,
            records=soak_records.Records(),
            source=random.Random(seed),
            stopping=asyncio.Event(),
            session=session,
            limit=plan.draw_limit(seed),
            evacuations=plan.draw_evacuations(seed),
        )
        try:
            await _run_plan(env, plan.draw(seed))
        finally:
            await _tear_down(env)
    return env.records


async def _run_plan(env: Environment, faults: list[plan.Fault]) -> None:
    await _start(env)
    start_s = _now()
    for evacuation in env.evacuations:
        _start_task(env, _evacuate_at(env, start_s, evacuation))
    await asyncio.gather(*(_apply_at(env, start_s, fault) for fault in faults))
    recovery_deadline_s = _now() + RECOVERY_S
    await asyncio.sleep(RECOVERY_S)
    if all([await _is_ready(env, name) for name in plan.ENTRIES]):
        env.records.recovered_s = recovery_deadline_s
    await asyncio.sleep(VERIFICATION_S)
    env.stopping.set()
    await asyncio.wait(env.caller_tasks)


async def _start(env: Environment) -> None:
    for name in (*plan.CONTROLS, *plan.ENTRIES):
        env.relays[name] = await _start_relay(env.fleet, name)
        env.fleet.start(name)
    for name in plan.UPSTREAMS:
        upstream = soak_upstreams.Upstream(
            name=name,
            records=env.records,
            source=random.Random(env.source.random()),
            clock=asyncio.get_running_loop(),
            started_ms=int(time.time() * 1_000),
        )
        if env.limit is not None and env.limit[0] == name:
            upstream.limit_per_s = env.limit[1]
        await soak_upstreams.start(upstream)
        env.upstreams[name] = upstream
    env.operator = soak_operator.Operator(
        fleet=env.fleet,
        records=env.records,
        source=random.Random(env.source.random()),
        session=env.session,
        stopping=env.stopping,
    )
    for upstream in env.upstreams.values():
        _start_task(env, soak_operator.run_heartbeats(env.operator, upstream))
    async with asyncio.timeout(READY_TIMEOUT_S):
        while not await soak_operator.write_config(env.operator):
            await asyncio.sleep(0.2)
        while not all([await _is_ready(env, name) for name in plan.ENTRIES]):
            await asyncio.sleep(0.2)
    _start_task(env, soak_operator.run(env.operator))
    _start_task(env, _watch_processes(env))
    _start_task(env, _watch_soak_pauses(env))
    for number in range(CALLERS):
        caller = callers.Caller(
            name=f"caller-{number}",
            records=env.records,
            source=random.Random(env.source.random()),
            resolve=lambda: _resolve(env),
            stopping=env.stopping,
        )
        env.caller_tasks.append(_start_task(env, callers.run(caller)))


async def _start_relay(fleet: standin_fleet.Fleet, name: str) -> standin_relay.Relay:
    target_ip, _, target_port = fleet.link_bind_address(name).rpartition(":")
    ip, _, port = fleet.link(name).rpartition(":")
    return await standin_relay.listen((target_ip, int(target_port)), ip, int(port))


async def _tear_down(env: Environment) -> None:
    env.stopping.set()
    for task in env.tasks:
        task.cancel()
    await asyncio.gather(*env.tasks, return_exceptions=True)
    standin_fleet.end(env.fleet)
    for relay in env.relays.values():
        standin_relay.close(relay)
    for upstream in env.upstreams.values():
        upstream.endpoint.listener.close()
    await asyncio.sleep(CLOSE_DELAY_S)


async def _apply_at(env: Environment, start_s: float, fault: plan.Fault) -> None:
    await asyncio.sleep(max(0.0, start_s + fault.at_s - _now()))
    if fault.kind is plan.Kind.REVOKE:
        env.operator.revoked_keys.add(fault.target)
        await soak_operator.write_config(env.operator)
    elif fault.kind is plan.Kind.KILL_ALL_CONTROLS:
        await _restart(env, list(plan.CONTROLS), fault.for_s)
    elif fault.target in env.upstreams:
        await _apply_upstream_fault(env, fault)
    elif fault.kind in (*plan.LINK_FAULTS, plan.Kind.CUT):
        await _apply_link_fault(env.relays[fault.target], fault)
    else:
        await _apply_process_fault(env, fault)


async def _evacuate_at(
    env: Environment, start_s: float, evacuation: plan.Evacuation
) -> None:
    await asyncio.sleep(max(0.0, start_s + evacuation.at_s - _now()))
    await soak_operator.evacuate(env.operator, evacuation)


async def _apply_link_fault(relay: standin_relay.Relay, fault: plan.Fault) -> None:
    match fault.kind:
        case plan.Kind.SILENCE:
            standin_relay.silence(relay)
        case plan.Kind.RESET:
            standin_relay.reset(relay)
        case plan.Kind.DELAY:
            relay.delay_s = DELAY_S
            await asyncio.sleep(fault.for_s)
            relay.delay_s = 0.0
        case plan.Kind.CUT:
            relay.cut = True
            await asyncio.sleep(fault.for_s)
            relay.cut = False


async def _apply_upstream_fault(env: Environment, fault: plan.Fault) -> None:
    upstream = env.upstreams[fault.target]
    if fault.kind is plan.Kind.UPSTREAM_DRAINS:
        await _drain_upstream(env, upstream, fault.for_s)
        return
    upstream.fault = fault.kind
    await asyncio.sleep(fault.for_s)
    upstream.fault = None
    if fault.kind is plan.Kind.UPSTREAM_RESTARTS:
        soak_upstreams.restart(upstream)
        await soak_operator.send_heartbeat(env.operator, upstream)


async def _drain_upstream(
    env: Environment,
    upstream: soak_upstreams.Upstream,
    for_s: float,
) -> None:
    upstream.state = "draining"
    acknowledged = await soak_operator.send_heartbeat(env.operator, upstream)
    since_s = _now()
    await asyncio.sleep(standin_fleet.DRAIN_S + for_s)
    if acknowledged:
        env.records.drain_periods.append((upstream.name, since_s, _now()))
    soak_upstreams.restart(upstream)
    await soak_operator.send_heartbeat(env.operator, upstream)


async def _apply_process_fault(env: Environment, fault: plan.Fault) -> None:
    name = fault.target
    process = env.fleet.processes.get(name)
    if process is None:
        return
    match fault.kind:
        case plan.Kind.KILL | plan.Kind.WIPE:
            wipe_disk = fault.kind is plan.Kind.WIPE
            await _restart(env, [name], fault.for_s, wipe_disk=wipe_disk)
        case plan.Kind.TERMINATE:
            await _terminate(env, name, fault.for_s)
        case plan.Kind.FREEZE:
            since_s = _now()
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(fault.for_s)
            process.send_signal(signal.SIGCONT)
            _record_fault_period(env, name, since_s)
        case plan.Kind.RELOAD_SETTINGS:
            process.send_signal(signal.SIGHUP)


async def _restart(
    env: Environment,
    names: list[str],
    down_s: float,
    *,
    wipe_disk: bool = False,
) -> None:
    since_s = _now()
    ended = [name for name in names if name in env.fleet.processes]
    for name in ended:
        env.stopped.add(name)
        await asyncio.to_thread(env.fleet.kill, name)
        data = env.fleet.folder / name
        if wipe_disk and data.exists():
            shutil.rmtree(data)
    await asyncio.sleep(down_s)
    for name in ended:
        env.fleet.start(name, bootstrap=False)
        env.stopped.discard(name)
        _record_fault_period(env, name, since_s)


async def _terminate(env: Environment, name: str, down_s: float) -> None:
    env.stopped.add(name)
    process = env.fleet.processes[name]
    process.send_signal(signal.SIGTERM)
    since_s = _now()
    while process.poll() is None and _now() < since_s + EXIT_TIMEOUT_S:
        await asyncio.sleep(WATCH_INTERVAL_S / 10)
    duration_s = _now() - since_s
    code = process.poll()
    if code is None or code >= 0:
        exited = soak_records.Exit(name, -1 if code is None else code, True, duration_s)
        env.records.exits.append(exited)
    ended_s = _now()
    await asyncio.sleep(down_s)
    if env.fleet.processes.get(name) is process:
        if code is None:
            await asyncio.to_thread(env.fleet.kill, name)
        env.fleet.start(name, bootstrap=False)
    env.stopped.discard(name)
    _record_fault_period(env, name, ended_s)


async def _watch_processes(env: Environment) -> None:
    """Record processes that ended without a fault, and restart them."""
    while True:
        for name, process in list(env.fleet.processes.items()):
            if process.poll() is None or name in env.stopped:
                continue
            exited = soak_records.Exit(name, process.returncode, False, 0.0)
            env.records.exits.append(exited)
            env.fleet.start(name, bootstrap=False)
        await asyncio.sleep(WATCH_INTERVAL_S)


async def _watch_soak_pauses(env: Environment) -> None:
    """Record periods in which this process itself did not run."""
    while True:
        sleep_start_s = _now()
        await asyncio.sleep(WATCH_INTERVAL_S)
        if _now() - sleep_start_s > WATCH_INTERVAL_S + MINIMUM_PAUSE_S:
            env.records.soak_pauses.append((sleep_start_s, _now()))


async def _resolve(env: Environment) -> tuple[str, str] | None:
    """Resolve a host through the directory of a random host; None without an answer."""
    directory_host = env.source.choice(plan.ENTRIES)
    zone = env.source.choice(standin_fleet.ZONES)
    url = f"http://{env.fleet.address(directory_host, 3)}/api/resolve"
    query = {"name": "h.example", "region": "r", "zone": zone}
    body = await http.fetch(env.session, "GET", url, REQUEST_TIMEOUT_S, params=query)
    if body is None:
        return None
    names = {env.fleet.address(name, 1): name for name in plan.ENTRIES}
    known_addresses = [
        address for address in json.loads(body)["addrs"] if address in names
    ]
    if not known_addresses:
        return None
    address = env.source.choice(known_addresses)
    return names[address], address


async def _is_ready(env: Environment, name: str) -> bool:
    url = f"http://{env.fleet.address(name, 2)}/api/ready"
    return await http.fetch(env.session, "GET", url, REQUEST_TIMEOUT_S) is not None


def _record_fault_period(env: Environment, name: str, since_s: float) -> None:
    env.records.fault_periods.append((name, since_s, _now()))


def _start_task(env: Environment, coroutine) -> asyncio.Task:
    task = asyncio.ensure_future(coroutine)
    env.tasks.append(task)
    return task


def _now() -> float:
    return asyncio.get_running_loop().time()
