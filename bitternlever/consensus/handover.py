"""Leadership transfer from a leader that is stopping (Ongaro's thesis, section 3.10).

The leader accepts no more proposals, waits until its whole log is committed, and sends
``TimeoutNow`` to a voter whose log is complete. From then on it has no leader lease:
the voter's vote requests carry the ``handover`` flag, and other voters may grant them
although this leader is still active.
"""

from bitternlever.consensus import disk, elections, log as consensus_log, tables
from bitternlever.core import ticks
from bitternlever.messages import consensus

RESEND_S = 0.1


def request(replica: tables.Replica) -> None:
    """Hand over leadership from now on and start no more elections."""
    replica.stopping = True


def run(replica: tables.Replica, now: float, outbox: ticks.Outbox) -> None:
    """Send ``TimeoutNow`` once a voter can take over, and resend until one has."""
    if not replica.stopping or replica.role is not tables.Role.LEADER:
        return
    if replica.commit_index < consensus_log.last_index(replica.log):
        return
    leader_state = replica.leader_state
    sent_s = leader_state.handover_sent_s
    if sent_s is not None and now < sent_s + RESEND_S:
        outbox.wake(sent_s + RESEND_S)
        return
    successors = _successors(replica, now)
    if not successors:
        return
    target = successors[leader_state.handover_attempts % len(successors)]
    leader_state.handover_attempts += 1
    leader_state.handover_sent_s = now
    outbox.wake(now + RESEND_S)
    message = consensus.TimeoutNow(
        group=replica.settings.group,
        term=replica.term,
        leader=replica.settings.identity,
        follower=target,
    )
    disk.send(replica, outbox, target, message)


def handle_timeout_now(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    message: consensus.TimeoutNow,
) -> None:
    """Start an election at once if this replica's current leader asks for it.

    A message of an earlier term is ignored: its sender gave up its own lease, not
    that of the current leader.
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
    elections.start_handover_election(replica, now, outbox)


def _successors(replica: tables.Replica, now: float) -> list[consensus.ReplicaId]:
    """Return the other voters that replied recently and hold the whole log."""
    last_index = consensus_log.last_index(replica.log)
    recent_s = now - replica.settings.election_timeout_s
    return [
        follower
        for follower, progress in replica.leader_state.progress.items()
        if follower in replica.membership.voters
        and progress.match_index == last_index
        and progress.last_contact_s >= recent_s
    ]
