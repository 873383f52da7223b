"""Who votes: replicas ask to be let in, and the leader replaces voters that are gone.

A replica that is no member, or hears no leader, asks the nodes it knows; they pass it
on to the leader. A voter whose node has come back with another disk is replaced by it
at once: the old disk cannot return. A voter that is only silent is replaced once
another replica has asked and the silence is longer than an ordinary restart takes.
The change itself, one at a time and never without a quorum that bears another loss,
is that of ``consensus.replacement``.

A group that has fewer voters than the losses it must bear ask for takes in those that
ask (``consensus.growth``), first from availability zones with the fewest voters.
"""

from bitternlever.consensus import growth, replacement, tables as consensus_tables
from bitternlever.core import ticks
from bitternlever.fleet import tables as fleet_tables
from bitternlever.messages import consensus, fleet, frames

JOIN_INTERVAL_S = 0.4
"""A fraction of the seconds in which a new replica has to have caught up."""

CHECK_INTERVAL_S = 0.2
"""Each step of a replacement waits for a check at most; there are four."""

CANDIDATE_VALID_S = 1.5
"""Three requests to join may be lost."""

REPLACE_SILENT_S = 3.0
"""Longer than the restart of a process, so that a restart changes no membership."""

LEADERLESS_S = 2.0
"""Two elections; whoever hears no leader for longer may have been removed."""


def run(tables: fleet_tables.FleetTables, now: float, outbox: ticks.Outbox) -> None:
    """Ask to take part where needed; as leader, replace voters that are gone."""
    if _outside(tables, now):
        _ask(tables, now, outbox)
    if fleet_tables.leads(tables) and now >= tables.check_members_at_s:
        tables.check_members_at_s = now + CHECK_INTERVAL_S
        if not _replace(tables, now, outbox):
            _grow(tables, now, outbox)
    if fleet_tables.leads(tables):
        outbox.wake(tables.check_members_at_s)


def join_requested(
    tables: fleet_tables.FleetTables,
    now: float,
    outbox: ticks.Outbox,
    request: fleet.JoinRequest,
) -> None:
    """Note a candidate as leader; pass it on to the leader as another member."""
    node = request.replica.node
    tables.candidates[node] = fleet_tables.Candidate(request.replica, now)
    tables.zones[node] = request.zone
    leader = tables.replica.leader
    if leader is None or leader.node in (tables.settings.link, node):
        return
    outbox.send(frames.SendPeer(node=leader.node, message=request))


def forget_candidates(tables: fleet_tables.FleetTables, now: float) -> None:
    """Drop candidates that no longer ask."""
    gone = [
        node
        for node, candidate in tables.candidates.items()
        if now - candidate.heard_s > CANDIDATE_VALID_S
    ]
    for node in gone:
        del tables.candidates[node]


def _outside(tables: fleet_tables.FleetTables, now: float) -> bool:
    own = tables.replica
    if own.membership is None or not consensus_tables.is_voter(own):
        return True
    if own.role is consensus_tables.Role.LEADER:
        return False
    heard_s = own.heard_leader_s
    return heard_s is not None and now - heard_s > LEADERLESS_S


def _ask(tables: fleet_tables.FleetTables, now: float, outbox: ticks.Outbox) -> None:
    if now < tables.join_at_s:
        outbox.wake(tables.join_at_s)
        return
    tables.join_at_s = now + JOIN_INTERVAL_S
    outbox.wake(tables.join_at_s)
    request = fleet.JoinRequest(
        replica=tables.replica.settings.identity,
        zone=tables.settings.zone,
    )
    known = {*tables.seeds, *fleet_tables.controls(tables)}
    for node in sorted(known - {tables.settings.link}):
        outbox.send(frames.SendPeer(node=node, message=request))


def _replace(
    tables: fleet_tables.FleetTables,
    now: float,
    outbox: ticks.Outbox,
) -> bool:
    """Begin or push on a replacement; return whether a voter is to be replaced."""
    membership = tables.replica.membership
    if membership.replacing is not None:
        old, new = membership.replacing
        candidate = tables.candidates.get(new.node)
        if candidate is not None:
            replacement.request(tables.replica, now, outbox, old, new.node)
            return True
        other = _successor(tables, membership, old)
        if other is not None:
            replacement.request(tables.replica, now, outbox, old, other)
        return True
    for voter in membership.voters:
        if voter == tables.replica.settings.identity:
            continue
        successor = _successor_if_gone(tables, now, membership, voter)
        if successor is not None:
            replacement.request(tables.replica, now, outbox, voter, successor)
            return True
    return False


def _grow(tables: fleet_tables.FleetTables, now: float, outbox: ticks.Outbox) -> None:
    membership = tables.replica.membership
    needed = 2 * tables.settings.tolerated_losses + 1
    if len(membership.voters) >= needed:
        return
    learning = [each.node for each in membership.learners]
    if any(node in tables.candidates for node in learning):
        return
    newcomer = _newcomer(tables, membership)
    if newcomer is not None:
        growth.request(tables.replica, now, outbox, newcomer)


def _newcomer(
    tables: fleet_tables.FleetTables,
    membership: consensus.Membership,
) -> str | None:
    """Return a candidate of a zone that has the fewest voters."""
    voting = {each.node for each in membership.voters}
    zones = [tables.zones.get(node) for node in voting]
    outside = sorted(tables.candidates.keys() - voting)
    if not outside:
        return None
    return min(outside, key=lambda node: zones.count(tables.zones[node]))


def _successor_if_gone(
    tables: fleet_tables.FleetTables,
    now: float,
    membership: consensus.Membership,
    voter: consensus.ReplicaId,
) -> str | None:
    candidate = tables.candidates.get(voter.node)
    if candidate is not None and candidate.replica.disk != voter.disk:
        return voter.node
    if not _silent(tables, now, voter):
        return None
    return _successor(tables, membership, voter)


def _silent(
    tables: fleet_tables.FleetTables,
    now: float,
    voter: consensus.ReplicaId,
) -> bool:
    office = tables.replica.office
    if now - office.since_s < REPLACE_SILENT_S:
        return False
    progress = office.progress.get(voter)
    return progress is None or now - progress.contact_s > REPLACE_SILENT_S


def _successor(
    tables: fleet_tables.FleetTables,
    membership: consensus.Membership,
    old: consensus.ReplicaId,
) -> str | None:
    """Return a candidate that is no voter."""
    voting = {each.node for each in membership.voters if each != old}
    for node in sorted(tables.candidates):
        replica = tables.candidates[node].replica
        if node not in voting and replica not in membership.voters:
            return node
    return None
