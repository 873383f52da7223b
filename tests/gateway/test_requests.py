"""Tests of requests over real connections, to upstreams with and without faults."""

import asyncio
import dataclasses
import json

import pytest

from bitternlever.catalog import tables as catalog_tables
from bitternlever.core import clocks
from bitternlever.gateway import (
    batching,
    catalog_sync,
    drains,
    shell as gateway_shell,
    sync,
)
from bitternlever.messages import fleet
from standins import scripted_upstream
from tests.gateway import entry_host, samples

ONCE = catalog_tables.Repeatability.ONCE
STREAM = catalog_tables.Repeatability.STREAM
EXIT_IN_S = 0.6
MANY_PIECES = 1_000_000
"""Enough to be refused, and few enough to leave a host that takes them alive."""


def upstream_status(
    server: scripted_upstream.ScriptedUpstream, **changes
) -> fleet.UpstreamStatus:
    return samples.upstream_status(server.name, address=server.address, **changes)


def with_route(**changes) -> catalog_tables.Catalog:
    return samples.catalog(routes={"h.example": [samples.route(**changes)]})


async def ask(catalog, servers, data=None, within_s=5.0):
    """Send one request to an entry host with these upstreams; return its answer."""
    upstreams = [upstream_status(server) for server in servers]
    async with entry_host.running(catalog, *upstreams) as (_, port):
        return await entry_host.call(port, data or entry_host.request(), within_s)


async def test_method_path_query_body_and_headers_arrive_unchanged():
    server = await scripted_upstream.start("u1")
    target = "/a//x/%2e%2e/%7Eb?q=a+b&&c=%C3%A9"
    data = entry_host.request(
        "POST",
        target,
        body=b"\x00\xffbody",
        X_Custom="  kept ",
        X_Bitternlever_Deadline_Ms="1500",
        X_Bitternlever_Prompt_Prefix="aa:5,bb:6",
        Accept_Encoding="br",
    )

    answer = await ask(with_route(), [server], data)

    received = server.received[0]
    assert answer.status == 200
    assert received.line == f"POST {target} HTTP/1.1"
    assert received.body == b"\x00\xffbody"
    assert received.headers["host"] == "h.example"
    assert received.headers["x-custom"] == "kept"
    assert received.headers["x-bitternlever-prompt-prefix"] == "aa:5,bb:6"
    assert received.headers["accept-encoding"] == "br"
    assert "user-agent" not in received.headers


async def test_a_chunked_body_arrives_whole():
    server = await scripted_upstream.start("u1")
    head = entry_host.request("POST").replace(
        b"Content-Length: 0", b"Transfer-Encoding: chunked"
    )

    await ask(with_route(), [server], head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")

    assert server.received[0].body == b"abcde"
    assert "transfer-encoding" not in server.received[0].headers


async def test_the_system_sets_its_own_headers_and_hides_the_key():
    server = await scripted_upstream.start("u1")
    data = entry_host.request(
        X_Bitternlever_Deadline_Ms="900",
        X_Bitternlever_Tenant="forged",
        X_Bitternlever_Expect_Instance="forged",
        X_Bitternlever_Hold="h",
        X_Bitternlever_Pin_Ms="1",
        X_Bitternlever_Kv_Backup="x:1",
        X_Bitternlever_Inputs="x:1/2",
        Kv_From="x:1/2",
    )

    await ask(with_route(), [server], data)

    headers = server.received[0].headers
    assert headers["x-bitternlever-tenant"] == "w"
    assert headers["x-bitternlever-expect-instance"] == "u1"
    assert 0 < int(headers["x-bitternlever-deadline-ms"]) <= 900
    for name in ("authorization", "kv-from", "x-bitternlever-inputs"):
        assert name not in headers
    for name in ("hold", "pin-ms", "kv-backup"):
        assert f"x-bitternlever-{name}" not in headers


async def test_headers_of_one_connection_are_not_passed_on():
    server = await scripted_upstream.start("u1")
    data = entry_host.request(Connection="keep-alive, X-Hop", X_Hop="1", TE="trailers")

    await ask(with_route(), [server], data)

    assert not {"connection", "x-hop", "te"} & set(server.received[0].headers)


async def test_status_body_and_signature_come_back_unchanged():
    lines = (scripted_upstream.SEAL, "X-Own: yes", "Content-Type: a/b")
    server = await scripted_upstream.start(
        "u1", scripted_upstream.answer(404, b"\x00nothing", lines=lines)
    )

    answer = await ask(with_route(), [server])

    assert (answer.status, answer.body) == (404, b"\x00nothing")
    assert answer.headers["x-bitternlever-response-seal"] == "sealed"
    assert answer.headers["x-own"] == "yes"
    assert answer.headers["content-type"] == "a/b"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (entry_host.request(host="other.example"), 404),
        (entry_host.request(target="/b/x"), 404),
        (entry_host.request(key="unknown"), 401),
        (entry_host.request(key=None), 401),
        (entry_host.request("POST", body=b"x" * 2_000), 413),
    ],
)
async def test_what_the_catalog_does_not_allow_is_refused_and_not_run(data, status):
    server = await scripted_upstream.start("u1")
    catalog = with_route()
    catalog.limits = catalog_tables.ClientLimits(16_384, 1_000, 3.0, 15.0)

    answer = await ask(catalog, [server], data)

    assert answer.status == status
    assert server.received == []
    assert "x-bitternlever-response-seal" not in answer.headers


