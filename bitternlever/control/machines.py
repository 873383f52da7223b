"""The groups' state machines, wrapped in callbacks for the consensus module."""

import dataclasses
from collections.abc import Callable
from typing import Any

import msgspec

from bitternlever.consensus import tables as consensus_tables
from bitternlever.directory import state as directory_state
from bitternlever.journal import (
    leader as journal_leader,
    machine as journal_machine,
    tables as journal_tables,
)
from bitternlever.messages import calls, directory, journal

encode_command = msgspec.msgpack.Encoder().encode
_decode_directory = msgspec.msgpack.Decoder(directory.Command).decode
_decode_journal = msgspec.msgpack.Decoder(journal.Command).decode

Propose = Callable[[calls.Command], None]
SendHint = Callable[[Any], None]


@dataclasses.dataclass(slots=True)
class Machine:
    """A group's state machine.

    ``read_commands`` are the commands that ``read`` answers from the applied state.
    ``run_leader`` runs in each tick of a ready leader, with callbacks to propose a
    command and to send a hint to all entry hosts.
    """

    replicated: consensus_tables.StateMachine
    accepts: Callable[[Any], bool]
    read_commands: tuple[type, ...]
    read: Callable[[Any], Any]
    run_leader: Callable[[float, Any, Propose, SendHint], None]


def create_directory_machine(tables: directory_state.Directory) -> Machine:
    """Return the machine of group 0, the directory, over these tables."""

    def apply(data: bytes) -> Any:
        return directory_state.apply(tables, _decode_directory(data))

    def restore(data: bytes) -> None:
        directory_state.restore(tables, data)

    return Machine(
        replicated=consensus_tables.StateMachine(
            apply=apply,
            snapshot=lambda: directory_state.snapshot(tables),
            restore=restore,
        ),
        accepts=lambda command: isinstance(command, directory.Command),
        read_commands=(directory.GetManifest,),
        read=lambda command: directory_state.manifest_in_force(tables),
        run_leader=lambda now, outbox, propose, send_hint: None,
    )


def create_journal_machine(
    group: int,
    settings: journal_tables.JournalSettings,
) -> Machine:
    """Return the machine of a journal group."""
    tables = journal_machine.create(settings)
    leader_state = journal_leader.LeaderState()

    def apply(data: bytes) -> Any:
        return journal_machine.apply(tables, _decode_journal(data))

    def restore(data: bytes) -> None:
        journal_machine.restore(tables, data)

    def run_leader(
        now: float, outbox: Any, propose: Propose, send_hint: SendHint
    ) -> None:
        journal_leader.run(tables, leader_state, group, now, outbox, propose, send_hint)

    return Machine(
        replicated=consensus_tables.StateMachine(
            apply=apply,
            snapshot=lambda: journal_machine.snapshot(tables),
            restore=restore,
        ),
        accepts=lambda command: isinstance(command, journal.Command),
        read_commands=journal_machine.READS,
        read=lambda command: journal_machine.read(tables, command),
        run_leader=run_leader,
    )
