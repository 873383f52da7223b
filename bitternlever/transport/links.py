"""Links between the system's processes: one pynng socket in, one out to each peer.

Each frame with messages is numbered and acknowledged by the peer's next frame. A
peer that acknowledges nothing for too long is dialled anew on a new connection:
what stands between may have lost track of the old one.
"""

import asyncio
import dataclasses
import logging
from collections.abc import Callable
from typing import Any

import pynng

from bitternlever.messages import frames
from bitternlever.telemetry import events
from bitternlever.transport import codec

SILENCE_S = 1.2
"""Two acknowledgements may be late; a lease of 3 s outlives it and a new dial."""

SLOWEST_BYTES_PER_S = 125_000
"""A fifth of the slowest link of a host (5 Mbit/s), which other frames share."""

ACKNOWLEDGE_WITHIN_S = 0.5
IDLE_PEER_S = 60.0
CHECK_INTERVAL_S = 0.25
MAXIMUM_QUEUED_MESSAGES = 4_096
MAXIMUM_PEERS = 2_048
SEND_BUFFER_FRAMES = 64
RECEIVE_BUFFER_FRAMES = 256
RECEIVE_BURST_FRAMES = 256
RECONNECT_MINIMUM_MS = 50
RECONNECT_MAXIMUM_MS = 500

logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class Peer:
    """The way to one other process; times are monotonic seconds.

    ``unacknowledged_bytes`` were sent since the peer had acknowledged everything.
    A link given by the core stays; one learnt from the peer's frames follows them.
    """

    node: str
    link: str
    socket: pynng.Push0
    learnt: bool
    queued: list[Any] = dataclasses.field(default_factory=list)
    sequence: int = 0
    acknowledged: int = 0
    unacknowledged_since_s: float | None = None
    unacknowledged_bytes: int = 0
    incarnation: str = ""
    received: int = 0
    owes_since_s: float | None = None
    used_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Links:
    """All links of this process and their counters."""

    node: str
    link: str
    incarnation: str
    key: bytes
    clock: Callable[[], float]
    on_message: Callable[[frames.PeerReceived], None]
    pull: pynng.Pull0
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)
    names: dict[str, str] = dataclasses.field(default_factory=dict)
    unsent: list[Peer] = dataclasses.field(default_factory=list)
    timer: asyncio.TimerHandle | None = None
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
    on_message: Callable[[frames.PeerReceived], None],
    bound: str | None = None,
) -> Links:
    """Listen at ``link`` and hand every received message to ``on_message``.

    Peers dial ``link``; ``bound`` is where to listen if something forwards from there.
    Raise OSError when the address cannot be bound.
    """
    pull = pynng.Pull0(
        recv_buffer_size=RECEIVE_BUFFER_FRAMES,
        recv_max_size=codec.MAXIMUM_FRAME_BYTES,
    )
    try:
        pull.listen(bound or link)
    except pynng.NNGException as error:
        raise OSError(f"cannot listen at {bound or link}: {error}") from error
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
    links.timer = loop.call_later(CHECK_INTERVAL_S, _check, links)
    return links


def send(links: Links, message: frames.SendPeer) -> None:
    """Queue a message for a peer until the next flush; a full queue drops it.

    A peer whose name is not known yet is named by its address.
    """
    node = links.names.get(message.node, message.node)
    peer = _peer(links, node, message.link, learnt=False)
    if peer is None or len(peer.queued) >= MAXIMUM_QUEUED_MESSAGES:
        links.dropped += 1
        return
    if not peer.queued:
        links.unsent.append(peer)
    peer.queued.append(message.message)


def flush(links: Links) -> None:
    """Send every queue as one frame."""
    unsent = links.unsent
    links.unsent = []
    for peer in unsent:
        if peer.queued:
            _send_frame(links, peer)


def close(links: Links) -> None:
    """Close all sockets; what is still queued is lost."""
    asyncio.get_running_loop().remove_reader(links.pull.recv_fd)
    if links.timer is not None:
        links.timer.cancel()
    links.pull.close()
    for peer in links.peers.values():
        peer.socket.close()


