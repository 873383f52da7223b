"""Fake disks of control hosts: they delay, lose and tear writes."""

import copy
import dataclasses

import msgspec

from bitternlever.messages import consensus
from bitternlever.storage import restored
from tests.scenarios import world

SYNC_S = 0.0003


@dataclasses.dataclass(slots=True, repr=False)
class Disk:
    """What is synced, what still waits to be, and how slow or broken the disk is."""

    synced: restored.Restored
    waiting: list[consensus.WriteLog | consensus.WriteSnapshot] = dataclasses.field(
        default_factory=list,
    )
    sync_s: float = SYNC_S
    stuck: bool = False


def write(
    here: world.World,
    disk: Disk,
    process: world.Process,
    message: consensus.WriteLog | consensus.WriteSnapshot,
) -> None:
    """Take a write; sync it a little later, in order, and say so."""
    disk.waiting.append(message)

    def sync() -> None:
        if not process.alive or disk.stuck or message not in disk.waiting:
            return
        while disk.waiting:
            first = disk.waiting.pop(0)
            _apply(disk.synced, first)
            world.deliver(here, process, _report(first))
            if first is message:
                return

    world.after(here, disk.sync_s, sync)


def lose_power(disk: Disk, torn: bool = False) -> None:
    """Drop what is not synced; ``torn`` keeps half of the oldest write."""
    if torn and disk.waiting and isinstance(disk.waiting[0], consensus.WriteLog):
        first = disk.waiting[0]
        kept = first.entries[: len(first.entries) // 2]
        torn_write = msgspec.structs.replace(first, entries=kept, hard_state=None)
        _apply(disk.synced, torn_write)
    disk.waiting.clear()


def _apply(
    synced: restored.Restored,
    message: consensus.WriteLog | consensus.WriteSnapshot,
) -> None:
    group = synced.groups.setdefault(message.group, restored.Group())
    if isinstance(message, consensus.WriteSnapshot):
        group.snapshot = restored.Snapshot(
            last_index=message.last_index,
            last_term=message.last_term,
            membership=message.membership,
            data=message.data,
        )
    else:
        before = message.truncate_from or float("inf")
        held = {entry.index: entry for entry in group.entries if entry.index < before}
        held |= {entry.index: entry for entry in message.entries}
        group.entries = [held[index] for index in sorted(held)]
        group.hard_state = message.hard_state or group.hard_state
    if group.snapshot is not None:
        last = group.snapshot.last_index
        group.entries = [entry for entry in group.entries if entry.index > last]


def _report(
    message: consensus.WriteLog | consensus.WriteSnapshot,
) -> consensus.LogSynced | consensus.SnapshotSynced:
    if isinstance(message, consensus.WriteLog):
        return consensus.LogSynced(group=message.group, write_id=message.write_id)
    return consensus.SnapshotSynced(
        group=message.group,
        write_id=message.write_id,
        last_index=message.last_index,
    )


def read(disk: Disk) -> restored.Restored:
    """Return what a program finds on the disk when it starts."""
    return copy.deepcopy(disk.synced)
