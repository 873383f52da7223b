"""Linearizable reads without a log entry: leader lease, or read index without one.

The lease starts when the heartbeat round that a quorum answered was sent, and is
shortened by the largest relative rate error of two clocks. A leader serves reads only
after an entry of its own term is committed, since before that it may not know the
newest committed entry (Ongaro's thesis, sections 6.4 and 6.4.1).
"""

from bitternlever.consensus import tables
from bitternlever.core import ticks
from bitternlever.messages import consensus


def last_quorum_contact_s(replica: tables.Replica, now: float) -> float:
    """Return when a quorum was last in contact, at the earliest when elected."""
    return max(_quorum_contact_s(replica, now), replica.leader_state.elected_s)


def lease_valid(replica: tables.Replica, now: float) -> bool:
    """Return whether no other leader can have been elected before ``now``."""
    if replica.role is not tables.Role.LEADER or replica.disk.failed is not None:
        return False
    if replica.leader_state.handover_sent_s is not None:
        return False
    lease_s = replica.settings.election_timeout_s * (1.0 - tables.CLOCK_RATE_ERROR)
    return now < _quorum_contact_s(replica, now) + lease_s


def ready(replica: tables.Replica) -> bool:
    """Return whether this replica leads and has applied an entry of its own term."""
    if replica.role is not tables.Role.LEADER:
        return False
    return replica.applied_index >= replica.leader_state.term_start_index


def read(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    on_read: tables.OnRead,
) -> bool:
    """Call ``on_read`` once the applied state is confirmed to be current.

    Return False if too many reads are waiting. ``on_read`` receives False if this
    replica steps down first.
    """
    if ready(replica) and lease_valid(replica, now):
        on_read(now, outbox, True)
        return True
    leader_state = replica.leader_state
    if len(leader_state.reads) >= tables.MAXIMUM_WAITING_READS:
        return False
    leader_state.reads.append(
        tables.WaitingRead(round=leader_state.round + 1, on_read=on_read),
    )
    leader_state.heartbeat_at_s = now
    return True


def run(replica: tables.Replica, now: float, outbox: ticks.Outbox) -> None:
    """Complete the reads whose round a quorum has confirmed."""
    if not ready(replica):
        return
    leader_state = replica.leader_state
    if not leader_state.reads:
        return
    confirmed = _quorum_round(replica)
    while leader_state.reads and leader_state.reads[0].round <= confirmed:
        leader_state.reads.popleft().on_read(now, outbox, True)


def _quorum_contact_s(replica: tables.Replica, now: float) -> float:
    def contact_s(voter: consensus.ReplicaId) -> float:
        if voter == replica.settings.identity:
            return now
        return _progress(replica, voter).last_contact_s

    return tables.reached_by_quorum(replica.membership, contact_s)


def _quorum_round(replica: tables.Replica) -> int:
    leader_state = replica.leader_state

    def round_of(voter: consensus.ReplicaId) -> int:
        if voter == replica.settings.identity:
            return leader_state.round
        return _progress(replica, voter).round

    return tables.reached_by_quorum(replica.membership, round_of)


def _progress(replica: tables.Replica, voter: consensus.ReplicaId) -> tables.Progress:
    return replica.leader_state.progress.get(voter) or tables.Progress(next_index=0)
