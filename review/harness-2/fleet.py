"""A small deployment for the review's scripts: the real programs on loopback.

Only the standard library is used. The programs are started with the commands of
``deploy/system.toml``. The settings follow the sheet of Cantref Domains unless a script
changes them.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("hall-a", "hall-b", "hall-c")
REGION = "caerdydd"
METRICS_PORTS = (9180, 9181)
KEY = "9dnn2ctnfzs989anu6ws"
HOST = "pule25.example"
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
    "strict_revoke": True,
    "revoke_ms": 5000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 52,
    "recover_s": 12,
    "pass_ms": 120,
    "retry_after_s": 10,
    "ttl_max_s": 5,
}
LIMITS = {
    "front": {"memory_mb": 300, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
    "core": {"memory_mb": 296, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 128},
}


class CannotRunError(Exception):
    """The case could not be set up; this says nothing about the rule."""


class Record:
    """What was sent, answered and run, one line each, with the time since the start."""

    def __init__(self, path):
        self.started_s = time.monotonic()
        self.path = path
        path.write_text("")

    def __call__(self, *words):
        now = time.monotonic() - self.started_s
        line = f"{now:9.3f} " + " ".join(str(word) for word in words)
        with self.path.open("a", encoding="utf-8") as file:
            file.write(line + "\n")

    def say(self, *words):
        """Record a line and print it as well."""
        self(*words)
        print(*words, flush=True)


def _toml(value):
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, (list, tuple)):
        return "[" + ", ".join(_toml(each) for each in value) + "]"
    return json.dumps(value)


class Fleet:
    """The processes of a deployment by machine name.

    ``fronts`` machines run the role ``entry``, ``cores`` the role ``control``; both are
    assigned to the zones in rotation.
    """

    def __init__(self, record, fronts=2, cores=3, bounds=None, limits=None, machines=1):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="bitternlever-review-"))
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.limits = {
            name: {**values, **(limits or {}).get(name, {})}
            for name, values in LIMITS.items()
        }
        self.tolerated = machines
        self.fronts = [f"front-{number}" for number in range(1, fronts + 1)]
        self.cores = [f"core-{number}" for number in range(1, cores + 1)]
        self.processes = {}
        self.logs = {}
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {
            role["on"]: role["run"].split() for role in deploy["roles"].values()
        }
        self.network, self.port = self._free_network()

    def _free_network(self):
        """Return the second byte of the addresses and the first port, both unused."""
        for _ in range(50):
            network, port = (
                random.randrange(60, 250),
                random.randrange(20000, 30000, 50),
            )
            ports = [port + offset for offset in range(30)] + list(METRICS_PORTS)
            ips = [f"127.{network}.1.{last}" for last in range(1, 40)]
            if all(_is_free(ip, each) for ip in ips[:1] for each in ports) and all(
                _is_free(ip, METRICS_PORTS[0]) for ip in ips
            ):
                return network, port
        raise CannotRunError("no free addresses")

    def ip(self, name):
        kind, _, number = name.partition("-")
        return f"127.{self.network}.1.{int(number) + (0 if kind == 'core' else 10)}"

    def zone(self, name):
        return ZONES[(int(name.partition("-")[2]) - 1) % len(ZONES)]

    def control(self, name):
        return f"{self.ip(name)}:{self.port}"

    def front(self, name):
        return f"{self.ip(name)}:{self.port + 1}"

    def ready_address(self, name):
        return f"{self.ip(name)}:{self.port + 2}"

    def directory(self, name):
        return f"{self.ip(name)}:{self.port + 3}"

    def settings(self, name, bootstrap, seeds=None):
        core = name.startswith("core")
        kind = "core" if core else "front"
        seeds = [self.control(each) for each in (seeds or self.cores[:3])]
        fields = {
            "node": name,
            "role": "control" if core else "entry",
            "class": kind,
            "serves": ["control"] if core else ["front", "directory"],
            "bind_ip": self.ip(name),
            "zone": self.zone(name),
            "region": REGION,
            "port_range": [self.port + 10, self.port + 25],
            "seed_addrs": seeds,
            "bootstrap": bootstrap,
            "in_tolerance": core,
            "discovery": "registry",
            "entry": "directory",
            "beat_interval_ms": 1200,
            "contracts": [
                "base", "drain", "config", "cost", "retry", "recover", "engine",
                "stream", "tenants", "stages",
            ],
            "config_mode": "highest",
        }  # fmt: skip
        if core:
            fields["data_dir"] = str(self.folder / name)
        listen = (
            {"control": self.control(name)}
            if core
            else {
                "front": self.front(name),
                "ready": self.ready_address(name),
                "directory": self.directory(name),
            }
        )
        tables = {
            "zones": dict.fromkeys(ZONES, REGION),
            "listen": listen,
            "limits": {"cpu_share": 0.537, "cpu_cores": 2, **self.limits[kind]},
            "tolerate": {"machines": self.tolerated, "zones": 0, "regions": 0},
            "bounds": self.bounds,
        }
        lines = [f"{key} = {_toml(value)}" for key, value in fields.items()]
        for table, values in tables.items():
            lines.append(f"[{table}]")
            lines += [f"{key} = {_toml(value)}" for key, value in values.items()]
        return "\n".join(lines) + "\n"

    def start(self, name, bootstrap=False, seeds=None):
        """Start a process as the platform does."""
        path = self.folder / f"{name}.toml"
        path.write_text(self.settings(name, bootstrap, seeds))
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["BITTERNLEVER_BOOT"] = str(path)
        command = self.commands["core" if name.startswith("core") else "front"]
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record("started", name, "pid", self.processes[name].pid)

    def start_all(self):
        for name in (*self.cores, *self.fronts):
            self.start(name, bootstrap=True)

    def signal(self, name, number):
        self.record("signal", signal.Signals(number).name, "to", name)
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def lose_disk(self, name):
        """Remove the disk folder of a process that has ended."""
        shutil.rmtree(self.folder / name, ignore_errors=True)
        self.record("disk of", name, "lost")

    def log(self, name):
        path = self.folder / f"{name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def end(self):
        """End all processes and remove the folder."""
        for process in self.processes.values():
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
            process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def _is_free(ip, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


class Answer:
    """The answer to one call; ``status`` is 0 if none came."""

    def __init__(self, status, headers=None, body=b"", complete=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.complete = complete


async def read_head(reader):
    """Return the first line and the headers (names in lower case) of a message."""
    line = (await reader.readline()).decode("latin-1").rstrip("\r\n")
    if not line:
        raise ConnectionError("closed before a message")
    headers = {}
    while True:
        header = await reader.readline()
        if header in (b"\r\n", b"\n"):
            return line, headers
        if not header:
            raise ConnectionError("closed within a head")
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_body(reader, headers):
    """Return a body by its length or its chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0] or b"-1", 16)
            if size < 0:
                raise ConnectionError("closed within a body")
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def call(address, method, path, body=None, headers=None, within_s=2.0):
    """Send one request on a channel of its own and return the answer."""
    host, _, port = address.rpartition(":")
    lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
    fields = {"Host": address, **(headers or {})}
    if body is not None:
        fields["Content-Length"] = len(body)
    lines += [f"{name}: {value}" for name, value in fields.items()]
    writer = None
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b""))
            line, answered = await read_head(reader)
            status = int(line.split()[1])
            data = await read_body(reader, answered)
            return Answer(status, answered, data, complete=True)
    except (OSError, ValueError, TimeoutError, EOFError, ConnectionError):
        return Answer(0)
    finally:
        if writer is not None:
            writer.close()