async def test_a_public_route_asks_for_no_key():
    server = await scripted_upstream.start("u1")

    answer = await ask(
        with_route(public=True), [server], entry_host.request(key="unknown")
    )

    assert answer.status == 200
    assert "x-bitternlever-tenant" not in server.received[0].headers


async def test_keyed_requests_are_refused_once_the_catalog_is_not_surely_current():
    server = await scripted_upstream.start("u1")
    async with entry_host.running(with_route(), upstream_status(server)) as (
        gateway,
        port,
    ):
        gateway.tables.catalog_current_s = clocks.boot_time() - 4.2
        answer = await entry_host.call(port, entry_host.request())

    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert server.received == []


async def test_a_host_that_never_got_a_committed_catalog_serves_by_no_older_one():
    server = await scripted_upstream.start("u1")
    async with entry_host.running(with_route(public=True), upstream_status(server)) as (
        gateway,
        port,
    ):
        named = gateway.tables.catalog.version + 1
        now = clocks.boot_time()
        catalog_sync.record_newest(gateway.tables.catalog_sync, now, named)
        in_time = await entry_host.call(port, entry_host.request())
        gateway.tables.catalog_sync.behind_since_s -= entry_host.BOUNDS.catalog_s
        late = await entry_host.call(port, entry_host.request())

    assert in_time.status == 200
    assert late.status == 503
    assert float(late.headers["retry-after"]) > 0
    assert len(server.received) == 1


@pytest.mark.parametrize(
    "unknown", [{"target": "/added/x"}, {"key": "added"}], ids=["route", "key"]
)
@pytest.mark.parametrize("behind", [True, False])
async def test_what_a_newer_catalog_may_have_is_not_refused_as_unknown(unknown, behind):
    server = await scripted_upstream.start("u1")
    async with entry_host.running(with_route(), upstream_status(server)) as (
        gateway,
        port,
    ):
        current = await entry_host.call(port, entry_host.request(**unknown))
        now = clocks.boot_time()
        if behind:
            version = gateway.tables.catalog.version + 1
            catalog_sync.record_newest(gateway.tables.catalog_sync, now, version)
        else:
            gateway.tables.catalog_current_s = now - 0.9 * entry_host.BOUNDS.catalog_s
        outdated = await entry_host.call(port, entry_host.request(**unknown))

    assert current.status in (401, 404)
    assert outdated.status == 503
    assert float(outdated.headers["retry-after"]) > 0


async def test_a_host_without_a_catalog_answers_503():
    server = await scripted_upstream.start("u1")
    async with entry_host.running(with_route(), upstream_status(server)) as (
        gateway,
        port,
    ):
        gateway.tables.catalog_current_s = None
        answer = await entry_host.call(port, entry_host.request())

    assert answer.status == 503


