"""Voter management: replicas request to join, and the leader replaces lost voters.

A replica that is not a voter, or has no contact with a leader, sends a join request to
the nodes it knows, which forward it to the leader. A voter whose node returns with
another disk is replaced at once, since the old disk cannot return. A silent voter is
replaced once another replica has asked to join and the silence is longer than an
ordinary restart takes. ``consensus.replacement`` makes the change: one at a time, and
only with a quorum that survives another loss.

A group with fewer voters than its tolerated losses require adds replicas that ask to
join (``consensus.voter_addition``), first from the availability zones with the fewest
voters.
"""

from bitternlever.consensus import (
    replacement,
    tables as consensus_tables,
    voter_addition,
)
from bitternlever.core import ticks
from bitternlever.fleet import tables as fleet_tables
from bitternlever.messages import consensus, fleet, frames

JOIN_INTERVAL_S = 0.4
"""A fraction of the seconds within which a new replica has to catch up."""

CHECK_INTERVAL_S = 0.2
"""Upper bound on the wait before each of the four steps of a replacement."""

CANDIDATE_EXPIRY_S = 1.5
"""Tolerates the loss of three join requests in a row."""

REPLACE_AFTER_SILENCE_S = 3.0
"""Longer than a process restart, so that a restart changes no membership."""

LEADERLESS_TIMEOUT_S = 2.0
"""Two elections; a replica without a leader for longer may have been removed."""


def run(tables: fleet_tables.FleetTables, now: float, outbox: ticks.Outbox) -> None:
    """Request to join if needed; as leader, replace lost voters or add a voter."""
    if _needs_to_join(tables, now):
        _send_join_request(tables, now, outbox)
    if fleet_tables.is_leader(tables) and now >= tables.next_membership_check_s:
        tables.next_membership_check_s = now + CHECK_INTERVAL_S
        if not _replace_lost_voter(tables, now, outbox):
            _add_voter(tables, now, outbox)
    if fleet_tables.is_leader(tables):
        outbox.wake(tables.next_membership_check_s)


def join_requested(
    tables: fleet_tables.FleetTables,
    now: float,
    outbox: ticks.Outbox,
    request: fleet.JoinRequest,
) -> None:
    """Record a join candidate and forward the request to the leader."""
    node = request.replica.node
    tables.join_candidates[node] = fleet_tables.JoinCandidate(request.replica, now)
    tables.zones[node] = request.zone
    leader = tables.replica.leader
    if leader is None or leader.node in (tables.settings.link, node):
        return
    outbox.send(frames.SendToPeer(node=leader.node, message=request))


def expire_candidates(tables: fleet_tables.FleetTables, now: float) -> None:
    """Drop candidates that have stopped sending join requests."""
    expired = [
        node
        for node, candidate in tables.join_candidates.items()
        if now - candidate.last_seen_s > CANDIDATE_EXPIRY_S
    ]
    for node in expired:
        del tables.join_candidates[node]


def _needs_to_join(tables: fleet_tables.FleetTables, now: float) -> bool:
    replica = tables.replica
    if replica.membership is None or not consensus_tables.is_voter(replica):
        return True
    if replica.role is consensus_tables.Role.LEADER:
        return False
    leader_seen_s = replica.leader_contact_s
    return leader_seen_s is not None and now - leader_seen_s > LEADERLESS_TIMEOUT_S


def _send_join_request(
    tables: fleet_tables.FleetTables, now: float, outbox: ticks.Outbox
) -> None:
    if now < tables.next_join_request_s:
        outbox.wake(tables.next_join_request_s)
        return
    tables.next_join_request_s = now + JOIN_INTERVAL_S
    outbox.wake(tables.next_join_request_s)
    request = fleet.JoinRequest(
        replica=tables.replica.settings.identity,
        zone=tables.settings.zone,
    )
    known_nodes = {*tables.seed_links, *fleet_tables.control_links(tables)}
    for node in sorted(known_nodes - {tables.settings.link}):
        outbox.send(frames.SendToPeer(node=node, message=request))


def _replace_lost_voter(
    tables: fleet_tables.FleetTables,
    now: float,
    outbox: ticks.Outbox,
) -> bool:
    """Start or continue a replacement; return whether one is needed."""
    membership = tables.replica.membership
    if membership.replacing is not None:
        old, new = membership.replacing
        candidate = tables.join_candidates.get(new.node)
        if candidate is not None:
            replacement.request(tables.replica, now, outbox, old, new.node)
            return True
        other_node = _replacement_candidate(tables, membership, old)
        if other_node is not None:
            replacement.request(tables.replica, now, outbox, old, other_node)
        return True
    for voter in membership.voters:
        if voter == tables.replica.settings.identity:
            continue
        replacement_node = _replacement_if_lost(tables, now, membership, voter)
        if replacement_node is not None:
            replacement.request(tables.replica, now, outbox, voter, replacement_node)
            return True
    return False


def _add_voter(
    tables: fleet_tables.FleetTables, now: float, outbox: ticks.Outbox
) -> None:
    membership = tables.replica.membership
    needed = 2 * tables.settings.tolerated_losses + 1
    if len(membership.voters) >= needed:
        return
    learner_nodes = [learner.node for learner in membership.learners]
    if any(node in tables.join_candidates for node in learner_nodes):
        return
    candidate_node = _next_learner(tables, membership)
    if candidate_node is not None:
        voter_addition.request(tables.replica, now, outbox, candidate_node)


def _next_learner(
    tables: fleet_tables.FleetTables,
    membership: consensus.Membership,
) -> str | None:
    """Return a join candidate from the zone with the fewest voters."""
    voter_nodes = {voter.node for voter in membership.voters}
    zones = [tables.zones.get(node) for node in voter_nodes]
    candidate_nodes = sorted(tables.join_candidates.keys() - voter_nodes)
    if not candidate_nodes:
        return None
    return min(candidate_nodes, key=lambda node: zones.count(tables.zones[node]))


def _replacement_if_lost(
    tables: fleet_tables.FleetTables,
    now: float,
    membership: consensus.Membership,
    voter: consensus.ReplicaId,
) -> str | None:
    candidate = tables.join_candidates.get(voter.node)
    if candidate is not None and candidate.replica.disk != voter.disk:
        return voter.node
    if not _is_silent(tables, now, voter):
        return None
    return _replacement_candidate(tables, membership, voter)


def _is_silent(
    tables: fleet_tables.FleetTables,
    now: float,
    voter: consensus.ReplicaId,
) -> bool:
    leader_state = tables.replica.leader_state
    if now - leader_state.elected_s < REPLACE_AFTER_SILENCE_S:
        return False
    progress = leader_state.progress.get(voter)
    return progress is None or now - progress.last_contact_s > REPLACE_AFTER_SILENCE_S


def _replacement_candidate(
    tables: fleet_tables.FleetTables,
    membership: consensus.Membership,
    old: consensus.ReplicaId,
) -> str | None:
    """Return a join candidate that is not a voter."""
    voter_nodes = {voter.node for voter in membership.voters if voter != old}
    for node in sorted(tables.join_candidates):
        replica = tables.join_candidates[node].replica
        if node not in voter_nodes and replica not in membership.voters:
            return node
    return None
