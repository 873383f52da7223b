"""One run: the processes, what stands between them, and the faults of its plan."""

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
"""Two for each host, so that connections are shared unevenly."""

READY_WITHIN_S = 20.0
"""Ten times what a start takes on an idle machine."""

RECOVER_S = 12.0
"""As the operators of the platform ask for after the last fault."""

CALM_S = 3.0
"""Some dozen requests of each caller, all of which have to be served."""

EXIT_WITHIN_S = 15.0
"""Above the grace period, after which a process is ended."""

WATCH_INTERVAL_S = 0.1
"""A process that has ended is missed for no longer than this."""

ASK_WITHIN_S = 1.0
"""As long as callers wait for a connection."""

STALL_S = 0.3
"""Several times what the soak's own work takes; a part of the margin of the checks."""

DELAY_S = 0.15
"""Each way, so that a round trip stays below an election timeout."""

CLOSING_S = 0.3
"""Until the ends of all connections are seen."""


@dataclasses.dataclass(slots=True)
class World:
    """Everything of one run; ``stopped`` are processes that a fault has ended."""

    fleet: standin_fleet.Fleet
    records: soak_records.Records
    source: random.Random
    stopping: asyncio.Event
    session: aiohttp.ClientSession
    operator: soak_operator.Operator | None = None
    relays: dict[str, standin_relay.Relay] = dataclasses.field(default_factory=dict)
    upstreams: dict[str, soak_upstreams.Upstream] = dataclasses.field(
        default_factory=dict,
    )
    stopped: set[str] = dataclasses.field(default_factory=set)
    calling: list[asyncio.Task] = dataclasses.field(default_factory=list)
    tasks: list[asyncio.Task] = dataclasses.field(default_factory=list)


async def run(seed: int, folder: pathlib.Path, network: int) -> soak_records.Records:
    """Play one seed and return what was seen; ``network`` keeps runs apart."""
    fleet = standin_fleet.create(
        folder,
        network,
        tolerated_losses=plan.TOLERATED_LOSSES,
        relayed=True,
    )
    async with aiohttp.ClientSession() as session:
        world = World(
            fleet=fleet,
            records=soak_records.Records(),
            source=random.Random(seed),
            stopping=asyncio.Event(),
            session=session,
        )
        try:
            await _play(world, plan.draw(seed))
        finally:
            await _end(world)
    return world.records


async def _play(world: World, faults: list[plan.Fault]) -> None:
    await _start(world)
    began_s = _now()
    await asyncio.gather(*(_apply_at(world, began_s, fault) for fault in faults))
    recovered_s = _now() + RECOVER_S
    await asyncio.sleep(RECOVER_S)
    if all([await _is_ready(world, name) for name in plan.ENTRIES]):
        world.records.quiet_since_s = recovered_s
    await asyncio.sleep(CALM_S)
    world.stopping.set()
    await asyncio.wait(world.calling)


async def _start(world: World) -> None:
    for name in (*plan.CONTROLS, *plan.ENTRIES):
        world.relays[name] = await _relay(world.fleet, name)
        world.fleet.start(name)
    for name in plan.UPSTREAMS:
        upstream = soak_upstreams.Upstream(
            name=name,
            records=world.records,
            source=random.Random(world.source.random()),
            clock=asyncio.get_running_loop(),
            started_ms=int(time.time() * 1_000),
        )
        await soak_upstreams.start(upstream)
        world.upstreams[name] = upstream
    world.operator = soak_operator.Operator(
        fleet=world.fleet,
        records=world.records,
        source=random.Random(world.source.random()),
        session=world.session,
        stopping=world.stopping,
    )
    for upstream in world.upstreams.values():
        _run(world, soak_operator.beat(world.operator, upstream))
    async with asyncio.timeout(READY_WITHIN_S):
        while not await soak_operator.put(world.operator):
            await asyncio.sleep(0.2)
        while not all([await _is_ready(world, name) for name in plan.ENTRIES]):
            await asyncio.sleep(0.2)
    _run(world, soak_operator.run(world.operator))
    _run(world, _watch(world))
    _run(world, _watch_stalls(world))
    for number in range(CALLERS):
        caller = callers.Caller(
            name=f"caller-{number}",
            records=world.records,
            source=random.Random(world.source.random()),
            resolve=lambda: _resolve(world),
            stopping=world.stopping,
        )
        world.calling.append(_run(world, callers.run(caller)))


async def _relay(fleet: standin_fleet.Fleet, name: str) -> standin_relay.Relay:
    target_ip, _, target_port = fleet.link_bind_address(name).rpartition(":")
    ip, _, port = fleet.link(name).rpartition(":")
    return await standin_relay.listen((target_ip, int(target_port)), ip, int(port))


async def _end(world: World) -> None:
    world.stopping.set()
    for task in world.tasks:
        task.cancel()
    await asyncio.gather(*world.tasks, return_exceptions=True)
    standin_fleet.end(world.fleet)
    for each in world.relays.values():
        standin_relay.close(each)
    for upstream in world.upstreams.values():
        upstream.server.listener.close()
    await asyncio.sleep(CLOSING_S)


async def _apply_at(world: World, began_s: float, fault: plan.Fault) -> None:
    await asyncio.sleep(max(0.0, began_s + fault.at_s - _now()))
    if fault.kind is plan.Kind.REVOKE:
        world.operator.ended.add(fault.target)
        await soak_operator.put(world.operator)
    elif fault.kind is plan.Kind.HERD:
        await _restart(world, list(plan.CONTROLS), fault.for_s)
    elif fault.target in world.upstreams:
        await _disturb_upstream(world, fault)
    elif fault.kind in (*plan.LINK_FAULTS, plan.Kind.CUT):
        await _disturb_link(world.relays[fault.target], fault)
    else:
        await _disturb_process(world, fault)


