"""The replacement of one replica by another, one membership change at a time.

The membership in the log carries the sequence: the successor joins as a learner,
becomes a voter once its synced log has caught up, and then the old voter leaves.
Between the last two the membership is joint, so that neither the lost voter nor a
successor that is lost in this moment is needed. Whoever leads goes on from the newest
membership, so neither the tool nor a leader is needed to the end.
"""

import msgspec
import result

from bitternlever.consensus import commits, founding, log as consensus_log, tables
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
    """Begin a replacement as leader, or tell how far the same one has come."""
    membership = replica.membership
    if membership.replacing is not None:
        _renew_learner(replica, now, outbox, old, new_node)
        return _progress_of(replica.membership, old, new_node)
    if old not in membership.voters:
        if any(old == was and new.node == new_node for was, new in membership.replaced):
            return result.Ok(_progress("done", "the successor is a voter"))
        return _refuse(f"replica {old.node} with disk {old.disk} is no voter")
    if not is_settled(replica):
        return _wait("another membership change is not committed yet")
    if now < replica.office.since_s + _recent_s(replica):
        return _wait("the leader is new and has not heard from every voter yet")
    reason = _risk(replica, now, old)
    if reason is not None:
        return _refuse(reason)
    successor = find_successor(replica, now, outbox, new_node)
    if successor is None:
        return _wait(f"node {new_node} has not answered with a disk that is no voter")
    if successor in membership.voters:
        return _refuse(f"node {new_node} is a voter already")
    _learn(replica, old, successor)
    return result.Ok(_progress("learner", f"disk {successor.disk} receives the log"))


def run(replica: tables.Replica, now: float) -> None:
    """Take the next step of a replacement when it is safe."""
    if replica.role is not tables.Role.LEADER or not is_settled(replica):
        return
    if replica.stopping:
        return
    membership = replica.membership
    if membership.replacing is None:
        return
    old, new = membership.replacing
    if membership.outgoing:
        replaced = [*membership.replaced, (old, new)][-REMEMBERED_REPLACEMENTS:]
        left = consensus.Membership(voters=membership.voters, replaced=replaced)
        commits.propose_membership(replica, left)
        return
    if not is_caught_up(replica, now, new) or _risk(replica, now, old) is not None:
        return
    remaining = [voter for voter in membership.voters if voter != old]
    joint = msgspec.structs.replace(
        membership,
        voters=[*remaining, new],
        outgoing=membership.voters,
        learners=[],
    )
    commits.propose_membership(replica, joint)


def _risk(
    replica: tables.Replica,
    now: float,
    old: consensus.ReplicaId,
) -> str | None:
    """Say why one more loss after the removal of ``old`` would cost the quorum."""
    membership = replica.membership
    remaining = [voter for voter in membership.voters if voter != old]
    sound = [voter for voter in remaining if is_caught_up(replica, now, voter)]
    after = len(remaining)
    count = len(sound)
    if membership.replacing is None or membership.replacing[1] not in remaining:
        after += 1
        count += 1
    needed = tables.quorum(after)
    if count - 1 >= needed:
        return None
    silent = sorted(each.node for each in remaining if each not in sound)
    names = ", ".join(silent) or "none"
    return (
        f"losing one more host would lose the quorum: {count} of {after} voters would "
        f"be sound and {needed} are needed after a loss; silent or behind: {names}"
    )


def is_caught_up(
    replica: tables.Replica,
    now: float,
    member: consensus.ReplicaId,
) -> bool:
    """Tell whether a member was heard lately and its synced log is near the end."""
    if member == replica.settings.identity:
        return True
    progress = replica.office.progress.get(member)
    if progress is None:
        return False
    if progress.contact_s < now - _recent_s(replica):
        return False
    behind = consensus_log.last_index(replica.log) - progress.match_index
    newest_change = replica.memberships[-1][0]
    return behind <= CAUGHT_UP_ENTRIES and progress.match_index >= newest_change


def _recent_s(replica: tables.Replica) -> float:
    return RECENT_ELECTION_TIMEOUTS * replica.settings.election_timeout_s


def is_settled(replica: tables.Replica) -> bool:
    """Tell whether the newest membership and an own entry are committed."""
    if replica.commit_index < replica.office.first_index:
        return False
    return replica.memberships[-1][0] <= replica.commit_index


def find_successor(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    node: str,
) -> consensus.ReplicaId | None:
    """Return the node's replica, no voter, as lately heard, and ask for it again."""
    settings = replica.settings
    question = consensus.IdentityRequest(
        group=settings.group,
        replica=settings.identity,
        zone=settings.zone,
    )
    outbox.send(frames.SendPeer(node=node, message=question))
    known = replica.identities.get(node)
    if known is None or now >= known.received_s + founding.IDENTITY_VALID_S:
        return None
    return None if known.reply.voter else known.reply.replica


def _renew_learner(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    old: consensus.ReplicaId,
    new_node: str,
) -> None:
    """Let another disk or node learn in the place of one that has no vote yet."""
    wanted_old, new = replica.membership.replacing
    if old != wanted_old or new not in replica.membership.learners:
        return
    if not is_settled(replica):
        return
    successor = find_successor(replica, now, outbox, new_node)
    if successor is None or successor == new:
        return
    if successor not in replica.membership.voters:
        _learn(replica, old, successor)


def _learn(
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


def _progress_of(
    membership: consensus.Membership,
    old: consensus.ReplicaId,
    new_node: str,
) -> Outcome:
    wanted_old, wanted_new = membership.replacing
    if wanted_old != old or wanted_new.node != new_node:
        return _refuse(
            f"the replacement of {wanted_old.node} by {wanted_new.node} goes on",
        )
    if wanted_new in membership.learners:
        return result.Ok(_progress("learner", "the successor receives the log"))
    return result.Ok(_progress("voter", "the old voter is about to leave"))


def _progress(step: str, detail: str) -> directory.ReplaceProgress:
    return directory.ReplaceProgress(step=step, detail=detail)


def _wait(detail: str) -> Outcome:
    return result.Ok(_progress("waiting", detail))


def _refuse(reason: str) -> Outcome:
    return result.Err(directory.ReplaceRefused(reason=reason))
