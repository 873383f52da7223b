"""Leader election: pre-vote, vote, check-quorum and stepping down.

A replica that has heard from a leader within the election timeout ignores every
other candidate; the leader lease in ``reads`` depends on this rule. A restarted
replica keeps to it by waiting as if it had just heard from a leader.
"""

import result

from bitternlever.consensus import disk, log as consensus_log, reads, tables
from bitternlever.core import ticks
from bitternlever.messages import consensus


def run(replica: tables.Replica, now: float, outbox: ticks.Outbox) -> None:
    """Start an election when one is due; as leader, step down without a quorum."""
    if replica.role is tables.Role.LEADER:
        step_down_at_s = reads.last_quorum_contact_s(replica, now)
        step_down_at_s += replica.settings.election_timeout_s
        if now >= step_down_at_s:
            replica.count("quorum_lost")
            step_down(replica, now, outbox)
            return
        outbox.wake(step_down_at_s)
        return
    if replica.stopping or not tables.is_voter(replica):
        return
    if now >= replica.election_at_s:
        _start_pre_vote(replica, now, outbox)
    outbox.wake(replica.election_at_s)


def start_election_timer(replica: tables.Replica, now: float) -> None:
    """Start the election timer as if a leader had just been heard from."""
    replica.leader_contact_s = now
    reset_election_timer(replica, now)


def reset_election_timer(replica: tables.Replica, now: float) -> None:
    """Postpone the next election by a random time of one to two timeouts."""
    timeout_s = replica.settings.election_timeout_s
    replica.election_at_s = now + timeout_s * (1.0 + replica.random.random())


def become_follower(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    term: int,
    leader: consensus.ReplicaId | None,
) -> None:
    """Become a follower in ``term``; a leader steps down first."""
    if replica.role is tables.Role.LEADER:
        step_down(replica, now, outbox)
    if term > replica.term:
        disk.set_hard_state(replica, term, None)
        replica.matched_index = 0
    if replica.role is not tables.Role.FOLLOWER:
        replica.role = tables.Role.FOLLOWER
        reset_election_timer(replica, now)
    replica.leader = leader


def step_down(replica: tables.Replica, now: float, outbox: ticks.Outbox) -> None:
    """Give up leadership and end every pending proposal and read.

    Proposals end with ``LeadershipLost``, since their outcome is uncertain.
    """
    leader_state = replica.leader_state
    replica.leader_state = tables.LeaderState()
    replica.role = tables.Role.FOLLOWER
    replica.leader = None
    replica.matched_index = 0
    reset_election_timer(replica, now)
    for proposal in leader_state.proposals.values():
        proposal.on_outcome(now, outbox, result.Err(tables.LeadershipLost()))
    for read in leader_state.reads:
        read.on_read(now, outbox, False)


def handle_vote_request(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    request: consensus.VoteRequest,
) -> None:
    """Grant or deny a vote; ignore candidates while there is an active leader.

    A handover request is considered all the same: the leader itself asked for the
    election and gave up its lease.
    """
    if replica.membership is None:
        replica.count("vote_without_membership")
        return
    if _has_active_leader(replica, now) and not request.handover:
        return
    if request.term < replica.term:
        _reply(replica, outbox, request, replica.term, granted=False)
        return
    if request.pre_vote:
        granted = request.term > replica.term and _up_to_date(replica, request)
        term = request.term if granted else replica.term
        _reply(replica, outbox, request, term, granted=granted)
        return
    if request.term > replica.term:
        become_follower(replica, now, outbox, request.term, None)
    granted = replica.voted_for in (None, request.candidate)
    granted = granted and _up_to_date(replica, request)
    if granted:
        disk.set_hard_state(replica, replica.term, request.candidate)
        reset_election_timer(replica, now)
    _reply(replica, outbox, request, replica.term, granted=granted)


def handle_vote_reply(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    reply: consensus.VoteReply,
) -> None:
    """Count a granted vote, by node and disk; a quorum wins the election."""
    if reply.term > replica.term and not reply.granted:
        become_follower(replica, now, outbox, reply.term, None)
        return
    if not reply.granted:
        return
    expected_role = (
        tables.Role.PRE_CANDIDATE if reply.pre_vote else tables.Role.CANDIDATE
    )
    expected_term = replica.term + 1 if reply.pre_vote else replica.term
    if replica.role is not expected_role or reply.term != expected_term:
        return
    replica.votes.add(reply.voter)
    _count_votes(replica, now, outbox)


