"""Log lines are rate limited and never block; omitted lines are reported."""

import json
import logging
import os

import pytest

from bitternlever.telemetry import bounded, events, logs


@pytest.fixture
def pipe():
    """Yield the two ends of a pipe."""
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def create_handler(writer: int) -> tuple[bounded.BoundedHandler, logging.Logger]:
    handler = bounded.BoundedHandler(writer)
    handler.setFormatter(logs._JsonFormatter({"host": "h"}))
    logger = logging.Logger("test")
    logger.addHandler(handler)
    return handler, logger


def read_bytes(reader: int) -> bytes:
    os.set_blocking(reader, False)
    data = b""
    while True:
        try:
            data += os.read(reader, 65_536)
        except BlockingIOError:
            return data


def read_lines(reader: int) -> list[dict]:
    return [json.loads(line) for line in read_bytes(reader).splitlines()]


def test_a_line_is_one_json_object_with_event_host_and_fields(pipe):
    reader, writer = pipe
    _, logger = create_handler(writer)

    events.REQUEST_REFUSED.log(logger, request="id", status=503)

    (line,) = read_lines(reader)
    assert line["number"] == 603
    assert line["event"] == "request-refused"
    assert (line["host"], line["request"], line["status"]) == ("h", "id", 503)


def test_a_stalled_reader_drops_lines_without_blocking(pipe):
    reader, writer = pipe
    handler, logger = create_handler(writer)
    handler.window.start_s = float("inf")
    for number in range(3_000):
        handler.window.other = 0
        events.REQUEST_REFUSED.log(logger, request=str(number), reason="x" * 200)

    assert handler.dropped > 0
    assert len(handler.buffer) <= bounded.MAXIMUM_BUFFERED_BYTES
    data = b""
    while handler.buffer:
        data += read_bytes(reader)
        handler.flush()
    data += read_bytes(reader)
    kept = [json.loads(line) for line in data.splitlines()]
    assert [int(line["request"]) for line in kept] == list(range(len(kept)))


def test_a_closed_pipe_drops_lines_without_an_error():
    reader, writer = os.pipe()
    handler, logger = create_handler(writer)
    os.close(reader)

    events.HOST_READY.log(logger)

    assert handler.dropped == 1
    os.close(writer)


def test_routine_lines_above_the_rate_limit_are_sampled_by_request(pipe, monkeypatch):
    kept = []
    for _ in range(2):
        reader, writer = os.pipe()
        handler, logger = create_handler(writer)
        handler.window.start_s = float("inf")
        handler.window.routine = bounded.ROUTINE_LINES_PER_S
        for number in range(400):
            events.REQUEST_ANSWERED.log(logger, request=f"r{number}")
        kept.append({line["request"] for line in read_lines(reader)})
        os.close(reader)
        os.close(writer)

    assert kept[0] == kept[1]
    assert 5 <= len(kept[0]) <= 60


def test_failures_have_their_own_rate_limit(pipe):
    reader, writer = pipe
    handler, logger = create_handler(writer)
    handler.window.start_s = float("inf")
    handler.window.routine = 10_000
    events.REQUEST_REFUSED.log(logger, request="failed", status=503)

    assert [line["request"] for line in read_lines(reader)] == ["failed"]


def test_omitted_lines_are_reported_once_the_second_has_passed(pipe, monkeypatch):
    reader, writer = pipe
    handler, logger = create_handler(writer)
    now = [100.0]
    monkeypatch.setattr(bounded.time, "monotonic", lambda: now[0])
    for number in range(bounded.OTHER_LINES_PER_S + 30):
        events.REQUEST_REFUSED.log(logger, request=str(number))
    now[0] += bounded.WINDOW_S
    events.REQUEST_REFUSED.log(logger, request="next")

    reported = [line["left_out"] for line in read_lines(reader) if "left_out" in line]
    assert reported == [30]
    assert handler.left_out == 30
