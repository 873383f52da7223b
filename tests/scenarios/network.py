"""A scripted network: it loses, delays, crosses and cuts what processes send."""

import dataclasses
from typing import Any

import msgspec

from bitternlever.messages import calls, frames, requests
from tests.scenarios import world

LATENCY_S = 0.0005
JITTER_S = 0.0005
DECODER = msgspec.msgpack.Decoder(frames.PeerMessage)


@dataclasses.dataclass(slots=True)
class Network:
    """Which ways are cut, what share is lost, and how late the last message was.

    A way is (sender, receiver). Messages on one way keep their order, unless
    ``crossing_s`` lets each be late by up to that much on its own.
    """

    cut: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    losses: dict[str, int] = dataclasses.field(default_factory=dict)
    loss_share: dict[str, float] = dataclasses.field(default_factory=dict)
    delays_s: dict[str, float] = dataclasses.field(default_factory=dict)
    crossing_s: float = 0.0
    last_s: dict[tuple[str, str], float] = dataclasses.field(default_factory=dict)


def names(message: Any) -> list[str]:
    """Return the names by which a scenario may mean a message."""
    inner = message
    match message:
        case calls.ControlCall():
            inner = message.command
        case calls.ControlReply():
            inner = message.reply
        case frames.SendPeer() | frames.PeerReceived():
            return names(message.message)
        case requests.CallUpstream():
            return ["CallUpstream", f"{message.call.binding.stage} call"]
    both = [type(message).__name__, type(inner).__name__]
    return both[:1] if inner is message else both


def send(
    here: world.World,
    network: Network,
    sender: str,
    sent: frames.SendPeer,
) -> None:
    """Carry a message between processes, through its encoding on the wire."""
    target = _target(sent)
    if _is_lost(here, network, (sender, target), sent):
        return
    message = DECODER.decode(msgspec.msgpack.encode(sent.message))
    received = frames.PeerReceived(node=sender, link=link(sender), message=message)
    delay_s = _delay(here, network, (sender, target), sent.message)

    def arrive() -> None:
        receiver = here.processes.get(target)
        if receiver is not None and (sender, target) not in network.cut:
            world.deliver(here, receiver, received)

    world.after(here, delay_s, arrive)


def link(name: str) -> str:
    """Return the address at which a process listens."""
    return f"tcp://{name}:7000"


def _target(sent: frames.SendPeer) -> str:
    """Return the process at the message's link: its name may not be known."""
    if sent.link is None:
        return sent.node
    return sent.link.removeprefix("tcp://").removesuffix(":7000")


def isolate(network: Network, name: str, others: list[str]) -> None:
    """Cut a process off from others, both ways."""
    network.cut.update((name, other) for other in others if other != name)
    network.cut.update((other, name) for other in others if other != name)


def heal(network: Network) -> None:
    """End every cut, loss and delay."""
    network.cut.clear()
    network.losses.clear()
    network.loss_share.clear()
    network.delays_s.clear()
    network.crossing_s = 0.0


def _is_lost(
    here: world.World,
    network: Network,
    way: tuple[str, str],
    sent: frames.SendPeer,
) -> bool:
    if way in network.cut:
        return True
    for name in names(sent):
        if network.losses.get(name, 0) > 0:
            network.losses[name] -= 1
            return True
        if here.random.random() < network.loss_share.get(name, 0.0):
            return True
    return False


def _delay(
    here: world.World,
    network: Network,
    way: tuple[str, str],
    message: Any,
) -> float:
    delay_s = LATENCY_S + here.random.random() * JITTER_S
    delay_s += sum(network.delays_s.get(name, 0.0) for name in names(message))
    if network.crossing_s:
        return delay_s + here.random.random() * network.crossing_s
    arrival_s = max(here.now + delay_s, network.last_s.get(way, 0.0))
    network.last_s[way] = arrival_s
    return arrival_s - here.now
