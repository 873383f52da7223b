"""Trace context passes through, and spans are recorded for what is sampled."""

import json

import pytest

from bitternlever.messages import telemetry
from bitternlever.telemetry import traces

TRACE = "0af7651916cd43dd8448eb211c80319c"
SAMPLED = f"00-{TRACE}-b7ad6b7169203331-01"


def tracer(spans_file="", trace_ratio=1.0):
    return traces.create("entry", "a", 1_000, 0, None, str(spans_file), trace_ratio)


def recorded(path):
    return [json.loads(line) for line in path.read_text().splitlines()]


def test_a_caller_s_trace_goes_on_without_any_export():
    with tracer().server_call("GET /", SAMPLED) as hop:
        assert TRACE in hop.traceparent


def test_a_span_of_the_core_joins_its_caller_s_trace(tmp_path):
    spans_file = tmp_path / "spans"
    traced = tracer(spans_file)
    with traced.server_call("POST /", SAMPLED) as hop:
        traced.finished(
            telemetry.SpanFinished(
                traceparent=hop.traceparent,
                name="admission wait",
                start_s=1.0,
                end_s=1.5,
            ),
        )
    traced.shutdown()

    inner, outer = recorded(spans_file)
    assert inner["context"]["trace_id"] == "0x" + TRACE
    assert inner["parent_id"] == outer["context"]["span_id"]


@pytest.mark.parametrize(("ratio", "spans"), [(0.0, 0), (1.0, 1)])
def test_the_ratio_decides_where_the_caller_has_not(tmp_path, ratio, spans):
    spans_file = tmp_path / "spans"
    traced = tracer(spans_file, ratio)
    with traced.server_call("POST /", None):
        pass
    traced.shutdown()

    assert len(recorded(spans_file)) == spans
