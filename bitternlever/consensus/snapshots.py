"""Snapshots: taken to compact the log, or received from a leader and installed."""

from bitternlever.consensus import disk, log as consensus_log, tables
from bitternlever.core import ticks
from bitternlever.messages import consensus


def run(replica: tables.Replica, outbox: ticks.Outbox) -> None:
    """Take a snapshot once enough has been applied since the last one."""
    if replica.disk.snapshot is not None or replica.disk.failed is not None:
        return
    applied = replica.applied_index - replica.snapshot_index
    enough = applied >= replica.settings.snapshot_after_entries
    if not enough and replica.applied_bytes < tables.SNAPSHOT_AFTER_BYTES:
        return
    if applied == 0:
        return
    index = replica.applied_index
    write(
        replica,
        outbox,
        tables.PendingSnapshot(
            write_id=replica.disk.next_write_id,
            last_index=index,
            last_term=consensus_log.term_at(replica.log, index),
            membership=disk.membership_at(replica, index),
        ),
        replica.machine.snapshot(),
    )


def handle_snapshot_synced(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    message: consensus.SnapshotSynced,
) -> None:
    """Compact the log up to a synced snapshot, or install it if a leader sent it."""
    pending = replica.disk.snapshot
    if pending is None or pending.write_id != message.write_id:
        return
    replica.disk.snapshot = None
    replica.snapshot_index = pending.last_index
    if pending.received_data is not None:
        _install(replica, pending)
        reply(
            replica,
            outbox,
            pending.leader,
            pending.last_index,
            next_offset=len(pending.received_data),
            installed=True,
        )
        return
    _compact(replica, pending.last_index)


def _compact(replica: tables.Replica, snapshot_index: int) -> None:
    """Compact the log up to a snapshot, retaining a tail.

    With the tail, followers that are slightly behind need no snapshot transfer.
    """
    first_kept = consensus_log.tail_start(
        replica.log,
        snapshot_index,
        tables.RETAINED_ENTRIES,
        tables.RETAINED_BYTES,
    )
    if first_kept - 1 > replica.log.base_index:
        consensus_log.compact(replica.log, first_kept - 1)
        _drop_old_memberships(replica)


def write(
    replica: tables.Replica,
    outbox: ticks.Outbox,
    pending: tables.PendingSnapshot,
    data: bytes,
) -> None:
    """Submit a snapshot to the disk; only one may be pending."""
    replica.disk.snapshot = pending
    replica.disk.next_write_id += 1
    replica.applied_bytes = 0
    outbox.send(
        consensus.WriteSnapshot(
            group=replica.settings.group,
            write_id=pending.write_id,
            last_index=pending.last_index,
            last_term=pending.last_term,
            membership=pending.membership,
            data=data,
        ),
    )


def _install(replica: tables.Replica, pending: tables.PendingSnapshot) -> None:
    log = replica.log
    if consensus_log.term_at(log, pending.last_index) == pending.last_term:
        consensus_log.compact(log, pending.last_index)
        _drop_old_memberships(replica)
    else:
        consensus_log.reset(log, pending.last_index, pending.last_term)
        replica.memberships = []
        disk.push_membership(replica, pending.last_index, pending.membership)
    replica.machine.restore(pending.received_data)
    replica.commit_index = max(replica.commit_index, pending.last_index)
    replica.applied_index = pending.last_index
    replica.matched_index = max(replica.matched_index, pending.last_index)
    replica.disk.synced_index = max(replica.disk.synced_index, pending.last_index)


def _drop_old_memberships(replica: tables.Replica) -> None:
    base_index = replica.log.base_index
    while len(replica.memberships) > 1 and replica.memberships[1][0] <= base_index:
        replica.memberships.pop(0)


def reply(
    replica: tables.Replica,
    outbox: ticks.Outbox,
    leader: consensus.ReplicaId,
    last_index: int,
    *,
    next_offset: int,
    installed: bool,
) -> None:
    """Report the next wanted offset, or an installed snapshot, to the leader."""
    message = consensus.SnapshotReply(
        group=replica.settings.group,
        term=replica.term,
        follower=replica.settings.identity,
        last_index=last_index,
        next_offset=next_offset,
        installed=installed,
    )
    disk.send(replica, outbox, leader, message)
