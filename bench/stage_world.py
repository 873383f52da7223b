"""Stage services, engines and callers under virtual time.

The decisions are those of the modules that a fleet runs.

One batching queue a service decides as on its host; upstreams work on one call at a
time and hold results until they are freed; an engine reads prompts one after another;
callers judge the time to the first event, leave when their patience ends, and come back
once after a refusal. All follows from the seed.
"""

import dataclasses
import heapq
import itertools
import random
import zlib
from collections.abc import Callable

from bitternlever.batching import batcher, estimates, tables as batching_tables
from bitternlever.catalog import routes, tables as catalog_tables
from bitternlever.gateway import (
    context as gateway_context,
    dialect,
    forward,
    schedule,
    tables as gateway_tables,
)
from bitternlever.messages import fleet

HOP_S = 0.000_6
TICK_S = 0.05
PROMPT_TOKENS_PER_S = 63_900.0
ENGINE_LEAST_S = 0.03
RESULT_SPREAD = 0.2


@dataclasses.dataclass(slots=True, frozen=True)
class Kind:
    """Requests of one route: how many a second, what they need, what they are worth.

    ``pieces`` maps each stage to the mean count; a share below 1 omits the stage.
    """

    route: catalog_tables.Route
    per_s: float
    worth: float
    late_worth: float
    pieces: tuple[float, ...]
    shares: tuple[float, ...]
    shared_tokens: int
    own_tokens: int
    subjects: int


@dataclasses.dataclass(slots=True, frozen=True)
class Burst:
    """A time in which a kind comes ``factor`` times as often."""

    kind: str
    factor: float
    from_s: float
    to_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class World:
    """What is emulated: services with upstreams by zone, engines, kinds, bursts."""

    services: tuple[catalog_tables.Service, ...]
    upstreams: dict[str, tuple[str, ...]]
    engines: tuple[str, ...]
    kinds: tuple[Kind, ...]
    bursts: tuple[Burst, ...]
    length_s: float
    slow: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Flight:
    """One request of a caller, its first attempt's time and how it ended."""

    kind: Kind
    first_s: float
    context: gateway_context.Context
    subject: int
    engine: int
    done: set[int] = dataclasses.field(default_factory=set)
    started: set[int] = dataclasses.field(default_factory=set)
    begun: set[int] = dataclasses.field(default_factory=set)
    handles: dict[int, list[str]] = dataclasses.field(default_factory=dict)
    made_s: dict[int, float] = dataclasses.field(default_factory=dict)
    attempt: int = 0
    outcome: str = ""
    first_event_s: float | None = None
    refused_after_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Emulation:
    """The state of a run."""

    world: World
    random: random.Random
    tables: gateway_tables.GatewayTables
    catalog: catalog_tables.Catalog
    batchers: dict[str, batching_tables.Batcher]
    now: float = 0.0
    events: list = dataclasses.field(default_factory=list)
    order: itertools.count = dataclasses.field(default_factory=itertools.count)
    numbers: itertools.count = dataclasses.field(default_factory=itertools.count)
    flights: list[Flight] = dataclasses.field(default_factory=list)
    active: dict[str, Flight] = dataclasses.field(default_factory=dict)
    engine_free_s: list[float] = dataclasses.field(default_factory=list)
    cached: set[tuple[int, str, int]] = dataclasses.field(default_factory=set)
    room: dict[str, float] = dataclasses.field(default_factory=dict)
    sizes: dict[str, float] = dataclasses.field(default_factory=dict)
    made_s: dict[str, float] = dataclasses.field(default_factory=dict)
    crossed_bytes: float = 0.0
    no_room: int = 0
    unused: int = 0


def run(world: World, seed: int) -> Emulation:
    """Emulate the whole length and return what happened."""
    emulation = _create(world, seed)
    for kind in world.kinds:
        _schedule_arrivals(emulation, kind)
    _at(emulation, TICK_S, lambda: _tick(emulation))
    while emulation.events:
        at_s, _, action = heapq.heappop(emulation.events)
        if at_s > world.length_s + 12.0:
            break
        emulation.now = at_s
        action()
    return emulation


def _create(world: World, seed: int) -> Emulation:
    word = fleet.HostWord("host", "", "", "a", "", 0, 0, fleet.HostState.READY)
    tables = gateway_tables.GatewayTables(word=word, seeds=())
    catalog = catalog_tables.Catalog(
        version=1,
        routes={},
        services={service.name: service for service in world.services},
        limits=catalog_tables.ClientLimits(0, 0, 0.0, 0.0),
        workspaces=None,
    )
    batchers = {}
    for service in world.services:
        held = batcher.create(service)
        present = {
            f"{service.name}-{number}": (f"{service.name}-{number}", zone)
            for number, zone in enumerate(world.upstreams[service.name])
        }
        batcher.set_servers(held, present)
        batchers[service.name] = held
    return Emulation(
        world=world,
        random=random.Random(seed),
        tables=tables,
        catalog=catalog,
        batchers=batchers,
        engine_free_s=[0.0] * len(world.engines),
    )


