"""All tables of an entry host, and the settings of its core."""

import dataclasses
import random
from collections.abc import Callable
from typing import Any

import result

from bitternlever.admission import tables as admission_tables
from bitternlever.gossip import tables as gossip_tables
from bitternlever.messages import calls, manifest as manifest_messages, requests
from bitternlever.orders import tables as order_tables
from bitternlever.pipelines import tables as pipeline_tables
from bitternlever.routing import tables as routing_tables


@dataclasses.dataclass(slots=True, frozen=True)
class EntrySettings:
    """Settings of the entry core; durations in seconds."""

    host: str
    zone: str
    address: str
    link: str
    incarnation: str
    control_nodes: dict[str, str]
    seed_links: list[str]
    host_list_max_age_s: float = 5.0
    maximum_requests: int = 5_000
    upstream_silence_s: float = 3.0
    policy: str = "predicted"
    journal_groups: int = 1


@dataclasses.dataclass(slots=True)
class HostLease:
    """This host's lease; the host may send and write only before ``valid_until_s``."""

    epoch: int = 0
    valid_until_s: float = 0.0
    next_renewal_s: float = 0.0
    renewing: bool = False
    released: bool = False


@dataclasses.dataclass(slots=True)
class ManifestView:
    """The manifest in force on this host; new work is accepted until ``fresh_until_s``.

    ``workspaces`` and ``pipelines`` index the manifest by name; ``tokens`` maps the
    SHA-256 digest of a token to its workspace.
    """

    number: int = 0
    digest: str = ""
    manifest: manifest_messages.Manifest | None = None
    fresh_until_s: float = 0.0
    fetching: bool = False
    workspaces: dict[str, manifest_messages.Workspace] = dataclasses.field(
        default_factory=dict
    )
    pipelines: dict[str, manifest_messages.Pipeline] = dataclasses.field(
        default_factory=dict
    )
    tokens: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class CallFailed:
    """A call to control that failed; ``sent`` is NO only if it cannot commit."""

    sent: requests.Sent
    reason: str
    retry_after_s: float


CallOutcome = result.Result[calls.Reply, CallFailed]
OnOutcome = Callable[["EntryTables", float, Any, CallOutcome], None]


@dataclasses.dataclass(slots=True)
class PendingCall:
    """A call to control that waits for its reply.

    ``unanswered`` is set until the newest send is answered; ``in_doubt`` is set if an
    earlier send may still commit.
    """

    call: calls.ControlCall
    on_outcome: OnOutcome
    deadline_s: float
    resend_s: float
    target: str
    in_doubt: bool = False
    unanswered: bool = False


@dataclasses.dataclass(slots=True)
class ControlCalls:
    """Pending calls by id, and the last known leader of each group."""

    pending: dict[int, PendingCall] = dataclasses.field(default_factory=dict)
    leaders: dict[int, str] = dataclasses.field(default_factory=dict)
    next_call: int = 0
    next_target: int = 0


@dataclasses.dataclass(slots=True)
class EntryTables:
    """The whole state of an entry host's core, which every tick updates.

    ``orphans_hint`` is set when control reports orphans, which are open requests
    without an owner.
    """

    settings: EntrySettings
    random: random.Random
    lease: HostLease = dataclasses.field(default_factory=HostLease)
    manifest: ManifestView = dataclasses.field(default_factory=ManifestView)
    control: ControlCalls = dataclasses.field(default_factory=ControlCalls)
    membership: gossip_tables.MembershipTables = dataclasses.field(
        default_factory=gossip_tables.MembershipTables,
    )
    requests: pipeline_tables.RequestTables = dataclasses.field(
        default_factory=pipeline_tables.RequestTables,
    )
    admission: admission_tables.AdmissionTables = dataclasses.field(
        default_factory=admission_tables.AdmissionTables,
    )
    routing: routing_tables.RoutingTables = dataclasses.field(
        default_factory=routing_tables.RoutingTables,
    )
    orders: order_tables.OrderTables = dataclasses.field(
        default_factory=order_tables.OrderTables,
    )
    counters: dict[str, int] = dataclasses.field(default_factory=dict)
    orphans_hint: bool = False

    def count(self, name: str, amount: int = 1) -> None:
        """Increment the named counter."""
        self.counters[name] = self.counters.get(name, 0) + amount


def create(settings: EntrySettings, seed: int) -> EntryTables:
    """Create the empty tables of an entry host; ``seed`` fixes its random choices."""
    return EntryTables(settings=settings, random=random.Random(seed))
