"""The platform: starts the deploy file's programs, restarts them, records their ends.

Machines are loopback addresses of one random network. Settings are those of the small
deployment, with three control machines and some entry hosts.
"""

import asyncio
import dataclasses
import os
import pathlib
import random
import signal
import socket
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("hall-a", "hall-b", "hall-c")
RESTART_DELAY_S = 0.3
LISTEN_PORTS = ("front", "ready", "directory", "control")
FIRST_LINK_OFFSET = 10
LINK_PORTS = 15
GRACE_S = 8.0
METRICS_PORTS = (9180, 9181)
ATTEMPTS = 20

BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_ms": 2000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 5000,
    "strict_revoke": "true",
    "revoke_ms": 5000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 52,
    "recover_s": 12,
    "pass_ms": 120,
    "retry_after_s": 10,
    "ttl_max_s": 5,
}


@dataclasses.dataclass(slots=True)
class End:
    """The end of a process that the platform had not asked for."""

    machine: str
    at_s: float
    code: int
    ran_s: float


@dataclasses.dataclass(slots=True)
class Machine:
    """A machine with one role and its process."""

    name: str
    role: str
    zone: str
    ip: str
    process: asyncio.subprocess.Process | None = None
    started_s: float = 0.0
    starts: int = 0
    stopping: bool = False
    keeper: asyncio.Task | None = None


class Platform:
    """All machines of a run; ``ends`` lists the processes that ended by themselves."""

    def __init__(self, folder: pathlib.Path, entries: int = 3, controls: int = 3):
        self.folder = folder
        self.started_s = time.monotonic()
        self.ends: list[End] = []
        self.closed = False
        self.revision = 0
        for _ in range(ATTEMPTS):
            self.network = random.randrange(2, 250)
            self.port = random.randrange(20_000, 30_000)
            self.machines: dict[str, Machine] = {}
            for number in range(controls):
                self._add("core", "control", number, number + 101)
            for number in range(entries):
                self._add("front", "entry", number, number + 111)
            if self._is_free():
                return
        raise OSError("no free network of loopback addresses")

    def _add(self, kind: str, role: str, number: int, last_byte: int) -> None:
        zone = ZONES[number % len(ZONES)]
        name = f"{kind}-{zone}-{number // len(ZONES) + 1}"
        ip = f"127.{self.network}.1.{last_byte}"
        self.machines[name] = Machine(name, role, zone, ip)

    def _is_free(self) -> bool:
        """Return whether no address of the deployment is in use."""
        offsets = range(FIRST_LINK_OFFSET + LINK_PORTS)
        ports = [*METRICS_PORTS, *(self.port + offset for offset in offsets)]
        for machine in self.machines.values():
            for port in ports:
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    try:
                        probe.bind((machine.ip, port))
                    except OSError:
                        return False
        return True

    def now(self) -> float:
        """Return the seconds since the run began."""
        return time.monotonic() - self.started_s

    def address(self, name: str, listener: str) -> str:
        """Return the address at which a machine serves something."""
        ip = self.machines[name].ip
        return f"{ip}:{self.port + LISTEN_PORTS.index(listener)}"

    def of_role(self, role: str) -> list[str]:
        """Return the names of the machines with a role."""
        return [name for name, at in self.machines.items() if at.role == role]

    def controls(self) -> list[str]:
        """Return the addresses of control."""
        return [self.address(name, "control") for name in self.of_role("control")]

    def write_settings(self, name: str) -> pathlib.Path:
        """Write the settings file of a machine and return its path."""
        machine = self.machines[name]
        seeds = ", ".join(f'"{address}"' for address in self.controls())
        is_control = machine.role == "control"
        served = ("control",) if is_control else ("front", "ready", "directory")
        lines = [
            f'node = "{name}"',
            f'role = "{machine.role}"',
            f'class = "{name.partition("-")[0]}"',
            f'bind_ip = "{machine.ip}"',
            f'zone = "{machine.zone}"',
            'region = "caerdydd"',
            f"port_range = [{self.port + FIRST_LINK_OFFSET}, "
            f"{self.port + FIRST_LINK_OFFSET + LINK_PORTS}]",
            f"seed_addrs = [{seeds}]",
            f"bootstrap = {str(machine.starts == 0).lower()}",
            f"revision = {self.revision}",
            'entry = "directory"',
            "beat_interval_ms = 1200",
            f'data_dir = "{self.folder / name}"' if is_control else "",
            "[zones]",
            *(f'{zone} = "caerdydd"' for zone in ZONES),
            "[listen]",
            *(f'{at} = "{self.address(name, at)}"' for at in served),
            "[limits]",
            "max_fds = 4100",
            "[tolerate]",
            "machines = 1",
            "[bounds]",
            *(f"{bound} = {value}" for bound, value in BOUNDS.items()),
        ]
        path = self.folder / f"{name}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    async def start_all(self) -> None:
        """Start every process, and restart each one whenever it ends."""
        for name, machine in self.machines.items():
            machine.keeper = asyncio.ensure_future(self._keep_running(name))
        await asyncio.sleep(0)

    async def _keep_running(self, name: str) -> None:
        machine = self.machines[name]
        while not self.closed:
            await self._start(name)
            code = await machine.process.wait()
            if not machine.stopping and not self.closed:
                ran_s = self.now() - machine.started_s
                self.ends.append(End(name, self.now(), code, ran_s))
            machine.stopping = False
            await asyncio.sleep(RESTART_DELAY_S)

    async def _start(self, name: str) -> None:
        machine = self.machines[name]
        path = self.write_settings(name)
        deployed = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        program, *arguments = deployed["roles"][machine.role]["run"].split()
        passed = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment = {
            **passed,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "BITTERNLEVER_BOOT": str(path),
        }
        with (self.folder / f"{name}.log").open("ab") as log:
            machine.process = await asyncio.create_subprocess_exec(
                program, *arguments, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        machine.started_s = self.now()
        machine.starts += 1

    def terminate(self, name: str) -> None:
        """Stop a process as planned: SIGTERM, then SIGKILL after the grace period."""
        machine = self.machines[name]
        machine.stopping = True
        process = machine.process
        process.send_signal(signal.SIGTERM)

        def kill() -> None:
            if process.returncode is None:
                process.kill()

        asyncio.get_running_loop().call_later(GRACE_S, kill)

    def send_signal(self, name: str, number: signal.Signals) -> bool:
        """Send a signal to a process; return whether it runs."""
        process = self.machines[name].process
        if process is None or process.returncode is not None:
            return False
        process.send_signal(number)
        return True

    async def close(self) -> None:
        """End all processes that were started."""
        self.closed = True
        for machine in self.machines.values():
            if machine.keeper is not None:
                machine.keeper.cancel()
            process = machine.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
