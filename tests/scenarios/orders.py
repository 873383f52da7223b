"""Delivery of orders to fake engines, which accept or refuse them."""

import dataclasses

from bench.invariants import records
from bitternlever.messages import requests
from tests.scenarios import network, shell as shells, simulation

REFUSED = "status 409"


@dataclasses.dataclass(slots=True)
class Delivery:
    """Delays of orders by sender, and the newest fencing number by engine."""

    delays_s: dict[str, float] = dataclasses.field(default_factory=dict)
    newest_fencing: dict[str, int] = dataclasses.field(default_factory=dict)


def send(
    shell: shells.Shell,
    delivery: Delivery,
    process: simulation.Process,
    sent: requests.SendOrder,
) -> None:
    """Send an order as the shell does: not after its lease has ended."""

    def dial() -> None:
        if shell.sim.now >= sent.must_not_start_after:
            _answer(process, sent, shell, "the lease ended before the order")
            return
        delay_s = delivery.delays_s.get(process.name, network.LATENCY_S)
        simulation.schedule(shell.sim, delay_s, arrive)

    def arrive() -> None:
        error = _deliver_order(shell, delivery, process, sent)
        if (sent.upstream, process.name) not in shell.net.cut:
            _answer(process, sent, shell, error)

    in_process = lambda: simulation.run_in_process(shell.sim, process, dial)  # noqa: E731
    simulation.schedule(shell.sim, shells.SHELL_DELAY_S, in_process)


def _deliver_order(
    shell: shells.Shell,
    delivery: Delivery,
    process: simulation.Process,
    sent: requests.SendOrder,
) -> str:
    announcement = shell.fleet.by_name[sent.upstream].announcement
    fencing = sent.order.fencing
    outdated = fencing < delivery.newest_fencing.get(sent.upstream, 0)
    taken = not (outdated and announcement.checks_fencing)
    record = records.OrderReceived(
        upstream=sent.upstream,
        fencing=fencing,
        models=sent.order.models,
        taken=taken,
        time_s=shell.sim.now,
        holder=process.name,
    )
    shell.sim.recorded.append(record)
    if not taken:
        return REFUSED
    delivery.newest_fencing[sent.upstream] = fencing
    announcement.models = sent.order.models
    return ""


def _answer(
    process: simulation.Process,
    sent: requests.SendOrder,
    shell: shells.Shell,
    error: str,
) -> None:
    answered = requests.OrderAnswered(sent.order_id, sent.upstream, error)
    simulation.deliver(shell.sim, process, answered)
