"""A fleet of real processes on loopback addresses, with the settings of the platform.

Machines are named by program and letter: ``control-a`` to ``control-j`` and
``entry-a`` to ``entry-j``. Letters are assigned to the availability zones in rotation.
"""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys
import urllib.error
import urllib.request
from collections.abc import Iterator

ROOT = pathlib.Path(__file__).parents[1]
LETTERS = "abcdefghij"
ZONES = ("a", "b", "c")
POLL_S = 0.05
LINK_OFFSETS = {"control": 10, "entry": 11}
"""Offsets of the link ports from the first port, which all machines share."""

BIND_PORT_OFFSET = 30
"""Added to a link's port if a relay listens on the link itself."""

GRACE_S = 6.0
REVOKE_S = 5.0
DRAIN_S = 2.5
"""Bounds in the settings of all processes, as in the users' fleets."""

ROUTE_TIMEOUT_S = 4.0
"""The timeout of the routes in the config."""


@dataclasses.dataclass(slots=True)
class Fleet:
    """The processes by name, their folder, and the first port, which all share.

    With ``relayed`` each process binds its link to another port than the one that its
    peers dial, where a relay listens. ``network`` is the second byte of the addresses.
    The output of processes is dropped unless the fleet is ``logged``. ``limits`` are
    those of each machine.
    """

    folder: pathlib.Path
    network: int
    port: int
    tolerated_losses: int = 1
    relayed: bool = False
    logged: bool = True
    limits: dict[str, float] = dataclasses.field(default_factory=dict)
    processes: dict[str, subprocess.Popen] = dataclasses.field(default_factory=dict)

    def ip(self, name: str) -> str:
        """Return the IP address of a machine: control-a ends in .1, entry-a in .11."""
        last_byte = LETTERS.index(name[-1]) + (1 if name.startswith("control") else 11)
        return f"127.{self.network}.1.{last_byte}"

    def zone(self, name: str) -> str:
        """Return a machine's availability zone."""
        return ZONES[LETTERS.index(name[-1]) % len(ZONES)]

    def address(self, name: str, offset: int) -> str:
        """Return the address of a machine's listening port, given its offset."""
        return f"{self.ip(name)}:{self.port + offset}"

    def link(self, name: str) -> str:
        """Return the link address that peers dial."""
        return self.address(name, LINK_OFFSETS[name.partition("-")[0]])

    def link_bind_address(self, name: str) -> str:
        """Return the link address that a relayed process listens on."""
        offset = LINK_OFFSETS[name.partition("-")[0]] + BIND_PORT_OFFSET
        return self.address(name, offset)

    def settings(self, name: str, bootstrap: bool = True, seeds=ZONES) -> str:
        """Return the contents of a process's settings file."""
        seed_list = ", ".join(
            f'"{self.address(f"control-{zone}", 0)}"' for zone in seeds
        )
        control = name.startswith("control")
        listen = (
            f'control = "{self.address(name, 0)}"'
            if control
            else f'front = "{self.address(name, 1)}"\n'
            f'ready = "{self.address(name, 2)}"\n'
            f'directory = "{self.address(name, 3)}"'
        )
        data = f'data_dir = "{self.folder / name}"' if control else ""
        return (
            f'node = "{name}"\nbind_ip = "{self.ip(name)}"\n'
            f'zone = "{self.zone(name)}"\n'
            f'region = "r"\nport_range = [{self.port + 10}, {self.port + 20}]\n'
            f"seed_addrs = [{seed_list}]\n"
            f"bootstrap = {str(bootstrap).lower()}\n{data}\n"
            f"[tolerate]\nmachines = {self.tolerated_losses}\n"
            f'[zones]\na = "r"\nb = "r"\nc = "r"\n[listen]\n{listen}\n'
            f"[bounds]\ngrace_s = {GRACE_S}\nstrict_revoke = true\n"
            f"revoke_ms = {REVOKE_S * 1_000:.0f}\n"
            f"drain_ms = {DRAIN_S * 1_000:.0f}\n[limits]\n"
            + "".join(f"{limit} = {value}\n" for limit, value in self.limits.items())
        )

    def start(self, name: str, **options) -> None:
        """Start a process; its output is appended to its log file."""
        path = self.folder / f"{name}.toml"
        path.write_text(self.settings(name, **options))
        program = name.partition("-")[0]
        environment = {**os.environ, "BITTERNLEVER_BOOT": str(path)}
        if self.relayed:
            environment["BITTERNLEVER_LINK_BOUND"] = self.link_bind_address(name)
        log_path = self.folder / f"{name}.log" if self.logged else os.devnull
        with open(log_path, "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "bitternlever.platform", program],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGKILL)
        process.wait()

    def stop(self, name: str, within_s: float = 8.0) -> int:
        """Send SIGTERM to a process and return its exit code."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(within_s)

    def log(self, name: str) -> str:
        """Return the log of a process."""
        return (self.folder / f"{name}.log").read_text()


@contextlib.contextmanager
def running(folder: pathlib.Path, network: int) -> Iterator[Fleet]:
    """Run three control processes and two entry hosts; kill them on exit."""
    fleet = create(folder, network)
    try:
        for zone in ZONES:
            fleet.start(f"control-{zone}")
        for zone in ZONES[:2]:
            fleet.start(f"entry-{zone}")
        yield fleet
    finally:
        end(fleet)


def create(folder: pathlib.Path, network: int, **options) -> Fleet:
    """Return a fleet without processes; networks differ in addresses and ports."""
    port = 21_000 + 100 * (network % 50)
    return Fleet(folder=folder, network=network, port=port, **options)


def end(fleet: Fleet) -> None:
    """Kill all processes of a fleet, including suspended ones."""
    for name in list(fleet.processes):
        fleet.kill(name)


def send_request(
    method: str,
    address: str,
    path: str,
    body: bytes | None = None,
    **headers: str,
) -> tuple[int, bytes]:
    """Send one request, following redirects; return status 0 without an answer."""
    for _ in range(3):
        request = urllib.request.Request(
            f"http://{address}{path}",
            data=body,
            method=method,
            headers={name.replace("_", "-"): value for name, value in headers.items()},
        )
        try:
            with _opener.open(request, timeout=2.0) as answer:
                return answer.status, answer.read()
        except urllib.error.HTTPError as error:
            location = error.headers.get("Location")
            if error.code != 307 or location is None:
                return error.code, error.read()
            address = location.removeprefix("http://").partition("/")[0]
        except OSError:
            return 0, b""
    return 0, b""


class _NoRedirects(urllib.request.HTTPRedirectHandler):
    def redirect_request(self, *arguments):
        return None


_opener = urllib.request.build_opener(_NoRedirects)


async def wait_until(condition, within_s: float = 15.0):
    """Poll a condition on a thread until it is true; return its value."""
    async with asyncio.timeout(within_s):
        while True:
            value = await asyncio.to_thread(condition)
            if value:
                return value
            await asyncio.sleep(POLL_S)


def heartbeat(address: str, **changes) -> bytes:
    """Return the body of a heartbeat of an upstream of the config's service."""
    body = {
        "service": "plain",
        "address": address,
        "zone": "a",
        "slot_count": 4,
        "state": "ready",
        "call_seq": 1,
        "born": 1_000,
    }
    return json.dumps({**body, **changes}).encode()


def route(**changes) -> dict:
    """Return a route of a config."""
    fields = {
        "name": "r",
        "host": "h.example",
        "path_prefix": "/a/",
        "kind": "idempotent",
        "timeout_ms": round(ROUTE_TIMEOUT_S * 1_000),
        "goal_ms": 500,
        "priority": 1,
        "service": "plain",
        "max_attempts": 2,
    }
    return {**fields, **changes}


def config(version: int, **changes) -> bytes:
    """Return the body of a config with one route and one service."""
    body = {
        "version": version,
        "routes": [route()],
        "services": [{"name": "plain", "max_conns": 100}],
        "limits": {},
        "tenants": [{"name": "w", "api_keys": ["key"]}],
    }
    return json.dumps({**body, **changes}).encode()
