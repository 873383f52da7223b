"""Run the complete system with stand-ins, send one request of each kind, stop it.

The exit code is 0 only if every answer was complete and every process exited with 0.
"""

import asyncio
import dataclasses
import pathlib
import secrets
import signal
import sys
import tempfile
import time
from typing import Annotated

import aiohttp
import cappa

from bitternlever.messages import manifest
from standins import callers, demo_report, local_system, processes as standin_processes

EXIT_COMPLETE = 0
EXIT_INCOMPLETE = 1
EXIT_NOT_STARTED = 3
EXIT_INTERRUPTED = 130
FIRST_STAY_PORT = 8101
TOKEN_SUFFIX = "-example-token"

EXAMPLE = cappa.Arg(
    long=True, choices=sorted(local_system.ZONES), help="The example to run."
)
STAY = cappa.Arg(long=True, help="Keep running until Ctrl-C, on ports from 8101 on.")
KEEP = cappa.Arg(long=True, help="Keep logs, spans and data in this folder.")


@cappa.command(name="demo")
@dataclasses.dataclass
class Demo:
    """Start everything, send one request of each kind, print it, stop everything."""

    example: Annotated[str, EXAMPLE] = "cantref"
    keep: Annotated[pathlib.Path | None, KEEP] = None
    stay: Annotated[bool, STAY] = False


@dataclasses.dataclass(slots=True)
class SentRequest:
    """One request of the demo and its answer."""

    kind: str
    stage_count: int
    trace_id: str
    received: callers.ReceivedAnswer


def print_text(text: str) -> None:
    """Print text and flush it."""
    print(text, flush=True)


async def run(example: str, folder: pathlib.Path, stay: bool) -> int:
    """Run the demo in ``folder`` and return its exit code."""
    started_s = time.monotonic()
    first_port = FIRST_STAY_PORT if stay else None
    system = local_system.create(example, folder, first_http_port=first_port)
    commands = local_system.commands(system)
    async with standin_processes.manage(folder) as processes:
        print_text(f"starting {len(commands)} processes: {_process_names(commands)}")
        for command in commands:
            await standin_processes.start(processes, command)
        missing = await local_system.wait_until_ready(
            system, processes, sorted(system.stand_ins)
        )
        if missing:
            return _report_not_ready(processes, missing)
        print_text(f"ready after {time.monotonic() - started_s:.1f} s")
        if not await _apply(system, processes):
            return EXIT_NOT_STARTED
        sent = await _send_all(system)
        if stay:
            await _stay(system)
        print_text("\nstopping every process")
        codes = await local_system.stop(processes)
    all_exited_cleanly = _report_exit_codes(codes)
    _report(system, sent)
    complete = all(request.received.is_complete for request in sent)
    print_text(
        f"\n{'all answers complete' if complete else 'NOT all answers complete'}"
    )
    print_text(f"finished after {time.monotonic() - started_s:.1f} s")
    return EXIT_COMPLETE if complete and all_exited_cleanly else EXIT_INCOMPLETE


async def _apply(
    system: local_system.LocalSystem,
    processes: standin_processes.Processes,
) -> bool:
    """Apply the manifest with the operator's tool and wait until it is in force."""
    path = system.manifest_path.relative_to(standin_processes.ROOT)
    print_text(f"\n$ bitternlever manifest apply {path} --wait")
    applied = await local_system.apply_manifest(system, processes)
    print_text(processes.log_tail(local_system.OPERATOR))
    return applied


async def _stay(system: local_system.LocalSystem) -> None:
    """Print how to reach the running system, and wait for Ctrl-C."""
    print_text("\nrunning until Ctrl-C; for the operator's tool in another terminal:")
    for name, value in system.operator_environment().items():
        print_text(f"  export {name}={value}")
    await asyncio.Event().wait()


