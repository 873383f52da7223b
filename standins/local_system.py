"""A complete system on the loopback interface: both programs and all stand-ins."""

import asyncio
import contextlib
import dataclasses
import pathlib
import secrets
import time

import aiohttp
import msgspec

from bitternlever.messages import manifest
from standins import processes as standin_processes, settings as standin_settings

EXAMPLES = standin_processes.ROOT / "examples"
ZONES = {
    "cantref": ("hall-a", "hall-b", "hall-c"),
    "sheetal": ("deesa", "palanpur", "mehsana"),
}
CUSTOM_MANIFEST_FILE = "manifest.json"
LETTERS = "abcdefghi"
CONTROL_NODES = 3
ENTRY_HOSTS = 3
ENGINES_PER_POOL = 2
OPERATOR = "operator"
OPERATOR_TIMEOUT_S = 30.0
READY_TIMEOUT_S = 30.0
POLL_S = 0.1
STAND_IN_KIND_BY_TASK = {
    manifest.Task.GENERATE: standin_settings.StandInKind.ENGINE,
    manifest.Task.ENCODE: standin_settings.StandInKind.ENCODER,
    manifest.Task.RETRIEVE: standin_settings.StandInKind.RETRIEVER,
    manifest.Task.RERANK: standin_settings.StandInKind.RERANKER,
    manifest.Task.CALL: standin_settings.StandInKind.SERVICE,
}


@dataclasses.dataclass(slots=True)
class LocalSystem:
    """One system: its addresses, tokens and stand-ins.

    ``stand_ins`` maps the name of each upstream to its URL.
    """

    example: str
    folder: pathlib.Path
    manifest: manifest.Manifest
    entries: list[str]
    control_links: list[str]
    entry_links: list[str]
    zones: tuple[str, ...]
    stand_ins: dict[str, str] = dataclasses.field(default_factory=dict)
    service_ms: float = 4.0
    traced: bool = True
    operator_token: str = dataclasses.field(default_factory=secrets.token_hex)
    upstream_token: str = dataclasses.field(default_factory=secrets.token_hex)
    cluster_key: str = dataclasses.field(default_factory=secrets.token_hex)

    @property
    def manifest_path(self) -> pathlib.Path:
        """Return the path of the custom manifest, or else of the example's."""
        custom = self.folder / CUSTOM_MANIFEST_FILE
        return custom if custom.exists() else EXAMPLES / f"{self.example}.json"

    def spans(self, name: str) -> pathlib.Path:
        """Return the path of a process's spans file."""
        return self.folder / f"{name}.spans.jsonl"

    def operator_environment(self) -> dict[str, str]:
        """Return the environment variables for the operator's tool."""
        return {
            "BITTERNLEVER_ENTRY": ",".join(self.entries),
            "BITTERNLEVER_OPERATOR_TOKEN": self.operator_token,
        }


def create(
    example: str,
    folder: pathlib.Path,
    own_manifest: manifest.Manifest | None = None,
    first_http_port: int | None = None,
) -> LocalSystem:
    """Return a system for an example, or for ``own_manifest``, with addresses assigned.

    The entry hosts use HTTP ports from ``first_http_port`` on, or any free ones.
    """
    ports = standin_processes.free_ports(CONTROL_NODES + 2 * ENTRY_HOSTS)
    control, entry_ports = ports[:CONTROL_NODES], ports[CONTROL_NODES:]
    links, http = entry_ports[:ENTRY_HOSTS], entry_ports[ENTRY_HOSTS:]
    if first_http_port is not None:
        http = [first_http_port + number for number in range(ENTRY_HOSTS)]
    system_manifest = own_manifest or load_manifest(example)
    if own_manifest is not None:
        (folder / CUSTOM_MANIFEST_FILE).write_bytes(msgspec.json.encode(own_manifest))
    return LocalSystem(
        example=example,
        folder=folder,
        manifest=system_manifest,
        entries=[f"http://127.0.0.1:{port}" for port in http],
        control_links=[f"tcp://127.0.0.1:{port}" for port in control],
        entry_links=[f"tcp://127.0.0.1:{port}" for port in links],
        zones=ZONES[example],
    )


def load_manifest(example: str) -> manifest.Manifest:
    """Return the manifest of an example."""
    body = (EXAMPLES / f"{example}.json").read_bytes()
    return msgspec.json.decode(body, type=manifest.Manifest)


