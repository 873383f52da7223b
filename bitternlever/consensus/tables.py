"""Data model of one replica of one group.

The algorithm is Raft (Ongaro and Ousterhout, 2014; Ongaro's thesis for pre-vote,
check-quorum, leader lease and read index).
"""

import collections
import dataclasses
import enum
import random
from collections.abc import Callable
from typing import Any

import result

from bitternlever.consensus import log as consensus_log
from bitternlever.messages import consensus

# Bound on the relative rate error of two clocks; shortens the leader lease.
CLOCK_RATE_ERROR = 0.01
MAXIMUM_APPEND_ENTRIES = 512
MAXIMUM_APPEND_BYTES = 524_288
MAXIMUM_IN_FLIGHT_ENTRIES = 2_048
# Proposals beyond these two limits are refused with ``ControlBusy``.
MAXIMUM_WAITING_PROPOSALS = 4_096
MAXIMUM_UNCOMMITTED_BYTES = 16_777_216

MAXIMUM_WAITING_READS = 4_096
MAXIMUM_DEFERRED_MESSAGES = 1_024
MAXIMUM_ROUNDS = 64
SNAPSHOT_CHUNK_BYTES = 262_144
SNAPSHOT_RESEND_S = 0.5
MAXIMUM_SNAPSHOT_BYTES = 67_108_864
SNAPSHOT_AFTER_ENTRIES = 4_096
SNAPSHOT_AFTER_BYTES = 4_194_304
RETAINED_ENTRIES = 1_024
# Bounds the memory that the retained tail of the log takes if commands are large.
RETAINED_BYTES = 1_048_576


class Role(enum.Enum):
    """The Raft role of a replica."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(slots=True, frozen=True)
class ReplicaSettings:
    """Settings of a replica; ``initial_nodes`` are the initial nodes of the group.

    Without ``may_bootstrap`` it never bootstraps a group: it waits until a leader adds
    it.
    """

    group: int
    identity: consensus.ReplicaId
    initial_nodes: tuple[str, ...]
    zone: str
    election_timeout_s: float
    heartbeat_s: float
    snapshot_after_entries: int = SNAPSHOT_AFTER_ENTRIES
    may_bootstrap: bool = True


@dataclasses.dataclass(slots=True)
class StateMachine:
    """Callbacks of the replicated state machine; ``apply`` must be deterministic."""

    apply: Callable[[bytes], Any]
    snapshot: Callable[[], bytes]
    restore: Callable[[bytes], None]


@dataclasses.dataclass(slots=True, frozen=True)
class LeadershipLost:
    """The leader stepped down: the proposal may or may not be committed."""


OnOutcome = Callable[[float, Any, result.Result[Any, LeadershipLost]], None]
OnRead = Callable[[float, Any, bool], None]


@dataclasses.dataclass(slots=True)
class Proposal:
    """A proposed entry whose proposer waits for the outcome."""

    term: int
    on_outcome: OnOutcome


@dataclasses.dataclass(slots=True)
class WaitingRead:
    """A read that waits until a quorum has answered heartbeat round ``round``."""

    round: int
    on_read: OnRead


@dataclasses.dataclass(slots=True)
class SnapshotTransfer:
    """A snapshot that is being sent to one follower."""

    last_index: int
    last_term: int
    membership: consensus.Membership
    data: bytes
    offset: int = 0
    sent_s: float | None = None


@dataclasses.dataclass(slots=True)
class Progress:
    """The leader's view of one follower.

    ``round`` is the newest heartbeat round that the follower answered, and
    ``last_contact_s`` the time when that round was sent.
    """

    next_index: int
    match_index: int = 0
    probing: bool = True
    probe_sent: bool = False
    round: int = 0
    last_contact_s: float = float("-inf")
    transfer: SnapshotTransfer | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class ReceivedIdentity:
    """A node's newest identity reply and the time it arrived."""

    reply: consensus.IdentityReply
    received_s: float


@dataclasses.dataclass(slots=True)
class PendingWrite:
    """A write that is not yet synced."""

    write_id: int
    last_index: int


@dataclasses.dataclass(slots=True)
class PendingSnapshot:
    """A snapshot that is not yet synced.

    ``received_data`` and ``leader`` are set if a leader sent it.
    """

    write_id: int
    last_index: int
    last_term: int
    membership: consensus.Membership
    received_data: bytes | None = None
    leader: consensus.ReplicaId | None = None


@dataclasses.dataclass(slots=True)
class IncomingSnapshot:
    """A snapshot that is being received in chunks."""

    last_index: int
    last_term: int
    data: bytearray = dataclasses.field(default_factory=bytearray)


