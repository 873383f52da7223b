"""Commands and replies of group 0, the directory.

Each command may be sent again after a lost reply: the second reply says the same.
"""

import msgspec

GROUP = 0


class PutManifest(msgspec.Struct, tag=True, frozen=True):
    """Accept a manifest if its number follows the number in force.

    ``body`` is the manifest's JSON, ``digest`` its SHA-256 in hexadecimal.
    """

    number: int
    digest: str
    body: bytes


class ManifestAccepted(msgspec.Struct, tag=True, frozen=True):
    """The manifest is committed, now or by an earlier equal command."""

    number: int
    digest: str


class ManifestConflict(msgspec.Struct, tag=True, frozen=True):
    """Another manifest holds this number, or the number does not follow."""

    number_in_force: int
    digest_in_force: str


class GetManifest(msgspec.Struct, tag=True, frozen=True):
    """Read the manifest in force."""


class ManifestInForce(msgspec.Struct, tag=True, frozen=True):
    """The manifest in force; number 0 with an empty body before the first."""

    number: int
    digest: str
    body: bytes


class AcquireHostLease(msgspec.Struct, tag=True, frozen=True):
    """Take a lease for a started entry process.

    ``incarnation`` tells two runs of the same host apart: the same incarnation gets
    the same epoch again, another one fences the former.
    """

    host: str
    incarnation: str
    address: str
    link: str
    zone: str


class HostLeaseGranted(msgspec.Struct, tag=True, frozen=True):
    """The lease: its fencing epoch and its duration from the sending of the call."""

    host: str
    epoch: int
    duration_s: float
    manifest_number: int
    manifest_digest: str


class RenewHostLease(msgspec.Struct, tag=True, frozen=True):
    """Renew a lease; answered by the leader from memory under its leader lease.

    ``manifest_number`` is the number in force on the host, for ``status``.
    """

    host: str
    epoch: int
    manifest_number: int
    draining: bool = False


class HostLeaseLost(msgspec.Struct, tag=True, frozen=True):
    """The epoch is fenced: the host must stop and take a new lease."""

    host: str
    epoch: int


class ReleaseHostLease(msgspec.Struct, tag=True, frozen=True):
    """End a lease after a drain."""

    host: str
    epoch: int


class ExpireHostLease(msgspec.Struct, tag=True, frozen=True):
    """End a lease that was not renewed; proposed by the leader alone."""

    host: str
    epoch: int


class HostLeaseEnded(msgspec.Struct, tag=True, frozen=True):
    """The lease has ended and its epoch is fenced."""

    host: str
    epoch: int


class AcquireOrderLease(msgspec.Struct, tag=True, frozen=True):
    """Take or keep the lease to send orders to engines."""

    host: str
    epoch: int


class GrantOrderLease(msgspec.Struct, tag=True, frozen=True):
    """Give the order lease to a host; proposed by the leader alone.

    It counts only while ``after_fencing`` is the newest fencing number, so that of
    two grants that were proposed together one wins.
    """

    host: str
    epoch: int
    after_fencing: int


class OrderLeaseGranted(msgspec.Struct, tag=True, frozen=True):
    """The order lease: its fencing number and its duration.

    For engines that ignore fencing numbers the holder waits ``quiet_s`` from the
    first grant of a fencing number before its first order. A renewal says how much
    of it is left, or the whole again where a new leader cannot know.
    """

    host: str
    fencing: int
    duration_s: float
    quiet_s: float


class OrderLeaseHeld(msgspec.Struct, tag=True, frozen=True):
    """Another host holds the order lease."""

    holder: str


class RecordOrder(msgspec.Struct, tag=True, frozen=True):
    """Record the state of one order for ``upstreams --orders`` and for successors."""

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
    """One entry host as the directory knows it; ``ended`` when it has no lease."""

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
    """The last order to one engine."""

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
    """Replace one replica by another in one safe sequence; may be sent again."""

    old_node: str
    old_disk: str
    new_node: str


class ReplaceProgress(msgspec.Struct, tag=True, frozen=True):
    """How far a replacement has come: waiting, learner, voter or done.

    While it is ``waiting`` nothing has begun: the command must be sent again.
    """

    step: str
    detail: str


class ReplaceRefused(msgspec.Struct, tag=True, frozen=True):
    """The replacement would risk the quorum; ``reason`` says why."""

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