def control_commands(system: LocalSystem) -> list[standin_processes.Command]:
    """Return the commands of the control processes."""
    hosts = [f"control-{letter}" for letter in LETTERS[: len(system.control_links)]]
    nodes = _format_pairs(hosts, system.control_links)
    zones = _format_pairs(hosts, _assigned_zones(system, hosts))
    return [
        standin_processes.Command(
            name=host,
            arguments=[
                "bitternlever.commands.daemon",
                "control",
                f"--host={host}",
                f"--zone={zone}",
                f"--listen={link}",
                f"--nodes={nodes}",
                f"--zones={zones}",
                f"--data-folder={system.folder / host}",
                *_spans_option(system, host),
            ],
            environment={"BITTERNLEVER_CLUSTER_KEY": system.cluster_key},
        )
        for host, zone, link in zip(
            hosts,
            _assigned_zones(system, hosts),
            system.control_links,
            strict=True,
        )
    ]


def entry_commands(system: LocalSystem) -> list[standin_processes.Command]:
    """Return the commands of the entry processes."""
    hosts = [f"entry-{letter}" for letter in LETTERS[: len(system.entries)]]
    controls = [f"control-{letter}" for letter in LETTERS[: len(system.control_links)]]
    nodes = _format_pairs(controls, system.control_links)
    return [
        standin_processes.Command(
            name=host,
            arguments=[
                "bitternlever.commands.daemon",
                "entry",
                f"--host={host}",
                f"--zone={zone}",
                f"--listen={link}",
                f"--http-listen={address.removeprefix('http://')}",
                f"--address={address}",
                f"--control-nodes={nodes}",
                f"--seed-links={','.join(system.entry_links)}",
                "--host-list-max-age-s=1",
                *_spans_option(system, host),
            ],
            environment={
                "BITTERNLEVER_CLUSTER_KEY": system.cluster_key,
                "BITTERNLEVER_OPERATOR_TOKEN": system.operator_token,
                "BITTERNLEVER_UPSTREAM_TOKEN": system.upstream_token,
            },
        )
        for host, zone, link, address in zip(
            hosts,
            _assigned_zones(system, hosts),
            system.entry_links,
            system.entries,
            strict=True,
        )
    ]


def stand_in_commands(system: LocalSystem) -> list[standin_processes.Command]:
    """Return the commands of the weight store and the stand-ins for the manifest.

    Enter the URLs of the stand-ins into ``system.stand_ins``.
    """
    required = _required_stand_ins(system.manifest)
    ports = standin_processes.free_ports(len(required) + 1)
    store = f"127.0.0.1:{ports[0]}"
    commands = [_stand_in_command("weight-store", "weight-store", store, [])]
    for number, (name, kind, pool) in enumerate(required):
        listen = f"127.0.0.1:{ports[number + 1]}"
        system.stand_ins[name] = f"http://{listen}"
        options = [
            f"--zone={system.zones[number % len(system.zones)]}",
            f"--pool={pool}",
            f"--service-ms={system.service_ms}",
            f"--entries={','.join(system.entries)}",
            f"--token={system.upstream_token}",
            f"--records={system.folder / 'records'}",
        ]
        non_idempotent = _non_idempotent(system.manifest, pool)
        if non_idempotent:
            options.append(f"--non-idempotent={','.join(non_idempotent)}")
        if kind is standin_settings.StandInKind.ENGINE:
            options += _engine_options(system.manifest, pool, number, store)
        commands.append(_stand_in_command(kind.value, name, listen, options))
    return commands


async def apply_manifest(
    system: LocalSystem, processes: standin_processes.Processes
) -> bool:
    """Apply the manifest with the operator's tool and wait until it is in force."""
    command = standin_processes.Command(
        name=OPERATOR,
        arguments=[
            "bitternlever.commands.operator",
            "manifest",
            "apply",
            str(system.manifest_path),
            "--wait",
        ],
        environment=system.operator_environment(),
    )
    await standin_processes.start(processes, command)
    process = processes.by_name[OPERATOR]
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(process.wait(), OPERATOR_TIMEOUT_S)
    return process.returncode == 0


async def start(system: LocalSystem, processes: standin_processes.Processes) -> str:
    """Start every process and wait until ready; return what is missing, else ''."""
    for command in commands(system):
        await standin_processes.start(processes, command)
    return await wait_until_ready(system, processes, sorted(system.stand_ins))