@dataclasses.dataclass(slots=True)
class Disk:
    """What is staged for the disk in this tick, in flight, and synced.

    ``first_unwritten_index`` is the lowest log index that differs from the disk.
    ``hard_state_write_id`` is the write that carries the newest term and vote: no
    message that relies on them leaves before it is synced.
    """

    next_write_id: int = 1
    synced_write_id: int = 0
    synced_index: int = 0
    first_unwritten_index: int | None = None
    truncated: bool = False
    hard_state_changed: bool = False
    hard_state_write_id: int = 0
    writes: collections.deque[PendingWrite] = dataclasses.field(
        default_factory=collections.deque,
    )
    snapshot: PendingSnapshot | None = None
    failed: str | None = None


@dataclasses.dataclass(slots=True)
class LeaderState:
    """State that only a leader has; reset when it steps down.

    ``elected_s`` is when it was elected, ``term_start_index`` the index of the no-op
    entry that starts its term, and ``rounds`` pairs each recent heartbeat round with
    its sending time. Once ``handover_sent_s`` is set, the leader has no lease for the
    rest of its term.
    """

    progress: dict[consensus.ReplicaId, Progress] = dataclasses.field(
        default_factory=dict,
    )
    elected_s: float = 0.0
    term_start_index: int = 0
    round: int = 0
    uncommitted_bytes: int = 0
    rounds: collections.deque[tuple[int, float]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAXIMUM_ROUNDS),
    )
    heartbeat_at_s: float = 0.0
    proposals: dict[int, Proposal] = dataclasses.field(default_factory=dict)
    reads: collections.deque[WaitingRead] = dataclasses.field(
        default_factory=collections.deque,
    )
    handover_sent_s: float | None = None
    handover_attempts: int = 0


@dataclasses.dataclass(slots=True)
class Replica:
    """One replica of one group.

    ``memberships`` pairs each membership in the log with its index. ``matched_index``
    is the last index known to match the log of the current leader.
    ``deferred_messages`` pairs each message with the write that it waits for.
    ``stopping`` is set once the process is asked to stop.
    """

    settings: ReplicaSettings
    random: random.Random
    machine: StateMachine
    log: consensus_log.Log
    term: int = 0
    voted_for: consensus.ReplicaId | None = None
    membership: consensus.Membership | None = None
    memberships: list[tuple[int, consensus.Membership]] = dataclasses.field(
        default_factory=list,
    )
    role: Role = Role.FOLLOWER
    leader: consensus.ReplicaId | None = None
    commit_index: int = 0
    applied_index: int = 0
    matched_index: int = 0
    leader_contact_s: float | None = None
    election_at_s: float = 0.0
    votes: set[consensus.ReplicaId] = dataclasses.field(default_factory=set)
    disk: Disk = dataclasses.field(default_factory=Disk)
    leader_state: LeaderState = dataclasses.field(default_factory=LeaderState)
    incoming_snapshot: IncomingSnapshot | None = None
    deferred_messages: list[tuple[int, Any]] = dataclasses.field(default_factory=list)
    identities: dict[str, ReceivedIdentity] = dataclasses.field(
        default_factory=dict,
    )
    identity_request_at_s: float = 0.0
    applied_bytes: int = 0
    snapshot_index: int = 0
    stopping: bool = False
    counters: dict[str, int] = dataclasses.field(default_factory=dict)

    def count(self, name: str) -> None:
        """Increment the named counter."""
        self.counters[name] = self.counters.get(name, 0) + 1


def quorum(voters: int) -> int:
    """Return the size of a majority of ``voters``."""
    return voters // 2 + 1


def voters(membership: consensus.Membership) -> list[consensus.ReplicaId]:
    """Return all voters, including the outgoing ones of a joint membership."""
    leaving = [
        replica_id
        for replica_id in membership.outgoing
        if replica_id not in membership.voters
    ]
    return [*membership.voters, *leaving]


def reached_by_quorum(
    membership: consensus.Membership,
    reached: Callable[[consensus.ReplicaId], float],
) -> float:
    """Return the highest value reached by a quorum, of both voter sets if joint."""
    lowest = _reached_by_majority(membership.voters, reached)
    if membership.outgoing:
        lowest = min(lowest, _reached_by_majority(membership.outgoing, reached))
    return lowest


def _reached_by_majority(
    electorate: list[consensus.ReplicaId],
    reached: Callable[[consensus.ReplicaId], float],
) -> float:
    values = sorted((reached(voter) for voter in electorate), reverse=True)
    return values[quorum(len(values)) - 1]


def is_voter(replica: Replica) -> bool:
    """Return whether this replica votes in the newest membership of its log."""
    membership = replica.membership
    return membership is not None and replica.settings.identity in voters(membership)


def peers(replica: Replica) -> list[consensus.ReplicaId]:
    """Return all other replicas in the newest membership, including learners."""
    if replica.membership is None:
        return []
    every = [*voters(replica.membership), *replica.membership.learners]
    return [
        replica_id for replica_id in every if replica_id != replica.settings.identity
    ]
