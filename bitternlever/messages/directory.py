"""Commands and replies of group 0, the directory.

A command may be resent after a lost reply and then gets an equivalent reply.

An entry host writes to the journal under the epoch of its host lease. The holder of the
order lease sends orders, which tell engines the models that they should hold.
"""

import msgspec

GROUP = 0


class PutManifest(msgspec.Struct, tag=True, frozen=True):
    """Accept a manifest if its number is one above the number in force.

    ``body`` is the manifest's JSON, ``digest`` its SHA-256 in hexadecimal.
    """

    number: int
    digest: str
    body: bytes


class ManifestAccepted(msgspec.Struct, tag=True, frozen=True):
    """The manifest is committed, by this command or by an earlier equal one."""

    number: int
    digest: str


class ManifestConflict(msgspec.Struct, tag=True, frozen=True):
    """Another manifest has this number, or the number is not the next one."""

    number_in_force: int
    digest_in_force: str


class GetManifest(msgspec.Struct, tag=True, frozen=True):
    """Read the manifest in force."""


class ManifestInForce(msgspec.Struct, tag=True, frozen=True):
    """The manifest in force; number 0 with an empty body before the first manifest."""

    number: int
    digest: str
    body: bytes


class AcquireHostLease(msgspec.Struct, tag=True, frozen=True):
    """Acquire a host lease for an entry process that has started.

    ``incarnation`` identifies one run of the host's process: the same incarnation gets
    the same epoch again, another one fences the previous one.
    """

    host: str
    incarnation: str
    address: str
    link: str
    zone: str


class HostLeaseGranted(msgspec.Struct, tag=True, frozen=True):
    """The lease: its fencing epoch and its duration, counted from sending the call."""

    host: str
    epoch: int
    duration_s: float
    manifest_number: int
    manifest_digest: str


class RenewHostLease(msgspec.Struct, tag=True, frozen=True):
    """Renew a host lease; a leader with a leader lease replies without a log entry.

    ``manifest_number`` is the number in force on the host, shown by ``status``.
    """

    host: str
    epoch: int
    manifest_number: int
    draining: bool = False


class HostLeaseLost(msgspec.Struct, tag=True, frozen=True):
    """The epoch is fenced: the host must stop and acquire a new lease."""

    host: str
    epoch: int


class ReleaseHostLease(msgspec.Struct, tag=True, frozen=True):
    """End a host lease after a drain."""

    host: str
    epoch: int


class ExpireHostLease(msgspec.Struct, tag=True, frozen=True):
    """End a host lease that was not renewed; proposed only by the leader."""

    host: str
    epoch: int


class HostLeaseEnded(msgspec.Struct, tag=True, frozen=True):
    """The lease has ended and its epoch is fenced."""

    host: str
    epoch: int


class AcquireOrderLease(msgspec.Struct, tag=True, frozen=True):
    """Acquire or renew the lease for sending orders to engines."""

    host: str
    epoch: int


class GrantOrderLease(msgspec.Struct, tag=True, frozen=True):
    """Grant the order lease to a host; proposed only by the leader.

    Applied only if ``after_fencing`` is still the newest fencing number, so that only
    one of two concurrently proposed grants succeeds.
    """

    host: str
    epoch: int
    after_fencing: int


class OrderLeaseGranted(msgspec.Struct, tag=True, frozen=True):
    """The order lease: its fencing number and its duration.

    Since some engines ignore fencing numbers, the holder waits ``quiet_s`` from the
    first grant of a fencing number before it sends its first order. A renewal returns
    the rest of that time, or the full time if a new leader cannot know the rest.
    """

    host: str
    fencing: int
    duration_s: float
    quiet_s: float


class OrderLeaseHeld(msgspec.Struct, tag=True, frozen=True):
    """Another host holds the order lease."""

    holder: str


class RecordOrder(msgspec.Struct, tag=True, frozen=True):
    """Record the state of one order, for ``upstreams --orders`` and later holders."""

    fencing: int
    upstream: str
    models: list[str]
    adapters: list[str]
    role: str
    state: str
    detail: str = ""


class OrderRecorded(msgspec.Struct, tag=True, frozen=True):
    """The order's state is committed."""

    upstream: str


class OrderRefused(msgspec.Struct, tag=True, frozen=True):
    """The fencing number is not the newest."""

    fencing_in_force: int


class GetStatus(msgspec.Struct, tag=True, frozen=True):
    """Read hosts, replicas and orders."""


class HostStatus(msgspec.Struct, frozen=True):
    """One entry host as known to the directory; ``ended`` if it has no lease."""

    host: str
    epoch: int
    address: str
    link: str
    zone: str
    manifest_number: int
    draining: bool
    lease_left_s: float
    ended: bool = False


class ReplicaStatus(msgspec.Struct, frozen=True):
    """One replica of a group; ``lag`` counts log entries behind the leader."""

    node: str
    disk: str
    group: int
    zone: str
    role: str
    match_index: int
    lag: int


class OrderStatus(msgspec.Struct, frozen=True):
    """The latest order to one engine."""

    upstream: str
    fencing: int
    models: list[str]
    adapters: list[str]
    role: str
    state: str
    detail: str


class Status(msgspec.Struct, tag=True, frozen=True):
    """The directory's state."""

    manifest_number: int
    manifest_digest: str
    leader: str
    hosts: list[HostStatus]
    replicas: list[ReplicaStatus]
    orders: list[OrderStatus]
    order_holder: str = ""
    order_fencing: int = 0
    warnings: list[str] = []


class ReplaceReplica(msgspec.Struct, tag=True, frozen=True):
    """Replace one replica by another without risking the quorum; may be resent."""

    old_node: str
    old_disk: str
    new_node: str


class ReplaceProgress(msgspec.Struct, tag=True, frozen=True):
    """Progress of a replacement; ``step`` is waiting, learner, voter or done.

    While it is ``waiting`` nothing has started and the command must be resent.
    """

    step: str
    detail: str


class ReplaceRefused(msgspec.Struct, tag=True, frozen=True):
    """The replacement would risk the quorum, for the given ``reason``."""

    reason: str


Command = (
    PutManifest
    | GetManifest
    | AcquireHostLease
    | RenewHostLease
    | ReleaseHostLease
    | ExpireHostLease
    | AcquireOrderLease
    | GrantOrderLease
    | RecordOrder
    | GetStatus
    | ReplaceReplica
)

Reply = (
    ManifestAccepted
    | ManifestConflict
    | ManifestInForce
    | HostLeaseGranted
    | HostLeaseLost
    | HostLeaseEnded
    | OrderLeaseGranted
    | OrderLeaseHeld
    | OrderRecorded
    | OrderRefused
    | Status
    | ReplaceProgress
    | ReplaceRefused
)
