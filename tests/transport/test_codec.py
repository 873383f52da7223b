"""Frames are authenticated, bounded and versioned."""

import msgspec
from hypothesis import given, settings, strategies

from bitternlever.messages import calls, directory, frames
from bitternlever.transport import codec

KEY = codec.derive_key("a key of the cluster")


def frame(version=frames.PROTOCOL_VERSION):
    call = calls.ControlCall(call_id=1, group=0, command=directory.GetManifest())
    return frames.Frame(
        version=version,
        sender="entry-a",
        link="tcp://127.0.0.1:7000",
        incarnation="1",
        sequence=1,
        messages=[call],
    )


def test_a_decoded_frame_equals_the_encoded_one():
    assert codec.decode(KEY, codec.encode(KEY, frame())).ok() == frame()


def test_a_frame_of_another_cluster_key_is_refused():
    other = codec.derive_key("a key of another cluster")

    assert "MAC" in codec.decode(KEY, codec.encode(other, frame())).err().reason


def test_another_protocol_version_is_refused():
    data = codec.encode(KEY, frame(version=frames.PROTOCOL_VERSION + 1))

    assert "version" in codec.decode(KEY, data).err().reason


@settings(derandomize=True, database=None, deadline=None, max_examples=300)
@given(strategies.binary(max_size=400))
def test_any_authenticated_bytes_are_decoded_or_refused(payload):
    data = codec._mac(KEY, payload) + payload

    outcome = codec.decode(KEY, data)

    assert outcome.is_err() or isinstance(outcome.ok(), frames.Frame)


@settings(derandomize=True, database=None, deadline=None, max_examples=300)
@given(strategies.data())
def test_a_damaged_frame_is_refused(data):
    encoded = bytearray(codec.encode(KEY, frame()))
    position = data.draw(strategies.integers(0, len(encoded) - 1))
    encoded[position] ^= data.draw(strategies.integers(1, 255))

    assert codec.decode(KEY, bytes(encoded)).is_err()


def test_an_encoded_frame_carries_no_key():
    encoded = codec.encode(KEY, frame())

    assert KEY not in encoded
    assert msgspec.msgpack.decode(encoded[codec.MAC_BYTES :])["sender"] == "entry-a"
