"""Links between the system's processes over pynng sockets.

A process has one socket to receive and, for each peer, one to send. Each frame with
messages is numbered and acknowledged by the peer's next frame. A peer that acknowledges
nothing for too long is redialled on a new connection, since a device on the path may
have lost track of the old one.

``link`` in names is the address at which a process listens for its peers.
"""

import asyncio
import dataclasses
import logging
from collections.abc import Callable
from typing import Any

import pynng

from bitternlever.messages import fleet, frames
from bitternlever.telemetry import events
from bitternlever.transport import codec

BASE_ACKNOWLEDGEMENT_TIMEOUT_S = 1.2
"""Allows for two late acknowledgements; a lease of 3 s outlasts it and a redial."""

MINIMUM_LINK_BYTES_PER_S = 125_000
"""A fifth of the slowest link of a host (5 Mbit/s), which is shared by other frames."""

ACKNOWLEDGEMENT_DELAY_S = 0.5
PEER_IDLE_TIMEOUT_S = 60.0
CHECK_INTERVAL_S = 0.25
MAXIMUM_QUEUED_MESSAGES = 4_096
MAXIMUM_PEERS = 2_048
SEND_BUFFER_FRAMES = 64
RECEIVE_BUFFER_FRAMES = 256
RECEIVE_BURST_FRAMES = 256
RECONNECT_MINIMUM_MS = 50
RECONNECT_MAXIMUM_MS = 500

COMPRESSED_MESSAGES = (fleet.CatalogChanged,)
"""Messages whose content was compressed once for all peers."""

logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class Peer:
    """The state of sending to one other process; times are monotonic seconds.

    ``unacknowledged_bytes`` counts the bytes sent since the peer last had acknowledged
    everything. A link given by the core is kept; one learned from the peer's frames
    (``link_learned``) is updated by them. ``incarnation`` is that of the peer's last
    frame, empty before the first; ``last_received_s`` is when that frame came, and
    ``reads_compressed`` what it said.
    """

    node: str
    link: str
    socket: pynng.Push0
    link_learned: bool
    queued: list[Any] = dataclasses.field(default_factory=list)
    sent_sequence: int = 0
    acknowledged_sequence: int = 0
    unacknowledged_since_s: float | None = None
    unacknowledged_bytes: int = 0
    incarnation: str = ""
    received_sequence: int = 0
    acknowledgement_due_since_s: float | None = None
    last_used_s: float = 0.0
    last_received_s: float | None = None
    reads_compressed: bool = False


@dataclasses.dataclass(slots=True)
class Links:
    """The links of this process and their counters."""

    node: str
    link: str
    incarnation: str
    key: bytes
    clock: Callable[[], float]
    on_message: Callable[[frames.PeerMessageReceived], None]
    pull: pynng.Pull0
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)
    node_by_link: dict[str, str] = dataclasses.field(default_factory=dict)
    unflushed: list[Peer] = dataclasses.field(default_factory=list)
    check_timer: asyncio.TimerHandle | None = None
    frames_sent: int = 0
    bytes_sent: int = 0
    frames_received: int = 0
    bytes_received: int = 0
    dropped: int = 0
    refused: int = 0
    redialled: int = 0


def listen(
    node: str,
    link: str,
    incarnation: str,
    cluster_key: str,
    clock: Callable[[], float],
    on_message: Callable[[frames.PeerMessageReceived], None],
    bind_address: str | None = None,
) -> Links:
    """Listen at ``link`` and pass every received message to ``on_message``.

    Peers dial ``link``; ``bind_address`` is the address to bind where ``link`` is
    forwarded. Raise OSError if the address cannot be bound.
    """
    pull = pynng.Pull0(
        recv_buffer_size=RECEIVE_BUFFER_FRAMES,
        recv_max_size=codec.MAXIMUM_FRAME_BYTES,
    )
    try:
        pull.listen(bind_address or link)
    except pynng.NNGException as error:
        raise OSError(f"cannot listen at {bind_address or link}: {error}") from error
    links = Links(
        node=node,
        link=link,
        incarnation=incarnation,
        key=codec.derive_key(cluster_key),
        clock=clock,
        on_message=on_message,
        pull=pull,
    )
    loop = asyncio.get_running_loop()
    loop.add_reader(pull.recv_fd, _receive_burst, links)
    links.check_timer = loop.call_later(CHECK_INTERVAL_S, _check, links)
    return links