def _peer(links: Links, node: str, link: str | None, learnt: bool) -> Peer | None:
    peer = links.peers.get(node)
    if peer is not None:
        _follow_link(links, peer, link, learnt)
        return peer
    if link is None or len(links.peers) >= MAXIMUM_PEERS:
        return None
    peer = Peer(
        node=node,
        link=link,
        socket=_dial(link),
        learnt=learnt,
        used_s=links.clock(),
    )
    links.peers[node] = peer
    return peer


def _follow_link(links: Links, peer: Peer, link: str | None, learnt: bool) -> None:
    if link is None or (learnt and not peer.learnt):
        return
    peer.learnt = learnt
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
    _all_acknowledged(peer)
    links.redialled += 1


def _send_frame(links: Links, peer: Peer) -> None:
    now = links.clock()
    messages = peer.queued
    peer.queued = []
    if messages:
        peer.sequence += 1
        peer.used_s = now
    frame = frames.Frame(
        version=frames.PROTOCOL_VERSION,
        sender=links.node,
        link=links.link,
        incarnation=links.incarnation,
        sequence=peer.sequence if messages else 0,
        messages=messages,
        acknowledged=peer.received,
    )
    data = codec.encode(links.key, frame)
    try:
        peer.socket.send(data, block=False)
    except pynng.exceptions.TryAgain:
        links.dropped += len(messages)
    else:
        links.frames_sent += 1
        links.bytes_sent += len(data)
    peer.owes_since_s = None
    if not messages:
        return
    peer.unacknowledged_bytes += len(data)
    if peer.unacknowledged_since_s is None:
        peer.unacknowledged_since_s = now


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
    _note_received(links, frame)
    for message in frame.messages:
        links.on_message(
            frames.PeerReceived(node=frame.sender, link=frame.link, message=message),
        )


def _note_received(links: Links, frame: frames.Frame) -> None:
    _learn_name(links, frame)
    peer = _peer(links, frame.sender, frame.link, learnt=True)
    if peer is None:
        return
    now = links.clock()
    if peer.incarnation != frame.incarnation:
        _follow_restart(links, peer)
        peer.incarnation = frame.incarnation
        peer.received = 0
    if frame.messages:
        peer.received = max(peer.received, frame.sequence)
        peer.used_s = now
        if peer.owes_since_s is None:
            peer.owes_since_s = now
    if frame.acknowledged > peer.acknowledged:
        peer.acknowledged = frame.acknowledged
        peer.unacknowledged_since_s = now
    if peer.acknowledged >= peer.sequence:
        _all_acknowledged(peer)


def _all_acknowledged(peer: Peer) -> None:
    peer.unacknowledged_since_s = None
    peer.unacknowledged_bytes = 0


def _follow_restart(links: Links, peer: Peer) -> None:
    """Dial a peer that has started again.

    Its former connection may hang unnoticed, and so may a dial begun while it was down.
    """
    if peer.incarnation:
        _redial(links, peer, peer.link)


def _learn_name(links: Links, frame: frames.Frame) -> None:
    """Give a peer that was named by its address its own name."""
    links.names[frame.link] = frame.sender
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
    links.timer = loop.call_later(CHECK_INTERVAL_S, _check, links)


def _check_peer(links: Links, peer: Peer, now: float) -> None:
    if now - peer.used_s > IDLE_PEER_S:
        peer.socket.close()
        del links.peers[peer.node]
        links.names.pop(peer.link, None)
        return
    if peer.owes_since_s is not None and now - peer.owes_since_s > ACKNOWLEDGE_WITHIN_S:
        _send_frame(links, peer)
    since_s = peer.unacknowledged_since_s
    if since_s is not None and now - since_s > _patience_s(peer):
        events.LINK_SILENT.log(logger, node=peer.node, link=peer.link)
        _redial(links, peer, peer.link)


def _patience_s(peer: Peer) -> float:
    """Return how long a peer may take to acknowledge; a large frame needs longer."""
    return SILENCE_S + peer.unacknowledged_bytes / SLOWEST_BYTES_PER_S
