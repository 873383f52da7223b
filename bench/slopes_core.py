"""An entry core alone: its tables filled, its calls answered at once."""

import dataclasses
import hashlib
from typing import Any

import msgspec

from bitternlever.entry import lease, tables as entry_tables, tick
from bitternlever.gossip import tables as gossip_tables
from bitternlever.messages import (
    calls,
    directory,
    frames,
    journal,
    manifest,
    requests,
    upstream,
)

STEP_S = 0.001
LEASE_S = 1_000_000.0
CONTROL = "control-a"
OUTPUT = "output of a stage"
PIECE = "twelve bytes"


@dataclasses.dataclass(slots=True)
class World:
    """One entry core, the time, and how its upstreams answer."""

    tables: entry_tables.EntryTables
    now: float = 100.0
    pieces: int = 0
    answers: bool = True
    answered: int = 0
    ticks: int = 0


def pipeline(
    stages: int,
    name: str = "pipeline",
    durable: bool = False,
    generate: bool = False,
) -> manifest.Pipeline:
    """Make a pipeline of equal stages with one kind of request."""
    task = manifest.Task.GENERATE if generate else manifest.Task.CALL
    return manifest.Pipeline(
        name=name,
        stages=[
            manifest.Stage(name=f"stage-{number}", task=task, pool="pool")
            for number in range(stages)
        ],
        kinds=[
            manifest.Kind(name="kind", priority=1, deadline_ms=9_000, durable=durable),
        ],
    )


def create(
    upstreams: int,
    pipeline: manifest.Pipeline,
    concurrency: int = 64,
) -> entry_tables.EntryTables:
    """Make the tables of a host that holds its lease and knows its upstreams."""
    settings = entry_tables.EntrySettings(
        host="a",
        zone="zone-a",
        address="http://127.0.0.1:8000",
        link="tcp://127.0.0.1:7000",
        incarnation="1",
        control_nodes={CONTROL: "tcp://127.0.0.1:7001"},
        seed_links=[],
    )
    tables = entry_tables.create(settings, seed=1)
    body = msgspec.json.encode(
        manifest.Manifest(
            number=1,
            workspaces=[manifest.Workspace(name="workspace", token_sha256=[])],
            pipelines=[pipeline],
        ),
    )
    install(tables, body, number=1)
    tables.lease.epoch = 1
    tables.lease.valid_until_s = LEASE_S
    tables.lease.next_renewal_s = LEASE_S
    tables.manifest.fresh_until_s = LEASE_S
    for number in range(upstreams):
        row = upstream_row(number)
        row.announcement.concurrency = concurrency
        row.heard_s = LEASE_S
        tables.membership.upstreams[row.announcement.name] = row
    return tables


def install(tables: entry_tables.EntryTables, body: bytes, number: int) -> None:
    """Put a manifest in force on the core under another number."""
    in_force = directory.ManifestInForce(number=number, digest="0" * 64, body=body)
    lease.install(tables, in_force)


def upstream_row(number: int) -> gossip_tables.Upstream:
    """Make a row of the table of upstreams."""
    return gossip_tables.Upstream(
        announcement=upstream.Announcement(
            name=f"upstream-{number}",
            incarnation=number,
            sequence=number + 100_000,
            address=f"http://10.11.12.{number}:8000",
            pool="pool",
            zone="zone-a",
            tasks=["call", "generate"],
            models=[f"model-{number}", f"other-{number}"],
            load=upstream.LoadReport(running=3, waiting=1, step_ms=4.0, age_s=0.5),
        ),
        heard_s=0.0,
    )


def host_row(number: int) -> gossip_tables.Host:
    """Make a row of the table of hosts."""
    return gossip_tables.Host(
        host=f"host-{number}",
        incarnation=f"{number:032x}",
        heartbeat=number + 100_000,
        address=f"http://10.11.12.{number}:8000",
        link=f"tcp://10.11.12.{number}:7000",
        zone=f"zone-{number}",
        draining=False,
        in_flight=number,
        heard_s=float(number),
    )


def serve(world: World, number: int) -> None:
    """Submit one request and run the core until nothing more is due at once."""
    submitted = requests.RequestSubmitted(
        caller=number,
        workspace="workspace",
        pipeline="pipeline",
        kind="kind",
        body=b'{"kind":"kind","input":{"text":"a question of some length"}}',
        digest="0" * 64,
        stream=world.pieces > 0,
    )
    inbox: list[Any] = [submitted]
    while inbox:
        world.now += STEP_S
        world.ticks += 1
        outbox = tick.tick(world.tables, world.now, inbox)
        inbox = []
        for message in outbox.messages:
            inbox.extend(_answers(world, message))


def idle(world: World) -> None:
    """Run one tick in which nothing arrives."""
    tick.tick(world.tables, world.now, [])


def _answers(world: World, message: Any) -> list[Any]:
    match message:
        case requests.CallUpstream() if world.answers:
            return _upstream_answers(world, message)
        case frames.SendPeer(message=calls.ControlCall() as call):
            return _control_answers(call)
        case requests.WholeAnswer():
            world.answered += 1
    return []


def _upstream_answers(world: World, sent: requests.CallUpstream) -> list[Any]:
    binding = sent.call.binding
    if not sent.call.stream:
        digest = hashlib.sha256(msgspec.json.encode(OUTPUT)).hexdigest()
        return [
            requests.UpstreamFinished(
                attempt=sent.attempt,
                binding=binding,
                digest=digest,
                output=OUTPUT,
            ),
        ]
    text = PIECE * world.pieces
    parts: list[Any] = [
        requests.UpstreamPart(
            attempt=sent.attempt,
            offset=number * len(PIECE),
            text=PIECE,
        )
        for number in range(world.pieces)
    ]
    end = requests.UpstreamFinished(
        attempt=sent.attempt,
        binding=binding,
        digest=hashlib.sha256(text.encode()).hexdigest(),
        length=len(text),
    )
    return [*parts, end]


def _control_answers(call: calls.ControlCall) -> list[Any]:
    reply = _reply(call.command)
    if reply is None:
        return []
    answer = calls.ControlReply(call_id=call.call_id, group=call.group, reply=reply)
    return [
        frames.PeerReceived(node=CONTROL, link="tcp://127.0.0.1:7001", message=answer),
    ]


def _reply(command: calls.Command) -> calls.Reply | None:
    match command:
        case journal.Claim(request_id=request_id):
            return journal.Claimed(request_id=request_id)
        case journal.RecordResult(request_id=request_id, stage=stage):
            return journal.ResultRecorded(request_id=request_id, stage=stage)
        case journal.RecordAnswer(request_id=request_id):
            return journal.AnswerRecorded(request_id=request_id)
        case journal.RecordProgress(request_id=request_id, stage=stage):
            length = command.offset + len(command.text)
            return journal.ProgressRecorded(
                request_id=request_id,
                stage=stage,
                length=length,
            )
    return None
