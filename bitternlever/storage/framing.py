"""Frames of a segment: one for each synced write, behind a checksum.

A frame is written only after the one before it was synced. So a damaged frame with
nothing sound behind it is a torn write and may be cut off; a damaged frame with a
sound one behind it is lost data.
"""

import dataclasses
import struct

import google_crc32c

MAGIC = b"BLS1"
HEADER = struct.Struct("<4sIIIQ")
MAXIMUM_FRAME_BYTES = 134_217_728


@dataclasses.dataclass(slots=True)
class Scan:
    """The sound frames of a file, and where the first damage begins, if any.

    ``sound_after`` tells whether a sound frame stands behind the damage.
    """

    payloads: list[bytes]
    end: int
    damaged: bool
    sound_after: bool


def encode(group: int, sequence: int, payload: bytes) -> bytes:
    """Return one frame; the checksum covers group, sequence and payload."""
    return header(group, sequence, payload) + payload


def header(group: int, sequence: int, payload: bytes) -> bytes:
    """Return what stands before a payload, so that a large one needs no copy."""
    checksum = _checksum(group, sequence, payload)
    return HEADER.pack(MAGIC, len(payload), checksum, group, sequence)


def scan(data: bytes, group: int) -> Scan:
    """Read frames up to the end or the first damage."""
    payloads = []
    offset = 0
    while offset < len(data):
        payload = _frame_at(data, offset, group)
        if payload is None:
            sound_after = _sound_frame_after(data, offset + 1, group)
            return Scan(payloads, offset, damaged=True, sound_after=sound_after)
        payloads.append(payload)
        offset += HEADER.size + len(payload)
    return Scan(payloads, offset, damaged=False, sound_after=False)


def _frame_at(data: bytes, offset: int, group: int) -> bytes | None:
    start = offset + HEADER.size
    if start > len(data):
        return None
    magic, length, checksum, own_group, sequence = HEADER.unpack_from(data, offset)
    if magic != MAGIC or own_group != group or length > MAXIMUM_FRAME_BYTES:
        return None
    payload = data[start : start + length]
    if len(payload) != length:
        return None
    if _checksum(group, sequence, payload) != checksum:
        return None
    return payload


def _sound_frame_after(data: bytes, offset: int, group: int) -> bool:
    found = data.find(MAGIC, offset)
    while found >= 0:
        if _frame_at(data, found, group) is not None:
            return True
        found = data.find(MAGIC, found + 1)
    return False


def _checksum(group: int, sequence: int, payload: bytes) -> int:
    prefix = struct.pack("<IQ", group, sequence)
    return google_crc32c.extend(google_crc32c.value(prefix), payload)
