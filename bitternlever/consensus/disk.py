"""Staging of a replica's disk writes, and of messages that wait for them.

A message leaves only once the term and vote that it relies on are synced.
"""

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
    """Send to another replica, deferred until the current term and vote are synced."""
    disk = replica.disk
    if disk.failed is not None:
        return
    outgoing = frames.SendToPeer(node=target.node, message=message)
    if disk.hard_state_changed:
        _defer_until_synced(replica, disk.next_write_id, outgoing)
        return
    if disk.hard_state_write_id > disk.synced_write_id:
        _defer_until_synced(replica, disk.hard_state_write_id, outgoing)
        return
    outbox.send(outgoing)


def append(replica: tables.Replica, entry: consensus.LogEntry) -> None:
    """Append an entry to the log and stage it for the next write."""
    consensus_log.append(replica.log, entry)
    if replica.disk.first_unwritten_index is None:
        replica.disk.first_unwritten_index = entry.index
    if entry.kind is consensus.EntryKind.MEMBERSHIP:
        push_membership(replica, entry.index, decode_membership(entry))


def truncate(replica: tables.Replica, index: int) -> None:
    """Drop the entries from ``index`` on, in memory and with the next write."""
    if index <= replica.commit_index:
        raise AssertionError(f"cannot truncate committed entry {index}")
    disk = replica.disk
    consensus_log.truncate(replica.log, index)
    disk.truncated = True
    if disk.first_unwritten_index is None or index < disk.first_unwritten_index:
        disk.first_unwritten_index = index
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
        raise AssertionError(f"term {term} is lower than the current {replica.term}")
    replica.term = term
    replica.voted_for = voted_for
    replica.disk.hard_state_changed = True


def flush(replica: tables.Replica, outbox: ticks.Outbox) -> None:
    """Submit everything staged in this tick to the disk as one write."""
    disk = replica.disk
    if disk.failed is not None:
        return
    if disk.first_unwritten_index is None and not disk.hard_state_changed:
        return
    log = replica.log
    first = disk.first_unwritten_index
    entries = [] if first is None else log.entries[first - log.base_index - 1 :]
    outbox.send(
        consensus.WriteLog(
            group=replica.settings.group,
            write_id=disk.next_write_id,
            truncate_from=first if disk.truncated else None,
            entries=entries,
            hard_state=_hard_state(replica) if disk.hard_state_changed else None,
        ),
    )
    if disk.hard_state_changed:
        disk.hard_state_write_id = disk.next_write_id
    disk.writes.append(
        tables.PendingWrite(
            write_id=disk.next_write_id,
            last_index=consensus_log.last_index(log),
        ),
    )
    disk.next_write_id += 1
    disk.first_unwritten_index = None
    disk.truncated = False
    disk.hard_state_changed = False


def handle_log_synced(
    replica: tables.Replica,
    outbox: ticks.Outbox,
    message: consensus.LogSynced,
) -> None:
    """Record a completed write and send the messages deferred until it."""
    disk = replica.disk
    disk.synced_write_id = max(disk.synced_write_id, message.write_id)
    while disk.writes and disk.writes[0].write_id <= message.write_id:
        last_index = disk.writes.popleft().last_index
        disk.synced_index = max(disk.synced_index, last_index)
    deferred_messages = replica.deferred_messages
    replica.deferred_messages = []
    for write_id, outgoing in deferred_messages:
        if write_id <= disk.synced_write_id:
            outbox.send(outgoing)
        else:
            replica.deferred_messages.append((write_id, outgoing))


def push_membership(
    replica: tables.Replica,
    index: int,
    membership: consensus.Membership,
) -> None:
    """Make a membership the newest; it takes effect before it is committed."""
    replica.memberships.append((index, membership))
    replica.membership = membership


def membership_at(replica: tables.Replica, index: int) -> consensus.Membership | None:
    """Return the newest membership at or before ``index``."""
    for at_index, membership in reversed(replica.memberships):
        if at_index <= index:
            return membership
    return None


def decode_membership(entry: consensus.LogEntry) -> consensus.Membership:
    """Return the membership that an entry carries."""
    return _membership_decoder.decode(entry.data)


def _defer_until_synced(
    replica: tables.Replica, write_id: int, outgoing: frames.SendToPeer
) -> None:
    if len(replica.deferred_messages) >= tables.MAXIMUM_DEFERRED_MESSAGES:
        replica.count("held_message_dropped")
        return
    replica.deferred_messages.append((write_id, outgoing))


def _hard_state(replica: tables.Replica) -> consensus.HardState:
    return consensus.HardState(term=replica.term, voted_for=replica.voted_for)
