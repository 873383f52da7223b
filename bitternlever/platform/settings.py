"""Decode the platform's settings file into a fleet configuration."""

import math
import os
import pathlib
import tomllib

import msgspec
import result

from bitternlever.conf import fleet
from bitternlever.platform import addresses

PATH_VARIABLE = "BITTERNLEVER_BOOT"
LINK_BIND_VARIABLE = "BITTERNLEVER_LINK_BOUND"
MILLISECONDS_PER_SECOND = 1_000
BYTES_PER_S_PER_MBPS = 125_000
BYTES_PER_MB = 1_000_000
CONTROL_LINK_OFFSET = 0
ENTRY_LINK_OFFSET = 1
DIRECTORY_TTL_S = 1.0
"""How long callers may cache addresses; short, so that they soon leave a lost host."""

DEFAULT_MEMORY_MB = 512.0
"""The limit of settings that state none; it bounds what clients may take."""

METRICS_PORTS = {"control": 9181, "entry": 9180}
"""The same ports as in ``deploy/system.toml``, which the platform reads."""


class _Listen(msgspec.Struct):
    front: str = ""
    ready: str = ""
    control: str = ""
    directory: str = ""


class _Limits(msgspec.Struct):
    max_fds: int = 1_024
    memory_mb: float = DEFAULT_MEMORY_MB
    link_mbps: float = 1_000.0


class _Tolerate(msgspec.Struct):
    machines: int = 1


class _Bounds(msgspec.Struct):
    drain_ms: float = 2_000
    grace_s: float = 8.0
    config_ms: float = 2_000
    revoke_ms: float = 5_000
    strict_revoke: bool = False
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 10.0
    ttl_max_s: float = 5.0
    cold_slack: float | None = None


class _Boot(msgspec.Struct):
    """The fields of the settings file that are used; all others are ignored.

    ``bootstrap`` is true only at the first start of the whole deployment, and
    ``seed_addrs`` are control addresses of some hosts.
    """

    node: str
    bind_ip: str
    zone: str
    region: str
    port_range: tuple[int, int]
    seed_addrs: list[str]
    bootstrap: bool = False
    data_dir: str = ""
    zones: dict[str, str] = {}
    listen: _Listen = msgspec.field(default_factory=_Listen)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tolerate: _Tolerate = msgspec.field(default_factory=_Tolerate)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


Loaded = result.Result[fleet.FleetConfiguration, list[fleet.SettingFault]]


def load(program: str) -> Loaded:
    """Read the file that the environment names, for ``entry`` or ``control``."""
    path = os.environ.get(PATH_VARIABLE, "")
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fault = fleet.SettingFault(
            PATH_VARIABLE,
            repr(path),
            f"name a readable settings file ({error})",
        )
        return result.Err([fault])
    return decode(text, program, os.environ.get(LINK_BIND_VARIABLE, ""))


def decode(text: str, program: str, link_bind_address: str = "") -> Loaded:
    """Decode the text of a settings file.

    ``link_bind_address`` is the ``IP:PORT`` to bind if the link itself is forwarded.
    """
    try:
        boot = msgspec.convert(tomllib.loads(text), _Boot, strict=False)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        fault = fleet.SettingFault("settings file", "text", f"make it TOML ({error})")
        return result.Err([fault])
    except msgspec.ValidationError as error:
        reason, _, field = str(error).partition(" - at `$.")
        name = field.rstrip("`") or "settings file"
        return result.Err([fleet.SettingFault(name, "as given", reason)])
    faults = _faults(boot, program)
    if link_bind_address and not addresses.is_address(link_bind_address):
        faults.append(
            fleet.SettingFault(LINK_BIND_VARIABLE, link_bind_address, "write IP:PORT"),
        )
    if faults:
        return result.Err(faults)
    return result.Ok(_configuration(boot, program, link_bind_address))


