"""Snapshots: taken for compaction, sent in pieces, installed once synced."""

from bitternlever.consensus import disk, log as consensus_log, replication, tables
from bitternlever.core import ticks
from bitternlever.messages import consensus


def run(replica: tables.Replica, outbox: ticks.Outbox) -> None:
    """Write a snapshot when enough was applied since the last one."""
    if replica.disk.snapshot is not None or replica.disk.failed is not None:
        return
    applied = replica.applied_index - replica.snapshot_index
    enough = applied >= replica.settings.snapshot_after_entries
    if not enough and replica.applied_bytes < tables.SNAPSHOT_AFTER_BYTES:
        return
    if applied == 0:
        return
    index = replica.applied_index
    _write(
        replica,
        outbox,
        tables.PendingSnapshot(
            write_id=replica.disk.next_write,
            last_index=index,
            last_term=consensus_log.term_at(replica.log, index),
            membership=disk.membership_at(replica, index),
        ),
        replica.machine.snapshot(),
    )


def synced(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    message: consensus.SnapshotSynced,
) -> None:
    """Drop the log that a synced snapshot holds, or switch to its state."""
    pending = replica.disk.snapshot
    if pending is None or pending.write_id != message.write_id:
        return
    replica.disk.snapshot = None
    replica.snapshot_index = pending.last_index
    if pending.install is not None:
        _install(replica, pending)
        _reply(
            replica,
            outbox,
            pending.leader,
            pending.last_index,
            next_offset=len(pending.install),
            installed=True,
        )
        return
    _compact(replica, pending.last_index)


def send_piece(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    follower: consensus.ReplicaId,
    progress: tables.Progress,
) -> None:
    """Send the piece that the follower waits for, again after silence."""
    if progress.transfer is None:
        progress.transfer = _start_transfer(replica)
    transfer = progress.transfer
    if transfer.sent_s is not None:
        resend_s = transfer.sent_s + tables.SNAPSHOT_RESEND_S
        outbox.wake(resend_s)
        if now < resend_s:
            return
    transfer.sent_s = now
    end = transfer.offset + tables.SNAPSHOT_PIECE_BYTES
    request = consensus.SnapshotRequest(
        group=replica.settings.group,
        term=replica.term,
        leader=replica.settings.identity,
        follower=follower,
        last_index=transfer.last_index,
        last_term=transfer.last_term,
        membership=transfer.membership,
        offset=transfer.offset,
        data=transfer.data[transfer.offset : end],
        done=end >= len(transfer.data),
    )
    disk.send(replica, outbox, follower, request)


def piece_requested(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    request: consensus.SnapshotRequest,
) -> None:
    """Take a piece of the leader's snapshot."""
    if request.follower != replica.settings.identity:
        replica.count("snapshot_for_another_disk")
        return
    if request.term < replica.term:
        return
    replication.heard_leader(replica, now, outbox, request.term, request.leader)
    if replica.disk.snapshot is not None:
        return
    if request.last_index <= replica.applied_index:
        installed = replica.disk.synced_index >= request.last_index
        _reply(
            replica,
            outbox,
            request.leader,
            request.last_index,
            next_offset=0,
            installed=installed,
        )
        return
    receiving = _receive(replica, request)
    if request.done and len(receiving.data) == request.offset + len(request.data):
        _write_received(replica, outbox, request, bytes(receiving.data))
        return
    _reply(
        replica,
        outbox,
        request.leader,
        request.last_index,
        next_offset=len(receiving.data),
        installed=False,
    )


def piece_answered(
    replica: tables.Replica,
    now: float,
    reply: consensus.SnapshotReply,
) -> None:
    """Move on to the next piece, or back to the log after the last."""
    if replica.role is not tables.Role.LEADER or reply.term != replica.term:
        return
    progress = replica.office.progress.get(reply.follower)
    if progress is None or progress.transfer is None:
        return
    transfer = progress.transfer
    if reply.last_index != transfer.last_index:
        return
    if reply.installed:
        progress.transfer = None
        progress.match_index = max(progress.match_index, reply.last_index)
        progress.next_index = progress.match_index + 1
        progress.probing = True
        progress.probe_sent = False
        return
    if reply.next_offset != transfer.offset:
        transfer.offset = reply.next_offset
        transfer.sent_s = None


def _compact(replica: tables.Replica, snapshot_index: int) -> None:
    """Drop the log before a snapshot but for a tail that spares others a transfer."""
    first_kept = consensus_log.tail_start(
        replica.log,
        snapshot_index,
        tables.KEPT_ENTRIES,
        tables.KEPT_BYTES,
    )
    if first_kept - 1 > replica.log.base_index:
        consensus_log.compact(replica.log, first_kept - 1)
        _drop_old_memberships(replica)


def _start_transfer(replica: tables.Replica) -> tables.Transfer:
    index = replica.applied_index
    return tables.Transfer(
        last_index=index,
        last_term=consensus_log.term_at(replica.log, index),
        membership=disk.membership_at(replica, index),
        data=replica.machine.snapshot(),
    )


def _receive(
    replica: tables.Replica,
    request: consensus.SnapshotRequest,
) -> tables.Receiving:
    receiving = replica.receiving
    asked = (request.last_index, request.last_term)
    if receiving is None or (receiving.last_index, receiving.last_term) != asked:
        receiving = tables.Receiving(*asked)
        replica.receiving = receiving
    fits = len(receiving.data) + len(request.data) <= tables.MAXIMUM_SNAPSHOT_BYTES
    if request.offset == len(receiving.data) and fits:
        receiving.data += request.data
    return receiving


def _write_received(
    replica: tables.Replica,
    outbox: ticks.Outbox,
    request: consensus.SnapshotRequest,
    data: bytes,
) -> None:
    replica.receiving = None
    held = consensus_log.term_at(replica.log, request.last_index)
    stale = consensus_log.last_index(replica.log) > replica.commit_index
    if held != request.last_term and stale:
        disk.truncate(replica, replica.commit_index + 1)
        disk.flush(replica, outbox)
    _write(
        replica,
        outbox,
        tables.PendingSnapshot(
            write_id=replica.disk.next_write,
            last_index=request.last_index,
            last_term=request.last_term,
            membership=request.membership,
            install=data,
            leader=request.leader,
        ),
        data,
    )


def _write(
    replica: tables.Replica,
    outbox: ticks.Outbox,
    pending: tables.PendingSnapshot,
    data: bytes,
) -> None:
    replica.disk.snapshot = pending
    replica.disk.next_write += 1
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
    replica.machine.restore(pending.install)
    replica.commit_index = max(replica.commit_index, pending.last_index)
    replica.applied_index = pending.last_index
    replica.matched_index = max(replica.matched_index, pending.last_index)
    replica.disk.synced_index = max(replica.disk.synced_index, pending.last_index)


def _drop_old_memberships(replica: tables.Replica) -> None:
    base_index = replica.log.base_index
    while len(replica.memberships) > 1 and replica.memberships[1][0] <= base_index:
        replica.memberships.pop(0)


def _reply(
    replica: tables.Replica,
    outbox: ticks.Outbox,
    leader: consensus.ReplicaId,
    last_index: int,
    *,
    next_offset: int,
    installed: bool,
) -> None:
    reply = consensus.SnapshotReply(
        group=replica.settings.group,
        term=replica.term,
        follower=replica.settings.identity,
        last_index=last_index,
        next_offset=next_offset,
        installed=installed,
    )
    disk.send(replica, outbox, leader, reply)
