"""State machine of the replicated catalog and of the evacuated availability zones.

Only a higher version replaces the catalog. Orders to evacuate zones follow each other
in the log; a revision counts those that changed something.
"""

import dataclasses

import msgspec

from bitternlever.consensus import tables as consensus_tables

NO_VERSION = -1
"""Below all versions: version 0.10 applies an entry with it without an effect."""


class ZoneOrder(msgspec.Struct, frozen=True, array_like=True):
    """Evacuate an availability zone, or take it back into use."""

    zone: str
    evacuated: bool


class PutCatalog(msgspec.Struct, frozen=True, array_like=True):
    """Replace the catalog by ``body`` if ``version`` is higher than the current one.

    With a ``zone_order``, follow that instead. Version 0.10 does not read it.
    """

    version: int
    body: bytes
    zone_order: ZoneOrder | None = None


@dataclasses.dataclass(slots=True)
class CatalogState:
    """The newest committed catalog as sent by the operator; initially version None.

    ``evacuation_revision`` counts the changes of the ``evacuated_zones``.
    """

    version: int | None = None
    body: bytes = b""
    evacuation_revision: int = 0
    evacuated_zones: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True, frozen=True)
class PutResult:
    """The result of a put, with the version or revision in force after it."""

    version: int
    changed: bool


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    version: int | None
    body: bytes
    evacuation_revision: int = 0
    evacuated_zones: list[str] = []


encode_command = msgspec.msgpack.Encoder().encode
_decode_command = msgspec.msgpack.Decoder(PutCatalog).decode
_decode_snapshot = msgspec.msgpack.Decoder(_Snapshot).decode


def create(state: CatalogState) -> consensus_tables.StateMachine:
    """Return a state machine that keeps its state in ``state``."""

    def restore(data: bytes) -> None:
        snapshot = _decode_snapshot(data)
        state.version = snapshot.version
        state.body = snapshot.body
        state.evacuation_revision = snapshot.evacuation_revision
        state.evacuated_zones = frozenset(snapshot.evacuated_zones)

    def take_snapshot() -> bytes:
        return encode_command(
            _Snapshot(
                state.version,
                state.body,
                state.evacuation_revision,
                sorted(state.evacuated_zones),
            )
        )

    return consensus_tables.StateMachine(
        apply=lambda data: apply(state, _decode_command(data)),
        snapshot=take_snapshot,
        restore=restore,
    )


def order_zone(zone: str, *, evacuated: bool) -> PutCatalog:
    """Return the command that evacuates a zone or takes it back into use."""
    return PutCatalog(NO_VERSION, b"", ZoneOrder(zone, evacuated))


def apply(state: CatalogState, command: PutCatalog) -> PutResult:
    """Replace the catalog if the new version is the highest so far, or order a zone."""
    if command.zone_order is not None:
        return _apply_zone_order(state, command.zone_order)
    if state.version is not None and command.version <= state.version:
        return PutResult(version=state.version, changed=False)
    state.version = command.version
    state.body = command.body
    return PutResult(version=command.version, changed=True)


def _apply_zone_order(state: CatalogState, order: ZoneOrder) -> PutResult:
    if (order.zone in state.evacuated_zones) == order.evacuated:
        return PutResult(version=state.evacuation_revision, changed=False)
    state.evacuated_zones ^= {order.zone}
    state.evacuation_revision += 1
    return PutResult(version=state.evacuation_revision, changed=True)
