"""One replica of one group: what enters it, and the order of its systems."""

import random

from bitternlever.consensus import (
    commits,
    disk,
    elections,
    founding,
    growth,
    handover,
    log as consensus_log,
    reads,
    replacement,
    replication,
    snapshots,
    tables,
    transfers,
)
from bitternlever.core import ticks
from bitternlever.messages import consensus
from bitternlever.storage import restored as storage_restored


def create(
    settings: tables.ReplicaSettings,
    machine: tables.StateMachine,
    held: storage_restored.Group | None,
    seed: int,
) -> tables.Replica:
    """Make a replica from what its disk holds; None for an empty disk."""
    replica = tables.Replica(
        settings=settings,
        random=random.Random(seed),
        machine=machine,
        log=consensus_log.Log(),
    )
    if held is None:
        return replica
    if held.snapshot is not None:
        _restore_snapshot(replica, held.snapshot)
    for entry in held.entries:
        consensus_log.append(replica.log, entry)
        if entry.kind is consensus.EntryKind.MEMBERSHIP:
            membership = disk.decode_membership(entry)
            disk.push_membership(replica, entry.index, membership)
    replica.term = consensus_log.last_term(replica.log)
    if held.hard_state is not None and held.hard_state.term >= replica.term:
        replica.term = held.hard_state.term
        replica.voted_for = held.hard_state.voted_for
    replica.disk.synced_index = consensus_log.last_index(replica.log)
    return replica


def receive(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    message: consensus.Message,
) -> None:
    """Take one message of another replica."""
    _start(replica, now)
    if replica.disk.failed is not None:
        return
    match message:
        case consensus.VoteRequest() | consensus.VoteReply() | consensus.TimeoutNow():
            _receive_of_election(replica, now, outbox, message)
        case consensus.AppendRequest():
            replication.append_requested(replica, now, outbox, message)
        case consensus.AppendReply():
            replication.append_answered(replica, now, outbox, message)
        case consensus.SnapshotRequest():
            transfers.piece_requested(replica, now, outbox, message)
        case consensus.SnapshotReply():
            transfers.piece_answered(replica, now, message)
        case consensus.IdentityRequest():
            founding.identity_requested(replica, outbox, message)
        case consensus.IdentityReply():
            founding.identity_received(replica, now, message)


def _receive_of_election(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    message: consensus.VoteRequest | consensus.VoteReply | consensus.TimeoutNow,
) -> None:
    match message:
        case consensus.VoteRequest():
            elections.vote_requested(replica, now, outbox, message)
        case consensus.VoteReply():
            elections.vote_received(replica, now, outbox, message)
        case consensus.TimeoutNow():
            handover.timeout_now(replica, now, outbox, message)


def disk_event(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    event: consensus.LogSynced | consensus.SnapshotSynced | consensus.DiskFailed,
) -> None:
    """Take one message of the disk; after a failure the replica falls silent."""
    _start(replica, now)
    match event:
        case consensus.LogSynced():
            disk.synced(replica, outbox, event)
            elections.own_vote_synced(replica, now, outbox)
            replication.report_synced(replica, outbox)
        case consensus.SnapshotSynced():
            snapshots.synced(replica, now, outbox, event)
        case consensus.DiskFailed():
            replica.disk.failed = event.reason
            replica.held.clear()
            elections.step_down(replica, now, outbox)


def run(replica: tables.Replica, now: float, outbox: ticks.Outbox) -> None:
    """Run all systems of this replica once."""
    _start(replica, now)
    if replica.disk.failed is not None:
        return
    founding.run(replica, now, outbox)
    if replica.membership is None:
        return
    elections.run(replica, now, outbox)
    commits.run(replica, now, outbox)
    replacement.run(replica, now)
    growth.run(replica, now)
    reads.run(replica, now, outbox)
    handover.run(replica, now, outbox)
    snapshots.run(replica, outbox)


def replicate(replica: tables.Replica, now: float, outbox: ticks.Outbox) -> None:
    """Send as leader what the tick has added; nothing may be proposed after it."""
    if replica.disk.failed is None:
        replication.run(replica, now, outbox)


def flush(replica: tables.Replica, outbox: ticks.Outbox) -> None:
    """Hand the tick's changes to the disk; nothing may be staged after it."""
    disk.flush(replica, outbox)


def _start(replica: tables.Replica, now: float) -> None:
    if replica.heard_leader_s is None:
        elections.start_clock(replica, now)


def _restore_snapshot(
    replica: tables.Replica,
    snapshot: storage_restored.Snapshot,
) -> None:
    consensus_log.reset(replica.log, snapshot.last_index, snapshot.last_term)
    disk.push_membership(replica, snapshot.last_index, snapshot.membership)
    replica.machine.restore(snapshot.data)
    replica.commit_index = snapshot.last_index
    replica.applied_index = snapshot.last_index
    replica.snapshot_index = snapshot.last_index
