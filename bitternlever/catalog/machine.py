"""State machine of the replicated catalog; only a higher version replaces it."""

import dataclasses

import msgspec

from bitternlever.consensus import tables as consensus_tables


class PutCatalog(msgspec.Struct, frozen=True, array_like=True):
    """Replace the catalog by ``body`` if ``version`` is higher than the current one."""

    version: int
    body: bytes


@dataclasses.dataclass(slots=True)
class CatalogState:
    """The newest committed catalog as sent by the operator; initially version None."""

    version: int | None = None
    body: bytes = b""


@dataclasses.dataclass(slots=True, frozen=True)
class PutResult:
    """The result of a put, with the version in force after it."""

    version: int
    changed: bool


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    version: int | None
    body: bytes


encode_command = msgspec.msgpack.Encoder().encode
_decode_command = msgspec.msgpack.Decoder(PutCatalog).decode
_decode_snapshot = msgspec.msgpack.Decoder(_Snapshot).decode


def create(state: CatalogState) -> consensus_tables.StateMachine:
    """Return a state machine that keeps its state in ``state``."""

    def restore(data: bytes) -> None:
        snapshot = _decode_snapshot(data)
        state.version = snapshot.version
        state.body = snapshot.body

    return consensus_tables.StateMachine(
        apply=lambda data: apply(state, _decode_command(data)),
        snapshot=lambda: encode_command(_Snapshot(state.version, state.body)),
        restore=restore,
    )


def apply(state: CatalogState, command: PutCatalog) -> PutResult:
    """Replace the catalog if the new version is the highest so far."""
    if state.version is not None and command.version <= state.version:
        return PutResult(version=state.version, changed=False)
    state.version = command.version
    state.body = command.body
    return PutResult(version=command.version, changed=True)
