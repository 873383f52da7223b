"""Servers' words on themselves."""

import msgspec
import result

from bitternlever.messages import fleet

MILLISECONDS = 1_000
MAXIMUM_BYTES = 65_536
MAXIMUM_NAME_LENGTH = 256
STATES = {
    "ready": fleet.UpstreamState.READY,
    "draining": fleet.UpstreamState.DRAINING,
}


class _Beat(msgspec.Struct):
    """``call_seq`` counts the server's calls, ``born`` is its start in Unix ms."""

    service: str
    address: str
    zone: str
    state: str
    call_seq: int
    slot_count: int
    born: int = 0
    cold_left_ms: float = 0.0


class _Leave(msgspec.Struct):
    born: int = 0
    call_seq: int = 0


_beats = msgspec.json.Decoder(_Beat)
_leaves = msgspec.json.Decoder(_Leave)

Decoded = result.Result[fleet.UpstreamWord, str]


def heartbeat(name: str, body: bytes) -> Decoded:
    """Decode a heartbeat; nothing of a faulty one is taken."""
    if not name or len(name) > MAXIMUM_NAME_LENGTH:
        return result.Err("an id that is empty or too long")
    try:
        beat = _beats.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return result.Err(f"a heartbeat that cannot be read: {error}")
    host, _, port = beat.address.rpartition(":")
    if not host or not port.isdigit():
        return result.Err(f"address {beat.address!r} is not IP:PORT")
    if beat.state not in STATES:
        return result.Err(f"state {beat.state!r} is unknown")
    if not beat.service or beat.slot_count < 1:
        return result.Err("no service or no slots")
    return result.Ok(
        fleet.UpstreamWord(
            upstream=name,
            service=beat.service,
            address=beat.address,
            zone=beat.zone,
            slots=beat.slot_count,
            state=STATES[beat.state],
            started_ms=beat.born,
            number=beat.call_seq,
            cold_s=beat.cold_left_ms / MILLISECONDS,
        ),
    )


def leave(name: str, body: bytes) -> Decoded:
    """Decode a server's end; a body is optional."""
    if not name or len(name) > MAXIMUM_NAME_LENGTH:
        return result.Err("an id that is empty or too long")
    word = _Leave()
    if body.strip():
        try:
            word = _leaves.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            return result.Err(f"an end that cannot be read: {error}")
    return result.Ok(
        fleet.UpstreamWord(
            upstream=name,
            service="",
            address="",
            zone="",
            slots=0,
            state=fleet.UpstreamState.GONE,
            started_ms=word.born,
            number=word.call_seq,
        ),
    )
