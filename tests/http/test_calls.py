"""HTTP calls from outside: a refused call never reaches the core."""

import asyncio
import hashlib
import json
import random
import time

import aiohttp
import pytest
from hypothesis import given, settings, strategies

from bitternlever.conf import configuration
from bitternlever.entry import tables as entry_tables
from bitternlever.http import bodies, exchanges, server, state
from bitternlever.messages import problems, requests
from bitternlever.telemetry import traces

TOKEN = "token-of-a-workspace"
URL = "/v1/pipelines/draft/requests"
BODY = {"kind": "draft", "input": {"text": "x"}}


ANSWER_INTERVAL_S = 0.02


class Core:
    """A fake core that answers every event with the messages that a test has set."""

    def __init__(self):
        self.received = []
        self.answers = []

    def on_event(self, event):
        self.received.append(event)
        loop = asyncio.get_running_loop()
        for number, answer in enumerate(self.answers):
            answer.caller = getattr(event, "caller", 0)
            delay_s = number * ANSWER_INTERVAL_S
            loop.call_later(delay_s, exchanges.deliver, self.exchanges, answer)


@pytest.fixture
async def core():
    core = Core()
    core.exchanges = exchanges.Exchanges(on_event=core.on_event)
    tables = entry_tables.EntryTables(settings=None, random=random.Random(1))
    tables.manifest.number = 1
    tables.manifest.tokens[hashlib.sha256(TOKEN.encode()).hexdigest()] = "cantref"
    shared = state.State(
        configuration=host_settings(),
        tables=tables,
        exchanges=core.exchanges,
        tracer=traces.create("entry", "a", 0, 0, None, ""),
        clock=time.monotonic,
        on_event=core.on_event,
    )
    runner = (await server.start(shared)).runner
    port = runner.addresses[0][1]
    async with aiohttp.ClientSession(f"http://127.0.0.1:{port}") as core.client:
        yield core
    await runner.cleanup()


def host_settings():
    return configuration.EntryConfiguration(
        host="a",
        zone="hall-a",
        listen="",
        cluster_key="",
        log_format="text",
        log_level="info",
        otlp_endpoint=None,
        spans_file="",
        metrics_file="",
        metrics_interval_s=10,
        trace_ratio=1,
        journal_groups=1,
        http_listen=("127.0.0.1", 0),
        address="",
        control_nodes={},
        seed_links=[],
        operator_token="operator-token",
        upstream_token="upstream-token",
        host_list_max_age_s=5,
        maximum_requests=10,
        maximum_body_bytes=2_000,
        maximum_json_depth=8,
        upstream_silence_s=3,
        policy="predicted",
    )


def bearer(token=TOKEN, **headers):
    return {"Authorization": f"Bearer {token}", **headers}


async def assert_refused(core, response, status):
    problem = await response.json(content_type="application/problem+json")
    assert response.status == status
    assert problem["ran"] == "no"
    assert not core.received
    return problem


async def test_a_call_without_a_token_runs_nothing(core):
    response = await core.client.post(URL, json=BODY)

    await assert_refused(core, response, 401)


async def test_a_call_with_a_wrong_token_runs_nothing(core):
    response = await core.client.post(URL, json=BODY, headers=bearer("other"))

    await assert_refused(core, response, 401)


async def test_a_workspace_may_not_act_as_operator(core):
    response = await core.client.post("/v1/drain", headers=bearer())

    await assert_refused(core, response, 401)


async def test_a_malformed_body_is_refused_with_the_path_of_its_fault(core):
    response = await core.client.post(URL, data=b'{"kind": 3}', headers=bearer())

    assert "$.kind" in (await assert_refused(core, response, 400))["detail"]


async def test_an_unknown_key_of_the_body_is_refused(core):
    body = BODY | {"prioritty": 1}
    response = await core.client.post(URL, json=body, headers=bearer())

    assert "prioritty" in (await assert_refused(core, response, 400))["detail"]


async def test_a_body_above_the_limit_is_refused(core):
    body = BODY | {"input": "x" * 3_000}
    response = await core.client.post(URL, json=body, headers=bearer())

    await assert_refused(core, response, 413)


@pytest.mark.parametrize("depth", [9, 900])
async def test_a_body_too_deep_is_refused(core, depth):
    body = b'{"kind":"draft","input":' + b"[" * depth + b"]" * depth + b"}"
    response = await core.client.post(URL, data=body, headers=bearer())

    await assert_refused(core, response, 400)


@pytest.mark.parametrize("number", [2**64, -(10**400)], ids=["above", "far below"])
async def test_a_deadline_beyond_64_bits_is_refused(core, number):
    """The deadline computed from it raised OverflowError and ended the host."""
    body = BODY | {"deadline_ms": number}
    response = await core.client.post(URL, json=body, headers=bearer())

    assert "deadline_ms" in (await assert_refused(core, response, 400))["detail"]


