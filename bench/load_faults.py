"""Faults for a run under load: processes killed, frozen, drained, streams cut."""

import asyncio
import os
import signal
from collections.abc import Awaitable, Callable

import aiohttp

from standins import processes as standin_processes, site

FROZEN_S = 6.0
RESTART_AFTER_S = 2.0
FAULTY_S = 4.0

Fault = Callable[
    [site.Site, standin_processes.Processes, aiohttp.ClientSession],
    Awaitable[None],
]


async def none(system, running, session) -> None:
    """Let everything run."""


async def kill_entry(system, running, session) -> None:
    """Kill an entry process and start it again a little later."""
    await _kill_and_restart(running, "entry-b", site.entry_commands(system))


async def kill_control(system, running, session) -> None:
    """Kill a control process and start it again a little later."""
    await _kill_and_restart(running, "control-a", site.control_commands(system))


async def freeze_entry(system, running, session) -> None:
    """Freeze an entry process for longer than its lease, then wake it."""
    await _freeze(running, "entry-b")


async def freeze_control(system, running, session) -> None:
    """Freeze a control process, then wake it."""
    await _freeze(running, "control-a")


async def drain_entry(system, running, session) -> None:
    """Drain an entry process and start it again."""
    await standin_processes.stop(running, ["entry-c"])
    await _restart(running, "entry-c", site.entry_commands(system))


async def leave_engine(system, running, session) -> None:
    """Let an engine leave and end in order."""
    await standin_processes.stop(running, [_engine(system)])


async def kill_engine(system, running, session) -> None:
    """Kill an engine for good."""
    await _kill(running, _engine(system))


async def cut_streams(system, running, session) -> None:
    """Let an engine cut its streams for a while."""
    await _misbehave(system, session, "cut")


async def slow_engine(system, running, session) -> None:
    """Make an engine a straggler for a while."""
    await _misbehave(system, session, "slow")


async def silent_engine(system, running, session) -> None:
    """Let an engine's open connections go silent for good; new ones work."""
    await _post_fault(system, session, "silent")


async def silent_services(system, running, session) -> None:
    """Let the open connections of every plain service go silent for good."""
    for address in system.stand_ins.values():
        async with session.post(f"{address}/fault", json={"kind": "silent"}) as answer:
            answer.raise_for_status()


FAULTS: dict[str, Fault] = {
    fault.__name__.replace("_", "-"): fault
    for fault in (
        none,
        kill_entry,
        kill_control,
        freeze_entry,
        freeze_control,
        drain_entry,
        leave_engine,
        kill_engine,
        cut_streams,
        slow_engine,
        silent_engine,
        silent_services,
    )
}


def parse(text: str) -> str:
    """Check the names of one or more faults; raise ValueError for an unknown one."""
    unknown = [name for name in text.split(",") if name not in FAULTS]
    if unknown:
        raise ValueError(f"unknown faults: {', '.join(unknown)}")
    return text


async def _misbehave(
    system: site.Site,
    session: aiohttp.ClientSession,
    kind: str,
) -> None:
    await _post_fault(system, session, kind)
    await asyncio.sleep(FAULTY_S)
    await _post_fault(system, session, "none")


async def _post_fault(
    system: site.Site,
    session: aiohttp.ClientSession,
    kind: str,
) -> None:
    url = f"{system.stand_ins[_engine(system)]}/fault"
    async with session.post(url, json={"kind": kind}) as response:
        response.raise_for_status()


async def _kill_and_restart(
    running: standin_processes.Processes,
    name: str,
    commands: list[standin_processes.Command],
) -> None:
    await _kill(running, name)
    await asyncio.sleep(RESTART_AFTER_S)
    await _restart(running, name, commands)


async def _kill(running: standin_processes.Processes, name: str) -> None:
    process = running.running[name]
    process.kill()
    await process.wait()


async def _restart(
    running: standin_processes.Processes,
    name: str,
    commands: list[standin_processes.Command],
) -> None:
    by_name = {command.name: command for command in commands}
    await standin_processes.start(running, by_name[name])


async def _freeze(running: standin_processes.Processes, name: str) -> None:
    pid = running.running[name].pid
    os.kill(pid, signal.SIGSTOP)
    await asyncio.sleep(FROZEN_S)
    os.kill(pid, signal.SIGCONT)


def _engine(system: site.Site) -> str:
    return sorted(name for name in system.stand_ins if name.startswith(ENGINES))[0]


ENGINES = ("assistants-", "language-")
