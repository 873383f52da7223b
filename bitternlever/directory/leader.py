"""What only the directory's leader knows: when leases run out.

Renewals are answered from memory, under a valid leader lease, without a log entry.
A new leader cannot know the renewals of its predecessor, so it gives every known
host a full new lease before it lets one expire; the same goes for the order lease.
"""

import dataclasses

from bitternlever.directory import state as directory_state
from bitternlever.messages import directory

SCAN_INTERVAL_S = 0.1


@dataclasses.dataclass(slots=True)
class HostTimer:
    """When a host's lease ends, and what its last renewal said."""

    epoch: int
    expires_s: float
    manifest_number: int = 0
    draining: bool = False
    expiring: bool = False


@dataclasses.dataclass(slots=True)
class Memory:
    """The leader's memory of one office."""

    hosts: dict[str, HostTimer] = dataclasses.field(default_factory=dict)
    order_expires_s: float = 0.0
    order_fencing: int = 0
    order_quiet_until_s: float = 0.0
    announced_number: int = 0
    next_scan_s: float = 0.0


def take_office(tables: directory_state.Directory, now: float) -> Memory:
    """Begin an office: every known lease is valid for its full duration."""
    memory = Memory(announced_number=0)
    for host in directory_state.live_hosts(tables):
        _start_timer(tables, memory, now, host)
    memory.order_expires_s = now + tables.order_lease_s
    memory.order_fencing = tables.state.order_lease.fencing
    memory.order_quiet_until_s = now + tables.order_lease_s + tables.order_quiet_s
    return memory


def acquired(
    tables: directory_state.Directory,
    memory: Memory,
    now: float,
    command: directory.AcquireHostLease,
) -> None:
    """Start the timer of a lease that was just committed."""
    host = tables.state.hosts.get(command.host)
    if host is not None and not host.ended:
        _start_timer(tables, memory, now, host)


def renew(
    tables: directory_state.Directory,
    memory: Memory,
    now: float,
    command: directory.RenewHostLease,
) -> directory.Reply:
    """Renew a lease from memory; refuse one that has ended or is about to."""
    host = tables.state.hosts.get(command.host)
    timer = memory.hosts.get(command.host)
    lost = directory.HostLeaseLost(host=command.host, epoch=command.epoch)
    if host is None or host.ended or host.epoch != command.epoch:
        return lost
    if timer is None or timer.epoch != command.epoch or timer.expiring:
        return lost
    timer.expires_s = now + tables.host_lease_s
    timer.manifest_number = command.manifest_number
    timer.draining = command.draining
    return directory_state.granted(tables, host)


def due(
    tables: directory_state.Directory,
    memory: Memory,
    now: float,
) -> list[directory.ExpireHostLease]:
    """Return the leases to end now; from then on no renewal is answered."""
    if now < memory.next_scan_s:
        return []
    memory.next_scan_s = now + SCAN_INTERVAL_S
    commands = []
    for name, timer in list(memory.hosts.items()):
        host = tables.state.hosts.get(name)
        if host is None or host.ended or host.epoch != timer.epoch:
            del memory.hosts[name]
            continue
        if now >= timer.expires_s and not timer.expiring:
            timer.expiring = True
            commands.append(directory.ExpireHostLease(host=name, epoch=timer.epoch))
    return commands


def order_granted(
    tables: directory_state.Directory,
    memory: Memory,
    now: float,
) -> None:
    """Start the timer of an order lease that was just committed."""
    memory.order_fencing = tables.state.order_lease.fencing
    memory.order_expires_s = now + tables.order_lease_s
    memory.order_quiet_until_s = now + tables.order_quiet_s


def order_lease(
    tables: directory_state.Directory,
    memory: Memory,
    now: float,
    command: directory.AcquireOrderLease,
) -> directory.Reply | directory.GrantOrderLease:
    """Renew the order lease, refuse it, or return the grant to propose."""
    lease = tables.state.order_lease
    if memory.order_fencing != lease.fencing:
        order_granted(tables, memory, now)
    host = tables.state.hosts.get(command.host)
    if host is None or host.ended or host.epoch != command.epoch:
        return directory.HostLeaseLost(host=command.host, epoch=command.epoch)
    held = lease.holder != "" and now < memory.order_expires_s
    if held and (lease.holder, lease.epoch) != (command.host, command.epoch):
        return directory.OrderLeaseHeld(holder=lease.holder)
    if not held:
        return directory.GrantOrderLease(
            host=command.host,
            epoch=command.epoch,
            after_fencing=lease.fencing,
        )
    memory.order_expires_s = now + tables.order_lease_s
    return directory.OrderLeaseGranted(
        host=command.host,
        fencing=lease.fencing,
        duration_s=tables.order_lease_s,
        quiet_s=max(0.0, min(memory.order_quiet_until_s - now, tables.order_quiet_s)),
    )


def _start_timer(
    tables: directory_state.Directory,
    memory: Memory,
    now: float,
    host: directory_state.Host,
) -> None:
    memory.hosts[host.host] = HostTimer(
        epoch=host.epoch,
        expires_s=now + tables.host_lease_s,
    )
