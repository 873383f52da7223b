"""Entry hosts' ticks against model upstreams under virtual time.

The replicated groups are one journal that answers at once. All follows from the seed.
"""

import dataclasses
import hashlib
import heapq
import math
import random

import msgspec

from bitternlever.entry import tables as entry_tables, tick
from bitternlever.gossip import upstreams
from bitternlever.journal import machine, tables as journal_tables
from bitternlever.messages import calls, frames, journal, manifest, requests, upstream
from standins import engine_model

WAY_S = {True: 0.000_3, False: 0.000_8}
CONTROL_S = 0.001
FAILURE_S = 0.002
ANNOUNCE_S = 1.0
PART_S = 0.25
FENCE_S = 3.0
RECONNECT_S = 0.2
POLL_S = 0.5
PLAIN_STEPS = 5
JOURNAL_BYTES = 16_000_000
TOKEN = "word"
PLAIN_OUTPUT = "done"
PLAIN_DIGEST = hashlib.sha256(msgspec.json.encode(PLAIN_OUTPUT)).hexdigest()


@dataclasses.dataclass(slots=True)
class Flight:
    """A request with what chance decided about it, and how it ended."""

    number: int
    at_s: float
    workspace: str
    pipeline: manifest.Pipeline
    kind: manifest.Kind
    prompt_tokens: int
    output_tokens: int
    zone: int
    outcome: str = "lost"
    took_s: float = math.inf
    ready_s: float = 0.0
    waited_s: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """What happens at a time to all of a name, pool or zone: slow, down, up, lose."""

    at_s: float
    action: str
    target: str
    slowdown: float = 1.0


@dataclasses.dataclass(slots=True)
class Fake:
    """An upstream: its engine and the calls that run on it."""

    name: str
    pool: str
    zone: str
    engine: engine_model.Engine
    calls: dict = dataclasses.field(default_factory=dict)
    shown: dict[str, int] = dataclasses.field(default_factory=dict)
    working: bool = True
    gone: bool = False
    sequence: int = 0
    timer: int = 0
    events: list[upstream.CacheEvent] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class World:
    """Hosts, upstreams, flights and the queue of what happens next."""

    hosts: dict[str, entry_tables.EntryTables]
    fakes: dict[str, Fake]
    flights: list[Flight]
    random: random.Random
    report_lag_s: float = 0.1
    lost_events: float = 0.0
    journal: journal_tables.JournalTables = dataclasses.field(
        default_factory=lambda: machine.create(
            journal_tables.JournalSettings(maximum_bytes=JOURNAL_BYTES),
        ),
    )
    queue: list = dataclasses.field(default_factory=list)
    wakes: dict[str, float] = dataclasses.field(default_factory=dict)
    count: int = 0
    now: float = 0.0
    sent: dict[str, int] = dataclasses.field(default_factory=dict)
    cost_s: dict[str, float] = dataclasses.field(default_factory=dict)
    callers: dict[int, Flight] = dataclasses.field(default_factory=dict)

    def after(self, delay_s: float, action, *arguments) -> None:
        """Let an action happen after a delay."""
        self.count += 1
        at_s = self.now + max(0.0, delay_s)
        heapq.heappush(self.queue, (at_s, self.count, action, arguments))


def simulate(world: World, changes: list[Change], end_s: float) -> None:
    """Run the world until its end."""
    for tables in world.hosts.values():
        tables.lease.epoch = 1
        tables.lease.valid_until_s = tables.lease.next_renewal_s = math.inf
        tables.manifest.fresh_until_s = math.inf
    for index, fake in enumerate(world.fakes.values()):
        _beat(world, fake)
        world.after(index * ANNOUNCE_S / len(world.fakes), _beat, world, fake)
    for flight in world.flights:
        world.after(flight.at_s, _arrive, world, flight)
    for change in changes:
        world.after(change.at_s, _apply, world, change)
    while world.queue and world.queue[0][0] <= end_s:
        world.now, _, action, arguments = heapq.heappop(world.queue)
        action(*arguments)


def _beat(world: World, fake: Fake) -> None:
    """Sample the load; a host hears of it after the lag and gossip tells the others."""
    if fake.gone:
        return
    _advance(world, fake)
    for change in engine_model.take_changes(fake.engine):
        if world.random.random() >= world.lost_events:
            event = upstream.CacheEvent(change.number, change.prefix, change.stored)
            fake.events.append(event)
    fake.sequence += 1
    fake.events = fake.events[-upstreams.MAXIMUM_CACHE_EVENTS :]
    load = upstream.LoadReport(
        running=len(fake.engine.running),
        waiting=len(fake.engine.waiting),
        age_s=world.report_lag_s,
    )
    word = upstream.Announcement(
        name=fake.name,
        incarnation=1,
        sequence=fake.sequence,
        address=fake.name,
        pool=fake.pool,
        zone=fake.zone,
        tasks=[each.value for each in manifest.Task],
        concurrency=fake.engine.settings.maximum_running,
        load=load,
        cache_events=list(fake.events),
    )
    for host in list(world.hosts)[fake.sequence % len(world.hosts) :][:1]:
        _tick(world, host, requests.UpstreamAnnounced(word))
    if fake.sequence > 1:
        world.after(ANNOUNCE_S, _beat, world, fake)


