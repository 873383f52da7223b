"""Slow, stalled and broken streams, and callers that read slowly."""

import asyncio
import time

import pytest

from bitternlever.catalog import tables as catalog_tables
from bitternlever.gateway import event_stream
from standins import scripted_upstream
from tests.gateway import entry_host, samples

STREAM = catalog_tables.Repeatability.STREAM
GAP_S = 0.02
LIMIT_S = 2.0
"""The least time for which callers wait for an event."""


def catalog(**changes) -> catalog_tables.Catalog:
    fields = {
        "repeatability": STREAM,
        "timeout_s": 8.0,
        "objective_s": 0.1,
        "maximum_gap_s": GAP_S,
        **changes,
    }
    return samples.catalog(routes={"h.example": [samples.route(**fields)]})


def running(server, **changes):
    status = samples.upstream_status(server.name, address=server.address)
    return entry_host.running(catalog(**changes), status)


def event(number: int) -> bytes:
    return b"id: %d\ndata: x\n\n" % number


async def test_a_slow_but_sound_stream_is_not_cut():
    """Its gaps are above the declared one and below the time that callers wait."""
    pieces = [event(number) for number in range(3)]
    server = await scripted_upstream.start(
        "u1", scripted_upstream.stream(*pieces, gap_s=LIMIT_S - 0.7)
    )
    async with running(server) as (_, port):
        answer = await entry_host.call(port, entry_host.request(), within_s=10.0)

    assert answer.whole
    assert answer.body == b"".join(pieces)


@pytest.mark.parametrize("piece", [b"x", b": ping\n\n", b"\n"], ids=repr)
async def test_a_stalled_stream_that_sends_bytes_now_and_then_ends(piece):
    server = await scripted_upstream.start(
        "u1", scripted_upstream.stream(event(1), *[piece] * 200, gap_s=0.05)
    )
    async with running(server) as (_, port):
        started_s = time.monotonic()
        answer = await entry_host.call(port, entry_host.request(), within_s=10.0)
        took_s = time.monotonic() - started_s

    assert not answer.whole
    assert answer.body.startswith(event(1))
    assert LIMIT_S <= took_s < LIMIT_S + 1.5


async def test_a_stalled_stream_that_may_be_resumed_goes_on_elsewhere():
    stalled = await scripted_upstream.start(
        "u1", scripted_upstream.stream(event(1), *[b": ping\n\n"] * 200, gap_s=0.05)
    )
    other = await scripted_upstream.start("u2", scripted_upstream.stream(event(2)))
    statuses = [
        samples.upstream_status(server.name, address=server.address)
        for server in (stalled, other)
    ]
    resumable = catalog(resumable=True, maximum_attempts=2)
    async with entry_host.running(resumable, *statuses) as (_, port):
        answer = await entry_host.call(port, entry_host.request(), within_s=10.0)

    assert answer.whole
    assert answer.body.replace(b": ping\n\n", b"") == event(1) + event(2)
    assert other.received[0].headers["last-event-id"] == "1"


async def test_a_caller_that_reads_slowly_is_not_cut():
    """The upstream has sent its events; they wait for the caller."""
    pieces = [
        event(number) + b"data: " + b"y" * 60_000 + b"\n\n" for number in range(99)
    ]
    server = await scripted_upstream.start("u1", scripted_upstream.stream(*pieces))
    async with running(server) as (gateway, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1_024)
        writer.write(entry_host.request())
        await asyncio.sleep(LIMIT_S + 0.8)
        assert gateway.in_flight == 1
        answer = await entry_host.read_answer(reader)
        writer.close()

    assert answer.whole
    assert answer.body == b"".join(pieces)


async def test_a_broken_stream_does_not_look_complete_to_a_caller_that_reads_slowly():
    """The end of the answer must not be written behind the unsent part."""
    pieces = [
        event(number) + b"data: " + b"y" * 60_000 + b"\n\n" for number in range(99)
    ]
    server = await scripted_upstream.start(
        "u1", scripted_upstream.stream(*pieces, complete=False)
    )
    async with running(server) as (_, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1_024)
        writer.write(entry_host.request())
        await asyncio.sleep(0.5)
        answer = await entry_host.read_answer(reader)
        writer.close()

    assert not answer.whole


@pytest.mark.parametrize("resumable", [False, True])
async def test_an_unframed_stream_that_ends_inside_an_event_is_not_complete(resumable):
    body = event(1) + b"id: 2\ndata: ha"
    server = await scripted_upstream.start("u1", scripted_upstream.unframed(body))
    async with running(server, resumable=resumable) as (_, port):
        answer = await entry_host.call(port, entry_host.request())

    assert not answer.whole