async def test_without_an_upstream_the_answer_is_503_with_a_retry_time():
    answer = await ask(with_route(), [])

    assert answer.status == 503
    assert "retry-after" in answer.headers


FAULTS = {
    "cut": scripted_upstream.cut(),
    "reset": scripted_upstream.cut(reset=True),
    "unframed and reset": scripted_upstream.unframed(reset=True),
    "crossed": scripted_upstream.crossed(),
    "garbage": scripted_upstream.garbage(),
    "closed": scripted_upstream.close(),
    "unsigned": scripted_upstream.answer(lines=()),
    "failed": scripted_upstream.answer(500, b"bad"),
}


@pytest.mark.parametrize("fault", FAULTS, ids=str)
async def test_an_idempotent_request_gets_a_good_answer_of_another_server(fault):
    first = await scripted_upstream.start("u1", FAULTS[fault])
    second = await scripted_upstream.start("u2")
    async with entry_host.running(with_route(), upstream_status(first)) as (
        gateway,
        port,
    ):
        task = asyncio.ensure_future(entry_host.call(port, entry_host.request()))
        update = fleet.UpstreamStatusUpdate(statuses=[upstream_status(second)])
        sync.merge_upstream_statuses(gateway.tables, clocks.boot_time(), update)
        answer = await task

    assert (answer.status, answer.body) == (200, b"done")
    assert len(first.received) <= 1


@pytest.mark.parametrize("fault", sorted(set(FAULTS) - {"failed"}), ids=str)
async def test_a_request_that_may_run_once_is_never_sent_twice(fault):
    first = await scripted_upstream.start("u1", FAULTS[fault])
    second = await scripted_upstream.start("u2", FAULTS[fault])

    answer = await ask(
        with_route(repeatability=ONCE, maximum_attempts=3), [first, second]
    )

    assert answer.status == 502
    assert "retry-after" not in answer.headers
    assert len(first.received) + len(second.received) == 1


async def test_an_upstreams_failure_of_a_request_that_may_run_once_is_relayed():
    server = await scripted_upstream.start("u1", scripted_upstream.answer(500, b"bad"))

    answer = await ask(with_route(repeatability=ONCE), [server])

    assert (answer.status, answer.body) == (500, b"bad")
    assert answer.headers["x-bitternlever-response-seal"] == "sealed"


@pytest.mark.parametrize("status", [503, 429, 421])
async def test_a_request_not_run_by_an_upstream_goes_to_another_whatever_its_kind(
    status,
):
    first = await scripted_upstream.start("u1", scripted_upstream.refuse(status))
    second = await scripted_upstream.start("u2", scripted_upstream.refuse(status))
    third = await scripted_upstream.start("u3")

    answer = await ask(with_route(repeatability=ONCE), [first, second, third])

    assert answer.status == 200
    assert len(third.received) == 1


async def test_a_request_refused_by_all_upstreams_gets_503_with_a_retry_time():
    servers = [
        await scripted_upstream.start(f"u{n}", scripted_upstream.refuse())
        for n in range(2)
    ]

    answer = await ask(with_route(repeatability=ONCE), servers)

    assert answer.status == 503
    assert "retry-after" in answer.headers


@pytest.mark.parametrize(
    "fault",
    [
        scripted_upstream.garbage(),
        scripted_upstream.close(),
        scripted_upstream.cut(reset=True),
        scripted_upstream.crossed(),
        scripted_upstream.answer(500),
    ],
)
async def test_an_idempotent_request_reaches_no_more_servers_than_its_route_allows(
    fault,
):
    servers = [
        await scripted_upstream.start(f"u{number}", fault) for number in range(4)
    ]

    answer = await ask(with_route(maximum_attempts=2), servers)

    assert answer.status in (500, 502)
    assert sum(bool(server.received) for server in servers) == 2


async def test_a_server_that_cannot_be_reached_costs_no_run():
    gone = await scripted_upstream.start("u1")
    scripted_upstream.stop(gone)
    await asyncio.sleep(0.02)
    there = await scripted_upstream.start("u2")

    answer = await ask(with_route(repeatability=ONCE), [gone, there])

    assert answer.status == 200


