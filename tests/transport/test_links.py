"""Links carry messages, and are redialled when a peer acknowledges nothing."""

import asyncio
import socket
import time

import pytest

from bitternlever.conf import settings
from bitternlever.messages import calls, fleet, frames
from bitternlever.transport import links
from standins import relay

TIMEOUT_S = 15.0
BEYOND_64_BITS = 2**64


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Process:
    """One end of a link and the messages that it received."""

    def __init__(self, node, clock=time.monotonic):
        self.received = []
        self.link = f"tcp://127.0.0.1:{free_port()}"
        self.links = links.listen(
            node=node,
            link=self.link,
            incarnation="1",
            cluster_key="a key of the cluster",
            clock=clock,
            on_message=self.received.append,
        )

    def send(self, node, link, number):
        message = calls.OrphansWaiting(group=1, count=number)
        links.send(self.links, frames.SendToPeer(node=node, message=message, link=link))
        links.flush(self.links)

    def numbers(self):
        return [received.message.count for received in self.received]


async def start_relay(process):
    """Start a relay in front of a process; return it and its link."""
    target = ("127.0.0.1", int(process.link.rpartition(":")[2]))
    link_relay = await relay.listen(target)
    return link_relay, f"tcp://127.0.0.1:{link_relay.port}"


async def until(condition):
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, "condition not met in time"
        await asyncio.sleep(0.02)


@pytest.fixture
async def pair():
    ends = Process("entry-a"), Process("entry-b")
    yield ends
    for end in ends:
        links.close(end.links)


async def test_all_messages_of_a_tick_travel_in_one_frame(pair):
    first, second = pair
    for number in range(5):
        message = calls.OrphansWaiting(group=1, count=number)
        links.send(
            first.links,
            frames.SendToPeer(node="entry-b", message=message, link=second.link),
        )
    links.flush(first.links)

    await until(lambda: second.numbers() == [0, 1, 2, 3, 4])
    assert second.links.frames_received == 1


async def test_the_silence_of_a_peer_and_what_it_has_not_acknowledged_are_known(pair):
    first, second = pair
    now = time.monotonic()
    assert links.silent_s(second.links, first.link, now) is None
    assert links.oldest_unacknowledged_s(first.links, now) == 0.0

    first.send("entry-b", second.link, 0)
    await until(lambda: second.numbers() == [0])
    now = time.monotonic()
    assert 0.0 <= links.silent_s(second.links, first.link, now) < 1.0
    assert links.silent_s(second.links, first.link, now + 5.0) > 5.0
    assert links.oldest_unacknowledged_s(first.links, now + 5.0) >= 5.0
    await until(
        lambda: links.oldest_unacknowledged_s(first.links, time.monotonic()) == 0.0
    )


async def test_a_message_that_cannot_be_encoded_costs_no_other_message(pair):
    """An integer beyond 64 bits in a message ended the process that sent it."""
    first, second = pair
    third = Process("entry-c")
    for number in (0, BEYOND_64_BITS, 1):
        message = calls.OrphansWaiting(group=1, count=number)
        links.send(
            first.links,
            frames.SendToPeer(node="entry-b", message=message, link=second.link),
        )
    message = calls.OrphansWaiting(group=1, count=2)
    links.send(
        first.links,
        frames.SendToPeer(node="entry-c", message=message, link=third.link),
    )

    links.flush(first.links)

    await until(lambda: second.numbers() == [0, 1])
    await until(lambda: third.numbers() == [2])
    assert first.links.dropped == 1
    first.send("entry-b", second.link, 3)
    await until(lambda: second.numbers() == [0, 1, 3])
    links.close(third.links)


async def test_a_frame_of_messages_that_cannot_be_encoded_is_not_sent(pair):
    """An integer beyond 64 bits in a message ended the process that sent it."""
    first, second = pair

    first.send("entry-b", second.link, BEYOND_64_BITS)
    first.send("entry-b", second.link, 1)

    await until(lambda: second.numbers() == [1])
    assert first.links.dropped == 1
    assert second.links.frames_received == 1


