"""Hosts that are slow to answer, but not lost."""

import asyncio

from bitternlever.gateway import state
from bitternlever.messages import fleet
from tests.gateway import linked_hosts


async def test_a_host_that_only_answers_late_keeps_its_stage_work():
    """Two hosts would otherwise fill the same upstreams and run the work twice."""
    statuses = await linked_hosts.start_upstreams()
    async with linked_hosts.running(3, statuses) as hosts:
        gateway, port = hosts[0]
        others = [each for each, _ in hosts[1:]]
        for each, _ in hosts:
            each.tables.hosts.listed = each.tables.hosts.listed[1:]
        for other in others:
            delay_accepts(other, 0.45)
        answers = await asyncio.gather(
            *(linked_hosts.ask(port, f"r{n}") for n in range(4))
        )
        runs = sum(other.measures.batches["rerank.pieces"] for other in others)

    assert {answer.status for answer in answers} == {200}
    assert runs == 4 * linked_hosts.PIECES


def delay_accepts(gateway, delay_s: float) -> None:
    """Let a host handle stage work late; its other messages are sent in time."""
    receive = gateway.links.on_message

    def later(received):
        if isinstance(received.message, fleet.StageWork):
            acknowledgement = fleet.StageWorkStarted(work="none")
            state.send(gateway, received.link, acknowledgement)
            asyncio.get_running_loop().call_later(delay_s, receive, received)
            return
        receive(received)

    gateway.links.on_message = later
