"""Bootstrap of a group: the first membership, which no replica of a lost disk joins.

A replica without a membership asks every initial node for its identity (node and
disk). Only the first node by name bootstraps the group, and only when every initial
node has replied that it has no membership; it writes the membership as the first log
entry. The others adopt that entry from it if it names their own disk. Once any node
replies that it is a member, an empty replica stays without a membership until it
replaces another.
"""

import msgspec

from bitternlever.consensus import disk, elections, log as consensus_log, tables
from bitternlever.core import ticks
from bitternlever.messages import consensus, frames

IDENTITY_REQUEST_INTERVAL_S = 0.3
# An older identity may be that of a disk that has been lost since.
IDENTITY_VALID_S = 2.0
MAXIMUM_IDENTITIES = 64
FIRST_TERM = 1


def run(replica: tables.Replica, now: float, outbox: ticks.Outbox) -> None:
    """Request the initial nodes' identities while there is no membership."""
    if replica.membership is not None or replica.disk.failed is not None:
        return
    if now < replica.identity_request_at_s:
        outbox.wake(replica.identity_request_at_s)
        return
    settings = replica.settings
    if settings.may_bootstrap and settings.initial_nodes == (settings.identity.node,):
        _bootstrap(replica, now)
        return
    replica.identity_request_at_s = now + IDENTITY_REQUEST_INTERVAL_S
    outbox.wake(replica.identity_request_at_s)
    request = consensus.IdentityRequest(
        group=settings.group,
        replica=settings.identity,
        zone=settings.zone,
    )
    for node in settings.initial_nodes:
        if node != settings.identity.node:
            outbox.send(frames.SendToPeer(node=node, message=request))


def handle_identity_request(
    replica: tables.Replica,
    outbox: ticks.Outbox,
    request: consensus.IdentityRequest,
) -> None:
    """Reply with this replica's identity and, while logged, the first membership."""
    reply = consensus.IdentityReply(
        group=replica.settings.group,
        replica=replica.settings.identity,
        member=replica.membership is not None,
        voter=tables.is_voter(replica),
        founding=_initial_membership(replica),
        zone=replica.settings.zone,
    )
    disk.send(replica, outbox, request.replica, reply)


def handle_identity_reply(
    replica: tables.Replica,
    now: float,
    reply: consensus.IdentityReply,
) -> None:
    """Bootstrap the group once every initial node is empty, or adopt its membership."""
    settings = replica.settings
    node = reply.replica.node
    if len(replica.identities) < MAXIMUM_IDENTITIES or node in replica.identities:
        replica.identities[node] = tables.ReceivedIdentity(reply, now)
    if replica.membership is not None or not settings.initial_nodes:
        return
    bootstrap_node = min(settings.initial_nodes)
    if settings.identity.node == bootstrap_node:
        if settings.may_bootstrap:
            _bootstrap_when_all_are_empty(replica, now)
        return
    initial_membership = reply.founding
    if reply.replica.node != bootstrap_node or initial_membership is None:
        return
    if (
        settings.identity in initial_membership.voters
        and reply.replica in initial_membership.voters
    ):
        _adopt_initial_membership(replica, now, initial_membership)


def _bootstrap_when_all_are_empty(replica: tables.Replica, now: float) -> None:
    settings = replica.settings
    for node in settings.initial_nodes:
        if node == settings.identity.node:
            continue
        identity = replica.identities.get(node)
        if identity is None or identity.reply.member:
            return
        if now >= identity.received_s + IDENTITY_VALID_S:
            return
    _bootstrap(replica, now)


def _bootstrap(replica: tables.Replica, now: float) -> None:
    settings = replica.settings
    disks = {
        node: identity.reply.replica for node, identity in replica.identities.items()
    }
    disks[settings.identity.node] = settings.identity
    voters = [disks[node] for node in sorted(settings.initial_nodes)]
    _adopt_initial_membership(replica, now, consensus.Membership(voters=voters))


def _adopt_initial_membership(
    replica: tables.Replica,
    now: float,
    initial_membership: consensus.Membership,
) -> None:
    disk.append(
        replica,
        consensus.LogEntry(
            term=FIRST_TERM,
            index=consensus_log.last_index(replica.log) + 1,
            kind=consensus.EntryKind.MEMBERSHIP,
            data=msgspec.msgpack.encode(initial_membership),
        ),
    )
    replica.identities.clear()
    disk.set_hard_state(replica, max(replica.term, FIRST_TERM), replica.voted_for)
    elections.reset_election_timer(replica, now)


def _initial_membership(replica: tables.Replica) -> consensus.Membership | None:
    if replica.log.base_index > 0 or not replica.log.entries:
        return None
    first = replica.log.entries[0]
    if first.kind is not consensus.EntryKind.MEMBERSHIP:
        return None
    if replica.disk.synced_index < first.index:
        return None
    return disk.decode_membership(first)
