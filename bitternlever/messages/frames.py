"""The wire frame between the system's own processes.

One frame carries all messages of one tick for one peer. The transport encodes it as
MessagePack, preceded by a keyed MAC.
"""

import msgspec

from bitternlever.messages import calls, consensus, fleet, gossip

PROTOCOL_VERSION = 1

PeerMessage = (
    calls.ControlCall
    | calls.ControlReply
    | calls.ControlRedirect
    | calls.ControlBusy
    | calls.ControlUncertain
    | calls.OrphansWaiting
    | calls.ManifestChanged
    | calls.CancelledHint
    | calls.WatchedHint
    | gossip.Gossip
    | consensus.VoteRequest
    | consensus.VoteReply
    | consensus.TimeoutNow
    | consensus.AppendRequest
    | consensus.AppendReply
    | consensus.SnapshotRequest
    | consensus.SnapshotReply
    | consensus.IdentityRequest
    | consensus.IdentityReply
    | fleet.Message
)


class Frame(msgspec.Struct, frozen=True):
    """Messages from one process to another.

    ``link`` is the address on which the sender listens; ``incarnation`` changes when
    the sender restarts. ``sequence`` numbers the sender's frames to this peer that
    contain messages, and is 0 in a frame without messages. ``acknowledged`` is the
    newest sequence number received from the peer. Version 0.10 does not read
    compressed frames.
    """

    version: int
    sender: str
    link: str
    incarnation: str
    sequence: int
    messages: list[PeerMessage]
    acknowledged: int = 0
    reads_compressed: bool = False


class SendToPeer(msgspec.Struct, tag=True):
    """Send a message from a core to a peer; ``link`` is set if the peer is new."""

    node: str
    message: PeerMessage
    link: str | None = None


class PeerMessageReceived(msgspec.Struct, tag=True):
    """A message received from another process, for a core."""

    node: str
    link: str
    message: PeerMessage