@pytest.mark.parametrize(
    ("behaviour", "changes"),
    [
        (scripted_upstream.answer(), {}),
        (scripted_upstream.refuse(), {}),
        (scripted_upstream.stream(b"data: 1\n\n"), {"repeatability": STREAM}),
    ],
)
async def test_a_draining_host_tells_callers_to_leave_its_connection(
    behaviour,
    changes,
):
    server = await scripted_upstream.start("u1", behaviour)
    catalog = with_route(**changes)
    async with entry_host.running(catalog, upstream_status(server)) as (gateway, port):
        calm = await entry_host.call(port, entry_host.request())
        gateway.state = fleet.HostState.DRAINING
        draining = await entry_host.call(port, entry_host.request())

    assert "connection" not in calm.headers
    assert draining.headers["connection"] == "close"
    assert draining.status == calm.status
    assert draining.whole


async def test_an_answer_without_a_length_is_whole_when_the_server_closes():
    server = await scripted_upstream.start("u1", scripted_upstream.unframed())

    answer = await ask(with_route(), [server])

    assert (answer.status, answer.body) == (200, b"done")
    assert answer.headers["content-length"] == "4"


@pytest.mark.parametrize("late_s", [0.0, 0.05])
async def test_an_extra_answer_is_never_given_to_the_next_request(late_s):
    server = await scripted_upstream.start("u1", scripted_upstream.answer_twice(late_s))
    async with entry_host.running(with_route(), upstream_status(server)) as (_, port):
        first = await entry_host.call(port, entry_host.request(identity="one"))
        await asyncio.sleep(late_s / 2)
        second = await entry_host.call(port, entry_host.request(identity="two"))

    assert (first.body, second.status, second.body) == (b"done", 200, b"done")
    assert second.headers["x-bitternlever-request-id"] == "two"


async def test_a_kept_connection_is_used_again_and_closed_in_its_time():
    lines = (scripted_upstream.SEAL, "Keep-Alive: timeout=5")
    server = await scripted_upstream.start("u1", scripted_upstream.answer(lines=lines))
    async with entry_host.running(with_route(), upstream_status(server)) as (_, port):
        for number in range(3):
            await entry_host.call(port, entry_host.request(identity=f"n{number}"))

    assert server.connections == 1


async def test_a_connection_that_the_server_closes_is_not_used_again():
    lines = (scripted_upstream.SEAL, "Connection: close")
    server = await scripted_upstream.start("u1", scripted_upstream.answer(lines=lines))
    async with entry_host.running(with_route(), upstream_status(server)) as (_, port):
        for number in range(2):
            await entry_host.call(port, entry_host.request(identity=f"n{number}"))

    assert server.connections == 2


async def test_the_routes_timeout_ends_a_silent_request():
    server = await scripted_upstream.start("u1", scripted_upstream.silent())

    answer = await ask(with_route(timeout_s=0.3, repeatability=ONCE), [server])

    assert answer.status == 504


async def test_the_callers_deadline_is_shorter_than_the_routes_timeout():
    server = await scripted_upstream.start("u1", scripted_upstream.silent())
    data = entry_host.request(X_Bitternlever_Deadline_Ms="200")

    answer = await ask(with_route(repeatability=ONCE), [server], data, within_s=1.0)

    assert answer.status == 504


async def test_a_caller_that_leaves_stops_the_work_at_the_server():
    server = await scripted_upstream.start("u1", scripted_upstream.silent())
    async with entry_host.running(with_route(), upstream_status(server)) as (_, port):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(entry_host.request())
        while not server.received:
            await asyncio.sleep(0.01)
        assert server.closed == 0
        writer.close()
        async with asyncio.timeout(0.5):
            while server.closed == 0:
                await asyncio.sleep(0.01)


