"""Simulate entry hosts with fake upstreams in virtual time.

The replicated groups are replaced by one journal that replies at once. A run is
determined by its seed.
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

# One-way latency, by whether the host and the upstream are in the same zone.
LATENCY_S = {True: 0.000_3, False: 0.000_8}
CONTROL_LATENCY_S = 0.001
FAILURE_LATENCY_S = 0.002
ANNOUNCE_INTERVAL_S = 1.0
PART_INTERVAL_S = 0.25
FENCE_DELAY_S = 3.0
RECONNECT_DELAY_S = 0.2
POLL_INTERVAL_S = 0.5
PLAIN_STEPS = 5
MAXIMUM_JOURNAL_BYTES = 16_000_000
TOKEN = "word"
PLAIN_OUTPUT = "done"
PLAIN_DIGEST = hashlib.sha256(msgspec.json.encode(PLAIN_OUTPUT)).hexdigest()


@dataclasses.dataclass(slots=True)
class SimulatedRequest:
    """A request with its randomly drawn properties and its outcome."""

    number: int
    arrives_s: float
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
class ScheduledChange:
    """A change at a time: slow, down, up or lose.

    It applies to the upstreams whose name, pool or zone is the target; lose also stops
    the hosts of that zone.
    """

    at_s: float
    action: str
    target: str
    slowdown: float = 1.0


@dataclasses.dataclass(slots=True)
class FakeUpstream:
    """A fake upstream: its engine and the calls that run on it.

    ``sent_tokens`` is the number of output tokens sent so far of each streamed attempt.
    """

    name: str
    pool: str
    zone: str
    engine: engine_model.Engine
    calls: dict = dataclasses.field(default_factory=dict)
    sent_tokens: dict[str, int] = dataclasses.field(default_factory=dict)
    is_up: bool = True
    is_lost: bool = False
    sequence: int = 0
    timer_number: int = 0
    events: list[upstream.CacheEvent] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Simulation:
    """The hosts, upstreams, requests and pending events of a run."""

    hosts: dict[str, entry_tables.EntryTables]
    fake_upstreams: dict[str, FakeUpstream]
    requests: list[SimulatedRequest]
    random: random.Random
    report_lag_s: float = 0.1
    lost_events: float = 0.0
    journal: journal_tables.JournalTables = dataclasses.field(
        default_factory=lambda: machine.create(
            journal_tables.JournalSettings(maximum_bytes=MAXIMUM_JOURNAL_BYTES),
        ),
    )
    event_queue: list = dataclasses.field(default_factory=list)
    wake_times_s: dict[str, float] = dataclasses.field(default_factory=dict)
    event_count: int = 0
    now: float = 0.0
    call_counts: dict[str, int] = dataclasses.field(default_factory=dict)
    cost_s: dict[str, float] = dataclasses.field(default_factory=dict)
    callers: dict[int, SimulatedRequest] = dataclasses.field(default_factory=dict)

    def schedule(self, delay_s: float, action, *arguments) -> None:
        """Schedule a call of an action after a delay."""
        self.event_count += 1
        at_s = self.now + max(0.0, delay_s)
        heapq.heappush(self.event_queue, (at_s, self.event_count, action, arguments))


def simulate(
    simulation: Simulation, changes: list[ScheduledChange], end_s: float
) -> None:
    """Run the simulation until ``end_s``."""
    for tables in simulation.hosts.values():
        tables.lease.epoch = 1
        tables.lease.valid_until_s = tables.lease.next_renewal_s = math.inf
        tables.manifest.fresh_until_s = math.inf
    for index, fake in enumerate(simulation.fake_upstreams.values()):
        _announce(simulation, fake)
        simulation.schedule(
            index * ANNOUNCE_INTERVAL_S / len(simulation.fake_upstreams),
            _announce,
            simulation,
            fake,
        )
    for request in simulation.requests:
        simulation.schedule(request.arrives_s, _submit_request, simulation, request)
    for change in changes:
        simulation.schedule(change.at_s, _apply_change, simulation, change)
    while simulation.event_queue and simulation.event_queue[0][0] <= end_s:
        simulation.now, _, action, arguments = heapq.heappop(simulation.event_queue)
        action(*arguments)


def _announce(simulation: Simulation, fake: FakeUpstream) -> None:
    """Announce the upstream's load to one host; gossip spreads it to the others."""
    if fake.is_lost:
        return
    _advance(simulation, fake)
    for change in engine_model.take_changes(fake.engine):
        if simulation.random.random() >= simulation.lost_events:
            event = upstream.CacheEvent(change.number, change.prefix, change.stored)
            fake.events.append(event)
    fake.sequence += 1
    fake.events = fake.events[-upstreams.MAXIMUM_CACHE_EVENTS :]
    load = upstream.LoadReport(
        running=len(fake.engine.running),
        waiting=len(fake.engine.waiting),
        age_s=simulation.report_lag_s,
    )
    announcement = upstream.Announcement(
        name=fake.name,
        incarnation=1,
        sequence=fake.sequence,
        address=fake.name,
        pool=fake.pool,
        zone=fake.zone,
        tasks=[task.value for task in manifest.Task],
        concurrency=fake.engine.settings.maximum_running,
        load=load,
        cache_events=list(fake.events),
    )
    for host in list(simulation.hosts)[fake.sequence % len(simulation.hosts) :][:1]:
        _tick(simulation, host, requests.UpstreamAnnounced(announcement))
    if fake.sequence > 1:
        simulation.schedule(ANNOUNCE_INTERVAL_S, _announce, simulation, fake)


