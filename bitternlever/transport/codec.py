"""Encode and decode frames: MessagePack, which may be compressed, behind a keyed MAC.

Work and its results name many handles that have most of their text in common; on the
narrow links of hosts their bytes are what the batching of stage work is short of.
"""

import hashlib
import hmac
import zlib
from typing import Any

import msgspec
import result

from bitternlever.messages import frames

MAC_BYTES = 16
MAXIMUM_FRAME_BYTES = 16_000_000

MINIMUM_COMPRESSED_BYTES = 512
"""Smaller frames fit into one packet anyway."""

MAXIMUM_COMPRESSED_BYTES = 65_536
"""Larger ones are catalogs and snapshots; compressing them would delay the tick."""

COMPRESSION_LEVEL = 1
COMPRESSED = b"\x78"
"""The first byte of what zlib writes; that of a frame, which is a map, differs."""


ENCODE_ERRORS = (OverflowError, RecursionError, TypeError, UnicodeEncodeError)
"""Raised for messages with values that MessagePack does not have."""

encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(frames.Frame)


class FrameRefused(msgspec.Struct, frozen=True):
    """The refusal of a frame; ``reason`` says what is wrong with it."""

    reason: str


def derive_key(cluster_key: str) -> bytes:
    """Derive the MAC key from the cluster key of the settings."""
    return hashlib.blake2b(cluster_key.encode(), digest_size=32).digest()


def encode(key: bytes, frame: frames.Frame, *, compress: bool = False) -> bytes:
    """Encode a frame, preceded by its keyed BLAKE2b MAC.

    Raise one of ``ENCODE_ERRORS`` if a message of it cannot be encoded.
    """
    payload = encoder.encode(frame)
    if compress and (
        MINIMUM_COMPRESSED_BYTES <= len(payload) <= MAXIMUM_COMPRESSED_BYTES
    ):
        payload = zlib.compress(payload, COMPRESSION_LEVEL)
    return _mac(key, payload) + payload


def decode(key: bytes, data: bytes) -> result.Result[frames.Frame, FrameRefused]:
    """Check the MAC, decode, and check the protocol version."""
    if len(data) < MAC_BYTES or len(data) > MAXIMUM_FRAME_BYTES:
        return result.Err(FrameRefused(reason="invalid frame length"))
    payload = data[MAC_BYTES:]
    if not hmac.compare_digest(data[:MAC_BYTES], _mac(key, payload)):
        return result.Err(FrameRefused(reason="MAC does not match the cluster key"))
    if payload[:1] == COMPRESSED:
        payload = _decompress(payload)
    try:
        frame = decoder.decode(payload)
    except (msgspec.DecodeError, RecursionError):
        return result.Err(FrameRefused(reason="payload cannot be decoded"))
    if frame.version != frames.PROTOCOL_VERSION:
        return result.Err(
            FrameRefused(reason=f"unsupported protocol version {frame.version}")
        )
    return result.Ok(frame)


def _decompress(payload: bytes) -> bytes:
    """Return the payload, empty if it is damaged or larger than any that is sent."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(payload, MAXIMUM_COMPRESSED_BYTES)
    except zlib.error:
        return b""
    return data if decompressor.eof else b""


def fault(message: Any) -> str | None:
    """Return why a message cannot be encoded, None if it can."""
    try:
        encoder.encode(message)
    except ENCODE_ERRORS as error:
        return f"{type(error).__name__}: {error}"
    return None


def _mac(key: bytes, payload: bytes) -> bytes:
    return hashlib.blake2b(payload, key=key, digest_size=MAC_BYTES).digest()