async def test_events_are_passed_on_as_they_arrive():
    server = await scripted_upstream.start(
        "u1", scripted_upstream.stream(b"id: 1\n\n", b"id: 2\n\n", gap_s=0.2)
    )
    catalog = with_route(repeatability=STREAM, objective_s=1.0)
    async with entry_host.running(catalog, upstream_status(server)) as (_, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(entry_host.request("POST"))
        async with asyncio.timeout(0.15):
            await reader.readuntil(b"id: 1\n\n")
        async with asyncio.timeout(1.0):
            await reader.readuntil(b"0\r\n\r\n")
        writer.close()


async def test_a_stream_that_is_cut_never_looks_complete():
    server = await scripted_upstream.start(
        "u1", scripted_upstream.stream(b"id: 1\n\n", complete=False)
    )

    answer = await ask(with_route(repeatability=STREAM), [server])

    assert answer.body == b"id: 1\n\n"
    assert not answer.whole


async def test_a_resumable_stream_goes_on_elsewhere_after_its_last_whole_event():
    first = await scripted_upstream.start(
        "u1",
        scripted_upstream.stream(
            b"id: 1\n\n", b"id: 2\nda", complete=False, reset=True
        ),
    )
    second = await scripted_upstream.start(
        "u2",
        scripted_upstream.stream(
            b"id: 1\n\n", b"id: 2\nda", complete=False, reset=True
        ),
        scripted_upstream.stream(b"id: 2\n\n", b"id: 3\n\n"),
    )
    first.behaviours.append(scripted_upstream.stream(b"id: 2\n\n", b"id: 3\n\n"))
    catalog = with_route(repeatability=STREAM, resumable=True, maximum_attempts=2)
    async with entry_host.running(catalog, upstream_status(first)) as (gateway, port):
        task = asyncio.ensure_future(entry_host.call(port, entry_host.request("POST")))
        while not first.received:
            await asyncio.sleep(0.005)
        second.behaviours = [scripted_upstream.stream(b"id: 2\n\n", b"id: 3\n\n")]
        update = fleet.UpstreamStatusUpdate(statuses=[upstream_status(second)])
        sync.merge_upstream_statuses(gateway.tables, clocks.boot_time(), update)
        answer = await task

    assert answer.body == b"id: 1\n\nid: 2\n\nid: 3\n\n"
    assert answer.whole
    assert second.received[0].headers["last-event-id"] == "1"


async def test_a_stream_that_may_not_be_resumed_runs_once():
    servers = [
        await scripted_upstream.start(f"u{n}", scripted_upstream.close())
        for n in range(2)
    ]

    answer = await ask(with_route(repeatability=STREAM, maximum_attempts=2), servers)

    assert answer.status == 502
    assert sum(len(server.received) for server in servers) == 1


def stage_answers(fail: bool = False) -> scripted_upstream.Behaviour:
    """Return a stage upstream's behaviour: one handle per item, with its address."""

    async def behave(server, received, writer):
        if "stage-free" in received.line:
            await scripted_upstream.answer(200, b"{}")(server, received, writer)
            return
        items = json.loads(received.body)["items"]
        made = [
            {"handle": f"{server.address}/{item['id']}-{item['stage']}-{item['piece']}"}
            for item in items
        ]
        if fail:
            made = [{"reason": "gone"} for _ in items]
        body = json.dumps({"items": made}).encode()
        await scripted_upstream.answer(200, body)(server, received, writer)

    return behave


def staged_catalog() -> catalog_tables.Catalog:
    stages = (
        catalog_tables.Stage(0, "encode", (), 1_000),
        catalog_tables.Stage(1, "rerank", (0,), 1_000),
    )
    route = samples.route(
        repeatability=STREAM,
        stages=stages,
        targets=(catalog_tables.Target("engines", 1.0),),
        by_prefix=True,
        timeout_s=5.0,
        objective_s=2.0,
    )
    services = {
        "encode": samples.stage_service("encode"),
        "rerank": samples.stage_service("rerank"),
        "engines": catalog_tables.Service(
            "engines", "", 100, engine=catalog_tables.EngineCapacity(64, 100_000)
        ),
    }
    return samples.catalog(routes={"h.example": [route]}, services=services)


async def pump(gateway) -> None:
    """Send calls whose upstream is no longer paused, as a host does at intervals."""
    while True:
        batching.pump(gateway)
        await asyncio.sleep(0.05)


async def run_staged(encode, rerank, engine):
    upstreams = [
        upstream_status(encode, service="encode"),
        upstream_status(rerank, service="rerank"),
        upstream_status(engine, service="engines"),
    ]
    data = entry_host.request(
        "POST",
        X_Bitternlever_Pieces="2,3",
        X_Bitternlever_Piece_Key="thing",
        X_Bitternlever_Prompt_Prefix="aa:100,bb:20",
    )
    async with entry_host.running(staged_catalog(), *upstreams) as (gateway, port):
        pumping = asyncio.ensure_future(pump(gateway))
        answer = await entry_host.call(port, data)
        await asyncio.sleep(0.1)
        pumping.cancel()
    return answer


async def test_stages_run_in_their_order_with_all_inputs_and_results_are_freed():
    encode = await scripted_upstream.start("s1", stage_answers())
    rerank = await scripted_upstream.start("s2", stage_answers())
    engine = await scripted_upstream.start("e1", scripted_upstream.stream(b"id: 1\n\n"))

    answer = await run_staged(encode, rerank, engine)

    assert answer.body == b"id: 1\n\n"
    first = [json.loads(call.body) for call in encode.received]
    items = [item for body in first for item in body.get("items", [])]
    assert [(item["piece"], item["key"]) for item in items] == [
        (0, "thing"),
        (1, "thing"),
    ]
    assert all("inputs" not in item for item in items)
    made = [f"{encode.address}/id-1-0-{n}" for n in range(2)]
    second = [json.loads(call.body) for call in rerank.received]
    items = [item for body in second for item in body.get("items", [])]
    assert [item["inputs"] for item in items] == [made] * 3
    assert all("key" not in item for item in items)
    final = [f"{rerank.address}/id-1-1-{n}" for n in range(3)]
    assert engine.received[0].headers["x-bitternlever-inputs"] == ",".join(final)
    assert engine.received[0].headers["x-bitternlever-request-priority"] == "1"
    freed = [body["handles"] for body in first + second if "handles" in body]
    assert sorted(sum(freed, [])) == sorted(made + final)


async def test_a_stage_call_names_the_instance_that_it_expects():
    encode = await scripted_upstream.start("s1", stage_answers())
    rerank = await scripted_upstream.start("s2", stage_answers())
    engine = await scripted_upstream.start("e1", scripted_upstream.stream(b"id: 1\n\n"))

    await run_staged(encode, rerank, engine)

    assert encode.received[0].line == "POST /api/stage-run HTTP/1.1"
    assert encode.received[0].headers["x-bitternlever-expect-instance"] == "s1"


async def test_lost_results_run_the_stages_once_more_and_then_end_as_not_run():
    encode = await scripted_upstream.start("s1", stage_answers())
    rerank = await scripted_upstream.start("s2", stage_answers(fail=True))
    engine = await scripted_upstream.start("e1", scripted_upstream.stream(b"id: 1\n\n"))

    answer = await run_staged(encode, rerank, engine)

    assert answer.status == 503
    assert "retry-after" in answer.headers
    assert engine.received == []
    calls = [call for call in encode.received if "stage-run" in call.line]
    assert len(calls) == 2


async def test_an_engine_that_lost_its_inputs_makes_the_stages_run_again():
    encode = await scripted_upstream.start("s1", stage_answers())
    rerank = await scripted_upstream.start("s2", stage_answers())
    engine = await scripted_upstream.start(
        "e1", scripted_upstream.refuse(409), scripted_upstream.stream(b"id: 1\n\n")
    )

    answer = await run_staged(encode, rerank, engine)

    assert answer.whole
    assert answer.body == b"id: 1\n\n"


async def test_a_pipelined_and_a_smuggled_request_reach_no_server_by_accident():
    server = await scripted_upstream.start("u1")
    smuggled = b"GET /b/secret HTTP/1.1\r\nHost: h.example\r\n\r\n"
    data = entry_host.request("POST", body=smuggled)
    both = data.replace(
        b"Content-Length", b"Transfer-Encoding: chunked\r\nContent-Length"
    )

    answer = await ask(with_route(), [server], both)

    assert answer.status == 400
    assert server.received == []


async def test_a_stage_that_never_answers_ends_as_not_run_when_callers_leave():
    encode = await scripted_upstream.start("s1", scripted_upstream.silent())
    rerank = await scripted_upstream.start("s2", stage_answers())
    engine = await scripted_upstream.start("e1", scripted_upstream.stream(b"id: 1\n\n"))
    catalog = staged_catalog()
    route = catalog.routes["h.example"][0]
    catalog.routes["h.example"] = [dataclasses.replace(route, timeout_s=0.8)]
    upstreams = [
        upstream_status(encode, service="encode"),
        upstream_status(rerank, service="rerank"),
        upstream_status(engine, service="engines"),
    ]
    data = entry_host.request("POST", X_Bitternlever_Pieces="1,1")

    async with entry_host.running(catalog, *upstreams) as (_, port):
        answer = await entry_host.call(port, data, within_s=1.5)

    assert answer.status == 503
    assert "retry-after" in answer.headers
    assert engine.received == []


async def test_an_upstream_whose_port_does_not_exist_is_a_refused_dial():
    """Dialling such a port raised an error: callers got status 500."""
    odd = samples.upstream_status("u1", address="127.0.0.1:65536")
    async with entry_host.running(with_route(), odd) as (_, port):
        answer = await entry_host.call(port, entry_host.request())

    assert answer.status == 503
    assert "retry-after" in answer.headers


@pytest.mark.parametrize("digits", [20, 400, 5_000])
async def test_an_idle_timeout_of_many_digits_costs_no_answer(digits):
    """The number raised an error after the answer: callers got status 500."""
    lines = (scripted_upstream.SEAL, f"Keep-Alive: timeout={'9' * digits}")
    server = await scripted_upstream.start("u1", scripted_upstream.answer(lines=lines))

    answer = await ask(with_route(), [server])

    assert (answer.status, answer.body) == (200, b"done")


async def test_a_request_of_more_pieces_than_can_be_run_is_refused_at_once():
    """A list of all pieces was made: a number of 12 digits ended the host."""
    stage = catalog_tables.Stage(0, "encode", (), 1_000)
    catalog = samples.catalog(
        routes={"h.example": [samples.route(stages=(stage,))]},
        services={
            "plain": catalog_tables.Service("plain", "", 100),
            "encode": samples.stage_service(),
        },
    )
    server = await scripted_upstream.start("u1")
    encoder = samples.upstream_status("e1", service="encode", address="127.0.0.1:9")
    data = entry_host.request(
        X_Bitternlever_Pieces=str(MANY_PIECES), X_Bitternlever_Piece_Key="7c"
    )
    async with entry_host.running(catalog, upstream_status(server), encoder) as (
        _,
        port,
    ):
        answer = await entry_host.call(port, data, within_s=1.0)

    assert answer.status == 400
    assert b"pieces" in answer.body
    assert server.received == []


async def test_a_request_that_waits_for_stages_when_its_host_ends_is_refused():
    """Its connection was closed at the end of the host, without an answer."""
    stage = await scripted_upstream.start("s1", scripted_upstream.silent())
    engine = await scripted_upstream.start("e1", scripted_upstream.stream(b"id: 1\n\n"))
    upstreams = [
        upstream_status(stage, service="encode"),
        upstream_status(engine, service="engines"),
    ]
    data = entry_host.request(
        "POST", X_Bitternlever_Pieces="1,1", X_Bitternlever_Piece_Key="thing"
    )
    async with entry_host.running(staged_catalog(), *upstreams) as (gateway, port):
        asking = asyncio.ensure_future(entry_host.call(port, data))
        while not stage.received:
            await asyncio.sleep(0.005)
        now = clocks.boot_time()
        drain = drains.Drain(started_s=now - 6.0, latest_s=now + EXIT_IN_S)
        gateway.state = fleet.HostState.DRAINING
        gateway.drain = drain
        gateway.stop_listening = no_listener
        await gateway_shell._exit_when_drained(gateway, drain)
        answer = await asyncio.wait_for(asking, 0.1)

    assert gateway.stopped.done()
    assert answer.status == 503
    assert "retry-after" in answer.headers
    assert engine.received == []


async def no_listener():
    """Stand in for closing a listener."""
