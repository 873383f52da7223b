"""Decode the heartbeats of upstreams and the notices of their end."""

import msgspec
import result

from bitternlever.messages import fleet, integers
from bitternlever.platform import addresses

MILLISECONDS_PER_SECOND = 1_000
MAXIMUM_BYTES = 65_536
MAXIMUM_NAME_LENGTH = 256
STATES = {
    "ready": fleet.UpstreamState.READY,
    "draining": fleet.UpstreamState.DRAINING,
}


class _Heartbeat(msgspec.Struct):
    """``call_seq`` numbers the upstream's calls, ``born`` is its start in Unix ms.

    ``version`` is that of its software, not that of a config or of its weights.
    """

    service: str
    address: str
    zone: str
    state: str
    call_seq: integers.Count
    slot_count: integers.Count
    born: integers.Count = 0
    cold_left_ms: float = 0.0
    version: str = ""


class _Leave(msgspec.Struct):
    born: integers.Count = 0
    call_seq: integers.Count = 0


INVALID_ID = "an id that is empty, too long, or not printable"

_heartbeat_decoder = msgspec.json.Decoder(_Heartbeat)
_leave_decoder = msgspec.json.Decoder(_Leave)

Decoded = result.Result[fleet.UpstreamStatus, str]


def decode_heartbeat(name: str, body: bytes) -> Decoded:
    """Decode a heartbeat; one with any invalid field is refused as a whole."""
    if not _is_id(name):
        return result.Err(INVALID_ID)
    try:
        heartbeat = _heartbeat_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return result.Err(f"a heartbeat that cannot be read: {error}")
    names = (heartbeat.service, heartbeat.address, heartbeat.zone, heartbeat.version)
    if max(map(len, names)) > MAXIMUM_NAME_LENGTH:
        return result.Err(f"a name of more than {MAXIMUM_NAME_LENGTH} characters")
    if not addresses.is_address(heartbeat.address):
        return result.Err(f"address {heartbeat.address!r} is not IP:PORT")
    if heartbeat.state not in STATES:
        return result.Err(f"state {heartbeat.state!r} is unknown")
    if not heartbeat.service or heartbeat.slot_count < 1:
        return result.Err("no service or no slots")
    return result.Ok(
        fleet.UpstreamStatus(
            upstream=name,
            service=heartbeat.service,
            address=heartbeat.address,
            zone=heartbeat.zone,
            slots=heartbeat.slot_count,
            state=STATES[heartbeat.state],
            started_ms=heartbeat.born,
            sequence=heartbeat.call_seq,
            cold_s=heartbeat.cold_left_ms / MILLISECONDS_PER_SECOND,
            software_version=heartbeat.version,
        ),
    )


def decode_leave(name: str, body: bytes) -> Decoded:
    """Decode the notice of an upstream's end; its body is optional."""
    if not _is_id(name):
        return result.Err(INVALID_ID)
    notice = _Leave()
    if body.strip():
        try:
            notice = _leave_decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            return result.Err(f"an end that cannot be read: {error}")
    return result.Ok(
        fleet.UpstreamStatus(
            upstream=name,
            service="",
            address="",
            zone="",
            slots=0,
            state=fleet.UpstreamState.GONE,
            started_ms=notice.born,
            sequence=notice.call_seq,
        ),
    )


def _is_id(name: str) -> bool:
    """Return whether a name can be sent in a header, as the id of an upstream is."""
    return 0 < len(name) <= MAXIMUM_NAME_LENGTH and name.isprintable()
