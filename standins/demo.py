"""Run the whole system with stand-ins, send one request of each kind, stop it.

Exit code 0 only if every answer was whole and every program ended in order.
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
from standins import callers, demo_report, processes as standin_processes, site

EXIT_WHOLE = 0
EXIT_NOT_WHOLE = 1
EXIT_NOT_STARTED = 3
EXIT_INTERRUPTED = 130
STAY_PORT = 8101
TOKEN_SUFFIX = "-example-token"

EXAMPLE = cappa.Arg(long=True, choices=sorted(site.ZONES), help="Which example to run.")
STAY = cappa.Arg(long=True, help="Go on running on ports from 8101 until Ctrl-C.")
KEEP = cappa.Arg(long=True, help="Keep logs, spans and data in this folder.")


@cappa.command(name="demo")
@dataclasses.dataclass
class Demo:
    """Start everything, send one request of each kind, print it, stop everything."""

    example: Annotated[str, EXAMPLE] = "cantref"
    keep: Annotated[pathlib.Path | None, KEEP] = None
    stay: Annotated[bool, STAY] = False


@dataclasses.dataclass(slots=True)
class Sent:
    """One request of the demo and its answer."""

    kind: str
    stages: int
    trace: str
    received: callers.Received


def say(text: str) -> None:
    """Print a line at once."""
    print(text, flush=True)


async def run(example: str, folder: pathlib.Path, stay: bool) -> int:
    """Run the demo in ``folder`` and return its exit code."""
    begin_s = time.monotonic()
    first_port = STAY_PORT if stay else None
    system = site.create(example, folder, first_http_port=first_port)
    commands = site.commands(system)
    async with standin_processes.manage(folder) as running:
        say(f"starting {len(commands)} processes: {_names(commands)}")
        for command in commands:
            await standin_processes.start(running, command)
        missing = await site.wait_until_ready(system, running, sorted(system.stand_ins))
        if missing:
            return _not_started(running, missing)
        say(f"ready after {time.monotonic() - begin_s:.1f} s")
        if not await _apply(system, running):
            return EXIT_NOT_STARTED
        sent = await _send_all(system)
        if stay:
            await _stay(system)
        say("\nstopping every process")
        codes = await site.stop(running)
    in_order = _report_ends(codes)
    _report(system, sent)
    whole = all(each.received.whole for each in sent)
    say(f"\n{'everything was whole' if whole else 'NOT everything was whole'}")
    say(f"finished after {time.monotonic() - begin_s:.1f} s")
    return EXIT_WHOLE if whole and in_order else EXIT_NOT_WHOLE


async def _apply(
    system: site.Site,
    running: standin_processes.Processes,
) -> bool:
    """Apply the manifest with the operator's tool and wait until it is in force."""
    path = system.manifest_path.relative_to(standin_processes.ROOT)
    say(f"\n$ bitternlever manifest apply {path} --wait")
    applied = await site.apply(system, running)
    say(running.log_tail(site.OPERATOR))
    return applied


async def _stay(system: site.Site) -> None:
    """Say how to reach the running system, and wait for Ctrl-C."""
    say("\nrunning until Ctrl-C; for the operator's tool in another terminal:")
    for name, value in system.operator_environment().items():
        say(f"  export {name}={value}")
    await asyncio.Event().wait()


async def _send_all(system: site.Site) -> list[Sent]:
    sent = []
    timeout = aiohttp.ClientTimeout(total=callers.CALL_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for number, (pipeline, kind) in enumerate(_kinds(system.manifest)):
            workspaces = system.manifest.workspaces
            workspace = workspaces[number % len(workspaces)]
            token = f"{workspace.name}{TOKEN_SUFFIX}"
            entry = await _preferred_host(session, system, token)
            sent.append(await _send(session, entry, token, pipeline, kind))
    return sent


async def _preferred_host(
    session: aiohttp.ClientSession,
    system: site.Site,
    token: str,
) -> str:
    """Ask which host to use, as callers do without a balancer."""
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
) -> Sent:
    trace = secrets.token_hex(16)
    body = {
        "kind": kind.name,
        "input": {"text": f"One {kind.name} of the demo."},
        "stream": _streams(pipeline),
    }
    headers = {
        "traceparent": f"00-{trace}-{secrets.token_hex(8)}-01",
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
        received = callers.Received(status=0, request_id="")
        received.faults.append(f"{type(error).__name__}: {error}")
    for line in demo_report.answer_lines(kind.name, entry, received):
        say(line)
    return Sent(
        kind=kind.name,
        stages=len(pipeline.stages),
        trace=trace,
        received=received,
    )


def _kinds(
    whole: manifest.Manifest,
) -> list[tuple[manifest.Pipeline, manifest.Kind]]:
    return [(pipeline, kind) for pipeline in whole.pipelines for kind in pipeline.kinds]


def _streams(pipeline: manifest.Pipeline) -> bool:
    answer = pipeline.answer_stage or pipeline.stages[-1].name
    return any(
        stage.name == answer and stage.task is manifest.Task.GENERATE
        for stage in pipeline.stages
    )


def _report(system: site.Site, sent: list[Sent]) -> None:
    longest = max(sent, key=lambda each: (each.stages, len(each.received.pieces)))
    say(f"\ntrace {longest.trace} of the {longest.kind}, a span for each hop")
    spans = demo_report.read_spans(system.folder.glob("*.spans.jsonl"), longest.trace)
    for line in demo_report.trace_lines(spans):
        say(line)
    say("\ncost by stage, upstream time")
    for line in demo_report.cost_lines(each.received for each in sent):
        say(line)


def _report_ends(codes: dict[str, int]) -> bool:
    wrong = {name: code for name, code in codes.items() if code != 0}
    for name, code in sorted(wrong.items()):
        say(f"{name} ended with exit code {code}")
    return not wrong


def _not_started(running: standin_processes.Processes, missing: str) -> int:
    say(f"the system is not ready: {missing}")
    for name in running.dead() or ["control-a", "entry-a"]:
        say(f"\nthe end of the log of {name}:\n{running.log_tail(name)}")
    return EXIT_NOT_STARTED


def _names(commands: list[standin_processes.Command]) -> str:
    return ", ".join(command.name for command in commands)


async def _run_until_signal(arguments: Demo, folder: pathlib.Path) -> int:
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    try:
        return await run(arguments.example, folder, arguments.stay)
    except asyncio.CancelledError:
        say("\ninterrupted; every process was stopped")
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
