"""Data model and settings of a control process."""

import dataclasses
import random
from collections.abc import Callable
from typing import Any

from bitternlever.consensus import replica, tables as consensus_tables
from bitternlever.control import machines
from bitternlever.directory import leader, state as directory_state
from bitternlever.journal import tables as journal_tables
from bitternlever.messages import calls, consensus, directory
from bitternlever.storage import restored as storage_restored

SEED_STEP = 1_000_003
MILLISECONDS_PER_SECOND = 1_000


@dataclasses.dataclass(slots=True, frozen=True)
class ControlSettings:
    """Settings of the control core; durations in seconds.

    ``nodes`` maps every initial control node to its link, and ``zones`` to its
    availability zone. ``order_quiet_s`` is the longest time that the delivery of an
    order may take if its lease has ended since it was sent.
    """

    node: str
    link: str
    zone: str
    disk: str
    nodes: dict[str, str]
    zones: dict[str, str]
    journal_groups: int = 1
    host_lease_s: float = 3.0
    order_lease_s: float = 5.0
    order_quiet_s: float = 3.0
    election_timeout_s: float = 0.8
    heartbeat_s: float = 0.2
    answer_retention_s: float = 3_600.0
    maximum_journal_bytes: int = 9_000_000
    snapshot_after_entries: int = consensus_tables.SNAPSHOT_AFTER_ENTRIES


@dataclasses.dataclass(slots=True)
class Group:
    """One group: this process's replica and the state machine on it.

    ``last_led_term`` is the last term for which this process, as leader, reset the
    state that only the leader has.
    """

    number: int
    replica: consensus_tables.Replica
    machine: machines.Machine
    last_led_term: int = 0


OnAnswer = Callable[[float, Any, Any], None]


@dataclasses.dataclass(slots=True)
class OutgoingCall:
    """A call from this process to a group, resent until it is answered.

    ``target`` is the leader that another node named in a redirect.
    """

    call: calls.ControlCall
    on_reply: Callable[[float, Any, calls.Reply], None]
    resend_s: float
    target: str | None = None
    attempts: int = 0


@dataclasses.dataclass(slots=True)
class ControlTables:
    """The whole state of a control process.

    ``links`` maps the known control nodes to their link addresses. ``pending_fences``
    holds the epochs not yet fenced in the journal groups, by group and host, and
    ``replacement_replies`` the newest reply of each group to a replacement.
    ``stop_at_s`` is set once the process is asked to stop, and ``handed_over_groups``
    are the groups that it has led since.
    """

    settings: ControlSettings
    random: random.Random
    directory: directory_state.Directory
    groups: dict[int, Group] = dataclasses.field(default_factory=dict)
    directory_leader_state: leader.LeaderState = dataclasses.field(
        default_factory=leader.LeaderState,
    )
    links: dict[str, str] = dataclasses.field(default_factory=dict)
    zones: dict[str, str] = dataclasses.field(default_factory=dict)
    pending_fences: dict[tuple[int, str], int] = dataclasses.field(default_factory=dict)
    replacement_replies: dict[tuple[int, directory.ReplaceReplica], calls.Reply] = (
        dataclasses.field(default_factory=dict)
    )
    outgoing_calls: dict[int, OutgoingCall] = dataclasses.field(default_factory=dict)
    last_call_id: int = 0
    stop_at_s: float | None = None
    handed_over_groups: set[int] = dataclasses.field(default_factory=set)
    counters: dict[str, int] = dataclasses.field(default_factory=dict)

    def count(self, name: str) -> None:
        """Increment the named counter."""
        self.counters[name] = self.counters.get(name, 0) + 1


def create(
    settings: ControlSettings,
    restored: storage_restored.RestoredState,
    seed: int,
) -> ControlTables:
    """Create the tables from the restored disk state; ``seed`` seeds random choices."""
    tables = ControlTables(
        settings=settings,
        random=random.Random(seed),
        directory=directory_state.create(
            settings.host_lease_s,
            settings.order_lease_s,
            settings.order_quiet_s,
        ),
        links=dict(settings.nodes),
        zones=dict(settings.zones),
    )
    _add_group(
        tables,
        restored,
        directory.GROUP,
        machines.create_directory_machine(tables.directory),
        seed,
    )
    for number in range(1, settings.journal_groups + 1):
        machine = machines.create_journal_machine(number, _journal_settings(settings))
        _add_group(tables, restored, number, machine, seed)
    return tables


def _journal_settings(settings: ControlSettings) -> journal_tables.JournalSettings:
    return journal_tables.JournalSettings(
        maximum_bytes=settings.maximum_journal_bytes,
        answer_retention_ms=round(
            settings.answer_retention_s * MILLISECONDS_PER_SECOND
        ),
    )


def _add_group(
    tables: ControlTables,
    restored: storage_restored.RestoredState,
    number: int,
    machine: machines.Machine,
    seed: int,
) -> None:
    settings = tables.settings
    own_replica = replica.create(
        consensus_tables.ReplicaSettings(
            group=number,
            identity=consensus.ReplicaId(node=settings.node, disk=settings.disk),
            initial_nodes=tuple(sorted(settings.nodes)),
            zone=settings.zone,
            election_timeout_s=settings.election_timeout_s,
            heartbeat_s=settings.heartbeat_s,
            snapshot_after_entries=settings.snapshot_after_entries,
        ),
        machine.replicated,
        restored.groups.get(number),
        seed=seed + SEED_STEP * (number + 1),
    )
    tables.groups[number] = Group(number=number, replica=own_replica, machine=machine)
