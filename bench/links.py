"""Measure the processor time of frames over a link on loopback."""

import argparse
import asyncio
import json
import socket
import time

from bitternlever.messages import calls, directory, frames
from bitternlever.transport import links

MICROSECONDS_PER_S = 1_000_000
TIMEOUT_S = 30.0
BURST_FRAMES = 50


def run(arguments: list[str]) -> int:
    """Print one line for each number of messages per frame and return 0."""
    parser = argparse.ArgumentParser(prog="links", description=__doc__)
    parser.add_argument("--frames", type=int, default=5_000)
    parser.add_argument("--messages", type=int, nargs="*", default=[1, 10, 100])
    options = parser.parse_args(arguments)
    for messages in options.messages:
        asyncio.run(_measure(options.frames, messages))
    return 0


async def _measure(frame_count: int, messages_per_frame: int) -> None:
    received: list[frames.PeerMessageReceived] = []
    sender = _listen("entry-a", received)
    receiver = _listen("control-a", received)
    call = calls.ControlCall(
        call_id=100_000,
        group=0,
        command=directory.RenewHostLease(host="a", epoch=1, manifest_number=1),
    )
    outgoing = frames.SendToPeer(node="control-a", message=call, link=receiver.link)
    started_s = time.process_time()
    for number in range(frame_count):
        for _ in range(messages_per_frame):
            links.send(sender, outgoing)
        links.flush(sender)
        if number % BURST_FRAMES == 0:
            await _wait_for_messages(received, (number + 1) * messages_per_frame)
    await _wait_for_messages(received, frame_count * messages_per_frame)
    cost_us = (time.process_time() - started_s) / frame_count * MICROSECONDS_PER_S
    line = {
        "experiment": "link",
        "messages_in_a_frame": messages_per_frame,
        "both_ends_us_a_frame": round(cost_us, 1),
        "both_ends_us_a_message": round(cost_us / messages_per_frame, 1),
        "bytes_a_frame": sender.bytes_sent // sender.frames_sent,
        "dropped": sender.dropped,
    }
    print(json.dumps(line), flush=True)
    links.close(sender)
    links.close(receiver)


def _listen(node: str, received: list[frames.PeerMessageReceived]) -> links.Links:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    return links.listen(
        node=node,
        link=f"tcp://127.0.0.1:{port}",
        incarnation="0" * 32,
        cluster_key="a key for this experiment",
        clock=time.monotonic,
        on_message=received.append,
    )


async def _wait_for_messages(
    received: list[frames.PeerMessageReceived], count: int
) -> None:
    """Wait for ``count`` messages; raise TimeoutError if a frame was dropped."""
    deadline_s = time.monotonic() + TIMEOUT_S
    while len(received) < count:
        if time.monotonic() > deadline_s:
            raise TimeoutError(f"{len(received)} of {count} messages arrived")
        await asyncio.sleep(0)
