"""Addition of voters to a group that must tolerate more failures than it can.

The new replica receives the log as a learner and becomes a voter once it has caught
up. Voters are added one at a time, each after the previous change is committed, so
that any quorum before an addition overlaps any quorum after it.
"""

import msgspec

from bitternlever.consensus import commits, replacement, tables
from bitternlever.core import ticks


def request(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    new_node: str,
) -> None:
    """Add a node's replica as the learner, in place of any earlier learner."""
    membership = replica.membership
    if membership.replacing is not None or not replacement.can_change_membership(
        replica,
    ):
        return
    successor = replacement.find_successor(replica, now, outbox, new_node)
    if successor is None or successor in membership.learners:
        return
    if successor in membership.voters:
        return
    changed = msgspec.structs.replace(membership, learners=[successor])
    commits.propose_membership(replica, changed)


def run(replica: tables.Replica, now: float) -> None:
    """Promote a learner that has caught up, unless it replaces a voter."""
    if replica.role is not tables.Role.LEADER or replica.stopping:
        return
    membership = replica.membership
    if membership.replacing is not None or not membership.learners:
        return
    if not replacement.can_change_membership(replica):
        return
    voters = [*membership.voters, *membership.learners]
    if not all(replacement.is_caught_up(replica, now, voter) for voter in voters):
        return
    changed = msgspec.structs.replace(membership, voters=voters, learners=[])
    commits.propose_membership(replica, changed)