def count_synced_own_vote(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
) -> None:
    """Count the candidate's own vote once it is synced."""
    if replica.role is not tables.Role.CANDIDATE:
        return
    if (
        replica.disk.hard_state_changed
        or replica.disk.hard_state_write_id > replica.disk.synced_write_id
    ):
        return
    replica.votes.add(replica.settings.identity)
    _count_votes(replica, now, outbox)


def _start_pre_vote(replica: tables.Replica, now: float, outbox: ticks.Outbox) -> None:
    replica.role = tables.Role.PRE_CANDIDATE
    replica.leader = None
    replica.votes = {replica.settings.identity}
    reset_election_timer(replica, now)
    _request_votes(replica, outbox, replica.term + 1, pre_vote=True)
    _count_votes(replica, now, outbox)


def start_handover_election(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
) -> None:
    """Start the election that the leader asked for, without a pre-vote."""
    replica.leader = None
    reset_election_timer(replica, now)
    _start_election(replica, outbox, handover=True)


def _start_election(
    replica: tables.Replica,
    outbox: ticks.Outbox,
    *,
    handover: bool = False,
) -> None:
    replica.role = tables.Role.CANDIDATE
    replica.votes = set()
    disk.set_hard_state(replica, replica.term + 1, replica.settings.identity)
    replica.matched_index = 0
    _request_votes(replica, outbox, replica.term, pre_vote=False, handover=handover)


def _request_votes(
    replica: tables.Replica,
    outbox: ticks.Outbox,
    term: int,
    *,
    pre_vote: bool,
    handover: bool = False,
) -> None:
    request = consensus.VoteRequest(
        group=replica.settings.group,
        term=term,
        candidate=replica.settings.identity,
        last_index=consensus_log.last_index(replica.log),
        last_term=consensus_log.last_term(replica.log),
        pre_vote=pre_vote,
        handover=handover,
    )
    for peer in tables.voters(replica.membership):
        if peer != replica.settings.identity:
            disk.send(replica, outbox, peer, request)


def _count_votes(replica: tables.Replica, now: float, outbox: ticks.Outbox) -> None:
    if replica.membership is None:
        return
    won = tables.reached_by_quorum(
        replica.membership,
        lambda voter: voter in replica.votes,
    )
    if not won:
        return
    if replica.role is tables.Role.PRE_CANDIDATE:
        _start_election(replica, outbox)
        return
    _become_leader(replica, now)


def _become_leader(replica: tables.Replica, now: float) -> None:
    replica.role = tables.Role.LEADER
    replica.leader = replica.settings.identity
    replica.leader_state = tables.LeaderState(elected_s=now)
    entry = consensus.LogEntry(
        term=replica.term,
        index=consensus_log.last_index(replica.log) + 1,
        kind=consensus.EntryKind.NO_OP,
        data=b"",
    )
    replica.leader_state.term_start_index = entry.index
    disk.append(replica, entry)


def _has_active_leader(replica: tables.Replica, now: float) -> bool:
    contact_s = replica.leader_contact_s
    if replica.role is tables.Role.LEADER:
        contact_s = reads.last_quorum_contact_s(replica, now)
    return (
        contact_s is not None and now < contact_s + replica.settings.election_timeout_s
    )


def _up_to_date(replica: tables.Replica, request: consensus.VoteRequest) -> bool:
    own_position = (
        consensus_log.last_term(replica.log),
        consensus_log.last_index(replica.log),
    )
    return (request.last_term, request.last_index) >= own_position


def _reply(
    replica: tables.Replica,
    outbox: ticks.Outbox,
    request: consensus.VoteRequest,
    term: int,
    *,
    granted: bool,
) -> None:
    reply = consensus.VoteReply(
        group=replica.settings.group,
        term=term,
        voter=replica.settings.identity,
        granted=granted,
        pre_vote=request.pre_vote,
    )
    disk.send(replica, outbox, request.candidate, reply)