def _apply(world: World, change: Change) -> None:
    for fake in world.fakes.values():
        if change.target not in (fake.name, fake.pool, fake.zone):
            continue
        _advance(world, fake)
        fake.engine.slowdown = change.slowdown
        fake.working = change.action in ("slow", "up")
        fake.gone = change.action == "lose"
        if not fake.working:
            for host, call in list(fake.calls.values()):
                _fail(world, host, call)
                _drop(world, fake, call.attempt)
        _schedule(world, fake)
    for host, tables in list(world.hosts.items()):
        if change.action == "lose" and tables.settings.zone == change.target:
            del world.hosts[host]
            world.after(FENCE_S, _fence, world, host)
            for caller, request_id in tables.requests.callers.items():
                _reconnect(world, caller, tables.requests.requests[request_id])


def _reconnect(world: World, caller: int, request) -> None:
    """Let a caller of a lost host ask another one: again, or for its answer."""
    if not request.journaled:
        world.after(RECONNECT_S, _arrive, world, world.flights[caller])
        return
    world.after(FENCE_S, _query, world, caller, request.request_id)


def _query(world: World, caller: int, request_id: str) -> None:
    workspace = world.flights[caller].workspace
    query = requests.RequestQueried(caller, workspace, request_id)
    _tick(world, next(iter(world.hosts)), query)


def _fence(world: World, host: str) -> None:
    machine.apply(world.journal, journal.FenceHost(host=host, epoch=2))
    hint = calls.OrphansWaiting(group=journal.FIRST_GROUP, count=1)
    for other in list(world.hosts):
        _tick(world, other, frames.PeerReceived("control", "", hint))
    if world.now < FENCE_S * 20:
        world.after(1.0, _fence, world, host)


def _arrive(world: World, flight: Flight) -> None:
    hosts = list(world.hosts)
    host = hosts[flight.zone % len(hosts)]
    world.callers[flight.number] = flight
    flight.ready_s = world.now
    prefix = f"{flight.workspace}/{flight.kind.name}"
    fields = {"prefix": prefix, "number": flight.number}
    body = msgspec.json.encode({"input": fields})
    submitted = requests.RequestSubmitted(
        caller=flight.number,
        workspace=flight.workspace,
        pipeline=flight.pipeline.name,
        kind=flight.kind.name,
        body=body.ljust(flight.prompt_tokens * len(TOKEN)),
        digest=str(flight.number),
    )
    _tick(world, host, submitted)


def _tick(world: World, host: str, *inbox) -> None:
    tables = world.hosts.get(host)
    if tables is None:
        return
    outbox = tick.tick(tables, world.now, list(inbox))
    for message in outbox.messages:
        _leave(world, host, tables, message)
    wake_s = outbox.wake_at_s
    if wake_s is not None and not world.now < world.wakes.get(host, 0.0) <= wake_s:
        world.wakes[host] = wake_s
        world.after(wake_s - world.now, _wake, world, host, wake_s)


def _wake(world: World, host: str, wake_s: float) -> None:
    if world.wakes.get(host) == wake_s:
        _tick(world, host)


def _leave(world: World, host: str, tables, message) -> None:
    match message:
        case requests.CallUpstream():
            name = message.call.binding.stage
            world.sent[name] = world.sent.get(name, 0) + 1
            flight = world.flights[message.call.input["number"]]
            flight.waited_s += world.now - flight.ready_s
            flight.ready_s = world.now
            fake = world.fakes[message.upstream]
            world.after(_way(tables, fake), _reach, world, host, fake, message)
        case requests.CancelUpstream():
            fake = world.fakes[message.upstream]
            world.after(_way(tables, fake), _drop, world, fake, message.attempt)
        case requests.WholeAnswer() | requests.ProblemAnswer():
            _answer(world, host, message)
        case requests.RequestState():
            world.after(POLL_S, _query, world, message.caller, message.request_id)
        case frames.SendPeer(message=calls.ControlCall() as call):
            reply = machine.apply(world.journal, call.command)
            answer = calls.ControlReply(call.call_id, call.group, reply)
            received = frames.PeerReceived("control", "", answer)
            world.after(CONTROL_S, _tick, world, host, received)
        case frames.SendPeer(link=link):
            received = frames.PeerReceived("entry", "", message.message)
            world.after(CONTROL_S, _tick, world, link, received)


