"""Fake disks of control hosts: they delay, lose and tear writes."""

import copy
import dataclasses

import msgspec

from bitternlever.messages import consensus
from bitternlever.storage import restored
from tests.scenarios import simulation

SYNC_S = 0.0003


@dataclasses.dataclass(slots=True, repr=False)
class Disk:
    """Synced state, unsynced writes, and the delay or failure of the disk."""

    synced: restored.RestoredState
    unsynced: list[consensus.WriteLog | consensus.WriteSnapshot] = dataclasses.field(
        default_factory=list,
    )
    sync_s: float = SYNC_S
    stuck: bool = False


def write(
    sim: simulation.Simulation,
    disk: Disk,
    process: simulation.Process,
    message: consensus.WriteLog | consensus.WriteSnapshot,
) -> None:
    """Queue a write; sync it after a delay, in order, and report it to the process."""
    disk.unsynced.append(message)

    def sync() -> None:
        if not process.alive or disk.stuck or message not in disk.unsynced:
            return
        while disk.unsynced:
            first = disk.unsynced.pop(0)
            _apply(disk.synced, first)
            simulation.deliver(sim, process, _synced_event(first))
            if first is message:
                return

    simulation.schedule(sim, disk.sync_s, sync)


def lose_power(disk: Disk, torn: bool = False) -> None:
    """Drop unsynced writes; ``torn`` keeps half of the oldest one."""
    if torn and disk.unsynced and isinstance(disk.unsynced[0], consensus.WriteLog):
        first = disk.unsynced[0]
        kept = first.entries[: len(first.entries) // 2]
        torn_write = msgspec.structs.replace(first, entries=kept, hard_state=None)
        _apply(disk.synced, torn_write)
    disk.unsynced.clear()


def _apply(
    synced: restored.RestoredState,
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
        entries_by_index = {
            entry.index: entry for entry in group.entries if entry.index < before
        }
        entries_by_index |= {entry.index: entry for entry in message.entries}
        group.entries = [entries_by_index[index] for index in sorted(entries_by_index)]
        group.hard_state = message.hard_state or group.hard_state
    if group.snapshot is not None:
        last = group.snapshot.last_index
        group.entries = [entry for entry in group.entries if entry.index > last]


def _synced_event(
    message: consensus.WriteLog | consensus.WriteSnapshot,
) -> consensus.LogSynced | consensus.SnapshotSynced:
    if isinstance(message, consensus.WriteLog):
        return consensus.LogSynced(group=message.group, write_id=message.write_id)
    return consensus.SnapshotSynced(
        group=message.group,
        write_id=message.write_id,
        last_index=message.last_index,
    )


def read(disk: Disk) -> restored.RestoredState:
    """Return the state that a program loads from the disk at its start."""
    return copy.deepcopy(disk.synced)
