"""Stage work is sent to one group at a time, in the words of its host's version."""

import asyncio

from bitternlever.core import clocks
from bitternlever.gateway import stage_work, sync
from bitternlever.messages import fleet
from tests.gateway import entry_host, samples, test_batch_groups

INPUTS = ["10.1.64.9:8080/a", "10.1.64.9:8080/b"]


async def send(tables, handle):
    """Run work and return what was sent; ``handle`` answers with a reply or None."""
    sent = []

    def deliver(gateway, link, message):
        sent.append(message)
        reply = handle(message)
        if reply is not None:
            gateway.batching.waiting[message.work].put_nowait(reply)

    async with entry_host.running(tables.catalog) as (gateway, _):
        gateway.tables = tables
        gateway.deliver = deliver
        work = test_batch_groups.stage_work(
            pieces=[fleet.StagePiece(0, []), fleet.StagePiece(1, [])], inputs=INPUTS
        )
        started = asyncio.Event()
        await stage_work.run(gateway, work, started, lambda work, now: work)
    return sent


def report(tables, **waits_s: float) -> None:
    """Report the waits of the groups that are named, as ``group_0`` and so on."""
    for name, wait_s in waits_s.items():
        group = name.removeprefix("group_")
        load = fleet.ServiceLoad("encode", wait_s, wait_s, 0.0, group=group)
        sync.record_load(tables, clocks.boot_time(), load)


def group_tables():
    return test_batch_groups.group_tables(0.0, 0.0, now=clocks.boot_time())


async def test_work_that_moves_to_another_group_of_its_host_is_not_left_in_the_first():
    tables = group_tables()
    report(tables, group_0=9.0, group_1=0.0)

    def handle(message):
        if not isinstance(message, fleet.StageWork):
            return None
        if message.group == "1":
            report(tables, group_0=0.0, group_1=9.0)
            return fleet.StageAccepted(message.work)
        return fleet.StageDone(message.work, ["h"])

    sent = await send(tables, handle)

    assert sent[0].group == "1"
    kinds = [type(message) for message in sent]
    moved = kinds.index(fleet.StageCancelled)
    assert kinds[moved + 1] is fleet.StageWork
    assert sent[moved + 1].group == "0"


async def test_inputs_are_spelled_out_for_a_host_that_knows_no_groups():
    tables = group_tables()
    tables.hosts.listed = (samples.host_announcement(),)

    sent = await send(tables, lambda message: fleet.StageDone(message.work, ["h"]))

    assert sent[0].inputs == []
    assert [piece.inputs for piece in sent[0].pieces] == [INPUTS, INPUTS]
    assert sent[0].group == ""
