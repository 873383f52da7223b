"""Tests of the encoding of messages between processes."""

import msgspec

from bitternlever.messages import calls, directory, frames


def test_a_frame_survives_its_encoding():
    message = calls.ControlCall(
        call_id=1,
        group=directory.GROUP,
        command=directory.GetStatus(),
    )
    frame = frames.Frame(
        version=frames.PROTOCOL_VERSION,
        sender="entry-a",
        link="tcp://127.0.0.1:7000",
        incarnation="1",
        sequence=3,
        messages=[message],
    )

    encoded = msgspec.msgpack.encode(frame)

    assert msgspec.msgpack.decode(encoded, type=frames.Frame) == frame
