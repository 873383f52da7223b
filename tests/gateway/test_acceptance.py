"""When a host that could accept no connection takes callers again."""

from bitternlever.gateway import acceptance, sync
from bitternlever.messages import fleet
from tests.gateway import samples
from tests.gateway.test_decisions import NOW, heartbeat_reply, tables_after_heartbeat


def test_a_host_takes_callers_again_once_the_event_loop_has_tried_again():
    state = acceptance.Acceptance()
    assert acceptance.accepts(state, 5.0)

    acceptance.record_failure(state, 5.0)

    assert not acceptance.accepts(state, 6.0)
    assert acceptance.accepts(state, 5.0 + acceptance.REFUSING_S)


def test_a_host_that_accepts_no_connection_is_not_named_to_callers():
    tables = tables_after_heartbeat(1)
    hosts = [
        samples.host_announcement("full", address="full:1", accepts=False),
        samples.host_announcement("open", address="open:1"),
    ]
    sync.handle_heartbeat_reply(tables, NOW, "tcp://c:1", heartbeat_reply(hosts=hosts))

    assert sync.directory(tables, "a", "r") == ["open:1"]


def test_a_host_accepts_none_while_any_control_process_says_so():
    tables = tables_after_heartbeat(1)
    for link, accepts in (("tcp://c:1", False), ("tcp://d:1", True)):
        tables.controls.setdefault(link, type(tables.controls["tcp://c:1"])(link))
        hosts = [samples.host_announcement(accepts=accepts)]
        reply = heartbeat_reply(hosts=hosts, controls=["tcp://c:1", "tcp://d:1"])
        sync.handle_heartbeat_reply(tables, NOW, link, reply)

    (host,) = tables.hosts.listed
    assert host.state is fleet.HostState.READY
    assert not host.accepts