async def _disturb_link(relay: standin_relay.Relay, fault: plan.Fault) -> None:
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


async def _disturb_upstream(world: World, fault: plan.Fault) -> None:
    upstream = world.upstreams[fault.target]
    if fault.kind is plan.Kind.UPSTREAM_DRAINS:
        await _drain_upstream(world, upstream, fault.for_s)
        return
    upstream.fault = fault.kind
    await asyncio.sleep(fault.for_s)
    upstream.fault = None
    if fault.kind is plan.Kind.UPSTREAM_RESTARTS:
        soak_upstreams.begin_anew(upstream)
        await soak_operator.tell(world.operator, upstream)


async def _drain_upstream(
    world: World,
    upstream: soak_upstreams.Upstream,
    for_s: float,
) -> None:
    upstream.state = "draining"
    acknowledged = await soak_operator.tell(world.operator, upstream)
    since_s = _now()
    await asyncio.sleep(standin_fleet.DRAIN_S + for_s)
    if acknowledged:
        world.records.drained.append((upstream.name, since_s, _now()))
    soak_upstreams.begin_anew(upstream)
    await soak_operator.tell(world.operator, upstream)


async def _disturb_process(world: World, fault: plan.Fault) -> None:
    name = fault.target
    process = world.fleet.processes.get(name)
    if process is None:
        return
    match fault.kind:
        case plan.Kind.KILL | plan.Kind.WIPE:
            wiped = fault.kind is plan.Kind.WIPE
            await _restart(world, [name], fault.for_s, wiped=wiped)
        case plan.Kind.TERMINATE:
            await _terminate(world, name, fault.for_s)
        case plan.Kind.FREEZE:
            since_s = _now()
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(fault.for_s)
            process.send_signal(signal.SIGCONT)
            _disturbed(world, name, since_s)
        case plan.Kind.REHASH:
            process.send_signal(signal.SIGHUP)


async def _restart(
    world: World,
    names: list[str],
    down_s: float,
    *,
    wiped: bool = False,
) -> None:
    since_s = _now()
    ended = [name for name in names if name in world.fleet.processes]
    for name in ended:
        world.stopped.add(name)
        await asyncio.to_thread(world.fleet.kill, name)
        data = world.fleet.folder / name
        if wiped and data.exists():
            shutil.rmtree(data)
    await asyncio.sleep(down_s)
    for name in ended:
        world.fleet.start(name, bootstrap=False)
        world.stopped.discard(name)
        _disturbed(world, name, since_s)


async def _terminate(world: World, name: str, down_s: float) -> None:
    world.stopped.add(name)
    process = world.fleet.processes[name]
    process.send_signal(signal.SIGTERM)
    since_s = _now()
    while process.poll() is None and _now() < since_s + EXIT_WITHIN_S:
        await asyncio.sleep(WATCH_INTERVAL_S / 10)
    took_s = _now() - since_s
    code = process.poll()
    if code is None or code >= 0:
        seen = soak_records.Exit(name, -1 if code is None else code, True, took_s)
        world.records.exits.append(seen)
    ended_s = _now()
    await asyncio.sleep(down_s)
    if world.fleet.processes.get(name) is process:
        if code is None:
            await asyncio.to_thread(world.fleet.kill, name)
        world.fleet.start(name, bootstrap=False)
    world.stopped.discard(name)
    _disturbed(world, name, ended_s)


async def _watch(world: World) -> None:
    """Note processes that end although no fault has ended them; start them again."""
    while True:
        for name, process in list(world.fleet.processes.items()):
            if process.poll() is None or name in world.stopped:
                continue
            seen = soak_records.Exit(name, process.returncode, False, 0.0)
            world.records.exits.append(seen)
            world.fleet.start(name, bootstrap=False)
        await asyncio.sleep(WATCH_INTERVAL_S)


async def _watch_stalls(world: World) -> None:
    """Note when this program itself did not get to run."""
    while True:
        slept_s = _now()
        await asyncio.sleep(WATCH_INTERVAL_S)
        if _now() - slept_s > WATCH_INTERVAL_S + STALL_S:
            world.records.stalls.append((slept_s, _now()))


async def _resolve(world: World) -> tuple[str, str] | None:
    """Ask some host's directory for an address; None where nobody answers."""
    asked = world.source.choice(plan.ENTRIES)
    zone = world.source.choice(standin_fleet.ZONES)
    url = f"http://{world.fleet.address(asked, 3)}/api/resolve"
    question = {"name": "h.example", "region": "r", "zone": zone}
    body = await http.ask(world.session, "GET", url, ASK_WITHIN_S, params=question)
    if body is None:
        return None
    names = {world.fleet.address(name, 1): name for name in plan.ENTRIES}
    known = [address for address in json.loads(body)["addrs"] if address in names]
    if not known:
        return None
    address = world.source.choice(known)
    return names[address], address


async def _is_ready(world: World, name: str) -> bool:
    url = f"http://{world.fleet.address(name, 2)}/api/ready"
    return await http.ask(world.session, "GET", url, ASK_WITHIN_S) is not None


def _disturbed(world: World, name: str, since_s: float) -> None:
    world.records.disturbed.append((name, since_s, _now()))


def _run(world: World, coroutine) -> asyncio.Task:
    task = asyncio.ensure_future(coroutine)
    world.tasks.append(task)
    return task


def _now() -> float:
    return asyncio.get_running_loop().time()
