"""Messages of the replicated log, between control processes and to the disk writer.

The terms are those of the Raft paper (Ongaro and Ousterhout, 2014) and of Ongaro's
thesis for pre-vote, leader lease and membership changes. A group is the set of replicas
that share one log.
"""

import enum

import msgspec


class ReplicaId(msgspec.Struct, frozen=True):
    """A replica: a node with one disk. An erased disk counts as a new replica."""

    node: str
    disk: str


class EntryKind(enum.Enum):
    """Type of a log entry's data."""

    COMMAND = "command"
    MEMBERSHIP = "membership"
    NO_OP = "nothing"


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of a group's log; ``data`` is the encoded command or membership."""

    term: int
    index: int
    kind: EntryKind
    data: bytes


class Membership(msgspec.Struct, frozen=True):
    """The replicas of a group; learners receive the log but do not vote.

    ``replacing`` is set during a replacement: the voter to be removed and the replica
    that takes its place. ``replaced`` lists the latest completed pairs, so that a
    resent command gets the same answer.

    With ``outgoing`` the membership is joint: every decision needs a quorum of the
    voters and one of the outgoing voters (Raft paper, section 6).
    """

    voters: list[ReplicaId]
    learners: list[ReplicaId] = []
    replacing: tuple[ReplicaId, ReplicaId] | None = None
    outgoing: list[ReplicaId] = []
    replaced: list[tuple[ReplicaId, ReplicaId]] = []


class VoteRequest(msgspec.Struct, tag=True, frozen=True):
    """Request a vote or, with ``pre_vote``, ask whether a vote would be granted.

    ``handover`` marks an election that the leader has asked for: voters may grant their
    vote although they still receive that leader's heartbeats.
    """

    group: int
    term: int
    candidate: ReplicaId
    last_index: int
    last_term: int
    pre_vote: bool
    handover: bool = False


class TimeoutNow(msgspec.Struct, tag=True, frozen=True):
    """Ask a voter to start an election at once; the leader gives up its lease.

    Valid only for this follower's disk, in this term and under this leader.
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
    """Entries or a heartbeat from the leader.

    ``round`` numbers the leadership confirmations that reads wait for.

    A node with another disk than ``follower`` ignores the request.
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
    """A follower's reply to an append request.

    ``match_index`` is the index up to which its synced log matches the leader's or,
    without ``matched``, may match.
    """

    group: int
    term: int
    follower: ReplicaId
    matched: bool
    match_index: int
    round: int


class SnapshotRequest(msgspec.Struct, tag=True, frozen=True):
    """One chunk of a snapshot, for a follower that is too far behind.

    A node with another disk than ``follower`` ignores the request.
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
    """The next snapshot offset that the follower needs."""

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
    """The node's disk, and whether the replica on it has a membership.

    ``voter`` is set if the replica is a voter in that membership. A learner may still
    become the successor of a voter, for instance if its addition as a learner was never
    committed. ``founding`` is the group's first membership, sent by the node that
    bootstrapped the group to replicas that may adopt it.
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
    """Raft state that a replica must persist: its term and its vote."""

    term: int
    voted_for: ReplicaId | None


class WriteLog(msgspec.Struct, tag=True, frozen=True):
    """Truncate the log, append entries, write the hard state, then sync the disk.

    ``truncate_from`` is the first index whose entries are dropped before the append.
    """

    group: int
    write_id: int
    truncate_from: int | None
    entries: list[LogEntry]
    hard_state: HardState | None


class LogSynced(msgspec.Struct, tag=True, frozen=True):
    """The write with this id and all earlier writes are synced."""

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
    """The snapshot is synced and the log before it has been dropped."""

    group: int
    write_id: int
    last_index: int


class DiskFailed(msgspec.Struct, tag=True, frozen=True):
    """A write failed: the replica must stop voting and acknowledging entries."""

    group: int
    reason: str


class StopRequested(msgspec.Struct, tag=True, frozen=True):
    """The process was asked to stop: it must hand over every group that it leads."""


class Stopped(msgspec.Struct, tag=True, frozen=True):
    """The process leads no group any more, or the time for it ran out: it may exit."""