async def control_call(fleet, method, path, body, first=None):
    """Call control as servers and the operator do: other nodes, up to two redirects."""
    names = list(fleet.cores)
    if first is not None:
        names = [first, *(name for name in names if name != first)]
    answer = Answer(0)
    for name in names:
        address = fleet.control(name)
        answer = await call(address, method, path, body, _JSON, within_s=1.0)
        for _ in range(2):
            if answer.status != 307:
                break
            location = answer.headers.get("location", "").removeprefix("http://")
            address, _, rest = location.partition("/")
            answer = await call(address, method, "/" + rest, body, _JSON, within_s=1.0)
        if answer.status not in (0, 307, 408, 429) and answer.status < 500:
            return answer
    return answer


_JSON = {"Content-Type": "application/json"}


async def put_config(fleet, config, within_s=25.0):
    """Send a config until it is acknowledged, as the operator does."""
    body = json.dumps(config).encode()
    version = config["version"]
    fleet.record("operator sends config", version)
    until_s = time.monotonic() + within_s
    while time.monotonic() < until_s:
        answer = await control_call(fleet, "PUT", "/api/config", body)
        if answer.status == 200:
            fleet.record("operator got the confirmation of config", version)
            return True
        if answer.status in (400, 409, 412, 413, 422):
            return False
        await asyncio.sleep(0.1)
    return False


