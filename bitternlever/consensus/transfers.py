"""Snapshot transfer, in chunks, to a follower that is too far behind for the log."""

from bitternlever.consensus import (
    disk,
    log as consensus_log,
    replication,
    snapshots,
    tables,
)
from bitternlever.core import ticks
from bitternlever.messages import consensus


def send_chunk(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    follower: consensus.ReplicaId,
    progress: tables.Progress,
) -> None:
    """Send the chunk that the follower wants next, and resend it after a timeout."""
    if progress.transfer is None:
        progress.transfer = _start_transfer(replica)
    transfer = progress.transfer
    if transfer.sent_s is not None:
        resend_s = transfer.sent_s + tables.SNAPSHOT_RESEND_S
        outbox.wake(resend_s)
        if now < resend_s:
            return
    transfer.sent_s = now
    end = transfer.offset + tables.SNAPSHOT_CHUNK_BYTES
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


def handle_snapshot_request(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    request: consensus.SnapshotRequest,
) -> None:
    """Receive a chunk of the leader's snapshot."""
    if request.follower != replica.settings.identity:
        replica.count("snapshot_for_another_disk")
        return
    if request.term < replica.term:
        return
    replication.record_leader_contact(
        replica,
        now,
        outbox,
        request.term,
        request.leader,
    )
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
    incoming_snapshot = _receive_chunk(replica, request)
    if request.done and len(incoming_snapshot.data) == request.offset + len(
        request.data
    ):
        _write_received(replica, outbox, request, bytes(incoming_snapshot.data))
        return
    snapshots.reply(
        replica,
        outbox,
        request.leader,
        request.last_index,
        next_offset=len(incoming_snapshot.data),
        installed=False,
    )


def handle_snapshot_reply(
    replica: tables.Replica,
    now: float,
    reply: consensus.SnapshotReply,
) -> None:
    """Advance to the next chunk, or resume log replication after the last."""
    if replica.role is not tables.Role.LEADER or reply.term != replica.term:
        return
    progress = replica.leader_state.progress.get(reply.follower)
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


def _start_transfer(replica: tables.Replica) -> tables.SnapshotTransfer:
    index = replica.applied_index
    return tables.SnapshotTransfer(
        last_index=index,
        last_term=consensus_log.term_at(replica.log, index),
        membership=disk.membership_at(replica, index),
        data=replica.machine.snapshot(),
    )


def _receive_chunk(
    replica: tables.Replica,
    request: consensus.SnapshotRequest,
) -> tables.IncomingSnapshot:
    incoming_snapshot = replica.incoming_snapshot
    requested = (request.last_index, request.last_term)
    if (
        incoming_snapshot is None
        or (incoming_snapshot.last_index, incoming_snapshot.last_term) != requested
    ):
        incoming_snapshot = tables.IncomingSnapshot(*requested)
        replica.incoming_snapshot = incoming_snapshot
    fits = (
        len(incoming_snapshot.data) + len(request.data) <= tables.MAXIMUM_SNAPSHOT_BYTES
    )
    if request.offset == len(incoming_snapshot.data) and fits:
        incoming_snapshot.data += request.data
    return incoming_snapshot


def _write_received(
    replica: tables.Replica,
    outbox: ticks.Outbox,
    request: consensus.SnapshotRequest,
    data: bytes,
) -> None:
    replica.incoming_snapshot = None
    own_term = consensus_log.term_at(replica.log, request.last_index)
    has_uncommitted = consensus_log.last_index(replica.log) > replica.commit_index
    if own_term != request.last_term and has_uncommitted:
        disk.truncate(replica, replica.commit_index + 1)
        disk.flush(replica, outbox)
    snapshots.write(
        replica,
        outbox,
        tables.PendingSnapshot(
            write_id=replica.disk.next_write_id,
            last_index=request.last_index,
            last_term=request.last_term,
            membership=request.membership,
            received_data=data,
            leader=request.leader,
        ),
        data,
    )