def _faults(boot: _Boot, program: str) -> list[fleet.SettingFault]:
    faults = []
    if not boot.seed_addrs:
        faults.append(
            fleet.SettingFault("seed_addrs", "[]", "name one control address at least"),
        )
    for seed in boot.seed_addrs:
        if not addresses.is_address(seed):
            faults.append(fleet.SettingFault("seed_addrs", seed, "write IP:PORT"))
    first_port, last_port = boot.port_range
    if not 0 < first_port <= last_port - ENTRY_LINK_OFFSET <= addresses.MAXIMUM_PORT:
        faults.append(
            fleet.SettingFault("port_range", str(boot.port_range), "give two ports"),
        )
    for name in boot.bounds.__struct_fields__:
        value = getattr(boot.bounds, name)
        if value is not None and not math.isfinite(value):
            faults.append(
                fleet.SettingFault(f"bounds.{name}", str(value), "give a number"),
            )
    faults += _limit_faults(boot.limits)
    required = "listen.control" if program == "control" else "listen.front"
    address = boot.listen.control if program == "control" else boot.listen.front
    if not address:
        faults.append(fleet.SettingFault(required, "absent", "give IP:PORT"))
    if program == "control" and not boot.data_dir:
        faults.append(fleet.SettingFault("data_dir", "absent", "give a folder"))
    return faults


def _limit_faults(limits: _Limits) -> list[fleet.SettingFault]:
    quantities = {"link_mbps": "rate", "memory_mb": "size"}
    return [
        fleet.SettingFault(f"limits.{name}", str(value), f"give a {quantity} above 0")
        for name, quantity in quantities.items()
        if not (math.isfinite(value := getattr(limits, name)) and value > 0)
    ]


def _configuration(
    boot: _Boot,
    program: str,
    link_bind_address: str,
) -> fleet.FleetConfiguration:
    offset = CONTROL_LINK_OFFSET if program == "control" else ENTRY_LINK_OFFSET
    first_port = boot.port_range[0]
    control_port = first_port + CONTROL_LINK_OFFSET
    bounds = boot.bounds
    link = f"tcp://{boot.bind_ip}:{first_port + offset}"
    return fleet.FleetConfiguration(
        host=boot.node,
        zone=boot.zone,
        region=boot.region,
        link=link,
        link_bind_address=f"tcp://{link_bind_address}" if link_bind_address else link,
        seeds=tuple(
            f"tcp://{seed.rpartition(':')[0]}:{control_port}"
            for seed in boot.seed_addrs
        ),
        may_bootstrap=boot.bootstrap,
        tolerated_losses=max(1, boot.tolerate.machines),
        callers_address=boot.listen.front,
        readiness_address=boot.listen.ready,
        control_address=boot.listen.control,
        directory_address=boot.listen.directory,
        metrics_address=f"{boot.bind_ip}:{METRICS_PORTS[program]}",
        data_folder=pathlib.Path(boot.data_dir) if boot.data_dir else None,
        region_of_zone=boot.zones,
        bounds=fleet.Bounds(
            drain_s=bounds.drain_ms / MILLISECONDS_PER_SECOND,
            grace_s=bounds.grace_s,
            revoke_s=bounds.revoke_ms / MILLISECONDS_PER_SECOND,
            strict_revoke=bounds.strict_revoke,
            retry_ratio=bounds.retry_ratio,
            retry_window_s=bounds.retry_window_s,
            retry_slack=int(bounds.retry_slack),
            directory_ttl_s=min(DIRECTORY_TTL_S, bounds.ttl_max_s),
            cold_slack=bounds.cold_slack,
            catalog_s=bounds.config_ms / MILLISECONDS_PER_SECOND,
        ),
        descriptors=boot.limits.max_fds,
        memory_bytes=int(boot.limits.memory_mb * BYTES_PER_MB),
        link_bytes_per_s=boot.limits.link_mbps * BYTES_PER_S_PER_MBPS,
    )
