"""Replacement of one replica by another, one membership change at a time.

The membership in the log records the progress: the successor joins as a learner,
becomes a voter once its synced log has caught up, and then the old voter leaves.
Between the last two steps the membership is joint, so that neither the lost voter nor
a successor lost at that moment is needed for a quorum. Any leader continues from the
newest membership, so the replacement completes even if the operator's tool or the
leader that started it is gone.
"""

import msgspec
import result

from bitternlever.consensus import bootstrap, commits, log as consensus_log, tables
from bitternlever.core import ticks
from bitternlever.messages import consensus, directory, frames

CAUGHT_UP_ENTRIES = 64
RECENT_ELECTION_TIMEOUTS = 1.0
REMEMBERED_REPLACEMENTS = 16

Outcome = result.Result[directory.ReplaceProgress, directory.ReplaceRefused]


def request(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    old: consensus.ReplicaId,
    new_node: str,
) -> Outcome:
    """Start a replacement as leader, or return the progress of the same one."""
    membership = replica.membership
    if membership.replacing is not None:
        _replace_learner(replica, now, outbox, old, new_node)
        return _replacement_progress(replica.membership, old, new_node)
    if old not in membership.voters:
        if any(
            old == former and new.node == new_node
            for former, new in membership.replaced
        ):
            return result.Ok(_progress("done", "the successor is a voter"))
        return _refuse(f"replica {old.node} with disk {old.disk} is no voter")
    if not can_change_membership(replica):
        return _wait("another membership change is not committed yet")
    if now < replica.leader_state.elected_s + _recent_contact_s(replica):
        return _wait("the leader is new and has not heard from every voter yet")
    reason = _quorum_risk(replica, now, old)
    if reason is not None:
        return _refuse(reason)
    successor = find_successor(replica, now, outbox, new_node)
    if successor is None:
        return _wait(f"node {new_node} has not answered with a disk that is no voter")
    if successor in membership.voters:
        return _refuse(f"node {new_node} is a voter already")
    _propose_learner(replica, old, successor)
    return result.Ok(_progress("learner", f"disk {successor.disk} receives the log"))


def run(replica: tables.Replica, now: float) -> None:
    """Take the next step of a replacement once it is safe."""
    if replica.role is not tables.Role.LEADER or not can_change_membership(replica):
        return
    if replica.stopping:
        return
    membership = replica.membership
    if membership.replacing is None:
        return
    old, new = membership.replacing
    if membership.outgoing:
        replaced = [*membership.replaced, (old, new)][-REMEMBERED_REPLACEMENTS:]
        final = consensus.Membership(voters=membership.voters, replaced=replaced)
        commits.propose_membership(replica, final)
        return
    if (
        not is_caught_up(replica, now, new)
        or _quorum_risk(replica, now, old) is not None
    ):
        return
    remaining = [voter for voter in membership.voters if voter != old]
    joint = msgspec.structs.replace(
        membership,
        voters=[*remaining, new],
        outgoing=membership.voters,
        learners=[],
    )
    commits.propose_membership(replica, joint)


def _quorum_risk(
    replica: tables.Replica,
    now: float,
    old: consensus.ReplicaId,
) -> str | None:
    """Return why a failure after removing ``old`` would lose the quorum, or None."""
    membership = replica.membership
    remaining = [voter for voter in membership.voters if voter != old]
    healthy = [voter for voter in remaining if is_caught_up(replica, now, voter)]
    voter_count = len(remaining)
    healthy_count = len(healthy)
    # The successor counts as a caught-up voter although it is none yet.
    if membership.replacing is None or membership.replacing[1] not in remaining:
        voter_count += 1
        healthy_count += 1
    needed = tables.quorum(voter_count)
    if healthy_count - 1 >= needed:
        return None
    silent = sorted(member.node for member in remaining if member not in healthy)
    names = ", ".join(silent) or "none"
    return (
        f"losing one more host would lose the quorum: {healthy_count} of "
        f"{voter_count} voters would be sound and {needed} are needed after a loss; "
        f"silent or behind: {names}"
    )


def is_caught_up(
    replica: tables.Replica,
    now: float,
    member: consensus.ReplicaId,
) -> bool:
    """Return whether a member replied recently and its synced log is near the end."""
    if member == replica.settings.identity:
        return True
    progress = replica.leader_state.progress.get(member)
    if progress is None:
        return False
    if progress.last_contact_s < now - _recent_contact_s(replica):
        return False
    behind = consensus_log.last_index(replica.log) - progress.match_index
    newest_change = replica.memberships[-1][0]
    return behind <= CAUGHT_UP_ENTRIES and progress.match_index >= newest_change


def _recent_contact_s(replica: tables.Replica) -> float:
    return RECENT_ELECTION_TIMEOUTS * replica.settings.election_timeout_s


def can_change_membership(replica: tables.Replica) -> bool:
    """Return whether the newest membership and an entry of this term are committed."""
    if replica.commit_index < replica.leader_state.term_start_index:
        return False
    return replica.memberships[-1][0] <= replica.commit_index


def find_successor(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    node: str,
) -> consensus.ReplicaId | None:
    """Return the node's replica if it identified itself recently and is no voter.

    Also request the node's identity again, for the next attempt.
    """
    settings = replica.settings
    identity_request = consensus.IdentityRequest(
        group=settings.group,
        replica=settings.identity,
        zone=settings.zone,
    )
    outbox.send(frames.SendToPeer(node=node, message=identity_request))
    identity = replica.identities.get(node)
    if identity is None or now >= identity.received_s + bootstrap.IDENTITY_VALID_S:
        return None
    return None if identity.reply.voter else identity.reply.replica


def _replace_learner(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    old: consensus.ReplicaId,
    new_node: str,
) -> None:
    """Replace a learner, which has no vote yet, by another disk or node."""
    replaced, learner = replica.membership.replacing
    if old != replaced or learner not in replica.membership.learners:
        return
    if not can_change_membership(replica):
        return
    successor = find_successor(replica, now, outbox, new_node)
    if successor is None or successor == learner:
        return
    if successor not in replica.membership.voters:
        _propose_learner(replica, old, successor)


def _propose_learner(
    replica: tables.Replica,
    old: consensus.ReplicaId,
    successor: consensus.ReplicaId,
) -> None:
    changed = msgspec.structs.replace(
        replica.membership,
        learners=[successor],
        replacing=(old, successor),
    )
    commits.propose_membership(replica, changed)


def _replacement_progress(
    membership: consensus.Membership,
    old: consensus.ReplicaId,
    new_node: str,
) -> Outcome:
    replaced, successor = membership.replacing
    if replaced != old or successor.node != new_node:
        return _refuse(
            f"the replacement of {replaced.node} by {successor.node} goes on",
        )
    if successor in membership.learners:
        return result.Ok(_progress("learner", "the successor receives the log"))
    return result.Ok(_progress("voter", "the old voter is about to leave"))


def _progress(step: str, detail: str) -> directory.ReplaceProgress:
    return directory.ReplaceProgress(step=step, detail=detail)


def _wait(detail: str) -> Outcome:
    return result.Ok(_progress("waiting", detail))


def _refuse(reason: str) -> Outcome:
    return result.Err(directory.ReplaceRefused(reason=reason))
