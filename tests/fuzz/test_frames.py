"""Bytes on a link are either a frame of this cluster or refused with a reason."""

import hypothesis
import msgspec
from hypothesis import strategies

from bitternlever.messages import calls, directory, frames
from bitternlever.transport import codec
from tests.fuzz import examples

KEY = codec.derive_key("the key of the fuzz tests")
FRAME = frames.Frame(
    version=frames.PROTOCOL_VERSION,
    sender="entry-a",
    link="tcp://127.0.0.1:7000",
    incarnation="1",
    sequence=3,
    messages=[calls.ControlCall(1, directory.GROUP, directory.GetStatus())],
)
PAYLOAD = msgspec.msgpack.encode(FRAME)


def with_mac(payload):
    """Return the payload after the MAC that its sender would compute."""
    encoded = codec.encode(KEY, FRAME)
    assert encoded[codec.MAC_BYTES :] == PAYLOAD
    return codec._mac(KEY, payload) + payload


@examples.settings(share=4.0)
@hypothesis.given(data=strategies.binary(max_size=300))
def test_any_bytes_are_refused(data):
    assert codec.decode(KEY, data).is_err()


@examples.settings(share=4.0)
@hypothesis.given(payload=strategies.binary(max_size=300))
def test_any_payload_with_a_valid_mac_is_decoded_or_refused(payload):
    outcome = codec.decode(KEY, with_mac(payload))

    assert outcome.is_ok() or outcome.err().reason


@examples.settings(share=4.0)
@hypothesis.given(
    position=strategies.integers(0, len(PAYLOAD) - 1),
    byte=strategies.integers(0, 255),
    cut=strategies.booleans(),
)
def test_a_changed_frame_is_refused(position, byte, cut):
    encoded = bytearray(codec.encode(KEY, FRAME))
    if cut:
        del encoded[position:]
    else:
        encoded[position] ^= byte or 1

    assert codec.decode(KEY, bytes(encoded)).is_err()


@examples.settings(share=4.0)
@hypothesis.given(
    position=strategies.integers(0, len(PAYLOAD) - 1),
    byte=strategies.integers(0, 255),
)
def test_a_frame_of_another_version_of_the_system_is_decoded_or_refused(position, byte):
    payload = bytearray(PAYLOAD)
    payload[position] = byte

    outcome = codec.decode(KEY, with_mac(bytes(payload)))

    assert outcome.is_ok() or outcome.err().reason
