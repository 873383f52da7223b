"""Leadership transfer by a leader that is told to stop (Ongaro's thesis, section 3.10).

The leader takes no more proposals, waits until all of its log is committed, and sends
``TimeoutNow`` to a voter that holds all of it. From then on it has no leader lease:
the voter's requests for votes are marked, and other voters may grant them although
they still hear this leader.
"""

from bitternlever.consensus import disk, elections, log as consensus_log, tables
from bitternlever.core import ticks
from bitternlever.messages import consensus

RESEND_S = 0.1


def request(replica: tables.Replica) -> None:
    """Hand over every office of this replica from now on, and begin no election."""
    replica.stopping = True


def run(replica: tables.Replica, now: float, outbox: ticks.Outbox) -> None:
    """Send ``TimeoutNow`` once a voter can take over; again while it has not."""
    if not replica.stopping or replica.role is not tables.Role.LEADER:
        return
    if replica.commit_index < consensus_log.last_index(replica.log):
        return
    office = replica.office
    sent_s = office.handover_sent_s
    if sent_s is not None and now < sent_s + RESEND_S:
        outbox.wake(sent_s + RESEND_S)
        return
    successors = _successors(replica, now)
    if not successors:
        return
    target = successors[office.handovers % len(successors)]
    office.handovers += 1
    office.handover_sent_s = now
    outbox.wake(now + RESEND_S)
    message = consensus.TimeoutNow(
        group=replica.settings.group,
        term=replica.term,
        leader=replica.settings.identity,
        follower=target,
    )
    disk.send(replica, outbox, target, message)


def timeout_now(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    message: consensus.TimeoutNow,
) -> None:
    """Begin an election at once where the leader that this replica follows asks it.

    A message of an older term is ignored: the lease that its sender gave up has
    nothing to do with the lease of the present leader.
    """
    if message.follower != replica.settings.identity:
        replica.count("timeout_now_for_another_disk")
        return
    if message.term != replica.term or message.leader != replica.leader:
        replica.count("timeout_now_ignored")
        return
    if replica.role is not tables.Role.FOLLOWER or not tables.is_voter(replica):
        return
    if replica.stopping:
        return
    elections.start_handover(replica, now, outbox)


def _successors(replica: tables.Replica, now: float) -> list[consensus.ReplicaId]:
    """Return the other voters that were heard of late and hold the whole log."""
    last_index = consensus_log.last_index(replica.log)
    recent_s = now - replica.settings.election_timeout_s
    return [
        follower
        for follower, progress in replica.office.progress.items()
        if follower in replica.membership.voters
        and progress.match_index == last_index
        and progress.contact_s >= recent_s
    ]