def _apply_change(simulation: Simulation, change: ScheduledChange) -> None:
    for fake in simulation.fake_upstreams.values():
        if change.target not in (fake.name, fake.pool, fake.zone):
            continue
        _advance(simulation, fake)
        fake.engine.slowdown = change.slowdown
        fake.is_up = change.action in ("slow", "up")
        fake.is_lost = change.action == "lose"
        if not fake.is_up:
            for host, call in list(fake.calls.values()):
                _fail_call(simulation, host, call)
                _cancel_call(simulation, fake, call.attempt)
        _schedule_engine_event(simulation, fake)
    for host, tables in list(simulation.hosts.items()):
        if change.action == "lose" and tables.settings.zone == change.target:
            del simulation.hosts[host]
            simulation.schedule(FENCE_DELAY_S, _fence_host, simulation, host)
            for caller, request_id in tables.requests.callers.items():
                _reconnect(simulation, caller, tables.requests.requests[request_id])


def _reconnect(simulation: Simulation, caller: int, entry_request) -> None:
    """Reconnect a caller of a lost host to submit again or to query its answer."""
    if not entry_request.journaled:
        simulation.schedule(
            RECONNECT_DELAY_S, _submit_request, simulation, simulation.requests[caller]
        )
        return
    simulation.schedule(
        FENCE_DELAY_S, _query_answer, simulation, caller, entry_request.request_id
    )


def _query_answer(simulation: Simulation, caller: int, request_id: str) -> None:
    workspace = simulation.requests[caller].workspace
    query = requests.RequestQueried(caller, workspace, request_id)
    _tick(simulation, next(iter(simulation.hosts)), query)


def _fence_host(simulation: Simulation, host: str) -> None:
    machine.apply(simulation.journal, journal.FenceHost(host=host, epoch=2))
    hint = calls.OrphansWaiting(group=journal.FIRST_GROUP, count=1)
    for other in list(simulation.hosts):
        _tick(simulation, other, frames.PeerMessageReceived("control", "", hint))
    if simulation.now < FENCE_DELAY_S * 20:
        simulation.schedule(1.0, _fence_host, simulation, host)


def _submit_request(simulation: Simulation, request: SimulatedRequest) -> None:
    hosts = list(simulation.hosts)
    host = hosts[request.zone % len(hosts)]
    simulation.callers[request.number] = request
    request.ready_s = simulation.now
    prefix = f"{request.workspace}/{request.kind.name}"
    fields = {"prefix": prefix, "number": request.number}
    body = msgspec.json.encode({"input": fields})
    submitted = requests.RequestSubmitted(
        caller=request.number,
        workspace=request.workspace,
        pipeline=request.pipeline.name,
        kind=request.kind.name,
        body=body.ljust(request.prompt_tokens * len(TOKEN)),
        digest=str(request.number),
    )
    _tick(simulation, host, submitted)