@pytest.mark.parametrize("field", ["incarnation", "sequence", "concurrency"])
async def test_an_announcement_with_a_number_beyond_64_bits_is_refused(core, field):
    """Passing it on to another host raised OverflowError and ended this one."""
    announcement = {
        "name": "u1",
        "incarnation": 1,
        "sequence": 1,
        "address": "http://127.0.0.1:9",
        "pool": "p",
        "zone": "a",
        "tasks": [],
        field: 2**64,
    }
    response = await core.client.post(
        "/v1/upstreams", json=announcement, headers=bearer("upstream-token")
    )

    await assert_refused(core, response, 400)


async def test_a_key_too_long_is_refused(core):
    headers = bearer(**{"Idempotency-Key": "k" * 300})
    response = await core.client.post(URL, json=BODY, headers=headers)

    await assert_refused(core, response, 400)


async def test_an_unknown_path_is_a_problem(core):
    response = await core.client.get("/v2/anything", headers=bearer())

    await assert_refused(core, response, 404)


async def test_a_header_above_the_limit_is_refused(core):
    headers = bearer(**{"X-Large": "x" * 20_000})
    response = await core.client.post(URL, json=BODY, headers=headers)

    assert response.status == 400
    assert not core.received


async def test_a_whole_answer_is_passed_on_unchanged(core):
    stored = b'{"output": "as stored,  with   spaces"}'
    core.answers = [requests.WholeAnswer(caller=0, request_id="r-1", body=stored)]

    response = await core.client.post(URL, json=BODY, headers=bearer())

    assert await response.read() == stored
    assert response.headers["Bitternlever-Request-Id"] == "r-1"


async def test_a_problem_response_has_retry_after(core):
    problem = problems.Problem(
        type="overloaded",
        title="t",
        status=503,
        detail="d",
        ran=problems.Ran.NO,
        retry_after_s=2.2,
    )
    core.answers = [requests.ProblemAnswer(caller=0, problem=problem)]

    response = await core.client.post(URL, json=BODY, headers=bearer())

    assert response.status == 503
    assert response.headers["Retry-After"] == "3"


async def test_a_stream_carries_offsets_and_an_end_event(core):
    core.answers = [
        requests.StreamPiece(caller=0, request_id="r-1", offset=0, text="one "),
        requests.StreamPiece(caller=0, request_id="r-1", offset=4, text="two"),
        requests.WholeAnswer(
            caller=0,
            request_id="r-1",
            body=b'{"output":"one two"}',
            length=7,
            output_digest="d",
        ),
    ]

    body = BODY | {"stream": True}
    response = await core.client.post(URL, json=body, headers=bearer())

    events = [
        (event.split(b"\n")[0], json.loads(event.partition(b"data: ")[2]))
        for event in (await response.read()).split(b"\n\n")[:-1]
    ]
    assert events == [
        (b"event: piece", {"offset": 0, "text": "one "}),
        (b"event: piece", {"offset": 4, "text": "two"}),
        (
            b"event: end",
            {"length": 7, "digest": "d", "answer": {"output": "one two"}},
        ),
    ]


async def test_the_id_of_an_accepted_stream_comes_before_its_first_piece(core):
    core.answers = [requests.RequestAccepted(caller=0, request_id="r-1")]

    body = BODY | {"stream": True}
    response = await core.client.post(URL, json=body, headers=bearer())

    assert response.headers["Bitternlever-Request-Id"] == "r-1"
    assert await response.content.readuntil(b"\n\n") == b": waiting\n\n"


async def test_a_disconnected_caller_is_reported(core):
    task = asyncio.ensure_future(
        core.client.post(URL, json=BODY, headers=bearer()),
    )
    while not core.received:
        await asyncio.sleep(0.01)
    task.cancel()

    while not isinstance(core.received[-1], requests.CallerDisconnected):
        await asyncio.sleep(0.01)
    assert core.received[-1].caller == core.received[0].caller


async def test_a_faulty_manifest_is_refused_with_all_its_faults(core):
    body = b'{"number": -1, "workspaces": 3, "pipelines": []}'
    response = await core.client.put(
        "/v1/manifest",
        data=body,
        headers=bearer("operator-token"),
    )

    problem = await assert_refused(core, response, 422)
    assert problem["faults"]


async def test_a_malformed_announcement_is_refused(core):
    response = await core.client.post(
        "/v1/upstreams",
        data=b'{"name": "engine-1", "incarnation": "one"}',
        headers=bearer("upstream-token"),
    )

    await assert_refused(core, response, 400)


@settings(derandomize=True, database=None, deadline=None, max_examples=300)
@given(strategies.binary(max_size=200))
def test_any_body_is_decoded_or_refused(data):
    outcome = bodies.decode(data, bodies.Submission, maximum_depth=8)

    assert outcome.is_err() or isinstance(outcome.ok(), bodies.Submission)
