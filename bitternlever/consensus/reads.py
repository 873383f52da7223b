"""Reads without a log entry: leader lease, and read index where it has run out.

The lease counts from the sending of the round that a quorum answered, and is
shortened by the greatest relative rate error of two clocks. A leader answers only
after an entry of its own term is committed, since before that it may not know the
newest committed entry (Ongaro's thesis, sections 6.4 and 6.4.1).
"""

from bitternlever.consensus import tables
from bitternlever.core import ticks
from bitternlever.messages import consensus


def quorum_heard_s(replica: tables.Replica, now: float) -> float:
    """Return when a quorum was last known to follow, not before the office began."""
    return max(_quorum_contact_s(replica, now), replica.office.since_s)


def lease_valid(replica: tables.Replica, now: float) -> bool:
    """Tell whether no other leader can have been elected before ``now``."""
    if replica.role is not tables.Role.LEADER or replica.disk.failed is not None:
        return False
    if replica.office.handover_sent_s is not None:
        return False
    lease_s = replica.settings.election_timeout_s * (1.0 - tables.CLOCK_RATE_ERROR)
    return now < _quorum_contact_s(replica, now) + lease_s


def ready(replica: tables.Replica) -> bool:
    """Tell whether this leader has applied an entry of its own term."""
    if replica.role is not tables.Role.LEADER:
        return False
    return replica.applied_index >= replica.office.first_index


def read(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    on_read: tables.OnRead,
) -> bool:
    """Run ``on_read`` once the applied state is proven current.

    Return False when too many reads wait; ``on_read`` gets False when the office
    ends first.
    """
    if ready(replica) and lease_valid(replica, now):
        on_read(now, outbox, True)
        return True
    office = replica.office
    if len(office.reads) >= tables.MAXIMUM_WAITING_READS:
        return False
    office.reads.append(tables.WaitingRead(round=office.round + 1, on_read=on_read))
    office.heartbeat_at_s = now
    return True


def run(replica: tables.Replica, now: float, outbox: ticks.Outbox) -> None:
    """Answer the reads whose round a quorum has confirmed."""
    if not ready(replica):
        return
    office = replica.office
    if not office.reads:
        return
    confirmed = _quorum_round(replica)
    while office.reads and office.reads[0].round <= confirmed:
        office.reads.popleft().on_read(now, outbox, True)


def _quorum_contact_s(replica: tables.Replica, now: float) -> float:
    def contact_s(voter: consensus.ReplicaId) -> float:
        if voter == replica.settings.identity:
            return now
        return _progress(replica, voter).contact_s

    return tables.reached_by_quorum(replica.membership, contact_s)


def _quorum_round(replica: tables.Replica) -> int:
    office = replica.office

    def round_of(voter: consensus.ReplicaId) -> int:
        if voter == replica.settings.identity:
            return office.round
        return _progress(replica, voter).round

    return tables.reached_by_quorum(replica.membership, round_of)


def _progress(replica: tables.Replica, voter: consensus.ReplicaId) -> tables.Progress:
    return replica.office.progress.get(voter) or tables.Progress(next_index=0)