def _tick(simulation: Simulation, host: str, *inbox) -> None:
    tables = simulation.hosts.get(host)
    if tables is None:
        return
    outbox = tick.tick(tables, simulation.now, list(inbox))
    for message in outbox.messages:
        _deliver_message(simulation, host, tables, message)
    wake_s = outbox.wake_at_s
    if (
        wake_s is not None
        and not simulation.now < simulation.wake_times_s.get(host, 0.0) <= wake_s
    ):
        simulation.wake_times_s[host] = wake_s
        simulation.schedule(wake_s - simulation.now, _wake, simulation, host, wake_s)


def _wake(simulation: Simulation, host: str, wake_s: float) -> None:
    if simulation.wake_times_s.get(host) == wake_s:
        _tick(simulation, host)


def _deliver_message(simulation: Simulation, host: str, tables, message) -> None:
    match message:
        case requests.CallUpstream():
            name = message.call.binding.stage
            simulation.call_counts[name] = simulation.call_counts.get(name, 0) + 1
            request = simulation.requests[message.call.input["number"]]
            request.waited_s += simulation.now - request.ready_s
            request.ready_s = simulation.now
            fake = simulation.fake_upstreams[message.upstream]
            simulation.schedule(
                _latency_s(tables, fake), _start_call, simulation, host, fake, message
            )
        case requests.CancelUpstream():
            fake = simulation.fake_upstreams[message.upstream]
            simulation.schedule(
                _latency_s(tables, fake),
                _cancel_call,
                simulation,
                fake,
                message.attempt,
            )
        case requests.WholeAnswer() | requests.ProblemAnswer():
            _record_answer(simulation, host, message)
        case requests.RequestState():
            simulation.schedule(
                POLL_INTERVAL_S,
                _query_answer,
                simulation,
                message.caller,
                message.request_id,
            )
        case frames.SendToPeer(message=calls.ControlCall() as call):
            reply = machine.apply(simulation.journal, call.command)
            answer = calls.ControlReply(call.call_id, call.group, reply)
            received = frames.PeerMessageReceived("control", "", answer)
            simulation.schedule(CONTROL_LATENCY_S, _tick, simulation, host, received)
        case frames.SendToPeer(link=link):
            received = frames.PeerMessageReceived("entry", "", message.message)
            simulation.schedule(CONTROL_LATENCY_S, _tick, simulation, link, received)


def _record_answer(simulation: Simulation, host: str, message) -> None:
    request = simulation.callers.pop(message.caller, None)
    if request is None:
        return
    request.took_s = simulation.now - request.arrives_s
    request.outcome = "answered"
    if isinstance(message, requests.ProblemAnswer):
        request.outcome = message.problem.title
    elif request.kind.durable:
        acknowledged = requests.AnswerAcknowledged(
            -1, request.workspace, message.request_id
        )
        simulation.schedule(CONTROL_LATENCY_S, _tick, simulation, host, acknowledged)


def _latency_s(tables, fake: FakeUpstream) -> float:
    return LATENCY_S[tables.settings.zone == fake.zone]


def _start_call(simulation: Simulation, host: str, fake: FakeUpstream, message) -> None:
    _advance(simulation, fake)
    request = simulation.requests[message.call.input["number"]]
    job = engine_model.Job(message.attempt, 1, PLAIN_STEPS, message.call.priority)
    if message.call.stream:
        resumed = len(message.call.resume_output) // len(TOKEN)
        job.prompt_tokens = request.prompt_tokens + resumed
        job.output_tokens = max(1, request.output_tokens - resumed)
        job.prefix = message.call.prefix
        job.prefix_tokens = request.prompt_tokens // 2
    if fake.is_up and engine_model.submit(fake.engine, simulation.now, job):
        fake.calls[message.attempt] = (host, message)
        _schedule_engine_event(simulation, fake)
    else:
        _fail_call(simulation, host, message)


