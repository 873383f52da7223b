"""Records of where streams began: they never change, and they are bounded."""

import pytest

from bitternlever.fleet import stream_origins
from bitternlever.messages import fleet, frames
from tests.fleet import cluster
from tests.gateway import samples

NOW = 100.0


def origin(request="r", service="plain", version="v1", left_s=10.0):
    return fleet.StreamOrigin(request, service, version, left_s)


def test_the_first_record_of_a_stream_counts():
    known = {}

    assert stream_origins.record(known, NOW, origin())
    assert not stream_origins.record(known, NOW + 1.0, origin(version="v2"))
    found = stream_origins.find(known, NOW + 2.0, "r")
    assert (found.software_version, found.left_s) == ("v1", 8.0)


def test_a_version_that_is_not_known_equals_none():
    unknown = origin(version="")
    upstream = samples.upstream_status(software_version="")

    assert not stream_origins.record({}, NOW, unknown)
    assert not stream_origins.allows(unknown, upstream)
    assert not stream_origins.allows(origin(), upstream)
    assert stream_origins.allows(None, upstream)


@pytest.mark.parametrize(
    ("service", "version", "allowed"),
    [("plain", "v1", True), ("plain", "v2", False), ("other", "v1", False)],
)
def test_a_stream_goes_on_at_its_version_of_its_service(service, version, allowed):
    upstream = samples.upstream_status(service=service, software_version=version)

    assert stream_origins.allows(origin(), upstream) is allowed


def test_records_end_with_the_time_in_which_a_stream_may_be_taken_up():
    known = {}
    stream_origins.record(known, NOW, origin())
    stream_origins.record(known, NOW, origin("long", left_s=1e9))

    assert stream_origins.find(known, NOW + 10.0, "r") is None
    stream_origins.remove_expired(known, NOW + stream_origins.MAXIMUM_LEFT_S)
    assert not known


def test_the_number_of_records_is_bounded_and_the_oldest_are_dropped():
    known = {}
    for number in range(stream_origins.MAXIMUM_STREAMS + 5):
        stream_origins.record(known, NOW, origin(f"r{number}"))

    assert len(known) == stream_origins.MAXIMUM_STREAMS
    assert "r4" not in known
    assert "r5" in known


def test_only_new_records_are_reported_and_no_more_than_a_heartbeat_holds():
    known = {}
    stream_origins.record(known, NOW, origin("old"))
    for number in range(stream_origins.MAXIMUM_REPORTED + 5):
        stream_origins.record(known, NOW + 1.0, origin(f"r{number}"))

    assert [
        found.request for found in stream_origins.learned_since(known, NOW + 1.0, NOW)
    ] == [f"r{number}" for number in reversed(range(5, len(known) - 1))]
    assert stream_origins.learned_since(known, NOW + 1.0, NOW + 1.0) == []


def test_control_records_streams_without_a_leader():
    control = cluster.Cluster()
    for name in "bc":
        control.kill(name)
    node = control.nodes["a"]
    for message in (
        fleet.StreamBegun(5, origin()),
        fleet.StreamOriginRequested(6, "r"),
        fleet.StreamOriginRequested(7, "other"),
    ):
        node.inbox.append(frames.PeerMessageReceived("host", "tcp://host:1", message))
    control.run(0.1)
    replies = [
        sent.message for _, sent in control.other_outputs if sent.link == "tcp://host:1"
    ]

    assert control.leader() is None
    assert replies[0] == fleet.StreamRecorded(5)
    assert (replies[1].call, replies[1].origin.request) == (6, "r")
    assert replies[2] == fleet.StreamOriginReply(7)
