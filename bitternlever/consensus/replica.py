"""One replica of one group: message dispatch and the steps of each tick."""

import random

from bitternlever.consensus import (
    bootstrap,
    commits,
    disk,
    elections,
    handover,
    log as consensus_log,
    reads,
    replacement,
    replication,
    snapshots,
    tables,
    transfers,
    voter_addition,
)
from bitternlever.core import ticks
from bitternlever.messages import consensus
from bitternlever.storage import restored as storage_restored


def create(
    settings: tables.ReplicaSettings,
    machine: tables.StateMachine,
    restored: storage_restored.Group | None,
    seed: int,
) -> tables.Replica:
    """Create a replica from its restored disk state, or None for an empty disk."""
    replica = tables.Replica(
        settings=settings,
        random=random.Random(seed),
        machine=machine,
        log=consensus_log.Log(),
    )
    if restored is None:
        return replica
    if restored.snapshot is not None:
        _restore_snapshot(replica, restored.snapshot)
    for entry in restored.entries:
        consensus_log.append(replica.log, entry)
        if entry.kind is consensus.EntryKind.MEMBERSHIP:
            membership = disk.decode_membership(entry)
            disk.push_membership(replica, entry.index, membership)
    replica.term = consensus_log.last_term(replica.log)
    if restored.hard_state is not None and restored.hard_state.term >= replica.term:
        replica.term = restored.hard_state.term
        replica.voted_for = restored.hard_state.voted_for
    replica.disk.synced_index = consensus_log.last_index(replica.log)
    return replica


def receive(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    message: consensus.Message,
) -> None:
    """Dispatch a message from another replica."""
    _ensure_election_timer(replica, now)
    if replica.disk.failed is not None:
        return
    match message:
        case consensus.VoteRequest() | consensus.VoteReply() | consensus.TimeoutNow():
            _receive_election_message(replica, now, outbox, message)
        case consensus.AppendRequest():
            replication.handle_append_request(replica, now, outbox, message)
        case consensus.AppendReply():
            replication.handle_append_reply(replica, now, outbox, message)
        case consensus.SnapshotRequest():
            transfers.handle_snapshot_request(replica, now, outbox, message)
        case consensus.SnapshotReply():
            transfers.handle_snapshot_reply(replica, now, message)
        case consensus.IdentityRequest():
            bootstrap.handle_identity_request(replica, outbox, message)
        case consensus.IdentityReply():
            bootstrap.handle_identity_reply(replica, now, message)


def _receive_election_message(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    message: consensus.VoteRequest | consensus.VoteReply | consensus.TimeoutNow,
) -> None:
    match message:
        case consensus.VoteRequest():
            elections.handle_vote_request(replica, now, outbox, message)
        case consensus.VoteReply():
            elections.handle_vote_reply(replica, now, outbox, message)
        case consensus.TimeoutNow():
            handover.handle_timeout_now(replica, now, outbox, message)


def handle_disk_event(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    event: consensus.LogSynced | consensus.SnapshotSynced | consensus.DiskFailed,
) -> None:
    """Handle a disk event; after a disk failure the replica sends nothing more."""
    _ensure_election_timer(replica, now)
    match event:
        case consensus.LogSynced():
            disk.handle_log_synced(replica, outbox, event)
            elections.count_synced_own_vote(replica, now, outbox)
            replication.report_synced(replica, outbox)
        case consensus.SnapshotSynced():
            snapshots.handle_snapshot_synced(replica, now, outbox, event)
        case consensus.DiskFailed():
            replica.disk.failed = event.reason
            replica.deferred_messages.clear()
            elections.step_down(replica, now, outbox)


def run(replica: tables.Replica, now: float, outbox: ticks.Outbox) -> None:
    """Run every step of this replica's tick once, except replication and flush."""
    _ensure_election_timer(replica, now)
    if replica.disk.failed is not None:
        return
    bootstrap.run(replica, now, outbox)
    if replica.membership is None:
        return
    elections.run(replica, now, outbox)
    commits.run(replica, now, outbox)
    replacement.run(replica, now)
    voter_addition.run(replica, now)
    reads.run(replica, now, outbox)
    handover.run(replica, now, outbox)
    snapshots.run(replica, outbox)


def replicate(replica: tables.Replica, now: float, outbox: ticks.Outbox) -> None:
    """Send new entries as leader; nothing may be proposed afterwards in this tick."""
    if replica.disk.failed is None:
        replication.run(replica, now, outbox)


def flush(replica: tables.Replica, outbox: ticks.Outbox) -> None:
    """Submit this tick's changes to the disk; nothing may be staged afterwards."""
    disk.flush(replica, outbox)


def _ensure_election_timer(replica: tables.Replica, now: float) -> None:
    if replica.leader_contact_s is None:
        elections.start_election_timer(replica, now)


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