def _answer(world: World, host: str, message) -> None:
    flight = world.callers.pop(message.caller, None)
    if flight is None:
        return
    flight.took_s = world.now - flight.at_s
    flight.outcome = "answered"
    if isinstance(message, requests.ProblemAnswer):
        flight.outcome = message.problem.title
    elif flight.kind.durable:
        read = requests.AnswerAcknowledged(-1, flight.workspace, message.request_id)
        world.after(CONTROL_S, _tick, world, host, read)


def _way(tables, fake: Fake) -> float:
    return WAY_S[tables.settings.zone == fake.zone]


def _reach(world: World, host: str, fake: Fake, message) -> None:
    _advance(world, fake)
    flight = world.flights[message.call.input["number"]]
    job = engine_model.Job(message.attempt, 1, PLAIN_STEPS, message.call.priority)
    if message.call.stream:
        resumed = len(message.call.resume_output) // len(TOKEN)
        job.prompt_tokens = flight.prompt_tokens + resumed
        job.output_tokens = max(1, flight.output_tokens - resumed)
        job.prefix = message.call.prefix
        job.prefix_tokens = flight.prompt_tokens // 2
    if fake.working and engine_model.submit(fake.engine, world.now, job):
        fake.calls[message.attempt] = (host, message)
        _schedule(world, fake)
    else:
        _fail(world, host, message)


def _fail(world: World, host: str, message) -> None:
    failed = requests.UpstreamFailed(
        attempt=message.attempt,
        sent=requests.Sent.UNKNOWN,
        reason="out of order",
        status=503,
    )
    world.after(FAILURE_S, _tick, world, host, failed)


def _drop(world: World, fake: Fake, attempt: str) -> None:
    _advance(world, fake)
    if attempt in fake.calls:
        _, message = fake.calls.pop(attempt)
        world.flights[message.call.input["number"]].ready_s = world.now
        fake.shown.pop(attempt, None)
        _pay(world, message, engine_model.cancel(fake.engine, world.now, attempt))
        _schedule(world, fake)


def _schedule(world: World, fake: Fake) -> None:
    fake.timer += 1
    due_s = engine_model.next_event_s(fake.engine)
    if due_s is not None:
        world.after(due_s - world.now, _due, world, fake, fake.timer)


def _due(world: World, fake: Fake, timer: int) -> None:
    if timer == fake.timer:
        _advance(world, fake)
        _schedule(world, fake)


def _advance(world: World, fake: Fake) -> None:
    for event in engine_model.advance(fake.engine, world.now):
        host, message = fake.calls[event.name]
        if isinstance(event, engine_model.Finished):
            _finish(world, fake, host, message, event.job)
        elif message.call.stream:
            fake.shown[event.name] = 0
            _show(world, fake, host, event.name, 1)
            world.after(PART_S, _stream, world, fake, host, event.name)


def _stream(world: World, fake: Fake, host: str, attempt: str) -> None:
    _advance(world, fake)
    job = fake.engine.running.get(attempt)
    if job is not None and attempt in fake.shown:
        _show(world, fake, host, attempt, int(job.produced))
        world.after(PART_S, _stream, world, fake, host, attempt)


def _show(world: World, fake: Fake, host: str, attempt: str, tokens: int) -> None:
    _, message = fake.calls[attempt]
    shown = fake.shown[attempt]
    if tokens <= shown or host not in world.hosts:
        return
    offset = len(message.call.resume_output) + shown * len(TOKEN)
    fake.shown[attempt] = tokens
    part = requests.UpstreamPart(attempt, offset, TOKEN * (tokens - shown))
    world.after(_way(world.hosts[host], fake), _tick, world, host, part)


def _finish(world: World, fake: Fake, host: str, message, job) -> None:
    _pay(world, message, job)
    world.flights[message.call.input["number"]].ready_s = world.now
    attempt = message.attempt
    finished = requests.UpstreamFinished(
        attempt=attempt,
        binding=message.call.binding,
        digest=PLAIN_DIGEST,
        output=PLAIN_OUTPUT,
        usage=upstream.Usage(
            busy_ms=job.busy_s * 1_000,
            prompt_tokens=job.prompt_tokens,
            cached_tokens=job.cached_tokens,
            output_tokens=job.output_tokens,
        ),
    )
    if message.call.stream:
        _show(world, fake, host, attempt, job.output_tokens)
        text = message.call.resume_output + TOKEN * job.output_tokens
        finished.output = None
        finished.length = len(text)
        finished.digest = hashlib.sha256(text.encode()).hexdigest()
    del fake.calls[attempt]
    fake.shown.pop(attempt, None)
    if host in world.hosts:
        world.after(_way(world.hosts[host], fake), _tick, world, host, finished)


def _pay(world: World, message, job: engine_model.Job) -> None:
    name = message.call.binding.stage
    world.cost_s[name] = world.cost_s.get(name, 0.0) + job.busy_s