async def prepare(fleet, routes, services):
    """Start a deployment with its first config and wait until its fronts are ready."""
    fleet.start_all()
    if not await put_config(fleet, config(1, routes, services)):
        raise CannotRunError("no confirmation of the first config")
    await wait_ready(fleet)


async def listen(serve):
    """Start a stand-in for a server on a free port and return its address."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=2**20, backlog=512)
    return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


async def wait_ready(fleet, names=None, within_s=25.0):
    """Wait until the fronts answer the readiness check."""
    until_s = time.monotonic() + within_s
    for name in names or fleet.fronts:
        while True:
            answer = await call(fleet.ready_address(name), "GET", "/api/ready")
            if answer.status == 200:
                break
            if time.monotonic() > until_s:
                raise CannotRunError(f"{name} is not ready")
            await asyncio.sleep(0.1)


class Heartbeats:
    """What a server says of itself to control, and the task that repeats it."""

    def __init__(self, fleet, name, **fields):
        self.fleet = fleet
        self.name = name
        self.sequence = 0
        self.fields = {
            "zone": ZONES[0],
            "version": "v1",
            "state": "ready",
            "cold_left_ms": 0,
            "born": int(time.time() * 1000),
            **fields,
        }
        self.task = None

    async def send(self, **changes):
        """Send one heartbeat; return the status of the answer."""
        self.fields.update(changes)
        self.sequence += 1
        body = json.dumps({**self.fields, "call_seq": self.sequence}).encode()
        path = f"/api/instances/{self.name}"
        answer = await control_call(
            self.fleet, "PUT", path, body, random.choice(self.fleet.cores)
        )
        return answer.status

    async def _repeat(self):
        while True:
            await self.send()
            await asyncio.sleep(1.2)

    def start(self):
        self.task = asyncio.ensure_future(self._repeat())

    def stop(self):
        if self.task is not None:
            self.task.cancel()


def route(**changes):
    fields = {
        "name": "r-plain",
        "host": HOST,
        "path_prefix": "/plain/",
        "kind": "idempotent",
        "timeout_ms": 10000,
        "goal_ms": 1000,
        "priority": 1,
        "service": "plain",
        "max_attempts": 2,
        "public": False,
    }
    return {**fields, **changes}


def config(version, routes, services, **changes):
    fields = {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "header_bytes": 16384,
            "body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "bozi300", "api_keys": [KEY], "priority": 1}],
    }
    return {**fields, **changes}


def memory(pid):
    """Return the resident memory of a process in bytes, 0 if it has ended."""
    try:
        with open(f"/proc/{pid}/status", encoding="ascii") as status:
            for line in status:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) * 1024
    except OSError:
        pass
    return 0


def run(case, folder):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 otherwise.

    ``case`` is a coroutine function with the record and whether there is trouble; it
    returns what was broken, or an empty text.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")
    record("trouble", int(trouble))
    try:
        broken = asyncio.run(case(record, trouble))
    except CannotRunError as error:
        record.say("the case could not run:", error)
        sys.exit(2)
    except Exception as error:
        record.say("the case could not run:", repr(error))
        raise SystemExit(2) from error
    record.say("BROKEN:" if broken else "the rule held", broken)
    sys.exit(1 if broken else 0)
