"""Snapshots on their way to a follower that is too far behind, piece by piece."""

from bitternlever.consensus import (
    disk,
    log as consensus_log,
    replication,
    snapshots,
    tables,
)
from bitternlever.core import ticks
from bitternlever.messages import consensus


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
        snapshots.reply(
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
    snapshots.reply(
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
    snapshots.write(
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