def _fail_call(simulation: Simulation, host: str, message) -> None:
    failed = requests.UpstreamFailed(
        attempt=message.attempt,
        sent=requests.Sent.UNKNOWN,
        reason="out of order",
        status=503,
    )
    simulation.schedule(FAILURE_LATENCY_S, _tick, simulation, host, failed)


def _cancel_call(simulation: Simulation, fake: FakeUpstream, attempt: str) -> None:
    _advance(simulation, fake)
    if attempt in fake.calls:
        _, message = fake.calls.pop(attempt)
        simulation.requests[message.call.input["number"]].ready_s = simulation.now
        fake.sent_tokens.pop(attempt, None)
        _add_cost(
            simulation,
            message,
            engine_model.cancel(fake.engine, simulation.now, attempt),
        )
        _schedule_engine_event(simulation, fake)


def _schedule_engine_event(simulation: Simulation, fake: FakeUpstream) -> None:
    fake.timer_number += 1
    due_s = engine_model.next_event_s(fake.engine)
    if due_s is not None:
        simulation.schedule(
            due_s - simulation.now,
            _on_engine_event,
            simulation,
            fake,
            fake.timer_number,
        )


def _on_engine_event(
    simulation: Simulation, fake: FakeUpstream, timer_number: int
) -> None:
    if timer_number == fake.timer_number:
        _advance(simulation, fake)
        _schedule_engine_event(simulation, fake)


def _advance(simulation: Simulation, fake: FakeUpstream) -> None:
    for event in engine_model.advance(fake.engine, simulation.now):
        host, message = fake.calls[event.name]
        if isinstance(event, engine_model.Finished):
            _finish_call(simulation, fake, host, message, event.job)
        elif message.call.stream:
            fake.sent_tokens[event.name] = 0
            _send_part(simulation, fake, host, event.name, 1)
            simulation.schedule(
                PART_INTERVAL_S, _stream_output, simulation, fake, host, event.name
            )


def _stream_output(
    simulation: Simulation, fake: FakeUpstream, host: str, attempt: str
) -> None:
    _advance(simulation, fake)
    job = fake.engine.running.get(attempt)
    if job is not None and attempt in fake.sent_tokens:
        _send_part(simulation, fake, host, attempt, int(job.produced_tokens))
        simulation.schedule(
            PART_INTERVAL_S, _stream_output, simulation, fake, host, attempt
        )


def _send_part(
    simulation: Simulation, fake: FakeUpstream, host: str, attempt: str, tokens: int
) -> None:
    _, message = fake.calls[attempt]
    sent_tokens = fake.sent_tokens[attempt]
    if tokens <= sent_tokens or host not in simulation.hosts:
        return
    offset = len(message.call.resume_output) + sent_tokens * len(TOKEN)
    fake.sent_tokens[attempt] = tokens
    part = requests.UpstreamPart(attempt, offset, TOKEN * (tokens - sent_tokens))
    simulation.schedule(
        _latency_s(simulation.hosts[host], fake), _tick, simulation, host, part
    )


def _finish_call(
    simulation: Simulation, fake: FakeUpstream, host: str, message, job
) -> None:
    _add_cost(simulation, message, job)
    simulation.requests[message.call.input["number"]].ready_s = simulation.now
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
        _send_part(simulation, fake, host, attempt, job.output_tokens)
        text = message.call.resume_output + TOKEN * job.output_tokens
        finished.output = None
        finished.length = len(text)
        finished.digest = hashlib.sha256(text.encode()).hexdigest()
    del fake.calls[attempt]
    fake.sent_tokens.pop(attempt, None)
    if host in simulation.hosts:
        simulation.schedule(
            _latency_s(simulation.hosts[host], fake), _tick, simulation, host, finished
        )


def _add_cost(simulation: Simulation, message, job: engine_model.Job) -> None:
    name = message.call.binding.stage
    simulation.cost_s[name] = simulation.cost_s.get(name, 0.0) + job.busy_s
