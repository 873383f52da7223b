"""The addition of a voter to a group that has to bear more losses than it can.

The new replica receives the log as a learner and votes once it has caught up. Voters
are added one at a time, each after the last change is committed, so that any quorum
before an addition shares a replica with any quorum after it.
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
    """Let a node's replica learn the log as leader, or another one in its place."""
    membership = replica.membership
    if membership.replacing is not None or not replacement.is_settled(replica):
        return
    successor = replacement.find_successor(replica, now, outbox, new_node)
    if successor is None or successor in membership.learners:
        return
    if successor in membership.voters:
        return
    changed = msgspec.structs.replace(membership, learners=[successor])
    commits.propose_membership(replica, changed)


def run(replica: tables.Replica, now: float) -> None:
    """Let a learner vote that has caught up and replaces nobody."""
    if replica.role is not tables.Role.LEADER or replica.stopping:
        return
    membership = replica.membership
    if membership.replacing is not None or not membership.learners:
        return
    if not replacement.is_settled(replica):
        return
    voters = [*membership.voters, *membership.learners]
    if not all(replacement.is_caught_up(replica, now, each) for each in voters):
        return
    changed = msgspec.structs.replace(membership, voters=voters, learners=[])
    commits.propose_membership(replica, changed)
