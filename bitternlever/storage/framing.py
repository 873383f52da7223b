"""Frames of a segment: one for each synced write, protected by a checksum.

A frame is written only after the previous one was synced. So a damaged frame without a
valid frame after it is a torn write and may be truncated; a damaged frame with a valid
one after it is lost data.
"""

import dataclasses
import struct

import google_crc32c

MAGIC = b"BLS1"
HEADER = struct.Struct("<4sIIIQ")
MAXIMUM_FRAME_BYTES = 134_217_728


@dataclasses.dataclass(slots=True)
class Scan:
    """The valid frames of a file up to the first damage or the end.

    ``valid_end`` is the offset after them; ``valid_frame_follows`` is set if there is a
    valid frame after the damage.
    """

    payloads: list[bytes]
    valid_end: int
    damaged: bool
    valid_frame_follows: bool


def encode(group: int, sequence: int, payload: bytes) -> bytes:
    """Return one frame; the checksum covers group, sequence and payload."""
    return frame_header(group, sequence, payload) + payload


def frame_header(group: int, sequence: int, payload: bytes) -> bytes:
    """Return the header of a frame, so that a large payload needs no copy."""
    checksum = _checksum(group, sequence, payload)
    return HEADER.pack(MAGIC, len(payload), checksum, group, sequence)


def scan(data: bytes, group: int) -> Scan:
    """Read frames up to the end of the data or the first damage."""
    payloads = []
    offset = 0
    while offset < len(data):
        payload = _frame_at(data, offset, group)
        if payload is None:
            valid_frame_follows = _has_valid_frame_from(data, offset + 1, group)
            return Scan(
                payloads, offset, damaged=True, valid_frame_follows=valid_frame_follows
            )
        payloads.append(payload)
        offset += HEADER.size + len(payload)
    return Scan(payloads, offset, damaged=False, valid_frame_follows=False)


def _frame_at(data: bytes, offset: int, group: int) -> bytes | None:
    start = offset + HEADER.size
    if start > len(data):
        return None
    magic, length, checksum, frame_group, sequence = HEADER.unpack_from(data, offset)
    if magic != MAGIC or frame_group != group or length > MAXIMUM_FRAME_BYTES:
        return None
    payload = data[start : start + length]
    if len(payload) != length:
        return None
    if _checksum(group, sequence, payload) != checksum:
        return None
    return payload


def _has_valid_frame_from(data: bytes, offset: int, group: int) -> bool:
    position = data.find(MAGIC, offset)
    while position >= 0:
        if _frame_at(data, position, group) is not None:
            return True
        position = data.find(MAGIC, position + 1)
    return False


def _checksum(group: int, sequence: int, payload: bytes) -> int:
    prefix = struct.pack("<IQ", group, sequence)
    return google_crc32c.extend(google_crc32c.value(prefix), payload)