async def _send_all(system: local_system.LocalSystem) -> list[SentRequest]:
    sent = []
    timeout = aiohttp.ClientTimeout(total=callers.CALL_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for number, (pipeline, kind) in enumerate(_kinds(system.manifest)):
            workspaces = system.manifest.workspaces
            workspace = workspaces[number % len(workspaces)]
            token = f"{workspace.name}{TOKEN_SUFFIX}"
            entry = await _preferred_entry(session, system, token)
            sent.append(await _send(session, entry, token, pipeline, kind))
    return sent


async def _preferred_entry(
    session: aiohttp.ClientSession,
    system: local_system.LocalSystem,
    token: str,
) -> str:
    """Return the first address of the host list, as callers without a balancer do."""
    headers = {"Authorization": f"Bearer {token}"}
    url = f"{system.entries[0]}/v1/hosts"
    async with session.get(url, headers=headers) as response:
        hosts = (await response.json()).get("hosts", [])
    return hosts[0]["address"] if hosts else system.entries[0]


async def _send(
    session: aiohttp.ClientSession,
    entry: str,
    token: str,
    pipeline: manifest.Pipeline,
    kind: manifest.Kind,
) -> SentRequest:
    trace_id = secrets.token_hex(16)
    body = {
        "kind": kind.name,
        "input": {"text": f"One {kind.name} of the demo."},
        "stream": _is_streamed(pipeline),
    }
    headers = {
        "traceparent": f"00-{trace_id}-{secrets.token_hex(8)}-01",
        "Idempotency-Key": f"demo-{kind.name}",
    }
    if kind.priority and not kind.durable:
        del headers["Idempotency-Key"]
    try:
        received = await callers.send(
            session,
            entry,
            token,
            pipeline.name,
            body,
            headers,
        )
    except (aiohttp.ClientError, TimeoutError) as error:
        received = callers.ReceivedAnswer(status=0, request_id="")
        received.faults.append(f"{type(error).__name__}: {error}")
    for line in demo_report.answer_lines(kind.name, entry, received):
        print_text(line)
    return SentRequest(
        kind=kind.name,
        stage_count=len(pipeline.stages),
        trace_id=trace_id,
        received=received,
    )


def _kinds(
    system_manifest: manifest.Manifest,
) -> list[tuple[manifest.Pipeline, manifest.Kind]]:
    return [
        (pipeline, kind)
        for pipeline in system_manifest.pipelines
        for kind in pipeline.kinds
    ]


def _is_streamed(pipeline: manifest.Pipeline) -> bool:
    answer_stage_name = pipeline.answer_stage or pipeline.stages[-1].name
    return any(
        stage.name == answer_stage_name and stage.task is manifest.Task.GENERATE
        for stage in pipeline.stages
    )


def _report(system: local_system.LocalSystem, sent: list[SentRequest]) -> None:
    longest = max(
        sent, key=lambda request: (request.stage_count, len(request.received.pieces))
    )
    print_text(f"\ntrace {longest.trace_id} of the {longest.kind}, a span for each hop")
    spans = demo_report.read_spans(
        system.folder.glob("*.spans.jsonl"), longest.trace_id
    )
    for line in demo_report.trace_lines(spans):
        print_text(line)
    print_text("\ncost by stage, upstream time")
    for line in demo_report.cost_lines(request.received for request in sent):
        print_text(line)


def _report_exit_codes(codes: dict[str, int]) -> bool:
    wrong = {name: code for name, code in codes.items() if code != 0}
    for name, code in sorted(wrong.items()):
        print_text(f"{name} ended with exit code {code}")
    return not wrong


def _report_not_ready(processes: standin_processes.Processes, missing: str) -> int:
    print_text(f"the system is not ready: {missing}")
    for name in processes.ended() or ["control-a", "entry-a"]:
        print_text(f"\nthe end of the log of {name}:\n{processes.log_tail(name)}")
    return EXIT_NOT_STARTED


def _process_names(commands: list[standin_processes.Command]) -> str:
    return ", ".join(command.name for command in commands)


async def _run_until_signal(arguments: Demo, folder: pathlib.Path) -> int:
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, task.cancel)
    try:
        return await run(arguments.example, folder, arguments.stay)
    except asyncio.CancelledError:
        print_text("\ninterrupted; every process was stopped")
        return EXIT_INTERRUPTED


def main() -> int:
    """Run the demo in a folder that is kept or removed."""
    arguments = cappa.parse(Demo, completion=False)
    if arguments.keep is not None:
        arguments.keep.mkdir(parents=True, exist_ok=True)
        return asyncio.run(_run_until_signal(arguments, arguments.keep))
    with tempfile.TemporaryDirectory(prefix="bitternlever-demo-") as folder:
        return asyncio.run(_run_until_signal(arguments, pathlib.Path(folder)))


if __name__ == "__main__":
    sys.exit(main())
