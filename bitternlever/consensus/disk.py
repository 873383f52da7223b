"""What a replica stages for its disk, and what may leave once it is synced."""

import msgspec

from bitternlever.consensus import log as consensus_log, tables
from bitternlever.core import ticks
from bitternlever.messages import consensus, frames

_membership_decoder = msgspec.msgpack.Decoder(consensus.Membership)


def send(
    replica: tables.Replica,
    outbox: ticks.Outbox,
    target: consensus.ReplicaId,
    message: consensus.Message,
) -> None:
    """Send to another replica, once the term and vote it speaks for are synced."""
    disk = replica.disk
    if disk.failed is not None:
        return
    peer = frames.SendPeer(node=target.node, message=message)
    if disk.hard_changed:
        _hold(replica, disk.next_write, peer)
        return
    if disk.hard_write > disk.synced_write:
        _hold(replica, disk.hard_write, peer)
        return
    outbox.send(peer)


def append(replica: tables.Replica, entry: consensus.LogEntry) -> None:
    """Add an entry to the log and stage it."""
    consensus_log.append(replica.log, entry)
    if replica.disk.first_changed is None:
        replica.disk.first_changed = entry.index
    if entry.kind is consensus.EntryKind.MEMBERSHIP:
        push_membership(replica, entry.index, decode_membership(entry))


def truncate(replica: tables.Replica, index: int) -> None:
    """Drop the entries from ``index`` on, in memory and at the next write."""
    if index <= replica.commit_index:
        raise AssertionError(f"entry {index} is committed and may not be dropped")
    disk = replica.disk
    consensus_log.truncate(replica.log, index)
    disk.truncated = True
    if disk.first_changed is None or index < disk.first_changed:
        disk.first_changed = index
    disk.synced_index = min(disk.synced_index, index - 1)
    for write in disk.writes:
        write.last_index = min(write.last_index, index - 1)
    while replica.memberships and replica.memberships[-1][0] >= index:
        replica.memberships.pop()
    replica.membership = replica.memberships[-1][1] if replica.memberships else None


def set_hard_state(
    replica: tables.Replica,
    term: int,
    voted_for: consensus.ReplicaId | None,
) -> None:
    """Change the term and the vote, and stage them."""
    if term < replica.term:
        raise AssertionError(f"term {term} is older than {replica.term}")
    replica.term = term
    replica.voted_for = voted_for
    replica.disk.hard_changed = True


def flush(replica: tables.Replica, outbox: ticks.Outbox) -> None:
    """Hand everything that this tick staged to the disk in one write."""
    disk = replica.disk
    if disk.failed is not None:
        return
    if disk.first_changed is None and not disk.hard_changed:
        return
    log = replica.log
    first = disk.first_changed
    entries = [] if first is None else log.entries[first - log.base_index - 1 :]
    outbox.send(
        consensus.WriteLog(
            group=replica.settings.group,
            write_id=disk.next_write,
            truncate_from=first if disk.truncated else None,
            entries=entries,
            hard_state=_hard_state(replica) if disk.hard_changed else None,
        ),
    )
    if disk.hard_changed:
        disk.hard_write = disk.next_write
    disk.writes.append(
        tables.PendingWrite(
            write_id=disk.next_write,
            last_index=consensus_log.last_index(log),
        ),
    )
    disk.next_write += 1
    disk.first_changed = None
    disk.truncated = False
    disk.hard_changed = False


def synced(
    replica: tables.Replica,
    outbox: ticks.Outbox,
    message: consensus.LogSynced,
) -> None:
    """Take the disk's word for a write, and send what waited for it."""
    disk = replica.disk
    disk.synced_write = max(disk.synced_write, message.write_id)
    while disk.writes and disk.writes[0].write_id <= message.write_id:
        last_index = disk.writes.popleft().last_index
        disk.synced_index = max(disk.synced_index, last_index)
    waiting = replica.held
    replica.held = []
    for write_id, peer in waiting:
        if write_id <= disk.synced_write:
            outbox.send(peer)
        else:
            replica.held.append((write_id, peer))


def push_membership(
    replica: tables.Replica,
    index: int,
    membership: consensus.Membership,
) -> None:
    """Make a membership the newest one; it counts before it is committed."""
    replica.memberships.append((index, membership))
    replica.membership = membership


def membership_at(replica: tables.Replica, index: int) -> consensus.Membership | None:
    """Return the newest membership up to ``index``."""
    for at_index, membership in reversed(replica.memberships):
        if at_index <= index:
            return membership
    return None


def decode_membership(entry: consensus.LogEntry) -> consensus.Membership:
    """Return the membership that an entry carries."""
    return _membership_decoder.decode(entry.data)


def _hold(replica: tables.Replica, write_id: int, peer: frames.SendPeer) -> None:
    if len(replica.held) >= tables.MAXIMUM_HELD_MESSAGES:
        replica.count("held_message_dropped")
        return
    replica.held.append((write_id, peer))


def _hard_state(replica: tables.Replica) -> consensus.HardState:
    return consensus.HardState(term=replica.term, voted_for=replica.voted_for)
