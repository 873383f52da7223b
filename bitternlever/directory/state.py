"""The replicated state of the directory: manifest, host leases, orders.

Every function here is deterministic: no clock, no randomness. Decisions that depend
on time are made by the leader, in ``leader``, and committed as commands.
"""

import hashlib
from collections.abc import Callable

import msgspec

from bitternlever.messages import directory

MAXIMUM_HOSTS = 1_000
MAXIMUM_ORDERS = 10_000
REMEMBERED_MANIFESTS = 4_096


class Host(msgspec.Struct):
    """One entry host; ``ended`` if its epoch may no longer write."""

    host: str
    incarnation: str
    epoch: int
    address: str
    link: str
    zone: str
    ended: bool = False


class OrderLease(msgspec.Struct):
    """The holder of the lease to send orders; ``fencing`` only increases."""

    holder: str = ""
    epoch: int = 0
    fencing: int = 0


class State(msgspec.Struct):
    """The replicated state of group 0.

    ``accepted`` maps the newest manifest numbers to digests, to recognise resent
    commands. ``last_epoch`` is the last epoch of any host, so that none is reused.
    """

    number: int = 0
    digest: str = ""
    body: bytes = b""
    accepted: dict[int, str] = {}
    last_epoch: int = 0
    hosts: dict[str, Host] = {}
    order_lease: OrderLease = msgspec.field(default_factory=OrderLease)
    orders: dict[str, directory.RecordOrder] = {}


class Directory(msgspec.Struct):
    """The state, and the hosts whose fence changed since the leader last checked."""

    state: State
    host_lease_s: float
    order_lease_s: float
    order_quiet_s: float
    changed_hosts: set[str] = set()


def create(
    host_lease_s: float,
    order_lease_s: float,
    order_quiet_s: float,
) -> Directory:
    """Create an empty directory; the durations are used only in replies."""
    return Directory(
        state=State(),
        host_lease_s=host_lease_s,
        order_lease_s=order_lease_s,
        order_quiet_s=order_quiet_s,
    )


def apply(tables: Directory, command: directory.Command) -> directory.Reply | None:
    """Apply one committed command; reads and unknown commands change nothing."""
    handler = _HANDLERS.get(type(command))
    return None if handler is None else handler(tables, command)


def snapshot(tables: Directory) -> bytes:
    """Return the replicated state as bytes."""
    return msgspec.msgpack.encode(tables.state)


def restore(tables: Directory, data: bytes) -> None:
    """Replace the replicated state by a snapshot's."""
    tables.state = msgspec.msgpack.decode(data, type=State)
    tables.changed_hosts = set(tables.state.hosts)


def fence_epoch(host: Host) -> int:
    """Return the lowest epoch of this host that may still write."""
    return host.epoch + 1 if host.ended else host.epoch


def live_hosts(tables: Directory) -> list[Host]:
    """Return the hosts whose epoch may write."""
    return [host for host in tables.state.hosts.values() if not host.ended]


def manifest_in_force(tables: Directory) -> directory.ManifestInForce:
    """Return the manifest in force, with number 0 before the first one."""
    state = tables.state
    return directory.ManifestInForce(
        number=state.number,
        digest=state.digest,
        body=state.body,
    )


def host_lease_reply(tables: Directory, host: Host) -> directory.HostLeaseGranted:
    """Return the reply for a host lease that was acquired or renewed."""
    return directory.HostLeaseGranted(
        host=host.host,
        epoch=host.epoch,
        duration_s=tables.host_lease_s,
        manifest_number=tables.state.number,
        manifest_digest=tables.state.digest,
    )


def _put_manifest(
    tables: Directory,
    command: directory.PutManifest,
) -> directory.Reply:
    state = tables.state
    if state.accepted.get(command.number) == command.digest:
        return directory.ManifestAccepted(command.number, command.digest)
    follows = command.number == state.number + 1
    if not follows or hashlib.sha256(command.body).hexdigest() != command.digest:
        return directory.ManifestConflict(state.number, state.digest)
    state.number = command.number
    state.digest = command.digest
    state.body = command.body
    state.accepted[command.number] = command.digest
    state.accepted.pop(command.number - REMEMBERED_MANIFESTS, None)
    return directory.ManifestAccepted(command.number, command.digest)


def _acquire_host_lease(
    tables: Directory,
    command: directory.AcquireHostLease,
) -> directory.Reply:
    state = tables.state
    existing = state.hosts.get(command.host)
    same_incarnation = (
        existing is not None and existing.incarnation == command.incarnation
    )
    if same_incarnation and not existing.ended:
        return host_lease_reply(tables, existing)
    if existing is None and not _make_room(state):
        return directory.HostLeaseLost(host=command.host, epoch=0)
    state.last_epoch += 1
    host = Host(
        host=command.host,
        incarnation=command.incarnation,
        epoch=state.last_epoch,
        address=command.address,
        link=command.link,
        zone=command.zone,
    )
    state.hosts[command.host] = host
    tables.changed_hosts.add(command.host)
    return host_lease_reply(tables, host)


def _make_room(state: State) -> bool:
    if len(state.hosts) < MAXIMUM_HOSTS:
        return True
    ended = [host for host in state.hosts.values() if host.ended]
    if not ended:
        return False
    oldest = min(ended, key=lambda host: host.epoch)
    del state.hosts[oldest.host]
    return True


def _end_host_lease(
    tables: Directory,
    command: directory.ExpireHostLease | directory.ReleaseHostLease,
) -> directory.Reply:
    state = tables.state
    host = state.hosts.get(command.host)
    if host is not None and host.epoch == command.epoch and not host.ended:
        host.ended = True
        tables.changed_hosts.add(host.host)
    lease = state.order_lease
    released = isinstance(command, directory.ReleaseHostLease)
    if released and (lease.holder, lease.epoch) == (command.host, command.epoch):
        lease.holder = ""
    return directory.HostLeaseEnded(host=command.host, epoch=command.epoch)


def _grant_order_lease(
    tables: Directory,
    command: directory.GrantOrderLease,
) -> directory.Reply:
    lease = tables.state.order_lease
    host = tables.state.hosts.get(command.host)
    if host is None or host.ended or host.epoch != command.epoch:
        return directory.HostLeaseLost(host=command.host, epoch=command.epoch)
    if lease.fencing != command.after_fencing:
        return directory.OrderLeaseHeld(holder=lease.holder)
    lease.holder = command.host
    lease.epoch = command.epoch
    lease.fencing += 1
    return directory.OrderLeaseGranted(
        host=command.host,
        fencing=lease.fencing,
        duration_s=tables.order_lease_s,
        quiet_s=tables.order_quiet_s,
    )


def _record_order(
    tables: Directory,
    command: directory.RecordOrder,
) -> directory.Reply:
    state = tables.state
    if command.fencing != state.order_lease.fencing:
        return directory.OrderRefused(fencing_in_force=state.order_lease.fencing)
    state.orders.pop(command.upstream, None)
    state.orders[command.upstream] = command
    if len(state.orders) > MAXIMUM_ORDERS:
        state.orders.pop(next(iter(state.orders)))
    return directory.OrderRecorded(upstream=command.upstream)


_HANDLERS: dict[type, Callable] = {
    directory.PutManifest: _put_manifest,
    directory.AcquireHostLease: _acquire_host_lease,
    directory.ReleaseHostLease: _end_host_lease,
    directory.ExpireHostLease: _end_host_lease,
    directory.GrantOrderLease: _grant_order_lease,
    directory.RecordOrder: _record_order,
}
