"""Status report of the directory: hosts, replicas, orders and warnings."""

import collections

from bitternlever.consensus import log as consensus_log, tables as consensus_tables
from bitternlever.control import tables as control_tables
from bitternlever.messages import consensus, directory

UNKNOWN_LAG = -1
SILENT_AFTER_ELECTION_TIMEOUTS = 2.0


def read(
    tables: control_tables.ControlTables,
    now: float,
) -> directory.Status:
    """Return the status as known to group 0's leader."""
    state = tables.directory.state
    warnings = []
    replicas = []
    for group in tables.groups.values():
        replicas.extend(_replica_statuses(tables, group))
        warnings.extend(_warnings(tables, group, now))
    return directory.Status(
        manifest_number=state.number,
        manifest_digest=state.digest,
        leader=tables.settings.node,
        hosts=_host_statuses(tables, now),
        replicas=replicas,
        orders=[_order_status(record) for record in state.orders.values()],
        order_holder=state.order_lease.holder,
        order_fencing=state.order_lease.fencing,
        warnings=warnings,
    )


def _host_statuses(
    tables: control_tables.ControlTables,
    now: float,
) -> list[directory.HostStatus]:
    hosts = []
    for host in tables.directory.state.hosts.values():
        timer = tables.directory_leader_state.hosts.get(host.host)
        has_lease = timer is not None and timer.epoch == host.epoch and not host.ended
        hosts.append(
            directory.HostStatus(
                host=host.host,
                epoch=host.epoch,
                address=host.address,
                link=host.link,
                zone=host.zone,
                manifest_number=timer.manifest_number if has_lease else 0,
                draining=timer.draining if has_lease else False,
                lease_left_s=max(0.0, timer.expires_s - now) if has_lease else 0.0,
                ended=host.ended,
            ),
        )
    return hosts


def _replica_statuses(
    tables: control_tables.ControlTables,
    group: control_tables.Group,
) -> list[directory.ReplicaStatus]:
    """Return a group's replicas; their lag is known only to the group's leader."""
    membership = group.replica.membership
    if membership is None:
        return []
    roles = [(voter, "voter") for voter in consensus_tables.voters(membership)]
    roles += [(learner, "learner") for learner in membership.learners]
    return [_replica_status(tables, group, member, role) for member, role in roles]


def _replica_status(
    tables: control_tables.ControlTables,
    group: control_tables.Group,
    member: consensus.ReplicaId,
    role: str,
) -> directory.ReplicaStatus:
    replica = group.replica
    last_index = consensus_log.last_index(replica.log)
    match_index = 0
    lag = UNKNOWN_LAG
    if member == replica.settings.identity:
        match_index = replica.disk.synced_index
        lag = last_index - match_index
    elif member in replica.leader_state.progress:
        match_index = replica.leader_state.progress[member].match_index
        lag = last_index - match_index
    if member == replica.leader:
        role = "leader"
    return directory.ReplicaStatus(
        node=member.node,
        disk=member.disk,
        group=group.number,
        zone=tables.zones.get(member.node, ""),
        role=role,
        match_index=match_index,
        lag=lag,
    )


def _warnings(
    tables: control_tables.ControlTables,
    group: control_tables.Group,
    now: float,
) -> list[str]:
    membership = group.replica.membership
    if membership is None:
        return [f"group {group.number}: no membership yet"]
    warnings = _zone_warnings(tables, group.number, membership)
    if group.replica.role is consensus_tables.Role.LEADER:
        warnings += _silence_warnings(group, membership, now)
    if membership.replacing is not None:
        old, new = membership.replacing
        warnings.append(
            f"group {group.number}: {old.node} is being replaced by {new.node}",
        )
    return warnings


def _zone_warnings(
    tables: control_tables.ControlTables,
    number: int,
    membership: consensus.Membership,
) -> list[str]:
    needed = consensus_tables.quorum(len(membership.voters))
    zones = collections.Counter(
        tables.zones.get(voter.node, "") for voter in membership.voters
    )
    return [
        f"group {number}: zone {zone} holds a quorum ({count} of "
        f"{len(membership.voters)} voters); move voters to other zones"
        for zone, count in sorted(zones.items())
        if zone and count >= needed
    ]


def _silence_warnings(
    group: control_tables.Group,
    membership: consensus.Membership,
    now: float,
) -> list[str]:
    replica = group.replica
    since_s = now - (
        SILENT_AFTER_ELECTION_TIMEOUTS * replica.settings.election_timeout_s
    )
    silent = [
        voter.node
        for voter in membership.voters
        if voter in replica.leader_state.progress
        and replica.leader_state.progress[voter].last_contact_s < since_s
    ]
    warnings = [f"group {group.number}: {node} is silent" for node in silent]
    healthy = len(membership.voters) - len(silent)
    if healthy - 1 < consensus_tables.quorum(len(membership.voters)):
        warnings.append(
            f"group {group.number}: losing one more host would lose the quorum",
        )
    return warnings


def _order_status(record: directory.RecordOrder) -> directory.OrderStatus:
    return directory.OrderStatus(
        upstream=record.upstream,
        fencing=record.fencing,
        models=record.models,
        adapters=record.adapters,
        role=record.role,
        state=record.state,
        detail=record.detail,
    )