def _at(emulation: Emulation, at_s: float, action: Callable[[], None]) -> None:
    heapq.heappush(emulation.events, (at_s, next(emulation.order), action))


def _schedule_arrivals(emulation: Emulation, kind: Kind) -> None:
    """Draw all arrivals of a kind by thinning at its highest rate."""
    bursts = [each for each in emulation.world.bursts if each.kind == kind.route.name]
    highest = kind.per_s * max([1.0, *(each.factor for each in bursts)])
    at_s = 0.0
    while True:
        at_s += emulation.random.expovariate(highest)
        if at_s >= emulation.world.length_s:
            return
        factor = max(
            [1.0, *(b.factor for b in bursts if b.from_s <= at_s < b.to_s)],
        )
        if emulation.random.random() * highest < kind.per_s * factor:
            _at(emulation, at_s, lambda kind=kind: _arrive(emulation, kind))


def _arrive(emulation: Emulation, kind: Kind) -> None:
    pieces = tuple(
        _draw_pieces(emulation, mean, share)
        for mean, share in zip(kind.pieces, kind.shares, strict=True)
    )
    subject = emulation.random.randrange(kind.subjects)
    flight = Flight(
        kind=kind,
        first_s=emulation.now,
        context=_context(emulation, kind, pieces, emulation.now),
        subject=subject,
        engine=zlib.crc32(f"{kind.route.name} {subject}".encode())
        % len(emulation.world.engines),
    )
    emulation.flights.append(flight)
    _begin(emulation, flight)


def _draw_pieces(emulation: Emulation, mean: float, share: float) -> int:
    if emulation.random.random() >= share:
        return 0
    if mean <= 1.0:
        return 1
    return max(1, round(emulation.random.lognormvariate(0.0, 0.4) * mean * 0.92))


def _context(
    emulation: Emulation,
    kind: Kind,
    pieces: tuple[int, ...],
    first_s: float,
) -> gateway_context.Context:
    route = kind.route
    head = dialect.RequestHead(
        request=f"r{next(emulation.numbers)}",
        deadline_s=None,
        api_key=None,
        prompt=(),
        prompt_tokens=0,
        output_tokens=0,
        pieces=pieces,
        piece_key="",
        last_event=None,
    )
    return gateway_context.Context(
        arrived_s=emulation.now,
        deadline_s=first_s + route.timeout_s,
        first_event_s=first_s + routes.patience_s(route),
        head=head,
        raw_headers=(),
        method=b"POST",
        target=b"/",
        body=b"",
        route=route,
        service="engines",
        workspace=None,
        priority=route.priority,
        catalog=emulation.catalog,
    )


def _begin(emulation: Emulation, flight: Flight) -> None:
    flight.attempt += 1
    flight.context.engine_zone = emulation.world.engines[flight.engine]
    emulation.active[flight.context.head.request] = flight
    away_s = schedule.turned_away_s(emulation.tables, flight.context, emulation.now)
    if away_s is not None:
        _refuse(emulation, flight, away_s)
        return
    _advance(emulation, flight)


def _advance(emulation: Emulation, flight: Flight) -> None:
    """Start each stage whose turn has come; the engine once all are done."""
    route = flight.kind.route
    for stage in schedule.in_order(route.stages):
        if stage.number in flight.started or not flight.done.issuperset(stage.after):
            continue
        held_by = schedule.held_back_by(flight.context, stage)
        if held_by is not None and held_by not in flight.begun | flight.done:
            continue
        flight.started.add(stage.number)
        if schedule.count_of(flight.context, stage) == 0:
            _stage_done(emulation, flight, stage, [])
            return
        _submit(emulation, flight, stage)
    if len(flight.done) == len(route.stages):
        _engine(emulation, flight)


def _begun(emulation: Emulation, flight: Flight) -> None:
    waiting = len(flight.done) < len(flight.kind.route.stages)
    if not flight.outcome and waiting:
        _advance(emulation, flight)