async def test_an_unframed_stream_that_ends_between_events_is_complete():
    server = await scripted_upstream.start(
        "u1", scripted_upstream.unframed(event(1) + event(2))
    )
    async with running(server) as (_, port):
        answer = await entry_host.call(port, entry_host.request())

    assert answer.whole
    assert answer.body == event(1) + event(2)


@pytest.mark.parametrize("resumable", [False, True])
async def test_a_framed_stream_that_ends_inside_an_event_is_not_complete(resumable):
    server = await scripted_upstream.start(
        "u1", scripted_upstream.stream(event(1), b"id: 2\ndata: ha")
    )
    async with running(server, resumable=resumable) as (_, port):
        answer = await entry_host.call(port, entry_host.request())

    assert not answer.whole


@pytest.mark.parametrize(
    "body", [b"", b": ping\n\n", b"\n"], ids=["nothing", "comment", "line end"]
)
async def test_an_unframed_stream_that_ends_before_its_first_event_is_not_complete(
    body,
):
    server = await scripted_upstream.start("u1", scripted_upstream.unframed(body))
    async with running(server) as (_, port):
        answer = await entry_host.call(port, entry_host.request())

    assert not answer.whole


@pytest.mark.parametrize(
    "rest", [b"\n", b"\n\n\n", b": bye\n"], ids=["half", "line ends", "comment"]
)
@pytest.mark.parametrize("resumable", [False, True])
async def test_a_sound_stream_is_not_cut_off_for_line_ends_or_comments_behind_it(
    rest, resumable
):
    """A line end of two bytes may also arrive in two parts."""
    sound = b"id: 1\r\ndata: x\r\n\r"
    server = await scripted_upstream.start(
        "u1", scripted_upstream.unframed(sound, rest)
    )
    async with running(server, resumable=resumable) as (_, port):
        answer = await entry_host.call(port, entry_host.request())

    assert answer.whole
    assert answer.body == sound + rest


@pytest.mark.parametrize(
    ("body", "whole"),
    [(event(1), True), (b"data: ha", False)],
    ids=["sound", "broken off"],
)
async def test_events_broken_off_in_a_whole_answer_are_not_complete(body, whole):
    """A route that is not declared as a stream may have answers that are streams."""
    kind = "Content-Type: text/event-stream; charset=utf-8"
    server = await scripted_upstream.start(
        "u1", scripted_upstream.unframed(body, lines=(kind,))
    )
    once = catalog_tables.Repeatability.ONCE
    async with running(server, repeatability=once) as (_, port):
        answer = await entry_host.call(port, entry_host.request())

    assert (answer.status == 200) == whole


