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
from standins import (
    local_system as standin_local_system,
    processes as standin_processes,
)

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
    """The running processes, an HTTP session, and the records of the callers."""

    site: standin_local_system.LocalSystem
    processes: standin_processes.Processes
    commands: dict[str, standin_processes.Command]
    session: aiohttp.ClientSession
    caller_records: list[records.Record] = dataclasses.field(default_factory=list)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one of the started processes."""
        os.kill(self.processes.by_name[name].pid, number)


@contextlib.asynccontextmanager
async def start(
    folder: pathlib.Path,
    change_commands: Any = None,
) -> AsyncIterator[System]:
    """Run a system, stop all its processes at the end, and check the records.

    ``change_commands`` gets the site and the commands by name, and returns the commands
    to start.
    """
    site = standin_local_system.create("sheetal", folder, own_manifest=MANIFEST)
    site.service_ms = SERVICE_MS
    commands = {
        site_command.name: site_command
        for site_command in standin_local_system.commands(site)
    }
    del commands["weight-store"]
    if change_commands is not None:
        commands = change_commands(site, commands)
    async with (
        standin_processes.manage(folder) as processes,
        aiohttp.ClientSession() as session,
    ):
        system = System(site, processes, commands, session)
        for command in commands.values():
            await standin_processes.start(processes, command)
        await restart_ended_processes(system)
        assert await standin_local_system.apply_manifest(site, processes), (
            processes.log_tail("operator")
        )
        del processes.by_name[standin_local_system.OPERATOR]
        yield system
        for name in processes.by_name:
            with contextlib.suppress(ProcessLookupError):
                system.signal(name, signal.SIGCONT)
    recorded = files.read(folder / "records") + system.caller_records
    recorded.sort(key=lambda record: record.time_s)
    assert checks.check(recorded) == []


async def restart(system: System, name: str) -> None:
    """Wait until a process has ended, and start it again."""
    await system.processes.by_name[name].wait()
    await standin_processes.start(system.processes, system.commands[name])


async def restart_ended_processes(system: System) -> None:
    """Restart processes that have ended, and wait until every entry host is ready."""
    for name in system.commands:
        if system.processes.by_name[name].returncode is not None:
            await restart(system, name)
    missing = await standin_local_system.wait_until_ready(
        system.site,
        system.processes,
        sorted(system.site.stand_ins),
    )
    assert missing == ""


async def send_audit(system: System, key: str, first_entry: int = 0) -> Any:
    """Send one audit request with the client as a stream; return its outcome.

    The request and its outcome are recorded.
    """
    addresses = system.site.entries[first_entry:] + system.site.entries[:first_entry]
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
    system.caller_records.append(sent)
    try:
        outcome = await calls.run(client, submission)
    finally:
        await calls.close(client)
    _record_outcome(system, key, outcome)
    return outcome


def recorded_calls(system: System, stage: str, key: str) -> list[records.StageCalled]:
    """Return the recorded calls of a stage for the request with this key."""
    digest = records.digest({"marker": key})
    return [
        record
        for record in files.read(system.site.folder / "records")
        if isinstance(record, records.StageCalled)
        and (record.stage, record.input_digest) == (stage, digest)
    ]


async def wait_for_call(system: System, stage: str, key: str) -> None:
    """Wait until a stand-in has recorded a call of a stage for this key's request."""
    while not recorded_calls(system, stage, key):
        await asyncio.sleep(POLL_S)


async def status(system: System, entry: int) -> dict[str, Any]:
    """Return the answer of ``GET /v1/status`` of an entry host."""
    headers = {"Authorization": f"Bearer {system.site.operator_token}"}
    url = f"{system.site.entries[entry]}/v1/status"
    async with system.session.get(url, headers=headers) as response:
        return msgspec.json.decode(await response.read())


async def run_operator(system: System, *arguments: str) -> int:
    """Run the operator's tool and return its exit code."""
    command = standin_processes.Command(
        name="operator",
        arguments=["bitternlever.commands.operator", *arguments],
        environment=system.site.operator_environment(),
    )
    await standin_processes.start(system.processes, command)
    return await system.processes.by_name.pop("operator").wait()


def _record_outcome(system: System, key: str, outcome: Any) -> None:
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
        system.caller_records.append(refusal)
        return
    answer = outcome.ok()
    received = records.AnswerReceived(
        exchange=key,
        request_id=answer.request_id,
        body_digest=hashlib.sha256(answer.body).hexdigest(),
        output_digest=records.text_digest(answer.text),
        time_s=now,
    )
    system.caller_records.append(received)
