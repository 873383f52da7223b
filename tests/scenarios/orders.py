"""Orders on their way to fake engines, and the engines that take or refuse them."""

import dataclasses

from bench.invariants import records
from bitternlever.messages import requests
from tests.scenarios import network, shell as shells, world

REFUSED = "status 409"


@dataclasses.dataclass(slots=True)
class Delivery:
    """How long orders take, and the newest fencing number that each engine took."""

    takes_s: dict[str, float] = dataclasses.field(default_factory=dict)
    newest: dict[str, int] = dataclasses.field(default_factory=dict)


def send(
    shell: shells.Shell,
    delivery: Delivery,
    process: world.Process,
    sent: requests.SendOrder,
) -> None:
    """Send an order as the shell does: never once the lease under it has ended."""

    def dial() -> None:
        if shell.here.now >= sent.must_not_start_after:
            _answer(process, sent, shell, "the lease ended before the order")
            return
        takes_s = delivery.takes_s.get(process.name, network.LATENCY_S)
        world.after(shell.here, takes_s, arrive)

    def arrive() -> None:
        error = _take(shell, delivery, process, sent)
        if (sent.upstream, process.name) not in shell.wires.cut:
            _answer(process, sent, shell, error)

    in_process = lambda: world.within(shell.here, process, dial)  # noqa: E731
    world.after(shell.here, shells.SHELL_S, in_process)


def _take(
    shell: shells.Shell,
    delivery: Delivery,
    process: world.Process,
    sent: requests.SendOrder,
) -> str:
    announcement = shell.fleet.by_name[sent.upstream].announcement
    fencing = sent.order.fencing
    old = fencing < delivery.newest.get(sent.upstream, 0)
    taken = not (old and announcement.checks_fencing)
    record = records.OrderReceived(
        upstream=sent.upstream,
        fencing=fencing,
        models=sent.order.models,
        taken=taken,
        time_s=shell.here.now,
        holder=process.name,
    )
    shell.here.recorded.append(record)
    if not taken:
        return REFUSED
    delivery.newest[sent.upstream] = fencing
    announcement.models = sent.order.models
    return ""


def _answer(
    process: world.Process,
    sent: requests.SendOrder,
    shell: shells.Shell,
    error: str,
) -> None:
    answered = requests.OrderAnswered(sent.order_id, sent.upstream, error)
    world.deliver(shell.here, process, answered)
