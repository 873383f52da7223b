"""Start processes for the demo and the experiments, and stop all of them on exit."""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import random
import signal
import socket
import sys
from collections.abc import AsyncIterator

ROOT = pathlib.Path(__file__).parents[1]
TERMINATE_TIMEOUT_S = 6.0
SECOND_TERMINATE_TIMEOUT_S = 2.0
LOG_TAIL_LINES = 15
LOWEST_PORT = 10_000
HIGHEST_PORT = 30_000
RANDOM = random.SystemRandom()


@dataclasses.dataclass(slots=True, frozen=True)
class Command:
    """A process to start: its name, module and arguments, and environment variables."""

    name: str
    arguments: list[str]
    environment: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Processes:
    """The started processes by name, also ended ones; ``folder`` has their logs."""

    folder: pathlib.Path
    by_name: dict[str, asyncio.subprocess.Process] = dataclasses.field(
        default_factory=dict,
    )

    def log(self, name: str) -> pathlib.Path:
        """Return the path of a process's log."""
        return self.folder / f"{name}.log"

    def ended(self) -> list[str]:
        """Return the names of the processes that have ended."""
        return [
            name
            for name, process in self.by_name.items()
            if process.returncode is not None
        ]

    def log_tail(self, name: str) -> str:
        """Return the last lines of a process's log."""
        lines = self.log(name).read_text(errors="replace").splitlines()
        return "\n".join(lines[-LOG_TAIL_LINES:])


@contextlib.asynccontextmanager
async def manage(folder: pathlib.Path) -> AsyncIterator[Processes]:
    """Provide a context that stops all of its processes on exit, for any reason."""
    processes = Processes(folder=folder)
    try:
        yield processes
    finally:
        await asyncio.shield(stop(processes, list(processes.by_name)))


async def start(processes: Processes, command: Command) -> None:
    """Start one process in its own session, so that Ctrl-C does not reach it."""
    environment = {**os.environ, "PYTHONPATH": str(ROOT), **command.environment}
    with processes.log(command.name).open("ab") as log:
        processes.by_name[command.name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *command.arguments,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            start_new_session=True,
        )


async def stop(processes: Processes, names: list[str]) -> dict[str, int]:
    """Stop processes with two SIGTERM, then SIGKILL; return their exit codes."""
    chosen = {name: processes.by_name[name] for name in names}
    for signal_number, timeout_s in (
        (signal.SIGTERM, TERMINATE_TIMEOUT_S),
        (signal.SIGTERM, SECOND_TERMINATE_TIMEOUT_S),
        (signal.SIGKILL, SECOND_TERMINATE_TIMEOUT_S),
    ):
        remaining = [child for child in chosen.values() if child.returncode is None]
        if not remaining:
            break
        for process in remaining:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal_number)
        await asyncio.wait(
            [asyncio.ensure_future(process.wait()) for process in remaining],
            timeout=timeout_s,
        )
    return {name: process.returncode for name, process in chosen.items()}


def free_ports(count: int) -> list[int]:
    """Return TCP ports that are free on the loopback interface now.

    They lie below the operating system's ephemeral port range, so that no outgoing
    connection takes one before the process listens on it.
    """
    with contextlib.ExitStack() as stack:
        ports: list[int] = []
        while len(ports) < count:
            port = RANDOM.randrange(LOWEST_PORT, HIGHEST_PORT)
            candidate = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                candidate.bind(("127.0.0.1", port))
                ports.append(port)
        return ports
