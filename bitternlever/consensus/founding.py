"""The first membership of a group, without a vote for a lost disk.

A replica without a membership asks every initial node for its disk. Only the first
node by name founds the group, and only when every initial node has answered that it
is empty; it writes the membership as the log's first entry. Others adopt that entry
from the founder while it names their own disk. A node that has a membership says so,
and then an empty replica stays without one until it replaces another.
"""

import msgspec

from bitternlever.consensus import disk, elections, log as consensus_log, tables
from bitternlever.core import ticks
from bitternlever.messages import consensus, frames

ASK_INTERVAL_S = 0.3
IDENTITY_VALID_S = 2.0
MAXIMUM_IDENTITIES = 64
FIRST_TERM = 1


def run(replica: tables.Replica, now: float, outbox: ticks.Outbox) -> None:
    """Ask for identities while this replica has no membership."""
    if replica.membership is not None or replica.disk.failed is not None:
        return
    if now < replica.ask_at_s:
        outbox.wake(replica.ask_at_s)
        return
    settings = replica.settings
    if settings.may_found and settings.nodes == (settings.identity.node,):
        _found(replica, now)
        return
    replica.ask_at_s = now + ASK_INTERVAL_S
    outbox.wake(replica.ask_at_s)
    request = consensus.IdentityRequest(
        group=settings.group,
        replica=settings.identity,
        zone=settings.zone,
    )
    for node in settings.nodes:
        if node != settings.identity.node:
            outbox.send(frames.SendPeer(node=node, message=request))


def identity_requested(
    replica: tables.Replica,
    outbox: ticks.Outbox,
    request: consensus.IdentityRequest,
) -> None:
    """Tell this node's disk, and the founding membership where it is still known."""
    reply = consensus.IdentityReply(
        group=replica.settings.group,
        replica=replica.settings.identity,
        member=replica.membership is not None,
        voter=tables.is_voter(replica),
        founding=_founding(replica),
        zone=replica.settings.zone,
    )
    disk.send(replica, outbox, request.replica, reply)


def identity_received(
    replica: tables.Replica,
    now: float,
    reply: consensus.IdentityReply,
) -> None:
    """Found the group when every initial node is empty, or adopt its founding."""
    settings = replica.settings
    node = reply.replica.node
    if len(replica.identities) < MAXIMUM_IDENTITIES or node in replica.identities:
        replica.identities[node] = tables.Identity(reply, now)
    if replica.membership is not None or not settings.nodes:
        return
    founder = min(settings.nodes)
    if settings.identity.node == founder:
        if settings.may_found:
            _found_when_all_are_empty(replica, now)
        return
    founding = reply.founding
    if reply.replica.node != founder or founding is None:
        return
    if settings.identity in founding.voters and reply.replica in founding.voters:
        _begin(replica, now, founding)


def _found_when_all_are_empty(replica: tables.Replica, now: float) -> None:
    settings = replica.settings
    for node in settings.nodes:
        if node == settings.identity.node:
            continue
        known = replica.identities.get(node)
        if known is None or known.reply.member:
            return
        if now >= known.received_s + IDENTITY_VALID_S:
            return
    _found(replica, now)


def _found(replica: tables.Replica, now: float) -> None:
    settings = replica.settings
    disks = {node: known.reply.replica for node, known in replica.identities.items()}
    disks[settings.identity.node] = settings.identity
    voters = [disks[node] for node in sorted(settings.nodes)]
    _begin(replica, now, consensus.Membership(voters=voters))


def _begin(
    replica: tables.Replica,
    now: float,
    founding: consensus.Membership,
) -> None:
    disk.append(
        replica,
        consensus.LogEntry(
            term=FIRST_TERM,
            index=consensus_log.last_index(replica.log) + 1,
            kind=consensus.EntryKind.MEMBERSHIP,
            data=msgspec.msgpack.encode(founding),
        ),
    )
    replica.identities.clear()
    disk.set_hard_state(replica, max(replica.term, FIRST_TERM), replica.voted_for)
    elections.reset_timer(replica, now)


def _founding(replica: tables.Replica) -> consensus.Membership | None:
    if replica.log.base_index > 0 or not replica.log.entries:
        return None
    first = replica.log.entries[0]
    if first.kind is not consensus.EntryKind.MEMBERSHIP:
        return None
    if replica.disk.synced_index < first.index:
        return None
    return disk.decode_membership(first)
