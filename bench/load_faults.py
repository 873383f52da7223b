"""Faults for a run under load: killed, frozen or drained processes, broken streams."""

import asyncio
import os
import signal
from collections.abc import Awaitable, Callable

import aiohttp

from standins import local_system, processes as standin_processes

FREEZE_S = 6.0
RESTART_DELAY_S = 2.0
FAULT_DURATION_S = 4.0

Fault = Callable[
    [local_system.LocalSystem, standin_processes.Processes, aiohttp.ClientSession],
    Awaitable[None],
]


async def none(system, processes, session) -> None:
    """Inject no fault."""


async def kill_entry(system, processes, session) -> None:
    """Kill an entry process and restart it shortly afterwards."""
    await _kill_and_restart(processes, "entry-b", local_system.entry_commands(system))


async def kill_control(system, processes, session) -> None:
    """Kill a control process and restart it shortly afterwards."""
    await _kill_and_restart(
        processes, "control-a", local_system.control_commands(system)
    )


async def freeze_entry(system, processes, session) -> None:
    """Freeze an entry process for longer than its lease, then resume it."""
    await _freeze(processes, "entry-b")


async def freeze_control(system, processes, session) -> None:
    """Freeze a control process, then resume it."""
    await _freeze(processes, "control-a")


async def drain_entry(system, processes, session) -> None:
    """Drain an entry process and restart it."""
    await standin_processes.stop(processes, ["entry-c"])
    await _restart(processes, "entry-c", local_system.entry_commands(system))


async def leave_engine(system, processes, session) -> None:
    """Stop an engine gracefully: it announces that it is leaving."""
    await standin_processes.stop(processes, [_first_engine(system)])


async def kill_engine(system, processes, session) -> None:
    """Kill an engine without restarting it."""
    await _kill(processes, _first_engine(system))


async def cut_streams(system, processes, session) -> None:
    """Make an engine break its streams for FAULT_DURATION_S."""
    await _inject_temporarily(system, session, "cut")


async def slow_engine(system, processes, session) -> None:
    """Make an engine slow for FAULT_DURATION_S."""
    await _inject_temporarily(system, session, "slow")


async def silent_engine(system, processes, session) -> None:
    """Make an engine's open connections silent for good; new connections work."""
    await _post_fault(system, session, "silent")


async def silent_services(system, processes, session) -> None:
    """Make the open connections of every stand-in silent for good."""
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
    """Return a list of fault names unchanged; raise ValueError for unknown names."""
    unknown = [name for name in text.split(",") if name not in FAULTS]
    if unknown:
        raise ValueError(f"unknown faults: {', '.join(unknown)}")
    return text


async def _inject_temporarily(
    system: local_system.LocalSystem,
    session: aiohttp.ClientSession,
    kind: str,
) -> None:
    await _post_fault(system, session, kind)
    await asyncio.sleep(FAULT_DURATION_S)
    await _post_fault(system, session, "none")


async def _post_fault(
    system: local_system.LocalSystem,
    session: aiohttp.ClientSession,
    kind: str,
) -> None:
    url = f"{system.stand_ins[_first_engine(system)]}/fault"
    async with session.post(url, json={"kind": kind}) as response:
        response.raise_for_status()


async def _kill_and_restart(
    processes: standin_processes.Processes,
    name: str,
    commands: list[standin_processes.Command],
) -> None:
    await _kill(processes, name)
    await asyncio.sleep(RESTART_DELAY_S)
    await _restart(processes, name, commands)


async def _kill(processes: standin_processes.Processes, name: str) -> None:
    process = processes.by_name[name]
    process.kill()
    await process.wait()


async def _restart(
    processes: standin_processes.Processes,
    name: str,
    commands: list[standin_processes.Command],
) -> None:
    by_name = {command.name: command for command in commands}
    await standin_processes.start(processes, by_name[name])


async def _freeze(processes: standin_processes.Processes, name: str) -> None:
    pid = processes.by_name[name].pid
    os.kill(pid, signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    os.kill(pid, signal.SIGCONT)


def _first_engine(system: local_system.LocalSystem) -> str:
    return sorted(
        name for name in system.stand_ins if name.startswith(ENGINE_PREFIXES)
    )[0]


ENGINE_PREFIXES = ("assistants-", "language-")
