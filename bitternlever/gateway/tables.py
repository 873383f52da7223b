"""What an entry host believes: catalog, upstreams, other hosts and control."""

import dataclasses

from bitternlever.batching import estimates, tables as batching_tables
from bitternlever.catalog import tables as catalog_tables
from bitternlever.fleet import hosts as fleet_hosts, upstreams as fleet_upstreams
from bitternlever.messages import fleet


@dataclasses.dataclass(slots=True)
class Control:
    """A control process as this host hears it; times are of the boot clock."""

    link: str
    run: str = ""
    hosts_revision: int = -1
    hosts: list[fleet.HostWord] = dataclasses.field(default_factory=list)
    heard_s: float | None = None
    known_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Health:
    """What this host has seen of an upstream's answers."""

    running: int = 0
    failures: int = 0
    resume_s: float = 0.0
    latency_s: float = 0.0
    running_tokens: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Told:
    """What waits at a stage service, as the host that batches it told at ``told_s``."""

    load: fleet.ServiceLoad
    told_s: float


@dataclasses.dataclass(slots=True)
class GatewayTables:
    """Everything that an entry host knows.

    ``current_s`` is the newest time at which the catalog in force was known to be
    the newest one; None before the first. ``in_touch`` are the links of the control
    processes whose lists ``hosts`` was put together from. ``loads`` are what batching
    hosts told last of their services, ``first_pieces`` estimates the time to a
    service's first piece of an answer.
    """

    word: fleet.HostWord
    seeds: tuple[str, ...]
    catalog: catalog_tables.Catalog | None = None
    current_s: float | None = None
    controls: dict[str, Control] = dataclasses.field(default_factory=dict)
    upstreams: fleet_upstreams.Upstreams = dataclasses.field(
        default_factory=fleet_upstreams.Upstreams,
    )
    hosts: fleet_hosts.Hosts = dataclasses.field(default_factory=fleet_hosts.Hosts)
    in_touch: list[str] = dataclasses.field(default_factory=list)
    health: dict[str, Health] = dataclasses.field(default_factory=dict)
    batchers: dict[str, batching_tables.Batcher] = dataclasses.field(
        default_factory=dict,
    )
    suspects: dict[str, float] = dataclasses.field(default_factory=dict)
    loads: dict[str, Told] = dataclasses.field(default_factory=dict)
    first_pieces: dict[str, estimates.Estimate] = dataclasses.field(
        default_factory=dict,
    )
