"""Changes from one catalog body to the next, of which most is the same.

A change lists runs of segments of the earlier body and the bytes between them. The
segments are what stands between two opening braces, so that each object of a JSON body
begins one; a body of another format is one segment.
"""

import hashlib
import zlib

import msgspec
import result

SEPARATOR = b"{"
DIGEST_BYTES = 16

COMPRESSION_LEVEL = 1
"""Higher levels take several times as long and save a tenth."""

MAXIMUM_BODY_BYTES = 16_000_000
"""The largest body that is accepted from operators."""


class _Run(msgspec.Struct, array_like=True):
    """Consecutive segments of the earlier body."""

    first: int
    count: int


_encode_parts = msgspec.msgpack.Encoder().encode
_decode_parts = msgspec.msgpack.Decoder(list[_Run | bytes]).decode


def digest(body: bytes) -> bytes:
    """Return what a body that was put together from a change is compared with."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()


def encode(base: bytes, body: bytes) -> bytes:
    """Return the compressed change from ``base``, which may be empty, to ``body``."""
    base_segments = base.split(SEPARATOR)
    position = {segment: number for number, segment in enumerate(base_segments)}
    parts: list[_Run | list[bytes]] = []
    for segment in body.split(SEPARATOR):
        last = parts[-1] if parts else None
        if isinstance(last, _Run) and _follows(base_segments, last, segment):
            last.count += 1
        elif segment in position:
            parts.append(_Run(position[segment], 1))
        elif isinstance(last, list):
            last.append(segment)
        else:
            parts.append([segment])
    data = _encode_parts(
        [part if isinstance(part, _Run) else SEPARATOR.join(part) for part in parts]
    )
    return zlib.compress(data, COMPRESSION_LEVEL)


def apply(base: bytes, change: bytes) -> result.Result[bytes, str]:
    """Return the body that a change leads to from ``base``, or why there is none."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(change, 2 * MAXIMUM_BODY_BYTES)
        parts = _decode_parts(data)
    except (zlib.error, msgspec.DecodeError) as error:
        return result.Err(f"the change cannot be read: {error}")
    base_segments = base.split(SEPARATOR)
    segments: list[bytes] = []
    size = 0
    for part in parts:
        if isinstance(part, bytes):
            added = [part]
        else:
            added = base_segments[part.first : part.first + part.count]
            if part.first < 0 or len(added) != part.count:
                return result.Err("the change refers to another base")
        size += sum(map(len, added))
        if size > MAXIMUM_BODY_BYTES:
            return result.Err(f"the body is larger than {MAXIMUM_BODY_BYTES} bytes")
        segments += added
    return result.Ok(SEPARATOR.join(segments))


def _follows(base_segments: list[bytes], run: _Run, segment: bytes) -> bool:
    following = run.first + run.count
    return following < len(base_segments) and base_segments[following] == segment
