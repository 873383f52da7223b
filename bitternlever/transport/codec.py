"""Encode and decode frames: MessagePack behind a keyed MAC."""

import hashlib
import hmac
from typing import Any

import msgspec
import result

from bitternlever.messages import frames

MAC_BYTES = 16
MAXIMUM_FRAME_BYTES = 16_000_000

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


def encode(key: bytes, frame: frames.Frame) -> bytes:
    """Encode a frame, preceded by its keyed BLAKE2b MAC.

    Raise one of ``ENCODE_ERRORS`` if a message of it cannot be encoded.
    """
    payload = encoder.encode(frame)
    return _mac(key, payload) + payload


def decode(key: bytes, data: bytes) -> result.Result[frames.Frame, FrameRefused]:
    """Check the MAC, decode, and check the protocol version."""
    if len(data) < MAC_BYTES or len(data) > MAXIMUM_FRAME_BYTES:
        return result.Err(FrameRefused(reason="invalid frame length"))
    payload = data[MAC_BYTES:]
    if not hmac.compare_digest(data[:MAC_BYTES], _mac(key, payload)):
        return result.Err(FrameRefused(reason="MAC does not match the cluster key"))
    try:
        frame = decoder.decode(payload)
    except (msgspec.DecodeError, RecursionError):
        return result.Err(FrameRefused(reason="payload cannot be decoded"))
    if frame.version != frames.PROTOCOL_VERSION:
        return result.Err(
            FrameRefused(reason=f"unsupported protocol version {frame.version}")
        )
    return result.Ok(frame)


def fault(message: Any) -> str | None:
    """Return why a message cannot be encoded, None if it can."""
    try:
        encoder.encode(message)
    except ENCODE_ERRORS as error:
        return f"{type(error).__name__}: {error}"
    return None


def _mac(key: bytes, payload: bytes) -> bytes:
    return hashlib.blake2b(payload, key=key, digest_size=MAC_BYTES).digest()
