"""Proposing entries, advancing the commit index and applying committed entries."""

import msgspec
import result

from bitternlever.consensus import disk, elections, log as consensus_log, tables
from bitternlever.core import ticks
from bitternlever.messages import consensus


def has_room(replica: tables.Replica, size_bytes: int) -> bool:
    """Return whether the leader may accept another proposal of this size."""
    waiting = consensus_log.last_index(replica.log) - replica.commit_index
    if waiting >= tables.MAXIMUM_WAITING_PROPOSALS:
        return False
    uncommitted = replica.leader_state.uncommitted_bytes + size_bytes
    return uncommitted <= tables.MAXIMUM_UNCOMMITTED_BYTES


def propose(
    replica: tables.Replica,
    kind: consensus.EntryKind,
    data: bytes,
    on_outcome: tables.OnOutcome | None = None,
) -> int:
    """Append an entry as leader and return its index.

    ``on_outcome`` receives the reply once the entry is committed and applied here, or
    ``LeadershipLost`` if this replica steps down first.
    """
    if replica.role is not tables.Role.LEADER:
        raise AssertionError("only a leader proposes")
    entry = consensus.LogEntry(
        term=replica.term,
        index=consensus_log.last_index(replica.log) + 1,
        kind=kind,
        data=data,
    )
    disk.append(replica, entry)
    replica.leader_state.uncommitted_bytes += len(data)
    if on_outcome is not None:
        replica.leader_state.proposals[entry.index] = tables.Proposal(
            term=replica.term,
            on_outcome=on_outcome,
        )
    return entry.index


def propose_membership(
    replica: tables.Replica,
    membership: consensus.Membership,
) -> None:
    """Append a new membership as leader; it takes effect as soon as it is appended."""
    data = msgspec.msgpack.encode(membership)
    propose(replica, consensus.EntryKind.MEMBERSHIP, data)


def run(replica: tables.Replica, now: float, outbox: ticks.Outbox) -> None:
    """Advance the commit index as leader and apply all committed entries."""
    if replica.role is tables.Role.LEADER:
        _advance_commit_index(replica)
    while replica.applied_index < replica.commit_index:
        _apply_entry(replica, now, outbox, replica.applied_index + 1)


def _advance_commit_index(replica: tables.Replica) -> None:
    """Advance the commit index to the last entry that a quorum has synced.

    Only an entry of the current term is committed by counting replicas; entries of
    earlier terms are committed along with it (Raft paper, section 5.4.2).
    """
    index = tables.reached_by_quorum(
        replica.membership,
        lambda voter: _match_index(replica, voter),
    )
    if index <= replica.commit_index:
        return
    if consensus_log.term_at(replica.log, index) == replica.term:
        replica.commit_index = index


def _match_index(replica: tables.Replica, voter: consensus.ReplicaId) -> int:
    if voter == replica.settings.identity:
        return replica.disk.synced_index
    progress = replica.leader_state.progress.get(voter)
    return 0 if progress is None else progress.match_index


def _apply_entry(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    index: int,
) -> None:
    entry = consensus_log.entry_at(replica.log, index)
    reply = None
    if entry.kind is consensus.EntryKind.COMMAND:
        reply = replica.machine.apply(entry.data)
    replica.applied_index = index
    replica.applied_bytes += len(entry.data)
    if replica.role is not tables.Role.LEADER:
        return
    leader_state = replica.leader_state
    leader_state.uncommitted_bytes = max(
        0,
        leader_state.uncommitted_bytes - len(entry.data),
    )
    proposal = leader_state.proposals.pop(index, None)
    if proposal is not None and proposal.term == entry.term:
        proposal.on_outcome(now, outbox, result.Ok(reply))
    removed = not tables.is_voter(replica)
    if entry.kind is consensus.EntryKind.MEMBERSHIP and removed:
        elections.step_down(replica, now, outbox)
