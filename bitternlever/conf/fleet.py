"""Settings of the processes of a fleet, checked."""

import dataclasses
import pathlib


@dataclasses.dataclass(slots=True, frozen=True)
class Bounds:
    """What the operators of this deployment ask for, in seconds but the ratio."""

    drain_s: float
    grace_s: float
    revoke_s: float
    strict_revoke: bool
    retry_ratio: float
    retry_window_s: float
    retry_slack: int
    directory_ttl_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class FleetConfiguration:
    """Settings of one process; addresses are ``IP:PORT``, links ``tcp://IP:PORT``.

    ``tolerated_losses`` counts the control hosts that may be lost at the same time. An
    address is empty where the process does not serve it. ``region_of_zone`` maps
    all availability zones. ``link_bound`` is where the link is bound: itself, unless
    something forwards from there.
    """

    host: str
    zone: str
    region: str
    link: str
    link_bound: str
    seeds: tuple[str, ...]
    may_found: bool
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


@dataclasses.dataclass(slots=True, frozen=True)
class SettingFault:
    """A setting that cannot be used: its name, its value and what to do."""

    name: str
    value: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.name} = {self.value}: {self.remedy}"
