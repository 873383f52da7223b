"""What a data folder held when the process started."""

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
class Restored:
    """The folder's disk id, random at its first use, and all groups by number."""

    disk: str
    groups: dict[int, Group] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class StorageFault:
    """The folder cannot be used; ``reason`` says what is damaged and what to do."""

    reason: str
