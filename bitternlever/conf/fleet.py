"""Settings of the processes of a fleet, checked."""

import dataclasses
import pathlib

from bitternlever.transport import client_bounds


@dataclasses.dataclass(slots=True, frozen=True)
class Bounds:
    """Time limits and retry limits that the operators of a deployment configure.

    A catalog must be in force on all hosts ``catalog_s`` after its confirmation. A
    cold upstream takes ``cold_slack`` requests in any second from all hosts; None if
    cold upstreams need no bound.
    """

    drain_s: float
    grace_s: float
    revoke_s: float
    strict_revoke: bool
    retry_ratio: float
    retry_window_s: float
    retry_slack: int
    directory_ttl_s: float
    cold_slack: float | None = None
    catalog_s: float = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class FleetConfiguration:
    """Settings of one process; addresses are ``IP:PORT``, links ``tcp://IP:PORT``.

    ``tolerated_losses`` is the number of control hosts that may be lost at the same
    time. An address is empty if the process does not serve it. ``region_of_zone``
    contains all availability zones. ``link_bind_address`` is the address to which the
    link's socket is bound; it differs from ``link`` only if a forwarder listens on
    ``link``. ``link_bytes_per_s`` is the rate of the host's network link.
    A process that takes more than ``memory_bytes`` is killed.
    """

    host: str
    zone: str
    region: str
    link: str
    link_bind_address: str
    seeds: tuple[str, ...]
    may_bootstrap: bool
    tolerated_losses: int
    callers_address: str
    readiness_address: str
    control_address: str
    directory_address: str
    metrics_address: str
    data_folder: pathlib.Path | None
    region_of_zone: dict[str, str]
    bounds: Bounds
    descriptors: int
    link_bytes_per_s: float
    memory_bytes: int = client_bounds.DEFAULT_MEMORY_BYTES


@dataclasses.dataclass(slots=True, frozen=True)
class SettingFault:
    """An invalid setting: its name, its value and how to fix it."""

    name: str
    value: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.name} = {self.value}: {self.remedy}"
