"""A fake network that can lose, delay, reorder and cut off messages."""

import dataclasses
from typing import Any

import msgspec

from bitternlever.messages import calls, frames, requests
from tests.scenarios import simulation

LATENCY_S = 0.0005
JITTER_S = 0.0005
DECODER = msgspec.msgpack.Decoder(frames.PeerMessage)


@dataclasses.dataclass(slots=True)
class Network:
    """Faults of the network by direction and by message name.

    A direction is (sender, receiver). Messages in one direction keep their order,
    unless ``reordering_s`` is set: then each has an extra delay of up to that much.
    """

    cut: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    losses: dict[str, int] = dataclasses.field(default_factory=dict)
    loss_share: dict[str, float] = dataclasses.field(default_factory=dict)
    delays_s: dict[str, float] = dataclasses.field(default_factory=dict)
    reordering_s: float = 0.0
    last_arrival_s: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )


def message_names(message: Any) -> list[str]:
    """Return the names by which a scenario can refer to a message."""
    inner = message
    match message:
        case calls.ControlCall():
            inner = message.command
        case calls.ControlReply():
            inner = message.reply
        case frames.SendToPeer() | frames.PeerMessageReceived():
            return message_names(message.message)
        case requests.CallUpstream():
            return ["CallUpstream", f"{message.call.binding.stage} call"]
    both = [type(message).__name__, type(inner).__name__]
    return both[:1] if inner is message else both


def send(
    sim: simulation.Simulation,
    net: Network,
    sender: str,
    sent: frames.SendToPeer,
) -> None:
    """Send a message to another process, encoded and decoded as on the wire."""
    target = _target(sent)
    if _is_lost(sim, net, (sender, target), sent):
        return
    message = DECODER.decode(msgspec.msgpack.encode(sent.message))
    received = frames.PeerMessageReceived(
        node=sender, link=link(sender), message=message
    )
    delay_s = _delay(sim, net, (sender, target), sent.message)

    def arrive() -> None:
        receiver = sim.processes.get(target)
        if receiver is not None and (sender, target) not in net.cut:
            simulation.deliver(sim, receiver, received)

    simulation.schedule(sim, delay_s, arrive)


def link(name: str) -> str:
    """Return the address at which a process listens."""
    return f"tcp://{name}:7000"


def _target(sent: frames.SendToPeer) -> str:
    """Return the process at the message's link, since its name may be unknown."""
    if sent.link is None:
        return sent.node
    return sent.link.removeprefix("tcp://").removesuffix(":7000")


def isolate(net: Network, name: str, others: list[str]) -> None:
    """Cut a process off from others in both directions."""
    net.cut.update((name, other) for other in others if other != name)
    net.cut.update((other, name) for other in others if other != name)


def heal(net: Network) -> None:
    """End every cut, loss and delay."""
    net.cut.clear()
    net.losses.clear()
    net.loss_share.clear()
    net.delays_s.clear()
    net.reordering_s = 0.0


def _is_lost(
    sim: simulation.Simulation,
    net: Network,
    direction: tuple[str, str],
    sent: frames.SendToPeer,
) -> bool:
    if direction in net.cut:
        return True
    for name in message_names(sent):
        if net.losses.get(name, 0) > 0:
            net.losses[name] -= 1
            return True
        if sim.random.random() < net.loss_share.get(name, 0.0):
            return True
    return False


def _delay(
    sim: simulation.Simulation,
    net: Network,
    direction: tuple[str, str],
    message: Any,
) -> float:
    delay_s = LATENCY_S + sim.random.random() * JITTER_S
    delay_s += sum(net.delays_s.get(name, 0.0) for name in message_names(message))
    if net.reordering_s:
        return delay_s + sim.random.random() * net.reordering_s
    arrival_s = max(sim.now + delay_s, net.last_arrival_s.get(direction, 0.0))
    net.last_arrival_s[direction] = arrival_s
    return arrival_s - sim.now