def send(links: Links, message: frames.SendToPeer) -> None:
    """Queue a message for a peer until the next flush; a full queue drops it.

    A peer whose name is not known yet is addressed by its link.
    """
    node = links.node_by_link.get(message.node, message.node)
    peer = _get_or_add_peer(links, node, message.link, link_learned=False)
    if peer is None or len(peer.queued) >= MAXIMUM_QUEUED_MESSAGES:
        links.dropped += 1
        return
    if not peer.queued:
        links.unflushed.append(peer)
    peer.queued.append(message.message)


def flush(links: Links) -> None:
    """Send the queue of each peer as one frame."""
    unflushed = links.unflushed
    links.unflushed = []
    for peer in unflushed:
        if peer.queued:
            _send_frame(links, peer)


def close(links: Links) -> None:
    """Close all sockets; queued messages are lost."""
    asyncio.get_running_loop().remove_reader(links.pull.recv_fd)
    if links.check_timer is not None:
        links.check_timer.cancel()
    links.pull.close()
    for peer in links.peers.values():
        peer.socket.close()


def silent_s(links: Links, link: str, now: float) -> float | None:
    """Return the time since the last frame of a peer, None if it sent none."""
    peer = links.peers.get(links.node_by_link.get(link, link))
    if peer is None or peer.last_received_s is None:
        return None
    return now - peer.last_received_s


def oldest_unacknowledged_s(links: Links, now: float) -> float:
    """Return how long the slowest peer has acknowledged nothing that it was sent."""
    return max(
        (
            now - peer.unacknowledged_since_s
            for peer in links.peers.values()
            if peer.unacknowledged_since_s is not None
        ),
        default=0.0,
    )


def _get_or_add_peer(
    links: Links, node: str, link: str | None, link_learned: bool
) -> Peer | None:
    peer = links.peers.get(node)
    if peer is not None:
        _update_link(links, peer, link, link_learned)
        return peer
    if link is None or len(links.peers) >= MAXIMUM_PEERS:
        return None
    peer = Peer(
        node=node,
        link=link,
        socket=_dial(link),
        link_learned=link_learned,
        last_used_s=links.clock(),
    )
    links.peers[node] = peer
    return peer


def _update_link(
    links: Links, peer: Peer, link: str | None, link_learned: bool
) -> None:
    if link is None or (link_learned and not peer.link_learned):
        return
    peer.link_learned = link_learned
    if peer.link != link:
        _redial(links, peer, link)


def _dial(link: str) -> pynng.Push0:
    socket = pynng.Push0(
        send_buffer_size=SEND_BUFFER_FRAMES,
        reconnect_time_min=RECONNECT_MINIMUM_MS,
        reconnect_time_max=RECONNECT_MAXIMUM_MS,
    )
    socket.dial(link, block=False)
    return socket


def _redial(links: Links, peer: Peer, link: str) -> None:
    peer.socket.close()
    peer.link = link
    peer.socket = _dial(link)
    _clear_unacknowledged(peer)
    links.redialled += 1


def _send_frame(links: Links, peer: Peer) -> None:
    """Send the queued messages, or an acknowledgement if there are none."""
    now = links.clock()
    messages = peer.queued
    peer.queued = []
    try:
        data = _encode(links, peer, messages)
    except codec.ENCODE_ERRORS:
        messages = _without_faulty(links, peer, messages)
        if not messages:
            return
        data = _encode(links, peer, messages)
    if messages:
        peer.sent_sequence += 1
        peer.last_used_s = now
    try:
        peer.socket.send(data, block=False)
    except pynng.exceptions.TryAgain:
        links.dropped += len(messages)
    else:
        links.frames_sent += 1
        links.bytes_sent += len(data)
    peer.acknowledgement_due_since_s = None
    if not messages:
        return
    peer.unacknowledged_bytes += len(data)
    if peer.unacknowledged_since_s is None:
        peer.unacknowledged_since_s = now


def _encode(links: Links, peer: Peer, messages: list[Any]) -> bytes:
    """Encode the next frame for a peer."""
    frame = frames.Frame(
        version=frames.PROTOCOL_VERSION,
        sender=links.node,
        link=links.link,
        incarnation=links.incarnation,
        sequence=peer.sent_sequence + 1 if messages else 0,
        messages=messages,
        acknowledged=peer.received_sequence,
        reads_compressed=True,
    )
    is_compressed = any(isinstance(each, COMPRESSED_MESSAGES) for each in messages)
    compress = peer.reads_compressed and not is_compressed
    return codec.encode(links.key, frame, compress=compress)