async def stop(processes: standin_processes.Processes) -> dict[str, int]:
    """Stop entry hosts, then stand-ins, then control; return the exit codes.

    This order lets entry hosts drain while upstreams and control are still running.
    """
    names = list(processes.by_name)
    first = [name for name in names if name.startswith("entry-")]
    last = [name for name in names if name.startswith("control-")]
    between = [name for name in names if name not in {*first, *last}]
    codes = {}
    for group in (first, between, last):
        codes |= await standin_processes.stop(processes, group)
    return codes


def commands(system: LocalSystem) -> list[standin_processes.Command]:
    """Return the commands of all processes: both programs and the stand-ins."""
    return [
        *control_commands(system),
        *entry_commands(system),
        *stand_in_commands(system),
    ]


async def wait_until_ready(
    system: LocalSystem,
    processes: standin_processes.Processes,
    upstreams: list[str],
) -> str:
    """Wait until every entry host accepts work and knows ``upstreams``.

    Return an empty text, or what is still missing after ``READY_TIMEOUT_S``.
    """
    end_s = time.monotonic() + READY_TIMEOUT_S
    missing = "no entry host was checked"
    async with aiohttp.ClientSession() as session:
        while time.monotonic() < end_s:
            ended = processes.ended()
            if ended:
                return f"ended: {', '.join(ended)}"
            missing = await _find_missing(system, session, upstreams)
            if not missing:
                return ""
            await asyncio.sleep(POLL_S)
    return missing


async def _find_missing(
    system: LocalSystem,
    session: aiohttp.ClientSession,
    upstreams: list[str],
) -> str:
    for address in system.entries:
        try:
            async with session.get(f"{address}/readyz") as response:
                if response.status != 200:
                    return f"{address} is not ready"
            if not upstreams:
                continue
            headers = {"Authorization": f"Bearer {system.operator_token}"}
            async with session.get(
                f"{address}/v1/upstreams",
                headers=headers,
            ) as response:
                announced = (await response.json()).get("upstreams", [])
        except (aiohttp.ClientError, TimeoutError) as error:
            return f"{address}: {type(error).__name__}"
        serving = {
            upstream["announcement"]["name"]
            for upstream in announced
            if upstream["serving"]
        }
        absent = sorted(set(upstreams) - serving)
        if absent:
            return f"{address} does not know {', '.join(absent)}"
    return ""


def _required_stand_ins(
    system_manifest: manifest.Manifest,
) -> list[tuple[str, standin_settings.StandInKind, str]]:
    """Return the name, kind and pool of each stand-in that the manifest needs.

    The task of a pool's stages determines the kind of its stand-ins.
    """
    kind_by_pool = {}
    for pipeline in system_manifest.pipelines:
        for stage in pipeline.stages:
            kind_by_pool.setdefault(stage.pool, STAND_IN_KIND_BY_TASK[stage.task])
    required = []
    for pool, kind in sorted(kind_by_pool.items()):
        count = ENGINES_PER_POOL if kind is standin_settings.StandInKind.ENGINE else 1
        required += [(f"{pool}-{number + 1}", kind, pool) for number in range(count)]
    return required


def _non_idempotent(system_manifest: manifest.Manifest, pool: str) -> list[str]:
    return sorted(
        {
            stage.name
            for pipeline in system_manifest.pipelines
            for stage in pipeline.stages
            if stage.pool == pool and not stage.idempotent
        },
    )


def _engine_options(
    system_manifest: manifest.Manifest,
    pool: str,
    number: int,
    store: str,
) -> list[str]:
    """Return an engine's options; every second one checks fencing and has one model."""
    models = [model.name for model in system_manifest.models if model.pool == pool]
    loaded = models[:1] if number % 2 else models
    options = [f"--models={','.join(loaded)}", f"--weight-store=http://{store}"]
    return [*options, "--checks-fencing"] if number % 2 else options


def _stand_in_command(
    kind: str,
    name: str,
    listen: str,
    options: list[str],
) -> standin_processes.Command:
    return standin_processes.Command(
        name=name,
        arguments=["standins", kind, f"--name={name}", f"--listen={listen}", *options],
    )


def _spans_option(system: LocalSystem, host: str) -> list[str]:
    return [f"--spans-file={system.spans(host)}"] if system.traced else []


def _assigned_zones(system: LocalSystem, hosts: list[str]) -> list[str]:
    return [system.zones[number % len(system.zones)] for number in range(len(hosts))]


def _format_pairs(names: list[str], values: list[str]) -> str:
    return ",".join(
        f"{name}={value}" for name, value in zip(names, values, strict=True)
    )
