"""The client follows the rules for callers."""

import asyncio

import pytest

from bitternlever.client import calls, tables as client_tables
from bitternlever.messages import problems
from tests.client import fake_hosts

TEXT = "rain falls on the field"


@pytest.fixture
async def open_client():
    """Yield a function that opens a client for some hosts."""
    clients = []
    started = []

    def create_client(*listed: fake_hosts.FakeHost, **options) -> client_tables.Client:
        addresses = [host.address for host in listed]
        for host in listed:
            host.addresses = addresses
        started.extend(listed)
        settings = client_tables.ClientSettings(
            addresses=addresses,
            token="token",
            **({"patience_s": 5.0, "silence_s": 0.2} | options),
        )
        clients.append(calls.create(settings))
        return clients[-1]

    yield create_client
    for client in clients:
        await calls.close(client)
    for host in started:
        await host.server.close()


def submission(key: str | None = "p", stream: bool = False) -> client_tables.Submission:
    return client_tables.Submission("audits", "audit", "rain", key=key, stream=stream)


async def test_a_host_list_is_cached_for_its_age(open_client):
    host = await fake_hosts.start(fake_hosts.whole())
    client = open_client(host)

    for _ in range(3):
        await calls.run(client, submission())

    assert host.list_requests == 1
    client.hosts_expire_s = client.clock()
    await calls.run(client, submission())
    assert host.list_requests == 2


async def test_a_request_with_a_key_is_sent_again_to_another_host_under_its_key(
    open_client,
):
    first = await fake_hosts.start(
        fake_hosts.refusal(503, problems.Ran.UNKNOWN, retry_after_s=0.01),
    )
    second = await fake_hosts.start(fake_hosts.whole())

    outcome = await calls.run(open_client(first, second), submission())

    assert outcome.ok().decode()["output"] == "rain"
    keys = {
        request.headers["Idempotency-Key"]
        for request in first.received + second.received
    }
    assert keys == {"p"}


async def test_a_request_without_a_key_is_not_sent_again_when_it_may_have_run(
    open_client,
):
    first = await fake_hosts.start(fake_hosts.stream(TEXT, cut_at=0))
    second = await fake_hosts.start(fake_hosts.whole())

    async def cut(request):
        request.transport.close()

    first.handlers = [cut]
    outcome = await calls.run(open_client(first, second), submission(key=None))

    assert outcome.err().ran is problems.Ran.UNKNOWN
    assert not second.received


async def test_a_request_without_a_key_is_sent_again_when_it_was_not_run(open_client):
    first = await fake_hosts.start(
        fake_hosts.refusal(503, problems.Ran.NO, retry_after_s=0.01),
    )
    second = await fake_hosts.start(fake_hosts.whole())

    outcome = await calls.run(open_client(first, second), submission(key=None))

    assert outcome.is_ok()


async def test_retry_after_is_respected(open_client):
    host = await fake_hosts.start(
        fake_hosts.refusal(503, problems.Ran.NO, retry_after_s=1.0),
    )
    client = open_client(host, patience_s=0.9)

    outcome = await calls.run(client, submission())

    assert outcome.err().ran is problems.Ran.NO
    assert len(host.received) == 1


async def test_a_last_refusal_does_not_hide_that_an_earlier_attempt_may_have_run(
    open_client,
):
    host = await fake_hosts.start(
        fake_hosts.refusal(503, problems.Ran.UNKNOWN, retry_after_s=0.01),
        fake_hosts.refusal(429, problems.Ran.NO, retry_after_s=60.0),
    )

    outcome = await calls.run(open_client(host), submission())

    assert outcome.err().status == 429
    assert outcome.err().ran is problems.Ran.UNKNOWN


async def test_a_final_problem_is_not_sent_again(open_client):
    host = await fake_hosts.start(fake_hosts.refusal(422, problems.Ran.NO))

    outcome = await calls.run(open_client(host), submission())

    assert outcome.err().status == 422
    assert len(host.received) == 1


async def test_a_cut_stream_resumes_on_another_host_from_its_offset(open_client):
    first = await fake_hosts.start(fake_hosts.stream(TEXT, cut_at=8))
    second = await fake_hosts.start(fake_hosts.stream(TEXT))
    pieces = []

    outcome = await calls.run(
        open_client(first, second),
        submission(stream=True),
        on_piece=pieces.append,
    )

    assert outcome.ok().text == TEXT
    assert "".join(pieces) == TEXT
    assert second.received[0].query["offset"] == "8"


async def test_a_silent_stream_resumes_on_another_host(open_client):
    async def hang(request):
        await asyncio.sleep(3.0)

    first = await fake_hosts.start(fake_hosts.stream(TEXT, cut_at=8, then=hang))
    second = await fake_hosts.start(fake_hosts.stream(TEXT))

    outcome = await calls.run(open_client(first, second), submission(stream=True))

    assert outcome.ok().text == TEXT


async def test_a_stream_that_does_not_match_its_digest_is_read_again(open_client):
    first = await fake_hosts.start(fake_hosts.stream("rxin", digest_of="rain"))
    second = await fake_hosts.start(fake_hosts.stream("rain"))

    outcome = await calls.run(open_client(first, second), submission(stream=True))

    assert outcome.ok().text == "rain"
    assert "offset" not in second.received[0].query


async def test_an_open_durable_request_is_queried_by_its_id(open_client):
    host = await fake_hosts.start(fake_hosts.open_state(), fake_hosts.whole())

    outcome = await calls.run(open_client(host), submission(key=None))

    assert outcome.is_ok()
    assert host.received[1].method == "GET"
    assert host.received[1].path == "/v1/requests/k-1"


async def test_an_unreachable_host_is_skipped(open_client):
    first = await fake_hosts.start(fake_hosts.whole())
    second = await fake_hosts.start(fake_hosts.whole())
    client = open_client(first, second)
    await first.server.close()

    outcome = await calls.run(client, submission(key=None))

    assert outcome.is_ok()
    assert len(second.received) == 1


async def test_an_answer_is_acknowledged_by_the_request_id(open_client):
    first = await fake_hosts.start(
        fake_hosts.refusal(503, problems.Ran.UNKNOWN, retry_after_s=0.01),
    )
    second = await fake_hosts.start(fake_hosts.open_state())

    accepted = await calls.acknowledge(open_client(first, second), "k-1")

    assert accepted
    assert second.received[0].path == "/v1/requests/k-1/acknowledgement"
