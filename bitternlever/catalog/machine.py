"""The replicated catalog: the highest version wins, every other changes nothing."""

import dataclasses

import msgspec

from bitternlever.consensus import tables as consensus_tables


class PutCatalog(msgspec.Struct, frozen=True, array_like=True):
    """Replace the catalog by ``body`` where ``version`` is higher than the held one."""

    version: int
    body: bytes


@dataclasses.dataclass(slots=True)
class Held:
    """The newest committed catalog as it was sent; version None before the first."""

    version: int | None = None
    body: bytes = b""


@dataclasses.dataclass(slots=True, frozen=True)
class Stored:
    """The outcome of a put: the version held after it."""

    version: int
    changed: bool


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    version: int | None
    body: bytes


encode_command = msgspec.msgpack.Encoder().encode
_decode_command = msgspec.msgpack.Decoder(PutCatalog).decode
_decode_snapshot = msgspec.msgpack.Decoder(_Snapshot).decode


def create(held: Held) -> consensus_tables.StateMachine:
    """Return the state machine over ``held``."""

    def restore(data: bytes) -> None:
        snapshot = _decode_snapshot(data)
        held.version = snapshot.version
        held.body = snapshot.body

    return consensus_tables.StateMachine(
        apply=lambda data: apply(held, _decode_command(data)),
        snapshot=lambda: encode_command(_Snapshot(held.version, held.body)),
        restore=restore,
    )


def apply(held: Held, command: PutCatalog) -> Stored:
    """Take a catalog if its version is the highest so far."""
    if held.version is not None and command.version <= held.version:
        return Stored(version=held.version, changed=False)
    held.version = command.version
    held.body = command.body
    return Stored(version=command.version, changed=True)