def _without_faulty(links: Links, peer: Peer, messages: list[Any]) -> list[Any]:
    """Drop the messages that cannot be encoded, so that the others are sent."""
    sound = []
    for message in messages:
        fault = codec.fault(message)
        if fault is None:
            sound.append(message)
            continue
        links.dropped += 1
        events.MESSAGE_DROPPED.log(
            logger, node=peer.node, message=type(message).__name__, reason=fault
        )
    return sound


def _receive_burst(links: Links) -> None:
    for _ in range(RECEIVE_BURST_FRAMES):
        try:
            data = links.pull.recv(block=False)
        except pynng.exceptions.TryAgain:
            return
        _receive(links, data)
    asyncio.get_running_loop().call_soon(_receive_burst, links)


def _receive(links: Links, data: bytes) -> None:
    links.frames_received += 1
    links.bytes_received += len(data)
    outcome = codec.decode(links.key, data)
    if outcome.is_err():
        links.refused += 1
        events.FRAME_REFUSED.log(logger, reason=outcome.err().reason)
        return
    frame = outcome.ok()
    _record_frame(links, frame)
    for message in frame.messages:
        links.on_message(
            frames.PeerMessageReceived(
                node=frame.sender, link=frame.link, message=message
            ),
        )


def _record_frame(links: Links, frame: frames.Frame) -> None:
    _register_name(links, frame)
    peer = _get_or_add_peer(links, frame.sender, frame.link, link_learned=True)
    if peer is None:
        return
    now = links.clock()
    peer.last_received_s = now
    peer.reads_compressed = frame.reads_compressed
    if peer.incarnation != frame.incarnation:
        _redial_after_restart(links, peer)
        peer.incarnation = frame.incarnation
        peer.received_sequence = 0
    if frame.messages:
        peer.received_sequence = max(peer.received_sequence, frame.sequence)
        peer.last_used_s = now
        if peer.acknowledgement_due_since_s is None:
            peer.acknowledgement_due_since_s = now
    if frame.acknowledged > peer.acknowledged_sequence:
        peer.acknowledged_sequence = frame.acknowledged
        peer.unacknowledged_since_s = now
    if peer.acknowledged_sequence >= peer.sent_sequence:
        _clear_unacknowledged(peer)


def _clear_unacknowledged(peer: Peer) -> None:
    peer.unacknowledged_since_s = None
    peer.unacknowledged_bytes = 0


def _redial_after_restart(links: Links, peer: Peer) -> None:
    """Redial a peer that has restarted, at the same link.

    The previous connection may hang unnoticed, and so may a dial that was started while
    the peer was down. The first frame of a peer, before which its ``incarnation`` is
    empty, is no restart.
    """
    if peer.incarnation:
        _redial(links, peer, peer.link)


def _register_name(links: Links, frame: frames.Frame) -> None:
    """Register a peer under its name if it was known by its link alone."""
    links.node_by_link[frame.link] = frame.sender
    unnamed = links.peers.pop(frame.link, None)
    if unnamed is None:
        return
    if frame.sender in links.peers:
        unnamed.socket.close()
        return
    unnamed.node = frame.sender
    links.peers[frame.sender] = unnamed


def _check(links: Links) -> None:
    now = links.clock()
    for peer in list(links.peers.values()):
        _check_peer(links, peer, now)
    loop = asyncio.get_running_loop()
    links.check_timer = loop.call_later(CHECK_INTERVAL_S, _check, links)


def _check_peer(links: Links, peer: Peer, now: float) -> None:
    if now - peer.last_used_s > PEER_IDLE_TIMEOUT_S:
        peer.socket.close()
        del links.peers[peer.node]
        links.node_by_link.pop(peer.link, None)
        return
    if (
        peer.acknowledgement_due_since_s is not None
        and now - peer.acknowledgement_due_since_s > ACKNOWLEDGEMENT_DELAY_S
    ):
        _send_frame(links, peer)
    since_s = peer.unacknowledged_since_s
    if since_s is not None and now - since_s > _acknowledgement_timeout_s(peer):
        events.LINK_SILENT.log(logger, node=peer.node, link=peer.link)
        _redial(links, peer, peer.link)


def _acknowledgement_timeout_s(peer: Peer) -> float:
    """Return how long a peer may take to acknowledge; large frames get longer."""
    return (
        BASE_ACKNOWLEDGEMENT_TIMEOUT_S
        + peer.unacknowledged_bytes / MINIMUM_LINK_BYTES_PER_S
    )