def _submit(
    emulation: Emulation,
    flight: Flight,
    stage: catalog_tables.Stage,
) -> None:
    context = flight.context
    count = schedule.count_of(context, stage)
    inputs = [each for number in stage.after for each in flight.handles[number]]
    zones = {}
    for handle in inputs:
        zone = handle.split("|")[0]
        zones[zone] = zones.get(zone, 0) + 1
    read = count * sum(
        context.route.stages[number].result_bytes * len(flight.handles[number])
        for number in stage.after
    )
    final = stage.number not in schedule.followed(context.route)
    home = ""
    if inputs and read >= 1_000_000:
        home = max(zones, key=zones.get)
    elif final and count * stage.result_bytes >= 1_000_000:
        home = context.engine_zone
    now = emulation.now
    work = fleet.StageWork(
        work=f"{context.head.request}/{stage.number}",
        request=context.head.request,
        service=stage.service,
        stage=stage.number,
        key="",
        pieces=[fleet.StagePiece(number, inputs) for number in range(count)],
        priority=routes.rank(context.route, context.workspace),
        depth=len(flight.done),
        objective_left_s=schedule.objective_left_s(
            emulation.tables, context, stage, now
        ),
        deadline_left_s=schedule.deadline_left_s(context, stage, now, flight.made_s),
        result_bytes=stage.result_bytes,
        workspace="",
        feeds_stage=not final,
        home_zone=home,
    )
    held = emulation.batchers[stage.service]
    refused = batcher.submit(held, now, work, "host")
    emulation.tables.loads[stage.service] = gateway_tables.Told(
        batcher.load(held, now), now
    )
    if refused is not None:
        _refuse(emulation, flight, refused.refusal.retry_after_s)
        return
    _at(emulation, now + HOP_S, lambda: _pump(emulation, stage.service))


def _pump(emulation: Emulation, service: str) -> None:
    held = emulation.batchers[service]
    now = emulation.now
    batcher.forget_expired(held, now)
    for finished in batcher.expired(held, now):
        flight = emulation.active.get(finished.work.message.request)
        if flight is not None:
            _refuse(emulation, flight, finished.refusal.retry_after_s)
    for address, handles in batcher.take_unread(held).items():
        del address
        _free_handles(emulation, handles)
        emulation.unused += len(handles)
    for call in batcher.dispatch(held, now):
        _work(emulation, held, call)


def _work(
    emulation: Emulation,
    held: batching_tables.Batcher,
    call: batching_tables.Call,
) -> None:
    """Let an upstream work on a call: results need room from its turn on."""
    for item in call.items:
        work = held.works[item.work]
        flight = emulation.active.get(work.message.request)
        if flight is not None and not work.waiting:
            flight.begun.add(work.message.stage)
            _at(
                emulation,
                emulation.now + HOP_S,
                lambda flight=flight: _begun(emulation, flight),
            )
    name = call.server.upstream
    room = held.capacity.room_bytes - emulation.room.get(name, 0.0)
    outcomes = []
    made = 0
    for item in call.items:
        work = held.works[item.work]
        inputs = work.message.pieces[item.index].inputs
        if any(_has_expired(emulation, held, handle) for handle in inputs):
            gone = batching_tables.ItemDone(None, "gone", lost_input=True)
            outcomes.append(gone)
            continue
        _count_crossed(emulation, inputs, call.server.zone)
        spread = emulation.random.uniform(1 - RESULT_SPREAD, 1 + RESULT_SPREAD)
        size = work.message.result_bytes * spread
        if size > room:
            outcomes.append(batching_tables.ItemDone(None, "room", no_room=True))
            emulation.no_room += 1
            continue
        room -= size
        made += 1
        handle = f"{call.server.zone}|{name}/{next(emulation.numbers)}"
        emulation.sizes[handle] = size
        emulation.made_s[handle] = emulation.now
        emulation.room[name] = emulation.room.get(name, 0.0) + size
        outcomes.append(batching_tables.ItemDone(handle))
    slow = emulation.world.slow.get(name, 1.0)
    capacity = held.capacity
    took_s = (capacity.call_s + capacity.item_s * made) * slow if made else 0.001
    _at(
        emulation,
        emulation.now + took_s + HOP_S,
        lambda: _worked(emulation, held, call, outcomes),
    )


def _count_crossed(emulation: Emulation, handles: list[str], zone: str) -> None:
    for handle in handles:
        if not handle.startswith(f"{zone}|"):
            emulation.crossed_bytes += emulation.sizes.get(handle, 0.0)


def _has_expired(
    emulation: Emulation,
    held: batching_tables.Batcher,
    handle: str,
) -> bool:
    made_s = emulation.made_s.get(handle, emulation.now)
    return emulation.now - made_s > held.capacity.result_s


def _worked(
    emulation: Emulation,
    held: batching_tables.Batcher,
    call: batching_tables.Call,
    outcomes: list[batching_tables.ItemDone],
) -> None:
    for finished in batcher.call_done(held, emulation.now, call.number, outcomes):
        request = finished.work.message.request
        flight = emulation.active.get(request)
        if flight is None:
            continue
        if finished.refusal is not None:
            _refuse(emulation, flight, finished.refusal.retry_after_s)
            continue
        work = finished.work
        handles = [work.handles[index] for index in range(len(work.message.pieces))]
        stage = flight.kind.route.stages[work.message.stage]
        _stage_done(emulation, flight, stage, handles)
    _pump(emulation, held.service)


