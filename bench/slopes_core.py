"""An entry core with filled tables whose calls are answered at once."""

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
class CoreSimulation:
    """An entry core, its clock and the answers of its upstreams.

    ``pieces`` is the number of pieces of a streamed answer.
    """

    tables: entry_tables.EntryTables
    now: float = 100.0
    pieces: int = 0
    upstreams_answer: bool = True
    answered: int = 0
    ticks: int = 0


def pipeline(
    stages: int,
    name: str = "pipeline",
    durable: bool = False,
    generate: bool = False,
) -> manifest.Pipeline:
    """Return a pipeline of equal stages with one kind of request."""
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
    """Return the tables of a host with a lease and known upstreams."""
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
    install_manifest(tables, body, number=1)
    tables.lease.epoch = 1
    tables.lease.valid_until_s = LEASE_S
    tables.lease.next_renewal_s = LEASE_S
    tables.manifest.fresh_until_s = LEASE_S
    for number in range(upstreams):
        row = upstream_row(number)
        row.announcement.concurrency = concurrency
        row.last_seen_s = LEASE_S
        tables.membership.upstreams[row.announcement.name] = row
    return tables


def install_manifest(
    tables: entry_tables.EntryTables, body: bytes, number: int
) -> None:
    """Put a manifest in force on the core under the given number."""
    in_force = directory.ManifestInForce(number=number, digest="0" * 64, body=body)
    lease.install_manifest(tables, in_force)


def upstream_row(number: int) -> gossip_tables.Upstream:
    """Return a row of the table of upstreams."""
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
        last_seen_s=0.0,
    )


def host_row(number: int) -> gossip_tables.Host:
    """Return a row of the table of hosts."""
    return gossip_tables.Host(
        host=f"host-{number}",
        incarnation=f"{number:032x}",
        heartbeat=number + 100_000,
        address=f"http://10.11.12.{number}:8000",
        link=f"tcp://10.11.12.{number}:7000",
        zone=f"zone-{number}",
        draining=False,
        in_flight=number,
        last_seen_s=float(number),
    )


def serve(simulation: CoreSimulation, number: int) -> None:
    """Submit one request and run the core until its inbox is empty."""
    submitted = requests.RequestSubmitted(
        caller=number,
        workspace="workspace",
        pipeline="pipeline",
        kind="kind",
        body=b'{"kind":"kind","input":{"text":"a question of some length"}}',
        digest="0" * 64,
        stream=simulation.pieces > 0,
    )
    inbox: list[Any] = [submitted]
    while inbox:
        simulation.now += STEP_S
        simulation.ticks += 1
        outbox = tick.tick(simulation.tables, simulation.now, inbox)
        inbox = []
        for message in outbox.messages:
            inbox.extend(_replies(simulation, message))


def run_idle_tick(simulation: CoreSimulation) -> None:
    """Run one tick with an empty inbox."""
    tick.tick(simulation.tables, simulation.now, [])


def _replies(simulation: CoreSimulation, message: Any) -> list[Any]:
    match message:
        case requests.CallUpstream() if simulation.upstreams_answer:
            return _replies_of_upstream(simulation, message)
        case frames.SendToPeer(message=calls.ControlCall() as call):
            return _replies_of_control(call)
        case requests.WholeAnswer():
            simulation.answered += 1
    return []


def _replies_of_upstream(
    simulation: CoreSimulation, upstream_call: requests.CallUpstream
) -> list[Any]:
    binding = upstream_call.call.binding
    if not upstream_call.call.stream:
        digest = hashlib.sha256(msgspec.json.encode(OUTPUT)).hexdigest()
        return [
            requests.UpstreamFinished(
                attempt=upstream_call.attempt,
                binding=binding,
                digest=digest,
                output=OUTPUT,
            ),
        ]
    text = PIECE * simulation.pieces
    parts: list[Any] = [
        requests.UpstreamPart(
            attempt=upstream_call.attempt,
            offset=number * len(PIECE),
            text=PIECE,
        )
        for number in range(simulation.pieces)
    ]
    end = requests.UpstreamFinished(
        attempt=upstream_call.attempt,
        binding=binding,
        digest=hashlib.sha256(text.encode()).hexdigest(),
        length=len(text),
    )
    return [*parts, end]


def _replies_of_control(call: calls.ControlCall) -> list[Any]:
    reply = _control_reply(call.command)
    if reply is None:
        return []
    answer = calls.ControlReply(call_id=call.call_id, group=call.group, reply=reply)
    return [
        frames.PeerMessageReceived(
            node=CONTROL, link="tcp://127.0.0.1:7001", message=answer
        ),
    ]


def _control_reply(command: calls.Command) -> calls.Reply | None:
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
