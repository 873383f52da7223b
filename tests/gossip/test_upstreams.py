"""Gossip of leaving, silent and restarted upstreams on a lossy network."""

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from bitternlever.core import ticks
from bitternlever.gossip import membership, tables as gossip_tables, upstreams
from bitternlever.messages import manifest, upstream
from tests.gossip import network

SILENCE_S = 3.0
MAXIMUM_BYTES_PER_S_AND_HOST = 7_000
SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=25,
)


def _announce_for(net, host, seconds, name="engine", first=1, **changes):
    """Announce once a second for a while; return the next sequence."""
    for sequence in range(first, first + seconds):
        net.announce(host, network.announcement(name, sequence, **changes))
        net.run(1.0)
    return first + seconds


def test_an_upstream_is_known_everywhere_soon():
    net = network.create(9)
    net.run(2.0)

    _announce_for(net, "h3", 2)

    assert all(net.serving(host) == ["engine"] for host in net.hosts)


def test_a_live_upstream_stays_known_when_a_tenth_is_lost():
    net = network.create(9)
    net.loss = 0.1
    net.run(3.0)
    next_sequence = _announce_for(net, "h3", 4)
    for sequence in range(next_sequence, next_sequence + 20):
        net.announce("h3", network.announcement(sequence=sequence))
        for _ in range(20):
            net.step()
            assert all(net.serving(host) == ["engine"] for host in net.hosts)


@SETTINGS
@hypothesis.given(
    seed=strategies.integers(0, 10_000),
    loss=strategies.sampled_from([0.0, 0.3, 0.7]),
    longest_delay_s=strategies.sampled_from([0.001, 1.0, 10.0]),
    announces_leaving=strategies.booleans(),
)
def test_a_gone_upstream_gets_nothing_new_after_the_silence(
    seed,
    loss,
    longest_delay_s,
    announces_leaving,
):
    net = network.create(5, seed=seed)
    net.run(2.0)
    net.loss = loss
    net.longest_delay_s = longest_delay_s
    next_sequence = _announce_for(net, "h1", 5)
    net.run(0.5)
    if announces_leaving:
        net.announce("h1", network.announcement(sequence=next_sequence, leaving=True))
    last_announcement_s = net.now - 1.5

    while net.now < last_announcement_s + 15.0:
        net.step()
        if net.now > last_announcement_s + SILENCE_S:
            assert not any(net.serving(host) for host in net.hosts)


@SETTINGS
@hypothesis.given(seed=strategies.integers(0, 10_000))
def test_a_late_announcement_of_an_older_incarnation_changes_nothing(seed):
    net = network.create(3, seed=seed)
    net.run(2.0)
    net.longest_delay_s = 2.0
    net.announce("h0", network.announcement(sequence=900, incarnation=1))
    _announce_for(net, "h1", 12, incarnation=2, address="http://new")
    net.announce("h2", network.announcement(sequence=901, incarnation=1))

    net.run(0.5)

    for tables in net.hosts.values():
        known = tables.membership.upstreams["engine"].announcement
        assert (known.incarnation, known.address) == (2, "http://new")


def test_leaving_is_final_until_a_new_incarnation():
    net = network.create(2)
    net.run(1.0)
    net.announce("h0", network.announcement(sequence=5, leaving=True))
    net.announce("h0", network.announcement(sequence=6))
    assert net.serving("h0") == []

    net.announce("h0", network.announcement(sequence=1, incarnation=2))

    assert net.serving("h0") == ["engine"]


def test_the_age_of_a_delayed_message_includes_its_transit_time():
    net = network.create(2)
    net.run(3.0)
    net.announce("h0", network.announcement())
    sent_messages = [sent for sent in _messages_of(net, "h0") if sent.updates]
    net.now += SILENCE_S + 0.5
    for message in sent_messages:
        membership.handle_gossip(net.hosts["h1"], net.now, ticks.Outbox(), message)

    assert net.serving("h1") == []


def test_upstream_information_without_an_echo_is_ignored():
    net = network.create(2)
    net.run(3.0)
    net.announce("h0", network.announcement())
    messages = [
        msgspec.structs.replace(sent, echo=None) for sent in _messages_of(net, "h0")
    ]
    assert any(sent.updates for sent in messages)
    for message in messages:
        membership.handle_gossip(net.hosts["h1"], net.now, ticks.Outbox(), message)

    assert "engine" not in net.hosts["h1"].membership.missing_announcements
    assert net.serving("h1") == []


def test_gossip_of_nine_hosts_stays_within_the_traffic_budget():
    net = network.create(9)
    models = ["a-long-name-of-a-model"] * 20
    before = 0
    for second in range(1, 15):
        if second == 5:
            before = net.bytes_sent
        for index in range(24):
            announcement = network.announcement(
                f"engine-{index}", second, models=models
            )
            net.announce(f"h{index % 9}", announcement)
        net.run(1.0)

    assert (net.bytes_sent - before) / 10 / len(
        net.hosts
    ) < MAXIMUM_BYTES_PER_S_AND_HOST


def test_an_update_is_sent_once_to_each_peer():
    net = network.create(2)
    net.run(3.0)
    net.announce("h0", network.announcement())

    messages = _messages_of(net, "h0")

    assert sum(len(message.updates) for message in messages) == 1


def test_more_upstreams_than_the_bound_are_refused():
    net = network.create(1)
    for index in range(4_100):
        net.announce("h0", network.announcement(f"engine-{index}"))

    assert len(net.hosts["h0"].membership.upstreams) == 4_000


def _messages_of(net, host):
    tables = net.hosts[host]
    sent = []
    for _ in range(40):
        net.now += network.STEP_S
        outbox = ticks.Outbox()
        membership.run(tables, net.now, outbox)
        sent.extend(message.message for message in outbox.messages)
    return sent


def test_a_model_is_found_in_any_version():
    net = network.create(1)
    net.announce("h0", network.announcement(models=["m@2"]))
    matching_stage = manifest.Stage("s", manifest.Task.GENERATE, "engines", model="m")
    other_stage = manifest.Stage("s", manifest.Task.GENERATE, "engines", model="m2")

    def found(stage):
        return list(membership.serving_upstreams(net.hosts["h0"], net.now, stage))

    assert len(found(matching_stage)) == 1
    assert found(other_stage) == []


@pytest.mark.parametrize(
    "load", [{"step_ms": 1e308}, {"age_s": 1e308}, {"age_s": 1e30}]
)
def test_a_load_beyond_64_bits_can_be_passed_on(load):
    """The update for the next host raised OverflowError and ended this one."""
    tables = gossip_tables.MembershipTables()
    announcement = upstream.Announcement(
        name="u1",
        incarnation=1,
        sequence=1,
        address="http://127.0.0.1:9",
        pool="p",
        zone="a",
        tasks=[],
        load=upstream.LoadReport(**load),
    )
    upstreams.merge_announcement(tables, announcement, seen_s=10.0)
    peer = gossip_tables.Peer()

    updates = upstreams.updates_for(tables, peer, now=10.0, silence_s=3.0)

    assert len(updates) == 1
    assert msgspec.msgpack.encode(updates)
