"""Messages of the replicated log between control processes, and towards the disk.

The terms are those of the Raft paper (Ongaro and Ousterhout, 2014) and of Ongaro's
thesis for pre-vote, leader lease and membership changes.
"""

import enum

import msgspec


class ReplicaId(msgspec.Struct, frozen=True):
    """A replica: a node with one disk. An emptied disk makes another replica."""

    node: str
    disk: str


class EntryKind(enum.Enum):
    """What a log entry carries."""

    COMMAND = "command"
    MEMBERSHIP = "membership"
    NOTHING = "nothing"


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of a group's log; ``data`` is the encoded command or membership."""

    term: int
    index: int
    kind: EntryKind
    data: bytes


class Membership(msgspec.Struct, frozen=True):
    """The replicas of a group; learners receive the log but do not vote.

    ``replacing`` is set while a replacement goes on: the voter that will be removed
    and the replica that takes its place. ``replaced`` lists the newest pairs that are
    done, so that a resent command gets the same answer.

    With ``outgoing`` the membership is joint: every decision needs a quorum of the
    voters and one of the outgoing voters (Raft paper, section 6).
    """

    voters: list[ReplicaId]
    learners: list[ReplicaId] = []
    replacing: tuple[ReplicaId, ReplicaId] | None = None
    outgoing: list[ReplicaId] = []
    replaced: list[tuple[ReplicaId, ReplicaId]] = []


class VoteRequest(msgspec.Struct, tag=True, frozen=True):
    """Ask for a vote, or with ``pre_vote`` whether one would be given.

    ``handover`` marks the election that a leader has asked for: voters may grant it
    although they still hear that leader.
    """

    group: int
    term: int
    candidate: ReplicaId
    last_index: int
    last_term: int
    pre_vote: bool
    handover: bool = False


class TimeoutNow(msgspec.Struct, tag=True, frozen=True):
    """Ask a voter to begin an election at once; its leader gives up its lease.

    It counts only for this follower's disk, in this term and under this leader.
    """

    group: int
    term: int
    leader: ReplicaId
    follower: ReplicaId


class VoteReply(msgspec.Struct, tag=True, frozen=True):
    """A vote, or its refusal."""

    group: int
    term: int
    voter: ReplicaId
    granted: bool
    pre_vote: bool


class AppendRequest(msgspec.Struct, tag=True, frozen=True):
    """Entries or a heartbeat from the leader; ``round`` numbers read confirmations.

    A node whose disk is not the ``follower``'s ignores the request.
    """

    group: int
    term: int
    leader: ReplicaId
    follower: ReplicaId
    previous_index: int
    previous_term: int
    entries: list[LogEntry]
    commit_index: int
    round: int


class AppendReply(msgspec.Struct, tag=True, frozen=True):
    """How far the follower's synced log matches, or where it may match."""

    group: int
    term: int
    follower: ReplicaId
    matched: bool
    match_index: int
    round: int


class SnapshotRequest(msgspec.Struct, tag=True, frozen=True):
    """One piece of a snapshot for a follower that is too far behind.

    A node whose disk is not the ``follower``'s ignores the request.
    """

    group: int
    term: int
    leader: ReplicaId
    follower: ReplicaId
    last_index: int
    last_term: int
    membership: Membership
    offset: int
    data: bytes
    done: bool


class SnapshotReply(msgspec.Struct, tag=True, frozen=True):
    """The next offset that the follower wants."""

    group: int
    term: int
    follower: ReplicaId
    last_index: int
    next_offset: int
    installed: bool


class IdentityRequest(msgspec.Struct, tag=True, frozen=True):
    """Ask a node which disk it has; sent by replicas without a membership."""

    group: int
    replica: ReplicaId
    zone: str = ""


class IdentityReply(msgspec.Struct, tag=True, frozen=True):
    """Tell this node's disk and whether the replica on it has a membership.

    ``voter`` tells whether it is a voter there; one that only learns may still be
    the successor of a voter, for instance when its learning was never committed.
    ``founding`` is the group's first membership, sent by the node that formed it to
    replicas that may adopt it.
    """

    group: int
    replica: ReplicaId
    member: bool
    voter: bool = False
    founding: Membership | None = None
    zone: str = ""


Message = (
    VoteRequest
    | VoteReply
    | TimeoutNow
    | AppendRequest
    | AppendReply
    | SnapshotRequest
    | SnapshotReply
    | IdentityRequest
    | IdentityReply
)


class HardState(msgspec.Struct, frozen=True):
    """What a replica must not forget: its term and its vote."""

    term: int
    voted_for: ReplicaId | None


class WriteLog(msgspec.Struct, tag=True, frozen=True):
    """Write to the disk in this order and sync: truncation, entries, hard state.

    ``truncate_from`` drops all entries from that index on, before the append.
    """

    group: int
    write_id: int
    truncate_from: int | None
    entries: list[LogEntry]
    hard_state: HardState | None


class LogSynced(msgspec.Struct, tag=True, frozen=True):
    """The write with this id, and all before it, is synced."""

    group: int
    write_id: int


class WriteSnapshot(msgspec.Struct, tag=True, frozen=True):
    """Write a snapshot, sync it, then drop the log up to ``last_index``."""

    group: int
    write_id: int
    last_index: int
    last_term: int
    membership: Membership
    data: bytes


class SnapshotSynced(msgspec.Struct, tag=True, frozen=True):
    """The snapshot is synced and the log before it dropped."""

    group: int
    write_id: int
    last_index: int


class DiskFailed(msgspec.Struct, tag=True, frozen=True):
    """A write failed: the replica must stop voting and acknowledging."""

    group: int
    reason: str


class StopRequested(msgspec.Struct, tag=True, frozen=True):
    """The process was told to stop: hand over every group that it leads."""


class Stopped(msgspec.Struct, tag=True, frozen=True):
    """The process leads no group any more, or its time has run out: end it."""
