"""A small system of real processes on the loopback interface, for one test."""

import asyncio
import contextlib
import dataclasses
import hashlib
import os
import pathlib
import signal
import time
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import msgspec

from bench.invariants import checks, files, records
from bitternlever.client import calls, tables as client_tables
from bitternlever.messages import manifest
from standins import processes as standin_processes, site as standin_site

TOKEN = "token-of-the-processes-tests"
WORKSPACE = "sheetal"
SERVICE_MS = 300.0
POLL_S = 0.05
ORDER_OF_ENTRY = ["entry-a", "entry-b", "entry-c"]
PIPELINE = manifest.Pipeline(
    name="audits",
    stages=[
        manifest.Stage(name="encode", task=manifest.Task.ENCODE, pool="encoders"),
        manifest.Stage(
            name="bill",
            task=manifest.Task.CALL,
            pool="billing",
            idempotent=False,
            billing=True,
        ),
        manifest.Stage(
            name="draft",
            task=manifest.Task.GENERATE,
            pool="engines",
            model="audit-model",
            maximum_output_tokens=600,
        ),
    ],
    kinds=[manifest.Kind(name="audit", priority=2, deadline_ms=60_000, durable=True)],
)
MANIFEST = manifest.Manifest(
    number=1,
    workspaces=[
        manifest.Workspace(
            name=WORKSPACE,
            token_sha256=[hashlib.sha256(TOKEN.encode()).hexdigest()],
        ),
    ],
    pipelines=[PIPELINE],
    models=[
        manifest.Model(
            name="audit-model",
            version="1",
            pool="engines",
            weight_bytes=1_000,
        ),
    ],
)


@dataclasses.dataclass(slots=True)
class System:
    """The running processes, and a session and a writer for their callers."""

    site: standin_site.Site
    running: standin_processes.Processes
    commands: dict[str, standin_processes.Command]
    session: aiohttp.ClientSession
    callers: list[records.Record] = dataclasses.field(default_factory=list)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one of the started processes."""
        os.kill(self.running.running[name].pid, number)


@contextlib.asynccontextmanager
async def start(
    folder: pathlib.Path,
    change: Any = None,
) -> AsyncIterator[System]:
    """Run a system; end its processes whatever happens, then judge the records.

    ``change`` may replace commands, given and returned by name, before they start.
    """
    site = standin_site.create("sheetal", folder, own_manifest=MANIFEST)
    site.service_ms = SERVICE_MS
    commands = {each.name: each for each in standin_site.commands(site)}
    del commands["weight-store"]
    if change is not None:
        commands = change(site, commands)
    async with (
        standin_processes.manage(folder) as running,
        aiohttp.ClientSession() as session,
    ):
        system = System(site, running, commands, session)
        for command in commands.values():
            await standin_processes.start(running, command)
        await make_whole(system)
        assert await standin_site.apply(site, running), running.log_tail("operator")
        del running.running[standin_site.OPERATOR]
        yield system
        for name in running.running:
            with contextlib.suppress(ProcessLookupError):
                system.signal(name, signal.SIGCONT)
    run = files.read(folder / "records") + system.callers
    run.sort(key=lambda record: record.time_s)
    assert checks.check(run) == []


async def restart(system: System, name: str) -> None:
    """Start a process again whose former run has ended."""
    await system.running.running[name].wait()
    await standin_processes.start(system.running, system.commands[name])


async def make_whole(system: System) -> None:
    """Start again what has ended, and wait until every entry host serves."""
    for name in system.commands:
        if system.running.running[name].returncode is not None:
            await restart(system, name)
    missing = await standin_site.wait_until_ready(
        system.site,
        system.running,
        sorted(system.site.stand_ins),
    )
    assert missing == ""


async def audit(system: System, key: str, first: int = 0) -> Any:
    """Send one audit as a stream with the client's rules; record it; return it."""
    addresses = system.site.entries[first:] + system.site.entries[:first]
    settings = client_tables.ClientSettings(addresses=addresses, token=TOKEN)
    client = calls.create(settings)
    client.hosts = addresses
    client.hosts_expire_s = time.monotonic() + 3_600.0
    submission = client_tables.Submission(
        pipeline="audits",
        kind="audit",
        input={"marker": key},
        key=key,
        stream=True,
    )
    sent = records.RequestSent(
        exchange=key,
        host=addresses[0],
        workspace=WORKSPACE,
        kind="audit",
        input_digest=records.digest(submission.input),
        durable=True,
        time_s=time.monotonic(),
        key=key,
    )
    system.callers.append(sent)
    try:
        outcome = await calls.run(client, submission)
    finally:
        await calls.close(client)
    _record(system, key, outcome)
    return outcome


def calls_of(system: System, stage: str, key: str) -> list[records.StageCalled]:
    """Return the recorded calls of a stage for this key's request."""
    digest = records.digest({"marker": key})
    return [
        record
        for record in files.read(system.site.folder / "records")
        if isinstance(record, records.StageCalled)
        and (record.stage, record.input_digest) == (stage, digest)
    ]


async def until_called(system: System, stage: str, key: str) -> None:
    """Wait until a stand-in records that a stage of this key's request runs."""
    while not calls_of(system, stage, key):
        await asyncio.sleep(POLL_S)


async def status(system: System, entry: int) -> dict[str, Any]:
    """Return what ``GET /v1/status`` of an entry host says."""
    headers = {"Authorization": f"Bearer {system.site.operator_token}"}
    url = f"{system.site.entries[entry]}/v1/status"
    async with system.session.get(url, headers=headers) as response:
        return msgspec.json.decode(await response.read())


async def operate(system: System, *arguments: str) -> int:
    """Run the operator's tool and return its exit code."""
    command = standin_processes.Command(
        name="operator",
        arguments=["bitternlever.commands.operator", *arguments],
        environment=system.site.operator_environment(),
    )
    await standin_processes.start(system.running, command)
    return await system.running.running.pop("operator").wait()


def _record(system: System, key: str, outcome: Any) -> None:
    now = time.monotonic()
    if outcome.is_err():
        failure = outcome.err()
        refusal = records.RefusalReceived(
            exchange=key,
            request_id=failure.request_id,
            status=failure.status or 0,
            ran=failure.ran.value,
            time_s=now,
        )
        system.callers.append(refusal)
        return
    answer = outcome.ok()
    received = records.AnswerReceived(
        exchange=key,
        request_id=answer.request_id,
        body_digest=hashlib.sha256(answer.body).hexdigest(),
        output_digest=records.text_digest(answer.text),
        time_s=now,
    )
    system.callers.append(received)