def _stage_done(
    emulation: Emulation,
    flight: Flight,
    stage: catalog_tables.Stage,
    handles: list[str],
) -> None:
    flight.handles[stage.number] = handles
    flight.done.add(stage.number)
    flight.made_s[stage.number] = emulation.now
    for number in stage.after:
        _free(emulation, flight, number)
    _advance(emulation, flight)


def _free(emulation: Emulation, flight: Flight, number: int) -> None:
    handles = flight.handles.get(number) or []
    service = flight.kind.route.stages[number].service
    batcher.free(emulation.batchers[service], emulation.now, handles)
    _free_handles(emulation, handles)
    flight.handles[number] = []
    if handles:
        _at(emulation, emulation.now + HOP_S, lambda: _pump(emulation, service))


def _free_handles(emulation: Emulation, handles: list[str]) -> None:
    for handle in handles:
        size = emulation.sizes.pop(handle, 0.0)
        name = handle.split("|")[1].split("/")[0]
        emulation.room[name] = emulation.room.get(name, 0.0) - size


def _engine(emulation: Emulation, flight: Flight) -> None:
    kind = flight.kind
    key = (flight.engine, kind.route.name, flight.subject)
    shared = 0 if key in emulation.cached else kind.shared_tokens
    emulation.cached.add(key)
    own = kind.own_tokens * emulation.random.lognormvariate(-0.5, 1.0)
    read_s = (shared + own) / PROMPT_TOKENS_PER_S
    for handles in flight.handles.values():
        _count_crossed(emulation, handles, emulation.world.engines[flight.engine])
    fetched_s = emulation.now + forward.INPUTS_FETCHED_S
    _at(emulation, fetched_s, lambda: _fetched(emulation, flight))
    begin_s = max(emulation.now, emulation.engine_free_s[flight.engine])
    emulation.engine_free_s[flight.engine] = begin_s + read_s
    staged_s = emulation.now
    first_s = begin_s + read_s + ENGINE_LEAST_S
    _at(emulation, first_s, lambda: _first_event(emulation, flight, staged_s))


def _fetched(emulation: Emulation, flight: Flight) -> None:
    if not flight.outcome:
        for number in list(flight.handles):
            _free(emulation, flight, number)


def _first_event(emulation: Emulation, flight: Flight, staged_s: float) -> None:
    if flight.outcome:
        return
    estimate = schedule.first_piece_of(emulation.tables, "engines")
    estimates.add(estimate, emulation.now, emulation.now - staged_s)
    flight.outcome = "served"
    flight.first_event_s = emulation.now - flight.first_s
    _end(emulation, flight)


def _refuse(emulation: Emulation, flight: Flight, retry_after_s: float) -> None:
    _end(emulation, flight)
    held_s = emulation.now - flight.context.arrived_s
    flight.refused_after_s += held_s
    left_s = flight.first_s + flight.kind.route.timeout_s - emulation.now
    wait_s = min(retry_after_s, left_s / 3.0)
    if flight.attempt > 1 or left_s <= 0:
        flight.outcome = "refused"
        return
    flight.done.clear()
    flight.started.clear()
    flight.begun.clear()
    flight.handles.clear()

    def again() -> None:
        pieces = flight.context.head.pieces
        flight.context = _context(emulation, flight.kind, pieces, emulation.now)
        _begin(emulation, flight)

    _at(emulation, emulation.now + wait_s, again)


def _end(emulation: Emulation, flight: Flight) -> None:
    """Free what a request holds and drop its works."""
    emulation.active.pop(flight.context.head.request, None)
    for number in list(flight.handles):
        _free(emulation, flight, number)
    for stage in flight.kind.route.stages:
        name = f"{flight.context.head.request}/{stage.number}"
        batcher.cancel(emulation.batchers[stage.service], emulation.now, name)


def _tick(emulation: Emulation) -> None:
    for flight in list(emulation.active.values()):
        if emulation.now > flight.context.first_event_s and not flight.outcome:
            flight.outcome = "left"
            _end(emulation, flight)
    for service in emulation.batchers:
        _pump(emulation, service)
    if emulation.now < emulation.world.length_s + 12.0:
        _at(emulation, emulation.now + TICK_S, lambda: _tick(emulation))


def credit(flight: Flight) -> float:
    """Return what a request has earned: its worth on time, a part of it later."""
    if flight.first_event_s is None:
        return 0.0
    if flight.first_event_s <= flight.kind.route.objective_s:
        return flight.kind.worth
    return flight.kind.late_worth
