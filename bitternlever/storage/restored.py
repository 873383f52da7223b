"""The state of a data folder at the start of a process."""

import dataclasses

from bitternlever.messages import consensus


@dataclasses.dataclass(slots=True)
class Snapshot:
    """The newest synced snapshot of a group."""

    last_index: int
    last_term: int
    membership: consensus.Membership
    data: bytes


@dataclasses.dataclass(slots=True)
class Group:
    """A group's term and vote, its snapshot, and the entries after it."""

    hard_state: consensus.HardState | None = None
    snapshot: Snapshot | None = None
    entries: list[consensus.LogEntry] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class RestoredState:
    """The folder's disk id, chosen randomly at its first use, and groups by number."""

    disk: str
    groups: dict[int, Group] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class StorageFault:
    """A damaged folder; ``reason`` names the damage and how to replace the replica."""

    reason: str