async def test_a_peer_can_answer_a_sender_that_it_did_not_know(pair):
    first, second = pair
    first.send("entry-b", second.link, 1)
    await until(lambda: second.numbers() == [1])

    second.send("entry-a", None, 2)

    await until(lambda: first.numbers() == [2])


async def test_a_link_that_went_silent_is_redialled(pair):
    first, second = pair
    link_relay, link = await start_relay(second)
    first.send("entry-b", link, 1)
    await until(lambda: second.numbers() == [1])
    await until(lambda: first.links.peers["entry-b"].unacknowledged_since_s is None)

    relay.silence(link_relay)
    first.send("entry-b", None, 2)
    await until(lambda: first.links.redialled == 1)
    first.send("entry-b", None, 3)

    await until(lambda: 3 in second.numbers())
    relay.close(link_relay)


async def test_a_peer_known_by_its_link_is_registered_under_its_name(pair):
    first, second = pair
    first.send(second.link, second.link, 1)
    await until(lambda: second.numbers() == [1])
    second.send("entry-a", None, 2)
    await until(lambda: first.numbers() == [2])

    first.send(second.link, second.link, 3)

    await until(lambda: second.numbers() == [1, 3])
    assert list(first.links.peers) == ["entry-b"]


async def test_messages_for_a_full_queue_are_dropped_and_counted(pair, monkeypatch):
    monkeypatch.setattr(links, "MAXIMUM_QUEUED_MESSAGES", 1)
    first, second = pair
    message = calls.OrphansWaiting(group=1, count=1)
    for _ in range(2):
        links.send(
            first.links,
            frames.SendToPeer(node="entry-b", message=message, link=second.link),
        )

    assert first.links.dropped == 1


async def test_a_restarted_peer_is_redialled_at_once(pair):
    first, second = pair
    link_relay, link = await start_relay(second)
    first.send("entry-b", link, 1)
    await until(lambda: second.numbers() == [1])
    second.send("entry-a", first.link, 7)
    await until(lambda: first.numbers() == [7])
    await until(lambda: first.links.peers["entry-b"].unacknowledged_since_s is None)
    relay.silence(link_relay)
    first.send("entry-b", None, 2)

    second.links.incarnation = "2"
    second.send("entry-a", first.link, 8)
    async with asyncio.timeout(links.BASE_ACKNOWLEDGEMENT_TIMEOUT_S / 2):
        while first.links.redialled == 0:
            await asyncio.sleep(0.01)
        first.send("entry-b", None, 3)
        while 3 not in second.numbers():
            await asyncio.sleep(0.01)
    relay.close(link_relay)


async def _redialled_after(passed_s, message):
    """Return the redials of a silent peer after a message and ``passed_s``."""
    clock = [100.0]
    with socket.create_server(("127.0.0.1", 0)) as silent:
        sender = Process("entry-a", clock=lambda: clock[0])
        link = f"tcp://127.0.0.1:{silent.getsockname()[1]}"
        links.send(
            sender.links, frames.SendToPeer(node="mute", message=message, link=link)
        )
        links.flush(sender.links)
        clock[0] += passed_s
        await asyncio.sleep(2 * links.CHECK_INTERVAL_S)
        links.close(sender.links)
        return sender.links.redialled


async def test_a_silent_link_is_redialled_within_half_a_lease():
    half_s = float(settings.HOST_LEASE_S.default) / 2
    message = calls.OrphansWaiting(group=1, count=1)

    assert await _redialled_after(half_s - links.CHECK_INTERVAL_S, message) == 1


@pytest.mark.parametrize(("passed_s", "redialled"), [(2.5, 0), (8.0, 1)])
async def test_a_large_message_gets_the_time_that_a_slow_link_needs(
    passed_s,
    redialled,
):
    megabit = 125_000
    message = fleet.CatalogPushed(version=1, body=bytes(5 * megabit))

    assert await _redialled_after(passed_s, message) == redialled