async def test_a_caller_of_http_1_0_sees_the_end_of_its_host_as_a_reset():
    server = await scripted_upstream.start(
        "u1", scripted_upstream.stream(event(1), event(2), gap_s=1.5)
    )
    async with running(server) as (_, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(entry_host.request().replace(b"HTTP/1.1", b"HTTP/1.0"))
        await reader.readuntil(event(1))
    with pytest.raises(ConnectionResetError):
        await reader.read()
    writer.close()


async def test_a_caller_of_http_1_0_sees_a_broken_stream_as_a_reset():
    server = await scripted_upstream.start(
        "u1", scripted_upstream.stream(event(1), complete=False)
    )
    async with running(server) as (_, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(entry_host.request().replace(b"HTTP/1.1", b"HTTP/1.0"))
        with pytest.raises(ConnectionResetError):
            await reader.read()
        writer.close()


@pytest.mark.parametrize(
    "drip",
    [
        scripted_upstream.refuse_slowly(b"x", 1_000),
        scripted_upstream.refuse_slowly(b"x" * 4_000_000, 50),
    ],
    ids=["bytes now and then", "more than is read"],
)
async def test_a_refusal_with_a_body_that_does_not_end_is_not_run_and_not_waited_for(
    drip,
):
    refusing = await scripted_upstream.start("u1", drip)
    other = await scripted_upstream.start("u2")
    statuses = [
        samples.upstream_status(server.name, address=server.address)
        for server in (refusing, other)
    ]
    once = samples.route(repeatability=catalog_tables.Repeatability.ONCE)
    routed = samples.catalog(routes={"h.example": [once]})
    async with entry_host.running(routed, *statuses) as (_, port):
        started_s = time.monotonic()
        answer = await entry_host.call(port, entry_host.request())
        took_s = time.monotonic() - started_s

    assert answer.status == 200
    assert len(refusing.received) == 1
    assert took_s < 0.5


@pytest.mark.parametrize(
    ("data", "complete", "rest"),
    [
        (b"data: a\n\ndata", b"data: a\n\n", b"data"),
        (b"data: a\r\n\r\ndata", b"data: a\r\n\r\n", b"data"),
        (b"data: a\r\rdata", b"data: a\r\r", b"data"),
        (b"data: a\r\ndata: b\r\n", b"", b"data: a\r\ndata: b\r\n"),
        (b"data: a\n", b"", b"data: a\n"),
    ],
)
def test_events_end_with_an_empty_line_of_any_kind(data, complete, rest):
    for size in (1, 2, 3, len(data)):
        splitter = event_stream.Splitter()
        pieces = [data[start : start + size] for start in range(0, len(data), size)]

        relayed = b"".join(splitter.feed(piece) for piece in pieces)

        assert relayed + bytes(splitter.incomplete) == data
        assert relayed.rstrip(b"\r\n") == complete.rstrip(b"\r\n")
        assert bytes(splitter.incomplete).lstrip(b"\n") == rest


def test_comments_are_no_events():
    splitter = event_stream.Splitter()
    splitter.feed(b": ping\n\n: ping\n\n\n\n")
    assert splitter.events == 0

    splitter.feed(b"id: 7\n\n")
    assert (splitter.events, splitter.last_event_id) == (1, "7")


BROKEN = scripted_upstream.stream(event(1), complete=False, reset=True)
TEXT = b"HTTP/1.1 500 X\r\nX-More: 1\r\n\r\nout of memory\n\n"


def typed(content_type: str, body: bytes) -> scripted_upstream.Behaviour:
    """Return a behaviour that answers with success and a body of a media type."""
    lines = (scripted_upstream.SEAL, f"Content-Type: {content_type}")
    return scripted_upstream.answer(200, body, lines=lines)


ODD_CONTINUATIONS = {
    "a failure": scripted_upstream.answer(500, TEXT),
    "a failure that is an event stream": scripted_upstream.answer(
        500, TEXT, lines=(scripted_upstream.SEAL, "Content-Type: text/event-stream")
    ),
    "a refusal": scripted_upstream.refuse(503),
    "an error of the caller": scripted_upstream.answer(404, TEXT),
    "a redirect": scripted_upstream.answer(302, TEXT),
    "no stream": typed("application/json", b'{"error":"out of memory"}'),
    "a text": typed("text/plain", TEXT),
    "no media type": scripted_upstream.answer(200, TEXT),
    "no event": scripted_upstream.stream(),
    "only a comment": scripted_upstream.stream(b": ping\n\n"),
    "an empty body": typed("text/event-stream", b""),
}


@pytest.mark.parametrize("kind", ODD_CONTINUATIONS, ids=str)
async def test_a_stream_that_has_begun_goes_on_with_events_or_breaks(kind):
    """The text of another answer followed, or the stream ended as if complete."""

    async def behave(server, received, writer):
        begun = "last-event-id" in received.headers
        respond = ODD_CONTINUATIONS[kind] if begun else BROKEN
        await respond(server, received, writer)

    servers = [await scripted_upstream.start(f"u{n}", behave) for n in range(2)]
    statuses = [
        samples.upstream_status(server.name, address=server.address)
        for server in servers
    ]
    with_two = catalog(resumable=True, maximum_attempts=2)
    async with entry_host.running(with_two, *statuses) as (_, port):
        answer = await entry_host.call(port, entry_host.request("POST"))

    assert sum(len(server.received) for server in servers) == 2
    assert answer.status == 200
    comments = b": ping\n\n" if kind == "only a comment" else b""
    assert answer.body == event(1) + comments
    assert not answer.whole


@pytest.mark.parametrize("resumable", [False, True])
@pytest.mark.parametrize("headers", [{"Resumes": "id-0"}, {}], ids=["named", "not"])
async def test_a_take_up_of_an_unknown_stream_reaches_no_upstream(resumable, headers):
    """A host whose catalog is older may not know yet that streams may be resumed."""
    server = await scripted_upstream.start("u1", scripted_upstream.stream(event(2)))
    data = entry_host.request("POST", Last_Event_Id="1", **headers)
    async with running(server, resumable=resumable) as (_, port):
        answer = await entry_host.call(port, data)

    assert answer.status == 503
    assert server.received == []
