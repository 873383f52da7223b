"""Expiry times of leases, which only the directory's leader keeps.

The leader renews leases in memory, under a valid leader lease, without a log entry.
A new leader does not know which renewals its predecessor granted, so it gives every
live host a full new lease before it lets one expire, and does the same for the order
lease.
"""

import dataclasses

from bitternlever.directory import state as directory_state
from bitternlever.messages import directory

SCAN_INTERVAL_S = 0.1


@dataclasses.dataclass(slots=True)
class HostTimer:
    """The expiry time of a host's lease, and the data of its last renewal."""

    epoch: int
    expires_s: float
    manifest_number: int = 0
    draining: bool = False
    expiring: bool = False


@dataclasses.dataclass(slots=True)
class LeaderState:
    """State that the leader keeps in memory for one term only."""

    hosts: dict[str, HostTimer] = dataclasses.field(default_factory=dict)
    order_expires_s: float = 0.0
    order_fencing: int = 0
    order_quiet_until_s: float = 0.0
    announced_number: int = 0
    next_scan_s: float = 0.0


def become_leader(tables: directory_state.Directory, now: float) -> LeaderState:
    """Return the state of a new leader: every lease starts with its full duration."""
    leader_state = LeaderState(announced_number=0)
    for host in directory_state.live_hosts(tables):
        _start_timer(tables, leader_state, now, host)
    leader_state.order_expires_s = now + tables.order_lease_s
    leader_state.order_fencing = tables.state.order_lease.fencing
    leader_state.order_quiet_until_s = now + tables.order_lease_s + tables.order_quiet_s
    return leader_state


def start_host_lease(
    tables: directory_state.Directory,
    leader_state: LeaderState,
    now: float,
    command: directory.AcquireHostLease,
) -> None:
    """Start the expiry timer of a host lease that was just committed."""
    host = tables.state.hosts.get(command.host)
    if host is not None and not host.ended:
        _start_timer(tables, leader_state, now, host)


def renew_host_lease(
    tables: directory_state.Directory,
    leader_state: LeaderState,
    now: float,
    command: directory.RenewHostLease,
) -> directory.Reply:
    """Renew a host lease in memory; refuse one that has ended or is being ended."""
    host = tables.state.hosts.get(command.host)
    timer = leader_state.hosts.get(command.host)
    lease_lost = directory.HostLeaseLost(host=command.host, epoch=command.epoch)
    if host is None or host.ended or host.epoch != command.epoch:
        return lease_lost
    if timer is None or timer.epoch != command.epoch or timer.expiring:
        return lease_lost
    timer.expires_s = now + tables.host_lease_s
    timer.manifest_number = command.manifest_number
    timer.draining = command.draining
    return directory_state.host_lease_reply(tables, host)


def expired_host_leases(
    tables: directory_state.Directory,
    leader_state: LeaderState,
    now: float,
) -> list[directory.ExpireHostLease]:
    """Return commands that end expired leases, whose renewals are refused from now."""
    if now < leader_state.next_scan_s:
        return []
    leader_state.next_scan_s = now + SCAN_INTERVAL_S
    commands = []
    for name, timer in list(leader_state.hosts.items()):
        host = tables.state.hosts.get(name)
        if host is None or host.ended or host.epoch != timer.epoch:
            del leader_state.hosts[name]
            continue
        if now >= timer.expires_s and not timer.expiring:
            timer.expiring = True
            commands.append(directory.ExpireHostLease(host=name, epoch=timer.epoch))
    return commands


def start_order_lease(
    tables: directory_state.Directory,
    leader_state: LeaderState,
    now: float,
) -> None:
    """Start the expiry timer of an order lease that was just committed."""
    leader_state.order_fencing = tables.state.order_lease.fencing
    leader_state.order_expires_s = now + tables.order_lease_s
    leader_state.order_quiet_until_s = now + tables.order_quiet_s


def acquire_order_lease(
    tables: directory_state.Directory,
    leader_state: LeaderState,
    now: float,
    command: directory.AcquireOrderLease,
) -> directory.Reply | directory.GrantOrderLease:
    """Renew or refuse the order lease, or return the grant command to propose."""
    lease = tables.state.order_lease
    if leader_state.order_fencing != lease.fencing:
        start_order_lease(tables, leader_state, now)
    host = tables.state.hosts.get(command.host)
    if host is None or host.ended or host.epoch != command.epoch:
        return directory.HostLeaseLost(host=command.host, epoch=command.epoch)
    is_held = lease.holder != "" and now < leader_state.order_expires_s
    if is_held and (lease.holder, lease.epoch) != (command.host, command.epoch):
        return directory.OrderLeaseHeld(holder=lease.holder)
    if not is_held:
        return directory.GrantOrderLease(
            host=command.host,
            epoch=command.epoch,
            after_fencing=lease.fencing,
        )
    leader_state.order_expires_s = now + tables.order_lease_s
    return directory.OrderLeaseGranted(
        host=command.host,
        fencing=lease.fencing,
        duration_s=tables.order_lease_s,
        quiet_s=max(
            0.0, min(leader_state.order_quiet_until_s - now, tables.order_quiet_s)
        ),
    )


def _start_timer(
    tables: directory_state.Directory,
    leader_state: LeaderState,
    now: float,
    host: directory_state.Host,
) -> None:
    leader_state.hosts[host.host] = HostTimer(
        epoch=host.epoch,
        expires_s=now + tables.host_lease_s,
    )
